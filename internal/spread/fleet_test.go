package spread

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/feed"
	"github.com/hollowgrade/hollowgrade/internal/wire"
	"github.com/hollowgrade/hollowgrade/peer"
)

const (
	storeDelay = 4 * time.Millisecond // time that the store takes to answer
	// maxViewAge bounds the age of a view by which keys are accepted: 5 s after the configuration was
	// last confirmed, less 0.8 s for the transfer of answers.
	maxViewAge    = 4200 * time.Millisecond
	maxSpreadTime = 2 * time.Second       // until all gateways have a change
	pollInterval  = 10 * time.Millisecond // between checks of the gateways
)

var errDown = errors.New("down")

// memTopic implements [hollowgrade.Topic] in memory.
type memTopic struct {
	mu      sync.Mutex
	records []hollowgrade.KeyedRecord
	era     int64
	down    bool
	changed chan struct{}
}

func newTopic() *memTopic {
	return &memTopic{era: 1, changed: make(chan struct{})}
}

// goBack makes the topic one of a store that came back from a copy without its last records.
func (t *memTopic) goBack(records int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records = slices.Clone(t.records[:max(len(t.records)-records, 0)])
	t.era++
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *memTopic) Put(_ context.Context, key string, value []byte) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records = append(t.records, hollowgrade.KeyedRecord{Key: key, Value: value, Position: hollowgrade.Position{Offset: int64(len(t.records))}})
	close(t.changed)
	t.changed = make(chan struct{})
	return nil
}

func (t *memTopic) Newest(context.Context, time.Duration) (p hollowgrade.KeyedPage, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return p, errDown
	}
	newest := map[string]hollowgrade.KeyedRecord{}
	for _, r := range t.records {
		newest[r.Key] = r
	}
	p.Records = slices.Collect(maps.Values(newest))
	p.Next = int64(len(t.records))
	p.End, p.Era = p.Next, t.era
	return p, nil
}

func (t *memTopic) Wait(ctx context.Context, from int64, d, _ time.Duration) (p hollowgrade.KeyedPage, err error) {
	until := time.After(d)
	for {
		t.mu.Lock()
		down, end, changed := t.down, int64(len(t.records)), t.changed
		p.Era = t.era
		if from < end {
			p.Records = slices.Clone(t.records[from:])
		}
		t.mu.Unlock()
		p.Next, p.End = max(end, from), end
		switch {
		case down:
			return p, errDown
		case from > end:
			return p, &hollowgrade.TrimmedError{Era: p.Era}
		case len(p.Records) > 0:
			return p, nil
		}
		select {
		case <-changed:
		case <-until:
			return p, nil
		case <-ctx.Done():
			return p, ctx.Err()
		}
	}
}

// remoteTopic is a topic of the store as a box reaches it: what it reads is sent over the links of
// the store and of the box.
type remoteTopic struct {
	*memTopic
	net     *network
	box     string
	delay   time.Duration // time that the store takes to answer
	silent  func(box string) bool
	refused func(box string) bool // whether the store refuses a box's calls at once
	calls   *callCounter
	cuts    func(box string) (n int, now bool) // how often a box was cut off from the store, and whether it is now
	conns   *storeConns
}

// callCounter counts calls to the store.
type callCounter struct {
	mu        sync.Mutex
	since     time.Time
	total     int
	perSecond map[int]int // by whole seconds since the reset
}

// reset starts a new count.
func (c *callCounter) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since, c.total, c.perSecond = time.Now(), 0, map[int]int{}
}

func (c *callCounter) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total++
	c.perSecond[int(time.Since(c.since)/time.Second)]++
}

// count returns the number of calls, and the most in one second.
func (c *callCounter) count() (all, most int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.perSecond {
		most = max(most, n)
	}
	return c.total, most
}

func (t *remoteTopic) Newest(ctx context.Context, patience time.Duration) (p hollowgrade.KeyedPage, err error) {
	t.calls.add()
	answered := t.watchCuts(patience)
	defer func() { err = errors.Join(err, answered(ctx)) }()
	heard := t.conns.open(patience)
	defer func() { err = errors.Join(err, heard(ctx, err)) }()
	if t.refused(t.box) {
		return p, errDown
	}
	if p, err = t.memTopic.Newest(ctx, patience); err == nil {
		err = t.transmit(ctx, p, patience)
	}
	return p, err
}

