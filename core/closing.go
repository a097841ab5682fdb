package core

import (
	"context"
	"sync"
	"time"

	"github.com/hollowgrade/hollowgrade"
)

// A relay, a supervisor's socket or a proxy in front of an upstream may accept connections while the
// upstream is down. Each call sent there is lost at once, may have run as far as is known, and uses
// up a retry. So an upstream that closes the connection of a probe is probed repeatedly, and all
// gateways avoid it until it keeps one.

const (
	// reprobeInterval is the interval of probes of an upstream that closes connections. Four
	// connections a second are fewer than the calls that one of its slots serves.
	reprobeInterval = 250 * time.Millisecond
	// maxWatchTime bounds how long an upstream is probed: upstreams are back after one or two seconds.
	// After that a call is sent again, and if it is lost, a new watch begins.
	maxWatchTime = 5 * time.Second
	// closingAvoidTime is how long such an upstream is avoided after each probe, and by peers after each
	// report. It covers a late probe and a lost report.
	closingAvoidTime = 4 * reprobeInterval
)

// watch starts to probe an upstream that closes connections, and has it avoided, until it keeps a
// connection, has another instance or was watched for [maxWatchTime]. The returned channel is closed
// once the first of these probes has checked the runs that were lost there.
func (c *Core) watch(u hollowgrade.Upstream, request string, first probeResult) (checked <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.watched[u.Instance()]; w != nil {
		return w
	}
	c.log.Info("upstream watched", "upstream", u.Instance(), "service", u.Service, "request", request, "why", "it closes connections without a word")
	w := make(chan struct{})
	c.watched[u.Instance()] = w
	go c.keepWatch(u, request, first, sync.OnceFunc(func() { close(w) }))
	return w
}

// keepWatch probes an upstream until the watch ends. It calls checked after each probe and at the
// end.
func (c *Core) keepWatch(u hollowgrade.Upstream, request string, first probeResult, checked func()) {
	begun, minCloseDelay := c.clock.Now(), first.took
	defer func() {
		checked()
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.watched, u.Instance())
		c.log.Info("upstream no longer watched", "upstream", u.Instance(), "watched_ms", c.clock.Since(begun).Milliseconds())
	}()
	for c.fleet.markClosing(u.Instance()) && c.clock.Since(begun) < maxWatchTime {
		hollowgrade.Sleep(context.Background(), c.clock, reprobeInterval)
		p := c.probe(u, request)
		if p.presence == hollowgrade.Absent {
			c.confirmAbsent(u)
		}
		if p.presence != hollowgrade.Closing {
			return
		}
		minCloseDelay = min(minCloseDelay, p.took)
		c.confirmClosing(u, minCloseDelay)
		checked()
	}
}

// An upstream with too many connections also closes new ones and serves the others. A crash is
// assumed only for runs that lasted several times as long as a new connection is kept, if nothing
// has come from the upstream since their loss.
const (
	// minRunFactor is the least ratio of a run's time to the time for which a new connection is
	// kept.
	minRunFactor  = 5
	minRunTime    = 10 * time.Millisecond // a connection that broke sooner may have been closed as it was opened
	inFlightGrace = 50 * time.Millisecond // what arrives this soon after a loss may have been sent before it
	// minSilence is the time without any data that counts as a crash: a running upstream sends an
	// event each 100 ms to some call. It is long enough for all losses of one crash to be recorded.
	minSilence = reprobeInterval - inFlightGrace
	// maxEndTime bounds the time from a loss until the upstream refuses connections, so that both count
	// as one crash.
	maxEndTime = 2 * reprobeInterval
)

// confirmClosing reports the runs that were lost at an upstream which still closes connections as
// caused by a crash, if they lasted much longer than it keeps these.
func (c *Core) confirmClosing(u hollowgrade.Upstream, closedAfter time.Duration) {
	minTime := max(minRunTime, minRunFactor*closedAfter)
	c.confirmCrash(u, func(ran, ago time.Duration) bool { return ran >= minTime && ago >= minSilence })
}

// confirmAbsent reports the runs that were just lost at an upstream which is absent now as caused by a
// crash. How long it kept the probes before tells nothing then: it was ending.
func (c *Core) confirmAbsent(u hollowgrade.Upstream) {
	c.confirmCrash(u, func(ran, ago time.Duration) bool { return ran >= minRunTime && ago <= maxEndTime })
}

// confirmCrash reports the runs that were lost at an upstream as caused by a crash, if nothing has come
// from it since. The condition gets the time of a run and the time since its loss.
func (c *Core) confirmCrash(u hollowgrade.Upstream, crashed func(ran, ago time.Duration) bool) {
	lastActivity := c.fleet.lastActivity(u.Instance())
	ls := c.unconfirmed.takeIf(u.ID, func(l unconfirmedLoss) bool {
		silent := !lastActivity.After(l.Lost.Add(inFlightGrace))
		return l.Upstream == u.Instance() && silent && crashed(l.Lost.Sub(l.Sent), c.clock.Since(l.Lost))
	})
	for _, l := range ls {
		c.log.Info("upstream crash confirmed by a later probe", "upstream", l.Upstream, "fingerprint", l.Fingerprint,
			"ran_ms", l.Lost.Sub(l.Sent).Milliseconds(), "lost_ms", c.clock.Since(l.Lost).Milliseconds())
		c.quarantine.RecordLoss(l)
	}
}

// markClosing records that an upstream closes connections, so that others are preferred, and reports
// it to peers unless they know. It returns false if that instance is no longer the current one.
func (f *Fleet) markClosing(l hollowgrade.Instance) (listed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[l]
	if m == nil {
		return false
	}
	now := f.clock.Now()
	m.avoidUntil = now.Add(closingAvoidTime)
	if m.avoidedByAllUntil.Sub(now) < 2*reprobeInterval {
		m.avoidedByAllUntil, m.publishAvoidUntil = m.avoidUntil, m.avoidUntil
		f.markChanged(m)
	}
	return true
}

// recordActivity records that an upstream has sent something.
func (f *Fleet) recordActivity(m *member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m.lastActivity = f.clock.Now()
}

// lastActivity returns when an instance of an upstream last sent something, zero if it hasn't.
func (f *Fleet) lastActivity(l hollowgrade.Instance) (t time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[l]; m != nil {
		t = m.lastActivity
	}
	return t
}
