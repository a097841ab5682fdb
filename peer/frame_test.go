package peer

import (
	"context"
	"encoding/binary"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/memory"
)

const frameAwaitTime = 10 * time.Second

// serveWithin starts an echo server with a budget.
func serveWithin(t *testing.T, b *memory.Budget) (address string, cut chan error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	cut = make(chan error, 64)
	s := NewServer(echoFirst, func(_ net.Addr, err error) { cut <- err }, WithBudget(b))
	go func() { _ = s.Serve(context.Background(), l) }()
	t.Cleanup(func() {
		_ = l.Close()
		s.Close()
		require.Zero(t, b.Held())
	})
	return l.Addr().String(), cut
}

// announce opens an exchange and sends n bytes of a first frame that announces the largest size.
func announce(t *testing.T, c *Conn, n int) {
	t.Helper()
	s, err := c.session.OpenStream()
	require.NoError(t, err)
	_, err = s.Write(append(binary.AppendUvarint(nil, MaxFrame), make([]byte, n)...))
	require.NoError(t, err)
}

func TestFramesOfAllSizes(t *testing.T) {
	a, _ := serveWithin(t, memory.NewBudget(2*MaxFrame))
	c := dial(t, a)
	for _, n := range []int{0, 1, 127, 128, streamBufferBytes - 10, streamBufferBytes, streamBufferBytes + 1, 100_000, MaxFrame - 100} {
		requireEcho(t, c, strings.Repeat("b", n))
	}
}

func TestFramesTakeWhatHasArrived(t *testing.T) {
	const arrived = 40_000
	b := memory.NewBudget(MaxFrame)
	a, _ := serveWithin(t, b)
	c := dial(t, a)
	announce(t, c, arrived)
	require.Eventually(t, func() bool { return b.Held() >= arrived }, frameAwaitTime, time.Millisecond)
	require.Less(t, b.Held(), int64(2*arrived))
	require.NoError(t, c.Close())
	require.Eventually(t, func() bool { return b.Held() == 0 }, frameAwaitTime, time.Millisecond)
}

func TestConnectionThatTakesTheMostIsClosed(t *testing.T) {
	b := memory.NewBudget(400_000)
	a, cut := serveWithin(t, b)
	greedy, other := dial(t, a), dial(t, a)
	for range 4 {
		announce(t, greedy, 60_000)
	}
	require.Eventually(t, func() bool { return b.Held() >= 4*60_000 }, frameAwaitTime, time.Millisecond)
	requireEcho(t, other, strings.Repeat("b", 200_000))
	select {
	case err := <-cut:
		require.ErrorIs(t, err, ErrNoMemory)
	case <-time.After(frameAwaitTime):
		require.Fail(t, "no connection was closed")
	}
	<-greedy.Closed()
}
