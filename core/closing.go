package core

import (
	"context"
	"sync"
	"time"

	"github.com/hollowgrade/hollowgrade"
)

// Something in front of an upstream may go on taking connections while it is down: a relay of its box, a
// supervisor's socket, a proxy. Each call that is sent there is lost at once, may have run as far as is known, and
// takes a retry out of the budget, and each gateway found that out for itself, again each half second. With three
// gateways before 24 upstreams behind relays, of which a request ended 19, 38 of the 54 calls that failed beside it
// had lost their only attempt within 3 ms (TestRequestThatEndsUpstreamsBehindRelays: 0.943 to 0.975 of the others
// served, 0.998 and 1.000 with this).
// So an upstream that closes the connection of a probe is probed on, and all gateways avoid it until it keeps one.

const (
	// probeAgain is after how long an upstream that closes connections is probed again. Four connections a second
	// are fewer than the calls that one slot of an upstream gets.
	probeAgain = 250 * time.Millisecond
	// watchedFor is for how long that goes on after a call was lost: upstreams are back after a second or two.
	// After that a call is sent again, and if it is lost, so are the probes.
	watchedFor = 5 * time.Second
	// closingAvoid is for how long such an upstream is avoided after each probe, and by others after each
	// word of it: a probe that is late and a word that is lost leave no gap.
	closingAvoid = 4 * probeAgain
)

// watch probes an upstream that was found to close connections until it keeps one, has another life or has been
// watched for long, and lets it be avoided meanwhile. What it returns is closed once the first of these probes has
// told what it can of the runs that were lost there.
func (c *Core) watch(u hollowgrade.Upstream, request string, first probeResult) (judged <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.watched[u.Life()]; w != nil {
		return w
	}
	c.log.Info("upstream watched", "upstream", u.Life(), "service", u.Service, "request", request, "why", "it closes connections without a word")
	w := make(chan struct{})
	c.watched[u.Life()] = w
	go c.keepWatch(u, request, first, sync.OnceFunc(func() { close(w) }))
	return w
}

// keepWatch probes an upstream until it need not be watched any more. It calls judged after each probe, and at the end.
func (c *Core) keepWatch(u hollowgrade.Upstream, request string, first probeResult, judged func()) {
	begun, soonest := c.clock.Now(), first.took
	defer func() {
		judged()
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.watched, u.Life())
		c.log.Info("upstream watched no more", "upstream", u.Life(), "watched_ms", c.clock.Since(begun).Milliseconds())
	}()
	for c.fleet.closing(u.Life()) && c.clock.Since(begun) < watchedFor {
		hollowgrade.Sleep(context.Background(), c.clock, probeAgain)
		p := c.probe(u, request)
		if p.presence != hollowgrade.Closing {
			return
		}
		soonest = min(soonest, p.took)
		c.ranThere(u, soonest)
		judged()
	}
}

// An upstream with too many connections closes new ones as well, and goes on with the others. It has ended if what ran
// there was lost after it had run for several times as long as a new connection is kept, and nothing has come from it since.
const (
	// keptTimes is by how many times a run has to have lasted longer than a new connection is kept.
	keptTimes = 5
	leastKept = 10 * time.Millisecond // a connection of a run that broke sooner may have been closed as it was opened
	underWay  = 50 * time.Millisecond // what comes so soon after a loss may have been sent before it
	// silentFor is for how long nothing has to have come: one that goes on sends an event each 100 ms to somebody.
	// It leaves the losses of one moment some time to be noticed one after another.
	silentFor = probeAgain - underWay
)

// ranThere takes the runs that were lost at an upstream which has gone on closing connections as lost by its end, as
// far as they ran there.
func (c *Core) ranThere(u hollowgrade.Upstream, closedAfter time.Duration) {
	now, heard := c.clock.Now(), c.fleet.heardFrom(u.Life())
	ls := c.unproved.takeIf(u.ID, func(l unprovedLoss) bool {
		ran := l.Upstream == u.Life() && l.Lost.Sub(l.Sent) >= max(leastKept, keptTimes*closedAfter)
		return ran && now.Sub(l.Lost) >= silentFor && !heard.After(l.Lost.Add(underWay))
	})
	for _, l := range ls {
		c.log.Info("upstream had ended, it closes connections and says nothing", "upstream", l.Upstream, "fingerprint", l.Fingerprint,
			"ran_ms", l.Lost.Sub(l.Sent).Milliseconds(), "closed_after_ms", closedAfter.Milliseconds(), "lost_ms", c.clock.Since(l.Lost).Milliseconds())
		c.lost.RecordLoss(l)
	}
}

// closing notes that an upstream closes connections, so that others are preferred to it, and tells other
// processes unless they know. It returns false once that life is over.
func (f *Fleet) closing(l hollowgrade.Life) (listed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[l]
	if m == nil {
		return false
	}
	now := f.clock.Now()
	m.avoid = now.Add(closingAvoid)
	if m.avoidedByAll.Sub(now) < 2*probeAgain {
		m.avoidedByAll, m.blamed = m.avoid, m.avoid
		f.change(m)
	}
	return true
}

// heard notes that an upstream has said something.
func (f *Fleet) heard(m *member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m.heard = f.clock.Now()
}

// heardFrom returns when a life of an upstream said something last, zero if it has not.
func (f *Fleet) heardFrom(l hollowgrade.Life) (t time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[l]; m != nil {
		t = m.heard
	}
	return t
}
