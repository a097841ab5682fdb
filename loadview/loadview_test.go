package loadview

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/core"
	"github.com/hollowgrade/hollowgrade/engine"
	"github.com/hollowgrade/hollowgrade/internal/wire"
	"github.com/hollowgrade/hollowgrade/peer"
	"github.com/hollowgrade/hollowgrade/placement"
)

func newFleet() *core.Fleet {
	f := core.NewFleet(hollowgrade.SystemClock(), log.New(io.Discard))
	f.Put(hollowgrade.Upstream{ID: "u", Service: "s", Slots: 4})
	return f
}

func packets(t testing.TB, address string) *peer.Packets {
	t.Helper()
	p, err := peer.ListenPackets(address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = p.Close() })
	return p
}

// startReceiver receives the views of others for a fleet, and returns its address.
func startReceiver(t testing.TB, f *core.Fleet) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	k := NewReceiver(f)
	s := peer.NewServer(func(_ context.Context, s *peer.Stream, first *wire.Frame) error {
		return k.Stream(s, first.GetLoadView())
	}, func(net.Addr, error) {})
	ctx, cancel := context.WithCancel(context.Background())
	var g sync.WaitGroup
	g.Go(func() { _ = s.Serve(ctx, l) })
	p := packets(t, l.Addr().String())
	g.Go(func() {
		p.Serve(func(f *wire.Frame) { k.Packet(f.GetLoadView()) }, func(net.Addr, error) {})
	})
	t.Cleanup(func() {
		cancel()
		_ = p.Close()
		_ = l.Close()
		s.Close()
		g.Wait()
	})
	return l.Addr().String()
}

// startSender sends the load of a fleet to others until the returned function is called.
func startSender(t *testing.T, f *core.Fleet, address string, os ...Option) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var g sync.WaitGroup
	os = append(os, WithLogger(log.New(io.Discard)))
	s := New("a", f, func() []string { return []string{address, "127.0.0.1:1"} }, os...)
	g.Go(func() { s.Run(ctx) })
	stop = sync.OnceFunc(func() {
		cancel()
		g.Wait()
	})
	t.Cleanup(stop)
	return stop
}

var (
	service = core.Service{Name: "s", Engine: &engine.Figures{Slots: 4, Stride: 1, Step: time.Millisecond, PrefillRate: 1000, Capacity: 1_000_000}}
	route   = core.Route{Goal: time.Minute, PauseGoal: 300 * time.Millisecond}
)

func plan(t testing.TB, f *core.Fleet) core.Plan {
	t.Helper()
	p, ok := f.Plan(service, route, hollowgrade.Call{PromptTokens: 100, MaxTokens: 5}, time.Hour)
	require.True(t, ok)
	return p
}

func requireOthers(t *testing.T, f *core.Fleet, open int) {
	t.Helper()
	require.Eventually(t, func() bool { return f.PeerShare("u").Open == open }, 20*time.Second, time.Millisecond)
}

func TestLoadIsToldAndForgotten(t *testing.T) {
	t.Run("on streams", func(t *testing.T) { requireLoadSent(t) })
	t.Run("in packets", func(t *testing.T) { requireLoadSent(t, WithPackets(packets(t, "127.0.0.1:0"))) })
	t.Run("in packets that are all lost", func(t *testing.T) {
		p := packets(t, "127.0.0.1:0")
		require.NoError(t, p.Close())
		requireLoadSent(t, WithPackets(p))
	})
}

// requireLoadSent checks that a fleet receives what another one sends to upstreams, until that one
// stops.
func requireLoadSent(t *testing.T, os ...Option) {
	t.Helper()
	a, b := newFleet(), newFleet()
	first := plan(t, a) // before they are connected
	stop := startSender(t, a, startReceiver(t, b), os...)
	requireOthers(t, b, 1)
	second := plan(t, a)
	requireOthers(t, b, 2)
	own := a.Shares()["u"]
	own.Prefill = own.Prefill.Truncate(time.Microsecond)
	require.Equal(t, own, b.PeerShare("u"))
	a.Done(first, true)
	a.Done(second, true)
	requireOthers(t, b, 0)
	plan(t, a)
	requireOthers(t, b, 1)
	stop()
	requireOthers(t, b, 0)
}

