package spread

import (
	"context"
	"encoding/binary"
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
	segmentBytes = 16 << 10              // that a link carries at a time
	windowBytes  = 256 << 10             // that may be under way on one
	dialTime     = 2 * time.Millisecond  // that a connection takes to come up
	storeRate    = 80 << 20              // bytes a second that the store's reads share
	storeBox     = "store"               // its name in the network
	narrow       = 20e6 / 8              // bytes a second of a link of 20 Mbit/s
	wide         = 200e6 / 8             // and of one of 200
	answer       = 4 * time.Millisecond  // that the store takes to answer
	inForce      = 2 * time.Second       // within which a change has to be known everywhere
	aMoment      = 10 * time.Millisecond // how often it is looked
)

// network is a network of boxes in virtual time. Each box has a link with a
// rate, which all that it sends share, and all that it receives.
type network struct {
	mu        sync.Mutex
	links     map[string]*boxLink
	listeners map[string]*listener
	conns     []*conn
	closed    bool
}

// boxLink is the link of one box.
type boxLink struct {
	hall     string
	rate     float64   // bytes a second
	out, in  time.Time // when what it sends and receives now will be through
	received int64
	crossed  int64 // bytes that came from another hall
}

func newNetwork() *network {
	return &network{
		links:     map[string]*boxLink{storeBox: {rate: storeRate}},
		listeners: map[string]*listener{},
	}
}

func (n *network) add(box, hall string, rate float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[box] = &boxLink{hall: hall, rate: rate}
}

// place returns where a box is.
func (n *network) place(box string) feed.Place {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.links[box]
	return feed.Place{Hall: l.hall, Link: l.rate * 8 / 1e6}
}

// send puts bytes on the way from one box to another and returns when they will
// be there.
func (n *network) send(from, to string, bytes int) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	f, t := n.links[from], n.links[to]
	f.out = later(f.out, now).Add(seconds(float64(bytes) / f.rate))
	t.in = later(t.in, f.out).Add(seconds(float64(bytes) / t.rate))
	t.received += int64(bytes)
	if from != storeBox && f.hall != t.hall {
		t.crossed += int64(bytes)
	}
	return t.in
}

// counts returns the bytes that the box with the slowest link received at the
// most, and all that went from hall to hall.
func (n *network) counts() (narrowest, crossed int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for b, l := range n.links {
		if b == storeBox {
			continue
		}
		if l.rate == narrow {
			narrowest = max(narrowest, l.received)
		}
		crossed += l.crossed
	}
	return narrowest, crossed
}

func (n *network) resetCounts() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		l.received, l.crossed = 0, 0
	}
}

func (n *network) close() {
	n.mu.Lock()
	n.closed = true
	cs := append([]*conn(nil), n.conns...)
	n.mu.Unlock()
	for _, c := range cs {
		_ = c.Close()
	}
}

