// Package loadview tells other gateways what this one has given to upstreams,
// and takes their word on the same. Each upstream is used by many gateways at
// once; what it says of itself lags, and does not tell what it has yet to read.
//
// A change goes to each peer at once in a packet, which may get lost. What changed
// since the last heartbeat goes with the next one, on a stream, and all there is
// with some of them. So a view is wrong for a heartbeat at the most.
package loadview

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/core"
	"github.com/hollowgrade/hollowgrade/internal/errs"
	"github.com/hollowgrade/hollowgrade/internal/wire"
	"github.com/hollowgrade/hollowgrade/peer"
	"github.com/hollowgrade/hollowgrade/placement"
	"github.com/hollowgrade/hollowgrade/quarantine"
)

const (
	// pause is the least time between two messages to a peer. It bounds what a
	// busy gateway sends; a view is that much out of date.
	pause = 25 * time.Millisecond
	// wholeEvery is how often a gateway says all anew, so that a mistake does not last.
	// All is what it has given to each upstream since it started: on the large fleet 4.5 KB
	// to each of 102 peers: with heartbeats of 0.5 s, each tenth of which said all, 68 KB a second,
	// 14 KB now (TestHeartbeatsOfManyGatewaysAreSmall).
	wholeEvery = 30 * time.Second
	// dialTimeout and dialEvery bound the tries to reach a peer.
	dialTimeout = 500 * time.Millisecond
	dialEvery   = time.Second
	// startSyncs is how often it is looked for peers after a start, a pause apart:
	// others that start at the same moment are listed within a second. With each
	// heartbeat only, gateways that start together placed prompts for half a second
	// without hearing of each other.
	startSyncs = 40
	// packetShares is how many upstreams one packet tells of: a share takes some
	// 65 bytes where ids are of a usual length and calls bear three pauses, a packet
	// 1,400.
	packetShares = 14
)

// Sharer tells peers of a fleet's own shares.
type Sharer struct {
	box   string
	fleet *core.Fleet
	peers func() []string
	dial  peer.Dialer
	clock hollowgrade.Clock
	log   *log.Logger

	words    *quarantine.Table // nil if nothing is told of requests that were lost
	packets  *peer.Packets     // nil if all goes on streams
	sequence atomic.Uint64     // of the last message

	mu    sync.Mutex
	links map[string]*link
}

// link is the way to one peer.
type link struct {
	pending map[hollowgrade.Life]core.Share
	whole   bool // whether pending is all there is to say
	first   bool // whether nothing has been said on the stream yet
	packets netip.AddrPort
	word    quarantine.Word
	begun   bool // whether the peer has been told what is held, and hears what is new from then on
	up      bool // whether the peer has a stream, and so takes packets
	wake    chan struct{}
	cancel  context.CancelFunc
	redial  context.CancelFunc // ends the pause before the next try to connect
}

// Option changes a sharer as it is made.
type Option func(*Sharer)

// WithClock sets the clock.
func WithClock(c hollowgrade.Clock) Option {
	return func(s *Sharer) { s.clock = c }
}

// WithLogger sets the logger.
func WithLogger(l *log.Logger) Option {
	return func(s *Sharer) { s.log = l }
}

// WithDialer sets how peers are reached.
func WithDialer(d peer.Dialer) Option {
	return func(s *Sharer) { s.dial = d }
}

// WithPackets lets changes go in packets, at once; without it they go on streams.
func WithPackets(p *peer.Packets) Option {
	return func(s *Sharer) { s.packets = p }
}

// WithQuarantine lets peers be told of requests that were lost.
func WithQuarantine(t *quarantine.Table) Option {
	return func(s *Sharer) { s.words = t }
}

// New returns a sharer. Box names one life of the gateway. Peers returns the addresses of the
// other gateways; it is asked anew each second.
func New(box string, f *core.Fleet, peers func() []string, os ...Option) *Sharer {
	s := &Sharer{
		box:   box,
		fleet: f,
		peers: peers,
		dial:  peer.TCP(),
		clock: hollowgrade.SystemClock(),
		log:   log.Default(),
		links: map[string]*link{},
	}
	for _, o := range os {
		o(s)
	}
	return s
}

// Run tells peers until ctx ends.
func (s *Sharer) Run(ctx context.Context) {
	var g sync.WaitGroup
	defer g.Wait()
	t := s.clock.NewTimer(core.Heartbeat(0))
	defer t.Stop()
	s.sync(ctx, &g)
	g.Go(func() { s.meet(ctx, &g) })
	for said := s.clock.Now(); ctx.Err() == nil; {
		select {
		case <-ctx.Done():
		case <-t.Chan():
			s.sync(ctx, &g)
			said = s.heartbeat(said)
			t.Reset(core.Heartbeat(s.size()))
		case <-s.fleet.Changed():
			s.change(s.fleet.Changes(false))
			hollowgrade.Sleep(ctx, s.clock, pause)
		case <-s.suspicions():
			s.tellWord(s.words.Tell())
		}
	}
}

