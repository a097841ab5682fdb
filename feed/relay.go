package feed

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/peer"
)

const (
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