// cut ends all connections of a box, and lets it have no new ones.
func (n *network) cut(box string) {
	n.mu.Lock()
	delete(n.listeners, box)
	var cs []*conn
	for _, c := range n.conns {
		if c.out.from == box || c.out.to == box {
			cs = append(cs, c)
		}
	}
	n.mu.Unlock()
	for _, c := range cs {
		_ = c.Close()
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// half is one direction of a connection.
type half struct {
	net      *network
	from, to string
	mu       sync.Mutex
	changed  *sync.Cond
	next     []byte   // the head of a frame whose body is still to come
	sent     [][]byte // frames that are not on the way yet
	unread   []byte
	under    int // bytes under way or unread
	closed   bool
}

func newHalf(n *network, from, to string) *half {
	h := &half{net: n, from: from, to: to}
	h.changed = sync.NewCond(&h.mu)
	go h.carry()
	return h
}

// carry brings what is sent over the links, a piece at a time, until the
// connection is closed.
func (h *half) carry() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for !h.closed {
		if len(h.sent) == 0 {
			h.changed.Wait()
			continue
		}
		s := h.sent[0]
		h.sent = h.sent[1:]
		for left := len(s); left > 0 && !h.closed; left -= segmentBytes {
			at := h.net.send(h.from, h.to, min(left, segmentBytes))
			h.mu.Unlock()
			time.Sleep(time.Until(at))
			h.mu.Lock()
		}
		h.unread = append(h.unread, s...)
		h.changed.Broadcast()
	}
}

// write sends what it is given in one go. The head of a frame waits for its body:
// yamux reads a body under a lock, and virtual time stands still while a goroutine
// waits for a lock.
func (h *half) write(b []byte) (n int, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.next = append(h.next, b...)
	if opensBody(b) {
		return len(b), nil
	}
	for !h.closed && h.under >= windowBytes {
		h.changed.Wait()
	}
	if h.closed {
		return 0, io.ErrClosedPipe
	}
	h.sent = append(h.sent, h.next)
	h.under += len(h.next)
	h.next = nil
	h.changed.Broadcast()
	return len(b), nil
}

// opensBody reports whether b is the head of a frame of yamux with data.
func opensBody(b []byte) bool {
	const headBytes, typeAt, lengthAt, data = 12, 1, 8, 0
	return len(b) == headBytes && b[typeAt] == data && binary.BigEndian.Uint32(b[lengthAt:]) > 0
}

func (h *half) read(b []byte) (n int, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for !h.closed && len(h.unread) == 0 {
		h.changed.Wait()
	}
	if len(h.unread) == 0 {
		return 0, io.EOF
	}
	n = copy(b, h.unread)
	h.unread = h.unread[n:]
	h.under -= n
	h.changed.Broadcast()
	return n, nil
}

func (h *half) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	h.changed.Broadcast()
}

// conn is one end of a connection.
type conn struct {
	out, in *half
}

func (c *conn) Read(b []byte) (int, error)       { return c.in.read(b) }
func (c *conn) Write(b []byte) (int, error)      { return c.out.write(b) }
func (c *conn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *conn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *conn) SetDeadline(time.Time) error      { return nil }
func (c *conn) SetReadDeadline(time.Time) error  { return nil }
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

func (c *conn) Close() error {
	c.out.close()
	c.in.close()
	return nil
}

// listener takes connections to one box.
type listener struct {
	taken  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.taken:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

func (n *network) listen(box string) *listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{taken: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[box] = l
	return l
}

// dialer returns how a box reaches the others.
func (n *network) dialer(from string) peer.Dialer {
	return func(ctx context.Context, to string) (net.Conn, error) {
		n.mu.Lock()
		l, closed := n.listeners[to], n.closed
		n.mu.Unlock()
		if l == nil || closed {
			return nil, fmt.Errorf("nobody listens on %s", to)
		}
		out, in := newHalf(n, from, to), newHalf(n, to, from)
		c := &conn{out: out, in: in}
		n.mu.Lock()
		n.conns = append(n.conns, c)
		n.mu.Unlock()
		time.Sleep(dialTime)
		select {
		case l.taken <- &conn{out: in, in: out}:
			return c, nil
		case <-ctx.Done():
			return nil, errors.Join(ctx.Err(), c.Close())
		case <-l.closed:
			return nil, errors.Join(net.ErrClosed, c.Close())
		}
	}
}

var errDown = errors.New("down")

// memTopic implements [hollowgrade.Topic] in memory.
type memTopic struct {
	mu      sync.Mutex
	records []hollowgrade.KeyedRecord
	down    bool
	changed chan struct{}
}

func newTopic() *memTopic {
	return &memTopic{changed: make(chan struct{})}
}

func (t *memTopic) Put(_ context.Context, key string, value []byte) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records = append(t.records, hollowgrade.KeyedRecord{Key: key, Value: value, Offset: int64(len(t.records))})
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
	p.End = p.Next
	return p, nil
}

