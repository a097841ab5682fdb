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
	// servedReplyTimeout is how long a process goes without a reply from a process that the store
	// serves before it suspects that the store serves no reader, whatever they report: those that
	// it polls may be gone. It is two poll intervals, or one and its timeout. A process that
	// reaches no peer then reads the store itself.
	servedReplyTimeout = 900 * time.Millisecond
	// backupProbesPerSecond is how many probes a second all processes other than readers make
	// together during an outage, once all backups are due. A few that get an answer are enough for
	// all.
	backupProbesPerSecond = 20
	// urgentPollPeriod is how long a process polls at the urgent interval while it gets no served
	// reply: a few polls longer than until the last backups are due.
	urgentPollPeriod = 3 * time.Second
)

// Relay keeps feeds up to date from peers: a few processes read the store, and the others poll
// those. It also updates a process that the store does not serve.
type Relay struct {
	self    string
	hall    string
	feeds   []*Feed
	peers   func() []string
	placeOf func(address string) Place
	dial    peer.Dialer
	clock   hollowgrade.Clock
	log     *log.Logger

	received, wasted atomic.Int64 // bytes that peers sent; those that were discarded
	exchanges        sync.WaitGroup
	pollNow          chan struct{} // signals a round in which no polled peer was served: others are polled at once

	breaker *Breaker
	contact *contact
	started time.Time   // when this process started
	listed  func() bool // whether the list of processes has been read

	timing Timing

	rankedMu sync.Mutex
	ranked   []string // cached ranking of all processes, readers first
	rankedAt time.Time
	rankedOf []string // processes that were ranked
	listedAt time.Time
	// rankedList is whether the list of processes had been read before they were ranked.
	rankedList bool

	mu              sync.Mutex
	conns           map[string]*peer.Conn
	peerStatuses    map[string]peerStatus // last reported status of each peer
	polling         map[string]bool       // peers that are being polled
	outstanding     int                   // pending polls of the last round, if none has reached a served peer
	noneServed      bool                  // whether no peer of a round was served by the store, and no served one has replied since
	lastServedReply time.Time             // time of the last complete reply of a served peer, or the start time of this process
	lastReply       time.Time             // time of the last reply of any peer
	lastProgress    time.Time             // time of the last reply with records, or of a change of the list of processes
	isBackup        bool                  // whether this process reads as a backup
	standsIn        bool                  // whether the store served this process as a backup, and has served no peer since it stopped
	outageSince     time.Time             // since when the store has seemed to serve no reader; zero if it does
	lastReads       readDecision          // last result of Reads
	lastReadsLarge  readDecision          // last result of ReadsLarge
	transfers       map[*Feed]*transfer   // under way
	paging          map[*Feed]bool        // feeds that are being read page by page
}

// RelayOption configures a relay.
type RelayOption func(*Relay)

// WithRelayClock sets the clock.
func WithRelayClock(c hollowgrade.Clock) RelayOption {
	return func(r *Relay) { r.clock = c }
}

// WithRelayLogger sets the logger.
func WithRelayLogger(l *log.Logger) RelayOption {
	return func(r *Relay) { r.log = l }
}

// WithDialer sets the dialer for connections to peers.
func WithDialer(d peer.Dialer) RelayOption {
	return func(r *Relay) { r.dial = d }
}

// WithPlaces sets the function that returns the location of a process, this one included.
func WithPlaces(f func(address string) Place) RelayOption {
	return func(r *Relay) { r.placeOf = f }
}

// WithListed sets the function that reports whether the list of processes has been read. Until then
// only a few from the settings are known, all of which would seem to be readers.
func WithListed(f func() bool) RelayOption {
	return func(r *Relay) { r.listed = f }
}

// WithRelayTiming sets the intervals of polls and the delays of backups.
func WithRelayTiming(t Timing) RelayOption {
	return func(r *Relay) { r.timing = t }
}

