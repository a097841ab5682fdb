package core

import (
	"sync"
	"time"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/fault"
)

// checkStop returns an error if a planned stop would cancel an attempt that is sent now and is expected to
// take the given time. The attempts of a call are counted from 1.
//
// While new connections are accepted, callers have not been sent elsewhere yet, so the expected time decides.
// After that, a first attempt is made only if it is certain to end in time.
func (f *flow) checkStop(attempt int, expected time.Duration) error {
	s, stopping := f.core.plannedStop()
	if !stopping {
		return nil
	}
	if !s.Accepting && attempt == 1 {
		expected = f.deadline.Sub(f.core.clock.Now()) + answerGrace
	}
	if expected <= s.Left {
		return nil
	}
	f.core.log.Info("not sent", "request", f.call.ID, "why", "the planned stop leaves too little time", "expected_ms", expected.Milliseconds(),
		"left_ms", s.Left.Milliseconds(), "accepting", s.Accepting)
	return fault.New(fault.Draining, "this box is being stopped in %s", max(s.Left, 0).Round(time.Millisecond)).WithOutcome(hollowgrade.NotRun)
}

// expectedTime returns how long an attempt is expected to take that is held back for the given time and of
// which the first event is predicted after the other, 0 if nothing is known. What the caller has of a stream
// is not sent again.
func (f *flow) expectedTime(hold, first time.Duration) time.Duration {
	d := f.core.durations.expected(f.route.Name)
	if !f.headSent {
		return max(first, hold+d)
	}
	streamed := f.core.clock.Since(f.call.Arrived) - f.first
	return first + max(d-streamed, 0)
}

// The weights of a new sample in the mean and in the mean deviation, and the number of deviations above the
// mean that is expected at the most, as in RFC 6298.
const (
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviations      = 4
)

// maxEstimates bounds the routes that are remembered.
const maxEstimates = 4096

// durations estimates how long attempts take that bring a whole answer, by route. It is safe for concurrent use.
type durations struct {
	mu      sync.Mutex
	byRoute map[string]durationEstimate
}

type durationEstimate struct {
	mean, deviation time.Duration
}

func newDurations() *durations {
	return &durations{byRoute: map[string]durationEstimate{}}
}

// record adds the duration of an attempt that brought a whole answer, from its first byte on.
func (d *durations) record(route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, known := d.byRoute[route]
	if !known && len(d.byRoute) >= maxEstimates {
		clear(d.byRoute) // configurations may rename their routes again and again
	}
	if !known {
		d.byRoute[route] = durationEstimate{mean: took, deviation: took / 2}
		return
	}
	e.deviation += time.Duration(deviationWeight * float64((took-e.mean).Abs()-e.deviation))
	e.mean += time.Duration(meanWeight * float64(took-e.mean))
	d.byRoute[route] = e
}

// expected returns how long attempts on a route take at the most, as far as known.
func (d *durations) expected(route string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.byRoute[route]
	return e.mean + deviations*e.deviation
}
