package feed

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hollowgrade/hollowgrade"
)

const (
	// maxEraStarts is how many starts of eras are kept. Older ones only tell processes that missed as
	// many eras from where to read anew.
	maxEraStarts = 8
	// uncertainLossTime is how long a record is believed that the store may have lost, where it is not
	// certain whether it has been written or dropped since.
	uncertainLossTime = 5 * time.Second
	// followerLossGrace is how much longer that is for a process that does not read the store, so that
	// those that it polls have read it anew.
	followerLossGrace = 2 * time.Second
)

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
	q := askedPosition{next: f.next, lostSum: lostSum(f.lostRecords()), tellsDrops: true, dropsKnown: f.knownDrops(), keySum: f.keySum(), listedTo: f.listed.to}
	if len(f.newest) > 0 && !f.refetching && !f.fresh.IsZero() { // until it is complete, all is asked for page by page
		q.era = f.eras.current
	}
	return q
}

// uncertain reports whether it is not known what of the view the store lost when it came back.
func (f *Feed) uncertain() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lossesUncertain
}

// EraSince returns when this process learned of the era, zero if it has known no earlier one.
func (f *Feed) EraSince() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.eraSince
}

// enterEra makes the view one of a later era, in which the log differs from an offset on. The caller
// holds the lock.
func (f *Feed) enterEra(era, offset int64, exact bool, from string) {
	before, next := f.eras.current, f.next
	f.eras.enter(era, offset, next, exact)
	f.next = min(f.next, offset)
	f.dropsKnown, f.listed = min(f.dropsKnown, offset), listedKeys{}
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
		f.dropsKnown, f.listed = min(f.dropsKnown, offset), listedKeys{}
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
