package feed

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/internal/wire"
	"github.com/hollowgrade/hollowgrade/peer"
)

// large returns a value of at least size bytes that depends on n.
func large(n, size int) []byte {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "route %d of version %d;", i*7919%100_003, n)
	}
	return []byte(b.String())
}

// feedWith returns a feed whose newest record of "k" is the value at the offset.
func feedWith(offset int64, value []byte, os ...Option) *Feed {
	f := New("f", newTopic(), append([]Option{WithLogger(log.New(io.Discard))}, os...)...)
	f.Merge(page(offset+1, hollowgrade.KeyedRecord{Key: "k", Value: value, Position: hollowgrade.Position{Offset: offset}}), time.Now())
	return f
}

// logBuffer is a buffer that can be read while it is written.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// relayOf returns a relay for a feed, and its log.
func relayOf(t *testing.T, f *Feed, os ...RelayOption) (*Relay, *logBuffer) {
	t.Helper()
	l := &logBuffer{}
	r := NewRelay("self:1", func() []string { return nil }, append([]RelayOption{WithRelayLogger(log.New(l))}, os...)...)
	r.Add(f)
	t.Cleanup(r.exchanges.Wait)
	return r, l
}

// requireFetched polls a peer and waits until the feed has the value.
func requireFetched(t *testing.T, r *Relay, f *Feed, address string, value []byte) {
	t.Helper()
	r.poll(context.Background(), address)
	require.Eventually(t, func() bool { v, _ := f.value("k"); return bytes.Equal(v.Value, value) }, 10*time.Second, time.Millisecond)
	r.exchanges.Wait()
}

// requireKept polls a peer and requires that the feed keeps its value.
func requireKept(t *testing.T, r *Relay, f *Feed, address string, value []byte) {
	t.Helper()
	r.poll(context.Background(), address)
	r.exchanges.Wait()
	v, _ := f.value("k")
	require.Equal(t, len(value), len(v.Value))
	require.True(t, bytes.Equal(value, v.Value))
}

// serveValues serves a peer that answers requests for feeds like the feed, and requests for values
// by a function.
func serveValues(t *testing.T, f *Feed, answer func(s *peer.Stream, q *wire.ValueRequest) error) string {
	t.Helper()
	v := NewServer(0, f)
	return listen(t, func(_ context.Context, s *peer.Stream, first *wire.Frame) error {
		if q := first.GetValueRequest(); q != nil {
			return answer(s, q)
		}
		return v.Serve(s, first)
	})
}

func sendHead(s *peer.Stream, h *wire.ValueHead) error {
	return s.Send(&wire.Frame{Body: &wire.Frame_ValueHead{ValueHead: h}})
}

func TestLargeValues(t *testing.T) {
	old, value := large(1, 300_000), large(2, 400_000)
	newer := feedWith(7, value)
	address := serveFeeds(t, newer)
	t.Run("are brought whole by a process that has none", func(t *testing.T) {
		f := New("f", newTopic(), WithLogger(log.New(io.Discard)))
		r, l := relayOf(t, f)
		requireFetched(t, r, f, address, value)
		require.Equal(t, int64(8), f.Next())
		require.Contains(t, l.String(), "value received")
		_, ok := f.Age()
		require.True(t, ok, "the next poll reports the age")
		require.Zero(t, f.OutdatedFor())
	})
	t.Run("are brought as what differs", func(t *testing.T) {
		changed := bytes.Replace(value, []byte("version 2"), []byte("version 3"), 1)
		p := feedWith(7, value)
		p.Merge(page(9, hollowgrade.KeyedRecord{Key: "k", Value: changed, Position: hollowgrade.Position{Offset: 8}}), time.Now())
		f := feedWith(7, value)
		r, l := relayOf(t, f)
		requireFetched(t, r, f, serveFeeds(t, p), changed)
		require.Contains(t, l.String(), "difference=true")
		all, wasted := r.Received()
		require.Less(t, all, int64(2000), "bytes for one changed word of 400 KB")
		require.Zero(t, wasted)
	})
	t.Run("are brought whole where the peer does not know the value before", func(t *testing.T) {
		f := feedWith(3, old)
		r, l := relayOf(t, f)
		requireFetched(t, r, f, address, value)
		require.Contains(t, l.String(), "difference=false")
	})
	t.Run("come from a peer that read them from another", func(t *testing.T) {
		middle := New("f", newTopic(), WithLogger(log.New(io.Discard)))
		r, _ := relayOf(t, middle)
		requireFetched(t, r, middle, address, value)
		last := New("f", newTopic(), WithLogger(log.New(io.Discard)))
		r, _ = relayOf(t, last)
		requireFetched(t, r, last, serveFeeds(t, middle), value)
	})
}

