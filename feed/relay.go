package feed

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/internal/errs"
	"github.com/hollowgrade/hollowgrade/internal/wire"
	"github.com/hollowgrade/hollowgrade/peer"
)

const (
	// askEvery is how often a process asks its peers. What changes reaches it
	// that much later than the reader that tells it, well within the seconds in
	// which changes have to be in force.
	askEvery = 400 * time.Millisecond
	// askTimeout bounds one ask: a connection and an answer within a region. An
	// answer has at most pageBytes for each topic, so that this bound holds on any
	// link; what is larger is brought by itself and has no bound in time.
	askTimeout = 700 * time.Millisecond
	// askedPeers is how many readers a process asks at a time, and how many peers
	// beside them while it is stale: some may be dead or cut off themselves. All
	// readers would be asks that grow with the square of the processes.
	askedPeers = 3
	// staleMargin is by how much a view may be older than two reads wait before
	// any peers are asked, not just readers.
	staleMargin = 300 * time.Millisecond
	// lostAfter is how long a process goes without word from a reader before it
	// reads the store itself: at once if it reaches no other process, and when its turn
	// comes if it does, since the store is away for all of them then.
	lostAfter = 900 * time.Millisecond
	// lostStale is the same for one whose view is stale already. The store that turns all readers away at once is
	// noticed by that alone, and keys are good for 4.2 s: the oldest of 103 views was 4.188 to 4.202 s old with
	// 900 ms, and is 3.8 s old (TestReadersThatTheStoreTurnsAwayAreReplaced).
	lostStale = 500 * time.Millisecond
	// standInRate is how many processes a second begin to read, of all those that
	// readers tell nothing, and how many tries they make while the store is away: a few
	// that get an answer are enough for all. mostSpacing bounds the mean time that one of them
	// waits, however many there are: keys are good for some seconds.
	standInRate = 40
	mostSpacing = 2 * time.Second
	// toldBytes is from how many bytes on an answer that was cut has a line in the
	// log. An ask in vain of a peer that is away has none: there are many of them,
	// and "store lost" and the view's age say what matters.
	toldBytes = 16 << 10
)

