package experiment

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hollowgrade/hollowgrade/engine"
)

const (
	// gridStep is the resolution of the schedule: a fraction of a pass, so that rounding costs little
	// of a short goal.
	gridStep = 5 * time.Millisecond
	// maxPromptEngines is the maximum number of engines that prefill one prompt, as for gateways.
	maxPromptEngines = 1 + baselineHelpers
	// shortGoal is the goal below which a request is scheduled before those of longer goals.
	shortGoal = time.Second
)

// knownFuture is the schedule of [KnownFuture]: a yardstick, not a way of deciding, as no gateway
// knows what will arrive. All requests of the file are known ahead and are given the engines' time
// one by one: those of short goals first, then by worth per second of prefill. A prompt takes what
// is free of an aggregate of engines, up to [maxPromptEngines] at a time, and its first event follows
// a pass later. Slots, memory, pauses, slow engines and the time of answers are ignored, so it tends
// to earn more than is possible. The order is greedy, so it isn't a strict bound.
type knownFuture struct {
	file       File
	figures    *engine.Figures
	kinds      map[string]*Kind
	used       []float64 // engines in use by step of the grid
	engineTime *engineTime
}

func newKnownFuture(f File) *knownFuture {
	s := &knownFuture{
		file:       f,
		figures:    f.Engines.figures(),
		kinds:      map[string]*Kind{},
		used:       make([]float64, (f.Duration.Std()+drainTime)/gridStep),
		engineTime: newEngineTime(f),
	}
	for i := range f.Kinds {
		s.kinds[f.Kinds[i].Name] = &f.Kinds[i]
	}
	return s
}

// simulateKnownFuture schedules all requests of a file.
func simulateKnownFuture(f File) ([]Result, []EngineSecond) {
	s := newKnownFuture(f)
	rs := arrivals(f)
	s.serveAll(rs)
	for _, r := range rs {
		if r.Refused {
			s.engineTime.addRefused(r.Arrived, r.Prompt)
		}
	}
	for i, n := range s.used {
		at := time.Duration(i) * gridStep
		s.engineTime.spread(at, at+gridStep, n, func(s *EngineSecond) *float64 { return &s.Prefill })
	}
	return rs, s.engineTime.complete(f.Kinds, rs)
}

// serveAll schedules requests within their goals, and of the others those that can be answered
// late.
func (s *knownFuture) serveAll(rs []Result) {
	s.serve(rs, func(k *Kind) (time.Duration, float64) { return k.Goal.Std(), 1 })
	s.serve(rs, func(k *Kind) (time.Duration, float64) { return k.Allowed.Std(), k.Late / k.Worth })
}

// arrivals returns the requests of a file as refused results.
func arrivals(f File) []Result {
	f.Kinds = slices.Clone(f.Kinds)
	for i := range f.Kinds {
		f.Kinds[i].Retries = 0
	}
	rs, _ := simulate(f, Variant{Decisions: refuseAll})
	return rs
}

// serve schedules those of the refused requests whose first event can come within the limit of
// their kind, for a share of their worth.
func (s *knownFuture) serve(rs []Result, terms func(*Kind) (limit time.Duration, share float64)) {
	for _, r := range s.order(rs) {
		limit, share := terms(s.kinds[r.Kind])
		if end, ok := s.reserve(r, limit); ok {
			r.Refused = false
			r.First = end - r.Arrived
			r.Earned = share * r.Owed
		}
	}
}

// order returns the refused requests in the order in which they are scheduled.
func (s *knownFuture) order(rs []Result) (refused []*Result) {
	for i := range rs {
		if rs[i].Refused {
			refused = append(refused, &rs[i])
		}
	}
	density := func(r *Result) float64 {
		if s.kinds[r.Kind].Goal.Std() < shortGoal {
			return math.Inf(1)
		}
		return r.Owed / s.figures.PrefillTime(r.Prompt, 1).Seconds()
	}
	slices.SortStableFunc(refused, func(a, b *Result) int { return cmp.Compare(density(b), density(a)) })
	return refused
}

// reserve reserves engines for a prompt, as many and as early as possible, and returns the time of
// its first event. It fails if that would be after the limit.
func (s *knownFuture) reserve(r *Result, limit time.Duration) (first time.Duration, ok bool) {
	pass := s.figures.PassTime(engine.State{Decoding: 1, Context: r.Prompt})
	from := int((r.Arrived + gridStep - 1) / gridStep)
	until := min(int((r.Arrived+limit-pass)/gridStep), len(s.used))
	left := float64(s.figures.PrefillTime(r.Prompt, 1)) / float64(gridStep)
	var taken []float64
	for i := from; i < until && left > 0; i++ {
		n := min(maxPromptEngines, float64(s.file.Engines.Count)-s.used[i], left)
		taken = append(taken, n)
		left -= n
	}
	if left > 0 {
		return 0, false
	}
	for i, n := range taken {
		s.used[from+i] += n
	}
	return time.Duration(from+len(taken))*gridStep + pass, true
}
