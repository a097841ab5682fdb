package node

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// newConnections is how many new connections a second the clients of a region open.
	newConnections = 280
	// minSteadyRatio is the least part of the requests that have to be served while one gateway gets
	// all new connections.
	minSteadyRatio = 0.75
)

// callOnNewConnections sends requests on connections of their own to the gateway that gets them at the
// time, and returns the part of them that was served. A request that a gateway didn't take is sent once
// more.
func callOnNewConnections(target *atomic.Pointer[gateway], prefix string, d time.Duration) float64 {
	var group sync.WaitGroup
	var served atomic.Int64
	sent := 0
	t := time.NewTicker(time.Second / newConnections)
	defer t.Stop()
	for end := time.Now().Add(d); time.Now().Before(end); <-t.C {
		sent++
		id := fmt.Sprint(prefix, sent)
		group.Go(func() {
			st, b, err := target.Load().post("/stream/x", id, "k1", id)
			if st == 0 || st == http.StatusServiceUnavailable {
				st, b, err = target.Load().post("/stream/x", id+"-again", "k1", id)
			}
			if err == nil && st == http.StatusOK && b == stream(eventCount) {
				served.Add(1)
			}
		})
	}
	group.Wait()
	return float64(served.Load()) / float64(max(sent, 1))
}

// Guards against a gateway that fails when the platform hands it all new connections.
func TestOneGatewayGetsMostNewConnections(t *testing.T) {
	s := newFixture(t)
	m := newCrashingPool(t, s.store, 24, time.Second)
	c := newCallerGroup(t, s.store, 3)
	var target atomic.Pointer[gateway]
	target.Store(c.gateways[0])
	t.Run("it serves them", func(t *testing.T) {
		require.GreaterOrEqual(t, callOnNewConnections(&target, "one", 3*time.Second), minSteadyRatio)
	})
	t.Run("also while it is stopped and another gets them", func(t *testing.T) {
		leaving := startGateway(t, s.store.Address(), nil)
		leaving.waitReady(t)
		target.Store(leaving)
		time.AfterFunc(time.Second, func() {
			target.Store(c.gateways[1])
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_ = leaving.Stop(ctx) // the end of the test stops it again, and checks that
		})
		require.GreaterOrEqual(t, callOnNewConnections(&target, "again", 3*time.Second), minSteadyRatio)
	})
	require.Empty(t, c.gateways[0].Core.Quarantine().Blocks())
	require.Zero(t, m.sendCount())
}