// Relay keeps feeds up to date from peers: a few processes read the store, and
// the others ask those. It also helps a process that the store turns away.
type Relay struct {
	self   string
	hall   string
	feeds  []*Feed
	peers  func() []string
	places func(address string) Place
	dial   peer.Dialer
	clock  hollowgrade.Clock
	log    *log.Logger

	received, wasted atomic.Int64 // bytes that peers sent; those that were thrown away
	exchanges        sync.WaitGroup

	store *Access
	begun time.Time // when this process started

	rankedMu sync.Mutex
	ranked   []string // the readers as they were worked out last
	rankedAt time.Time

	mu        sync.Mutex
	conns     map[string]*peer.Conn
	told      time.Time           // when a reader last told what is fresh, or this process began
	reached   time.Time           // when a peer last answered
	patience  time.Duration       // for which this process waits for others to read once readers tell nothing
	reads     reading             // what Reads last said
	large     reading             // what ReadsLarge last said
	transfers map[*Feed]*transfer // under way
	catching  map[*Feed]bool      // feeds of which pages are read one after another
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

// WithPlaces sets what is known of where processes are, this one among them.
func WithPlaces(f func(address string) Place) RelayOption {
	return func(r *Relay) { r.places = f }
}

// NewRelay returns a relay for the process with the address self. Peers returns
// the addresses of the others; it is asked anew each time. Feeds are added with
// [Relay.Add].
func NewRelay(self string, peers func() []string, os ...RelayOption) *Relay {
	r := &Relay{
		self:      self,
		peers:     peers,
		places:    func(string) Place { return Place{} },
		dial:      peer.TCP(),
		clock:     hollowgrade.SystemClock(),
		log:       log.Default(),
		conns:     map[string]*peer.Conn{},
		transfers: map[*Feed]*transfer{},
		catching:  map[*Feed]bool{},
	}
	for _, o := range os {
		o(r)
	}
	r.hall = r.places(self).Hall
	r.begun = r.clock.Now()
	r.told = r.begun
	r.store = NewAccess(r.clock, r.spacing)
	return r
}

// Access returns what this process knows of its way to the store, for all that calls it.
func (r *Relay) Access() *Access {
	return r.store
}

// spacing is the mean time between the tries of this process to read a store that is
// away: readers make theirs as they fail, all others together [standInRate] a second.
func (r *Relay) spacing() time.Duration {
	if slices.Contains(r.readers(), r.self) {
		return 0
	}
	return min(time.Duration(len(r.peers()))*time.Second/standInRate, mostSpacing)
}

// Add adds feeds. It is called before Run.
func (r *Relay) Add(fs ...*Feed) {
	r.feeds = append(r.feeds, fs...)
}

// Reads reports whether this process has to read the store itself: it is one of
// the readers, or none of them has told it anything for a while.
func (r *Relay) Reads() bool {
	return r.readsAs(r.readers(), &r.reads, "all")
}

// ReadsLarge reports the same for topics with large records. While a peer sends one,
// this process does not read another copy of it: both would share one link.
func (r *Relay) ReadsLarge() bool {
	rs := readersOfLarge(r.readers())
	if r.transferring() {
		return slices.Contains(rs, r.self)
	}
	return r.readsAs(rs, &r.large, "large")
}

// reading is whether this process reads some of the topics itself.
type reading bool

// readsAs reports whether this process has to read topics that these processes read
// for all, and logs when that is no longer what was said last.
func (r *Relay) readsAs(readers []string, said *reading, topics string) bool {
	reader := slices.Contains(readers, r.self) && !r.begins(len(readers))
	stale := len(r.behind()) > 0
	r.mu.Lock()
	defer r.mu.Unlock()
	reads := reader || r.standsIn(stale)
	if reading(reads) != *said {
		if !reader && reads {
			r.store.Doubt()
		}
		*said = reading(reads)
		r.log.Info("reading of the store changed", "topics", topics, "reads", reads, "reader", reader, "told_ms", r.clock.Since(r.told).Milliseconds())
	}
	return reads
}

// begins reports whether this process has just started and knows no other yet. It has
// read all newest records or is about to; whether it is to read on it learns with the list
// of the others. Gateways that start together made seven calls each, and make four.
func (r *Relay) begins(readers int) bool {
	return readers <= 1 && r.clock.Since(r.begun) <= lostAfter
}

// standsIn reports whether this process, which is no reader, reads the store because
// readers tell it nothing. The lock is held.
func (r *Relay) standsIn(stale bool) bool {
	silent := r.clock.Since(r.told)
	alone := r.clock.Since(r.reached) > lostAfter
	return stale && silent > lostStale || silent > lostAfter && (alone || silent > lostAfter+r.patience)
}

// Run asks peers until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	for hollowgrade.Sleep(ctx, r.clock, askEvery) {
		for _, a := range r.toAsk() {
			r.exchanges.Go(func() { r.ask(ctx, a) })
		}
	}
	r.exchanges.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
}

// toAsk returns the peers to ask now: some readers, unless this process reads all
// topics itself and the store answers it; and any when readers tell nothing or the view is
// stale. A reader that started while the store was silent asked nobody, and had a change
// 3.3 s late.
func (r *Relay) toAsk() (as []string) {
	rs := r.readers()
	large := readersOfLarge(rs)
	switch {
	case !slices.Contains(rs, r.self):
		as = r.some(rs)
	case !slices.Contains(large, r.self), !r.served():
		as = r.some(slices.DeleteFunc(large, func(a string) bool { return a == r.self }))
	}
	if len(r.behind()) == 0 && !r.untold() {
		return as
	}
	return append(as, r.some(slices.DeleteFunc(r.peers(), func(a string) bool { return slices.Contains(as, a) }))...)
}

// untold reports whether readers have told this process nothing for a while: another
// process may read in their place.
func (r *Relay) untold() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Since(r.told) > lostAfter
}

// served reports whether the store answers this process on all topics.
func (r *Relay) served() bool {
	return !slices.ContainsFunc(r.feeds, func(f *Feed) bool { return !f.served() })
}

// some returns as many of the peers as are asked at a time, others each time. One of
// the own hall is among them if there is one, so that what is large comes from there.
func (r *Relay) some(as []string) []string {
	shuffle(as)
	if i := slices.IndexFunc(as, r.near); i > 0 {
		as[0], as[i] = as[i], as[0]
	}
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

// told is what one answer of a peer came to.
type told struct {
	bytes int64
	more  *Feed   // a feed of which the peer can tell the next page at once, or nil
	large []found // records whose values have to be asked for
}

// found is a record that a peer has told of without its value.
type found struct {
	feed   *Feed
	record *wire.LargeRecord
}

// ask asks a peer once, and then for the pages that are missing, one after another.
func (r *Relay) ask(ctx context.Context, address string) {
	for f := r.askOnce(ctx, address); f != nil; {
		before := f.Next()
		if !r.catch(f) {
			return // another ask does
		}
		more := r.askOnce(ctx, address)
		r.caught(f)
		if f.Next() == before {
			return
		}
		f = more
	}
}

// catch notes that pages of a feed are read one after another, unless they are.
func (r *Relay) catch(f *Feed) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.catching[f] {
		return false
	}
	r.catching[f] = true
	return true
}