// An invalid answer must leave the earlier value in place and log the reason and the sender.
func TestValuesThatAreNotTaken(t *testing.T) {
	old, value := large(1, 300_000), large(2, 400_000)
	o, err := encode(value, nil)
	require.NoError(t, err)
	head := func() *wire.ValueHead {
		return &wire.ValueHead{Offset: 7, Size: int64(len(value)), Sum: 1, Form: o.sum, FormSize: int64(len(o.bytes))}
	}
	for name, c := range map[string]struct {
		change func(h *wire.ValueHead)
		bytes  []byte
		why    string
	}{
		"cut short":            {func(*wire.ValueHead) {}, o.bytes[:len(o.bytes)/2], "cut after"},
		"of another sum":       {func(*wire.ValueHead) {}, o.bytes, "not the value"},
		"not to be decoded":    {func(*wire.ValueHead) {}, bytes.Repeat([]byte("x"), len(o.bytes)), "not the value"},
		"of another size":      {func(h *wire.ValueHead) { h.Size = 10 }, o.bytes, "not the value"},
		"older than announced": {func(h *wire.ValueHead) { h.Offset = 6 }, nil, "it has offset 6"},
		"larger than allowed":  {func(h *wire.ValueHead) { h.Size = DefaultMaxValueBytes + 1 }, nil, "allowed"},
		"of a negative size":   {func(h *wire.ValueHead) { h.Size = -1 }, nil, "not the value"},
		"more than announced":  {func(h *wire.ValueHead) { h.FormSize = 10 }, o.bytes, "not due"},
		"from the middle":      {func(h *wire.ValueHead) { h.From = 99 }, nil, "goes on from"},
	} {
		t.Run(name, func(t *testing.T) {
			a := serveValues(t, feedWith(7, value), func(s *peer.Stream, _ *wire.ValueRequest) error {
				h := head()
				c.change(h)
				if err := sendHead(s, h); err != nil {
					return err
				}
				if err := sendEncoded(s, c.bytes); err != nil {
					return err
				}
				return s.Finish()
			})
			f := feedWith(3, old)
			r, l := relayOf(t, f)
			requireKept(t, r, f, a, old)
			require.Contains(t, l.String(), "value of a peer not taken")
			require.Contains(t, l.String(), c.why)
			require.Contains(t, l.String(), a)
			require.Positive(t, f.OutdatedFor(), "it is known that there is a newer one")
		})
	}
	t.Run("announced as larger than allowed", func(t *testing.T) {
		l := &logBuffer{}
		f := feedWith(3, old, WithMaxValueBytes(350_000), WithLogger(log.New(l)))
		r, _ := relayOf(t, f)
		requireKept(t, r, f, serveFeeds(t, feedWith(7, value)), old)
		require.Contains(t, l.String(), "larger than the settings allow")
		require.Zero(t, f.OutdatedFor(), "a value over the limit is never applied")
		require.Equal(t, int64(8), f.Next())
	})
	t.Run("read from the store and larger than allowed", func(t *testing.T) {
		l := &logBuffer{}
		f := feedWith(3, old, WithMaxValueBytes(350_000), WithLogger(log.New(l)))
		f.Merge(page(8, hollowgrade.KeyedRecord{Key: "k", Value: value, Position: hollowgrade.Position{Offset: 7}}), time.Now())
		v, _ := f.value("k")
		require.Equal(t, int64(3), v.Offset)
		require.Contains(t, l.String(), "from=store")
	})
}

