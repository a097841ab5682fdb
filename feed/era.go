package feed

import (
	"bytes"
	"cmp"
	"context"
	"encoding/binary"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hollowgrade/hollowgrade"
)

const (
	// maxEraStarts is how many starts of eras are kept. Older ones only tell processes that missed as
	// many eras from where to read anew.
	maxEraStarts = 8
	// maxHistory is how many records are remembered by their checksum, to find out which of them the
	// store lost: more than change within the age of a copy.
	maxHistory = 1024
	// compareBytes is the size of the latest records that are compared with the store first, and
	// compareGrowth the factor by which each further comparison has more.
	compareBytes  = 256 << 10
	compareGrowth = 4
	// uncertainLossTime is how long a record is believed that the store may have lost, where it is not
	// certain whether it has been written or dropped since.
	uncertainLossTime = 5 * time.Second
	// followerLossGrace is how much longer that is for a process that does not read the store, so that
	// those that it polls have read it anew.
	followerLossGrace = 2 * time.Second
)

// errEarlierEra means that an answer is of an era before the one that the view is of.
var errEarlierEra = errors.New("answer is of an earlier era of the store")

// errEraChanged means that the store came back from another copy meanwhile.
var errEraChanged = errors.New("era of the store has changed meanwhile")

// eraStart is where a part of a topic's present log begins.
type eraStart struct {
	era    int64 // in which records from the offset on are taken to be written
	before int64 // era of the log that was known before; those in between were missed
	offset int64
	known  int64 // end of the log before, as far as it was known
	exact  bool  // whether the log does not differ before
}

// differs reports whether the log is known to differ from the offset on. Otherwise it may do so later,
// since the log before was not known further.
func (s eraStart) differs() bool {
	return s.exact && s.offset < s.known
}

// eras knows in which eras of the store the records of a topic's present log were written.
type eras struct {
	current int64 // era of the present log; 0 if unknown
	first   int64 // era since which the log is known
	base    int64 // era in which records before all starts are taken to be written
	starts  []eraStart
	// complete is the offset from which on each key of the log is known, also dropped ones.
	complete int64
}

// begin records the first era. The whole log is taken for written in it until a peer tells from where
// on that is so.
func (e *eras) begin(era int64) {
	*e = eras{current: era, first: era, base: max(era-1, 0), starts: []eraStart{{era: era, before: era}}}
}

// enter records a later era, in which the log differs from an offset on from the one before, of which
// all before an end is known.
func (e *eras) enter(era, offset, known int64, exact bool) {
	e.starts = slices.DeleteFunc(e.starts, func(s eraStart) bool { return s.offset >= offset })
	e.starts = append(e.starts, eraStart{era, e.current, offset, known, exact})
	if len(e.starts) > maxEraStarts {
		e.first = e.starts[0].era
		e.starts = slices.Delete(e.starts, 0, 1)
	}
	e.current, e.complete = era, min(e.complete, offset)
}

// learnStart records the first offset of the current era, as another process knows it.
func (e *eras) learnStart(offset, before int64) {
	if e.first == e.current {
		e.base = before
	}
	e.starts = slices.DeleteFunc(e.starts, func(s eraStart) bool { return s.era == e.current || s.offset >= offset })
	e.starts = append(e.starts, eraStart{e.current, before, offset, offset + 1, true})
}

// canLearn reports whether a start of the current era tells this process more than it knows, if it is
// from where on the log differs from that of an era before.
func (e *eras) canLearn(offset, before int64) bool {
	s := e.starts[len(e.starts)-1]
	return e.first == e.current || before <= s.before && offset < s.offset
}

// before returns the era whose log was known before the current one.
func (e *eras) before() int64 {
	if len(e.starts) == 0 {
		return 0
	}
	return e.starts[len(e.starts)-1].before
}

// start returns the first offset of the current era.
func (e *eras) start() (offset int64, known bool) {
	if len(e.starts) == 0 {
		return 0, false
	}
	s := e.starts[len(e.starts)-1]
	return s.offset, s.differs()
}

// divergence returns the first offset from which on the log may differ from that of an earlier era, all
// of which is known before next.
func (e *eras) divergence(era, next int64) (offset int64, known bool) {
	for _, s := range e.starts {
		if s.era > era {
			return s.offset, s.exact && (s.differs() || next <= s.known) && era >= e.first && era <= s.before
		}
	}
	return 0, false
}

// written returns the position of a record of the present log.
func (e *eras) written(offset int64) hollowgrade.Position {
	for _, s := range slices.Backward(e.starts) {
		if s.offset <= offset {
			return hollowgrade.Position{Era: s.era, Offset: offset}
		}
	}
	return hollowgrade.Position{Era: e.base, Offset: offset}
}

// lost reports whether a record isn't in the present log, since the store came back without it.
func (e *eras) lost(p hollowgrade.Position) bool {
	return p.Era < e.written(p.Offset).Era
}

