package node

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/platform/platformtest"
)

// Guards against answers without a length and chunks being taken for broken off, or broken ones for
// whole.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	t.Run("are whole", func(t *testing.T) {
		s := newFixture(t, platformtest.UnframedStream(eventCount, 0))
		st, b, err := s.gateway.call(t, "/stream/x", "a", "k1")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, st)
		require.Equal(t, stream(eventCount), b)
	})
	t.Run("are taken up at another upstream if they end inside an event", func(t *testing.T) {
		s := newFixture(t, platformtest.UnframedStream(eventCount, 3), platformtest.Stream(eventCount, 0))
		for i := range 8 {
			st, b, err := s.gateway.call(t, "/stream/x", fmt.Sprint("b", i), "k1")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, st)
			require.Equal(t, stream(eventCount), b)
		}
	})
	t.Run("are broken off if nothing can take them up", func(t *testing.T) {
		s := newFixture(t, platformtest.UnframedStream(eventCount, 3))
		_, b, err := s.gateway.call(t, "/stream/x", "c", "k1")
		require.Error(t, err)
		require.Equal(t, stream(3), b)
	})
}

const (
	// newConnections is how many new connections a second most clients of a region open.
	newConnections = 280
	// minSteadyRatio is the least ratio of the requests that are served at the first attempt while one
	// gateway gets nearly all new connections, to those before.
	minSteadyRatio = 0.75
)

// callOnNewConnections sends requests on connections of their own to one gateway, and returns the part
// of them that was served.
func callOnNewConnections(g *gateway, prefix string, d time.Duration) float64 {
	var group sync.WaitGroup
	var mu sync.Mutex
	served, sent := 0, 0
	t := time.NewTicker(time.Second / newConnections)
	defer t.Stop()
	for end := time.Now().Add(d); time.Now().Before(end); <-t.C {
		sent++
		id := fmt.Sprint(prefix, sent)
		group.Go(func() {
			if st, b, err := g.post("/stream/x", id, "k1", id); err == nil && st == http.StatusOK && b == stream(eventCount) {
				mu.Lock()
				defer mu.Unlock()
				served++
			}
		})
	}
	group.Wait()
	return float64(served) / float64(max(sent, 1))
}

// Guards against a gateway that fails when the platform hands it nearly all new connections.
func TestOneGatewayGetsMostNewConnections(t *testing.T) {
	s := newFixture(t)
	m := newCrashingPool(t, s.store, 24, time.Second)
	c := newCallerGroup(t, s.store, 3)
	t.Run("it serves them", func(t *testing.T) {
		require.GreaterOrEqual(t, callOnNewConnections(c.gateways[0], "one", 3*time.Second), minSteadyRatio)
	})
	t.Run("another does once it is restarted", func(t *testing.T) {
		g := startGateway(t, s.store.Address(), nil)
		g.waitReady(t)
		require.GreaterOrEqual(t, callOnNewConnections(g, "again", 3*time.Second), minSteadyRatio)
	})
	require.Empty(t, c.gateways[0].Core.Quarantine().Blocks())
	require.Zero(t, m.sendCount())
}
