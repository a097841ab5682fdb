package standin

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ResetConn is a connection to a server that answers the head of a request at once, leaves the rest unread and
// resets the connection. As with a kernel, one call only gets the reset: a write, which returns after the next
// read has got [io.EOF].
type ResetConn struct {
	answer *strings.Reader
	calls  int // of Write

	requested chan struct{} // closed when the first write has ended
	blocked   chan struct{} // closed when the second write has begun
	ended     chan struct{} // closed when a read has got the end
	closed    chan struct{}
	closeOnce sync.Once
	endOnce   sync.Once
}

// ResetDial returns a function for a transport that opens connections with the given answer.
func ResetDial(answer string) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		return &ResetConn{
			answer: strings.NewReader(answer), requested: make(chan struct{}), blocked: make(chan struct{}),
			ended: make(chan struct{}), closed: make(chan struct{}),
		}, nil
	}
}

// Write implements [net.Conn].
func (c *ResetConn) Write(b []byte) (n int, err error) {
	switch c.calls++; c.calls {
	case 1:
		close(c.requested)
		return len(b), nil
	case 2:
		close(c.blocked)
	}
	if err = c.await(c.ended); err != nil {
		return 0, err
	}
	return 0, syscall.ECONNRESET
}

// Read implements [net.Conn].
func (c *ResetConn) Read(b []byte) (n int, err error) {
	if err = c.await(c.requested); err != nil {
		return 0, err
	}
	if n, _ = c.answer.Read(b); n > 0 {
		return n, nil
	}
	if err = c.await(c.blocked); err != nil {
		return 0, err
	}
	c.endOnce.Do(func() { close(c.ended) })
	return 0, io.EOF
}

func (c *ResetConn) await(done chan struct{}) error {
	select {
	case <-done:
		return nil
	case <-c.closed:
		return net.ErrClosed
	}
}

// Close implements [net.Conn].
func (c *ResetConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return nil
}

// LocalAddr implements [net.Conn].
func (c *ResetConn) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr implements [net.Conn].
func (c *ResetConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// SetDeadline implements [net.Conn]. Deadlines have no effect.
func (c *ResetConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements [net.Conn].
func (c *ResetConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements [net.Conn].
func (c *ResetConn) SetWriteDeadline(time.Time) error { return nil }
