package core

import (
	"time"

	"github.com/hollowgrade/hollowgrade"
)

// A caller gives a stream up after a gap of the longest of two seconds, four
// goals and eight pauses (the platform's pages). An upstream that has been
// silent for a part of that is taken as dead or cut off, and the call is sent
// elsewhere while the caller still waits.
const (
	giveUp        = 2 * time.Second
	giveUpGoals   = 4
	giveUpPauses  = 8
	stallShare    = 0.55
	plainStall    = 900 * time.Millisecond // for calls that may run again: 15 times the usual work of a plain service
	plainGoalMore = 3
	predictedMore = 2 // times the predicted first event: a prediction is rarely that far off
)

// stall returns how long the upstream may be silent, 0 for ever: an answer that
// cannot be had elsewhere is waited for to the end.
func (a *attempt) stall() time.Duration {
	f := a.flow
	if !f.Repeatable() || f.sent+1 >= f.route.MaxAttempts || !f.budget.Allows(f.core.clock.Now()) {
		return 0
	}
	if f.route.Repeat != Resume {
		return max(plainStall, plainGoalMore*f.route.Goal)
	}
	gap := max(giveUp, giveUpGoals*f.route.Goal, giveUpPauses*f.route.PauseGoal)
	d := time.Duration(stallShare * float64(gap))
	if a.wrote {
		return d
	}
	return max(d, predictedMore*a.placed.first)
}

// watchdog calls a function when nothing has happened for a while.
type watchdog struct {
	clock hollowgrade.Clock
	bark  func()
	timer hollowgrade.Timer
}

// newWatchdog returns a watchdog that barks after d, never if d is 0.
func newWatchdog(c hollowgrade.Clock, d time.Duration, bark func()) *watchdog {
	w := &watchdog{clock: c, bark: bark}
	w.reset(d)
	return w
}

// reset begins the wait anew.
func (w *watchdog) reset(d time.Duration) {
	w.stop()
	if d > 0 {
		w.timer = w.clock.AfterFunc(d, w.bark)
	}
}

// stop ends the wait.
func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
