// Package loadview exchanges between gateways what load each has placed on upstreams. Each upstream
// is used by many gateways at once; what it reports itself lags, and leaves out prompts that it has
// yet to prefill.
//
// A change goes to each peer at once in a packet, which may get lost. What changed since the last
// heartbeat goes with the next one on a stream, and the whole view with some of them, so that a view
// is wrong for one heartbeat at most.
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
	// minSendInterval is the least time between two messages to a peer. It bounds the traffic of a
	// busy gateway; a view is out of date by as much.
	minSendInterval = 25 * time.Millisecond
	// wholeViewInterval is the time between two whole views, which correct mistakes. A whole view
	// has what a gateway has sent to each upstream since its start, some KB.
	wholeViewInterval = 30 * time.Second
	// dialTimeout bounds an attempt to connect to a peer, and redialInterval is the pause between
	// two.
	dialTimeout    = 500 * time.Millisecond
	redialInterval = time.Second
	// startupSyncs is the number of times that peers are looked up after the start,
	// [minSendInterval] apart: gateways that start at the same time are listed within a second, and
	// would place prompts without views of each other until the next heartbeat.
	startupSyncs = 40
	// maxSharesPerPacket bounds the upstreams in one packet. A share takes some 65 bytes with ids
	// of the usual length and three pause classes, and a packet holds 1,400 bytes.
	maxSharesPerPacket = 14
)

// Sender sends the load shares of this gateway to its peers.
type Sender struct {
	box   string
	fleet *core.Fleet
	peers func() []string
	dial  peer.Dialer
	clock hollowgrade.Clock
	log   *log.Logger

	quarantine *quarantine.Table // nil if no updates on lost requests are sent
	packets    *peer.Packets     // nil if all goes on streams
	sequence   atomic.Uint64     // of the last message

	mu    sync.Mutex
	links map[string]*link
}

// link is the connection to one peer.
type link struct {
	pending   map[hollowgrade.Instance]core.Share
	whole     bool // whether pending is the whole view
	first     bool // whether nothing has been sent on the stream yet
	packets   netip.AddrPort
	update    quarantine.Update
	started   bool // whether the stream has begun with the blocks in force, so that later updates are queued for it
	connected bool // whether the peer has a stream, without which it ignores packets
	wake      chan struct{}
	cancel    context.CancelFunc
	redial    context.CancelFunc // ends the pause before the next attempt to connect
}

// Option configures a sender.
type Option func(*Sender)

// WithClock sets the clock.
func WithClock(c hollowgrade.Clock) Option {
	return func(s *Sender) { s.clock = c }
}

// WithLogger sets the logger.
func WithLogger(l *log.Logger) Option {
	return func(s *Sender) { s.log = l }
}

// WithDialer sets how peers are reached.
func WithDialer(d peer.Dialer) Option {
	return func(s *Sender) { s.dial = d }
}

// WithPackets sends changes in packets, at once; without it they go on streams.
func WithPackets(p *peer.Packets) Option {
	return func(s *Sender) { s.packets = p }
}

// WithQuarantine sends updates on lost requests to peers.
func WithQuarantine(t *quarantine.Table) Option {
	return func(s *Sender) { s.quarantine = t }
}

// New returns a sender. Box names one instance of the gateway. Peers returns the addresses of the
// other gateways; it is called again with each heartbeat.
func New(box string, f *core.Fleet, peers func() []string, os ...Option) *Sender {
	s := &Sender{
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

// Run sends updates to peers until ctx ends.
func (s *Sender) Run(ctx context.Context) {
	var g sync.WaitGroup
	defer g.Wait()
	t := s.clock.NewTimer(core.Heartbeat(0))
	defer t.Stop()
	s.syncLinks(ctx, &g)
	g.Go(func() { s.findPeers(ctx, &g) })
	for lastWhole := s.clock.Now(); ctx.Err() == nil; {
		select {
		case <-ctx.Done():
		case <-t.Chan():
			s.syncLinks(ctx, &g)
			lastWhole = s.heartbeat(lastWhole)
			t.Reset(core.Heartbeat(s.peerCount()))
		case <-s.fleet.Changed():
			s.sendChanges(s.fleet.Changes(false), s.fleet.TakeWaitsChanged())
			hollowgrade.Sleep(ctx, s.clock, minSendInterval)
		case <-s.updatePending():
			s.sendUpdate(s.quarantine.NextUpdate())
		}
	}
}

// updatePending returns a channel that receives a value when an update on lost requests is pending.
func (s *Sender) updatePending() <-chan struct{} {
	if s.quarantine == nil {
		return nil
	}
	return s.quarantine.Changed()
}

// heartbeat makes each link send what has changed, or the whole view if the last one was too long
// ago. It returns the time of the last whole view.
func (s *Sender) heartbeat(lastWhole time.Time) time.Time {
	whole := s.clock.Since(lastWhole) >= wholeViewInterval
	s.sendOnStreams(s.fleet.Changes(whole), whole)
	if whole {
		return s.clock.Now()
	}
	return lastWhole
}

// peerCount returns the number of peers.
func (s *Sender) peerCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.links)
}

