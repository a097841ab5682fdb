package core

import (
	"time"

	"github.com/hollowgrade/hollowgrade"
)

// Plan is what a fleet decides for one call, for tools that play the decisions
// without sending anything.
type Plan struct {
	Upstream string        // id
	Helpers  []string      // ids of the upstreams that read parts of the prompt
	Keepers  []string      // ids of the helpers that keep a part of the prompt
	Kept     int           // tokens at each of them
	Hold     time.Duration // for which the sending is held back
	Refused  bool          // it would take more from others than it is worth
	Predict  time.Duration // first event, as predicted
	ComeBack time.Duration // when the caller of a refused call is told to come back

	pick *pick
}

// Plan decides for a call that arrives now as [Core.Serve] does, and accounts for it. It returns
// false if there is no upstream. What was planned and not refused is ended with
// [Fleet.Done].
func (f *Fleet) Plan(s Service, r Route, c hollowgrade.Call, left time.Duration) (p Plan, ok bool) {
	x := f.pick(s.Name, newRequest(s, r, c, left, 0), nil)
	if x == nil {
		return p, false
	}
	if x.Refused {
		return Plan{Refused: true, Predict: x.FirstEvent, ComeBack: x.RetryAfter}, true
	}
	p = Plan{Upstream: x.member.ID, Hold: x.SendDelay, Predict: x.FirstEvent, pick: x}
	for _, h := range x.helpers {
		p.Helpers = append(p.Helpers, h.ID)
	}
	for _, k := range x.keepers {
		p.Keepers = append(p.Keepers, k.ID)
	}
	p.Kept = x.KeptTokens
	return p, true
}

// Done ends the account of a plan. Began says whether its answer had begun.
func (f *Fleet) Done(p Plan, began bool) {
	f.over(p.pick, began)
}