func TestTransferThatIsCutGoesOnElsewhere(t *testing.T) {
	value := make([]byte, 400_000) // incompressible
	_, _ = rand.NewChaCha8([32]byte{}).Read(value)
	o, err := encode(value, nil)
	require.NoError(t, err)
	const sent = 2 * maxChunkBytes
	cut := serveValues(t, feedWith(7, value), func(s *peer.Stream, _ *wire.ValueRequest) error {
		err := sendHead(s, &wire.ValueHead{Offset: 7, Size: int64(len(value)), Form: o.sum, FormSize: int64(len(o.bytes))})
		if err != nil {
			return err
		}
		return sendEncoded(s, o.bytes[:sent])
	})
	f := New("f", newTopic(), WithLogger(log.New(io.Discard)))
	r, _ := relayOf(t, f)
	r.poll(context.Background(), cut)
	r.exchanges.Wait()
	require.Equal(t, int64(7), f.Next(), "all before it is known")
	var from atomic.Int64
	whole := feedWith(7, value)
	server := NewServer(0, whole)
	requireFetched(t, r, f, serveValues(t, whole, func(s *peer.Stream, q *wire.ValueRequest) error {
		from.Store(q.From)
		return server.sendValue(s, q)
	}), value)
	require.Equal(t, int64(sent), from.Load(), "it goes on from where the first was cut")
}

func TestBusyPeerNamesOthers(t *testing.T) {
	value := large(2, 400_000)
	f := feedWith(7, value)
	s := NewServer(0, f)
	for s.acquireSlot() {
	}
	require.Equal(t, minSlots, s.busy)
	for _, h := range []holder{
		{address: "far:1", hall: "b", feed: "f", key: "k", at: hollowgrade.Position{Offset: 7}},
		{address: "old:1", hall: "a", feed: "f", key: "k", at: hollowgrade.Position{Offset: 6}},
		{address: "near:1", hall: "a", feed: "f", key: "k", at: hollowgrade.Position{Offset: 7}},
		{address: "self:1", hall: "a", feed: "f", key: "k", at: hollowgrade.Position{Offset: 7}},
	} {
		s.addHolder(h)
	}
	a := listen(t, func(_ context.Context, t *peer.Stream, first *wire.Frame) error { return s.Serve(t, first) })
	c, err := peer.Dial(context.Background(), peer.TCP(), a)
	require.NoError(t, err)
	defer c.Close()
	q, err := c.Open(&wire.Frame{Body: &wire.Frame_ValueRequest{ValueRequest: &wire.ValueRequest{Feed: "f", Key: "k", Address: "self:1", Hall: "a"}}})
	require.NoError(t, err)
	m, err := q.Receive()
	require.NoError(t, err)
	require.True(t, m.GetValueHead().GetBusy())
	require.Equal(t, []string{"near:1", "far:1"}, m.GetValueHead().GetHolders())
	t.Run("who asks goes there, or comes back", func(t *testing.T) {
		other := serveFeeds(t, feedWith(7, value))
		s.addHolder(holder{address: other, feed: "f", key: "k", at: hollowgrade.Position{Offset: 7}})
		n := New("f", newTopic(), WithLogger(log.New(io.Discard)))
		r, l := relayOf(t, n)
		requireFetched(t, r, n, a, value)
		require.Contains(t, l.String(), other)
	})
}

