package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// EngineSecond is what the engines do in one second and what is asked of them, as shares of all
// engines' time in it. Prompts count with their published prefill time.
type EngineSecond struct {
	Second  int     `json:"second"`
	Prefill float64 `json:"prefill"`
	Decode  float64 `json:"decode"`  // time of passes without their prefill; [KnownFuture] has none
	Idle    float64 `json:"idle"`    // time without a pass
	Asked   float64 `json:"asked"`   // prompts that arrive, without retries
	Refused float64 `json:"refused"` // attempts that are refused, retries included
	Late    float64 `json:"late"`    // prompts whose goal passes before their first event, without those refused
}

// engineTime records the use of the engines until the end of arrivals.
type engineTime struct {
	engines Engines
	seconds []EngineSecond
}

func newEngineTime(f File) *engineTime {
	n := (f.Duration.Std() + time.Second - 1) / time.Second
	e := &engineTime{f.Engines, make([]EngineSecond, n)}
	for i := range e.seconds {
		e.seconds[i].Second = i
	}
	return e
}

// share returns a duration as a share of all engines' time in a second.
func (e *engineTime) share(d time.Duration) float64 {
	return d.Seconds() / float64(e.engines.Count)
}

// addPass records a pass of one engine, which starts with its prefill.
func (e *engineTime) addPass(start, prefill, pass time.Duration) {
	e.spread(start, start+prefill, 1, func(s *EngineSecond) *float64 { return &s.Prefill })
	e.spread(start+prefill, start+pass, 1, func(s *EngineSecond) *float64 { return &s.Decode })
}

// spread adds the time of some engines to the seconds between two points in time.
func (e *engineTime) spread(from, to time.Duration, engines float64, column func(*EngineSecond) *float64) {
	for i := int(from / time.Second); i < len(e.seconds) && from < to; i++ {
		end := min(to, time.Duration(i+1)*time.Second)
		*column(&e.seconds[i]) += engines * e.share(end-from)
		from = end
	}
}

// addPrompt adds the published prefill time of a prompt to a second.
func (e *engineTime) addPrompt(at time.Duration, tokens int, column func(*EngineSecond) *float64) {
	if i := int(at / time.Second); i < len(e.seconds) {
		*column(&e.seconds[i]) += e.share(e.engines.figures().PrefillTime(tokens, 1))
	}
}

// addRefused records the refusal of an attempt.
func (e *engineTime) addRefused(at time.Duration, tokens int) {
	e.addPrompt(at, tokens, func(s *EngineSecond) *float64 { return &s.Refused })
}

// complete adds what is known at the end of a simulation, and returns the seconds.
func (e *engineTime) complete(ks []Kind, rs []Result) []EngineSecond {
	goals := map[string]time.Duration{}
	for _, k := range ks {
		goals[k.Name] = k.Goal.Std()
	}
	for _, r := range rs {
		e.addPrompt(r.Arrived, r.Prompt, func(s *EngineSecond) *float64 { return &s.Asked })
		if !r.Refused && (r.First == 0 || r.First > goals[r.Kind]) {
			e.addPrompt(r.Arrived+goals[r.Kind], r.Prompt, func(s *EngineSecond) *float64 { return &s.Late })
		}
	}
	for i := range e.seconds {
		s := &e.seconds[i]
		s.Idle = max(1-s.Prefill-s.Decode, 0)
	}
	return e.seconds
}

// WriteEngineTime writes a table of the engines' time by second for each variant.
func (r Report) WriteEngineTime(w io.Writer) error {
	for _, v := range r.Variants {
		fmt.Fprintf(w, "\n%s: shares of the engines' time\n", v.Name)
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintf(t, "second\tprefill\tdecode\tidle\tasked\trefused\tlate\t\n")
		for _, s := range v.EngineTime {
			fmt.Fprintf(t, "%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t\n", s.Second, s.Prefill, s.Decode, s.Idle, s.Asked, s.Refused, s.Late)
		}
		if err := t.Flush(); err != nil {
			return err
		}
	}
	return nil
}
