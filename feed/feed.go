// Package feed keeps the newest record of each key of a topic of the
// platform's store, and knows how fresh that view is. A process that the store
// turns away learns records and freshness from processes that it serves.
package feed

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/charmbracelet/log"

	"github.com/hollowgrade/hollowgrade"
)

const (
	// lagShare of lagShare + 1 parts of what answers took too long is left with each that does not: a store
	// that has become slow is allowed for at once, and for some answers more.
	lagShare = 7
	// defaultWait is how long one read waits at the store for a record.
	defaultWait = 1500 * time.Millisecond
	// answerMargin is how long a read may take beyond its wait until its answer
	// begins, and how long nothing more of an answer may come: a few round trips,
	// and the store's own time. The answer as a whole has no bound in time. With one
	// of 2.2 s, reads of a configuration of 0.8 MB were cut after 655 to 770 KB on a
	// link of 20 Mbit/s that was in use otherwise, and begun anew for good.
	answerMargin = 700 * time.Millisecond
	// newestMargin is the same for the reading of all newest records, which the store
	// begins to answer later while many start. A start that falls into an outage waits
	// that long for an answer that never comes; peers tell meanwhile.
	newestMargin = 3 * time.Second
	// DefaultMaxValue is the size in bytes of the largest value that is taken.
	DefaultMaxValue = 8 << 20
	// keptBases is how many earlier values of a key are kept where they are large, so
	// that a peer that is a few changes behind is sent what differs.
	keptBases = 3
	// readPause is the least time from a read that gave records to the next one.
	// Records come in bursts, each read has its price, and what changed has to be
	// in force within two seconds.
	readPause = 250 * time.Millisecond
	// followPause is how often a process that does not read the store looks
	// whether it has to.
	followPause = 100 * time.Millisecond
	// The pauses between reads that fail.
	firstPause = 100 * time.Millisecond
	lastPause  = time.Second
)

// Change is a record that has become the newest of its key.
type Change struct {
	hollowgrade.KeyedRecord
	// From is the process that told it; empty for the store itself.
	From string
	// MayReturn is until when a dropped key may come back by itself: a read had
	// failed not long before the record came, or the view was stale, so that it
	// may tell of what the store did while it was away. It is zero otherwise.
	MayReturn time.Time
}

// Source names in logs where the record came from.
func (c Change) Source() string {
	return source(c.From)
}

// Feed is a view of one topic. It is safe for concurrent use.
type Feed struct {
	name   string
	topic  hollowgrade.Topic
	reads  func() bool // whether this process reads the store itself just now
	store  *Access
	clock  hollowgrade.Clock
	log    *log.Logger
	wait   time.Duration
	timing Timing
	most   int // bytes of the largest value that is taken

	// order is held while a page is taken, so that watchers are told of one after
	// another. A watcher may take long over a large value, and mu is not held
	// meanwhile: each call that comes asks for the view's age.
	order    sync.Mutex
	watchers []func([]Change)

	mu       sync.Mutex
	newest   map[string]hollowgrade.KeyedRecord
	earlier  map[string][]hollowgrade.KeyedRecord // large values before the newest, latest first
	next     int64                                // offset up to which all is known
	missing  []missing                            // records that are known to be there and are not taken yet, by offset
	fresh    time.Time                            // when the read was sent that reached the topic's end
	synced   bool                                 // whether reading on from next is possible
	away     bool                                 // whether the last read failed
	failed   time.Time                            // when a read failed last
	follows  bool                                 // whether this process makes no reads now
	answered bool                                 // whether the store has answered one since it makes them
	due      time.Time                            // when the answer to the read under way is overdue, or to the next one
	lag      time.Duration                        // that answers take lately beyond the wait
	forms    forms
}

// missing is a record that a peer has told of, without its value.
type missing struct {
	offset int64
	heard  time.Time // when this process first heard of it
}

// Option changes a feed as it is made.
type Option func(*Feed)

// WithClock sets the clock.
func WithClock(c hollowgrade.Clock) Option {
	return func(f *Feed) { f.clock = c }
}

// WithLogger sets the logger.
func WithLogger(l *log.Logger) Option {
	return func(f *Feed) { f.log = l }
}

