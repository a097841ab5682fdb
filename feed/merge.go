package feed

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/hollowgrade/hollowgrade"
)

// mergePage merges the records of a read sent at sent. It advances the view's freshness only after
// the watchers have run, since callers use the age to judge what is in force.
func (f *Feed) mergePage(p hollowgrade.KeyedPage, sent time.Time) {
	f.merge(peerPage{KeyedPage: p}, sent)
}

// peerPage is a page with what a peer tells besides.
type peerPage struct {
	hollowgrade.KeyedPage
	start      int64 // first offset that this process has to read anew, or of the era
	startKnown bool
	eraBefore  int64                     // whose log differs from there on, if the start is that of the era
	whole      bool                      // whether it has all newest records, and does not tell what was dropped before
	value      bool                      // whether it has one record only, which a peer sent by itself
	dropsFrom  int64                     // offset from which on the peer tells all drops
	sameKeys   bool                      // whether the peer has the keys that this process told of by their checksum
	keySum     uint64                    // that checksum
	listing    *keyListing               // keys of the peer, in place of records
	lost       []hollowgrade.KeyedRecord // records that the store lost
	absent     []string                  // keys of the view that the store no longer has
}

// merge merges a page and the records that the store lost.
func (f *Feed) merge(p peerPage, sent time.Time) {
	f.mergeMu.Lock()
	defer f.mergeMu.Unlock()
	cs, ok := f.storeRecords(p)
	if len(cs) > 0 {
		for _, w := range f.watchers {
			w(cs)
		}
	}
	if ok && f.markComplete(p.KeyedPage, sent) {
		f.onReturn(f.kept)
	}
}

// storeRecords stores records in the view and returns the resulting changes by offset. Ok is false if
// the page isn't of the view's era, or leaves out records or drops that the view lacks.
func (f *Feed) storeRecords(p peerPage) (cs []Change, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.accepts(p) {
		return nil, false
	}
	if p.listing != nil {
		p.absent = f.unlisted(p)
	} else {
		f.noteDrops(p)
	}
	rs := f.place(p)
	uncertainUntil := f.uncertainUntil()
	if f.lossesExpired {
		p.lost = nil
	}
	for _, r := range slices.Concat(p.lost, rs) {
		if !f.withinLimit(r.Key, r.Offset, len(r.Value), p.From) {
			continue
		}
		if changed, rewritten := f.put(r); changed || rewritten {
			cs = append(cs, Change{KeyedRecord: r, From: p.From, UncertainUntil: uncertainUntil, Rewritten: rewritten})
		}
	}
	if p.listing != nil {
		f.noteListed(p)
		return cs, false
	}
	f.next = max(f.next, p.Next)
	return cs, true
}

// accepts reports whether a page is of the view's era and tells all that follows what the view has. The
// caller holds the lock.
func (f *Feed) accepts(p peerPage) bool {
	if p.From != "" {
		return f.followPeer(p) && (p.listing != nil || p.First <= f.next && !f.outdates(p) && !f.lacksDrops(p))
	}
	return (p.Era == 0 || p.Era == f.eras.current) && p.First <= f.next // a peer may have told of a later era meanwhile
}

// outdates reports whether the view knows more than a peer, whose records may have been dropped since. The
// caller holds the lock.
func (f *Feed) outdates(p peerPage) bool {
	return len(p.Records) > 0 && p.Next < f.next
}

// place returns the records of a page with their positions, by offset, and remembers them. The caller
// holds the lock.
func (f *Feed) place(p peerPage) (rs []hollowgrade.KeyedRecord) {
	rs = slices.Clone(p.Records)
	slices.SortFunc(rs, func(a, b hollowgrade.KeyedRecord) int { return cmp.Compare(a.Offset, b.Offset) })
	for i, r := range rs {
		rs[i].Position = f.eras.written(r.Offset)
		if p.From == "" || !r.Dropped() { // the offset at which a peer lists a dropped key may be a later one
			f.remember(r)
		}
	}
	return append(rs, f.absentRecords(p)...)
}

