package placement

import (
	"slices"
	"time"
)

// Bounds of the retry delay after a refusal: the load hardly changes sooner, and the backlog of a
// burst is done by the upper bound.
const (
	MinRetryAfter = time.Second
	MaxRetryAfter = 4 * time.Second
	// retryAfterStep is the resolution of the forecast.
	retryAfterStep = 250 * time.Millisecond
)

// defaultRetryAfter returns the retry delay where there is no forecast, from the predicted time of
// the first event.
func defaultRetryAfter(first time.Duration) time.Duration {
	return min(max(first/2, MinRetryAfter), MaxRetryAfter)
}

// forecastRetryAfter returns the delay after which a refused long prompt would be admitted, given
// the part of the engines' time that expected demand leaves for the backlog. Without it, the callers
// of a burst retry together before there is room and are refused again.
func (p *Policy) forecastRetryAfter(s Snapshot, cs []Candidate, set []int, r Request, l Plan) time.Duration {
	if !p.has(Forecasting) || l.OutOfMemory {
		return defaultRetryAfter(l.FirstEvent)
	}
	idle := 1 - s.Demand.load(len(cs))
	if idle <= 0 {
		return defaultRetryAfter(l.FirstEvent)
	}
	for d := MinRetryAfter; d <= MaxRetryAfter; d += retryAfterStep {
		retried, plan := r.afterRefusal(d), l
		drained := withLessBacklog(cs, time.Duration(idle*float64(d)))
		plan.FirstEvent = l.FirstEvent - l.Wait + maxBacklog(drained, set)
		plan.Cost += r.Worth() * lateLossShare * (min(retried.lateness(plan.FirstEvent), 1) - min(r.lateness(l.FirstEvent), 1))
		plan.Displaced = p.pricing(p, s, drained, set, retried, plan)
		if p.worthwhile(retried, plan) {
			return d
		}
	}
	return defaultRetryAfter(l.FirstEvent)
}

// afterRefusal returns the request as it is when its caller retries after d.
func (r Request) afterRefusal(d time.Duration) Request {
	r.Waited += d
	r.TimeLeft -= d
	r.RefusedBefore = true
	return r
}

// withLessBacklog returns the candidates after d more of prefill.
func withLessBacklog(cs []Candidate, d time.Duration) []Candidate {
	drained := slices.Clone(cs)
	for i := range drained {
		drained[i].PrefillBacklog = max(drained[i].PrefillBacklog-d, 0)
	}
	return drained
}

// maxBacklog returns the largest prefill backlog of some candidates.
func maxBacklog(cs []Candidate, set []int) (d time.Duration) {
	for _, i := range set {
		d = max(d, cs[i].PrefillBacklog)
	}
	return d
}

// load returns the part of the engines' time that the demand takes.
func (d Demand) load(engines int) (x float64) {
	for _, p := range d.Prompts {
		x += p.Rate * p.PrefillTime.Seconds()
	}
	return x / float64(max(engines, 1))
}