func TestExcerptsAreBounded(t *testing.T) {
	f := New("f", newTopic(), WithLogger(log.New(io.Discard)))
	var rs []hollowgrade.KeyedRecord
	const records = 3000
	for i := range records {
		rs = append(rs, hollowgrade.KeyedRecord{Key: fmt.Sprint("upstream-", i), Value: large(i, 300), Position: hollowgrade.Position{Offset: int64(i)}})
	}
	f.Merge(page(records, rs...), time.Now())
	t.Run("each answer has a bound in size", func(t *testing.T) {
		for from, n := int64(0), 0; from < records; n++ {
			p, ok := f.excerptFor(askedPosition{next: from})
			require.True(t, ok)
			bytes := 0
			for _, r := range p.Records {
				bytes += len(r.Key) + len(r.Value)
			}
			require.LessOrEqual(t, bytes, maxPageBytes)
			require.Greater(t, p.Next, from)
			require.Equal(t, int64(records), p.End)
			from = p.Next
		}
	})
	t.Run("a process that knows nothing has them all with one ask", func(t *testing.T) {
		n := New("f", newTopic(), WithLogger(log.New(io.Discard)))
		r, _ := relayOf(t, n)
		r.poll(context.Background(), serveFeeds(t, f))
		require.Equal(t, int64(records), n.Next())
		require.Len(t, n.newest, records)
		_, ok := n.Age()
		require.True(t, ok)
	})
	t.Run("one that does not reach the end makes nobody fresh", func(t *testing.T) {
		p, _ := f.excerptFor(askedPosition{})
		m := reply("f", p, false, false).GetFeedReply()
		require.Equal(t, unknownAge.Microseconds(), m.AgeMicros, "for processes that do not know of an end")
		require.Less(t, m.Next, m.End)
	})
}

// Callers must be able to read the view's age while a watcher processes a large value.
// Guards against a small record that waits until a large one before it has been transferred.
func TestSmallRecordsOvertakeALargeOne(t *testing.T) {
	f := feedWith(1, large(1, 3*largeValueBytes))
	f.Merge(page(3, hollowgrade.KeyedRecord{Key: "small", Value: []byte("v"), Position: hollowgrade.Position{Offset: 2}}), time.Now())
	p, ok := f.excerptFor(askedPosition{})
	require.True(t, ok)
	require.NotNil(t, p.large)
	require.EqualValues(t, 1, p.Next, "the large record is missing")
	require.Len(t, p.Records, 1)
	o := New("f", newTopic(), WithLogger(log.New(io.Discard)))
	o.Merge(p.KeyedPage, time.Time{})
	r, ok := o.value("small")
	require.True(t, ok)
	require.Equal(t, "v", string(r.Value))
	require.EqualValues(t, 1, o.Next())
	require.False(t, o.complete())
}

func TestAgeIsToldWhileAWatcherWorks(t *testing.T) {
	f := feedWith(3, large(1, 20_000))
	working, done := make(chan struct{}), make(chan struct{})
	before := f.Fresh()
	f.watchers = append(f.watchers, func([]Change) { close(working); <-done })
	go f.Merge(page(9, hollowgrade.KeyedRecord{Key: "k", Value: large(2, 20_000), Position: hollowgrade.Position{Offset: 8}}), time.Now().Add(time.Hour))
	<-working
	require.Equal(t, before, f.Fresh(), "not fresher before it is in force")
	require.Equal(t, int64(9), f.Next(), "peers can have it already")
	close(done)
	require.Eventually(t, func() bool { return f.Fresh().After(before) }, 10*time.Second, time.Millisecond)
}

func TestReadersOfHalls(t *testing.T) {
	places := map[string]Place{}
	var all []string
	for i := range 28 {
		a := fmt.Sprintf("10.0.0.%d:1", i)
		all = append(all, a)
		places[a] = Place{Hall: fmt.Sprint("hall-", i%4), Link: 20}
		if i >= 20 {
			places[a] = Place{Hall: fmt.Sprint("hall-", i%4), Link: 200}
		}
	}
	r := NewRelay(all[0], func() []string { return append([]string(nil), all...) }, WithPlaces(func(a string) Place { return places[a] }))
	rs := r.readers()
	require.Len(t, rs, 6)
	halls := map[string]int{}
	for _, a := range rs {
		require.InDelta(t, 200, places[a].Link, 0, "wide links read for the others")
		halls[places[a].Hall]++
	}
	require.Len(t, halls, 4, "each hall has a reader")
	t.Run("whether this process reads is logged once", func(t *testing.T) {
		peers := func() []string { return processes(420) }
		l := &logBuffer{}
		r := NewRelay(NewRelay(processes(420)[0], peers).readers()[0], peers, WithRelayLogger(log.New(l)))
		for range 10 {
			require.True(t, r.Reads())
			require.True(t, r.ReadsLarge())
		}
		require.Equal(t, 2, strings.Count(l.String(), "reading of the store changed"), "for each kind of topics")
	})
}