// loggedRecord is a record of the present log as it is remembered.
type loggedRecord struct {
	offset int64
	sum    uint64
	bytes  int
}

// recordSum returns the checksum of a record.
func recordSum(r hollowgrade.KeyedRecord) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(r.Key) // never fails
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(r.Value)
	return h.Sum64()
}

// remember adds a record of the present log to the history. The caller holds the lock.
func (f *Feed) remember(r hollowgrade.KeyedRecord) {
	if n := len(f.history); n > 0 && f.history[n-1].offset >= r.Offset {
		return
	}
	f.history = append(f.history, loggedRecord{r.Offset, recordSum(r), len(r.Value)})
	if len(f.history) > maxHistory {
		f.history = slices.Delete(f.history, 0, len(f.history)-maxHistory)
	}
}

// resemblance is how a record of the store compares with what is known of its offset.
type resemblance int

// The values of [resemblance].
const (
	unknownRecord resemblance = iota
	sameRecord
	otherRecord
)

// compare compares a record of the store with the view of an earlier era. The caller holds the lock.
func (f *Feed) compare(r hollowgrade.KeyedRecord) resemblance {
	if r.Offset >= f.next {
		return otherRecord
	}
	i, ok := slices.BinarySearchFunc(f.history, r.Offset, func(l loggedRecord, o int64) int { return cmp.Compare(l.offset, o) })
	switch {
	case ok && f.history[i].sum == recordSum(r):
		return sameRecord
	case ok:
		return otherRecord
	}
	n, ok := f.newest[r.Key]
	switch {
	case !ok && r.Offset >= f.eras.complete:
		return otherRecord // the view would have it
	case !ok || f.lost[r.Key] || n.Offset > r.Offset:
		return unknownRecord
	case n.Offset == r.Offset && bytes.Equal(n.Value, r.Value):
		return sameRecord
	default:
		return otherRecord
	}
}

// Era returns the era of the store that the view is of, 0 if unknown.
func (f *Feed) Era() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.eras.current
}

// askedPosition returns how far this process knows the topic, to ask a peer for the rest.
func (f *Feed) askedPosition() askedPosition {
	f.mu.Lock()
	defer f.mu.Unlock()
	q := askedPosition{next: f.next, lostSum: lostSum(f.lostRecords())}
	if len(f.newest) > 0 && !f.refetching {
		q.era = f.eras.current
	}
	return q
}

// EraSince returns when this process learned of the era, zero if it has known no earlier one.
func (f *Feed) EraSince() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.eraSince
}

// followEra compares the era of an answer of the store with that of the view, and returns whether
// it is the same. If it is a later one, it finds out what the store lost and prepares the view for
// reading on.
func (f *Feed) followEra(ctx context.Context, era int64) (same bool, err error) {
	current := f.Era()
	switch {
	case era == 0, current == 0, era == current:
		return true, nil
	case era < current:
		return false, errEarlierEra
	}
	newest, err := f.topic.Newest(ctx, newestMargin)
	if err != nil {
		return false, err
	}
	if newest.Era != era {
		return false, errEraChanged
	}
	d, err := f.findDivergence(ctx, newest)
	if err != nil {
		return false, err
	}
	f.mu.Lock()
	entered := f.eras.current == current
	if entered {
		f.enterEra(era, d.offset, d.exact, "")
		f.doubt(d)
	}
	f.mu.Unlock()
	if entered && !d.exact {
		// Records before the offset may be new. From there on the log is read, which also tells what was
		// dropped.
		newest.Records = slices.DeleteFunc(newest.Records, func(r hollowgrade.KeyedRecord) bool { return r.Offset >= d.offset })
		newest.Next = 0
		f.merge(peerPage{KeyedPage: newest, whole: true}, time.Time{})
	}
	return false, nil
}

// enterEra makes the view one of a later era, in which the log differs from an offset on. The caller
// holds the lock.
func (f *Feed) enterEra(era, offset int64, exact bool, from string) {
	before, next := f.eras.current, f.next
	f.eras.enter(era, offset, next, exact)
	f.next = min(f.next, offset)
	f.synced = true
	f.missing = nil // announced again by peers that have them
	f.history = slices.DeleteFunc(f.history, func(l loggedRecord) bool { return l.offset >= offset })
	f.eraSince, f.returning, f.laterEra = f.clock.Now(), true, false
	f.lossesExpired = false
	f.findLost()
	f.lossesUncertain = !exact || f.lossesUncertain && len(f.lost) > 0
	f.log.Warn("the store came back from an older copy", "feed", f.name, "era", era, "before", before, "from", source(from),
		"lost_from", offset, "exact", exact, "next", next, "records_lost", len(f.lost))
}

