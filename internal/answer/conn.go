// Package answer decides for all readers of HTTP answers what net/http leaves open: whether a head is one, and
// whether the end of a connection is the end of an answer.
package answer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
)

// Conn is a connection on which a request may be written while its answer is read. The kernel reports a reset
// once: if a write gets it, the next read gets [io.EOF], as after an orderly close. Read returns an error
// instead, so that a body that ends with its connection isn't taken for whole.
type Conn struct {
	net.Conn
	writing chan struct{} // has an element while something is written
	err     error         // of the first write that failed; guarded by writing
}

// NewConn returns a connection that reads and writes through c.
func NewConn(c net.Conn) *Conn {
	return &Conn{Conn: c, writing: make(chan struct{}, 1)}
}

// Start writes a request in a goroutine of its own. No read returns [io.EOF] before all of it is written: an
// upstream that ends meanwhile closes its connection as well. Closing the connection ends the wait.
func (c *Conn) Start(write func(w io.Writer) error) {
	c.writing <- struct{}{}
	go func() { c.endWrite(write(c.Conn)) }()
}

// Write implements [net.Conn].
func (c *Conn) Write(b []byte) (n int, err error) {
	c.writing <- struct{}{}
	n, err = c.Conn.Write(b)
	c.endWrite(err)
	return n, err
}

func (c *Conn) endWrite(err error) {
	if c.err == nil {
		c.err = err
	}
	<-c.writing
}

// Read implements [net.Conn].
func (c *Conn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		err = c.endError()
	}
	return n, err
}

// endError returns [io.EOF], or an error if a write has failed. It waits for a write that is under way, which
// may have got the reset.
func (c *Conn) endError() error {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	if c.err != nil {
		return fmt.Errorf("%w: the request was not written: %w", io.ErrUnexpectedEOF, c.err)
	}
	return io.EOF
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
