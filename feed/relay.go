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
	// askTimeout bounds one ask: a connection and an answer within a region. An
	// answer has at most pageBytes for each topic, so that this bound holds on any
	// link; what is larger is brought by itself and has no bound in time.
	askTimeout = 700 * time.Millisecond
	// askedPeers is how many readers a process asks at a time, and how many peers
	// beside them while it is stale: some may be dead or cut off themselves. All
	// readers would be asks that grow with the square of the processes.
	askedPeers = 3
	// lostAfter is how long a process goes without word from a process that the store
	// serves before it doubts that any reader is, whatever they say: those that it asks may
	// be gone. It is two asks, or one and its timeout. One that reaches nobody reads the
	// store itself then.
	lostAfter = 900 * time.Millisecond
	// standInRate is how many tries a second all processes that are no readers make while
	// the store is away, once each has had its turn: a few that get an answer are enough for
	// all.
	standInRate = 20
	// urgentFor is for how long a process that is told nothing asks often: a few asks
	// more than the last turn of those that stand in.
	urgentFor = 3 * time.Second
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
	notify           chan struct{} // has an element when a round was in vain: others are asked at once

	store *Access
	begun time.Time // when this process started

	timing Timing

	rankedMu sync.Mutex
	ranked   []string // all processes by rank as they were worked out last, readers first
	rankedAt time.Time

	mu        sync.Mutex
	conns     map[string]*peer.Conn
	words     map[string]word     // what peers last said of themselves
	asking    map[string]bool     // peers that are asked now
	open      int                 // how many peers of the last round have still to answer, if none that the store serves has
	vain      bool                // whether none of a round was one that the store serves, and none has answered since
	told      time.Time           // when a process that the store serves last told all feeds, or this process began
	reached   time.Time           // when a peer last answered
	standing  bool                // whether this process stands in for the readers
	doubted   time.Time           // since when the store seems to serve no reader; zero if it does
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

// WithRelayTiming sets the times by which peers are asked and stood in for.
func WithRelayTiming(t Timing) RelayOption {
	return func(r *Relay) { r.timing = t }
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
		timing:    NewTiming(viewBound),
		conns:     map[string]*peer.Conn{},
		words:     map[string]word{},
		asking:    map[string]bool{},
		notify:    make(chan struct{}, 1),
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
// away: readers make theirs as they fail, and so does one that reaches nobody; all others
// together make [standInRate] a second.
func (r *Relay) spacing() time.Duration {
	if slices.Contains(r.readers(), r.self) || r.alone() {
		return 0
	}
	return time.Duration(len(r.peers())) * time.Second / standInRate
}

// alone reports whether this process has reached no other lately.
func (r *Relay) alone() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Since(r.reached) > lostAfter
}

// Add adds feeds. It is called before Run.
func (r *Relay) Add(fs ...*Feed) {
	r.feeds = append(r.feeds, fs...)
}

// Reads reports whether this process has to read the store itself: it is one of
// the readers, or stands in for them.
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
	better := r.better()
	served := r.isServed()
	stale := len(r.behind()) > 0
	large := readersOfLarge(r.readers())
	turn := turnOf(max(len(better)-len(large), 0))
	stoodIn := false
	defer func() {
		if stoodIn {
			r.store.Doubt() // without the lock, since the store's access asks this relay
		}
	}()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteDoubt(large, served, stale)
	r.standing = r.standsIn(turn, better, served)
	reads := reader || r.standing
	if reading(reads) != *said {
		stoodIn = !reader && reads
		*said = reading(reads)
		r.log.Info("reading of the store changed", "topics", topics, "reads", reads, "reader", reader, "turn", turn, "served", served,
			"told_ms", r.clock.Since(r.told).Milliseconds(), "doubted_ms", r.doubtedMillis(), "stale", stale, "better_served", r.servedOf(better))
	}
	return reads
}

// doubtedMillis returns for how long the store has seemed to serve no reader, for logs; -1 if
// it does. The lock is held.
func (r *Relay) doubtedMillis() int64 {
	if r.doubted.IsZero() {
		return -1
	}
	return r.clock.Since(r.doubted).Milliseconds()
}

// begins reports whether this process has just started and knows no other yet. It has
// read all newest records or is about to; whether it is to read on it learns with the list
// of the others. Gateways that start together made seven calls each, and make four.
func (r *Relay) begins(readers int) bool {
	return readers <= 1 && r.clock.Since(r.begun) <= lostAfter
}

// Run asks peers until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	var asked time.Time
	for r.rest(ctx) {
		if r.clock.Since(asked) < r.timing.Ask && !r.asksOften() {
			continue
		}
		asked = r.clock.Now()
		for _, a := range r.beginRound(r.toAsk()) {
			r.exchanges.Go(func() {
				defer r.endAsk(a)
				r.ask(ctx, a)
			})
		}
	}
	r.exchanges.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
}

