package callers

import (
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// arrivalTime is how long bytes take on loopback at the most.
const arrivalTime = 50 * time.Millisecond

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
	t.Run("it has arrived and was not read", func(t *testing.T) {
		c, other := connInPhase(t, phaseIdle)
		_, err := other.Write([]byte(request))
		require.NoError(t, err)
		time.Sleep(arrivalTime)
		c.giveWay()
		n, err := c.Read(make([]byte, len(request)))
		require.NoError(t, err)
		require.Equal(t, len(request), n)
	})
	t.Run("nothing of it has come", func(t *testing.T) {
		c, _ := connInPhase(t, phaseIdle)
		c.giveWay()
		_, err := c.Read(read)
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	})
}