// NewRelay returns a relay for the process with the address self. Peers returns the current
// addresses of the others. Feeds are added with [Relay.Add].
func NewRelay(self string, peers func() []string, os ...RelayOption) *Relay {
	r := &Relay{
		self:         self,
		peers:        peers,
		placeOf:      func(string) Place { return Place{} },
		listed:       func() bool { return true },
		dial:         peer.TCP(),
		clock:        hollowgrade.SystemClock(),
		log:          log.Default(),
		timing:       NewTiming(nominalViewAge),
		conns:        map[string]*peer.Conn{},
		peerStatuses: map[string]peerStatus{},
		polling:      map[string]bool{},
		pollNow:      make(chan struct{}, 1),
		transfers:    map[*Feed]*transfer{},
		paging:       map[*Feed]bool{},
	}
	for _, o := range os {
		o(r)
	}
	r.hall = r.placeOf(self).Hall
	r.started = r.clock.Now()
	r.lastServedReply = r.started
	r.breaker = NewBreaker(r.clock, r.probeInterval)
	r.contact = &contact{clock: r.clock}
	return r
}

// Breaker returns the breaker that all callers of the store in this process share.
func (r *Relay) Breaker() *Breaker {
	return r.breaker
}

// probeInterval is the mean time between probes of a store that does not answer. Readers, isolated
// processes and those that the store served in place of the readers use the exponential delay alone;
// all others together make [backupProbesPerSecond].
func (r *Relay) probeInterval() time.Duration {
	if slices.Contains(r.readers(), r.self) || r.isolatedOrStandsIn() {
		return 0
	}
	return time.Duration(len(r.peers())) * time.Second / backupProbesPerSecond
}

// isolatedOrStandsIn reports whether no peer has replied lately, or this process stands in for the
// readers: after an outage the store may serve nobody else.
func (r *Relay) isolatedOrStandsIn() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.standsIn || r.clock.Since(r.lastReply) > servedReplyTimeout
}

// Add adds feeds. It is called before Run.
func (r *Relay) Add(fs ...*Feed) {
	r.feeds = append(r.feeds, fs...)
	for _, f := range fs {
		f.contact = r.contact
	}
}

// Reads reports whether this process has to read the store itself, as a reader or as a backup.
func (r *Relay) Reads() bool {
	return r.updateReads(r.readers(), &r.lastReads, "all")
}

// ReadsLarge reports the same for topics with large records. While a peer sends one, this process
// does not read another copy from the store, since both would share one link.
func (r *Relay) ReadsLarge() bool {
	rs := r.readers()
	if r.transferring() {
		return slices.Contains(rs, r.self)
	}
	return r.updateReads(rs, &r.lastReadsLarge, "large")
}

// readDecision is whether this process reads some of the topics itself.
type readDecision bool

// updateReads reports whether this process has to read topics that the given readers read for all,
// and logs when the decision changes.
func (r *Relay) updateReads(readers []string, last *readDecision, topics string) bool {
	reader := slices.Contains(readers, r.self) && !r.isStarting(len(readers))
	higherRanked := r.higherRanked()
	served := r.isServed()
	stale := len(r.staleFeeds()) > 0
	starting := r.PeersFirst()
	group := backupGroup(max(len(higherRanked)-len(readers), 0))
	becameBackup := false
	defer func() {
		if becameBackup {
			r.breaker.SuspectOutage() // without the lock, since the breaker calls this relay
		}
	}()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateOutage(readers, served, stale, starting)
	wasBackup := r.isBackup
	r.isBackup = r.actsAsBackup(group, higherRanked, served)
	becameBackup = !reader && r.isBackup && !wasBackup
	reads := reader || r.isBackup
	if readDecision(reads) != *last {
		*last = readDecision(reads)
		r.log.Info("reading of the store changed", "topics", topics, "reads", reads, "reader", reader, "turn", group, "served", served,
			"told_ms", r.clock.Since(r.lastServedReply).Milliseconds(), "doubted_ms", r.outageMillis(), "stale", stale, "better_served", r.countServed(higherRanked))
	}
	return reads
}

