// Package experiment simulates a fleet of model engines in virtual time, with the real decision
// code of the gateways, and compares ways of deciding. The engines behave as the model of package
// engine predicts.
package experiment

import (
	"bytes"
	"fmt"
	"os"
	"slices"

	"github.com/pelletier/go-toml/v2"

	"github.com/hollowgrade/hollowgrade/config"
	"github.com/hollowgrade/hollowgrade/engine"
	"github.com/hollowgrade/hollowgrade/internal/errs"
	"github.com/hollowgrade/hollowgrade/placement"
)

// File defines an experiment.
type File struct {
	Seed     uint64          `toml:"seed"`
	Duration config.Duration `toml:"duration"` // of arrivals
	Gateways int             `toml:"gateways"`
	View     config.Duration `toml:"view"` // interval of the load updates between gateways, and so their maximum age
	Engines  Engines         `toml:"engines"`
	Kinds    []Kind          `toml:"kind"`
	Bursts   []Burst         `toml:"burst"`
	Slow     []Slow          `toml:"slow"`
	Variants []Variant       `toml:"variant"`
}

// Engines defines the engines, which are all alike.
type Engines struct {
	Count          int             `toml:"count"`
	Slots          int             `toml:"slots"`
	Capacity       int             `toml:"capacity"`
	Step           config.Duration `toml:"step"`
	StepPerWriter  config.Duration `toml:"step_per_writer"`
	StepPerContext config.Duration `toml:"step_per_context"`
	ReadRate       float64         `toml:"read_rate"`
	PerMillion     config.Duration `toml:"per_million_pairs"`
	Stride         int             `toml:"stride"`
	Hop            config.Duration `toml:"hop"`
	UsualPrompt    int             `toml:"usual_prompt"`
	UsualAnswer    int             `toml:"usual_answer"`
}

// figures converts the settings to those of package engine.
func (e Engines) figures() *engine.Figures {
	return &engine.Figures{
		Slots:           e.Slots,
		Capacity:        e.Capacity,
		Step:            e.Step.Std(),
		StepPerRequest:  e.StepPerWriter.Std(),
		StepPerContext:  e.StepPerContext.Std(),
		PrefillRate:     e.ReadRate,
		PerMillionPairs: e.PerMillion.Std(),
		Stride:          e.Stride,
		Hop:             e.Hop.Std(),
		UsualPrompt:     e.UsualPrompt,
		UsualAnswer:     e.UsualAnswer,
	}
}

// Kind is one kind of request.
type Kind struct {
	Name      string          `toml:"name"`
	Rate      float64         `toml:"rate"`   // requests per second
	Prompt    float64         `toml:"prompt"` // mean tokens
	Spread    float64         `toml:"spread"` // standard deviation divided by the mean; sizes are log-normal
	PromptMax float64         `toml:"prompt_max"`
	Tail      float64         `toml:"tail"`    // share of the prompts that are TailX times as long as the others
	TailX     float64         `toml:"tail_x"`  // 0 counts as 1
	Answer    float64         `toml:"answer"`  // mean tokens
	Goal      config.Duration `toml:"goal"`    // maximum time to the first event
	Pause     config.Duration `toml:"pause"`   // maximum time between events
	Allowed   config.Duration `toml:"allowed"` // timeout
	Worth     float64         `toml:"worth"`
	Late      float64         `toml:"late"`    // worth of a late answer
	Retries   int             `toml:"retries"` // maximum retries after a refusal
}

// Burst multiplies the rate of a kind for some time.
type Burst struct {
	Kind string          `toml:"kind"`
	X    float64         `toml:"x"`
	At   config.Duration `toml:"at"`
	For  config.Duration `toml:"for"`
}

// Slow makes engines slower for some time, without notice to the gateways.
type Slow struct {
	Engines int             `toml:"engines"`
	X       float64         `toml:"x"`
	At      config.Duration `toml:"at"`
	For     config.Duration `toml:"for"`
}

// The ways of deciding.
const (
	Worth         = "worth"          // as gateways do
	LeastRequests = "least_requests" // fewest open requests of this gateway
	LeastPrefill  = "least_reading"  // least prefill assigned by this gateway; 16 helpers for long prompts
	RoundRobin    = "round_robin"
	KnownFuture   = "known_future" // a yardstick that knows all arrivals ahead
	refuseAll     = "refuse_all"   // for the arrivals of a file
)

// Variant is one way of deciding.
type Variant struct {
	Name      string `toml:"name"`
	Decisions string `toml:"decisions"`
	Alone     bool   `toml:"alone"` // gateways exchange no updates
	Cells     int    `toml:"cells"` // parts that gateways and engines are divided into; 0 counts as 1
	// Subset is how many engines each gateway uses, by rendezvous rank; 0 for all. Gateways with a
	// common engine exchange updates, which are nearly all.
	Subset int `toml:"subset"`
	// Perfect simulates a single decider that knows the whole load, in place of all gateways. The
	// difference to it is what the gateways lose for lack of information.
	Perfect  bool              `toml:"perfect"`
	Calendar bool              `toml:"calendar"` // long prompts wait for their turn
	Unasked  bool              `toml:"unasked"`  // engines are not asked for their pace
	Pricing  placement.Pricing `toml:"pricing"`  // how long prompts are priced; empty for the default
	Without  []string          `toml:"without"`  // mechanisms of package placement to disable
}

// gateways returns how many processes decide.
func (f File) gateways(v Variant) int {
	if v.Perfect {
		return 1
	}
	return f.Gateways
}

// Read reads and checks an experiment file.
func Read(path string) (f File, err error) {
	defer errs.Annotate(&err, "%s", path)
	b, err := os.ReadFile(path)
	if err != nil {
		return f, err
	}
	d := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields()
	if err = d.Decode(&f); err != nil {
		return f, err
	}
	return f, f.check()
}

// check returns an error if the file can't be simulated.
func (f File) check() error {
	switch {
	case f.Duration <= 0:
		return fmt.Errorf("duration must be positive")
	case f.Gateways < 1:
		return fmt.Errorf("gateways must be at least 1")
	case f.Engines.Count < 1 || f.Engines.Slots < 1 || f.Engines.Stride < 1 || f.Engines.ReadRate <= 0 || f.Engines.Step <= 0:
		return fmt.Errorf("engines needs count, slots, stride, read_rate and step")
	case len(f.Kinds) == 0 || len(f.Variants) == 0:
		return fmt.Errorf("there must be at least one kind and one variant")
	}
	for _, v := range f.Variants {
		if err := v.check(); err != nil {
			return fmt.Errorf("variant %s: %w", v.Name, err)
		}
	}
	return nil
}

// check returns an error if the variant can't be simulated.
func (v Variant) check() error {
	for _, m := range v.Without {
		if !slices.Contains(placement.Mechanisms(), placement.Mechanism(m)) {
			return fmt.Errorf("without names %q, allowed: %v", m, placement.Mechanisms())
		}
	}
	if v.Pricing != "" && !slices.Contains(placement.Pricings(), v.Pricing) {
		return fmt.Errorf("pricing is %q, allowed: %v", v.Pricing, placement.Pricings())
	}
	switch v.Decisions {
	case Worth, LeastRequests, LeastPrefill, RoundRobin, KnownFuture:
		return nil
	default:
		return fmt.Errorf("decisions is %q, allowed: %s, %s, %s, %s, %s", v.Decisions, Worth, LeastRequests, LeastPrefill, RoundRobin, KnownFuture)
	}
}
