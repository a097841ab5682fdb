package hollowgrade

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

const (
	// suspensionCheckInterval is how often a world clock looks whether the machine was suspended while it is asked
	// for the time: each look is a system call. What must not be late by that looks itself, with [Notice].
	suspensionCheckInterval = 20 * time.Millisecond
	// minSuspension is the shortest difference between the two clocks that counts as a suspension. They
	// are read one after the other, by a process that may be held up between the two for less than readWithin.
	minSuspension = 50 * time.Millisecond
	maxReadTime   = 5 * time.Millisecond
	// maxReads bounds how often they are read until that is so; the next look does.
	maxReads = 3
)

// SuspendAwareClock is a clock for what passes in the world: also the time counts for which the machine was
// suspended, which the steady clock leaves out. Timers run on the steady clock, so that those which
// were set before a suspension are late by it; whoever decides by time asks the clock. Steps of
// the time of day change nothing on it.
type SuspendAwareClock struct {
	clockwork.Clock
	boot func() (time.Duration, error) // time since the machine started, with suspensions

	mu          sync.Mutex
	started     time.Time
	bootAtStart time.Duration // boot when the clock was made
	suspended   time.Duration // in all, as far as it was noticed
	count       int
	checkedAt   time.Time // on the steady clock
	callbacks   []func(d time.Duration)
}

// SuspendAwareClockOption changes a world clock as it is made.
type SuspendAwareClockOption func(*SuspendAwareClock)

// WithSteadyClock sets the clock that timers run on.
func WithSteadyClock(c Clock) SuspendAwareClockOption {
	return func(w *SuspendAwareClock) { w.Clock = c }
}

// WithBootClock sets how long ago the machine started, with the time for which it was suspended.
func WithBootClock(f func() (time.Duration, error)) SuspendAwareClockOption {
	return func(w *SuspendAwareClock) { w.boot = f }
}

// NewSuspendAwareClock returns a clock that has seen no suspension yet.
func NewSuspendAwareClock(os ...SuspendAwareClockOption) *SuspendAwareClock {
	w := &SuspendAwareClock{Clock: SystemClock(), boot: bootTime}
	for _, o := range os {
		o(w)
	}
	w.started, w.bootAtStart, _ = w.read()
	w.checkedAt = w.started
	return w
}

// bootTime returns how long ago the machine started, with the time for which it was suspended.
func bootTime() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

// OnSuspension adds a function that is told of each suspension, and for how long it was. It is called by
// whoever notices it, before anything is decided.
func (w *SuspendAwareClock) OnSuspension(f func(d time.Duration)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.callbacks = append(w.callbacks, f)
}

// Suspensions returns how many suspensions were noticed, and their time in all.
func (w *SuspendAwareClock) Suspensions() (n int, all time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.count, w.suspended
}

// Now implements [Clock].
func (w *SuspendAwareClock) Now() time.Time {
	now := w.Clock.Now()
	w.mu.Lock()
	due := now.Sub(w.checkedAt) >= suspensionCheckInterval
	all := w.suspended
	w.mu.Unlock()
	if due {
		all = w.CheckSuspension()
	}
	return now.Add(all)
}

// Since implements [Clock].
func (w *SuspendAwareClock) Since(t time.Time) time.Duration {
	return w.Now().Sub(t)
}

// Until implements [Clock].
func (w *SuspendAwareClock) Until(t time.Time) time.Duration {
	return t.Sub(w.Now())
}

// CheckSuspension looks whether the machine was suspended since the last look, and returns for how long it
// was in all.
func (w *SuspendAwareClock) CheckSuspension() time.Duration {
	now, boot, ok := w.read()
	w.mu.Lock()
	w.checkedAt = now
	d := boot - w.bootAtStart - now.Sub(w.started) - w.suspended
	if !ok || d < minSuspension {
		defer w.mu.Unlock()
		return w.suspended
	}
	w.suspended += d
	w.count++
	all, fs := w.suspended, w.callbacks
	w.mu.Unlock()
	for _, f := range fs {
		f(d)
	}
	return all
}

// read reads both clocks as at one moment. It returns false if it was held up in between, or the
// machine doesn't tell.
func (w *SuspendAwareClock) read() (now time.Time, boot time.Duration, ok bool) {
	for range maxReads {
		now = w.Clock.Now()
		b, err := w.boot()
		if err != nil {
			return now, 0, false
		}
		if w.Clock.Since(now) <= maxReadTime {
			return now, b, true
		}
		boot = b
	}
	return now, boot, false
}

// CheckSuspension lets a clock look whether the machine was suspended, if it can tell. What is decided by the
// age of something asks for it first.
func CheckSuspension(c Clock) {
	if w, ok := c.(*SuspendAwareClock); ok {
		w.CheckSuspension()
	}
}

// WallTime returns the time of day, for what others read.
func WallTime(c Clock) time.Time {
	if w, ok := c.(*SuspendAwareClock); ok {
		return w.Clock.Now()
	}
	return c.Now()
}