// findPeers looks for peers often for a while after the start.
func (s *Sender) findPeers(ctx context.Context, g *sync.WaitGroup) {
	for range startupSyncs {
		if !hollowgrade.Sleep(ctx, s.clock, minSendInterval) {
			return
		}
		s.syncLinks(ctx, g)
	}
}

// syncLinks opens and closes links so that there is one for each peer.
func (s *Sender) syncLinks(ctx context.Context, g *sync.WaitGroup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := map[string]bool{}
	for _, a := range s.peers() {
		listed[a] = true
		if s.links[a] != nil {
			continue
		}
		c, cancel := context.WithCancel(ctx)
		l := &link{packets: s.packetAddress(a), wake: make(chan struct{}, 1), cancel: cancel, pending: map[hollowgrade.Instance]core.Share{}}
		s.links[a] = l
		g.Go(func() { s.keepConnected(c, a, l) })
	}
	for a, l := range s.links {
		if !listed[a] {
			l.cancel()
			delete(s.links, a)
		}
	}
}

// packetAddress returns the address of a peer for packets: the same as for connections.
func (s *Sender) packetAddress(a string) netip.AddrPort {
	p, err := netip.ParseAddrPort(a)
	if err != nil && s.packets != nil {
		s.log.Warn("peer gets no packets, only streams", "peer", a, "err", err)
	}
	return p
}

// sendChanges sends changed shares, and the prompts that wait if these have changed, at once in packets
// to the peers that have a stream, and again with the next heartbeat. Without packets they go on streams.
func (s *Sender) sendChanges(cs map[hollowgrade.Instance]core.Share, waits bool) {
	if s.packets == nil {
		s.sendOnStreams(cs, false)
		return
	}
	to := s.addShares(cs, false)
	if len(to) == 0 {
		return
	}
	fs := s.frames(cs)
	if waits {
		f := s.frame(nil, false)
		s.addWaits(f.GetLoadView())
		fs = append(fs, f)
	}
	for _, f := range fs {
		if err := s.packets.Send(f, to); err != nil {
			s.log.Debug("packet not sent; the next heartbeat has the same update", "err", err)
		}
	}
}

// frames returns shares as frames that fit into packets.
func (s *Sender) frames(cs map[hollowgrade.Instance]core.Share) (fs []*wire.Frame) {
	part := make(map[hollowgrade.Instance]core.Share, maxSharesPerPacket)
	for id, c := range cs {
		part[id] = c
		if len(part) == maxSharesPerPacket {
			fs = append(fs, s.frame(part, false))
			clear(part)
		}
	}
	if len(part) > 0 {
		fs = append(fs, s.frame(part, false))
	}
	return fs
}

// sendOnStreams makes each link send shares on its stream.
func (s *Sender) sendOnStreams(cs map[hollowgrade.Instance]core.Share, whole bool) {
	s.addShares(cs, whole)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
}

// addShares adds shares to what each link has to send, and returns the packet addresses of the peers
// that are connected.
func (s *Sender) addShares(cs map[hollowgrade.Instance]core.Share, whole bool) (to []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		if whole {
			clear(l.pending)
			l.whole = true
		}
		maps.Copy(l.pending, cs)
		if l.connected && l.packets.IsValid() {
			to = append(to, l.packets)
		}
	}
	return to
}

// startLink makes a link that has just connected send the whole view.
func (s *Sender) startLink(l *link) {
	cs := s.fleet.Shares()
	s.mu.Lock()
	defer s.mu.Unlock()
	l.pending, l.whole, l.first = cs, true, true
	l.update, l.started = quarantine.Update{}, true
	if s.quarantine != nil {
		l.update = s.quarantine.Snapshot()
	}
}

// stopLink records that a link is down.
func (s *Sender) stopLink(l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.update, l.started = quarantine.Update{}, false
}

func (s *Sender) setConnected(l *link, up bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.connected = up
}

// nextFrame returns what is pending for a link as a frame, and clears it.
func (s *Sender) nextFrame(l *link) *wire.Frame {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.view(l.pending, l.whole)
	if l.first {
		addPrefillBacklogs(m, s.fleet.PrefillBacklogs())
	}
	s.addWaits(m)
	m.Refused = encodeRefusals(s.fleet.Refusals(), s.fleet.Now())
	m.Suspicions = encodeUpdate(l.update, s.clock.Now())
	l.update = quarantine.Update{}
	clear(l.pending)
	l.whole, l.first = false, false
	return &wire.Frame{Body: &wire.Frame_LoadView{LoadView: m}}
}

