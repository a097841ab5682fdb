package callers

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/hollowgrade/hollowgrade"
)

// listener accepts connections as [conn].
type listener struct {
	net.Listener
	clock hollowgrade.Clock
}

// Accept implements [net.Listener].
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, clock: l.clock}, nil
}

// conn is a caller's connection that records when bytes were last read from it.
type conn struct {
	net.Conn
	clock  hollowgrade.Clock
	readAt atomic.Pointer[time.Time]
}

// Read implements [net.Conn].
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		now := c.clock.Now()
		c.readAt.Store(&now)
	}
	return n, err
}

// lastRead returns when bytes were last read, the zero time if never.
func (c *conn) lastRead() time.Time {
	if t := c.readAt.Load(); t != nil {
		return *t
	}
	return time.Time{}
}
