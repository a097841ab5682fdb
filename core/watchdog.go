package core

import (
	"sync"
	"time"

	"github.com/hollowgrade/hollowgrade"
)

// A caller gives up on a stream after a gap of the greatest of two seconds, four goals and eight
// pause goals (the platform's rule). If an upstream is silent for a part of that, the call is sent to
// another one beside it while the caller still waits.
const (
	callerGap             = 2 * time.Second
	callerGapGoals        = 4
	callerGapPauses       = 8
	stallShare            = 0.55
	plainStall            = 900 * time.Millisecond // for calls that may run again: 15 times the usual work of a plain service
	plainStallGoals       = 3                      // in goals, if that is longer
	stallPredictionFactor = 2                      // in predicted times to the first event: a prediction is rarely that far off
)

// stallTimeout returns how long the upstream may be silent until another attempt is made beside it, 0 if
// none may be: the call waits for the answer to the end.
func (a *attempt) stallTimeout() time.Duration {
	f := a.flow
	if !f.Repeatable() {
		return 0
	}
	if f.route.Repeat != Resume {
		return max(plainStall, plainStallGoals*f.route.Goal)
	}
	gap := max(callerGap, callerGapGoals*f.route.Goal, callerGapPauses*f.route.PauseGoal)
	d := time.Duration(stallShare * float64(gap))
	if a.answerBegan {
		return d
	}
	return max(d, stallPredictionFactor*a.pick.FirstEvent)
}

// watchdog calls a function when nothing has happened for a while, and again as long as the function
// returns false. The function doesn't run after stop has returned.
type watchdog struct {
	clock   hollowgrade.Clock
	onStall func() bool

	mu         sync.Mutex
	timer      hollowgrade.Timer
	generation int // of the current wait; the timer of an earlier one has no effect
	ended      bool
}

// newWatchdog returns a watchdog that calls onStall after d, never if d is 0.
func newWatchdog(c hollowgrade.Clock, d time.Duration, bark func() bool) *watchdog {
	w := &watchdog{clock: c, onStall: bark}
	w.reset(d)
	return w
}

// reset restarts the wait.
func (w *watchdog) reset(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopTimer()
	if d > 0 && !w.ended {
		w.start(d)
	}
}

// start starts a wait. The lock is held.
func (w *watchdog) start(d time.Duration) {
	turn := w.generation
	w.timer = w.clock.AfterFunc(d, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.generation == turn && !w.ended && !w.onStall() {
			w.start(d)
		}
	})
}

// stop ends the watchdog.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.stopTimer()
}

// stopTimer ends the current wait. The lock is held.
func (w *watchdog) stopTimer() {
	w.generation++
	if w.timer != nil {
		w.timer.Stop()
	}
}
