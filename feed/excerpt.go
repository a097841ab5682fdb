package feed

import (
	"cmp"
	"slices"
	"time"

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
}

// excerptFrom returns the newest records from an offset on, as many as fit into one answer. Small
// records after a large one are included, so that they don't wait until its value has arrived. Ok is
// false if the view has never been complete.
func (f *Feed) excerptFrom(from int64) (p excerpt, ok bool) {
	hollowgrade.CheckSuspension(f.clock) // peers adopt this age, so it must include the time of a suspension
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fresh.IsZero() {
		return p, false
	}
	p.age = f.clock.Since(f.fresh)
	p.Next, p.End = f.next, f.next
	left := maxPageBytes
	for _, r := range f.newestFrom(from) {
		large := len(r.Value) > largeValueBytes
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
	return p, true
}

// newestFrom returns the newest records from an offset on, by offset. The caller holds the lock.
func (f *Feed) newestFrom(from int64) (rs []hollowgrade.KeyedRecord) {
	for _, r := range f.newest {
		if r.Offset >= from {
			rs = append(rs, r)
		}
	}
	slices.SortFunc(rs, func(a, b hollowgrade.KeyedRecord) int { return cmp.Compare(a.Offset, b.Offset) })
	return rs
}

// noteAnnounced records that a peer announced a record without its value, and returns whether the
// value has to be requested.
func (f *Feed) noteAnnounced(key string, offset int64, size int, from string) bool {
	f.mu.Lock()
	known, ok := f.newest[key]
	wanted := (!ok || known.Offset < offset) && f.withinLimit(key, offset, size, from)
	if wanted {
		f.addMissing(offset)
	}
	f.mu.Unlock()
	if !wanted { // the view has a later value already, or the value is too large
		f.Merge(hollowgrade.KeyedPage{Next: offset + 1, End: offset + 2, From: from}, time.Time{})
	}
	return wanted
}

// mergeValue merges a record that a peer sent for the missing one at an offset. All records before
// that offset are known. A later value of the key implies nothing about records in between, so the
// view's freshness does not change until the peer's next answer.
func (f *Feed) mergeValue(r hollowgrade.KeyedRecord, offset int64, from string) {
	f.Merge(hollowgrade.KeyedPage{
		Records: []hollowgrade.KeyedRecord{r},
		Next:    min(offset, r.Offset) + 1,
		End:     r.Offset + 2,
		From:    from,
	}, time.Time{})
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

// base returns the value that the key had at an offset, if it is still kept.
func (f *Feed) base(key string, offset int64) (value []byte, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r := f.newest[key]; r.Offset == offset && len(r.Value) > 0 {
		return r.Value, true
	}
	for _, r := range f.earlier[key] {
		if r.Offset == offset {
			return r.Value, true
		}
	}
	return nil, false
}
