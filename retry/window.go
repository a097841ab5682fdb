package retry

import (
	"sync"
	"time"
)

// windowParts is how finely a [Window] slides. One part more is kept than the
// window has, so that what is counted spans at least its length.
const (
	windowParts = 20
	keptParts   = windowParts + 1
)

// startShare is the part of the slack that a process may use in its first
// window: an earlier life of it may have spent the rest.
const startShare = 0.2

// Window allows repeats in proportion to the first sends of the last while. It
// is safe for concurrent use. Unlike [Budget] it saves nothing up for longer
// than its window, so that a bound over each window of that length is kept.
type Window struct {
	mu     sync.Mutex
	part   time.Duration
	length time.Duration
	ratio  float64
	slack  float64
	firsts [keptParts]int
	again  [keptParts]int
	at     int64 // number of the newest part, counted from start
	start  time.Time
}

// NewWindow returns a window of length d for a process that starts at now. It
// allows ratio repeats for each first send in it, and slack more, but of the
// slack only a part in the first d.
func NewWindow(d time.Duration, ratio, slack float64, now time.Time) *Window {
	return &Window{part: d / windowParts, length: d, ratio: ratio, slack: slack, start: now}
}

// slide moves the window on to now. The lock is held.
func (w *Window) slide(now time.Time) int {
	n := int64(now.Sub(w.start) / w.part)
	for ; w.at < n; w.at++ {
		if n-w.at > keptParts {
			w.at = n - keptParts
		}
		i := (w.at + 1) % keptParts
		w.firsts[i], w.again[i] = 0, 0
	}
	return int(w.at % keptParts)
}

// First notes the first send of a request.
func (w *Window) First(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.firsts[w.slide(now)]++
}

// SetSlack replaces the number of repeats that are allowed beside the ratio, as
// when the processes that share it become more or fewer.
func (w *Window) SetSlack(n float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slack = n
}

// allows does the sum. The lock is held.
func (w *Window) allows(now time.Time) bool {
	f, a := 0, 0
	for j := range keptParts {
		f += w.firsts[j]
		a += w.again[j]
	}
	slack := w.slack
	if now.Sub(w.start) < w.length {
		slack *= startShare
	}
	return float64(a+1) <= w.ratio*float64(f)+slack
}

// Spend takes one repeat, and reports whether there was one.
func (w *Window) Spend(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := w.slide(now)
	if !w.allows(now) {
		return false
	}
	w.again[i]++
	return true
}
