package callers

import (
	"bytes"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/hollowgrade/hollowgrade/memory"
)

// phase is how far the next request on a connection has come.
type phase int

const (
	phaseIdle  phase = iota // nothing of it was read
	phaseHead               // its head was read in part, or not parsed yet
	phaseOpen               // its head is known; it is open until its answer is written
	phaseEnded              // there is none: the connection is being closed
)

const (
	// idleGrace is how much longer a connection may be idle than its limit, so that a request that
	// is sent within the limit arrives before the connection is closed.
	idleGrace = 250 * time.Millisecond
	// headCheckInterval is how often a head that is incomplete is checked against the limit, which may
	// have changed.
	headCheckInterval = 250 * time.Millisecond
	// drainHeadTimeout and drainHeadShare bound the rest of a head that is incomplete when a planned
	// stop accepts nothing new: by a time, and by a share of what is left until requests are cancelled.
	drainHeadTimeout = time.Second
	drainHeadShare   = 2
	// lastReadTime is how long a connection that is due to be closed is read from once more. Its
	// deadline may have passed while the process was not scheduled and bytes arrived.
	lastReadTime = 20 * time.Millisecond
	// lastLookTime is the same for a connection that gives way to another one, which waits for it.
	lastLookTime = time.Millisecond
	// maxLastReads bounds the last reads. Another one follows one that returned a part of a head, or
	// during which the process was not scheduled in time.
	maxLastReads = 8
	// timeoutAnswer is the answer to a head that takes too long. Callers take it to mean that the
	// request has not run.
	timeoutAnswer    = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	timeoutWriteTime = 100 * time.Millisecond
)

// listener accepts connections as [conn].
type listener struct {
	net.Listener
	server *Server
}

// Accept implements [net.Listener].
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	now := l.server.clock.Now()
	n := &conn{Conn: c, server: l.server, accepted: now, since: now}
	n.claim = l.server.budget.NewClaim(n.revoke)
	return n, nil
}

// conn is a caller's connection. Whether it is closed for its age is decided by the goroutine that
// reads from it, and only when a read has returned nothing: a request that was read is never cut.
type conn struct {
	net.Conn
	server   *Server
	accepted time.Time
	claim    *memory.Claim // for the memory of a request
	head     head          // of the goroutine that reads

	mu        sync.Mutex
	revoked   bool // whether the claim was, and the request has to end
	givesWay  bool // whether the connection is closed for another one unless a request begins
	lastLook  bool // whether it was read from for that
	phase     phase
	since     time.Time     // when the phase began
	told      time.Duration // the idle limit that the last answer named
	waiting   bool          // whether a read waits for the bytes of a head
	lastReads int           // since the connection is due to be closed
	lastUntil time.Time     // until when the last of them waits
	progress  bool          // whether it returned bytes
	body      bodyBound     // on reads while a request is open
}

// bodyBound is a deadline for the reads of a body.
type bodyBound struct {
	by       time.Time // zero if there is none
	extended int       // how often it was
	inVain   int       // how often since a read last returned bytes
}

// maxInVain bounds the extensions of a body's deadline after which nothing came. The process may not be
// scheduled during one of them.
const maxInVain = 2

// Read implements [net.Conn]. Between requests and within heads it returns
// [os.ErrDeadlineExceeded] when the connection has been idle or slow for too long. Heads are passed on once
// they are complete.
func (c *conn) Read(b []byte) (n int, err error) {
	if n = c.head.pass(b); n > 0 {
		return n, nil
	}
	for n == 0 && err == nil {
		n, err = c.readOnce(b)
	}
	return n, err
}

// readOnce reads once. It returns no bytes and no error if more of a head has to arrive.
func (c *conn) readOnce(b []byte) (n int, err error) {
	if !c.beginWait() {
		n, err = c.readOpen(b)
		c.head.follow(b[:n])
		return n, err
	}
	n, err = c.readWaiting(b)
	switch {
	case c.isRevoked() && (n > 0 || errors.Is(err, os.ErrDeadlineExceeded)):
		return 0, c.refuse(causeNoMemory)
	case n == 0 && errors.Is(err, os.ErrDeadlineExceeded):
		c.endWaiting()
		return 0, err
	case n == 0:
		return 0, err
	default:
		return c.addHead(b[:n])
	}
}

