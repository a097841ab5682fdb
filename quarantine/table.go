package quarantine

import (
	"iter"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hollowgrade/hollowgrade"
)

const (
	// recordRetention is how long a request is remembered after its last loss or the expiry of its
	// block.
	recordRetention = 10 * time.Minute
	// maxRecords bounds the suspects that are remembered, 2 KB each at most. Those with the oldest
	// losses are evicted first, blocked ones last. To fill the table with blocked requests, a
	// caller has to crash three upstreams for each.
	maxRecords = 4096
	// evictionBatch is the number of records evicted at a time.
	evictionBatch = maxRecords / 8
	// trialTimeout is how long a trial counts as running without a report of its end: its gateway
	// may have crashed.
	trialTimeout = 10 * time.Second
	// trialRetryAfter is the retry delay while a trial is running: most runs end within it.
	trialRetryAfter = time.Second
	// evaluationInterval is the time between two evaluations of all new losses: a fraction of
	// [settleTime].
	evaluationInterval = 20 * time.Millisecond
	// sweepInterval is the time between two searches for records to forget.
	sweepInterval = 10 * time.Second
)

// Table keeps the state of suspects: requests that were lost, and the parts of their prompts. It is
// safe for concurrent use.
type Table struct {
	box       string
	clock     hollowgrade.Clock
	log       *log.Logger
	upstreams func(service string) int
	random    func() float64
	pending   pendingUpdate
	size      atomic.Int32 // number of records, for calls while there are none

	mu             sync.Mutex
	records        map[Suspect]*record
	partRecords    int                      // records of parts
	joint          map[Suspect]*record      // records whose block names further parts
	blockChanges   int                      // number of changes of blocks, from 1
	crashes        map[string]*crashHistory // by service
	answeredAt     map[string]time.Time     // by service, when an upstream last answered a run of this process
	unevaluated    map[Suspect]bool         // with losses that aren't evaluated yet
	lastSweep      time.Time
	lastEvaluation time.Time // of all new losses
}

// Option configures a table.
type Option func(*Table)

// WithBox sets the name of this gateway.
func WithBox(box string) Option {
	return func(t *Table) { t.box = box }
}

// WithClock sets the clock.
func WithClock(c hollowgrade.Clock) Option {
	return func(t *Table) { t.clock = c }
}

// WithLogger sets the logger.
func WithLogger(l *log.Logger) Option {
	return func(t *Table) { t.log = l }
}

// WithUpstreams sets the function that returns the number of upstreams of a service.
func WithUpstreams(f func(service string) int) Option {
	return func(t *Table) { t.upstreams = f }
}

// New returns an empty table.
func New(os ...Option) *Table {
	t := &Table{
		clock:        hollowgrade.SystemClock(),
		log:          log.Default(),
		upstreams:    func(string) int { return 1 },
		random:       rand.Float64,
		records:      map[Suspect]*record{},
		joint:        map[Suspect]*record{},
		blockChanges: 1,
		crashes:      map[string]*crashHistory{},
		answeredAt:   map[string]time.Time{},
		unevaluated:  map[Suspect]bool{},
	}
	for _, o := range os {
		o(t)
	}
	t.pending.notify = make(chan struct{}, 1)
	t.pending.log = t.log
	return t
}

// Now returns the time on the table's clock.
func (t *Table) Now() time.Time {
	return t.clock.Now()
}

// RecordLoss records a run of this process that was lost because its upstream crashed.
func (t *Table) RecordLoss(l Loss) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addLoss(l)
	t.pending.add(Update{Losses: []Loss{l}})
}

// RecordAnswer records a run of this process that its upstream answered, which clears the request
// of earlier losses, and its parts if the answer was a success.
func (t *Table) RecordAnswer(q Request, success bool) {
	t.recordAnswer(q, func(k Kind) bool { return success || k == KindRequest })
}

// RecordProgress records that an upstream goes on writing its answer to a run of this process, which
// clears the parts of the prompt. The request itself may still crash the upstream.
func (t *Table) RecordProgress(q Request) {
	t.recordAnswer(q, func(k Kind) bool { return k == KindPart })
}

func (t *Table) recordAnswer(q Request, clears func(k Kind) bool) {
	if t.size.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.answeredAt[q.Service] = now
	for r := range t.recordsOf(q) {
		if clears(r.subject.Kind) && (len(r.losses) > 0 || !r.block.Since.IsZero()) {
			t.clear(r, now, "a run of it was answered", "")
		}
	}
}

// Lift ends the block on a suspect for an operator and clears its losses. It reports whether there
// was one.
func (t *Table) Lift(s Suspect) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	r := t.records[s]
	if r == nil || !r.blocked(now) {
		return false
	}
	t.clear(r, now, "an operator lifted it", "")
	return true
}

// Blocks returns the blocks in force, the earliest first.
func (t *Table) Blocks() (hs []Block) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for _, r := range t.records {
		if r.blocked(now) {
			hs = append(hs, r.block)
		}
	}
	slices.SortFunc(hs, func(a, b Block) int { return a.Since.Compare(b.Since) })
	return hs
}

// Size returns how many suspects are remembered.
func (t *Table) Size() int {
	return int(t.size.Load())
}

// Receive applies an update of another gateway, given by its box.
func (t *Table) Receive(box string, w Update) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range w.Losses {
		t.addLoss(l)
	}
	for _, h := range w.Harmless {
		if r := t.records[h.Suspect]; r != nil {
			t.clear(r, h.At, "a peer said so", box)
		}
	}
	for _, x := range w.Trials {
		t.receiveTrial(x)
	}
	for _, h := range w.Blocks {
		t.receiveBlock(h, box)
	}
}