// WithWait sets how long one read waits at the store for a record. A view is
// at most that much and the time of an answer old while the store serves.
func WithWait(d time.Duration) Option {
	return func(f *Feed) { f.wait = d }
}

// WithTiming sets when answers of the store are overdue.
func WithTiming(t Timing) Option {
	return func(f *Feed) { f.timing = t }
}

// WithReader sets whether this process reads the store itself. While it does
// not, the view lives on what peers tell; it is read once in any case.
func WithReader(f func() bool) Option {
	return func(d *Feed) { d.reads = f }
}

// WithAccess shares with other feeds what is known of the way to the store.
func WithAccess(a *Access) Option {
	return func(f *Feed) { f.store = a }
}

// WithMaxValue sets the size in bytes of the largest value that is taken.
func WithMaxValue(n int) Option {
	return func(f *Feed) { f.most = n }
}

// New returns a feed of the topic. Name is what logs and peers call it.
func New(name string, t hollowgrade.Topic, os ...Option) *Feed {
	f := &Feed{
		name:    name,
		topic:   t,
		reads:   func() bool { return true },
		clock:   hollowgrade.SystemClock(),
		log:     log.Default(),
		wait:    defaultWait,
		timing:  NewTiming(viewBound),
		most:    DefaultMaxValue,
		newest:  map[string]hollowgrade.KeyedRecord{},
		earlier: map[string][]hollowgrade.KeyedRecord{},
	}
	for _, o := range os {
		o(f)
	}
	if f.store == nil {
		f.store = NewAccess(f.clock, func() time.Duration { return 0 })
	}
	return f
}

// Name returns the name of the feed.
func (f *Feed) Name() string {
	return f.name
}

// Watch adds a function that is told of changes, in order, and first of all
// that stand now. It must not add a watcher or merge a page.
func (f *Feed) Watch(w func([]Change)) {
	f.order.Lock()
	defer f.order.Unlock()
	f.watchers = append(f.watchers, w)
	if cs := f.standing(); len(cs) > 0 {
		w(cs)
	}
}

// standing returns the newest records as changes.
func (f *Feed) standing() (cs []Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.newest {
		cs = append(cs, Change{KeyedRecord: r})
	}
	return cs
}

// Fresh returns the latest moment of which it is known that the view had all
// that stood in the topic; the zero time if there is none.
func (f *Feed) Fresh() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fresh
}

// Age returns how long ago that moment was, and false if there is none.
func (f *Feed) Age() (time.Duration, bool) {
	hollowgrade.Notice(f.clock) // a key that was revoked while the machine was suspended must not seem good
	t := f.Fresh()
	return f.clock.Since(t), !t.IsZero()
}

// Run follows the topic until ctx ends. The pauses after failures are those of this
// topic: the store may serve others meanwhile.
func (f *Feed) Run(ctx context.Context) {
	p := backoff.NewExponentialBackOff()
	p.InitialInterval = firstPause
	p.MaxInterval = lastPause
	for ctx.Err() == nil {
		if f.follow(f.complete() && !f.reads()) {
			hollowgrade.Sleep(ctx, f.clock, f.timing.Urgent)
			continue
		}
		try, wait := f.store.Begin()
		if wait > 0 {
			hollowgrade.Sleep(ctx, f.clock, wait)
			continue
		}
		sent := f.clock.Now()
		records, err := f.step(ctx, sent, try)
		f.store.Note(try, err == nil || errors.Is(err, hollowgrade.ErrTrimmed) || ctx.Err() != nil)
		if err == nil {
			p.Reset()
			f.regained()
			if records > 0 {
				hollowgrade.Sleep(ctx, f.clock, readPause-f.clock.Since(sent))
			}
			continue
		}
		if errors.Is(err, hollowgrade.ErrTrimmed) {
			f.log.Info("history of the topic is gone, reading its newest records", "feed", f.name)
			continue
		}
		if ctx.Err() == nil {
			f.lost(err)
			hollowgrade.Sleep(ctx, f.clock, p.NextBackOff())
		}
	}
}

