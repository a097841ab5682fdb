package callers

import (
	"net"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// connInPhase returns a connection of a server in a phase, and the other end of it.
func connInPhase(t *testing.T, p phase) (c *conn, other net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	other, err = net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = other.Close() })
	n, err := listener{Listener: l, server: New(l, nil)}.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = n.Close() })
	c = n.(*conn)
	c.setPhase(p)
	return c, other
}

// A deadline that has passed would cancel the request as if its caller had gone.
func TestRequestThatBeginsAsItsConnectionGivesWayIsServed(t *testing.T) {
	read := make([]byte, 1)
	t.Run("its head was read before", func(t *testing.T) {
		c, other := connInPhase(t, phaseHead)
		c.giveWay()
		c.setPhase(phaseOpen)
		_, err := other.Write([]byte("b"))
		require.NoError(t, err)
		_, err = c.Read(read)
		require.NoError(t, err)
	})
	t.Run("it is open already", func(t *testing.T) {
		c, other := connInPhase(t, phaseOpen)
		c.giveWay()
		_, err := other.Write([]byte("b"))
		require.NoError(t, err)
		_, err = c.Read(read)
		require.NoError(t, err)
	})
	t.Run("nothing of it has come", func(t *testing.T) {
		c, _ := connInPhase(t, phaseIdle)
		c.giveWay()
		_, err := c.Read(read)
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	})
}
