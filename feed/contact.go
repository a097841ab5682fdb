package feed

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/hollowgrade/hollowgrade"
)

// relistTime is how long after a return of the store entries may be missing of upstreams that run.
const relistTime = 2 * time.Second

// contact knows when this process was itself cut off: it polled peers, and neither a peer nor the store
// answered. It is shared by the feeds of a process and safe for concurrent use.
type contact struct {
	clock hollowgrade.Clock

	mu          sync.Mutex
	heardAt     time.Time // when a peer or the store last answered
	silentSince time.Time // when the first poll after that was sent which got no answer; zero if none was
	regainedAt  time.Time // when the last silence ended
	isolatedEnd time.Time // when the last silence ended that was longer than relistTime
}

// heard records that a peer or the store has answered.
func (c *contact) heard() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heardAt = c.clock.Now()
	if c.silentSince.IsZero() {
		return
	}
	c.regainedAt = c.heardAt
	if c.heardAt.Sub(c.silentSince) > relistTime {
		c.isolatedEnd = c.heardAt
	}
	c.silentSince = time.Time{}
}

// lost records that a poll sent at the given time got no answer. A refused connection shows that the
// network works.
func (c *contact) lost(sent time.Time, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silentSince.IsZero() && sent.After(c.heardAt) {
		c.silentSince = sent
	}
}

// cutOffSince reports whether this process was cut off at any time since t.
func (c *contact) cutOffSince(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.silentSince.IsZero() || c.regainedAt.After(t)
}

// isolatedSince reports whether this process was cut off for longer than [relistTime], until after t and
// not long ago.
func (c *contact) isolatedSince(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if !c.silentSince.IsZero() && now.Sub(c.silentSince) > relistTime {
		return true
	}
	return c.isolatedEnd.After(t) && now.Sub(c.isolatedEnd) < uncertainPeriod
}