func (t *remoteTopic) Wait(ctx context.Context, from int64, d, patience time.Duration) (p hollowgrade.KeyedPage, err error) {
	t.calls.add()
	answered := t.watchCuts(d + patience)
	defer func() { err = errors.Join(err, answered(ctx)) }()
	heard := t.conns.open(d + patience)
	defer func() { err = errors.Join(err, heard(ctx, err)) }()
	if t.refused(t.box) {
		return p, errDown
	}
	if p, err = t.memTopic.Wait(ctx, from, d, patience); err == nil {
		err = t.transmit(ctx, p, patience)
	}
	return p, err
}

// watchCuts returns a function that fails a call after its time if the box was cut off since the call began.
func (t *remoteTopic) watchCuts(timeout time.Duration) (answered func(ctx context.Context) error) {
	begun := time.Now()
	n, now := t.cuts(t.box)
	return func(ctx context.Context) error {
		if m, _ := t.cuts(t.box); m == n && !now {
			return nil
		}
		hollowgrade.Sleep(ctx, hollowgrade.SystemClock(), time.Until(begun.Add(timeout)))
		return errDown
	}
}

// transmit waits for the time that the answer takes to arrive.
func (t *remoteTopic) transmit(ctx context.Context, p hollowgrade.KeyedPage, patience time.Duration) error {
	left := 0
	for _, r := range p.Records {
		left += len(r.Key) + len(r.Value)
	}
	wait := min(t.delay, patience)
	if t.silent(t.box) {
		wait = patience
	}
	for {
		if !hollowgrade.Sleep(ctx, hollowgrade.SystemClock(), wait) {
			return ctx.Err()
		}
		if t.delay > patience || t.silent(t.box) {
			return errDown
		}
		if left <= 0 {
			return nil
		}
		k := min(left, segmentBytes)
		wait = time.Until(t.net.send(storeBox, t.box, k))
		left -= k
	}
}

// gateway has the feeds of one gateway process.
type gateway struct {
	box                    string
	config, fleet, members *feed.Feed
	relay                  *feed.Relay
	stop                   func() // stops the process and waits for its end
}

// testFleet is a set of gateways with one store and one network.
type testFleet struct {
	net                    *network
	faultsMu               sync.Mutex
	silent                 func(box string) bool // whether the store does not answer a box
	refused                func(box string) bool // whether it refuses the calls of a box at once
	cutBox                 string                // is cut off from the store and from all peers now
	cuts                   map[string]int        // how often each box was
	silencedAt             time.Time             // connections to the store that were open then are silent
	config, fleet, members *memTopic
	calls                  callCounter
	timing                 feed.Timing
	gateways               []*gateway
	startGateway           func(i int) *gateway
}

// place is the data hall and link rate of a gateway.
type place struct {
	hall string
	rate float64
}

// fleetPlaces returns the places of n gateways: four halls, and wide links for two of every seven
// gateways.
func fleetPlaces(n int) (ps []place) {
	for i := range n {
		p := place{hall: fmt.Sprint("hall-", i%4), rate: narrowBytesPerSecond}
		if i/4%7 < 2 {
			p.rate = wideBytesPerSecond
		}
		ps = append(ps, p)
	}
	return ps
}

func address(i int) string {
	return fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)
}

