package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/placement"
)

const (
	// refusalMemory is how long gateways remember that they refused a long prompt. Callers come back
	// after the time that they are told, [placement.MaxRetryAfter] at the most.
	refusalMemory = 2 * placement.MaxRetryAfter
)

// MaxRefusals bounds the refused prompts that one gateway remembers and tells its peers of.
const MaxRefusals = 64

// Refusal is a long prompt that was refused for want of time, or while it waited. Its caller may come back to any gateway.
type Refusal struct {
	Fingerprint  hollowgrade.Fingerprint
	FirstArrival time.Time // of its caller's first attempt
	Refused      time.Time
}

// recordRefusal remembers a refused prompt whose caller first came at the given time.
func (f *Fleet) recordRefusal(p hollowgrade.Fingerprint, first time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	f.expireRefusals(now)
	if len(f.refusals) >= MaxRefusals {
		f.forgetOldestRefusal()
	}
	f.refusals[p] = Refusal{Fingerprint: p, FirstArrival: first, Refused: now}
}

// forgetOldestRefusal makes room for another refusal of this process. The lock is held.
func (f *Fleet) forgetOldestRefusal() {
	oldest := slices.MinFunc(slices.Collect(maps.Values(f.refusals)), func(a, b Refusal) int { return a.Refused.Compare(b.Refused) })
	delete(f.refusals, oldest.Fingerprint)
}

// expireRefusals forgets refusals whose callers won't come back. The lock is held.
func (f *Fleet) expireRefusals(now time.Time) {
	old := func(r Refusal) bool { return now.Sub(r.Refused) > refusalMemory }
	maps.DeleteFunc(f.refusals, func(_ hollowgrade.Fingerprint, r Refusal) bool { return old(r) })
	maps.DeleteFunc(f.peerRefusals, func(_ hollowgrade.Fingerprint, r Refusal) bool { return old(r) })
}

// takeRefusal returns the refusal of a prompt that has come back, and forgets it until a peer reports it
// again: a further prompt of the same content may be another caller's.
func (f *Fleet) takeRefusal(p hollowgrade.Fingerprint) (r Refusal, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expireRefusals(f.clock.Now())
	for _, m := range []map[hollowgrade.Fingerprint]Refusal{f.refusals, f.peerRefusals} {
		if x, found := m[p]; found && (!ok || x.FirstArrival.Before(r.FirstArrival)) {
			r, ok = x, true
		}
		delete(m, p)
	}
	return r, ok
}

// Refusals returns the prompts that this process refused, the newest first.
func (f *Fleet) Refusals() []Refusal {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expireRefusals(f.clock.Now())
	return slices.SortedFunc(maps.Values(f.refusals), func(a, b Refusal) int {
		return cmp.Or(b.Refused.Compare(a.Refused), slices.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
}

// ReceiveRefusals adds prompts that a peer refused.
func (f *Fleet) ReceiveRefusals(rs []Refusal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expireRefusals(f.clock.Now())
	for _, r := range rs {
		f.peerRefusals[r.Fingerprint] = r
	}
}

// sinceFirstArrival replaces what a request's remaining time says of earlier attempts by what gateways
// know of them: callers state less time than the route allows on their first attempt, too. That is
// all there is for streams that callers resume, and while a process has just started.
func (f *flow) sinceFirstArrival(r placement.Request) placement.Request {
	now := f.core.clock.Now()
	if f.call.LastEventID != "" || now.Sub(f.core.started) < refusalMemory {
		return r
	}
	first := f.call.Arrived
	x, ok := f.core.fleet.takeRefusal(f.fingerprint)
	if ok && x.FirstArrival.Before(first) {
		first = x.FirstArrival
	}
	r.Waited, r.RefusedBefore = now.Sub(first), ok
	return r
}