// asksOften reports whether this process asks often, since nobody that the store serves tells it
// anything: only for as long as it may take to find out who stands in, as in a long outage nobody does.
func (r *Relay) asksOften() bool {
	served := r.isServed()
	r.mu.Lock()
	defer r.mu.Unlock()
	return !served && r.untold() && r.clock.Since(r.told) <= urgentFor
}

// rest waits for the next moment at which peers may have to be asked. It returns false if ctx
// ended before.
func (r *Relay) rest(ctx context.Context) bool {
	t := r.clock.NewTimer(r.timing.Urgent)
	defer t.Stop()
	select {
	case <-t.Chan():
		return true
	case <-r.notify:
		return true
	case <-ctx.Done():
		return false
	}
}

// beginRound returns those of the peers that are not asked already, and notes that they are.
func (r *Relay) beginRound(as []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	as = slices.DeleteFunc(as, func(a string) bool { return r.asking[a] })
	for _, a := range as {
		r.asking[a] = true
	}
	r.open = len(as)
	return as
}

func (r *Relay) endAsk(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.asking, address)
}

// toAsk returns the peers to ask now: some of those that the store may serve, readers above all,
// unless this process reads all topics itself and the store answers it; and while no process that
// the store serves tells it anything, or its view is stale, all such readers, some that may
// stand in, and some others. A reader that started while the store was silent asked nobody, and
// had a change 3.3 s late.
func (r *Relay) toAsk() (as []string) {
	rs := r.readers()
	large := readersOfLarge(rs)
	served := r.isServed()
	switch {
	case !slices.Contains(rs, r.self):
		as = r.beside(nil, r.withTellers(rs))
	case !slices.Contains(large, r.self), r.lacks():
		as = r.beside(nil, r.withTellers(large))
	}
	if served && !slices.Contains(rs, r.self) {
		as = r.beside(as, r.better()) // those in whose stead it reads may be served by now
	}
	r.mu.Lock()
	untold := r.untold()
	r.mu.Unlock()
	if len(r.behind()) == 0 && (served || !untold) {
		return as
	}
	as = append(as, slices.DeleteFunc(r.mayBeServed(rs), func(a string) bool { return slices.Contains(as, a) })...)
	as = r.beside(as, r.standIns())
	return r.beside(as, r.peers())
}

// beside adds some more of the peers to those that are asked.
func (r *Relay) beside(as, more []string) []string {
	return append(as, r.some(slices.DeleteFunc(slices.Clone(more), func(a string) bool { return a == r.self || slices.Contains(as, a) }))...)
}

// lacks reports whether the store does not answer this process on a topic.
func (r *Relay) lacks() bool {
	return slices.ContainsFunc(r.feeds, func(f *Feed) bool {
		served, known := f.served()
		return known && !served
	})
}

// isServed reports whether the store answers this process on all topics that it reads.
func (r *Relay) isServed() bool {
	return allServed(r.feeds)
}

// some returns as many of the peers as are asked at a time, others each time. One of
// the own hall is among them if there is one, so that what is large comes from there.
func (r *Relay) some(as []string) []string {
	as = r.likelyServed(as)
	shuffle(as)
	if i := slices.IndexFunc(as, r.near); i > 0 {
		as[0], as[i] = as[i], as[0]
	}
	return as[:min(askedPeers, len(as))]
}

// behind returns the feeds that are stale.
func (r *Relay) behind() (fs []*Feed) {
	for _, f := range r.feeds {
		if age, ok := f.Age(); !ok || age > r.timing.stale(f.wait) {
			fs = append(fs, f)
		}
	}
	return fs
}

// told is what one answer of a peer came to.
type told struct {
	feeds  int  // that it told
	served bool // its word on itself
	bytes  int64
	more   *Feed   // a feed of which the peer can tell the next page at once, or nil
	large  []found // records whose values have to be asked for
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
		r.unheard(address)
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
	for t.served = true; ; t.feeds++ {
		m, err := s.Receive()
		if errors.Is(err, io.EOF) {
			r.heard(address, t.served && t.feeds >= len(r.feeds))
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
	if m.Unserved {
		t.served = false
	}
	before, _ := f.Age()
	p := hollowgrade.KeyedPage{Next: m.Next, End: max(m.End, m.Next), From: address}
	for _, k := range m.Records {
		p.Records = append(p.Records, hollowgrade.KeyedRecord{Key: k.Key, Value: k.Value, Offset: k.Offset})
	}
	f.Merge(p, sent.Add(-time.Duration(m.AgeMicros)*time.Microsecond))
	if after, ok := f.Age(); ok && after < before && (before > r.timing.stale(f.wait) || len(p.Records) > 0) {
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
