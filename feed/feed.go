// Package feed keeps the newest record of each key of a topic of the platform's store and tracks
// how fresh that view is. A process that the store does not serve gets records and their freshness
// from peers.
package feed

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/charmbracelet/log"

	"github.com/hollowgrade/hollowgrade"
)

const (
	// lagDecay sets how slowly the smoothed lag falls: each answer in time keeps lagDecay of
	// lagDecay + 1 parts of it. A slower store raises the lag at once.
	lagDecay = 7
	// defaultWait is how long one read waits at the store for a record.
	defaultWait = 1500 * time.Millisecond
	// answerMargin bounds how long a read may take beyond its wait until its answer begins, and
	// each pause within an answer: a few round trips and the store's own time. The whole answer has
	// no bound, since a large one takes long on a busy, narrow link.
	answerMargin = 700 * time.Millisecond
	// newestMargin is the same for the read of all newest records, whose answer starts later while
	// many processes start. A process that starts during an outage waits that long in vain; peers
	// serve it meanwhile.
	newestMargin = 3 * time.Second
	// DefaultMaxValueBytes is the size of the largest accepted value.
	DefaultMaxValueBytes = 8 << 20
	// maxBases is how many earlier values of a key are kept if they are large, so that a peer that
	// is a few changes behind receives only the difference.
	maxBases = 3
	// defaultMinReadInterval is the least time between a read that returned records and the next one,
	// where a change must be in force within two seconds.
	defaultMinReadInterval = 250 * time.Millisecond
	// followCheckInterval is how often a process that does not read the store checks whether it has
	// to.
	followCheckInterval = 100 * time.Millisecond
	// startCheckInterval is the same for a process that has just started and has no view yet.
	startCheckInterval = 10 * time.Millisecond
	// Bounds of the exponential delay between failed reads.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
)

// Change is a record that has become the newest of its key.
type Change struct {
	hollowgrade.KeyedRecord
	// From is the peer that sent it; empty for the store itself.
	From string
	// UncertainUntil is until when a dropped key may come back by itself: the change may be an
	// effect of an outage of the store, since a read failed shortly before or the view was stale.
	// It is zero otherwise.
	UncertainUntil time.Time
	// Rewritten is whether the value is the one that the store had lost.
	Rewritten bool
}

// Source returns the origin of the record for logs.
func (c Change) Source() string {
	return source(c.From)
}

// Feed is a view of one topic. It is safe for concurrent use.
type Feed struct {
	name          string
	topic         hollowgrade.Topic
	isReader      func() bool // whether this process reads the store itself now
	peersFirst    func() bool // whether a view that was never complete waits for peers
	minInterval   time.Duration
	breaker       *Breaker
	contact       *contact                         // shared with the other feeds of a relay
	onReturn      func(kept func(key string) bool) // called when the view is complete after a return of the store
	redial        func()                           // makes the next call to the store use a new connection; nil if connections aren't kept
	lossTime      time.Duration                    // how long records are believed that the store lost; 0 until they are written again
	version       func(value []byte) int64         // version of a value; nil if values have none
	clock         hollowgrade.Clock
	log           *log.Logger
	wait          time.Duration
	timing        Timing
	maxValueBytes int // size of the largest accepted value

	// mergeMu serializes merges, so that watchers are called with one page after another. It is
	// separate from mu because a watcher may take long over a large value while calls read the
	// view's age.
	mergeMu  sync.Mutex
	watchers []func([]Change)

	mu            sync.Mutex
	newest        map[string]hollowgrade.KeyedRecord
	earlier       map[string][]hollowgrade.KeyedRecord // large values before the newest, latest first
	next          int64                                // all records of the present log below this offset are known
	dropsKnown    int64                                // offset below which all drops of the view's keys are known, if it has any
	listed        listedKeys                           // while peers list their keys
	eras          eras                                 // of the present log
	eraSince      time.Time                            // when the present era was learned, zero if it is the first one
	returning     bool                                 // whether the view has not been complete in this era yet
	laterEra      bool                                 // whether a peer told of a later era, but not from where to read anew
	lost          map[string]bool                      // keys of the newest records that the store lost
	lossesExpired bool                                 // whether these are believed no longer in this era
	// lossesUncertain is whether the store may have these records, or may have dropped their keys since.
	lossesUncertain bool
	refetching      bool            // whether peers are asked for all newest records
	history         []loggedRecord  // the latest records of the present log that were seen, by offset
	missing         []missingRecord // records that are known to exist but not received yet, by offset
	fresh           time.Time       // when the view was last known to be complete
	synced          bool            // whether the next read can continue at next
	readFailing     bool            // whether the last read failed
	lastFailure     time.Time       // when a read last failed
	troubleAt       time.Time       // latest time at which a read is known not to have been answered
	readSent        time.Time       // when the current or last read was sent
	readWait        time.Duration   // how long it waits at the store
	following       bool            // whether this process makes no reads and relies on peers
	answered        bool            // whether the store has answered since this process began to read
	nextAnswerDue   time.Time       // when the answer to the current or next read is overdue
	lag             time.Duration   // smoothed time that answers take beyond the wait
	encodings       encodingCache
}

