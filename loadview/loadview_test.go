package loadview

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/core"
	"github.com/hollowgrade/hollowgrade/engine"
	"github.com/hollowgrade/hollowgrade/internal/wire"
	"github.com/hollowgrade/hollowgrade/peer"
)

func newFleet() *core.Fleet {
	f := core.NewFleet(hollowgrade.SystemClock(), log.New(io.Discard))
	f.Put(hollowgrade.Upstream{ID: "u", Service: "s", Slots: 4})
	return f
}

// serve lets a fleet take views of others, and returns its address.
func serve(t *testing.T, f *core.Fleet) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := peer.NewServer(func(_ context.Context, s *peer.Stream, first *wire.Frame) error {
		return Take(s, first.GetLoadView(), f)
	}, func(net.Addr, error) {})
	ctx, cancel := context.WithCancel(context.Background())
	var g sync.WaitGroup
	g.Go(func() { _ = s.Serve(ctx, l) })
	t.Cleanup(func() {
		cancel()
		_ = l.Close()
		s.Close()
		g.Wait()
	})
	return l.Addr().String()
}

// run lets a fleet tell others, until the function that it returns is called.
func run(t *testing.T, f *core.Fleet, address string) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var g sync.WaitGroup
	s := New("a", f, func() []string { return []string{address, "127.0.0.1:1"} }, WithLogger(log.New(io.Discard)))
	g.Go(func() { s.Run(ctx) })
	stop = sync.OnceFunc(func() {
		cancel()
		g.Wait()
	})
	t.Cleanup(stop)
	return stop
}

var (
	service = core.Service{Name: "s", Engine: &engine.Figures{Slots: 4, Stride: 1, Step: time.Millisecond, ReadRate: 1000, Capacity: 1_000_000}}
	route   = core.Route{Goal: time.Minute, PauseGoal: 300 * time.Millisecond}
)

func plan(t *testing.T, f *core.Fleet) core.Plan {
	t.Helper()
	p, ok := f.Plan(service, route, hollowgrade.Call{PromptTokens: 100, MaxTokens: 5}, time.Hour)
	require.True(t, ok)
	return p
}

func requireOthers(t *testing.T, f *core.Fleet, open int) {
	t.Helper()
	require.Eventually(t, func() bool { return f.Others("u").Open == open }, 20*time.Second, time.Millisecond)
}

func TestLoadIsToldAndForgotten(t *testing.T) {
	a, b := newFleet(), newFleet()
	first := plan(t, a) // before they are connected
	stop := run(t, a, serve(t, b))
	requireOthers(t, b, 1)
	second := plan(t, a)
	requireOthers(t, b, 2)
	own := a.Shares()["u"]
	own.Given = own.Given.Truncate(time.Microsecond)
	require.Equal(t, own, b.Others("u"))
	a.Done(first, true)
	a.Done(second, true)
	requireOthers(t, b, 0)
	plan(t, a)
	requireOthers(t, b, 1)
	stop()
	requireOthers(t, b, 0)
}

func TestStakesOverTheWire(t *testing.T) {
	for _, s := range []core.Stakes{{}, {1}, {0, 0, 7}, {1, 2, 3, 4, 5}} {
		require.Equal(t, s, decodeStakes(encodeStakes(s)))
	}
	require.Equal(t, core.Stakes{1, 2, 3, 4, 5}, decodeStakes([]int32{1, 2, 3, 4, 5, 6}), "classes of a newer peer are passed over")
}
