package feed

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hollowgrade/hollowgrade"
)

const (
	// maxPageBytes bounds the records in one answer to a peer. With three answers at a time for
	// three topics that is 144 KB, 58 ms on a link of 20 Mbit/s.
	maxPageBytes = 16 << 10
	// largeValueBytes is the size above which a value is not part of an answer but requested by
	// itself from one peer. Entries of upstreams and gateways have 0.3 KB.
	largeValueBytes = 8 << 10
	// recordOverheadBytes is the overhead of a record besides its key and value.
	recordOverheadBytes = 16
)

// excerpt is a part of a view that is sent to a peer.
type excerpt struct {
	hollowgrade.KeyedPage
	large *hollowgrade.KeyedRecord // the record at Next, if its value is too large for an answer
	age   time.Duration            // of the whole view
	// start is the first offset that the peer has to read anew, or else that of the era.
	start      int64
	startKnown bool
	eraBefore  int64
	from       int64                     // offset from which on the peer lacks records
	lost       []hollowgrade.KeyedRecord // records that the store lost, if the peer has other ones
	dropsFrom  int64                     // offset from which on all drops are known
	sameKeys   bool                      // whether the view has the keys that the peer told of
	listing    *keyListing               // in place of records, if the peer may lack drops before that offset
}

// askedPosition is how far a peer knows a topic.
type askedPosition struct {
	era     int64 // 0 if it asks for all records
	next    int64
	lostSum uint64 // of the records that it knows the store lost
	// dropsKnown is the offset below which it knows all drops of its keys, if it tells that.
	dropsKnown int64
	tellsDrops bool
	keySum     uint64 // of its keys
	listedTo   string // key up to which peers have listed theirs
}

// excerptFor returns what a peer lacks, as much as fits into one answer. Ok is false if the view has
// never been complete, may lack records that were written since a return of the store, or does not know
// which keys were dropped since and can't find out with the peer.
func (f *Feed) excerptFor(q askedPosition) (p excerpt, ok bool) {
	hollowgrade.CheckSuspension(f.clock) // peers adopt this age, so it must include the time of a suspension
	f.mu.Lock()
	defer f.mu.Unlock()
	if p = f.excerpt(q); f.fresh.IsZero() || f.lossesUncertain || !f.answersDrops(&p, q) {
		return p, false
	}
	if lost := f.lostRecords(); lostSum(lost) != q.lostSum {
		p.lost = fitting(lost)
	}
	return p, true
}

// fitting returns as many records as fit into one answer, others each time.
func fitting(rs []hollowgrade.KeyedRecord) []hollowgrade.KeyedRecord {
	rand.Shuffle(len(rs), func(i, j int) { rs[i], rs[j] = rs[j], rs[i] })
	left := maxPageBytes
	for i, r := range rs {
		if left -= recordOverheadBytes + len(r.Key); !isLarge(r) {
			left -= len(r.Value)
		}
		if left < 0 {
			return rs[:i]
		}
	}
	return rs
}

// isLarge reports whether a value is requested by itself.
func isLarge(r hollowgrade.KeyedRecord) bool {
	return len(r.Value) > largeValueBytes
}

// excerpt returns the newest records of the present log that a peer lacks. Small records after a large
// one are included, so that they don't wait until its value has arrived. The caller holds the lock.
func (f *Feed) excerpt(q askedPosition) (p excerpt) {
	from := q.next
	p.age = f.clock.Since(f.fresh)
	p.Era, p.Next, p.End = f.eras.current, f.next, f.next
	p.start, p.startKnown = f.eras.start()
	p.eraBefore = f.eras.before()
	if q.era > 0 && q.era < p.Era {
		if p.start, p.startKnown = f.eras.divergence(q.era, q.next); p.startKnown {
			from = min(from, p.start)
		}
	}
	p.from = from
	left := maxPageBytes
	for _, r := range f.newestFrom(from) {
		large := isLarge(r)
		if large && p.large != nil {
			continue
		}
		if large {
			p.Next, p.large = r.Offset, &r
			continue
		}
		if left -= recordOverheadBytes + len(r.Key) + len(r.Value); left < 0 {
			p.Next = min(p.Next, r.Offset)
			break
		}
		p.Records = append(p.Records, r)
	}
	return p
}