// follow notes whether this process follows others for now, and returns that.
func (f *Feed) follow(follows bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.follows && !follows {
		f.due = f.clock.Now().Add(readPause + f.timing.Late) // the first read may have to wait for that of another topic
	}
	f.follows = follows
	f.answered = f.answered && !follows
	return follows
}

// complete reports whether the view has ever been complete.
func (f *Feed) complete() bool {
	return !f.Fresh().IsZero()
}

// step makes one read, sent at sent, and takes what it gives. It returns how many
// records that were. One that tries whether the store answers does not wait there.
func (f *Feed) step(ctx context.Context, sent time.Time, try bool) (records int, err error) {
	next, synced, wait := f.plan(sent, try)
	if !synced {
		p, err := f.topic.Newest(ctx, newestMargin)
		if err == nil {
			f.resync(p, sent)
		}
		return len(p.Records), err
	}
	p, err := f.topic.Wait(ctx, next, wait, answerMargin)
	switch {
	case errors.Is(err, hollowgrade.ErrTrimmed):
		f.mu.Lock()
		f.synced = false
		f.mu.Unlock()
	case err == nil:
		f.take(p, f.seen(sent, wait, len(p.Records)))
	}
	return len(p.Records), err
}

// plan returns where the next read, sent at sent, begins, and how long it waits: the view gets
// no older than [Timing.due] says until the answer is there.
func (f *Feed) plan(sent time.Time, try bool) (next int64, synced bool, wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	wait = min(max(f.timing.due(f.wait)-f.lag-sent.Sub(f.fresh), 0), f.wait)
	if try || f.away {
		wait = 0 // how fresh the view is has to be known at once
	}
	f.due = sent.Add(wait + min(f.timing.Late+2*f.lag, answerMargin))
	return f.next, f.synced, wait
}

// seen returns the moment of which a read tells that there were no records beyond those
// that it gave. The store answers a read that waits as soon as there is one. So one that gave none
// after all of its wait tells of the end of the wait, and any other of when it was sent.
// Views were up to two waits old at rest where they are one wait old (3.0 and 1.6 s).
func (f *Feed) seen(sent time.Time, wait time.Duration, records int) time.Time {
	took := f.clock.Since(sent)
	waited := wait - wait/driftShare // by the clock of this process, if the store's runs faster
	if records > 0 || took < waited {
		return sent
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lag = min(max(took-wait, f.lag*lagShare/(lagShare+1), 0), answerMargin)
	return sent.Add(waited)
}

// resync takes all newest records. A key that is not among them was dropped.
func (f *Feed) resync(p hollowgrade.KeyedPage, sent time.Time) {
	listed := map[string]bool{}
	for _, r := range p.Records {
		listed[r.Key] = true
	}
	f.mu.Lock()
	for k, r := range f.newest {
		if !listed[k] && !r.Dropped() && r.Offset < p.Next {
			p.Records = append(p.Records, hollowgrade.KeyedRecord{Key: k, Offset: p.Next - 1})
		}
	}
	f.synced = true
	f.mu.Unlock()
	f.take(p, sent)
}

// take puts records into the view. The read that gave them was sent at sent. The
// view is as fresh as that once watchers have been told: what they put in force is
// what its age is asked for.
func (f *Feed) take(p hollowgrade.KeyedPage, sent time.Time) {
	f.order.Lock()
	defer f.order.Unlock()
	if cs := f.keep(p); len(cs) > 0 {
		for _, w := range f.watchers {
			w(cs)
		}
	}
	f.confirm(p, sent)
}

// keep puts records into the view and returns what they change, by offset.
func (f *Feed) keep(p hollowgrade.KeyedPage) []Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	doubt := f.doubt()
	cs := make([]Change, 0, len(p.Records))
	for _, r := range p.Records {
		if f.fits(r.Key, r.Offset, len(r.Value), p.From) && f.put(r) {
			cs = append(cs, Change{KeyedRecord: r, From: p.From, MayReturn: doubt})
		}
	}
	f.next = max(f.next, p.Next)
	slices.SortFunc(cs, func(a, b Change) int { return cmp.Compare(a.Offset, b.Offset) })
	return cs
}