// inNetwork runs the test with gateways at the given places, in virtual time.
func inNetwork(t *testing.T, ps []place, delay time.Duration, test func(t *testing.T, f *testFleet), prepare ...func(f *testFleet)) {
	t.Helper()
	// Two collections empty the pool in which yamux keeps timers of an earlier bubble.
	runtime.GC()
	runtime.GC()
	if raceDetector {
		// The race detector has one context for all timers of a bubble. If two threads run expired
		// timers at once, the runtime crashes (SIGSEGV below runtime.timer.maybeRunChan, or a failed
		// check of slot_locked), in two of three runs.
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := &testFleet{net: newNetwork(), silent: noBox, refused: noBox, cuts: map[string]int{}, timing: feed.NewTiming(maxViewAge), config: newTopic(), fleet: newTopic(), members: newTopic()}
		f.calls.reset()
		addresses := make([]string, len(ps))
		for i := range ps {
			addresses[i] = address(i)
		}
		var g sync.WaitGroup
		defer func() {
			cancel()
			time.Sleep(time.Second) // pending polls end
			f.net.close()
			g.Wait()
		}()
		for i, p := range ps {
			f.net.add(addresses[i], p.hall, p.rate)
		}
		for _, p := range prepare {
			p(f)
		}
		f.startGateway = func(i int) *gateway { return f.start(ctx, &g, addresses[i], addresses, delay) }
		for i := range ps {
			f.gateways = append(f.gateways, f.startGateway(i))
		}
		time.Sleep(5 * time.Second)
		test(t, f)
	})
}

func noBox(string) bool { return false }

// setStoreFaults sets which boxes the store does not answer, and which it refuses at once.
func (f *testFleet) setStoreFaults(silent, refused func(box string) bool) {
	f.faultsMu.Lock()
	defer f.faultsMu.Unlock()
	f.silent, f.refused = silent, refused
}

func (f *testFleet) hasStoreFault(how *func(box string) bool, box string) bool {
	f.faultsMu.Lock()
	defer f.faultsMu.Unlock()
	return (*how)(box)
}

// remoteTopic returns a topic as the box reaches it.
func (f *testFleet) remoteTopic(t *memTopic, box string, delay time.Duration, conns *storeConns) *remoteTopic {
	return &remoteTopic{t, f.net, box, delay, func(box string) bool { return f.hasStoreFault(&f.silent, box) }, func(box string) bool { return f.hasStoreFault(&f.refused, box) }, &f.calls, f.countCuts, conns}
}

func (f *testFleet) countCuts(box string) (n int, now bool) {
	f.faultsMu.Lock()
	defer f.faultsMu.Unlock()
	return f.cuts[box], f.cutBox == box
}

func (f *testFleet) start(ctx context.Context, g *sync.WaitGroup, box string, all []string, delay time.Duration) *gateway {
	quiet := log.New(io.Discard)
	w := &gateway{box: box}
	conns := &storeConns{silenced: f.silenceOfConnections}
	w.relay = feed.NewRelay(box, func() []string { return append([]string(nil), all...) }, feed.WithRelayLogger(quiet), feed.WithDialer(f.net.dialer(box)), feed.WithPlaces(f.net.place), feed.WithRelayTiming(f.timing))
	w.config = feed.New("config", f.remoteTopic(f.config, box, delay, conns), feed.WithRedial(conns.dropIdle), feed.WithLogger(quiet), feed.WithTiming(f.timing), feed.WithWait(min(f.timing.ReadWait, 1500*time.Millisecond)), feed.WithReader(w.relay.ReadsLarge), feed.WithPeersFirst(w.relay.PeersFirst), feed.WithBreaker(w.relay.Breaker()))
	w.fleet = feed.New("fleet", f.remoteTopic(f.fleet, box, delay, conns), feed.WithRedial(conns.dropIdle), feed.WithLogger(quiet), feed.WithTiming(f.timing), feed.WithWait(3*time.Second), feed.WithReader(w.relay.Reads), feed.WithPeersFirst(w.relay.PeersFirst), feed.WithBreaker(w.relay.Breaker()))
	w.members = feed.New("members", f.remoteTopic(f.members, box, delay, conns), feed.WithRedial(conns.dropIdle), feed.WithLogger(quiet), feed.WithTiming(f.timing), feed.WithWait(20*time.Second), feed.WithReader(w.relay.Reads), feed.WithBreaker(w.relay.Breaker()))
	fs := []*feed.Feed{w.config, w.fleet, w.members}
	w.relay.Add(fs...)
	v := w.relay.NewServer(f.net.place(box).Link)
	s := peer.NewServer(func(_ context.Context, s *peer.Stream, first *wire.Frame) error { return v.Serve(s, first) }, func(net.Addr, error) {})
	l := f.net.listen(box)
	ctx, cancel := context.WithCancel(ctx)
	var own sync.WaitGroup
	own.Go(func() {
		_ = s.Serve(ctx, l)
		s.Close() // waits for the connections accepted last
	})
	own.Go(func() { w.config.Run(ctx) })
	own.Go(func() { w.fleet.Run(ctx) })
	own.Go(func() { w.members.Run(ctx) })
	own.Go(func() {
		w.relay.Run(ctx)
		_ = l.Close()
	})
	w.stop = func() {
		cancel()
		f.net.disconnect(box)
		own.Wait()
	}
	g.Go(own.Wait)
	return w
}

