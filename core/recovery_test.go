package core

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/placement"
)

// fleetOfCell returns a fleet whose process has four peers, of which some report that they have not
// placed any call and others that they have.
func fleetOfCell(idle, busy int) *Fleet {
	f := newFleet("s", 8)
	f.SetPeers(func() int { return 4 })
	for i := range idle {
		f.ReceiveView(fmt.Sprint("idle-", i), nil, true)
	}
	for i := range busy {
		f.ReceiveView(fmt.Sprint("busy-", i), map[hollowgrade.Instance]Share{"u00": {Prefill: time.Millisecond}}, true)
	}
	return f
}

func TestProcessesThatStartTogether(t *testing.T) {
	t.Run("have most peers idle", func(t *testing.T) {
		require.True(t, fleetOfCell(3, 1).BeginServing(0, 5))
	})
	t.Run("have no load to wait for unless a peer has some", func(t *testing.T) {
		require.False(t, fleetOfCell(2, 0).StartedTogether())
		require.True(t, fleetOfCell(3, 0).StartedTogether())
		require.False(t, fleetOfCell(3, 1).StartedTogether())
	})
	t.Run("a process that starts alone has peers with load", func(t *testing.T) {
		require.False(t, fleetOfCell(2, 2).BeginServing(0, 5))
		require.False(t, fleetOfCell(0, 4).BeginServing(0, 5))
	})
	t.Run("or does not know of most", func(t *testing.T) {
		require.False(t, fleetOfCell(2, 0).BeginServing(0, 5))
	})
	t.Run("or has none", func(t *testing.T) {
		f := newFleet("s", 1)
		require.False(t, f.StartedTogether())
		require.False(t, f.BeginServing(0, 1))
	})
	t.Run("what peers place since doesn't matter", func(t *testing.T) {
		f := fleetOfCell(3, 0)
		for i := range 3 {
			f.ReceiveView(fmt.Sprint("idle-", i), map[hollowgrade.Instance]Share{"u00": {Open: 1, Prefill: time.Millisecond}}, i == 0)
		}
		require.True(t, f.BeginServing(0, 5))
	})
	t.Run("nor that a busy one is idle later", func(t *testing.T) {
		f := fleetOfCell(0, 4)
		for i := range 4 {
			f.ReceiveView(fmt.Sprint("busy-", i), nil, true)
		}
		require.False(t, f.BeginServing(0, 5))
	})
	t.Run("nor parts of reports before the first complete one", func(t *testing.T) {
		f := fleetOfCell(0, 0)
		for i := range 4 {
			f.ReceiveView(fmt.Sprint("busy-", i), nil, false)
		}
		require.False(t, f.BeginServing(0, 5))
	})
}

func TestRecoveryEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fleetOfCell(4, 0)
		require.Equal(t, placement.Recovery{}, f.recovery.at(time.Now()))
		require.True(t, f.BeginServing(2, 5))
		require.Equal(t, placement.Recovery{Index: 2, Count: 5}, f.recovery.at(time.Now()))
		time.Sleep(recoveryTime)
		require.Equal(t, placement.Recovery{}, f.recovery.at(time.Now()))
	})
}

func TestCallsInRecovery(t *testing.T) {
	// firstSentAfter returns how long after its arrival a call is sent.
	firstSentAfter := func(t *testing.T, recovering bool, lastEventID string) (d time.Duration) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			begin := time.Now()
			f := &fakeUpstreams{replies: []reply{func(ctx context.Context, s hollowgrade.Sending) (hollowgrade.Exchange, error) {
				d = time.Since(begin)
				return events(2, 4, io.EOF)(ctx, s)
			}}}
			c := newCore(f, WithPeers(func() int { return 1 }))
			r := Route{Name: "stream", Host: "h", Prefix: "/stream/", Targets: []Target{{Service: "s", Weight: 1}}, MaxAttempts: 1, Repeat: Resume, Timeout: 10 * time.Second, Goal: 300 * time.Millisecond}
			c.SetCatalog(NewCatalog(2, []Route{r}, []Service{{Name: "s", Engine: figures()}}, []Organisation{{Name: "o", Keys: []string{"k"}}}, Limits{}))
			if recovering {
				c.Fleet().ReceiveView("b", nil, true)
				require.True(t, c.Fleet().BeginServing(0, 2))
			}
			q := call("/stream/")
			q.LastEventID, q.PromptTokens = lastEventID, 1000
			require.NoError(t, c.Serve(context.Background(), q, &fakeSink{}))
		})
		return d
	}
	t.Run("new ones are sent at once", func(t *testing.T) {
		require.Zero(t, firstSentAfter(t, true, ""))
	})
	t.Run("resumed streams later", func(t *testing.T) {
		d := firstSentAfter(t, true, "1")
		require.GreaterOrEqual(t, d, 150*time.Millisecond)
		require.LessOrEqual(t, d, 500*time.Millisecond)
	})
	t.Run("these too at once at any other time", func(t *testing.T) {
		require.Zero(t, firstSentAfter(t, false, "1"))
	})
}
