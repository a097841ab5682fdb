package peer

import (
	"io"
	"net"
	"sync"
	"time"
)

const (
	// maxUnread is how many bytes of a connection may wait in the buffers of its exchanges before the
	// connection is read on.
	maxUnread = 64 << 10
	// unreadPause is how long the connection waits for exchanges to read. Some may not do so before long, and
	// the others must go on.
	unreadPause = 20 * time.Millisecond
	// frameHeader is what yamux adds to the bytes of an exchange.
	frameHeader = 12
)

// pacedConn is the connection below a session of a server. It is read no faster than the exchanges read from
// the session, whose buffers have room for 256 kB of each.
type pacedConn struct {
	net.Conn

	mu     sync.Mutex
	unread int           // bytes that were read from the connection and not by an exchange
	read   chan struct{} // receives when an exchange has read
}

func newPacedConn(c net.Conn) *pacedConn {
	return &pacedConn{Conn: c, read: make(chan struct{}, 1)}
}

// Read implements [net.Conn].
func (c *pacedConn) Read(b []byte) (n int, err error) {
	c.pause()
	n, err = c.Conn.Read(b[:min(len(b), maxUnread)])
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unread += n
	return n, err
}

// pause waits until the exchanges have read enough, or for [unreadPause].
func (c *pacedConn) pause() {
	if !c.full() {
		return
	}
	t := time.NewTimer(unreadPause)
	defer t.Stop()
	for c.full() {
		select {
		case <-c.read:
		case <-t.C:
			c.mu.Lock()
			c.unread = 0
			c.mu.Unlock()
		}
	}
}

func (c *pacedConn) full() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unread >= maxUnread
}

// reader returns a reader of an exchange on the connection.
func (c *pacedConn) reader(r io.Reader) io.Reader {
	return pacedReader{r, c}
}

// pacedReader tells the connection what an exchange has read.
type pacedReader struct {
	io.Reader
	conn *pacedConn
}

// Read implements [io.Reader].
func (r pacedReader) Read(b []byte) (n int, err error) {
	n, err = r.Reader.Read(b)
	r.conn.mu.Lock()
	r.conn.unread = max(r.conn.unread-n-frameHeader, 0)
	r.conn.mu.Unlock()
	select {
	case r.conn.read <- struct{}{}:
	default:
	}
	return n, err
}
