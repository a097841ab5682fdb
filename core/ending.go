package core

import (
	"context"
	"time"

	"github.com/hollowgrade/hollowgrade"
)

const (
	// probeTimeout bounds the look whether an upstream still takes connections: within a region an answer
	// takes some milliseconds, and one that says nothing counts as ended.
	probeTimeout = 300 * time.Millisecond
	// probedFor is for how long what was found holds for other calls that were lost with the upstream.
	probedFor = time.Second
)

// ending is the look whether an upstream has ended.
type ending struct {
	at    time.Time
	done  chan struct{}
	ended bool
}

// ended reports whether an upstream has ended under a call whose connection broke. Upstreams
// break off single connections as well: one that reset a prompt of 296,000 tokens before it had read it, as did all
// others that it was sent to, went on with the rest, and the prompt would have been held for it.
func (c *Core) ended(u hollowgrade.Upstream, request string) bool {
	if c.prober == nil {
		return true
	}
	e, first := c.ending(u.Life())
	if !first {
		<-e.done
		return e.ended
	}
	defer close(e.done)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	takes, err := c.prober.Takes(ctx, u)
	e.ended = !takes
	c.log.Info("upstream looked at after its connection broke", "upstream", u.Life(), "request", request, "ended", e.ended, "err", err)
	return e.ended
}

// ending returns the look at a life that is under way or was just made, or a new one.
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