// confirm notes that watchers know all of a page.
func (f *Feed) confirm(p hollowgrade.KeyedPage, sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.missing = slices.DeleteFunc(f.missing, func(m missing) bool { return m.offset < f.next })
	if p.Next >= p.End && sent.After(f.fresh) {
		f.fresh = sent
	}
}

// fits reports whether a value may be taken, and says so where it may not.
func (f *Feed) fits(key string, offset int64, bytes int, from string) bool {
	if bytes <= f.most {
		return true
	}
	f.log.Error("value not taken", "feed", f.name, "key", key, "offset", offset, "bytes", bytes, "allowed", f.most, "from", source(from), "why", "larger than the settings allow")
	return false
}

// source names where a page came from in logs.
func source(from string) string {
	if from == "" {
		return "store"
	}
	return from
}

// doubtFor is for how long after a read that failed a change may tell of what
// the store did while it was away: entries that lapsed then are back within two
// seconds of its return. From three seconds on a box that reaches the store again
// is held to what the registry says, so doubt has to end before.
const doubtFor = 2800 * time.Millisecond

// doubt returns until when changes that come now may tell of what went on
// unseen; zero if they do not. The lock is held.
func (f *Feed) doubt() time.Time {
	now := f.clock.Now()
	if until := f.failed.Add(doubtFor); !f.failed.IsZero() && now.Before(until) {
		return until
	}
	if !f.fresh.IsZero() && now.Sub(f.fresh) > f.wait+doubtFor {
		return now.Add(doubtFor)
	}
	return time.Time{}
}

// put makes a record the newest of its key, unless it is older, and reports
// whether that changes the key's value. The lock is held.
func (f *Feed) put(r hollowgrade.KeyedRecord) bool {
	old, ok := f.newest[r.Key]
	if ok && old.Offset >= r.Offset {
		return false
	}
	f.newest[r.Key] = r
	f.keepBase(old)
	if !ok {
		return !r.Dropped()
	}
	return !bytes.Equal(old.Value, r.Value)
}

// lostNow reports whether the last read of the store failed, and no peer has
// told of it since.
func (f *Feed) lostNow() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.away && f.fresh.Before(f.failed)
}

// Next returns the offset up to which all is known.
func (f *Feed) Next() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// Outdated returns for how long it has been known that the topic holds a record
// which is not in the view; 0 if none is known.
func (f *Feed) Outdated() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.missing) == 0 {
		return 0
	}
	return f.clock.Since(f.missing[0].heard)
}

// Merge takes a page that a peer gave, complete as of fresh.
func (f *Feed) Merge(p hollowgrade.KeyedPage, fresh time.Time) {
	if p.Next < f.Next() {
		return // the peer knows less
	}
	f.take(p, fresh)
}

func (f *Feed) lost(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failed = f.clock.Now()
	if f.away {
		return
	}
	f.away = true
	f.log.Warn("store lost", "feed", f.name, "next", f.next, "age_ms", f.ageMillis(), "err", err)
}

// served reports whether the store answers the reads of this process in time, and known is false
// where it has begun to make them, waits for the first answer, and tells meanwhile what is no older
// than that of a process that has made them all along.
func (f *Feed) served() (served, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	switch {
	case f.away, f.follows, now.After(f.due):
		return false, true
	case f.answered:
		return true, true
	default:
		return false, now.Sub(f.fresh) > f.timing.due(f.wait)
	}
}

// allServed reports whether the store answers the reads of a process on all its feeds: one that
// follows others with some of them tells what they do.
func allServed(fs []*Feed) bool {
	some := false
	for _, f := range fs {
		served, known := f.served()
		if known && !served {
			return false
		}
		some = some || served
	}
	return some
}

func (f *Feed) regained() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answered = true
	f.due = hollowgrade.Later(f.due, f.clock.Now().Add(readPause+f.timing.Late))
	if !f.away {
		return
	}
	f.away = false
	f.log.Info("store regained", "feed", f.name, "next", f.next, "age_ms", f.ageMillis())
}

// ageMillis returns the age for logs, -1 if there never was a complete view.
func (f *Feed) ageMillis() int64 {
	if f.fresh.IsZero() {
		return -1
	}
	return f.clock.Since(f.fresh).Milliseconds()
}
