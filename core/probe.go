package core

import (
	"context"
	"time"

	"github.com/hollowgrade/hollowgrade"
)

const (
	// probeTimeout bounds the connecting of a probe. Within a region an answer takes some
	// milliseconds; an upstream that doesn't answer counts as crashed.
	probeTimeout = 300 * time.Millisecond
	// probeResultTTL is how long a result is kept for calls that were lost at the same instance at
	// about the same time.
	probeResultTTL = time.Second
	// maxProbeLead is how long before a loss its probe may have begun: the connections of one crash
	// break within this time.
	maxProbeLead = 50 * time.Millisecond
)

// sharedProbe is a probe of an upstream whose connection broke.
type sharedProbe struct {
	at     time.Time
	done   chan struct{}
	result probeResult
}

// foundClosing reports whether the probe has ended and found that the upstream closes connections.
func (e *sharedProbe) foundClosing() bool {
	select {
	case <-e.done:
		return e.result.presence == hollowgrade.Closing
	default:
		return false
	}
}

// probeResult is what a probe found, and how long it took.
type probeResult struct {
	presence hollowgrade.Presence
	took     time.Duration
}

// probeOnce returns the result of a probe of an upstream whose connection broke: of one that another
// loss at about the same time has begun, or of a new one. A broken connection alone is no crash: an
// upstream may reset a long prompt before it has read it, and go on with other calls.
func (c *Core) probeOnce(u hollowgrade.Upstream, request string, lost time.Time) probeResult {
	if c.prober == nil {
		return probeResult{}
	}
	e, first := c.probeOf(u.Instance(), lost)
	if !first {
		<-e.done
		return e.result
	}
	defer close(e.done)
	e.result = c.probe(u, request)
	return e.result
}

// probe checks whether an upstream is present.
func (c *Core) probe(u hollowgrade.Upstream, request string) probeResult {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	begun := c.clock.Now()
	p, err := c.prober.Probe(ctx, u)
	f := probeResult{p, c.clock.Since(begun)}
	c.log.Info("upstream probed after its connection broke", "upstream", u.Instance(), "request", request, "found", p, "took_ms", f.took.Milliseconds(), "err", err)
	return f
}

// probeOf returns the probe of an instance that is in progress or was just made, unless it began before
// a loss, or adds a new one that the caller has to run. While an instance is watched, the probes of its
// watch show what became of later losses.
func (c *Core) probeOf(l hollowgrade.Instance, lost time.Time) (e *sharedProbe, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	for o, e := range c.probes {
		if now.Sub(e.at) > probeResultTTL && c.watched[o] == nil {
			delete(c.probes, o)
		}
	}
	if e = c.probes[l]; e != nil && (lost.Sub(e.at) <= maxProbeLead || c.watched[l] != nil && e.foundClosing()) {
		return e, false
	}
	e = &sharedProbe{at: now, done: make(chan struct{})}
	c.probes[l] = e
	return e, true
}
