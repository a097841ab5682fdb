package feed

import (
	"time"

	"github.com/charmbracelet/log"

	"github.com/hollowgrade/hollowgrade"
)

// Option configures a feed.
type Option func(*Feed)

// WithClock sets the clock.
func WithClock(c hollowgrade.Clock) Option {
	return func(f *Feed) { f.clock = c }
}

// WithLogger sets the logger.
func WithLogger(l *log.Logger) Option {
	return func(f *Feed) { f.log = l }
}

// WithWait sets how long one read waits at the store for a record. While the store serves, a view
// is at most that wait plus the time of an answer old.
func WithWait(d time.Duration) Option {
	return func(f *Feed) { f.wait = d }
}

// WithTiming sets when answers of the store are overdue.
func WithTiming(t Timing) Option {
	return func(f *Feed) { f.timing = t }
}

// WithPeersFirst sets the function that reports whether a process that is no reader and has no view
// yet waits for its peers before it reads the store.
func WithPeersFirst(f func() bool) Option {
	return func(d *Feed) { d.peersFirst = f }
}

// WithMinReadInterval sets the least time between a read that returned records and the next one.
// Records come in bursts, and each read has a cost.
func WithMinReadInterval(d time.Duration) Option {
	return func(f *Feed) { f.minInterval = d }
}

// WithReader sets the function that reports whether this process reads the store itself. Otherwise
// the view is updated by peers, after an initial read unless [WithPeersFirst] says otherwise.
func WithReader(f func() bool) Option {
	return func(d *Feed) { d.isReader = f }
}

// WithBreaker sets the breaker for calls to the store, which feeds of a process share.
func WithBreaker(a *Breaker) Option {
	return func(f *Feed) { f.breaker = a }
}

// WithRedial sets a function that closes kept connections to the store, so that the next call opens a new
// one. With it, a read whose answer is overdue is asked again on a new connection.
func WithRedial(redial func()) Option {
	return func(f *Feed) { f.redial = redial }
}

// WithVersion sets the function that returns the version of a value, 0 if it has none. After a return
// of the store a value does not replace one of a higher version that the store lost.
func WithVersion(f func(value []byte) int64) Option {
	return func(d *Feed) { d.version = f }
}

// WithLossTime sets how long records are believed that the store lost when it came back from an older
// copy, unless they are written again. By default that has no limit.
func WithLossTime(t time.Duration) Option {
	return func(d *Feed) { d.lossTime = t }
}

// WithOnReturn sets a function that is called when the view is complete again after the store came back
// from an older copy. Kept reports whether the store has a live record of a key.
func WithOnReturn(f func(kept func(key string) bool)) Option {
	return func(d *Feed) { d.onReturn = f }
}

// WithMaxValueBytes sets the size in bytes of the largest accepted value.
func WithMaxValueBytes(n int) Option {
	return func(f *Feed) { f.maxValueBytes = n }
}
