package retry

import (
	"sync"
	"time"
)

// windowParts is how finely a [Window] slides: a request is counted for at most
// one part longer than the window.
const windowParts = 20

// Window allows repeats in proportion to the first sends of the last while. It
// is safe for concurrent use. Unlike [Budget] it saves nothing up for longer
// than its window, so that a bound over each window of that length is kept.
type Window struct {
	mu     sync.Mutex
	part   time.Duration
	ratio  float64
	slack  float64
	firsts [windowParts]int
	again  [windowParts]int
	at     int64 // number of the newest part, counted from start
	start  time.Time
}

// NewWindow returns a window of length d that begins at now. It allows ratio
// repeats for each first send in it, and slack more.
func NewWindow(d time.Duration, ratio, slack float64, now time.Time) *Window {
	return &Window{part: d / windowParts, ratio: ratio, slack: slack, start: now}
}

// slide moves the window on to now. The lock is held.
func (w *Window) slide(now time.Time) int {
	n := int64(now.Sub(w.start) / w.part)
	for ; w.at < n; w.at++ {
		if n-w.at > windowParts {
			w.at = n - windowParts
		}
		i := (w.at + 1) % windowParts
		w.firsts[i], w.again[i] = 0, 0
	}
	return int(w.at % windowParts)
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

// Allows reports whether there is a repeat to spend.
func (w *Window) Allows(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slide(now)
	return w.allows()
}

// allows does the sum. The lock is held.
func (w *Window) allows() bool {
	f, a := 0, 0
	for j := range windowParts {
		f += w.firsts[j]
		a += w.again[j]
	}
	return float64(a+1) <= w.ratio*float64(f)+w.slack
}

// Spend takes one repeat, and reports whether there was one.
func (w *Window) Spend(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := w.slide(now)
	if !w.allows() {
		return false
	}
	w.again[i]++
	return true
}