func TestStakesOverTheWire(t *testing.T) {
	for _, s := range []placement.Stakes{{}, {1}, {0, 0, 7}, {1, 2, 3, 4, 5}} {
		require.Equal(t, s, decodeStakes(encodeStakes(s)))
	}
	newer := append(encodeStakes(placement.Stakes{1, 2, 3}), &wire.Stake{PauseClass: 1000, Worth: 1}, &wire.Stake{PauseClass: -1, Worth: 1})
	require.Equal(t, placement.Stakes{1, 2, 3}, decodeStakes(newer), "unknown classes of a newer peer are ignored")
}

func loadView(sequence uint64, whole bool, open ...int32) *wire.LoadView {
	m := &wire.LoadView{Box: "b", Sequence: sequence, Whole: whole}
	for i, n := range open {
		if n >= 0 {
			m.Shares = append(m.Shares, &wire.LoadShare{Upstream: fmt.Sprint(i), Open: n})
		}
	}
	return m
}

func TestWordsThatOvertakeEachOther(t *testing.T) {
	f := core.NewFleet(hollowgrade.SystemClock(), log.New(io.Discard))
	for i := range 2 {
		f.Put(hollowgrade.Upstream{ID: fmt.Sprint(i), Service: "s"})
	}
	requireOpen := func(t *testing.T, open ...int) {
		t.Helper()
		for i, n := range open {
			require.Equal(t, n, f.PeerShare(hollowgrade.Instance(fmt.Sprint(i))).Open, "upstream %d", i)
		}
	}
	k := NewReceiver(f)
	k.Packet(loadView(1, false, 7))
	requireOpen(t, 0, 0)
	o := k.openStream(loadView(2, true, 1, 1))
	requireOpen(t, 1, 1)
	require.Equal(t, 1, f.SyncedPeers())
	k.receive(loadView(5, false, 3))
	k.receive(loadView(4, false, 2, 2))
	requireOpen(t, 3, 2)
	k.receive(loadView(3, true))
	requireOpen(t, 3, 2)
	k.receive(loadView(6, true, -1, 2))
	requireOpen(t, 0, 2)
	m := loadView(7, false, 0)
	m.Shares[0].AvoidMillis = 1000
	k.receive(m)
	p, ok := f.Plan(service, route, hollowgrade.Call{PromptTokens: 100, MaxTokens: 5}, time.Hour)
	require.True(t, ok)
	require.Equal(t, "1", p.Upstream, "the other one is at fault")
	f.Done(p, true)
	newer := k.openStream(loadView(9, true, -1, 2))
	k.closeStream("b", o)
	requireOpen(t, 0, 2)
	k.closeStream("b", newer)
	requireOpen(t, 0, 0)
	k.Packet(loadView(10, false, 1))
	requireOpen(t, 0, 0)
}

func TestFramesFitIntoPackets(t *testing.T) {
	cs := map[hollowgrade.Instance]core.Share{}
	for i := range 100 {
		cs[hollowgrade.Instance(fmt.Sprintf("i-%016d#mf0abcde", i))] = core.Share{Open: 1 << 20, Stakes: placement.Stakes{1 << 20, 1 << 20, 1 << 20, 1 << 20, 1 << 20}, Prefill: 24 * time.Hour, Tokens: 1 << 24}
	}
	s := New("box-of-a-long-name-in-a-data-hall/incarnation", newFleet(), func() []string { return nil })
	sent := 0
	for _, f := range s.frames(cs) {
		require.LessOrEqual(t, proto.Size(f), peer.MaxPacket)
		sent += len(f.GetLoadView().Shares)
	}
	require.Equal(t, len(cs), sent)
}

// A gateway that restarts must learn the prefill backlogs of engines. Otherwise it sends prompts to
// engines that are still busy with those of other gateways, such as 0.9 s of prefill to each of
// six.
func TestAProcessThatStartsLearnsWhatUpstreamsHaveToRead(t *testing.T) {
	a := newFleet()
	plan(t, a)
	before := a.PrefillBacklogs()["u"]
	require.NotZero(t, before)
	b := newFleet()
	startSender(t, a, startReceiver(t, b))
	requireOthers(t, b, 1)
	require.Eventually(t, func() bool { return b.PrefillBacklogs()["u"] > 0 }, 20*time.Second, time.Millisecond)
	require.LessOrEqual(t, b.PrefillBacklogs()["u"], before)
}

