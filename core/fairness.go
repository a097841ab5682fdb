package core

import (
	"time"

	"github.com/hollowgrade/hollowgrade/fairness"
	"github.com/hollowgrade/hollowgrade/placement"
)

// party returns whose prompt a call is.
func (f *flow) party() fairness.Party {
	return fairness.Party{
		Organisation: f.organisation.Name,
		Hall:         f.core.hall,
		Size:         fairness.SizeOf(f.call.PromptTokens),
	}
}

// recordAsked counts the prompt of a call as asked if it is long.
func (f *flow) recordAsked(r placement.Request) {
	if r.Long() {
		f.core.fleet.recordAsked(f.party(), r.Engine.PrefillTime(r.PromptTokens, 1))
	}
}

// recordGot counts the prompt of a call as placed if it is long. Later attempts count for nothing,
// because the caller asked once.
func (f *flow) recordGot(r placement.Request) {
	if !r.Long() || f.countedGot {
		return
	}
	f.countedGot = true
	f.core.fleet.recordGot(f.party(), r.Engine.PrefillTime(r.PromptTokens, 1))
}

// recordAsked counts a long prompt that arrived.
func (f *Fleet) recordAsked(p fairness.Party, prefill time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fairness.RecordAsked(f.clock.Now(), p, prefill)
}

// recordGot counts a long prompt that was placed.
func (f *Fleet) recordGot(p fairness.Party, prefill time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fairness.RecordGot(f.clock.Now(), p, prefill)
}

// fairnessFactor returns the factor on the worth of a party's prompt. The lock is held.
func (f *Fleet) fairnessFactor(now time.Time, p fairness.Party) float64 {
	return f.fairness.Factor(now, p)
}

// FairnessChanges returns what peers have to be told of the account of long prompts since the last
// call. It is empty while engines have time for all.
func (f *Fleet) FairnessChanges() fairness.Summary {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fairness.Summary(f.clock.Now())
}

// Fairness returns what a peer that has just connected has to be told of the account of long prompts.
func (f *Fleet) Fairness() fairness.Summary {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fairness.Whole(f.clock.Now())
}

// ReceiveFairness applies what a peer tells of its account of long prompts. It is dropped with the
// peer's view, and ignored without one.
func (f *Fleet) ReceiveFairness(box string, s fairness.Summary) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.views[box] != nil {
		f.fairness.Receive(box, s, f.clock.Now())
	}
}
