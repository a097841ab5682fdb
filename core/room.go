package core

import (
	"time"

	"github.com/hollowgrade/hollowgrade"
)

// The bounds of when a caller is told to come back for whom upstreams that there are leave no room.
const (
	soonestRoom = 200 * time.Millisecond
	latestRoom  = 10 * time.Second
)

// room is what the upstreams of a service leave of which none may be given a call now.
type room struct {
	limited   int           // that would be used if they named no limit
	perSecond float64       // requests that these take, from all processes together
	resting   int           // that asked for rest
	comeBack  time.Duration // when there is room for a caller who is told now
}

// room returns what the upstreams of a service leave that were not tried, and gives a caller the next place in it.
func (f *Fleet) room(service string, tried map[hollowgrade.Life]bool) (r room) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	var rested time.Time // when the first rest ends
	for _, m := range f.of(service) {
		switch {
		case tried[m.life] || m.leaving || m.Draining || m.lapsed(now):
		case !m.rest.over(now) || m.rest.awaited(now):
			r.resting++
			if e := m.rest.ends(); rested.IsZero() || e.Before(rested) {
				rested = e
			}
		case m.limit.named:
			r.limited++
			r.perSecond += m.limit.rate()
		}
	}
	switch {
	case r.limited > 0:
		r.comeBack = f.promise(service, r.perSecond, now)
	case r.resting > 0:
		d := rested.Sub(now)
		r.comeBack = max(d+time.Duration(f.chance()*restSpread*float64(d)), soonestRoom)
	}
	return r
}

// promise returns when there is room in limits for a caller: places go to callers one after another, as far apart as this
// process's part of what the limits allow. The lock is held.
func (f *Fleet) promise(service string, perSecond float64, now time.Time) time.Duration {
	part := perSecond / float64(max(len(f.views), f.peers())+1)
	next := hollowgrade.Later(f.promised[service], now).Add(time.Duration(float64(time.Second) / part))
	d := next.Sub(now)
	if d > latestRoom {
		return latestRoom
	}
	f.promised[service] = next
	return max(d, soonestRoom)
}
