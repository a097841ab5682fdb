package core

import (
	"math"
	"time"
)

const (
	// peerCallDelay is the time until a call that a peer has placed is known here: it is decided,
	// sent in a packet and received, each on a box with a small part of a core.
	peerCallDelay = 10 * time.Millisecond
	// peerRateWindow is the time constant of the rate: a burst is noticed within a few hundred ms,
	// and at 100 calls a second 30 of them count.
	peerRateWindow = 300 * time.Millisecond
)

// rate is an exponentially weighted rate of calls.
type rate struct {
	perSecond float64
	at        time.Time
}

// plus returns the rate after n more calls.
func (r rate) plus(now time.Time, n int, timeConstant time.Duration) rate {
	return rate{r.value(now, timeConstant) + float64(n)/timeConstant.Seconds(), now}
}

// value returns the rate in calls per second. Memory is its time constant.
func (r rate) value(now time.Time, timeConstant time.Duration) float64 {
	return r.perSecond * math.Exp(-now.Sub(r.at).Seconds()/timeConstant.Seconds())
}

// recordPeerCalls counts calls of a service that a peer has placed. The lock is held.
func (f *Fleet) recordPeerCalls(service string, n int) {
	f.peerCallRates[service] = f.peerCallRates[service].plus(f.clock.Now(), n, peerRateWindow)
}

// unreportedCalls estimates the calls of a service that peers have placed and that are not known
// here yet. The lock is held.
func (f *Fleet) unreportedCalls(service string, now time.Time) float64 {
	return f.peerCallRates[service].value(now, peerRateWindow) * peerCallDelay.Seconds()
}
