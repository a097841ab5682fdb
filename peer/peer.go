// Package peer implements the transport between the system's own processes: yamux streams over TCP,
// with mutual TLS if configured, that carry protobuf frames of bounded size. Each exchange has a
// stream of its own.
package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/hollowgrade/hollowgrade/internal/errs"
	"github.com/hollowgrade/hollowgrade/internal/wire"
	"github.com/hollowgrade/hollowgrade/memory"
)

const (
	// MaxFrame is the largest frame, in bytes, that a peer may send.
	MaxFrame = 1 << 20
	// MaxChunk is the largest piece of a body in one frame, in bytes.
	MaxChunk = 64 << 10
	// maxStreams bounds the open exchanges of one connection, so that a faulty peer cannot exhaust
	// the memory of a box.
	maxStreams = 4096

	// acceptBacklog is how many exchanges of a connection may wait to be accepted; one more waits
	// where it is opened. Their buffers are allocated per connection, of which a gateway has
	// many.
	acceptBacklog = 64

	keepAliveInterval = 5 * time.Second
	writeTimeout      = 10 * time.Second
)

// ErrBroken is in the chain of the error for a frame that cannot be read.
var ErrBroken = errors.New("peer sent a broken frame")

func config() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = acceptBacklog
	c.KeepAliveInterval = keepAliveInterval
	c.ConnectionWriteTimeout = writeTimeout
	c.LogOutput = io.Discard
	return c
}

// Dialer opens a connection to an address.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// TCP returns a dialer for TCP.
func TCP() Dialer {
	var d net.Dialer
	return func(ctx context.Context, address string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", address)
	}
}

// WithTLS returns a dialer that runs TLS over connections of d. The configuration is requested for
// each connection, so that renewed certificates come into use.
func WithTLS(d Dialer, c func() *tls.Config) Dialer {
	return func(ctx context.Context, address string) (n net.Conn, err error) {
		n, err = d(ctx, address)
		if err != nil {
			return nil, err
		}
		t := tls.Client(n, c())
		if err = t.HandshakeContext(ctx); err != nil {
			return nil, errors.Join(err, n.Close())
		}
		return t, nil
	}
}

// Conn is a connection to a peer.
type Conn struct {
	session  *yamux.Session
	received atomic.Int64 // bytes
}

// Dial connects to a peer.
func Dial(ctx context.Context, d Dialer, address string) (c *Conn, err error) {
	defer errs.Annotate(&err, "dial peer %s", address)
	n, err := d(ctx, address)
	if err != nil {
		return nil, err
	}
	y, err := yamux.Client(n, config())
	if err != nil {
		return nil, errors.Join(err, n.Close())
	}
	return &Conn{session: y}, nil
}

// Received returns how many bytes have arrived on the exchanges of the connection.
func (c *Conn) Received() int64 {
	return c.received.Load()
}

// Open begins an exchange with the given first frame.
func (c *Conn) Open(f *wire.Frame) (s *Stream, err error) {
	defer errs.Annotate(&err, "open stream")
	y, err := c.session.OpenStream()
	if err != nil {
		return nil, err
	}
	s = newStream(y, countingReader{y, &c.received})
	if err = s.Send(f); err != nil {
		s.Abort()
		return nil, err
	}
	return s, nil
}

// Closed returns a channel that is closed when the connection ends.
func (c *Conn) Closed() <-chan struct{} {
	return c.session.CloseChan()
}

// Close ends the connection and all its exchanges.
func (c *Conn) Close() error {
	return c.session.Close()
}

// Stream is one exchange of frames. One goroutine may send while another
// receives.
type Stream struct {
	raw      *yamux.Stream
	in       *bufio.Reader
	out      *bufio.Writer
	received atomic.Int64  // bytes
	claim    *memory.Claim // for frames that are arriving; nil for no bound
}

const streamBufferBytes = 4 << 10

// newStream returns an exchange on a stream, from which in reads.
func newStream(y *yamux.Stream, in io.Reader) *Stream {
	s := &Stream{raw: y, out: bufio.NewWriterSize(y, streamBufferBytes)}
	s.in = bufio.NewReaderSize(countingReader{in, &s.received}, streamBufferBytes)
	return s
}

// countingReader counts the bytes that are read.
type countingReader struct {
	io.Reader
	n *atomic.Int64
}

func (c countingReader) Read(b []byte) (n int, err error) {
	n, err = c.Reader.Read(b)
	c.n.Add(int64(n))
	return n, err
}

// Received returns how many bytes have arrived on the stream, including those of an incomplete
// frame.
func (s *Stream) Received() int64 {
	return s.received.Load()
}

// Send writes one frame.
func (s *Stream) Send(f *wire.Frame) (err error) {
	defer errs.Annotate(&err, "send frame")
	if _, err = protodelim.MarshalTo(s.out, f); err != nil {
		return err
	}
	return s.out.Flush()
}

// Receive reads the next frame. It returns [io.EOF] when the other side has
// ended the exchange between two frames.
func (s *Stream) Receive() (f *wire.Frame, err error) {
	f, err = s.readFrame()
	switch {
	case err == nil && f.Body == nil:
		return nil, fmt.Errorf("%w: empty", ErrBroken)
	case err == nil, errors.Is(err, io.EOF), errors.Is(err, ErrNoMemory), isTransport(err):
		return f, err
	default:
		return nil, fmt.Errorf("%w: %w", ErrBroken, err)
	}
}

func isTransport(err error) bool {
	var n net.Error
	return errors.As(err, &n) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, yamux.ErrStreamClosed) || errors.Is(err, yamux.ErrSessionShutdown) ||
		errors.Is(err, yamux.ErrConnectionReset)
}

// SendBody sends a body in frames of bounded size.
func (s *Stream) SendBody(r io.Reader) (err error) {
	b := make([]byte, MaxChunk)
	for {
		n, err := io.ReadFull(r, b)
		last := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
		if err != nil && !last {
			return fmt.Errorf("read body: %w", err)
		}
		if err = s.Send(Chunk(b[:n], last)); err != nil || last {
			return err
		}
	}
}

// Chunk returns the frame for a piece of a body.
func Chunk(b []byte, last bool) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Chunk{Chunk: &wire.Chunk{Data: b, Last: last}}}
}

// Extend sets the deadline for sending and receiving to d from now.
func (s *Stream) Extend(d time.Duration) error {
	return s.raw.SetDeadline(time.Now().Add(d))
}

// Finish closes the sending direction. The other direction stays open.
func (s *Stream) Finish() error {
	return s.raw.Close()
}

// Abort ends the exchange in both directions and unblocks Receive.
func (s *Stream) Abort() {
	_ = s.raw.SetDeadline(time.Unix(1, 0))
	_ = s.raw.Close()
}
