package retry

import (
	"sync"
	"time"
)

// windowParts is the resolution of a [Window]. One more part is stored than the window has, so that
// the counts cover at least its length.
const (
	windowParts = 20
	keptParts   = windowParts + 1
)

// startSlackShare is the part of the slack that a process may use in its first window: the process
// may have restarted, and its previous instance may have used the rest.
const startSlackShare = 0.2

// Window allows retries in proportion to the first attempts within a sliding window. Unlike [Budget]
// it accumulates nothing for longer than the window, so that the bound holds over each span of that
// length. It is safe for concurrent use.
type Window struct {
	mu      sync.Mutex
	part    time.Duration
	length  time.Duration
	ratio   float64
	slack   float64
	firsts  [keptParts]int
	retries [keptParts]int
	newest  int64 // index of the newest part, counted from start
	start   time.Time
}

// NewWindow returns a window of length d for a process that starts at now. It allows ratio retries
// for each first attempt in it and slack more; in the first d only a part of the slack.
func NewWindow(d time.Duration, ratio, slack float64, now time.Time) *Window {
	return &Window{part: d / windowParts, length: d, ratio: ratio, slack: slack, start: now}
}

// slide advances the window to now and returns the position of its newest part. The lock is held.
func (w *Window) slide(now time.Time) int {
	n := int64(now.Sub(w.start) / w.part)
	for ; w.newest < n; w.newest++ {
		if n-w.newest > keptParts {
			w.newest = n - keptParts
		}
		i := (w.newest + 1) % keptParts
		w.firsts[i], w.retries[i] = 0, 0
	}
	return int(w.newest % keptParts)
}

// RecordFirst records the first attempt of a request.
func (w *Window) RecordFirst(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.firsts[w.slide(now)]++
}

// SetSlack sets the number of retries that are allowed in addition to the ratio, for example when
// the number of processes that share it changes.
func (w *Window) SetSlack(n float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slack = n
}

// SetRatio sets the number of retries that are allowed for each first attempt.
func (w *Window) SetRatio(r float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ratio = r
}

// allows reports whether one more retry is within the bound. The lock is held.
func (w *Window) allows(now time.Time) bool {
	f, a := 0, 0
	for j := range keptParts {
		f += w.firsts[j]
		a += w.retries[j]
	}
	slack := w.slack
	if now.Sub(w.start) < w.length {
		slack *= startSlackShare
	}
	return float64(a+1) <= w.ratio*float64(f)+slack
}

// Spend takes one retry, and reports whether there was one.
func (w *Window) Spend(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := w.slide(now)
	if !w.allows(now) {
		return false
	}
	w.retries[i]++
	return true
}
