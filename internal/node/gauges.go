package node

import (
	"errors"

	"github.com/hollowgrade/hollowgrade/feed"
	"github.com/hollowgrade/hollowgrade/quarantine"
)

// WatchLog adds a gauge of the log lines that were dropped.
func (n *Node) WatchLog(w *LogWriter) error {
	return n.metrics.Gauge("hollowgrade.log_dropped", "Log lines dropped since the output did not keep up or could not be written.", func() float64 {
		return float64(w.Dropped())
	})
}

func (n *GatewayNode) gauges(r *feed.Relay) error {
	return errors.Join(
		n.metrics.Gauge("hollowgrade.config_age", "Seconds since the configuration was last known to be the newest; -1 if never.", func() float64 {
			age, ok := n.config.Age()
			if !ok {
				return -1
			}
			return age.Seconds()
		}),
		n.metrics.Gauge("hollowgrade.config_version", "Version of the configuration in force; 0 if none.", func() float64 {
			if c := n.Core.Catalog(); c != nil {
				return float64(c.Version)
			}
			return 0
		}),
		n.metrics.Gauge("hollowgrade.store_era", "Era of the platform's store; it rises when the store comes back from an older copy; 0 if unknown.", func() float64 {
			return float64(n.config.Era())
		}),
		n.metrics.Gauge("hollowgrade.body_bytes", "Bytes that heads and bodies of requests take, also of those that are arriving.", func() float64 {
			return float64(n.bodies.Held())
		}),
		n.metrics.Gauge("hollowgrade.heads_too_large", "Requests refused since the start as their heads went beyond the limit.", func() float64 {
			return float64(n.callers.LargeHeads())
		}),
		n.metrics.Gauge("hollowgrade.heads_without_memory", "Requests refused since the start as there was no memory for their heads.", func() float64 {
			return float64(n.callers.HeadsWithoutMemory())
		}),
		n.metrics.Gauge("hollowgrade.memory_revoked", "Requests that were arriving and have given way to others since the start.", func() float64 {
			return float64(n.bodies.Revoked())
		}),
		n.metrics.Gauge("hollowgrade.halls_evacuated", "Data halls whose upstreams get no calls, since operators are emptying them.", func() float64 {
			return float64(len(n.Core.Fleet().Evacuation().Halls()))
		}),
		n.metrics.Gauge("hollowgrade.cold_upstreams", "Upstreams that are cold and get a bounded number of calls.", func() float64 {
			return float64(n.Core.Fleet().Cold())
		}),
		n.metrics.Gauge("hollowgrade.slow_upstreams", "Upstreams that are known to take longer than published.", func() float64 {
			return float64(n.Core.Fleet().Slow())
		}),
		n.metrics.Gauge("hollowgrade.prompts_waiting", "Long prompts that wait at this gateway for their turn.", func() float64 {
			es, _ := n.Core.Fleet().Waits()
			return float64(len(es))
		}),
		n.metrics.Gauge("hollowgrade.suspended", "Seconds for which the machine was suspended since the start.", func() float64 {
			_, total := n.clock.Suspensions()
			return total.Seconds()
		}),
		n.metrics.Gauge("hollowgrade.records_not_used", "Records of the store since the start that could not be used; the log has a line for each.", func() float64 {
			return float64(n.unused.Load())
		}),
		n.metrics.Gauge("hollowgrade.requests_held", "Requests that are sent to no upstream, since upstreams ended under them.", func() float64 {
			return n.blockCount(quarantine.KindRequest)
		}),
		n.metrics.Gauge("hollowgrade.parts_held", "Parts of prompts of which the requests are sent to no upstream, since upstreams ended under them.", func() float64 {
			return n.blockCount(quarantine.KindPart)
		}),
		n.metrics.Gauge("hollowgrade.requests_lost", "Requests and parts of prompts that are remembered since an upstream was lost under them.", func() float64 {
			return float64(n.Core.Quarantine().Size())
		}),
		n.metrics.Gauge("hollowgrade.peer_bytes", "Bytes that other gateways have told of the store since the start.", func() float64 {
			all, _ := r.Received()
			return float64(all)
		}),
		n.metrics.Gauge("hollowgrade.peer_bytes_wasted", "Those of them that were of answers that were cut, and told nothing.", func() float64 {
			_, wasted := r.Received()
			return float64(wasted)
		}))
}

// blockCount returns how many suspects of a kind are blocked.
func (n *GatewayNode) blockCount(k quarantine.Kind) (count float64) {
	for _, h := range n.Core.Quarantine().Blocks() {
		if h.Kind == k {
			count++
		}
	}
	return count
}
