package node

import (
	"fmt"
	"time"

	"github.com/hollowgrade/hollowgrade/feed"
	"github.com/hollowgrade/hollowgrade/platform"
)

// registryLossTime is how long entries of the registry are believed that the store lost. Upstreams that
// run write theirs again within two seconds, and the store drops the entry of one that does not after
// three missed heartbeats.
const registryLossTime = 4 * time.Second

// applyOperatorRecords applies changes of the operators' topic.
func (n *GatewayNode) applyOperatorRecords(cs []feed.Change) {
	for _, c := range cs {
		if hall, ok := platform.EvacuatedHall(c.Key); ok {
			n.applyEvacuation(hall, c.Dropped())
		}
	}
	n.applyConfig(cs)
}

// applyEvacuation starts or ends the evacuation of a data hall.
func (n *GatewayNode) applyEvacuation(hall string, ended bool) {
	if ended {
		n.Core.Fleet().EndEvacuation(hall)
	} else {
		n.Core.Fleet().Evacuate(hall)
	}
}

// applyConfig puts a new configuration in force. One that is invalid or not newer is ignored.
func (n *GatewayNode) applyConfig(cs []feed.Change) {
	for _, c := range cs {
		if c.Key != platform.ConfigKey || c.Dropped() {
			continue
		}
		g := n.log.With("offset", c.Offset, "era", c.Era, "bytes", len(c.Value), "from", c.Source())
		if c.Rewritten {
			g.Info("configuration written again", "version", platform.CatalogVersion(c.Value))
			continue
		}
		k, err := platform.DecodeCatalog(c.Value)
		switch {
		case err != nil:
			n.unused.Add(1)
			g.Error("configuration not used", "version", platform.CatalogVersion(c.Value), "why", err)
		case !n.Core.SetCatalog(k):
			g.Warn("configuration not used", "version", k.Version, "why", "it is not newer than the one in force", "in_force", n.Core.Catalog().Version)
		default:
			g.Info("configuration read", "version", k.Version, "in_force", true, "idle_limit_ms", k.Limits.IdleTimeout.Milliseconds(), "header_limit_ms", k.Limits.HeaderTimeout.Milliseconds())
		}
	}
}

// applyFleet puts changes of the registry into the table of upstreams.
func (n *GatewayNode) applyFleet(cs []feed.Change) {
	for _, c := range cs {
		if c.Dropped() {
			n.Core.Fleet().Drop(c.Key, c.UncertainUntil)
			continue
		}
		u, err := platform.DecodeUpstream(c.KeyedRecord)
		if err != nil {
			// Another writer may have written it. Calls in progress at this upstream finish there.
			n.unused.Add(1)
			n.log.Error("upstream not used", "key", fmt.Sprintf("%.64q", c.Key), "offset", c.Offset, "era", c.Era, "bytes", len(c.Value), "err", err)
			n.Core.Fleet().Drop(c.Key, time.Time{})
			continue
		}
		n.Core.Fleet().Put(u)
	}
}
