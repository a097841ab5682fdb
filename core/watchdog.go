package core

import (
	"time"

	"github.com/hollowgrade/hollowgrade"
)

const (
	// A call that may be repeated is sent elsewhere when its upstream has been
	// silent for several times its goal: then the upstream is dead or cut off
	// rather than busy. A caller gives a stream up after the longest of two
	// seconds, four goals and eight pauses, so it has to be sooner than that.
	stallGoals  = 3
	stallPauses = 4
	minStall    = 800 * time.Millisecond
)

// stall returns how long the upstream may be silent before the answer begins,
// 0 for ever. An answer that may not be repeated is waited for to the end.
func (a *attempt) stall() time.Duration {
	if !a.flow.Repeatable() {
		return 0
	}
	return max(stallGoals*a.flow.route.Goal, minStall)
}

// stallBetween is the same between two events.
func (a *attempt) stallBetween() time.Duration {
	if a.flow.route.Repeat != Resume {
		return 0
	}
	return max(stallPauses*a.flow.route.PauseGoal, minStall)
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
