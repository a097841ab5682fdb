package core

import (
	"slices"
	"sync"
	"time"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/quarantine"
)

const (
	// confirmWindow is how long after a loss a new instance of the upstream counts as proof that the
	// one before crashed: a restart takes one or two seconds, and its entry is read up to three
	// seconds later. A later replacement is unrelated to the broken connection.
	confirmWindow = 5 * time.Second
	// maxUnconfirmedPerUpstream is the number of calls that one upstream serves at a time.
	maxUnconfirmedPerUpstream = 64
)

// unconfirmedLosses holds runs that were lost at upstreams whose address still accepts connections.
// Most of these only broke a single connection. But a relay in front may accept while the upstream
// is down, so that only the next instance proves the crash. Without this, a request that crashed
// upstreams behind relays was still sent 39 to 47 times later than 3 s after its third loss
// (TestRequestThatEndsUpstreamsBehindRelays).
type unconfirmedLosses struct {
	clock hollowgrade.Clock

	mu     sync.Mutex
	losses map[string][]unconfirmedLoss // by upstream id
}

// unconfirmedLoss is a run that was lost at an instance of an upstream.
type unconfirmedLoss struct {
	quarantine.Loss
	startMillis int64 // start time of that instance in Unix ms
}

// add stores a loss at an upstream.
func (p *unconfirmedLosses) add(u hollowgrade.Upstream, l quarantine.Loss) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for id, ls := range p.losses {
		if ls = slices.DeleteFunc(ls, func(l unconfirmedLoss) bool { return now.Sub(l.Lost) > confirmWindow }); len(ls) > 0 {
			p.losses[id] = ls
		} else {
			delete(p.losses, id)
		}
	}
	if len(p.losses[u.ID]) < maxUnconfirmedPerUpstream {
		p.losses[u.ID] = append(p.losses[u.ID], unconfirmedLoss{l, u.StartMillis})
	}
}

// takeConfirmed removes and returns the losses that a new instance of an upstream confirms as caused
// by a crash. An upstream that doesn't report start times confirms none.
func (p *unconfirmedLosses) takeConfirmed(u hollowgrade.Upstream) []quarantine.Loss {
	now := p.clock.Now()
	return p.takeIf(u.ID, func(l unconfirmedLoss) bool {
		return l.startMillis != 0 && l.startMillis < u.StartMillis && now.Sub(l.Lost) <= confirmWindow
	})
}

// takeIf removes and returns the losses at an upstream that are confirmed as caused by a crash.
func (p *unconfirmedLosses) takeIf(id string, confirmed func(l unconfirmedLoss) bool) (ls []quarantine.Loss) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.losses[id] = slices.DeleteFunc(p.losses[id], func(l unconfirmedLoss) bool {
		if !confirmed(l) {
			return false
		}
		ls = append(ls, l.Loss)
		return true
	})
	if len(p.losses[id]) == 0 {
		delete(p.losses, id)
	}
	return ls
}

// instanceStarted is called when an instance of an upstream starts. It doesn't block, because the
// caller holds the fleet's lock.
func (c *Core) instanceStarted(u hollowgrade.Upstream) {
	if ls := c.unconfirmed.takeConfirmed(u); len(ls) > 0 {
		go c.confirmLosses(u, ls)
	}
}

// confirmLosses reports losses at an upstream whose next instance shows that it crashed.
func (c *Core) confirmLosses(u hollowgrade.Upstream, ls []quarantine.Loss) {
	for _, l := range ls {
		c.log.Info("upstream crash confirmed by its next instance", "upstream", l.Upstream, "next", u.Instance(), "fingerprint", l.Fingerprint,
			"lost_ms", c.clock.Since(l.Lost).Milliseconds())
		c.quarantine.RecordLoss(l)
	}
}
