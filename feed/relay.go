package feed

import (
	"cmp"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/internal/errs"
	"github.com/hollowgrade/hollowgrade/internal/wire"
	"github.com/hollowgrade/hollowgrade/peer"
	"github.com/hollowgrade/hollowgrade/sched"
)

const (
	// askEvery is how often a process asks its peers. What changes reaches it
	// that much later than the reader that tells it, well within the seconds in
	// which changes have to be in force.
	askEvery = 400 * time.Millisecond
	// askTimeout bounds one ask: a connection and an answer within a region.
	askTimeout = 700 * time.Millisecond
	// askedPeers is how many readers a process asks at a time, and how many peers
	// beside them while it is stale: some may be dead or cut off themselves. All
	// readers would be asks that grow with the square of the processes.
	askedPeers = 3
	// staleMargin is by how much a view may be older than two reads wait before
	// any peers are asked, not just readers.
	staleMargin = 300 * time.Millisecond
	// lostAfter is how long a process goes without word from a reader before it
	// reads the store itself.
	lostAfter = 900 * time.Millisecond
	// toldBytes is from how many bytes on an answer that was cut has a line in the
	// log. An ask in vain of a peer that is away has none: there are many of them,
	// and "store lost" and the view's age say what matters.
	toldBytes = 16 << 10
	// fewestReaders read the store, however few processes there are, and one in
	// perReader beyond. A third of all processes may be cut off from the store at
	// once, and the others have to learn of a change within two seconds: there
	// have to be so many readers that hardly ever all of them are among those.
	fewestReaders = 4
	perReader     = 5
)

// Relay keeps feeds up to date from peers: a few processes read the store, and
// the others ask those. It also helps a process that the store turns away.
type Relay struct {
	self  string
	feeds []*Feed
	peers func() []string
	dial  peer.Dialer
	clock hollowgrade.Clock
	log   *log.Logger

	received, wasted atomic.Int64 // bytes of answers of peers; of those that were cut

	mu    sync.Mutex
	conns map[string]*peer.Conn
	told  time.Time // when a reader last told what is fresh
	reads bool      // what Reads last said
}

// RelayOption changes a relay as it is made.
type RelayOption func(*Relay)

// WithRelayClock sets the clock.
func WithRelayClock(c hollowgrade.Clock) RelayOption {
	return func(r *Relay) { r.clock = c }
}

// WithRelayLogger sets the logger.
func WithRelayLogger(l *log.Logger) RelayOption {
	return func(r *Relay) { r.log = l }
}

// WithDialer sets how peers are reached.
func WithDialer(d peer.Dialer) RelayOption {
	return func(r *Relay) { r.dial = d }
}

// NewRelay returns a relay for the process with the address self. Peers returns
// the addresses of the others; it is asked anew each time. Feeds are added with
// [Relay.Add].
func NewRelay(self string, peers func() []string, os ...RelayOption) *Relay {
	r := &Relay{
		self:  self,
		peers: peers,
		dial:  peer.TCP(),
		clock: hollowgrade.SystemClock(),
		log:   log.Default(),
		conns: map[string]*peer.Conn{},
	}
	for _, o := range os {
		o(r)
	}
	return r
}

// Add adds feeds. It is called before Run.
func (r *Relay) Add(fs ...*Feed) {
	r.feeds = append(r.feeds, fs...)
}

// readers returns the processes that read the store, the same for all that know
// the same members.
func (r *Relay) readers() []string {
	as := append(r.peers(), r.self)
	ranks := make(map[string]uint64, len(as))
	for _, a := range as {
		ranks[a] = sched.Rank(readersSubject, a)
	}
	slices.SortFunc(as, func(a, b string) int { return cmp.Or(cmp.Compare(ranks[b], ranks[a]), cmp.Compare(a, b)) })
	as = slices.Compact(as)
	return as[:min(max(fewestReaders, (len(as)+perReader-1)/perReader), len(as))]
}

// readersSubject is what processes are ranked for.
const readersSubject = "store"

// Reads reports whether this process has to read the store itself: it is one of
// the readers, or none of them has told it anything for a while.
func (r *Relay) Reads() bool {
	reader := slices.Contains(r.readers(), r.self)
	r.mu.Lock()
	defer r.mu.Unlock()
	reads := reader || r.clock.Since(r.told) > lostAfter
	if reads != r.reads {
		r.reads = reads
		r.log.Info("reading of the store changed", "reads", reads, "reader", reader, "told_ms", r.clock.Since(r.told).Milliseconds())
	}
	return reads
}

// Run asks peers until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	for hollowgrade.Sleep(ctx, r.clock, askEvery) {
		for _, a := range r.toAsk() {
			go r.ask(ctx, a)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
}

// toAsk returns the peers to ask now: some readers, unless this process is one;
// and any when the view is stale.
func (r *Relay) toAsk() (as []string) {
	if rs := r.readers(); !slices.Contains(rs, r.self) {
		as = some(rs)
	}
	if len(r.behind()) == 0 {
		return as
	}
	return append(as, some(slices.DeleteFunc(r.peers(), func(a string) bool { return slices.Contains(as, a) }))...)
}

// some returns as many of the peers as are asked at a time, others each time.
func some(as []string) []string {
	rand.Shuffle(len(as), func(i, j int) { as[i], as[j] = as[j], as[i] })
	return as[:min(askedPeers, len(as))]
}