// missingRecord is a record that a peer has announced without its value.
type missingRecord struct {
	offset      int64
	announcedAt time.Time // when a peer first announced it
}

// New returns a feed of the topic. Name identifies it in logs and to peers.
func New(name string, t hollowgrade.Topic, os ...Option) *Feed {
	f := &Feed{
		name:          name,
		topic:         t,
		isReader:      func() bool { return true },
		peersFirst:    func() bool { return false },
		onReturn:      func(func(string) bool) {},
		minInterval:   defaultMinReadInterval,
		clock:         hollowgrade.SystemClock(),
		log:           log.Default(),
		wait:          defaultWait,
		timing:        NewTiming(nominalViewAge),
		maxValueBytes: DefaultMaxValueBytes,
		newest:        map[string]hollowgrade.KeyedRecord{},
		earlier:       map[string][]hollowgrade.KeyedRecord{},
		lost:          map[string]bool{},
	}
	for _, o := range os {
		o(f)
	}
	if f.breaker == nil {
		f.breaker = NewBreaker(f.clock, func() time.Duration { return 0 })
	}
	f.contact = &contact{clock: f.clock}
	return f
}

// Name returns the name of the feed.
func (f *Feed) Name() string {
	return f.name
}

// Watch adds a function that is called with all changes in order, first with the current records.
// It must not add a watcher or merge a page.
func (f *Feed) Watch(w func([]Change)) {
	f.mergeMu.Lock()
	defer f.mergeMu.Unlock()
	f.watchers = append(f.watchers, w)
	if cs := f.currentChanges(); len(cs) > 0 {
		w(cs)
	}
}

// currentChanges returns the newest records as changes.
func (f *Feed) currentChanges() (cs []Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.newest {
		cs = append(cs, Change{KeyedRecord: r})
	}
	return cs
}

// Fresh returns the latest time at which the view is known to have been complete, or the zero time.
func (f *Feed) Fresh() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fresh
}

// Age returns the time since the view was last known to be complete, and false if it never was.
func (f *Feed) Age() (time.Duration, bool) {
	hollowgrade.CheckSuspension(f.clock) // a key revoked while the machine was suspended must not pass as valid
	t := f.Fresh()
	return f.clock.Since(t), !t.IsZero()
}

// Run follows the topic until ctx ends. Retry delays are per topic: the store may serve others
// meanwhile.
func (f *Feed) Run(ctx context.Context) {
	p := backoff.NewExponentialBackOff()
	p.InitialInterval = minRetryDelay
	p.MaxInterval = maxRetryDelay
	for ctx.Err() == nil {
		f.expireLosses()
		if f.setFollowing(!f.isReader() && (f.complete() || f.peersFirst()) && !f.hasToRead()) {
			hollowgrade.Sleep(ctx, f.clock, f.followInterval())
			continue
		}
		probe, wait := f.breaker.Begin()
		if wait > 0 {
			hollowgrade.Sleep(ctx, f.clock, wait)
			continue
		}
		sent := f.clock.Now()
		records, err := f.readOnce(ctx, sent, probe)
		f.breaker.Report(probe, answered(err) || ctx.Err() != nil)
		if err == nil {
			p.Reset()
			f.noteReadAnswered()
			if records > 0 {
				hollowgrade.Sleep(ctx, f.clock, f.minInterval-f.clock.Since(sent))
			}
			continue
		}
		if errors.Is(err, hollowgrade.ErrTrimmed) {
			f.log.Info("history of the topic is gone, reading its newest records", "feed", f.name)
			continue
		}
		if ctx.Err() == nil {
			f.noteReadFailed(err)
			hollowgrade.Sleep(ctx, f.clock, p.NextBackOff())
		}
	}
}

