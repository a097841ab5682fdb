package core

import (
	"time"

	"github.com/hollowgrade/hollowgrade"
)

// Plan is a fleet's decision for one call, for tools that simulate decisions without sending
// anything.
type Plan struct {
	Upstream       string        // id
	Helpers        []string      // ids of the upstreams that prefill parts of the prompt
	Keepers        []string      // ids of the helpers that keep a part of the prompt in memory
	Kept           int           // tokens at each of them
	Hold           time.Duration // how long the sending is held back
	Refused        bool          // it would cost other calls more than it is worth
	PredictedFirst time.Duration // predicted time to the first event
	RetryAfter     time.Duration // when the caller of a refused call should retry

	pick *pick
}

// Plan decides about a call that arrives now as [Core.Serve] does, and accounts for it. It returns
// false if there is no upstream. A plan that is not refused must be ended with [Fleet.Done].
func (f *Fleet) Plan(s Service, r Route, c hollowgrade.Call, left time.Duration) (p Plan, ok bool) {
	x := f.pick(s.Name, newRequest(s, r, c, left, 0), nil)
	if x == nil {
		return p, false
	}
	if x.Refused {
		return Plan{Refused: true, PredictedFirst: x.FirstEvent, RetryAfter: x.RetryAfter}, true
	}
	return newPlan(x), true
}

// newPlan returns the plan of a pick that was not refused.
func newPlan(x *pick) (p Plan) {
	p = Plan{Upstream: x.member.ID, Hold: x.SendDelay, PredictedFirst: x.FirstEvent, pick: x}
	for _, h := range x.helpers {
		p.Helpers = append(p.Helpers, h.ID)
	}
	for _, k := range x.keepers {
		p.Keepers = append(p.Keepers, k.ID)
	}
	p.Kept = x.KeptTokens
	return p
}

// Wait adds a call that arrives now to the calendar, as [Core.Serve] does with long prompts. It
// returns nil if such calls don't wait, and a refused plan if there is no time for the call. A wait
// ends with [Fleet.Start] or [Fleet.Leave].
func (f *Fleet) Wait(s Service, r Route, c hollowgrade.Call, left time.Duration) (w *Wait, p Plan) {
	q := newRequest(s, r, c, left, 0)
	if !f.schedules(q) {
		return nil, p
	}
	w, retryAfter := f.wait(s.Name, q)
	return w, Plan{Refused: w == nil, RetryAfter: retryAfter}
}

// Start places a waiting call if its turn has come. Otherwise it returns when to try again, unless
// the call is refused because there is no time left for it.
func (f *Fleet) Start(w *Wait, s Service, r Route, c hollowgrade.Call, left, waited time.Duration) (p Plan, st WaitState, again time.Duration) {
	x, st, again := f.start(w, newRequest(s, r, c, left, waited), nil)
	if st != Started || x == nil {
		return Plan{Refused: true, RetryAfter: again}, st, again
	}
	return newPlan(x), st, 0
}

// Leave ends the wait of a call that was not placed.
func (f *Fleet) Leave(w *Wait) {
	f.leave(w)
}

// Done ends the accounting of a plan. Began says whether its answer had begun.
func (f *Fleet) Done(p Plan, began bool) {
	f.release(p.pick, began)
}
