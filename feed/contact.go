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
// answered. It also knows when the store was away: it failed this process, and peers answered of which it
// served none. It is shared by the feeds of a process and safe for concurrent use.
type contact struct {
	clock hollowgrade.Clock

	mu          sync.Mutex
	heardAt     time.Time // when a peer or the store last answered
	silentSince time.Time // when the first poll after that was sent which got no answer; zero if none was
	regainedAt  time.Time // when the last silence ended
	isolatedEnd time.Time // when the last silence ended that was longer than relistTime
	awaySince   time.Time // when the first poll was sent by which the store is known to be away; zero if it isn't
	returnedAt  time.Time // when the store was first known to serve again; zero if it was never away
	failedAt    time.Time // when a new connection to the store last failed, or was not answered in time
	suspicion   chan struct{}
}

// suspected returns a channel that is closed when a connection to the store is found silent.
func (c *contact) suspected() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.suspicion == nil {
		c.suspicion = make(chan struct{})
	}
	return c.suspicion
}

// suspectConnections records that a connection to the store was found silent, so that others may be too.
func (c *contact) suspectConnections() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.suspicion != nil {
		close(c.suspicion)
		c.suspicion = nil
	}
}

// noteStoreFails records that a new connection to the store failed or is not answered in time.
func (c *contact) noteStoreFails() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failedAt = c.clock.Now()
}

// storeFailedAt returns when that was last, the zero time if it never was.
func (c *contact) storeFailedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failedAt
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

// noteStoreAway records that the store fails this process, and that a peer polled at the given time answered
// and found nobody whom it serves. Peers that it serves may not have been reached if this process was cut off.
func (c *contact) noteStoreAway(sent time.Time) {
	if c.cutOffSince(sent) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaySince.IsZero() {
		c.awaySince = sent
	}
}

// noteStoreServes records that the store answered a read sent at the given time, or that a peer polled then
// answered that the store serves it. A store that is away may still answer a read that has waited there.
func (c *contact) noteStoreServes(sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaySince.IsZero() || sent.Before(c.awaySince) {
		return
	}
	c.awaySince, c.returnedAt = time.Time{}, c.clock.Now()
}

// relistedBy returns until when entries of upstreams that run may be missing because the store was away.
// The store is taken to return no sooner than this process learns it, since its last failed read may be long
// before. It is zero if the store was never away.
func (c *contact) relistedBy() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.awaySince.IsZero():
		return c.clock.Now().Add(relistTime)
	case c.returnedAt.IsZero():
		return time.Time{}
	default:
		return c.returnedAt.Add(relistTime)
	}
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
