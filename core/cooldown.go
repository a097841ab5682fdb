package core

import (
	"time"

	"github.com/hollowgrade/hollowgrade"
)

const (
	// cooldownJitter is the largest part by which a process extends a cooldown at random, so that not
	// all processes resume at once.
	cooldownJitter = 0.25
	// trialTimeout is how long a process waits for the answer to its first call after a cooldown
	// before it sends another.
	trialTimeout = time.Second
)

// cooldownState is the state of a cooldown: a time for which an upstream asked this process, by
// Retry-After, to send it no calls.
type cooldownState struct {
	until   time.Time
	onTrial bool      // whether no call has been accepted since the cooldown
	trialAt time.Time // when the last call was sent
}

// ended reports whether the cooldown has ended.
func (r *cooldownState) ended(now time.Time) bool {
	return !now.Before(r.until)
}

// trialPending reports whether the first call after a cooldown is still unanswered.
func (r *cooldownState) trialPending(now time.Time) bool {
	return r.onTrial && now.Sub(r.trialAt) < trialTimeout
}

// nextCallAt returns when the upstream may get its next call.
func (r *cooldownState) nextCallAt() time.Time {
	if r.onTrial {
		return hollowgrade.Later(r.until, r.trialAt.Add(trialTimeout))
	}
	return r.until
}

// setCooldown starts or extends a cooldown that an upstream asks for. A shorter one doesn't end a
// longer one. The lock is held.
func (f *Fleet) setCooldown(m *member, request string, d time.Duration) {
	now := f.clock.Now()
	spread := time.Duration(f.random() * cooldownJitter * float64(d))
	f.log.Info("upstream asks for a cooldown", "upstream", m.instance, "service", m.Service, "request", request, "for_ms", d.Milliseconds(),
		"spread_ms", spread.Milliseconds(), "before_ms", max(m.cooldown.until.Sub(now), 0).Milliseconds())
	m.cooldown.until = hollowgrade.Later(m.cooldown.until, now.Add(d+spread))
	m.cooldown.onTrial = true
}

// recordTrial records that a call is sent to an upstream. The lock is held.
func (f *Fleet) recordTrial(m *member, now time.Time) {
	m.cooldown.trialAt = now
}

// endTrial records that an upstream has answered a call without turning it away. The lock is held.
func (f *Fleet) endTrial(m *member, sent time.Time) {
	if m.cooldown.onTrial && sent.After(m.cooldown.until) {
		m.cooldown.onTrial = false
		f.log.Info("upstream takes calls again after its cooldown", "upstream", m.instance, "service", m.Service)
	}
}
