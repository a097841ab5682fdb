package node

import (
	"context"
	"time"

	"github.com/hollowgrade/hollowgrade"
)

// What a gateway has to know before it takes callers: configuration, upstreams, the requests that are held and
// the load of the others. That comes within some 30 ms of its
// start while the store serves, the load of the others within 100 ms. Callers whose
// connections come earlier wait for it unread: refused, each of them would have one
// try less, and placed blindly their prompts would go to engines that are busy.
const (
	// startupTimeout bounds the wait, in time for which the process ran. Callers give up what is not read for a second.
	startupTimeout = 700 * time.Millisecond
	// peersTimeout bounds the wait for other gateways once all else is known: some
	// that are listed may be dead.
	peersTimeout = 200 * time.Millisecond
	// startupPoll is how often it is looked at, and latePoll what one look counts for at the most. A process that stood
	// still for 0.72 s within 20 ms of its start took callers as it woke up, 0.1 to 16 ms before it had the
	// configuration that had come meanwhile, and refused them (4 of 7 plays of five starts each).
	startupPoll = 10 * time.Millisecond
	maxPollStep = 2 * startupPoll
)

// startupWait is the wait before callers are taken.
type startupWait struct {
	clock       hollowgrade.Clock
	storeRead   func() bool // all that is needed but the load of the others
	peersSynced func() bool // the load of the others
}

// wait returns once all is known, or has been waited for for long enough.
func (o startupWait) wait(ctx context.Context) {
	last := o.clock.Now()
	var ran, since time.Duration // since is for how long all but the load of the others has been known
	for ran < startupTimeout {
		known := o.storeRead()
		if known && (o.peersSynced() || since >= peersTimeout) {
			return
		}
		if !hollowgrade.Sleep(ctx, o.clock, startupPoll) {
			return
		}
		now := o.clock.Now()
		d := min(now.Sub(last), maxPollStep)
		last = now
		ran += d
		if known {
			since += d
		}
	}
}

// awaitStartup returns once this gateway knows what it needs to take callers, or has
// waited for long enough.
func (n *GatewayNode) awaitStartup(ctx context.Context) {
	begin := n.clock.Now()
	startupWait{n.clock, n.storeRead, n.peersSynced}.wait(ctx)
	if ctx.Err() != nil {
		return
	}
	_, confirmed := n.config.Age()
	n.log.Info("callers are taken", "waited_ms", n.clock.Since(begin).Milliseconds(), "configuration", n.Core.Catalog() != nil, "confirmed", confirmed,
		"upstreams", n.Core.Fleet().Size(), "held_known", !n.held.Fresh().IsZero(), "peers_heard", n.Core.Fleet().SyncedPeers(), "peers", n.members.count()-1)
}

// storeRead reports whether all is known that the store tells. A configuration is in force a moment before it
// counts as confirmed, and a call with a key would be refused meanwhile.
func (n *GatewayNode) storeRead() bool {
	_, confirmed := n.config.Age()
	return confirmed && n.Core.Catalog() != nil && n.Core.Fleet().Size() > 0 && !n.held.Fresh().IsZero()
}

// peersSynced reports whether all other gateways have told of their load.
func (n *GatewayNode) peersSynced() bool {
	return n.Core.Fleet().SyncedPeers()+1 >= n.members.count()
}