func (t *memTopic) Wait(ctx context.Context, from int64, d, _ time.Duration) (p hollowgrade.KeyedPage, err error) {
	until := time.After(d)
	for {
		t.mu.Lock()
		down, end, changed := t.down, int64(len(t.records)), t.changed
		if from < end {
			p.Records = slices.Clone(t.records[from:])
		}
		t.mu.Unlock()
		p.Next, p.End = max(end, from), end
		switch {
		case down:
			return p, errDown
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

// farTopic is the store's topic as a box sees it: what it reads goes over the
// store's link and its own.
type farTopic struct {
	*memTopic
	net    *network
	box    string
	answer time.Duration // that the store takes to answer
	silent func(box string) bool
}

func (t *farTopic) Newest(ctx context.Context, patience time.Duration) (p hollowgrade.KeyedPage, err error) {
	if p, err = t.memTopic.Newest(ctx, patience); err == nil {
		err = t.carry(ctx, p, patience)
	}
	return p, err
}

func (t *farTopic) Wait(ctx context.Context, from int64, d, patience time.Duration) (p hollowgrade.KeyedPage, err error) {
	if p, err = t.memTopic.Wait(ctx, from, d, patience); err == nil {
		err = t.carry(ctx, p, patience)
	}
	return p, err
}

// carry takes the time that an answer needs.
func (t *farTopic) carry(ctx context.Context, p hollowgrade.KeyedPage, patience time.Duration) error {
	left := 0
	for _, r := range p.Records {
		left += len(r.Key) + len(r.Value)
	}
	wait := min(t.answer, patience)
	if t.silent(t.box) {
		wait = patience
	}
	for {
		if !hollowgrade.Sleep(ctx, hollowgrade.SystemClock(), wait) {
			return ctx.Err()
		}
		if t.answer > patience || t.silent(t.box) {
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

// gateway is what one gateway has of feeds.
type gateway struct {
	box           string
	config, fleet *feed.Feed
	relay         *feed.Relay
}

// fleetOf is gateways before one store in one network.
type fleetOf struct {
	net           *network
	silent        func(box string) bool // whether the store says nothing to a box
	config, fleet *memTopic
	gateways      []*gateway
}

// place is where a gateway is.
type place struct {
	hall string
	rate float64
}

// grown returns places as a fleet of n gateways has them: four halls, of every
// seven gateways two with a wide link.
func grown(n int) (ps []place) {
	for i := range n {
		p := place{hall: fmt.Sprint("hall-", i%4), rate: narrow}
		if i/4%7 < 2 {
			p.rate = wide
		}
		ps = append(ps, p)
	}
	return ps
}

// address returns the address of a gateway.
func address(i int) string {
	return fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)
}

// inNetwork runs gateways at the places in virtual time until test returns.
func inNetwork(t *testing.T, ps []place, answer time.Duration, test func(t *testing.T, f *fleetOf), prepare ...func(f *fleetOf)) {
	t.Helper()
	// Two collections empty the pool that yamux keeps timers of an earlier bubble in.
	runtime.GC()
	runtime.GC()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := &fleetOf{net: newNetwork(), silent: func(string) bool { return false }, config: newTopic(), fleet: newTopic()}
		addresses := make([]string, len(ps))
		for i := range ps {
			addresses[i] = address(i)
		}
		var g sync.WaitGroup
		defer func() {
			cancel()
			time.Sleep(time.Second) // asks under way end
			f.net.close()
			g.Wait()
		}()
		for i, p := range ps {
			f.net.add(addresses[i], p.hall, p.rate)
		}
		for _, p := range prepare {
			p(f)
		}
		for i := range ps {
			f.gateways = append(f.gateways, f.start(ctx, &g, addresses[i], addresses, answer))
		}
		time.Sleep(5 * time.Second)
		test(t, f)
	})
}

func (f *fleetOf) start(ctx context.Context, g *sync.WaitGroup, box string, all []string, answer time.Duration) *gateway {
	quiet := log.New(io.Discard)
	w := &gateway{box: box}
	w.relay = feed.NewRelay(box, func() []string { return append([]string(nil), all...) }, feed.WithRelayLogger(quiet), feed.WithDialer(f.net.dialer(box)), feed.WithPlaces(f.net.place))
	w.config = feed.New("config", &farTopic{f.config, f.net, box, answer, f.silent}, feed.WithLogger(quiet), feed.WithWait(1500*time.Millisecond), feed.WithReader(w.relay.ReadsLarge))
	w.fleet = feed.New("fleet", &farTopic{f.fleet, f.net, box, answer, f.silent}, feed.WithLogger(quiet), feed.WithWait(3*time.Second), feed.WithReader(w.relay.Reads))
	fs := []*feed.Feed{w.config, w.fleet}
	w.relay.Add(fs...)
	v := feed.NewServer(f.net.place(box).Link, fs...)
	s := peer.NewServer(func(_ context.Context, s *peer.Stream, first *wire.Frame) error { return v.Serve(s, first) }, func(net.Addr, error) {})
	l := f.net.listen(box)
	g.Go(func() { _ = s.Serve(ctx, l) })
	g.Go(func() { w.config.Run(ctx) })
	g.Go(func() { w.fleet.Run(ctx) })
	g.Go(func() {
		w.relay.Run(ctx)
		_ = l.Close()
		s.Close()
	})
	return w
}

// known returns how many gateways know the topics up to an offset.
func (f *fleetOf) known(of func(*gateway) *feed.Feed, next int64) (n int) {
	for _, w := range f.gateways {
		if of(w).Next() >= next {
			n++
		}
	}
	return n
}

// until waits until all gateways know a topic up to an offset, and returns how
// long that took, or bound.
func (f *fleetOf) until(of func(*gateway) *feed.Feed, next int64, bound time.Duration) time.Duration {
	began := time.Now()
	for f.known(of, next) < len(f.gateways) && time.Since(began) < bound {
		time.Sleep(aMoment)
	}
	return time.Since(began)
}

func configOf(w *gateway) *feed.Feed { return w.config }

// configuration returns a configuration of about so many bytes, of routes whose
// names are drawn.
func configuration(r *rand.Rand, bytes int) string {
	var b strings.Builder
	b.WriteString(`{"version":1,"routes":[`)
	for i := 0; b.Len() < bytes; i++ {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"r-%s","host":"%s.example","pathPrefix":"/%s/","kind":"safe","timeoutMs":1000,"goalLatencyMs":1000,"priority":2,"service":"%s","maxAttempts":2,"public":true}`,
			word(r), word(r)[:2], word(r), word(r)[:1])
	}
	b.WriteString(`]}`)
	return b.String()
}

func word(r *rand.Rand) string {
	b := make([]byte, 8)
	for i := range b {
		b[i] = "abcdefghijklmnopqrstuvwxyz0123456789"[r.IntN(36)]
	}
	return string(b)
}

func seeded() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// The configuration had grown to 0.8 MB. Calls on a route that a change had moved
// were still handled the old way eight seconds after the change was confirmed, at
// gateways with a link of 20 Mbit/s; they never had the change until the day ended.
//
// A gateway asks three peers each 400 ms and gives an answer 700 ms, however large
// it is. An answer held whole records. On such a link one copy takes 0.32 s, three
// at a time 0.96 s: each answer was cut, thrown away, and asked for again from the
// beginning, which kept the link full. The gateway's own read of the store, which
// had a bound in time as well, was cut on the same link.
//
// Evidence: each of these gateways received 2.3 MB a second for 38 s, its whole link,
// and 81 to 91 MB in all; 40 to 56 answers a second were cut in the fleet, two thirds
// of them after exactly the 256 KB of one stream's window; reads of the store were cut
// after 655 to 770 of 794 KB.
func TestLargeConfigurationReachesAllGateways(t *testing.T) {
	inNetwork(t, grown(28), answer, func(t *testing.T, f *fleetOf) {
		f.net.resetCounts()
		c := configuration(seeded(), 800_000)
		require.NoError(t, f.config.Put(context.Background(), "config", []byte(c)))
		took := f.until(configOf, 1, 20*time.Second)
		narrowest, _ := f.net.counts()
		require.Equal(t, len(f.gateways), f.known(configOf, 1), "gateways that know the change after %s", took)
		require.LessOrEqual(t, took, inForce)
		require.Less(t, narrowest, int64(len(c)*3/2), "bytes that a narrow gateway received")
	})
}
