package feed

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/hollowgrade/hollowgrade"
)

// minTurnInterval is the least time from the begin of a probe that failed until a backup probes again as its
// turn comes. It bounds calls to the store while it fails all processes again and again, and is shorter than
// the three seconds after which views have to be fresh again. It counts from the begin because a store that is
// silent may serve this process long before the probe times out.
const minTurnInterval = 2 * time.Second

// Breaker is a circuit breaker for calls to the store, shared by all callers of a process: while
// the store does not answer, one call at a time probes it, and the others resume once it has
// answered. It is safe for concurrent use.
type Breaker struct {
	clock         hollowgrade.Clock
	probeInterval func() time.Duration

	mu         sync.Mutex
	down       bool
	probing    bool      // whether a probe is under way
	turnCame   bool      // [Breaker.SuspectOutage] was called during it
	probeBegun time.Time // when the last probe began, or another call failed
	nextProbe  time.Time // earliest time of the next probe
	delays     *backoff.ExponentialBackOff
}

// NewBreaker returns a breaker. ProbeInterval returns the mean time between probes where that is
// longer than the exponential delay; it is called for each reported call.
func NewBreaker(c hollowgrade.Clock, probeInterval func() time.Duration) *Breaker {
	p := backoff.NewExponentialBackOff()
	p.InitialInterval = minRetryDelay
	p.MaxInterval = maxRetryDelay
	return &Breaker{clock: c, probeInterval: probeInterval, delays: p}
}

// Begin reports whether a call to the store may be made now: wait is 0 then, else how long to wait
// before calling Begin again. A call that is a probe should not wait at the store. The outcome of
// each call has to be passed to [Breaker.Report].
func (a *Breaker) Begin() (probe bool, wait time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch now := a.clock.Now(); {
	case !a.down:
		return false, 0
	case a.probing:
		return false, followCheckInterval
	case now.Before(a.nextProbe):
		return false, min(a.nextProbe.Sub(now), followCheckInterval)
	default:
		a.probing, a.turnCame, a.probeBegun = true, false, now
		return true, 0
	}
}

// Report records whether a call was a probe and whether the store answered it.
func (a *Breaker) Report(probe, answered bool) {
	interval := a.probeInterval() // called without the lock, since it may need a lock whose holder waits for this one
	a.mu.Lock()
	defer a.mu.Unlock()
	if probe {
		a.probing = false
	}
	a.down = !answered
	if answered {
		a.delays.Reset()
		return
	}
	now := a.clock.Now()
	a.nextProbe = now.Add(max(a.delays.NextBackOff(), randomDelay(interval)))
	switch {
	case !probe:
		a.probeBegun = now
	case a.turnCame:
		a.probeForTurn()
	}
}

// SuspectOutage makes the next call a probe. It is called when this process starts to call the store
// because the store doesn't answer the readers. The delay since a probe before that applies for
// [minTurnInterval] only: the store may serve others now.
func (a *Breaker) SuspectOutage() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.down, a.turnCame = true, true
	a.probeForTurn()
}

// probeForTurn ends a longer delay of the next probe. The lock is held.
func (a *Breaker) probeForTurn() {
	if due := a.probeBegun.Add(minTurnInterval); due.Before(a.nextProbe) {
		a.nextProbe = due
	}
}

// randomDelay returns a random time with a given mean, so that processes that begin to wait
// together do not end together.
func randomDelay(mean time.Duration) time.Duration {
	return time.Duration(2 * rand.Float64() * float64(mean))
}