// suspicions returns a channel that gets a value when there is a word on requests that were lost.
func (s *Sharer) suspicions() <-chan struct{} {
	if s.words == nil {
		return nil
	}
	return s.words.Changed()
}

// heartbeat lets each link say what has changed, or all there is if that was said last too
// long ago. It returns when all was said last.
func (s *Sharer) heartbeat(said time.Time) time.Time {
	whole := s.clock.Since(said) >= wholeEvery
	s.spread(s.fleet.Changes(whole), whole)
	if whole {
		return s.clock.Now()
	}
	return said
}

// size returns how many peers there are.
func (s *Sharer) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.links)
}

// meet looks for peers often for a while after the start.
func (s *Sharer) meet(ctx context.Context, g *sync.WaitGroup) {
	for range startSyncs {
		if !hollowgrade.Sleep(ctx, s.clock, pause) {
			return
		}
		s.sync(ctx, g)
	}
}

// sync keeps a link for each peer there is.
func (s *Sharer) sync(ctx context.Context, g *sync.WaitGroup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	there := map[string]bool{}
	for _, a := range s.peers() {
		there[a] = true
		if s.links[a] != nil {
			continue
		}
		c, cancel := context.WithCancel(ctx)
		l := &link{packets: s.packetAddress(a), wake: make(chan struct{}, 1), cancel: cancel, pending: map[hollowgrade.Life]core.Share{}}
		s.links[a] = l
		g.Go(func() { s.keep(c, a, l) })
	}
	for a, l := range s.links {
		if !there[a] {
			l.cancel()
			delete(s.links, a)
		}
	}
}

// packetAddress returns where a peer takes packets: at the same address as
// connections.
func (s *Sharer) packetAddress(a string) netip.AddrPort {
	p, err := netip.ParseAddrPort(a)
	if err != nil && s.packets != nil {
		s.log.Warn("peer gets no packets, only streams", "peer", a, "err", err)
	}
	return p
}

// change tells of changes at once: in packets to those that take them, and with
// the next heartbeat in any case.
func (s *Sharer) change(cs map[hollowgrade.Life]core.Share) {
	if s.packets == nil {
		s.spread(cs, false)
		return
	}
	to := s.note(cs, false)
	if len(to) == 0 || len(cs) == 0 {
		return
	}
	for _, f := range s.frames(cs) {
		if err := s.packets.Send(f, to); err != nil {
			s.log.Debug("packet not sent, the next heartbeat tells the same", "err", err)
		}
	}
}

// frames returns shares as frames that fit into packets.
func (s *Sharer) frames(cs map[hollowgrade.Life]core.Share) (fs []*wire.Frame) {
	part := make(map[hollowgrade.Life]core.Share, packetShares)
	for id, c := range cs {
		part[id] = c
		if len(part) == packetShares {
			fs = append(fs, s.frame(part, false))
			clear(part)
		}
	}
	if len(part) > 0 {
		fs = append(fs, s.frame(part, false))
	}
	return fs
}

// spread lets each link say what there is to say.
func (s *Sharer) spread(cs map[hollowgrade.Life]core.Share, whole bool) {
	s.note(cs, whole)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
}

// note keeps for each link what it has to say the next time, and returns where
// packets can tell it earlier.
func (s *Sharer) note(cs map[hollowgrade.Life]core.Share, whole bool) (to []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		if whole {
			clear(l.pending)
			l.whole = true
		}
		maps.Copy(l.pending, cs)
		if l.up && l.packets.IsValid() {
			to = append(to, l.packets)
		}
	}
	return to
}

// begin lets a link that has just been connected say all there is.
func (s *Sharer) begin(l *link) {
	cs := s.fleet.Shares()
	s.mu.Lock()
	defer s.mu.Unlock()
	l.pending, l.whole, l.first = cs, true, true
	l.word, l.begun = quarantine.Word{}, true
	if s.words != nil {
		l.word = s.words.Known()
	}
}

// end notes that a link is down.
func (s *Sharer) end(l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.word, l.begun = quarantine.Word{}, false
}

func (s *Sharer) setUp(l *link, up bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.up = up
}

// take returns what a link has to say, as a frame.
func (s *Sharer) take(l *link) *wire.Frame {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.view(l.pending, l.whole)
	if l.first {
		addReadings(m, s.fleet.PrefillBacklogs())
	}
	m.Suspicions = encodeWord(l.word, s.clock.Now())
	l.word = quarantine.Word{}
	clear(l.pending)
	l.whole, l.first = false, false
	return &wire.Frame{Body: &wire.Frame_LoadView{LoadView: m}}
}

// frame returns a message.
func (s *Sharer) frame(cs map[hollowgrade.Life]core.Share, whole bool) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_LoadView{LoadView: s.view(cs, whole)}}
}

