package feed

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/hollowgrade/hollowgrade"
)

// Access is what a process knows of its way to the store. All that calls the store
// shares it: while the store does not answer, one call tries at a time, and the others
// go on once it has an answer. Three feeds of each of 103 gateways that tried by
// themselves made 403 calls a second while the store was away (BenchmarkCalls of
// internal/spread). It is safe for concurrent use.
type Access struct {
	clock   hollowgrade.Clock
	spacing func() time.Duration

	mu     sync.Mutex
	away   bool
	trying bool      // whether a try is under way
	next   time.Time // before which no try is made while the store is away
	pauses *backoff.ExponentialBackOff
}

// NewAccess returns the access of a process. Spacing is the mean time between its tries
// while the store is away, where that is more than pauses that grow with each failure; it
// is asked anew each time.
func NewAccess(c hollowgrade.Clock, spacing func() time.Duration) *Access {
	p := backoff.NewExponentialBackOff()
	p.InitialInterval = firstPause
	p.MaxInterval = lastPause
	return &Access{clock: c, spacing: spacing, pauses: p}
}

// Begin reports whether a call to the store may be made now: wait is 0 then, and else
// how long to wait before asking again. A call that is a try should be answered at once.
// [Access.Note] has to be told what came of each call.
func (a *Access) Begin() (try bool, wait time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch now := a.clock.Now(); {
	case !a.away:
		return false, 0
	case a.trying:
		return false, followPause
	case now.Before(a.next):
		return false, min(a.next.Sub(now), followPause)
	default:
		a.trying = true
		return true, 0
	}
}

// Note notes what came of a call: whether it was a try, and whether the store answered.
func (a *Access) Note(try, answered bool) {
	spacing := a.spacing() // asked for without the lock: it may look at what waits for this one
	a.mu.Lock()
	defer a.mu.Unlock()
	if try {
		a.trying = false
	}
	a.away = !answered
	if answered {
		a.pauses.Reset()
		return
	}
	a.next = a.clock.Now().Add(max(a.pauses.NextBackOff(), drawn(spacing)))
}

// Doubt lets the next call be a try: this process has to call the store because others
// have lost it.
func (a *Access) Doubt() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.away = true
}

// drawn draws a time with a mean, so that processes that begin to wait at one moment do
// not end together.
func drawn(mean time.Duration) time.Duration {
	return time.Duration(2 * rand.Float64() * float64(mean))
}