// processes returns the addresses of n processes.
func processes(n int) (as []string) {
	for i := range n {
		as = append(as, fmt.Sprintf("10.1.%d.%d:1", i/250, i%250))
	}
	return as
}

// Guards against calls to the store that grow with the fleet, as with one reader in twenty, and
// against polls of one process that do, as with few readers alone.
func TestSourcesOfLargeFleets(t *testing.T) {
	for n, sources := range map[int]int{28: 6, 103: 7, 140: 7, 420: 21, 1600: 80} {
		peers := func() []string { return processes(n) }
		r := NewRelay(processes(n)[0], peers)
		rs, ss := r.readers(), r.sources()
		require.LessOrEqual(t, len(rs), maxReaders)
		require.Len(t, ss, sources)
		require.Equal(t, rs, ss[:len(rs)], "the readers are sources")
		require.LessOrEqual(t, n-sources, maxClientsPerSource*sources)
	}
	const n = 420
	peers := func() []string { return processes(n) }
	at := func(rank int) *Relay {
		order, _ := NewRelay(processes(n)[0], peers).rankedProcesses()
		r := NewRelay(order[rank], peers, WithRelayLogger(log.New(io.Discard)), WithRelayClock(clockwork.NewFakeClock()))
		return r
	}
	readers, sources := at(0).readers(), at(0).sources()
	forwarder, client := at(maxReaders), at(sourceCount(n))
	t.Run("a source polls readers, a client sources", func(t *testing.T) {
		require.Subset(t, readers, forwarder.pollTargets())
		require.Subset(t, sources, client.pollTargets())
	})
	t.Run("a source forwards while a served process replies", func(t *testing.T) {
		clock := clockwork.NewFakeClock()
		forwarder.clock = clock
		forwarder.noteReply(readers[0], servedPeer, time.Now())
		require.True(t, forwarder.forwards())
		clock.Advance(forwarder.timing.maxReplyGap() + time.Millisecond)
		require.False(t, forwarder.forwards())
	})
	t.Run("a source does not rely on one that forwards, a client does", func(t *testing.T) {
		forwarder.noteReply(sources[maxReaders+1], forwardingPeer, time.Now())
		require.False(t, forwarder.forwards())
		client.noteReply(sources[maxReaders+1], forwardingPeer, time.Now())
		require.False(t, client.lacksServedReply())
		require.False(t, client.forwards(), "it is no source")
	})
	t.Run("what forwards does not count as served", func(t *testing.T) {
		client.noteReply(readers[1], forwardingPeer, time.Now())
		require.Zero(t, client.countServed(readers))
	})
}

func BenchmarkForm(b *testing.B) {
	value := large(2, 4_000_000)
	changed := bytes.Replace(value, []byte("version 2"), []byte("version 3"), 1)
	for name, base := range map[string][]byte{"whole": nil, "difference": value} {
		b.Run(name, func(b *testing.B) {
			var o encodedValue
			for b.Loop() {
				var err error
				if o, err = encode(changed, base); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(o.bytes)), "B/value")
		})
	}
}

func FuzzDecode(f *testing.F) {
	o, err := encode([]byte("abc"), []byte("ab"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(o.bytes, []byte("ab"), 3)
	f.Fuzz(func(t *testing.T, b, base []byte, size int) {
		if size < 0 || size > 1<<16 {
			return
		}
		v, err := decode(b, base, size, 0)
		if err == nil && len(v) != size {
			t.Fatalf("%d bytes where %d were announced", len(v), size)
		}
	})
}

// listen serves a handler on loopback until the test ends.
func listen(t *testing.T, h peer.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := peer.NewServer(h, func(net.Addr, error) {})
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