// addReadings adds what upstreams have still to read to a view.
func addReadings(m *wire.LoadView, rs map[hollowgrade.Life]time.Duration) {
	for _, c := range m.Shares {
		c.ReadingMicros = rs[hollowgrade.Life(c.Upstream)].Microseconds()
		delete(rs, hollowgrade.Life(c.Upstream))
	}
	for id, d := range rs {
		m.Shares = append(m.Shares, &wire.LoadShare{Upstream: string(id), ReadingMicros: d.Microseconds()})
	}
}

// view returns the body of a message.
func (s *Sharer) view(cs map[hollowgrade.Life]core.Share, whole bool) *wire.LoadView {
	m := &wire.LoadView{Box: s.box, Whole: whole, Sequence: s.sequence.Add(1)}
	seen := s.fleet.UpstreamStates(cs)
	for id, c := range cs {
		m.Shares = append(m.Shares, &wire.LoadShare{
			Upstream:    string(id),
			Open:        int32(c.Open),
			Stakes:      encodeStakes(c.Stakes),
			GivenMicros: c.Prefill.Microseconds(),
			Tokens:      int64(c.Tokens),
			AvoidMillis: seen[id].Avoid.Milliseconds(),

			PaceMilli:     int64(seen[id].Pace.Pace * paceUnit),
			PaceAgeMillis: seen[id].Pace.Age.Milliseconds(),

			Limit:  encodeLimit(seen[id]),
			Sent:   int64(c.Sent),
			Wanted: int64(c.Wanted),

			Leaving: seen[id].Leaving,
		})
	}
	return m
}

// keep holds a connection to a peer and opens it again when it breaks.
func (s *Sharer) keep(ctx context.Context, address string, l *link) {
	for ctx.Err() == nil {
		if err := s.tell(ctx, address, l); err != nil && ctx.Err() == nil {
			s.log.Debug("peer does not hear of our load", "peer", address, "err", err)
		}
		s.rest(ctx, l)
	}
}

// rest waits before the next try to connect, until [Sharer.Redial] at the most.
func (s *Sharer) rest(ctx context.Context, l *link) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	l.redial = cancel
	s.mu.Unlock()
	hollowgrade.Sleep(ctx, s.clock, dialEvery)
}

// Redial lets links that are down connect at once. A peer that has just begun to
// tell its load has just started, or is reached again, and knows nothing of ours.
func (s *Sharer) Redial() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		if !l.up && l.redial != nil {
			l.redial()
		}
	}
}

func (s *Sharer) tell(ctx context.Context, address string, l *link) (err error) {
	defer errs.Annotate(&err, "tell peer %s of the load", address)
	d, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := peer.Dial(d, s.dial, address)
	if err != nil {
		return err
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	s.begin(l)
	defer s.end(l)
	t, err := c.Open(s.take(l))
	if err != nil {
		return err
	}
	s.setUp(l, true)
	defer s.setUp(l, false)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.Closed():
			return fmt.Errorf("connection closed")
		case <-l.wake:
		}
		if err = t.Send(s.take(l)); err != nil {
			return err
		}
	}
}

func shares(m *wire.LoadView) map[hollowgrade.Life]core.Share {
	ss := make(map[hollowgrade.Life]core.Share, len(m.Shares))
	for _, c := range m.Shares {
		ss[hollowgrade.Life(c.Upstream)] = core.Share{
			Open:    int(c.Open),
			Stakes:  decodeStakes(c.Stakes),
			Prefill: time.Duration(c.GivenMicros) * time.Microsecond,
			Tokens:  int(c.Tokens),
			Sent:    int(c.Sent),
			Wanted:  int(c.Wanted),
		}
	}
	return ss
}

// encodeLimit returns what is told of the limit of an upstream, nil if there is nothing.
func encodeLimit(s core.UpstreamState) *wire.RateLimit {
	if !s.HasLimit {
		return nil
	}
	return &wire.RateLimit{Named: s.Limit.Named, PerSecond: s.Limit.PerSecond, AgeMillis: s.Limit.Age.Milliseconds(), Relayed: s.Limit.Relayed}
}

// paceUnit is how the speed of an engine goes into a message: in thousandths.
const paceUnit = 1000

// encodeStakes leaves out the classes in which nothing is at stake.
func encodeStakes(s placement.Stakes) (ws []*wire.Stake) {
	for i, n := range s {
		if n != 0 {
			ws = append(ws, &wire.Stake{PauseClass: int32(i), Worth: int32(n)})
		}
	}
	return ws
}

// decodeStakes passes over classes that are not known here.
func decodeStakes(ws []*wire.Stake) (s placement.Stakes) {
	for _, w := range ws {
		if w.PauseClass >= 0 && int(w.PauseClass) < len(s) {
			s[w.PauseClass] = int(w.Worth)
		}
	}
	return s
}

// readings returns what upstreams have still to read by the word of a peer.
func readings(m *wire.LoadView) map[hollowgrade.Life]time.Duration {
	rs := map[hollowgrade.Life]time.Duration{}
	for _, c := range m.Shares {
		if c.ReadingMicros > 0 {
			rs[hollowgrade.Life(c.Upstream)] = time.Duration(c.ReadingMicros) * time.Microsecond
		}
	}
	return rs
}
