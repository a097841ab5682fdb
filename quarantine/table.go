package quarantine

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hollowgrade/hollowgrade"
)

const (
	// recordRetention is how long a request is remembered after its last loss or the expiry of its
	// block.
	recordRetention = 10 * time.Minute
	// maxRecords bounds the requests that are remembered, 2 KB each at most. Those with the oldest
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
	// sweepInterval is the time between two searches for records to forget.
	sweepInterval = 10 * time.Second
)

// Table keeps the state of requests that were lost. It is safe for concurrent use.
type Table struct {
	box       string
	clock     hollowgrade.Clock
	log       *log.Logger
	upstreams func(service string) int
	random    func() float64
	pending   pendingUpdate

	mu          sync.Mutex
	records     map[hollowgrade.Fingerprint]*record
	crashes     map[string]*crashHistory         // by service
	unevaluated map[hollowgrade.Fingerprint]bool // requests with losses that aren't evaluated yet
	lastSweep   time.Time
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
		clock:       hollowgrade.SystemClock(),
		log:         log.Default(),
		upstreams:   func(string) int { return 1 },
		random:      rand.Float64,
		records:     map[hollowgrade.Fingerprint]*record{},
		crashes:     map[string]*crashHistory{},
		unevaluated: map[hollowgrade.Fingerprint]bool{},
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

// Admission is the decision whether a request may be sent to an upstream.
type Admission struct {
	Granted    bool
	Trial      bool          // whether it is the only run admitted at the time
	Block      Block         // that refuses the request; zero if another trial is running
	RetryAfter time.Duration // retry delay if the request is refused
}

// Begin decides whether a request may be sent to an upstream. [Table.End] ends the run.
func (t *Table) Begin(f hollowgrade.Fingerprint) Admission {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	if r == nil {
		return Admission{Granted: true}
	}
	now := t.clock.Now()
	t.evaluate(r, now)
	_, losses := r.consecutive()
	switch {
	case r.blocked(now):
		return Admission{Block: r.block, RetryAfter: r.block.Until.Sub(now)}
	case !r.suspect():
		return Admission{Granted: true}
	case r.trialRunning(now), losses >= lossesToBlock && !r.settled(now):
		return Admission{RetryAfter: trialRetryAfter}
	}
	r.trialStart, r.localTrial = now, true
	t.pending.add(Update{Trials: []Trial{{Fingerprint: f, At: now}}})
	return Admission{Granted: true, Trial: true}
}

// End ends a run that was admitted.
func (t *Table) End(f hollowgrade.Fingerprint, l Admission) {
	if !l.Trial {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[f]; r != nil {
		r.localTrial, r.trialStart = false, time.Time{}
		t.pending.add(Update{Trials: []Trial{{Fingerprint: f, At: t.clock.Now(), Over: true}}})
	}
}

// RecordLoss records a run of this process that was lost because its upstream crashed.
func (t *Table) RecordLoss(l Loss) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addLoss(l)
	t.pending.add(Update{Losses: []Loss{l}})
}

// RecordAnswer records a run of this process that its upstream answered, which clears the request
// of earlier losses.
func (t *Table) RecordAnswer(f hollowgrade.Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[f]; r != nil && (len(r.losses) > 0 || !r.block.Since.IsZero()) {
		t.clear(r, t.clock.Now(), "a run of it was answered", "")
	}
}

// Lift ends the block on a request for an operator and clears its losses. It reports whether the
// request was blocked.
func (t *Table) Lift(f hollowgrade.Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	r := t.records[f]
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

// Has reports whether a request is remembered.
func (t *Table) Has(f hollowgrade.Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records[f] != nil
}

// Size returns how many requests are remembered.
func (t *Table) Size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

// Receive applies an update of another gateway, given by its box.
func (t *Table) Receive(box string, w Update) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range w.Losses {
		t.addLoss(l)
	}
	for _, h := range w.Harmless {
		if r := t.records[h.Fingerprint]; r != nil {
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

func (t *Table) receiveTrial(x Trial) {
	r := t.records[x.Fingerprint]
	switch {
	case r == nil || r.localTrial:
	case !x.Over:
		r.trialStart = hollowgrade.Later(r.trialStart, x.At)
	case !r.trialStart.After(x.At):
		r.trialStart = time.Time{}
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
	r.block, r.reportedLosses = h, max(h.Losses-len(ms), 0)
	t.scheduleStore(r, now, peerStoreDelay)
	if !wasBlocked && r.blocked(now) {
		t.log.Warn("request held", "fingerprint", h.Fingerprint, "organisation", h.Organisation, "route", h.Route, "service", h.Service,
			"losses", h.Losses, "upstreams", h.Upstreams, "odds", h.Odds, "by", h.By, "told_by", from, "for_ms", h.Until.Sub(now).Milliseconds())
	}
}

// addLoss records a loss. The lock is held.
func (t *Table) addLoss(l Loss) {
	e := t.crashes[l.Service]
	if e == nil {
		e = &crashHistory{}
		t.crashes[l.Service] = e
	}
	e.add(l)
	t.record(l.Subject).add(l, t.clock.Now())
	t.unevaluated[l.Fingerprint] = true
}

// record returns the record of a request, creating it if there is none. The lock is held.
func (t *Table) record(s Subject) *record {
	now := t.clock.Now()
	t.sweep(now)
	r := t.records[s.Fingerprint]
	if r == nil {
		r = &record{subject: s}
		t.records[s.Fingerprint] = r
	}
	r.updatedAt = now
	return r
}

// clear clears a request of losses up to a time and ends its block. The lock is held.
func (t *Table) clear(r *record, at time.Time, why, peer string) {
	since := r.block.Since
	ended := r.clear(at)
	if peer == "" {
		t.pending.add(Update{Harmless: []Harmless{{Fingerprint: r.subject.Fingerprint, At: at}}})
	}
	if !ended {
		return
	}
	t.scheduleStore(r, t.clock.Now(), storeDelay(peer))
	t.log.Info("request no longer held", "fingerprint", r.subject.Fingerprint, "route", r.subject.Route, "why", why, "peer", peer,
		"held_ms", at.Sub(since).Milliseconds())
}

// evaluate blocks a request if its losses call for it and have settled. The lock is held.
func (t *Table) evaluate(r *record, now time.Time) {
	if r.blocked(now) || len(r.losses) == 0 {
		return
	}
	b := t.updateOdds(r, now)
	ms, n := r.consecutive()
	odds := r.odds(ms)
	d := blockTime(n, odds)
	if d == 0 || !r.settled(now) || !r.block.Until.Before(r.losses[len(r.losses)-1].Lost) {
		return
	}
	r.block = Block{Subject: r.subject, Since: now, Until: now.Add(d), Losses: n, Odds: odds, Upstreams: r.namedUpstreams(), By: t.box}
	t.scheduleStore(r, now, 0)
	t.log.Warn("request held", "fingerprint", r.subject.Fingerprint, "organisation", r.subject.Organisation, "route", r.subject.Route, "service", r.subject.Service,
		"losses", n, "upstreams", r.block.Upstreams, "odds", odds, "upstreams_in_all", b.upstreamCount, "ends_without_it", b.crashes,
		"at_once", b.simultaneous, "by", t.box, "for_ms", d.Milliseconds())
	t.pending.add(Update{Blocks: []Block{r.block}})
	t.releaseExplained(r, now)
}

// evaluateSettled evaluates the requests whose new losses have settled. The lock is held.
func (t *Table) evaluateSettled(now time.Time) {
	for f := range t.unevaluated {
		r := t.records[f]
		if r != nil && !r.settled(now) {
			continue
		}
		delete(t.unevaluated, f)
		if r != nil {
			t.evaluate(r, now)
		}
	}
}

// updateOdds updates the odds of the losses of a request while crashes around them are kept, and
// returns the background of the last loss. The lock is held.
func (t *Table) updateOdds(r *record, now time.Time) (b background) {
	losses := r.allConsecutive()
	explained := func(x *crash) bool { return x != nil && t.explained(x, r, losses) }
	for i := range r.losses {
		m := &r.losses[i]
		if now.Sub(m.Lost) > crashRateWindow {
			if !m.oddsFinal {
				m.odds = 1 // crashes around it are no longer kept
			}
			continue
		}
		e := t.crashes[m.Service]
		b = e.backgroundOf(m.Loss, explained)
		b.upstreamCount = t.upstreams(m.Service)
		m.odds, m.oddsFinal, m.explained = lossOdds(m.Loss, b), m.settled(now), explained(e.crashOf(m.Loss))
	}
	return b
}

// explained reports whether a crash is attributed to another request than that of a record with some
// consecutive losses. The lock is held.
func (t *Table) explained(x *crash, r *record, losses int) bool {
	return slices.ContainsFunc(x.lostRuns, func(u lostRun) bool {
		o := t.records[u.fingerprint]
		return o != nil && o != r && o.explains(x.at, losses)
	})
}

// releaseExplained ends the blocks on requests whose losses the block on another one explains. The lock
// is held.
func (t *Table) releaseExplained(by *record, now time.Time) {
	for _, r := range t.records {
		if r == by || !r.blocked(now) || r.reportedLosses > 0 || len(r.losses) == 0 {
			continue
		}
		t.updateOdds(r, now)
		if ms, n := r.consecutive(); blockTime(n, r.odds(ms)) == 0 {
			t.clear(r, now, "another request explains its losses", "")
		}
	}
}

// sweep deletes old records, and evicts some if there are too many. The lock is held.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.lastSweep) < sweepInterval && len(t.records) < maxRecords {
		return
	}
	t.lastSweep = now
	for f, r := range t.records {
		if now.Sub(hollowgrade.Later(r.updatedAt, r.block.Until)) > recordRetention {
			delete(t.records, f)
		}
	}
	if len(t.records) < maxRecords {
		return
	}
	fs := make([]hollowgrade.Fingerprint, 0, len(t.records))
	for f := range t.records {
		fs = append(fs, f)
	}
	// A blocked request counts as updated at the expiry of its block.
	slices.SortFunc(fs, func(a, b hollowgrade.Fingerprint) int {
		x, y := t.records[a], t.records[b]
		return hollowgrade.Later(x.updatedAt, x.block.Until).Compare(hollowgrade.Later(y.updatedAt, y.block.Until))
	})
	for _, f := range fs[:evictionBatch] {
		delete(t.records, f)
	}
	t.log.Warn("records of lost requests evicted", "forgotten", evictionBatch, "why", "there are too many", "most", maxRecords)
}