// outageMillis returns how long the store has seemed to serve no reader, for logs; -1 if it does.
// The caller holds the lock.
func (r *Relay) outageMillis() int64 {
	if r.outageSince.IsZero() {
		return -1
	}
	return r.clock.Since(r.outageSince).Milliseconds()
}

const (
	// peersFirstTime is how long a process that has just started, and does not read the store for the
	// others, waits for data of its peers before it reads the store itself. It is shorter than the time for
	// which callers' connections wait at the start of a process.
	peersFirstTime = 300 * time.Millisecond
	// maxPeersFirstTime is the same while peers send data: as long as the largest configuration takes
	// to reach all processes.
	maxPeersFirstTime = 2 * time.Second
)

// PeersFirst reports whether this process should wait for data of its peers rather than read the store
// for itself alone: it has just started, and each read of all newest records costs as many calls as
// there are pages of them.
func (r *Relay) PeersFirst() bool {
	now := r.clock.Now()
	if now.Sub(r.started) >= maxPeersFirstTime {
		return false
	}
	if !r.ranksList() {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(hollowgrade.Later(r.started, r.lastProgress)) < peersFirstTime || len(r.transfers) > 0
}

// noteProgress records that a peer has sent records, or that the list of processes has been read.
func (r *Relay) noteProgress() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastProgress = r.clock.Now()
}

// ProcessesChanged has to be called when the list of processes has changed. A process that lacks data
// polls its peers at once.
func (r *Relay) ProcessesChanged() {
	r.rankedMu.Lock()
	r.listedAt = time.Time{}
	r.rankedMu.Unlock()
	r.noteProgress()
	if !slices.ContainsFunc(r.feeds, func(f *Feed) bool { return !f.complete() }) {
		return
	}
	select {
	case r.pollNow <- struct{}{}:
	default: // a poll is due already
	}
}

// forwards reports whether this process is a source that does not read the store itself, and a
// process that the store serves has replied to it lately.
func (r *Relay) forwards() bool {
	if slices.Contains(r.readers(), r.self) || !slices.Contains(r.sources(), r.self) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.lacksServedReply()
}

// NewServer returns a server for the feeds of the relay at a box with a link of so many Mbit/s, 0 if
// unknown.
func (r *Relay) NewServer(link float64) *Server {
	s := NewServer(link, r.feeds...)
	s.forwards = r.forwards
	return s
}

// isStarting reports whether this process has just started and does not know the others yet. Whether
// it reads the store for them is decided with their list.
func (r *Relay) isStarting(readers int) bool {
	return (readers <= 1 || !r.ranksList()) && r.clock.Since(r.started) <= servedReplyTimeout
}

// Run polls peers until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	var lastPoll time.Time
	for r.waitForPoll(ctx) {
		if r.clock.Since(lastPoll) < r.timing.PollInterval && !r.pollsUrgently() {
			continue
		}
		lastPoll = r.clock.Now()
		for _, a := range r.startRound(r.pollTargets()) {
			r.exchanges.Go(func() {
				defer r.endPoll(a)
				r.poll(ctx, a)
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

// pollsUrgently reports whether this process polls at the urgent interval since no served process
// replies. It does so only until the backups should be known, since in a long outage there are
// none.
func (r *Relay) pollsUrgently() bool {
	served := r.isServed()
	r.mu.Lock()
	defer r.mu.Unlock()
	return !served && r.lacksServedReply() && r.clock.Since(r.lastServedReply) <= urgentPollPeriod
}

// waitForPoll waits until peers may have to be polled. It returns false if ctx ends first.
func (r *Relay) waitForPoll(ctx context.Context) bool {
	t := r.clock.NewTimer(r.timing.UrgentPollInterval)
	defer t.Stop()
	select {
	case <-t.Chan():
		return true
	case <-r.pollNow:
		return true
	case <-ctx.Done():
		return false
	}
}
