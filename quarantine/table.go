package quarantine

import (
	"cmp"
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

// Table keeps the state of suspects: requests that were lost, and the parts of their prompts. It is safe for concurrent use.
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

// Admission is the decision whether a request may be sent to an upstream.
type Admission struct {
	Granted    bool
	Trial      bool          // whether it is the only run of a suspect admitted at the time
	Block      Block         // that refuses the request, the one that ends last; zero if another trial is running
	RetryAfter time.Duration // retry delay if the request is refused

	trials []Suspect
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

// Begin decides whether a request may be sent to an upstream. [Table.End] ends the run.
func (t *Table) Begin(q Request) (a Admission) {
	if t.size.Load() == 0 {
		return Admission{Granted: true}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	if now.Sub(t.lastEvaluation) >= evaluationInterval {
		t.evaluateSettled(now)
	}
	var suspects []*record
	for r := range t.recordsOf(q) {
		t.evaluate(r, now)
		_, losses := r.consecutive()
		switch {
		case r.blocks(q, now):
			if left := r.block.Until.Sub(now); left > a.RetryAfter {
				a.Block, a.RetryAfter = r.block, left
			}
		case !r.suspect():
		case r.trialRunning(now), losses >= lossesToBlock && !r.settled(now):
			a.RetryAfter = max(a.RetryAfter, trialRetryAfter)
		default:
			suspects = append(suspects, r)
		}
	}
	if a.RetryAfter > 0 {
		return a
	}
	return t.admit(suspects, now)
}

// Blocked returns the refusal of a request that is blocked, and false if it isn't.
func (t *Table) Blocked(q Request) (a Admission, blocked bool) {
	if t.size.Load() == 0 {
		return a, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for r := range t.recordsOf(q) {
		if left := r.block.Until.Sub(now); r.blocks(q, now) && left > a.RetryAfter {
			a.Block, a.RetryAfter = r.block, left
		}
	}
	return a, a.RetryAfter > 0
}

// admit admits a run, alone if its request has suspects. The lock is held.
func (t *Table) admit(suspects []*record, now time.Time) Admission {
	a := Admission{Granted: true, Trial: len(suspects) > 0}
	for _, r := range suspects {
		s := r.subject.Suspect()
		r.trialStart, r.localTrial = now, true
		a.trials = append(a.trials, s)
		t.pending.add(Update{Trials: []Trial{{Suspect: s, At: now}}})
	}
	return a
}

// End ends a run that was admitted.
func (t *Table) End(a Admission) {
	if !a.Trial {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range a.trials {
		if r := t.records[s]; r != nil {
			t.endTrial(r)
		}
	}
}

// endTrial ends the trial of a suspect, unless its outcome is not known yet. The lock is held.
func (t *Table) endTrial(r *record) {
	undecided := r.undecided
	r.localTrial, r.undecided = false, false
	if undecided {
		return
	}
	r.trialStart = time.Time{}
	t.pending.add(Update{Trials: []Trial{{Suspect: r.subject.Suspect(), At: t.clock.Now(), Over: true}}})
}

// RecordUnconfirmed records a lost run of this process of which it isn't known yet whether its upstream
// crashed. If it was a trial, the next one waits until that is known, [trialTimeout] at most.
func (t *Table) RecordUnconfirmed(q Request) {
	if t.size.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for r := range t.recordsOf(q) {
		r.undecided = r.localTrial
	}
}

// Suspected reports whether a request was lost before, or one of its parts is suspected of crashing
// upstreams.
func (t *Table) Suspected(q Request) bool {
	if t.size.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for r := range t.recordsOf(q) {
		if r.subject.Kind == KindRequest || r.blocks(q, now) || r.suspect() {
			return true
		}
	}
	return false
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
	if t.size.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for r := range t.recordsOf(q) {
		if (r.subject.Kind == KindRequest || success) && (len(r.losses) > 0 || !r.block.Since.IsZero()) {
			t.clear(r, t.clock.Now(), "a run of it was answered", "")
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

func (t *Table) receiveTrial(x Trial) {
	r := t.records[x.Suspect]
	switch {
	case r == nil || r.localTrial:
	case !x.Over && slices.ContainsFunc(r.losses, func(m keptLoss) bool { return m.Sent.After(x.At) }): // already decided
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

// widen removes parts from those that a blocked request has beside the blocked part. The lock is held.
func (t *Table) widen(r *record, harmless func(p hollowgrade.PartID) bool, peer string) {
	b := r.block
	b.With = slices.DeleteFunc(slices.Clone(b.With), harmless)
	if len(b.With) == len(r.block.With) {
		return
	}
	t.setBlock(r, b)
	r.storedUntil = time.Time{}
	t.scheduleStore(r, t.clock.Now(), storeDelay(peer))
	t.log.Info("request held by fewer parts", "suspect", r.subject.Suspect(), "with", b.With)
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

// evaluate blocks a suspect if its losses call for it and have settled. The lock is held.
func (t *Table) evaluate(r *record, now time.Time) {
	if len(r.losses) == 0 {
		return
	}
	t.updateOdds(r, now)
	if r.blocked(now) {
		t.widenByLosses(r)
		return
	}
	ms, n := r.consecutive()
	odds := r.odds(ms)
	d := blockTime(n, odds)
	if d == 0 || !r.settled(now) || !r.block.Until.Before(r.losses[len(r.losses)-1].Lost) || !r.implicated(crashesToBlockPart) {
		return
	}
	h := Block{Subject: r.subject, With: t.inseparable(r), Since: now, Until: now.Add(d), Losses: n, Odds: odds, Upstreams: r.namedUpstreams(), By: t.box}
	t.setBlock(r, h)
	t.scheduleStore(r, now, 0)
	b := t.backgroundOf(r, r.losses[len(r.losses)-1].Loss)
	t.log.Warn("request held", "kind", h.Kind, "suspect", h.Suspect(), "with", h.With, "organisation", h.Organisation, "route", h.Route, "service", h.Service,
		"losses", n, "upstreams", h.Upstreams, "odds", odds, "unaccounted", r.unaccounted, "upstreams_in_all", b.upstreamCount, "ends_without_it", b.crashes,
		"at_once", b.simultaneous, "by", t.box, "for_ms", d.Milliseconds())
	t.pending.add(Update{Blocks: []Block{h}})
	t.releaseExplained(r, now)
}

// inseparable returns the parts that all lost runs with a part have beside it, and that no run was
// answered with since the first of them was lost. The lock is held.
func (t *Table) inseparable(r *record) []hollowgrade.PartID {
	if r.subject.Kind == KindRequest {
		return nil
	}
	first := r.losses[0].Lost
	return slices.DeleteFunc(commonParts(t.crashesOf(r.losses), r.subject.Suspect()), func(p hollowgrade.PartID) bool {
		o := t.records[Suspect{KindPart, hollowgrade.Fingerprint(p), r.subject.Service}]
		return o == nil || o.clearedAt.After(first)
	})
}

// widenByLosses drops the parts beside a blocked one without which runs with it were lost. The lock is
// held.
func (t *Table) widenByLosses(r *record) {
	if len(r.block.With) == 0 {
		return
	}
	common := commonParts(t.crashesOf(r.losses), r.subject.Suspect())
	t.widen(r, func(p hollowgrade.PartID) bool { return !slices.Contains(common, p) }, "")
}

// crashesOf returns the crashes of those losses that nothing explains, as far as they are kept. The
// lock is held.
func (t *Table) crashesOf(ms []keptLoss) (xs []*crash) {
	for _, m := range ms {
		if x := t.crashes[m.Service].crashOf(m.Loss); x != nil && !m.explained {
			xs = append(xs, x)
		}
	}
	return xs
}

// evaluateSettled evaluates the suspects whose new losses have settled: parts first, among them those
// with fewer losses, and among these the later ones in their prompts, which fewer prompts share. The
// lock is held.
func (t *Table) evaluateSettled(now time.Time) {
	t.lastEvaluation = now
	var rs []*record
	for s := range t.unevaluated {
		r := t.records[s]
		if r != nil && !r.settled(now) {
			continue
		}
		delete(t.unevaluated, s)
		if r != nil {
			rs = append(rs, r)
		}
	}
	slices.SortFunc(rs, func(a, b *record) int {
		return cmp.Or(cmp.Compare(b.subject.Kind, a.subject.Kind), cmp.Compare(len(a.losses), len(b.losses)), cmp.Compare(b.position, a.position),
			slices.Compare(a.subject.Fingerprint[:], b.subject.Fingerprint[:]))
	})
	for _, r := range rs {
		t.evaluate(r, now)
	}
}

// updateOdds updates the odds of the losses of a suspect while crashes around them are kept: of those
// that are new or haven't settled, and of all after a change of blocks or of the number of its losses.
// The lock is held.
func (t *Table) updateOdds(r *record, now time.Time) {
	losses := r.allConsecutive()
	all := r.judgedBlocks != t.blockChanges || r.judgedLosses != losses
	changed := false
	for i := range r.losses {
		m := &r.losses[i]
		switch {
		case m.oddsFinal && !all:
		case now.Sub(m.Lost) <= crashRateWindow:
			m.odds, m.oddsFinal = lossOdds(m.Loss, t.backgroundOf(r, m.Loss)), m.settled(now)
			m.explained = t.explained(t.crashes[m.Service].crashOf(m.Loss), r, losses)
			changed = true
		case !m.oddsFinal:
			m.odds, m.oddsFinal = 1, true // crashes around it are no longer kept
		}
	}
	r.judgedBlocks, r.judgedLosses = t.blockChanges, losses
	if ms, n := r.consecutive(); changed && n >= lossesForTrials && r.subject.Kind == KindPart && r.block.Since.IsZero() {
		r.unaccounted = unaccounted(t.crashesOf(ms), r.subject.Suspect())
	}
}

// backgroundOf returns the crashes around a loss of a suspect. The lock is held.
func (t *Table) backgroundOf(r *record, l Loss) background {
	losses := r.allConsecutive()
	b := t.crashes[l.Service].backgroundOf(l, func(x *crash) bool { return t.explained(x, r, losses) })
	b.upstreamCount = t.upstreams(l.Service)
	return b
}

// explained reports whether a crash is attributed to another suspect than that of a record with some
// consecutive losses. The lock is held.
func (t *Table) explained(x *crash, r *record, losses int) bool {
	return x != nil && slices.ContainsFunc(t.explanations(x), func(o *record) bool {
		return o != r && o.subject.Kind >= r.subject.Kind && o.explains(x.at, losses)
	})
}

// explanations returns the records of what is or was blocked and was lost in a crash. The lock is held.
func (t *Table) explanations(x *crash) []*record {
	if x.explainedAt == t.blockChanges {
		return x.explanations
	}
	x.explainedAt, x.explanations = t.blockChanges, nil
	for _, u := range x.lostRuns {
		for o := range t.recordsOf(u.Request) {
			if !o.block.Since.IsZero() && u.hasAll(o.block.With) && !slices.Contains(x.explanations, o) {
				x.explanations = append(x.explanations, o)
			}
		}
	}
	return x.explanations
}

// releaseExplained ends the blocks on suspects whose losses the block on another one explains. The lock
// is held.
func (t *Table) releaseExplained(by *record, now time.Time) {
	for _, r := range t.records {
		if r == by || !r.blocked(now) || r.reportedLosses > 0 || len(r.losses) == 0 {
			continue
		}
		t.updateOdds(r, now)
		if ms, n := r.consecutive(); blockTime(n, r.odds(ms)) == 0 {
			t.clear(r, now, "the crashes are explained", "")
		}
	}
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