// followPeer follows the era of a peer's page. It returns false if the page has to be ignored. The
// caller holds the lock.
func (f *Feed) followPeer(p peerPage) bool {
	switch current := f.eras.current; {
	case p.Era == 0:
		return f.eraSince.IsZero() // a peer that doesn't know of eras may be right while there is one only
	case current == 0:
		f.eras.begin(p.Era)
	case p.Era < current:
		return false
	case p.Era > current && len(f.newest) == 0:
		f.enterEra(p.Era, 0, false, p.From) // nothing is known that could be lost
		return true
	case p.Era > current && !p.startKnown:
		f.laterEra = true
		return false
	case p.Era > current:
		f.enterEra(p.Era, p.start, true, p.From)
		return true
	}
	if p.startKnown {
		f.learnStart(p.start, p.eraBefore)
	}
	return true
}

// isOfEra reports whether a peer's view is of the same era, as far as it tells.
func (f *Feed) isOfEra(era int64) bool {
	return era == 0 || era == f.Era()
}

// hasToRead reports whether this process has to read the store once, since no peer could tell from
// where to read the log of a later era.
func (f *Feed) hasToRead() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.laterEra
}

// kept reports whether the store still has the newest record of a key.
func (f *Feed) kept(key string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.newest[key]
	return ok && !r.Dropped() && !f.lost[key]
}

// markComplete records that the watchers have processed the whole page. It returns true if the view
// is complete for the first time after a return of the store.
func (f *Feed) markComplete(p hollowgrade.KeyedPage, sent time.Time) (returned bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.Era != 0 && p.Era != f.eras.current {
		return false
	}
	f.missing = slices.DeleteFunc(f.missing, func(m missingRecord) bool { return m.offset < f.next })
	if p.Next < p.End || !sent.After(f.fresh) {
		return false
	}
	f.fresh = sent
	f.synced = true
	returned = f.returning
	f.returning, f.refetching = false, false
	f.lossesUncertain = f.lossesUncertain && len(f.lost) > 0
	return returned
}

// put makes a record the newest of its key, unless it is older. It reports whether the key's value
// changes, and whether the store has the value again that it had lost. The caller holds the lock.
func (f *Feed) put(r hollowgrade.KeyedRecord) (changed, rewritten bool) {
	old, ok := f.newest[r.Key]
	same := bytes.Equal(old.Value, r.Value)
	if ok && !f.supersedes(r, old) {
		return false, false
	}
	f.newest[r.Key] = r
	wasLost := f.lost[r.Key]
	if f.eras.lost(r.Position) {
		f.lost[r.Key] = true
	} else {
		delete(f.lost, r.Key)
	}
	if !same {
		f.keepBase(old)
		return true, false
	}
	return false, wasLost && !f.lost[r.Key] && !r.Dropped()
}

// supersedes reports whether a record replaces the known one of its key. While the records that the
// store lost are written again one after another, a value may have a lower version than the known one.
func (f *Feed) supersedes(r, old hollowgrade.KeyedRecord) bool {
	if !old.Before(r.Position) {
		return false
	}
	return f.version == nil || r.Era == old.Era || r.Dropped() || f.version(r.Value) >= f.version(old.Value)
}

// Merge merges a page that a peer sent, complete as of fresh.
func (f *Feed) Merge(p hollowgrade.KeyedPage, fresh time.Time) {
	f.mergePeerPage(peerPage{KeyedPage: p}, fresh)
}

// mergePeerPage merges a page that a peer sent, complete as of fresh.
func (f *Feed) mergePeerPage(p peerPage, fresh time.Time) {
	if f.isOfEra(p.Era) && p.Next < f.Next() {
		return // the peer knows less: records that it knows as lost may have been dropped since
	}
	f.merge(p, fresh)
}
