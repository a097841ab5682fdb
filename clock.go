package hollowgrade

import "github.com/jonboulle/clockwork"

// Clock is the source of time of every part. It is passed in so that tests can
// replace it; [SystemClock] is the real one.
type Clock = clockwork.Clock

// Timer is a timer made by a [Clock].
type Timer = clockwork.Timer

// SystemClock returns the clock of the machine.
func SystemClock() Clock {
	return clockwork.NewRealClock()
}