// readWaiting reads while a head is waited for, until bytes have arrived or the connection is to be closed.
func (c *conn) readWaiting(b []byte) (n int, err error) {
	for {
		begun := time.Now()
		n, err = c.Conn.Read(b)
		if !c.waitOn(b[:n], err, time.Since(begun)) {
			return n, err
		}
	}
}

// readOpen reads while a request is open. Bytes of a body may have arrived while the process was not
// scheduled, so a read whose deadline has passed is tried again.
func (c *conn) readOpen(b []byte) (n int, err error) {
	for {
		n, err = c.Conn.Read(b)
		if !c.extendBody(n, err) {
			return n, err
		}
	}
}

// extendBody extends the deadline for a body by [lastReadTime] if a read has returned nothing by it. It
// reports false if there is no such deadline, or no further extension.
func (c *conn) extendBody(n int, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.body.inVain = 0
		return false
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) || c.body.by.IsZero() || c.body.inVain >= maxInVain || c.body.extended >= maxLastReads {
		return false
	}
	c.body.extended++
	c.body.inVain++
	_ = c.Conn.SetReadDeadline(time.Now().Add(lastReadTime))
	return true
}

// SetReadDeadline implements [net.Conn]. Handlers bound the reads of bodies by it. A time that has
// passed interrupts a read, which net/http does at the end of a request.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.boundBody(t)
}

// boundBody sets the deadline for a body, or interrupts the read of one. The lock is held.
func (c *conn) boundBody(t time.Time) error {
	c.body = bodyBound{}
	if c.revoked {
		t = time.Now()
	}
	if t.After(time.Now()) {
		c.body.by = t
	}
	return c.Conn.SetReadDeadline(t)
}

// endWaiting ends a connection that has been idle or slow for too long, or gives way to another one.
func (c *conn) endWaiting() {
	p, givesWay := c.end(), c.isGivingWay()
	idle, slow, answer := causeIdle, causeSlow, timeoutAnswer
	if givesWay {
		idle, slow, answer = causeCrowded, causeCrowded, unavailableAnswer
	}
	if p != phaseHead {
		c.server.recordClose(idle)
		_ = c.Close()
		return
	}
	c.server.recordClose(slow)
	c.answerAndClose(answer) // before net/http answers an incomplete head with 400
}

// isGivingWay reports whether the connection is closed for another one.
func (c *conn) isGivingWay() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.givesWay
}

// end marks the connection as being closed and returns the phase in which it was.
func (c *conn) end() (p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p = c.phase
	c.phase = phaseEnded
	return p
}

// CloseWrite is called by net/http when all answers are written, some time before it closes a
// connection on which the caller may still be sending.
func (c *conn) CloseWrite() error {
	c.end()
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// holdsRequest reports whether a request may have been read that is not answered yet.
func (c *conn) holdsRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == phaseOpen || c.phase == phaseHead && !c.waiting
}

// beginWait sets the deadline for bytes of a head. It reports false while a request is open.
func (c *conn) beginWait() bool {
	now := c.server.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseOpen || c.phase == phaseEnded {
		return false
	}
	c.waiting = true
	if c.revoked || c.givesWay {
		_ = c.Conn.SetReadDeadline(time.Now()) // a closed connection ends the next read by itself
		return true
	}
	c.setDeadline(now, c.due(now))
	return true
}

// waitOn decides on the result of a read that took the given time whether another one follows.
func (c *conn) waitOn(b []byte, err error, took time.Duration) bool {
	now := c.server.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(b) == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.readAgain(now, took) {
		return true
	}
	if c.phase == phaseIdle && !isEmptyLines(b) {
		c.begin(phaseHead, now)
	}
	c.waiting, c.progress = false, len(b) > 0
	_ = c.Conn.SetReadDeadline(time.Time{}) // a closed connection ends the next read by itself
	return false
}

