package callers

import (
	"container/list"
	"net"
	"sync"
	"time"
)

const (
	// limitInterval is how often a connection that waits for others to close has another one closed.
	limitInterval = 20 * time.Millisecond
	// minUnusedTime is for how long a connection is kept for its first request.
	minUnusedTime = 5 * time.Second
)

// limitListener bounds how many connections are open at once. If all are taken, the next one is accepted and
// waits: the connection gives way that has been open for the longest time without a request, and another one if
// it has not closed within [limitInterval]. Connections on which a request was served do not, nor those that
// have been open for less than [minUnusedTime].
type limitListener struct {
	net.Listener
	slots  chan struct{} // one value for each open connection
	done   chan struct{} // closed with the listener
	close  sync.Once
	server *Server
}

func newLimitListener(l net.Listener, n int, s *Server) *limitListener {
	return &limitListener{Listener: l, slots: make(chan struct{}, n), done: make(chan struct{}), server: s}
}

// Accept implements [net.Listener].
func (l *limitListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if !l.takeSlot() {
		_ = c.Close()
		return nil, net.ErrClosed
	}
	return &limitedConn{Conn: c, release: func() { <-l.slots }}, nil
}

// takeSlot waits until there is room for a connection. It reports false if the listener is closed before.
func (l *limitListener) takeSlot() bool {
	for {
		select {
		case l.slots <- struct{}{}:
			return true
		case <-l.done:
			return false
		default:
		}
		l.server.closeOldestUnused()
		t := time.NewTimer(limitInterval)
		select {
		case l.slots <- struct{}{}:
			t.Stop()
			return true
		case <-l.done:
			t.Stop()
			return false
		case <-t.C:
		}
	}
}

// Close implements [net.Listener].
func (l *limitListener) Close() error {
	l.close.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// limitedConn gives its slot back when it is closed.
type limitedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close implements [net.Conn].
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}

// CloseWrite closes the sending direction, where the connection has one.
func (c *limitedConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// unusedConns are the connections on which no request was served yet, the oldest first.
type unusedConns struct {
	order list.List
	of    map[*conn]*list.Element
}

func (u *unusedConns) add(c *conn) {
	if u.of == nil {
		u.of = map[*conn]*list.Element{}
	}
	u.of[c] = u.order.PushBack(c)
}

func (u *unusedConns) remove(c *conn) {
	if e := u.of[c]; e != nil {
		u.order.Remove(e)
		delete(u.of, c)
	}
}

// removeOldest returns the oldest connection and removes it if it was accepted before the given time, or returns
// nil.
func (u *unusedConns) removeOldest(before time.Time) *conn {
	e := u.order.Front()
	if e == nil {
		return nil
	}
	c := e.Value.(*conn)
	if c.accepted.After(before) {
		return nil
	}
	u.remove(c)
	return c
}

// closeOldestUnused closes the oldest connection on which no request was served yet, if it has had the time for
// one.
func (s *Server) closeOldestUnused() {
	before := s.clock.Now().Add(-minUnusedTime)
	s.mu.Lock()
	c := s.unused.removeOldest(before)
	s.mu.Unlock()
	if c != nil {
		c.giveWay()
	}
}

// Full reports whether as many connections as allowed are open and all of them have had a request, so that none
// gives way to a new one.
func (s *Server) Full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxConns > 0 && len(s.conns) >= s.maxConns && s.unused.order.Len() == 0
}

// giveWay ends a connection once a read returns nothing, unless a request has begun on it.
func (c *conn) giveWay() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseIdle && c.phase != phaseHead {
		return
	}
	c.givesWay = true
	_ = c.Conn.SetReadDeadline(time.Now()) // a closed connection has nothing to end
}

// used notes that a request is served on a connection.
func (s *Server) used(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unused.remove(c)
}