// behind returns the feeds that are stale.
func (r *Relay) behind() (fs []*Feed) {
	for _, f := range r.feeds {
		if age, ok := f.Age(); !ok || age > 2*f.wait+staleMargin {
			fs = append(fs, f)
		}
	}
	return fs
}

func (r *Relay) ask(ctx context.Context, address string) {
	sent := r.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	n, err := r.exchange(ctx, address)
	r.received.Add(n)
	if err == nil {
		return
	}
	r.wasted.Add(n)
	if n >= toldBytes {
		r.log.Warn("answer of a peer was cut", "peer", address, "bytes", n, "took_ms", r.clock.Since(sent).Milliseconds(), "err", errors.Join(ctx.Err(), err))
		return
	}
	r.log.Debug("peer did not tell what it knows of the store", "peer", address, "err", err)
}

// Received returns how many bytes peers have told, and how many of these were
// of answers that were cut and told nothing.
func (r *Relay) Received() (all, wasted int64) {
	return r.received.Load(), r.wasted.Load()
}

// conn returns the kept connection to a peer, or opens one.
func (r *Relay) conn(ctx context.Context, address string) (*peer.Conn, error) {
	r.mu.Lock()
	c := r.conns[address]
	r.mu.Unlock()
	if c != nil {
		return c, nil
	}
	c, err := peer.Dial(ctx, r.dial, address)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if o := r.conns[address]; o != nil {
		return o, c.Close()
	}
	r.conns[address] = c
	return c, nil
}

// drop forgets a connection on which an exchange failed.
func (r *Relay) drop(address string, c *peer.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conns[address] == c {
		delete(r.conns, address)
	}
	_ = c.Close()
}

// exchange asks a peer and takes what it tells. It returns how many bytes came.
func (r *Relay) exchange(ctx context.Context, address string) (bytes int64, err error) {
	defer errs.Annotate(&err, "ask peer %s for feeds", address)
	c, err := r.conn(ctx, address)
	if err != nil {
		return 0, err
	}
	defer func() {
		if err != nil {
			r.drop(address, c)
		}
	}()
	sent := r.clock.Now()
	q := &wire.FeedRequest{}
	for _, f := range r.feeds {
		q.Positions = append(q.Positions, &wire.FeedPosition{Feed: f.Name(), Next: f.Next()})
	}
	s, err := c.Open(&wire.Frame{Body: &wire.Frame_FeedRequest{FeedRequest: q}})
	if err != nil {
		return 0, err
	}
	defer s.Abort()
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	for n := 0; ; n++ {
		m, err := s.Receive()
		if errors.Is(err, io.EOF) {
			r.heard(n)
			return s.Received(), nil
		}
		if err != nil {
			return s.Received(), err
		}
		p := m.GetFeedReply()
		if p == nil {
			return s.Received(), errors.New("peer sent a frame that is not due")
		}
		r.merge(address, p, sent)
	}
}

// heard notes that a peer has told n feeds, if that leaves none of them stale.
func (r *Relay) heard(n int) {
	if n < len(r.feeds) || len(r.behind()) > 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.told = r.clock.Now()
}

// merge takes a peer's reply. What the peer knew as of some time before it
// answered it knew at the latest that long after the request was sent.
func (r *Relay) merge(address string, m *wire.FeedReply, sent time.Time) {
	for _, f := range r.feeds {
		if f.Name() != m.Feed {
			continue
		}
		before, _ := f.Age()
		p := hollowgrade.KeyedPage{Next: m.Next, End: m.Next}
		for _, k := range m.Records {
			p.Records = append(p.Records, hollowgrade.KeyedRecord{Key: k.Key, Value: k.Value, Offset: k.Offset})
		}
		f.Merge(p, sent.Add(-time.Duration(m.AgeMicros)*time.Microsecond))
		if after, ok := f.Age(); ok && after < before && (before > 2*f.wait+staleMargin || len(p.Records) > 0) {
			r.log.Info("learned from a peer", "feed", f.name, "peer", address, "next", m.Next, "records", len(p.Records),
				"age_ms", after.Milliseconds(), "age_before_ms", before.Milliseconds())
		}
	}
}

// Serve answers a peer's request. It is a part of a [peer.Handler].
func Serve(s *peer.Stream, q *wire.FeedRequest, fs []*Feed) (err error) {
	defer errs.Annotate(&err, "answer with feeds")
	for _, o := range q.Positions {
		for _, f := range fs {
			if f.Name() != o.Feed {
				continue
			}
			p, age, ok := f.Since(o.Next)
			if !ok || f.lostNow() && o.Next > 0 {
				continue // the store's newest is not known here, and the peer knows something
			}
			if err = s.Send(reply(f.Name(), p, age)); err != nil {
				return err
			}
		}
	}
	return s.Finish()
}

func reply(name string, p hollowgrade.KeyedPage, age time.Duration) *wire.Frame {
	m := &wire.FeedReply{Feed: name, Next: p.Next, AgeMicros: age.Microseconds()}
	for _, k := range p.Records {
		m.Records = append(m.Records, &wire.FeedRecord{Key: k.Key, Value: k.Value, Offset: k.Offset})
	}
	return &wire.Frame{Body: &wire.Frame_FeedReply{FeedReply: m}}
}