func TestReadingsOverTheWire(t *testing.T) {
	rs := map[hollowgrade.Instance]time.Duration{"u": time.Second, "v": 2 * time.Second}
	m := &wire.LoadView{Shares: []*wire.LoadShare{{Upstream: "u", Open: 1}, {Upstream: "w"}}}
	addPrefillBacklogs(m, map[hollowgrade.Instance]time.Duration{"u": time.Second, "v": 2 * time.Second})
	require.Len(t, m.Shares, 3)
	require.Equal(t, rs, decodePrefillBacklogs(m))
}

// A peer that restarts must get the whole view at once, not after the pause between two attempts to
// connect.
func TestRedialEndsThePause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New("a", newFleet(), func() []string { return nil }, WithLogger(log.New(io.Discard)))
		l := &link{}
		s.links["b"] = l
		begin := time.Now()
		var g sync.WaitGroup
		g.Go(func() { s.waitRedial(context.Background(), l) })
		synctest.Wait()
		s.Redial()
		g.Wait()
		require.Zero(t, time.Since(begin))
		l.connected = true
		g.Go(func() { s.waitRedial(context.Background(), l) })
		synctest.Wait()
		s.Redial()
		g.Wait()
		require.Equal(t, redialInterval, time.Since(begin), "a link that is up is not affected")
	})
}

// bytesToPeers returns the bytes a second of the heartbeats of a gateway with that many peers while
// its load doesn't change.
func bytesToPeers(t *testing.T, peers, upstreams int) float64 {
	t.Helper()
	const span = time.Minute
	f := core.NewFleet(hollowgrade.SystemClock(), log.New(io.Discard))
	for i := range upstreams {
		f.Put(hollowgrade.Upstream{ID: fmt.Sprintf("i-%010d", i), Service: "s", Slots: 4})
	}
	for range 4 * upstreams {
		f.Done(plan(t, f), true)
	}
	s := New("edge-of-a-hall-12/1a2b3c4d", f, func() []string { return nil })
	for i := range peers {
		s.links[fmt.Sprint(i)] = &link{pending: map[hollowgrade.Instance]core.Share{}, wake: make(chan struct{}, 1)}
	}
	f.Changes(true)
	bytes := 0
	for began, lastWhole := time.Now(), time.Now(); time.Since(began) < span; {
		time.Sleep(core.Heartbeat(peers))
		lastWhole = s.heartbeat(lastWhole)
		for _, l := range s.links {
			bytes += proto.Size(s.nextFrame(l))
		}
	}
	return float64(bytes) / span.Seconds()
}

// Whole views have every upstream that was ever used. With one in every tenth heartbeat of 0.5 s,
// each of 103 idle gateways sent 91 KB a second, 0.45 GB between halls in 48 s.
func TestHeartbeatsOfManyGatewaysAreSmall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		few, many := bytesToPeers(t, 27, 60), bytesToPeers(t, 102, 150)
		t.Logf("bytes a second: %.0f to 27 peers, %.0f to 102", few, many)
		require.Less(t, many, 20_000.0)
		require.Less(t, few, 5_000.0)
	})
}

// requirePredicted waits until a fleet predicts the first event of a call after a multiple of the
// time on an idle fleet.
func requirePredicted(t *testing.T, f *core.Fleet, times float64) {
	t.Helper()
	idle := plan(t, newFleet()).PredictedFirst
	require.Eventually(t, func() bool {
		p := plan(t, f)
		defer f.Done(p, false)
		return math.Abs(float64(p.PredictedFirst)/float64(idle)-times) < 0.1
	}, 10*time.Second, 5*time.Millisecond)
}

func TestSpeedsOfEnginesAreTold(t *testing.T) {
	a, b := newFleet(), newFleet()
	p := packets(t, "127.0.0.1:0")
	startSender(t, a, startReceiver(t, b), WithPackets(p))
	a.ReceivePace("u", 3, 0, "", "r")
	requirePredicted(t, b, 3)
	for _, w := range b.UpstreamStates(map[hollowgrade.Instance]core.Share{"u": {}}) {
		require.Zero(t, w.Pace, "a gateway does not pass on what a peer reported")
	}
	a.ReceivePace("u", 1, 0, "", "r")
	requirePredicted(t, b, 1)
}