// learnStart records the first offset of the present era as a peer knows it that has known the log of an
// era before. The caller holds the lock.
func (f *Feed) learnStart(offset, eraBefore int64) {
	before, known := f.eras.start()
	if known && before <= offset || !f.eras.canLearn(offset, eraBefore) {
		return
	}
	f.eras.learnStart(offset, eraBefore)
	if before > offset { // lost records were taken for kept ones, and new ones for older ones
		f.next = min(f.next, offset)
		f.eras.complete = min(f.eras.complete, offset)
		f.lossesUncertain = false
		f.findLost()
		return
	}
	for k, r := range f.newest {
		if !f.lost[k] {
			r.Position = f.eras.written(r.Offset)
			f.newest[k] = r
		}
	}
}

// findLost finds the newest records that the store lost. The caller holds the lock.
func (f *Feed) findLost() {
	f.lost = map[string]bool{}
	for k, r := range f.newest {
		if f.eras.lost(r.Position) {
			f.lost[k] = true
		}
	}
}

// lossesDue returns how long the records that the store lost are still believed, and false if there
// are none or they are until they are written again. The caller holds the lock.
func (f *Feed) lossesDue() (left time.Duration, due bool) {
	if len(f.lost) == 0 || f.lossesExpired {
		return 0, false
	}
	d := f.lossTime
	switch {
	case d == 0 && f.lossesUncertain:
		d = uncertainLossTime
	case d == 0:
		return 0, false
	}
	if f.following {
		d += followerLossGrace
	}
	return max(d-f.clock.Since(f.eraSince), 0), true
}

// expireLosses gives up the records that the store lost and that were not written again in time, and
// makes the next read or poll one of all newest records.
func (f *Feed) expireLosses() {
	f.mergeMu.Lock()
	defer f.mergeMu.Unlock()
	f.mu.Lock()
	left, due := f.lossesDue()
	if !due || left > 0 {
		f.mu.Unlock()
		return
	}
	var cs []Change
	for _, r := range f.lostRecords() {
		f.log.Warn("record given up that the store lost and nobody has written again", "feed", f.name, "key", r.Key, "offset", r.Offset, "era", r.Era, "dropped", r.Dropped())
		delete(f.newest, r.Key)
		if !r.Dropped() {
			r.Value = nil
			cs = append(cs, Change{KeyedRecord: r})
		}
	}
	clear(f.lost)
	f.lossesExpired, f.refetching, f.synced, f.next = true, true, false, 0
	f.mu.Unlock()
	for _, w := range f.watchers {
		w(cs)
	}
}

// lostRecords returns the newest records that the store lost, by position. The caller holds the lock.
func (f *Feed) lostRecords() (rs []hollowgrade.KeyedRecord) {
	for k := range f.lost {
		rs = append(rs, f.newest[k])
	}
	slices.SortFunc(rs, func(a, b hollowgrade.KeyedRecord) int { return a.Compare(b.Position) })
	return rs
}

// lostSum returns a checksum of records that the store lost, 0 if there are none.
func lostSum(rs []hollowgrade.KeyedRecord) uint64 {
	if len(rs) == 0 {
		return 0
	}
	h := xxhash.New()
	for _, r := range rs {
		_, _ = h.WriteString(r.Key) // never fails
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(r.Era)))
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(r.Offset)))
	}
	return h.Sum64()
}

// findDivergence returns the difference of the log of a later era, which has these newest records, from
// the known one.
func (f *Feed) findDivergence(ctx context.Context, newest hollowgrade.KeyedPage) (d difference, err error) {
	f.mu.Lock()
	d = f.compareNewest(newest)
	history := slices.DeleteFunc(slices.Clone(f.history), func(l loggedRecord) bool { return l.offset >= min(d.offset, d.unknown) })
	f.mu.Unlock()
	if d.isCertain() {
		d.exact = true
		return d, nil
	}
	// The log differs from an earlier offset on if a record before is not the known one. Mostly little
	// was lost, so the latest records are compared first.
	for size, last := compareBytes, false; !d.exact && !last; size *= compareGrowth {
		from, first := compareFrom(history, size)
		p, trimmed, err := f.readEra(ctx, from, newest.Era)
		if err != nil {
			return d, err
		}
		alike := f.startsAlike(p) || from == 0 && !trimmed
		if last = first || trimmed; !alike && !last {
			continue
		}
		c, err := f.compareLog(ctx, p, newest.Era, len(d.unlisted) > 0)
		if err != nil {
			return d, err
		}
		if d.exact = alike && c.certain && c.explains(d.unlisted); d.exact || last {
			d.offset = min(d.offset, c.offset)
		}
	}
	return d, nil
}

// isCertain reports whether the newest records alone tell from where on the log differs.
func (d difference) isCertain() bool {
	return d.offset == 0 || d.intact == d.offset && d.unknown == d.offset && !d.lost && len(d.unlisted) == 0
}