// frame returns a message with shares.
func (s *Sender) frame(cs map[hollowgrade.Instance]core.Share, whole bool) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_LoadView{LoadView: s.view(cs, whole)}}
}

// addWaits adds the prompts that wait here to a view, none if such calls don't wait at all.
func (s *Sender) addWaits(m *wire.LoadView) {
	if es, ok := s.fleet.Waits(); ok {
		m.Waits = encodeWaits(es, s.fleet.Now())
	}
}

// addPrefillBacklogs adds the prefill backlog of upstreams to a view.
func addPrefillBacklogs(m *wire.LoadView, rs map[hollowgrade.Instance]time.Duration) {
	for _, c := range m.Shares {
		c.ReadingMicros = rs[hollowgrade.Instance(c.Upstream)].Microseconds()
		delete(rs, hollowgrade.Instance(c.Upstream))
	}
	for id, d := range rs {
		m.Shares = append(m.Shares, &wire.LoadShare{Upstream: string(id), ReadingMicros: d.Microseconds()})
	}
}

// view returns the body of a message.
func (s *Sender) view(cs map[hollowgrade.Instance]core.Share, whole bool) *wire.LoadView {
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

// keepConnected connects to a peer, and connects again when the connection breaks.
func (s *Sender) keepConnected(ctx context.Context, address string, l *link) {
	for ctx.Err() == nil {
		if err := s.runStream(ctx, address, l); err != nil && ctx.Err() == nil {
			s.log.Debug("load not sent to peer", "peer", address, "err", err)
		}
		s.waitRedial(ctx, l)
	}
}

// waitRedial waits before the next attempt to connect, until [Sender.Redial] at most.
func (s *Sender) waitRedial(ctx context.Context, l *link) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	l.redial = cancel
	s.mu.Unlock()
	hollowgrade.Sleep(ctx, s.clock, redialInterval)
}

// Redial makes links that are down connect at once. A peer whose stream has just begun has just
// started or is reachable again, and has no view of ours.
func (s *Sender) Redial() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		if !l.connected && l.redial != nil {
			l.redial()
		}
	}
}

func (s *Sender) runStream(ctx context.Context, address string, l *link) (err error) {
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
	s.startLink(l)
	defer s.stopLink(l)
	t, err := c.Open(s.nextFrame(l))
	if err != nil {
		return err
	}
	s.setConnected(l, true)
	defer s.setConnected(l, false)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.Closed():
			return fmt.Errorf("connection closed")
		case <-l.wake:
		}
		if err = t.Send(s.nextFrame(l)); err != nil {
			return err
		}
	}
}

func decodeShares(m *wire.LoadView) map[hollowgrade.Instance]core.Share {
	ss := make(map[hollowgrade.Instance]core.Share, len(m.Shares))
	for _, c := range m.Shares {
		ss[hollowgrade.Instance(c.Upstream)] = core.Share{
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

// encodeLimit returns the rate limit of an upstream, nil if there is none.
func encodeLimit(s core.UpstreamState) *wire.RateLimit {
	if !s.HasLimit {
		return nil
	}
	return &wire.RateLimit{Named: s.Limit.Named, PerSecond: s.Limit.PerSecond, AgeMillis: s.Limit.Age.Milliseconds(), Relayed: s.Limit.Relayed}
}

// paceUnit is the factor of an engine's pace in messages, which state it in thousandths.
const paceUnit = 1000

// encodeStakes leaves out classes without a stake.
func encodeStakes(s placement.Stakes) (ws []*wire.Stake) {
	for i, n := range s {
		if n != 0 {
			ws = append(ws, &wire.Stake{PauseClass: int32(i), Worth: int32(n)})
		}
	}
	return ws
}

// decodeStakes ignores classes that are unknown here.
func decodeStakes(ws []*wire.Stake) (s placement.Stakes) {
	for _, w := range ws {
		if w.PauseClass >= 0 && int(w.PauseClass) < len(s) {
			s[w.PauseClass] = int(w.Worth)
		}
	}
	return s
}

// decodePrefillBacklogs returns the prefill backlogs of upstreams in a peer's view.
func decodePrefillBacklogs(m *wire.LoadView) map[hollowgrade.Instance]time.Duration {
	rs := map[hollowgrade.Instance]time.Duration{}
	for _, c := range m.Shares {
		if c.ReadingMicros > 0 {
			rs[hollowgrade.Instance(c.Upstream)] = time.Duration(c.ReadingMicros) * time.Microsecond
		}
	}
	return rs
}
