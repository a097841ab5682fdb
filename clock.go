package hollowgrade

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Clock is the source of time of all packages. It is passed in so that tests can replace
// [SystemClock].
type Clock = clockwork.Clock

// Timer is a timer made by a [Clock].
type Timer = clockwork.Timer

// SystemClock returns the clock of the machine.
func SystemClock() Clock {
	return clockwork.NewRealClock()
}

// Sleep waits for d on the clock. It returns false if ctx ends first.
func Sleep(ctx context.Context, c Clock, d time.Duration) bool {
	t := c.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}

// Later returns the later of two times.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