// receiveBlock applies a block from another gateway or the store. The lock is held.
func (t *Table) receiveBlock(h Block, from string) {
	now := t.clock.Now()
	h.Until = earlier(h.Until, now.Add(longBlockTime)) // the clock of its sender may be off
	if now.Sub(h.Until) > recordRetention {
		return
	}
	r := t.record(h.Subject)
	if !h.Since.After(r.clearedAt) || h.Until.Sub(r.block.Until) < clockSkewTolerance {
		return
	}
	wasBlocked := r.blocked(now)
	ms, _ := r.consecutive()
	t.setBlock(r, h)
	r.reportedLosses = max(h.Losses-len(ms), 0)
	t.scheduleStore(r, now, peerStoreDelay)
	if !wasBlocked && r.blocked(now) {
		t.log.Warn("request held", "kind", h.Kind, "suspect", h.Suspect(), "with", h.With, "organisation", h.Organisation, "route", h.Route, "service", h.Service,
			"losses", h.Losses, "upstreams", h.Upstreams, "odds", h.Odds, "by", h.By, "told_by", from, "for_ms", h.Until.Sub(now).Milliseconds())
	}
}

// addLoss records a loss of a request and of its parts. The lock is held.
func (t *Table) addLoss(l Loss) {
	e := t.crashes[l.Service]
	if e == nil {
		e = &crashHistory{}
		t.crashes[l.Service] = e
	}
	e.add(l)
	now := t.clock.Now()
	add := func(l Loss, position int) {
		r := t.record(l.Subject)
		r.position = position
		r.add(l, now)
		t.unevaluated[l.Suspect()] = true
	}
	for i, p := range l.Parts {
		add(l.of(p), i)
	}
	l.Parts = nil // the crash has them
	add(l, 0)
}

// recordsOf returns the records of a request and of its parts. The lock is held.
func (t *Table) recordsOf(q Request) iter.Seq[*record] {
	return func(yield func(*record) bool) {
		if r := t.records[q.Suspect()]; r != nil && !yield(r) || t.partRecords == 0 {
			return
		}
		for _, p := range q.Parts {
			if r := t.records[q.part(p).Suspect()]; r != nil && !yield(r) {
				return
			}
		}
	}
}

// record returns the record of a suspect, creating it if there is none. The lock is held.
func (t *Table) record(s Subject) *record {
	now := t.clock.Now()
	t.sweep(now)
	r := t.records[s.Suspect()]
	if r == nil {
		r = &record{}
		t.records[s.Suspect()] = r
		t.size.Add(1)
		if s.Kind == KindPart {
			t.partRecords++
		}
	}
	r.subject, r.updatedAt = s, now
	return r
}

// forget deletes the record of a suspect. The lock is held.
func (t *Table) forget(s Suspect) {
	delete(t.records, s)
	delete(t.joint, s)
	t.size.Add(-1)
	t.blockChanges++
	if s.Kind == KindPart {
		t.partRecords--
	}
}

// setBlock blocks a suspect. The lock is held.
func (t *Table) setBlock(r *record, b Block) {
	r.block = b
	t.blockChanges++
	if len(b.With) > 0 {
		t.joint[r.subject.Suspect()] = r
	} else {
		delete(t.joint, r.subject.Suspect())
	}
}

// clear clears a suspect of losses up to a time and ends its block. The lock is held.
func (t *Table) clear(r *record, at time.Time, why, peer string) {
	s, since := r.subject.Suspect(), r.block.Since
	ended := r.clear(at)
	if peer == "" {
		t.pending.add(Update{Harmless: []Harmless{{Suspect: s, At: at}}})
	}
	if s.Kind == KindPart {
		for _, o := range t.joint {
			if o.subject.Service == s.Service {
				t.widen(o, func(p hollowgrade.PartID) bool { return hollowgrade.Fingerprint(p) == s.Fingerprint }, peer)
			}
		}
	}
	if !ended {
		return
	}
	delete(t.joint, s)
	t.blockChanges++
	t.scheduleStore(r, t.clock.Now(), storeDelay(peer))
	t.log.Info("request no longer held", "suspect", s, "route", r.subject.Route, "why", why, "peer", peer,
		"held_ms", at.Sub(since).Milliseconds())
}

// sweep deletes old records, and evicts some if there are too many. The lock is held.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.lastSweep) < sweepInterval && len(t.records) < maxRecords {
		return
	}
	t.lastSweep = now
	for s, r := range t.records {
		if now.Sub(hollowgrade.Later(r.updatedAt, r.block.Until)) > recordRetention {
			t.forget(s)
		}
	}
	if len(t.records) < maxRecords {
		return
	}
	ss := slices.Collect(maps.Keys(t.records))
	// What is blocked counts as updated at the expiry of its block.
	slices.SortFunc(ss, func(a, b Suspect) int {
		x, y := t.records[a], t.records[b]
		return hollowgrade.Later(x.updatedAt, x.block.Until).Compare(hollowgrade.Later(y.updatedAt, y.block.Until))
	})
	for _, s := range ss[:evictionBatch] {
		t.forget(s)
	}
	t.log.Warn("records of lost requests evicted", "forgotten", evictionBatch, "why", "there are too many", "most", maxRecords)
}
