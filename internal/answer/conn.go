// Package answer decides for all readers of HTTP answers what net/http leaves open: whether a head is one, and
// whether the end of a connection is the end of an answer.
package answer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httptrace"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Conn is a connection on which a request may be written while its answer is read. The kernel reports a reset
// once: if a write gets it, the next read gets [io.EOF], as after an orderly close. It does not report one that
// follows such a close to reads at all: a peer that closes before it has read the request resets the connection
// when the rest arrives. Read returns an error instead of [io.EOF] in both cases, so that a body that ends with
// its connection isn't taken for whole.
type Conn struct {
	net.Conn
	writing   chan struct{} // has an element while something is written
	err       error         // of the first write that failed; guarded by writing
	closed    chan struct{}
	closeOnce sync.Once

	mu      sync.Mutex
	written chan struct{} // closed when the last request has been written
}

// NewConn returns a connection that reads and writes through c.
func NewConn(c net.Conn) *Conn {
	k := &Conn{Conn: c, writing: make(chan struct{}, 1), closed: make(chan struct{}), written: make(chan struct{})}
	close(k.written)
	return k
}

// Start writes a request in a goroutine of its own. No read returns [io.EOF] before all of it is written: an
// upstream that ends meanwhile closes its connection as well. Closing the connection ends the wait.
func (c *Conn) Start(write func(w io.Writer) error) {
	written := c.begin()
	go func() {
		defer close(written)
		_ = write(c) // an error of the connection is kept by Write
	}()
}

// begin notes that a request is going to be written. Its channel is to be closed once it is.
func (c *Conn) begin() (written chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = make(chan struct{})
	return c.written
}

// Write implements [net.Conn].
func (c *Conn) Write(b []byte) (n int, err error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n, err = c.Conn.Write(b)
	if c.err == nil {
		c.err = err
	}
	return n, err
}

// Close implements [net.Conn].
func (c *Conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Read implements [net.Conn].
func (c *Conn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		err = c.endError()
	}
	return n, err
}

// endError returns [io.EOF], or an error if the request has not been delivered. It waits for what is still being
// written, which may have got the reset.
func (c *Conn) endError() error {
	if err := c.awaitRequest(); err != nil {
		return err
	}
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	err := c.err
	if err == nil {
		err = c.awaitDelivery()
	}
	if err != nil {
		return fmt.Errorf("%w: the request was not delivered: %w", io.ErrUnexpectedEOF, err)
	}
	return io.EOF
}

// awaitRequest waits until the last request has been written or the connection is closed.
func (c *Conn) awaitRequest() error {
	c.mu.Lock()
	written := c.written
	c.mu.Unlock()
	select {
	case <-written:
		return nil
	case <-c.closed:
		return net.ErrClosed
	}
}

// The bounds of the pause between two looks at what the peer has acknowledged. It rarely takes more than one
// look: the peer's close acknowledges all that has arrived.
const (
	minDeliveryPause = time.Millisecond
	maxDeliveryPause = 20 * time.Millisecond
)

// awaitDelivery waits until the peer has acknowledged all that was written, or has reset the connection. Closing
// the connection ends the wait. What was written to a connection other than TCP's counts as delivered.
func (c *Conn) awaitDelivery() error {
	k, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	r, err := k.SyscallConn()
	if err != nil {
		return err
	}
	for pause := minDeliveryPause; ; pause = min(2*pause, maxDeliveryPause) {
		delivered, err := isDelivered(r)
		if delivered || err != nil {
			return err
		}
		time.Sleep(pause)
	}
}

// tcpClosed is the state of a connection that was reset (TCP_CLOSE in Linux's tcp_states.h).
const tcpClosed = 7

// isDelivered reports whether a connection's peer has acknowledged all that was written. It has if the kernel
// doesn't tell.
func isDelivered(r syscall.RawConn) (delivered bool, err error) {
	var i *unix.TCPInfo
	var unknown error
	err = r.Control(func(fd uintptr) { i, unknown = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	switch {
	case err != nil:
		return false, err
	case unknown != nil:
		return true, nil
	case i.State == tcpClosed:
		return false, syscall.ECONNRESET
	default:
		return i.Unacked == 0 && i.Notsent_bytes == 0, nil
	}
}

// Dial returns a function that opens connections with d and returns each as a [Conn]. A nil function stands
// for the default one.
func Dial(d func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	if d == nil {
		d = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}

// WithTrace returns a context for one request of net/http. If it goes over a [Conn], that knows when the request
// has been written.
func WithTrace(ctx context.Context) context.Context {
	var written chan struct{}
	end := func() {
		if written != nil {
			close(written)
		}
		written = nil
	}
	var mu sync.Mutex
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			mu.Lock()
			defer mu.Unlock()
			end() // of an earlier attempt, whose connection has been closed
			if c, ok := i.Conn.(*Conn); ok {
				written = c.begin()
			}
		},
		WroteRequest: func(httptrace.WroteRequestInfo) {
			mu.Lock()
			defer mu.Unlock()
			end()
		},
	})
}
