package core

import (
	"time"

	"github.com/hollowgrade/hollowgrade"
)

// The bounds of the retry delay of a caller when the present upstreams take no call.
const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// evacuatedRetryAfter is the retry delay while operators evacuate all data halls of a service. The
	// end of an evacuation is not known, and callers that retry before it are refused again.
	evacuatedRetryAfter = maxRetryAfter
)

// unavailability says why no upstream of a service takes a call now.
type unavailability struct {
	limited     int           // upstreams that only their limits exclude
	perSecond   float64       // requests per second that these accept from all processes together
	coolingDown int           // upstreams that asked for a cooldown
	evacuated   int           // upstreams in data halls that operators are evacuating
	retryAfter  time.Duration // retry delay for the caller
}

// unavailability returns why the untried upstreams of a service take no call now, and assigns the
// caller a retry delay.
func (f *Fleet) unavailability(service string, tried map[hollowgrade.Instance]bool) (r unavailability) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	var firstCooldownEnd time.Time // when the first cooldown ends
	for _, m := range f.allMembersOf(service) {
		switch {
		case tried[m.instance] || m.leaving || m.Draining || m.expired(now):
		case f.evacuation.Covers(m.Hall):
			r.evacuated++
		case !m.cooldown.ended(now) || m.cooldown.trialPending(now):
			r.coolingDown++
			if e := m.cooldown.nextCallAt(); firstCooldownEnd.IsZero() || e.Before(firstCooldownEnd) {
				firstCooldownEnd = e
			}
		case m.limit.inForce():
			r.limited++
			r.perSecond += m.limit.rate()
		}
	}
	switch {
	case r.limited > 0:
		r.retryAfter = f.nextRetryAfter(service, r.perSecond, now)
	case r.coolingDown > 0:
		d := firstCooldownEnd.Sub(now)
		r.retryAfter = max(d+time.Duration(f.random()*cooldownJitter*float64(d)), minRetryAfter)
	case r.evacuated > 0:
		r.retryAfter = evacuatedRetryAfter
	}
	return r
}

// nextRetryAfter returns the retry delay of a caller refused because of limits. Callers are spaced
// by this process's part of what the limits allow. The lock is held.
func (f *Fleet) nextRetryAfter(service string, perSecond float64, now time.Time) time.Duration {
	part := perSecond / float64(f.sharers(service)+1)
	next := hollowgrade.Later(f.lastRetryAt[service], now).Add(time.Duration(float64(time.Second) / part))
	d := next.Sub(now)
	if d > maxRetryAfter {
		return maxRetryAfter
	}
	f.lastRetryAt[service] = next
	return max(d, minRetryAfter)
}
