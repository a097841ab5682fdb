package core

import (
	"context"
	"time"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/placement"
)

// recoveryTime is how long after it begins to serve a process counts as recovering. By then the
// callers that waited for it are placed, and the reports of peers on theirs are here.
const recoveryTime = 500 * time.Millisecond

// recovery is the time right after all processes of the cell have started together.
type recovery struct {
	position placement.Recovery
	until    time.Time
}

// at returns the state for placement.
func (r recovery) at(now time.Time) placement.Recovery {
	if !now.Before(r.until) {
		return placement.Recovery{}
	}
	return r.position
}

// idle reports whether shares have no load. A process that has placed any call since its start
// reports at least the prefill that it has assigned.
func idle(shares map[hollowgrade.Instance]Share) bool {
	for _, s := range shares {
		if s != (Share{}) {
			return false
		}
	}
	return true
}

// firstReports returns how many of the other processes of the cell had not placed any call when they
// first reported to this one, and how many had. The lock is held.
func (f *Fleet) firstReports() (idle, busy int) {
	for _, v := range f.views {
		switch {
		case v.startedIdle:
			idle++
		case v.complete:
			busy++
		}
	}
	return idle, busy
}

// StartedTogether reports whether the other processes of the cell have started together with this
// one, so that there is no load to wait for: more than half have reported, and none had placed a
// call before.
func (f *Fleet) StartedTogether() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	idle, busy := f.firstReports()
	return 2*idle > f.peers() && busy == 0
}

// BeginServing is called when this process begins to serve callers, with its index among the
// processes of the cell and their number. It returns whether the process is recovering: more than
// half of the others have started together with it. For a while it then uses its own part of the
// upstreams first and delays calls that can wait.
func (f *Fleet) BeginServing(index, count int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if idle, _ := f.firstReports(); count < 2 || 2*idle <= f.peers() {
		return false
	}
	f.recovery = recovery{placement.Recovery{Index: index, Count: count}, f.clock.Now().Add(recoveryTime)}
	return true
}

// RecoveryDelay returns how long a call that has just arrived is delayed because this process is
// recovering. It is drawn at random, so that delayed calls don't come all at once.
func (f *Fleet) RecoveryDelay(s Service, r Route, c hollowgrade.Call, left time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.recovery.at(f.clock.Now())
	if !v.Active() {
		return 0
	}
	shortest, longest := v.Delay(newRequest(s, r, c, left, 0), c.LastEventID != "")
	return shortest + time.Duration(f.random()*float64(longest-shortest))
}

// delayInRecovery delays the first attempt of a call by [Fleet.RecoveryDelay].
func (f *flow) delayInRecovery(ctx context.Context) {
	left := f.deadline.Sub(f.core.clock.Now())
	if d := f.core.fleet.RecoveryDelay(f.service, f.route, f.call, left); d > 0 {
		hollowgrade.Sleep(ctx, f.core.clock, d)
	}
}
