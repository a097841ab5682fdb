package answer

import (
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// scriptedConn is a connection at its end, whose writes return what the test sends.
type scriptedConn struct {
	net.Conn
	began  chan struct{}
	writes chan error
}

func newScriptedConn() scriptedConn {
	return scriptedConn{began: make(chan struct{}, 1), writes: make(chan error, 1)}
}

func (c scriptedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c scriptedConn) Write(b []byte) (int, error) {
	c.began <- struct{}{}
	return len(b), <-c.writes
}

func readEnd(c *Conn) error {
	_, err := c.Read(make([]byte, 1))
	return err
}

func requireCut(t *testing.T, err error) {
	t.Helper()
	require.ErrorIs(t, err, syscall.ECONNRESET)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.NotErrorIs(t, err, io.EOF)
}

func TestEndOfAConnection(t *testing.T) {
	t.Run("is one if nothing was written", func(t *testing.T) {
		require.Equal(t, io.EOF, readEnd(NewConn(newScriptedConn())))
	})
	t.Run("is one if all writes succeeded", func(t *testing.T) {
		k := newScriptedConn()
		c := NewConn(k)
		k.writes <- nil
		_, err := c.Write([]byte("a"))
		require.NoError(t, err)
		require.Equal(t, io.EOF, readEnd(c))
	})
	t.Run("is none after a write that failed", func(t *testing.T) {
		k := newScriptedConn()
		c := NewConn(k)
		k.writes <- syscall.ECONNRESET
		_, err := c.Write([]byte("a"))
		require.ErrorIs(t, err, syscall.ECONNRESET)
		<-k.began
		k.writes <- nil
		_, err = c.Write([]byte("a"))
		require.NoError(t, err)
		for range 2 {
			requireCut(t, readEnd(c))
		}
	})
	t.Run("waits for a write under way", func(t *testing.T) {
		k, end := readDuringWrite(t)
		k.writes <- nil
		require.Equal(t, io.EOF, <-end)
	})
	t.Run("is none if a write under way fails", func(t *testing.T) {
		k, end := readDuringWrite(t)
		k.writes <- syscall.ECONNRESET
		requireCut(t, <-end)
	})
}

// readDuringWrite reads while a write is under way, and checks that the read waits.
func readDuringWrite(t *testing.T) (k scriptedConn, end chan error) {
	t.Helper()
	k = newScriptedConn()
	c := NewConn(k)
	c.Start(func(w io.Writer) error {
		_, err := w.Write([]byte("a"))
		return err
	})
	<-k.began
	end = make(chan error, 1)
	go func() { end <- readEnd(c) }()
	select {
	case err := <-end:
		require.Fail(t, "the end came before that of the write", err)
	default:
	}
	return k, end
}
