package hollowgrade

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

const (
	// suspensionCheckInterval is the least time between the checks that Now makes: each one is a
	// system call. Code that can't wait that long for a suspension to be detected calls
	// [CheckSuspension].
	suspensionCheckInterval = 20 * time.Millisecond
	// minSuspension is the shortest difference between the two clocks that counts as a suspension. They
	// are read one after the other, and a reading is discarded if that takes longer than maxReadTime.
	minSuspension = 50 * time.Millisecond
	maxReadTime   = 5 * time.Millisecond
	// maxReads bounds the readings in one check. If all take too long, the next check tries again.
	maxReads = 3
)

// WorldClock is a clock that includes the time for which the machine was suspended, which the steady
// (monotonic) clock leaves out. Changes of the time of day don't affect it. Timers run on the steady
// clock and are late by the time of a suspension, so decisions have to compare times from Now.
type WorldClock struct {
	clockwork.Clock
	boot func() (time.Duration, error) // time since the machine started, including suspensions

	mu          sync.Mutex
	started     time.Time
	bootAtStart time.Duration // boot when the clock was created
	suspended   time.Duration // total of the detected suspensions
	count       int
	checkedAt   time.Time // on the steady clock
	callbacks   []func(d time.Duration)
	unreported  []time.Duration // suspensions for which the callbacks have not been called yet
	reporting   bool            // whether a goroutine is calling the callbacks
}

// WorldClockOption configures a [WorldClock].
type WorldClockOption func(*WorldClock)

// WithSteadyClock sets the monotonic clock, on which timers run.
func WithSteadyClock(c Clock) WorldClockOption {
	return func(w *WorldClock) { w.Clock = c }
}

// WithBootClock sets the function that returns the time since the machine started, including
// suspensions.
func WithBootClock(f func() (time.Duration, error)) WorldClockOption {
	return func(w *WorldClock) { w.boot = f }
}

// NewWorldClock returns a clock that counts the suspensions from now on.
func NewWorldClock(os ...WorldClockOption) *WorldClock {
	w := &WorldClock{Clock: SystemClock(), boot: bootTime}
	for _, o := range os {
		o(w)
	}
	w.started, w.bootAtStart, _ = w.read()
	w.checkedAt = w.started
	return w
}

// bootTime returns the time since the machine started, including suspensions.
func bootTime() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

// OnSuspension registers a function that is called with the duration of each suspension, in the order of
// the suspensions and never twice at a time. [WorldClock.CheckSuspension] calls it before it returns,
// unless the calls for an earlier suspension are still in progress, which it then follows. All other
// methods may be called with a lock held that f waits for: f then runs on a goroutine of its own, and
// the time already includes the suspension when f is called.
func (w *WorldClock) OnSuspension(f func(d time.Duration)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.callbacks = append(w.callbacks, f)
}

// Suspensions returns the number and the total duration of the detected suspensions.
func (w *WorldClock) Suspensions() (n int, all time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.count, w.suspended
}

// Now implements [Clock]. It does not wait for the callbacks of a suspension that it detects.
func (w *WorldClock) Now() time.Time {
	now := w.Clock.Now()
	w.mu.Lock()
	due := now.Sub(w.checkedAt) >= suspensionCheckInterval
	all := w.suspended
	w.mu.Unlock()
	if !due {
		return now.Add(all)
	}
	all, report := w.detect()
	if report {
		go w.report()
	}
	return now.Add(all)
}

// Since implements [Clock].
func (w *WorldClock) Since(t time.Time) time.Duration {
	return w.Now().Sub(t)
}

// Until implements [Clock].
func (w *WorldClock) Until(t time.Time) time.Duration {
	return t.Sub(w.Now())
}

// CheckSuspension checks whether the machine was suspended since the last check, and calls the callbacks
// if it was. It must not be called with a lock held that they wait for. It returns the total duration of
// the detected suspensions.
func (w *WorldClock) CheckSuspension() time.Duration {
	all, report := w.detect()
	if report {
		w.report()
	}
	return all
}

// detect checks whether the machine was suspended since the last check. It returns the total duration of
// the detected suspensions, and whether the caller has to call report.
func (w *WorldClock) detect() (all time.Duration, report bool) {
	now, boot, ok := w.read()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkedAt = now
	d := boot - w.bootAtStart - now.Sub(w.started) - w.suspended
	if !ok || d < minSuspension {
		return w.suspended, false
	}
	w.suspended += d
	w.count++
	w.unreported = append(w.unreported, d)
	report = !w.reporting
	w.reporting = true
	return w.suspended, report
}

// report calls the callbacks for all suspensions for which that has not been done.
func (w *WorldClock) report() {
	for {
		d, fs, ok := w.nextReport()
		if !ok {
			return
		}
		for _, f := range fs {
			f(d)
		}
	}
}

// nextReport returns the earliest suspension for which the callbacks have not been called. It ends the
// reporting if there is none.
func (w *WorldClock) nextReport() (d time.Duration, fs []func(d time.Duration), ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.unreported) == 0 {
		w.reporting = false
		return 0, nil, false
	}
	d, w.unreported = w.unreported[0], w.unreported[1:]
	return d, w.callbacks, true
}

// read reads both clocks. It returns false if too much time passed between the two readings, or if the
// machine has no boot clock.
func (w *WorldClock) read() (now time.Time, boot time.Duration, ok bool) {
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

// CheckSuspension makes a [WorldClock] check whether the machine was suspended; it does nothing
// for other clocks. Call it before decisions that depend on the age of something, and without locks that
// a callback of the clock waits for.
func CheckSuspension(c Clock) {
	if w, ok := c.(*WorldClock); ok {
		w.CheckSuspension()
	}
}

// WallTime returns the time of day, for timestamps that other processes or people read.
func WallTime(c Clock) time.Time {
	if w, ok := c.(*WorldClock); ok {
		return w.Clock.Now()
	}
	return c.Now()
}
