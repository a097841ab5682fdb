package core

import (
	"context"
	"time"

	"github.com/hollowgrade/hollowgrade"
)

const (
	// probeTimeout bounds the connecting of a probe: within a region an answer takes some
	// milliseconds, and an upstream that says nothing counts as ended.
	probeTimeout = 300 * time.Millisecond
	// probedFor is for how long what was found holds for other calls that were lost with the upstream.
	probedFor = time.Second
)

// ending is a probe of an upstream whose connection broke.
type ending struct {
	at    time.Time
	done  chan struct{}
	found probeResult
}

// probeResult is what a probe found, and after how long.
type probeResult struct {
	presence hollowgrade.Presence
	took     time.Duration
}

// probeOnce returns what the probe finds of an upstream whose connection broke: one that is under way or was just made, or a
// new one. Upstreams break off single connections as well: one that reset a prompt of 296,000 tokens before it had
// read it, as did all others that it was sent to, went on with the rest, and the prompt would have been held for it.
func (c *Core) probeOnce(u hollowgrade.Upstream, request string) probeResult {
	if c.prober == nil {
		return probeResult{}
	}
	e, first := c.ending(u.Life())
	if !first {
		<-e.done
		return e.found
	}
	defer close(e.done)
	e.found = c.probe(u, request)
	return e.found
}

// probe looks whether an upstream is there.
func (c *Core) probe(u hollowgrade.Upstream, request string) probeResult {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	begun := c.clock.Now()
	p, err := c.prober.Probe(ctx, u)
	f := probeResult{p, c.clock.Since(begun)}
	c.log.Info("upstream probed after its connection broke", "upstream", u.Life(), "request", request, "found", p, "took_ms", f.took.Milliseconds(), "err", err)
	return f
}

// ending returns the probe of a life that is under way or was just made, or a new one.
func (c *Core) ending(l hollowgrade.Life) (e *ending, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	for o, e := range c.endings {
		if now.Sub(e.at) > probedFor {
			delete(c.endings, o)
		}
	}
	if e = c.endings[l]; e != nil {
		return e, false
	}
	e = &ending{at: now, done: make(chan struct{})}
	c.endings[l] = e
	return e, true
}