func (r *Relay) caught(f *Feed) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.catching, f)
}

// askOnce asks a peer and lets the large values that it has be brought. It returns a
// feed of which the peer can tell more, or nil.
func (r *Relay) askOnce(ctx context.Context, address string) (more *Feed) {
	sent := r.clock.Now()
	d, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	t, err := r.exchange(d, address)
	r.received.Add(t.bytes)
	if err != nil {
		r.cut(address, t.bytes, r.clock.Since(sent), errors.Join(d.Err(), err))
		return nil
	}
	for _, l := range t.large {
		r.bring(ctx, l.feed, l.record, address)
	}
	return t.more
}

// cut notes that the answer of a peer was cut after so many bytes.
func (r *Relay) cut(address string, bytes int64, took time.Duration, err error) {
	r.wasted.Add(bytes)
	if bytes >= toldBytes {
		r.log.Warn("answer of a peer was cut", "peer", address, "bytes", bytes, "took_ms", took.Milliseconds(), "err", err)
		return
	}
	r.log.Debug("peer did not tell what it knows of the store", "peer", address, "err", err)
}

// Received returns how many bytes peers have sent, and how many of these were of
// answers and values that were cut.
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

// exchange asks a peer and takes what it tells.
func (r *Relay) exchange(ctx context.Context, address string) (t told, err error) {
	defer errs.Annotate(&err, "ask peer %s for feeds", address)
	c, err := r.conn(ctx, address)
	if err != nil {
		return t, err
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
		return t, err
	}
	defer s.Abort()
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	defer func() { t.bytes = s.Received() }()
	for n := 0; ; n++ {
		m, err := s.Receive()
		if errors.Is(err, io.EOF) {
			r.heard(n)
			return t, nil
		}
		if err != nil {
			return t, err
		}
		p := m.GetFeedReply()
		if p == nil {
			return t, errors.New("peer sent a frame that is not due")
		}
		r.merge(address, p, sent, &t)
	}
}

// heard notes that a peer has answered with n feeds, and that it has told what is fresh if
// that leaves none of them stale.
func (r *Relay) heard(n int) {
	fresh := n >= len(r.feeds) && len(r.behind()) == 0
	spacing := r.spacing()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reached = r.clock.Now()
	if fresh {
		r.told, r.patience = r.reached, drawn(spacing)
	}
}

// named returns the feed with a name, nil if there is none.
func named(fs []*Feed, name string) *Feed {
	i := slices.IndexFunc(fs, func(f *Feed) bool { return f.Name() == name })
	if i < 0 {
		return nil
	}
	return fs[i]
}

// merge takes a peer's reply. What the peer knew as of some time before it
// answered it knew at the latest that long after the request was sent. What has to
// be asked for besides goes into t.
func (r *Relay) merge(address string, m *wire.FeedReply, sent time.Time, t *told) {
	f := named(r.feeds, m.Feed)
	if f == nil {
		return
	}
	before, _ := f.Age()
	p := hollowgrade.KeyedPage{Next: m.Next, End: max(m.End, m.Next), From: address}
	for _, k := range m.Records {
		p.Records = append(p.Records, hollowgrade.KeyedRecord{Key: k.Key, Value: k.Value, Offset: k.Offset})
	}
	f.Merge(p, sent.Add(-time.Duration(m.AgeMicros)*time.Microsecond))
	if after, ok := f.Age(); ok && after < before && (before > 2*f.wait+staleMargin || len(p.Records) > 0) {
		r.log.Info("learned from a peer", "feed", f.name, "peer", address, "next", m.Next, "records", len(p.Records),
			"age_ms", after.Milliseconds(), "age_before_ms", before.Milliseconds())
	}
	switch l := m.Large; {
	case f.Next() != p.Next || p.Next == p.End:
	case l != nil && f.expect(l.Key, l.Offset, int(l.Size), address):
		t.large = append(t.large, found{f, l})
	default:
		t.more = f
	}
}
