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
// After that, a call that has not run is only sent if it is certain to end in time, unless a further attempt
// of it is known to take less.
func (f *flow) checkStop(attempt int, expected time.Duration) error {
	s, stopping := f.core.plannedStop()
	if !stopping {
		return nil
	}
	if !s.Accepting && !f.mayHaveRun.Load() && (attempt == 1 || !f.core.durations.estimates(f.route.Name).whole.known) {
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
	e := f.core.durations.estimates(f.route.Name)
	streamed := time.Duration(0)
	if f.headSent {
		streamed = f.core.clock.Since(f.call.Arrived) - f.first
	}
	// Calls of one route may differ in length by far, so what a call says of its own goes first.
	if t := time.Duration(f.call.MaxTokens); t > 0 && e.perToken.known {
		if first <= 0 {
			first = hold + e.first.most()
		}
		return first + max(t*e.perToken.most()-streamed, 0)
	}
	if f.headSent {
		return first + max(e.whole.most()-streamed, 0)
	}
	return max(first, hold+e.whole.most())
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

// Durations estimates how long attempts take that bring a whole answer, by route. It is safe for concurrent use.
type Durations struct {
	mu      sync.Mutex
	byRoute map[string]routeDurations
}

// routeDurations are the estimates of one route.
type routeDurations struct {
	whole    estimate // of a whole answer
	first    estimate // until the first event of a stream
	perToken estimate // from then on, for each token that the call of a stream allows
}

// NewDurations returns estimates that know nothing yet.
func NewDurations() *Durations {
	return &Durations{byRoute: map[string]routeDurations{}}
}

// Record adds an attempt that brought a whole answer. For a stream whose call says how many tokens it allows,
// streamed is how much of the time came after its first event.
func (d *Durations) Record(route string, took, streamed time.Duration, tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, known := d.byRoute[route]
	if !known && len(d.byRoute) >= maxEstimates {
		clear(d.byRoute) // configurations may rename their routes again and again
	}
	r.whole = r.whole.with(took)
	if tokens > 0 {
		r.first = r.first.with(took - streamed)
		r.perToken = r.perToken.with(streamed / time.Duration(tokens))
	}
	d.byRoute[route] = r
}

// estimates returns what is known of a route.
func (d *Durations) estimates(route string) routeDurations {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.byRoute[route]
}

// Expected returns how long attempts on a route take at the most, 0 if nothing is known.
func (d *Durations) Expected(route string) time.Duration {
	return d.estimates(route).whole.most()
}

// estimate is a mean and a mean deviation of samples. The zero value knows nothing.
type estimate struct {
	mean, deviation time.Duration
	known           bool
}

// with returns the estimate with another sample.
func (e estimate) with(d time.Duration) estimate {
	if !e.known {
		return estimate{mean: d, deviation: d / 2, known: true}
	}
	e.deviation += time.Duration(deviationWeight * float64((d-e.mean).Abs()-e.deviation))
	e.mean += time.Duration(meanWeight * float64(d-e.mean))
	return e
}

// most returns the greatest value that is expected, 0 if nothing is known.
func (e estimate) most() time.Duration {
	return e.mean + deviations*e.deviation
}