// newestFrom returns the newest records of the present log from an offset on, by offset. The caller
// holds the lock.
func (f *Feed) newestFrom(from int64) (rs []hollowgrade.KeyedRecord) {
	for _, r := range f.newest {
		if r.Offset >= from && !f.lost[r.Key] {
			rs = append(rs, r)
		}
	}
	slices.SortFunc(rs, func(a, b hollowgrade.KeyedRecord) int { return cmp.Compare(a.Offset, b.Offset) })
	return rs
}

// announcement is a record that a peer has announced without its value.
type announcement struct {
	key  string
	at   hollowgrade.Position
	size int
	era  int64 // of the peer's view
	lost bool  // whether the store lost the record
}

// noteAnnounced records that a peer announced a record without its value, and returns whether the
// value has to be requested.
func (f *Feed) noteAnnounced(a announcement, from string) bool {
	f.mu.Lock()
	at := a.at
	if !a.lost {
		at = f.eras.written(at.Offset)
	}
	wanted := f.lacks(a.key, at) && f.withinLimit(a.key, a.at.Offset, a.size, from)
	if wanted && !a.lost {
		f.addMissing(a.at.Offset)
	}
	f.mu.Unlock()
	if !wanted && !a.lost { // the view has a later value already, or the value is too large
		f.Merge(hollowgrade.KeyedPage{Era: a.era, First: a.at.Offset, Next: a.at.Offset + 1, End: a.at.Offset + 2, From: from}, time.Time{})
	}
	return wanted
}

// isMissing reports whether an announced record is still to be requested. One of the present log is
// not if the store is read beyond it.
func (f *Feed) isMissing(a announcement) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !a.lost {
		return (a.era == 0 || a.era == f.eras.current) && f.next <= a.at.Offset
	}
	return f.lacks(a.key, a.at)
}

// lacks reports whether the view has no record of a key as new as the one at a position. The caller
// holds the lock.
func (f *Feed) lacks(key string, at hollowgrade.Position) bool {
	r, ok := f.newest[key]
	return !ok || r.Before(at)
}

// mergeValue merges a record that a peer sent for an announced one. All records of the present log
// before that one are known. A later value of the key implies nothing about records in between, so the
// view's freshness does not change until the peer's next answer.
func (f *Feed) mergeValue(r hollowgrade.KeyedRecord, a announcement, from string) {
	p := peerPage{KeyedPage: hollowgrade.KeyedPage{Era: a.era, From: from}}
	if a.lost {
		p.End, p.lost = 1, []hollowgrade.KeyedRecord{r}
		f.merge(p, time.Time{})
		return
	}
	p.First, p.Next, p.End = a.at.Offset, min(a.at.Offset, r.Offset)+1, r.Offset+2
	p.Records, p.value = []hollowgrade.KeyedRecord{r}, true
	f.mergePeerPage(p, time.Time{})
}

// addMissing adds a record that is known to exist. The caller holds the lock.
func (f *Feed) addMissing(offset int64) {
	if n := len(f.missing); n == 0 || f.missing[n-1].offset < offset {
		f.missing = append(f.missing, missingRecord{offset: offset, announcedAt: f.clock.Now()})
	}
}

// keepBase keeps a replaced value if it is large. The caller holds the lock.
func (f *Feed) keepBase(r hollowgrade.KeyedRecord) {
	if len(r.Value) <= largeValueBytes {
		return
	}
	b := append([]hollowgrade.KeyedRecord{r}, f.earlier[r.Key]...)
	f.earlier[r.Key] = b[:min(len(b), maxBases)]
}

// value returns the newest record of a key.
func (f *Feed) value(key string) (r hollowgrade.KeyedRecord, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok = f.newest[key]
	return r, ok
}

// base returns the value with a checksum that the key had at an offset, if it is still kept.
func (f *Feed) base(key string, offset int64, sum uint64) (value []byte, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range append([]hollowgrade.KeyedRecord{f.newest[key]}, f.earlier[key]...) {
		if r.Offset == offset && len(r.Value) > 0 && xxhash.Sum64(r.Value) == sum {
			return r.Value, true
		}
	}
	return nil, false
}
