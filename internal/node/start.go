package node

import (
	"context"
	"time"

	"github.com/hollowgrade/hollowgrade"
)

// Before a gateway serves callers it needs the configuration, the upstreams and the blocked requests
// from the store, some 30 ms after its start, and the load of its peers, within 100 ms. Earlier
// connections wait unread: a refusal would cost the caller an attempt, and placement without the load
// would send prompts to busy engines.
const (
	// startupTimeout bounds the wait, not counting time for which the process was stopped. Callers
	// give up on a connection that is not read for a second.
	startupTimeout = 700 * time.Millisecond
	// peersTimeout bounds the wait for the load of peers once the data of the store is read: some
	// listed peers may be dead.
	peersTimeout = 200 * time.Millisecond
	// startupPoll is the interval between checks, and maxPollStep the longest time that one counts
	// for. Without maxPollStep a process that was stopped for longer than startupTimeout would accept
	// callers as soon as it continues, up to 16 ms before it reads the configuration that arrived
	// meanwhile, and refuse them.
	startupPoll = 10 * time.Millisecond
	maxPollStep = 2 * startupPoll
)

// startupWait is the wait at startup before callers are served.
type startupWait struct {
	clock       hollowgrade.Clock
	storeRead   func() bool // whether the data of the store is read
	peersSynced func() bool // whether all peers have sent their load
}

// wait returns once all is known, or after a timeout.
func (o startupWait) wait(ctx context.Context) {
	last := o.clock.Now()
	var ran, since time.Duration // since is for how long the data of the store has been read
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

// awaitStartup returns once this gateway has what it needs to serve callers, or after a timeout.
func (n *GatewayNode) awaitStartup(ctx context.Context) {
	begin := n.clock.Now()
	startupWait{n.clock, n.storeRead, n.peersSynced}.wait(ctx)
	if ctx.Err() != nil {
		return
	}
	recovering := n.Core.Fleet().BeginServing(n.members.position())
	_, confirmed := n.config.Age()
	n.log.Info("serving callers", "waited_ms", n.clock.Since(begin).Milliseconds(), "configuration", n.Core.Catalog() != nil, "confirmed", confirmed,
		"upstreams", n.Core.Fleet().Size(), "held_known", !n.held.Fresh().IsZero(), "peers_heard", n.Core.Fleet().SyncedPeers(), "peers", n.members.peers(), "recovering", recovering)
}

// storeRead reports whether the data of the store is read. The configuration must also be confirmed:
// it is in force a moment earlier, and a call with a key would be refused until then.
func (n *GatewayNode) storeRead() bool {
	_, confirmed := n.config.Age()
	return confirmed && n.Core.Catalog() != nil && n.Core.Fleet().Size() > 0 && !n.held.Fresh().IsZero()
}

// peersSynced reports whether all other gateways of the cell have sent their load, or have started
// together with this one and have none.
func (n *GatewayNode) peersSynced() bool {
	return n.Core.Fleet().SyncedPeers() >= n.members.peers() || n.Core.Fleet().StartedTogether()
}