// compareFrom returns the offset of the first of the latest records that have a size together, and
// whether there are no earlier ones.
func compareFrom(history []loggedRecord, size int) (offset int64, last bool) {
	i := len(history)
	for i > 0 && size > 0 {
		i--
		size -= history[i].bytes
	}
	if i == 0 && size > 0 {
		return 0, true
	}
	return history[i].offset, false
}

// doubt makes records expire of which it isn't known whether they were dropped. The caller holds the lock.
func (f *Feed) doubt(d difference) {
	for _, r := range d.unlisted {
		if !d.exact {
			f.lost[r.Key] = true
		}
	}
}

// difference is how a log differs from the known one.
type difference struct {
	offset   int64                     // from which on it differs at the latest
	exact    bool                      // whether it does not differ before
	unknown  int64                     // offset of the first newest record that may be a new one
	intact   int64                     // offset below which it does not differ, as far as the newest records tell
	lost     bool                      // whether records of the view were lost, or are not of the known log
	unlisted []hollowgrade.KeyedRecord // whose keys were dropped since, or that were lost
}

// compareNewest compares the newest records of a log with the view. The caller holds the lock.
func (f *Feed) compareNewest(newest hollowgrade.KeyedPage) (d difference) {
	d.offset, d.lost = min(newest.End, f.next), len(f.lost) > 0
	d.unknown = d.offset
	listed := map[string]bool{}
	for _, r := range newest.Records {
		listed[r.Key] = true
		known, ok := f.newest[r.Key]
		if ok && !f.lost[r.Key] && known.Offset > r.Offset {
			d.offset = min(d.offset, known.Offset) // otherwise it would still be the newest one
		}
		switch f.compare(r) {
		case otherRecord:
			d.offset = min(d.offset, r.Offset)
		case sameRecord:
			d.intact = max(d.intact, r.Offset+1)
		default:
			d.unknown = min(d.unknown, r.Offset)
		}
	}
	for k, r := range f.newest {
		lost, unlisted := r.Offset >= d.offset, !listed[k] && !r.Dropped()
		if f.lost[k] || !lost && !unlisted {
			continue
		}
		d.lost = d.lost || lost
		if unlisted {
			d.unlisted = append(d.unlisted, r)
		}
	}
	return d
}

// readEra reads the log of an era from an offset on, without waiting. Trimmed is whether the records from
// there on are no longer kept, and the page begins with the first that is.
func (f *Feed) readEra(ctx context.Context, from, era int64) (p hollowgrade.KeyedPage, trimmed bool, err error) {
	p, err = f.topic.Wait(ctx, from, 0, answerMargin)
	var t *hollowgrade.TrimmedError
	if errors.As(err, &t) && t.First > from {
		trimmed = true
		p, err = f.topic.Wait(ctx, t.First, 0, answerMargin)
	}
	if err == nil && p.Era != era {
		err = errEraChanged
	}
	return p, trimmed, err
}

// startsAlike reports whether the first record of a page is known.
func (f *Feed) startsAlike(p hollowgrade.KeyedPage) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(p.Records) > 0 && f.compare(p.Records[0]) == sameRecord
}

// logComparison is what a part of the log tells of its difference from the known one.
type logComparison struct {
	offset  int64           // of the first record that isn't the known one
	certain bool            // whether all records before are remembered
	dropped map[string]bool // keys that were dropped from there on
}

// explains reports whether the keys of all records were dropped that are before the difference.
func (c logComparison) explains(rs []hollowgrade.KeyedRecord) bool {
	return !slices.ContainsFunc(rs, func(r hollowgrade.KeyedRecord) bool { return r.Offset < c.offset && !c.dropped[r.Key] })
}

// compareLog compares a page, and those that follow it, with the known log up to the first difference, or
// to the end if it has to find out which keys were dropped.
func (f *Feed) compareLog(ctx context.Context, p hollowgrade.KeyedPage, era int64, toEnd bool) (c logComparison, err error) {
	c = logComparison{offset: -1, certain: true, dropped: map[string]bool{}}
	for {
		for _, r := range p.Records {
			f.mu.Lock()
			s := f.compare(r)
			f.mu.Unlock()
			switch {
			case c.offset < 0 && s == otherRecord:
				c.offset = r.Offset
			case c.offset < 0:
				c.certain = c.certain && s == sameRecord
			}
			if c.offset >= 0 {
				c.dropped[r.Key] = r.Dropped()
			}
		}
		if c.offset >= 0 && !toEnd {
			return c, nil
		}
		if p.Next >= p.End || len(p.Records) == 0 {
			if c.offset < 0 {
				c.offset = p.Next
			}
			return c, nil
		}
		if p, _, err = f.readEra(ctx, p.Next, era); err != nil {
			return c, err
		}
	}
}