// followInterval returns when to check again whether this process has to read.
func (f *Feed) followInterval() time.Duration {
	if f.complete() {
		return f.timing.UrgentPollInterval
	}
	return startCheckInterval
}

// setFollowing records whether this process relies on peers for now, and returns that.
func (f *Feed) setFollowing(following bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.following && !following {
		f.nextAnswerDue = f.clock.Now().Add(f.minInterval + f.timing.AnswerGrace) // the first read may have to wait for the probe of another topic
	}
	f.following = following
	f.answered = f.answered && !following
	return following
}

// complete reports whether the view has ever been complete.
func (f *Feed) complete() bool {
	return !f.Fresh().IsZero()
}

// readOnce makes one read, sent at sent, and merges its records. It returns their number. A probe
// does not wait at the store.
func (f *Feed) readOnce(ctx context.Context, sent time.Time, probe bool) (records int, err error) {
	r, synced := f.planRead(sent, probe)
	if !synced {
		p, err := f.topic.Newest(ctx, newestMargin)
		if err != nil {
			return 0, err
		}
		if same, err := f.followEra(ctx, p.Era); !same {
			return 0, err
		}
		f.resync(p, r.next, sent)
		return len(p.Records), nil
	}
	a := f.await(ctx, r)
	p, err := a.page, a.err
	var trimmed *hollowgrade.TrimmedError
	if errors.As(err, &trimmed) {
		p.Era = trimmed.Era
	}
	if err == nil || trimmed != nil {
		if same, err := f.followEra(ctx, p.Era); !same {
			return 0, err
		}
	}
	switch {
	case errors.Is(err, hollowgrade.ErrTrimmed):
		f.mu.Lock()
		f.synced = false
		f.mu.Unlock()
	case err == nil:
		p.First = a.next
		f.mergePage(p, f.completeAsOf(a.sent, a.wait, len(p.Records)))
	}
	return len(p.Records), err
}

// resync merges all newest records, as they were read when all before next was known. A key that is not
// among them was dropped, unless the store lost its record.
func (f *Feed) resync(p hollowgrade.KeyedPage, next int64, sent time.Time) {
	listed := map[string]bool{}
	for _, r := range p.Records {
		listed[r.Key] = true
	}
	var absent []string
	f.mu.Lock()
	if f.eras.current == 0 {
		f.eras.begin(p.Era)
	}
	if p.End < next {
		f.log.Warn("the store ends before what is known of it", "feed", f.name, "era", p.Era, "end", p.End, "next", next)
		f.next, f.dropsKnown = p.End, min(f.dropsKnown, p.End)
	}
	f.lossesUncertain = f.lossesUncertain || len(f.lost) > 0 && p.End > f.next // the log in between is not read
	for k, r := range f.newest {
		if !listed[k] && !r.Dropped() && r.Offset < p.Next && !f.lost[k] {
			absent = append(absent, k)
		}
	}
	f.synced = true
	f.mu.Unlock()
	f.merge(peerPage{KeyedPage: p, whole: true, absent: absent}, sent)
}

// withinLimit reports whether a value is within the size limit, and logs an error if not.
func (f *Feed) withinLimit(key string, offset int64, bytes int, from string) bool {
	if bytes <= f.maxValueBytes {
		return true
	}
	f.log.Error("value not taken", "feed", f.name, "key", key, "offset", offset, "bytes", bytes, "allowed", f.maxValueBytes, "from", source(from), "why", "larger than the settings allow")
	return false
}