// stopGateways stops the selected gateways concurrently.
func (f *testFleet) stopGateways(which func(i int) bool) {
	var g sync.WaitGroup
	for i, w := range f.gateways {
		if which(i) {
			g.Go(w.stop)
		}
	}
	g.Wait()
}

// restartGateways starts the selected gateways, which were stopped.
func (f *testFleet) restartGateways(which func(i int) bool) {
	for i := range f.gateways {
		if which(i) {
			f.gateways[i] = f.startGateway(i)
		}
	}
}

// countKnowing returns how many gateways have a topic up to an offset.
func (f *testFleet) countKnowing(of func(*gateway) *feed.Feed, next int64) (n int) {
	for _, w := range f.gateways {
		if of(w).Next() >= next {
			n++
		}
	}
	return n
}

// waitKnown waits until all gateways have a topic up to an offset, for at most bound, and returns
// how long it waited.
func (f *testFleet) waitKnown(of func(*gateway) *feed.Feed, next int64, bound time.Duration) time.Duration {
	began := time.Now()
	for f.countKnowing(of, next) < len(f.gateways) && time.Since(began) < bound {
		time.Sleep(pollInterval)
	}
	return time.Since(began)
}

func configOf(w *gateway) *feed.Feed { return w.config }

// randomConfig returns a configuration of at least so many bytes, with random route names.
func randomConfig(r *rand.Rand, bytes int) string {
	var b strings.Builder
	b.WriteString(`{"version":1,"routes":[`)
	for i := 0; b.Len() < bytes; i++ {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"r-%s","host":"%s.example","pathPrefix":"/%s/","kind":"safe","timeoutMs":1000,"goalLatencyMs":1000,"priority":2,"service":"%s","maxAttempts":2,"public":true}`,
			randomName(r), randomName(r)[:2], randomName(r), randomName(r)[:1])
	}
	b.WriteString(`]}`)
	return b.String()
}

func randomName(r *rand.Rand) string {
	b := make([]byte, 8)
	for i := range b {
		b[i] = "abcdefghijklmnopqrstuvwxyz0123456789"[r.IntN(36)]
	}
	return string(b)
}

func newSeededRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// Guards against a large configuration that never reaches gateways with links of 20 Mbit/s. Each
// polls three peers every 400 ms and waits 700 ms for an answer. If answers hold whole records, one
// copy of 0.8 MB takes 0.32 s and three at once 0.96 s: each is aborted, discarded and requested
// again from the start, which keeps the link full and aborts the gateway's reads of the store too.
func TestLargeConfigurationReachesAllGateways(t *testing.T) {
	inNetwork(t, fleetPlaces(28), storeDelay, func(t *testing.T, f *testFleet) {
		f.net.resetCounts()
		c := randomConfig(newSeededRand(), 800_000)
		require.NoError(t, f.config.Put(context.Background(), "config", []byte(c)))
		took := f.waitKnown(configOf, 1, 20*time.Second)
		narrowest, _ := f.net.byteCounts()
		require.Equal(t, len(f.gateways), f.countKnowing(configOf, 1), "gateways that know the change after %s", took)
		require.LessOrEqual(t, took, maxSpreadTime)
		require.Less(t, narrowest, int64(len(c)*3/2), "bytes that a narrow gateway received")
	})
}
