package peer

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"sync"
	"testing"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/internal/wire"
)

// serve starts an echo server on loopback and returns its address and the errors of peers that it
// disconnected.
func serve(t *testing.T) (address string, cut chan error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	cut = make(chan error, 1)
	s := NewServer(echoFirst, func(_ net.Addr, err error) { cut <- err })
	go func() { _ = s.Serve(context.Background(), l) }()
	t.Cleanup(func() {
		_ = l.Close()
		s.Close()
	})
	return l.Addr().String(), cut
}

// echoFirst is a [Handler] that sends the first frame back.
func echoFirst(_ context.Context, s *Stream, f *wire.Frame) error {
	if err := s.Send(f); err != nil {
		return err
	}
	_, err := s.Receive()
	return err
}

func hello(box string) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Hello{Hello: &wire.Hello{Box: box}}}
}

func requireEcho(t *testing.T, c *Conn, box string) *Stream {
	t.Helper()
	s, err := c.Open(hello(box))
	require.NoError(t, err)
	f, err := s.Receive()
	require.NoError(t, err)
	require.Equal(t, box, f.GetHello().GetBox())
	return s
}

func dial(t *testing.T, address string) *Conn {
	t.Helper()
	c, err := Dial(context.Background(), TCP(), address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func TestBrokenFrame(t *testing.T) {
	address, cut := serve(t)
	good, bad := dial(t, address), dial(t, address)
	requireEcho(t, good, "a")
	s := requireEcho(t, bad, "b")

	t.Run("a peer that sends nonsense is cut off and named", func(t *testing.T) {
		requireCutOff(t, bad, s, cut)
	})
	t.Run("no other peer notices", func(t *testing.T) {
		requireEcho(t, good, "c")
	})
}

// nonsense is not a frame: its length does not end.
var nonsense = []byte{0xff, 0xff, 0xff, 0xff, 0x7f}

// requireCutOff sends an invalid frame, and requires that the server closes the connection. That
// may happen before the write returns, which then reports the end of the session although the frame
// arrived.
func requireCutOff(t *testing.T, c *Conn, s *Stream, cut <-chan error) {
	t.Helper()
	if _, err := s.raw.Write(nonsense); err != nil {
		require.ErrorIs(t, err, yamux.ErrSessionShutdown)
	}
	require.ErrorIs(t, <-cut, ErrBroken)
	<-c.Closed()
}

// lateConn is a connection on which the write of nonsense returns only after the connection is
// closed.
type lateConn struct {
	net.Conn
	closed chan struct{}
	once   sync.Once
}

func (c *lateConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if bytes.Equal(b, nonsense) {
		<-c.closed
	}
	return n, err
}

func (c *lateConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func TestCutOffBeforeTheWriteReturns(t *testing.T) {
	address, cut := serve(t)
	l := &lateConn{closed: make(chan struct{})}
	c, err := Dial(context.Background(), func(ctx context.Context, a string) (n net.Conn, err error) {
		l.Conn, err = TCP()(ctx, a)
		return l, err
	}, address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	s := requireEcho(t, c, "a")
	requireCutOff(t, c, s, cut)
}

func TestTLSOnly(t *testing.T) {
	require.True(t, IsLoopback("127.0.0.1:1"))
	require.True(t, IsLoopback("[::1]:1"))
	require.False(t, IsLoopback("0.0.0.0:1"))
	require.False(t, IsLoopback("nonsense"))
}

func FuzzReceive(f *testing.F) {
	f.Add([]byte{0})
	f.Add([]byte{2, 8, 1})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, b []byte) {
		s := &Stream{in: bufio.NewReader(bytes.NewReader(b))}
		for {
			m, err := s.Receive()
			if err != nil {
				require.True(t, errors.Is(err, ErrBroken) || isTransport(err) || err.Error() == "EOF", "%v", err)
				return
			}
			require.NotNil(t, m.Body)
		}
	})
}