// source returns the origin of a page for logs.
func source(from string) string {
	if from == "" {
		return "store"
	}
	return from
}

// uncertainPeriod is how long after a failed read a change may be an effect of the outage: entries
// that expired during it are listed again within two seconds after it. The period has to be below
// three seconds, the time after which a box that reaches the store again has to follow the registry.
const uncertainPeriod = 2800 * time.Millisecond

// uncertainUntil returns until when changes that arrive now may be effects of an outage of the store, or
// zero. It is zero if this process itself was cut off so long that such effects are over, as far as it can
// know. The caller holds the lock.
func (f *Feed) uncertainUntil() time.Time {
	if f.contact.isolatedSince(f.fresh) {
		return time.Time{}
	}
	now := f.clock.Now()
	until := f.contact.relistedBy()
	if !f.troubleAt.IsZero() {
		until = hollowgrade.Later(until, f.troubleAt.Add(uncertainPeriod))
	}
	if now.Before(until) {
		return until
	}
	if !f.fresh.IsZero() && now.Sub(f.fresh) > f.wait+uncertainPeriod {
		return now.Add(uncertainPeriod)
	}
	return time.Time{}
}

// troubleTime returns the latest time at which the store or the way to it is known to have failed, as of a
// read that fails now. A read without an answer may have been lost when it was sent, and this process may
// have been in touch again since. That is ruled out if peers answered all the time and the store served
// none of them. The caller holds the lock.
func (f *Feed) troubleTime() time.Time {
	now := f.clock.Now()
	if f.readSent.IsZero() || now.Sub(f.readSent) < f.readWait {
		return now
	}
	served := now.Sub(f.fresh) <= f.timing.staleAge(f.wait)
	if served || f.contact.cutOffSince(f.readSent) {
		return f.readSent
	}
	return now
}

// unconfirmedSinceFailure reports whether the last read of the store failed and no peer has
// confirmed the view since.
func (f *Feed) unconfirmedSinceFailure() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readFailing && f.fresh.Before(f.lastFailure)
}

// Next returns the offset below which all records are known.
func (f *Feed) Next() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// OutdatedFor returns how long a record has been known to exist that is not in the view, or 0.
func (f *Feed) OutdatedFor() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.missing) == 0 {
		return 0
	}
	return f.clock.Since(f.missing[0].announcedAt)
}

// fails reports whether this process reads the store and its last read failed.
func (f *Feed) fails() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readFailing && !f.following
}

func (f *Feed) noteReadFailed(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.redial != nil {
		f.redial()
	}
	f.lastFailure, f.troubleAt = f.clock.Now(), f.troubleTime()
	if f.readFailing {
		return
	}
	f.readFailing = true
	f.log.Warn("store lost", "feed", f.name, "next", f.next, "age_ms", f.ageMillis(), "err", err)
}

// served reports whether the store answers the reads of this process in time. Known is false while
// a process that has just begun to read waits for its first answer and its view is no older than
// that of a process that has read all along.
func (f *Feed) served() (served, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	switch {
	case f.readFailing, f.following, now.After(f.nextAnswerDue):
		return false, true
	case f.answered:
		return true, true
	default:
		return false, now.Sub(f.fresh) > f.timing.answerDue(f.wait)
	}
}

// allServed reports whether the store answers the reads of a process on all its feeds. A process
// that follows peers on some feeds depends on them.
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

func (f *Feed) noteReadAnswered() {
	f.contact.heard()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.contact.noteStoreServes(f.readSent)
	f.answered = true
	f.nextAnswerDue = hollowgrade.Later(f.nextAnswerDue, f.clock.Now().Add(f.minInterval+f.timing.AnswerGrace))
	if !f.readFailing {
		return
	}
	f.readFailing = false
	f.log.Info("store regained", "feed", f.name, "next", f.next, "age_ms", f.ageMillis())
}

// ageMillis returns the age for logs, -1 if the view was never complete.
func (f *Feed) ageMillis() int64 {
	if f.fresh.IsZero() {
		return -1
	}
	return f.clock.Since(f.fresh).Milliseconds()
}
