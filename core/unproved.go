package core

import (
	"slices"
	"sync"
	"time"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/quarantine"
)

const (
	// provedWithin is how long after a run was lost a new life of its upstream says that the one before ended
	// then: it is down for a second or two, and its entry is read up to three seconds later. An upstream that is
	// replaced some time after a connection broke there has nothing to do with that.
	provedWithin = 5 * time.Second
	// mostUnproved bounds the losses that are kept of one upstream: the calls that it serves at a time.
	mostUnproved = 64
)

// unproved keeps runs that were lost at upstreams whose address goes on accepting. Most of them broke a single
// connection and went on; of others something in front goes on accepting, and that they ended shows by their
// next life. Without it a request that ended upstreams behind such a relay was sent on 39 to 47 times later than 3 s
// after the third, at ten a second (TestRequestThatEndsUpstreamsBehindRelays).
type unproved struct {
	clock hollowgrade.Clock

	mu     sync.Mutex
	losses map[string][]unprovedLoss // by the upstream's id
}

// unprovedLoss is a run that was lost in a life of an upstream.
type unprovedLoss struct {
	quarantine.Loss
	born int64 // Unix ms of the start of that life
}

// add keeps a loss at an upstream.
func (p *unproved) add(u hollowgrade.Upstream, l quarantine.Loss) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for id, ls := range p.losses {
		if ls = slices.DeleteFunc(ls, func(l unprovedLoss) bool { return now.Sub(l.Lost) > provedWithin }); len(ls) > 0 {
			p.losses[id] = ls
		} else {
			delete(p.losses, id)
		}
	}
	if len(p.losses[u.ID]) < mostUnproved {
		p.losses[u.ID] = append(p.losses[u.ID], unprovedLoss{l, u.Born})
	}
}

// take takes the losses that a life of an upstream shows to have been under the end of the one before. One that
// does not tell its lives shows none.
func (p *unproved) take(u hollowgrade.Upstream) []quarantine.Loss {
	now := p.clock.Now()
	return p.takeIf(u.ID, func(l unprovedLoss) bool { return l.born != 0 && l.born < u.Born && now.Sub(l.Lost) <= provedWithin })
}

// takeIf takes the losses at an upstream that are shown to have been under its end.
func (p *unproved) takeIf(id string, shown func(l unprovedLoss) bool) (ls []quarantine.Loss) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.losses[id] = slices.DeleteFunc(p.losses[id], func(l unprovedLoss) bool {
		if !shown(l) {
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

// begun takes word that an upstream has begun a life. It does not wait: the fleet's lock is held.
func (c *Core) begun(u hollowgrade.Upstream) {
	if ls := c.unproved.take(u); len(ls) > 0 {
		go c.proved(u, ls)
	}
}

// proved notes losses at an upstream whose next life shows that it had ended.
func (c *Core) proved(u hollowgrade.Upstream, ls []quarantine.Loss) {
	for _, l := range ls {
		c.log.Info("upstream had ended, its next life shows", "upstream", l.Upstream, "next", u.Life(), "fingerprint", l.Fingerprint,
			"lost_ms", c.clock.Since(l.Lost).Milliseconds())
		c.lost.RecordLoss(l)
	}
}