// readAgain decides whether a read follows one of the given time that a deadline has ended, and sets the next
// deadline.
func (c *conn) readAgain(now time.Time, took time.Duration) bool {
	if c.revoked || c.givesWay && c.lastLook {
		return false
	}
	if c.givesWay { // a request may have arrived that the interrupted read did not see
		c.lastLook = true
		_ = c.Conn.SetReadDeadline(time.Now().Add(lastLookTime))
		return true
	}
	until, ok := c.extend(now, took)
	if ok {
		c.setDeadline(now, until)
	}
	return ok
}

// extend returns until when the connection is read from after a deadline has passed in a read that
// took the given time. It reports false if the connection is to be closed.
func (c *conn) extend(now time.Time, took time.Duration) (until time.Time, ok bool) {
	if d := c.due(now); d.After(now) {
		c.lastReads = 0
		return d, true
	}
	// A deadline that has passed before the read makes it return without a look at the kernel's queue.
	stalled := now.Sub(c.lastUntil) > lastReadTime || took < lastReadTime/2
	if c.lastReads > 0 && !stalled && !c.progress || c.lastReads >= maxLastReads {
		return time.Time{}, false
	}
	if c.server.draining().late(now) {
		return time.Time{}, false
	}
	c.lastReads++
	c.lastUntil = now.Add(lastReadTime)
	c.progress = false
	return c.lastUntil, true
}

// due returns when the connection is to be closed or checked again.
func (c *conn) due(now time.Time) time.Time {
	l, drain := c.server.effectiveLimits(), c.server.draining()
	if c.phase == phaseIdle {
		if drain != nil {
			return now
		}
		return c.since.Add(c.idleLimit(l) + idleGrace)
	}
	d := c.since.Add(l.HeaderTimeout)
	if drain != nil {
		d = earlier(d, drain.headsUntil)
	}
	return earlier(d, now.Add(headCheckInterval))
}

// idleLimit returns how long the connection may be idle. A limit that got shorter does not hold for
// a connection whose caller was told a longer one, or may know of it, unless connections are scarce.
func (c *conn) idleLimit(l Limits) time.Duration {
	if c.server.crowded() {
		return l.IdleTimeout
	}
	return max(c.told, l.IdleTimeout, c.server.longestIdleLimit(c.since))
}

// setDeadline sets the deadline of the read that waits.
func (c *conn) setDeadline(now, until time.Time) {
	_ = c.Conn.SetReadDeadline(time.Now().Add(until.Sub(now)))
}

// recheck sets the deadline of a read that waits by what is in force now.
func (c *conn) recheck() {
	now := c.server.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting && c.lastReads == 0 && !c.revoked && !c.givesWay {
		c.setDeadline(now, c.due(now))
	}
}

// endBody ends the read of a body that has not come, also where net/http discards it.
func (c *conn) endBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseOpen {
		_ = c.boundBody(time.Now()) // a closed connection ends the read by itself
	}
}

// setPhase records how far the next request has come.
func (c *conn) setPhase(p phase) {
	now := c.server.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseEnded {
		return
	}
	c.begin(p, now)
	if p == phaseOpen && c.givesWay { // the request came first
		c.givesWay, c.lastLook = false, false
		_ = c.Conn.SetReadDeadline(time.Time{}) // a closed connection ends the next read by itself
	}
}

func (c *conn) begin(p phase, now time.Time) {
	c.phase, c.since = p, now
	c.lastReads = 0
}

// setTold records the idle limit that the caller is told.
func (c *conn) setTold(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.told = d
}

// isEmptyLines reports whether b has no byte of a head: some callers send an empty line after a body.
func isEmptyLines(b []byte) bool {
	return len(bytes.TrimLeft(b, "\r\n")) == 0
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
