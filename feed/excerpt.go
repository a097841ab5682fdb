package feed

import (
	"cmp"
	"slices"
	"time"

	"github.com/hollowgrade/hollowgrade"
)

const (
	// pageBytes bounds the records that one answer to a peer holds. Three peers
	// answer at a time for three topics: 144 KB, 58 ms on a link of 20 Mbit/s.
	pageBytes = 16 << 10
	// largeBytes is the size from which a value is not put into an answer but asked
	// for by itself, from one peer. Entries of upstreams and gateways have 0.3 KB.
	largeBytes = 8 << 10
	// recordBytes is what a record has besides its key and value.
	recordBytes = 16
)

// excerpt is a part of a view, as it is told to a peer.
type excerpt struct {
	hollowgrade.KeyedPage
	large *hollowgrade.KeyedRecord // the record at Next, if its value is too large for an answer
	age   time.Duration            // of the whole view
}

// excerptFrom returns the newest records from an offset on, as many as one answer
// holds. Ok is false when the view has never been complete.
func (f *Feed) excerptFrom(from int64) (p excerpt, ok bool) {
	hollowgrade.Notice(f.clock) // peers take the age that is told here for what they know themselves
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fresh.IsZero() {
		return p, false
	}
	p.age = f.clock.Since(f.fresh)
	p.Next, p.End = f.next, f.next
	left := pageBytes
	for _, r := range f.newestFrom(from) {
		left -= recordBytes + len(r.Key) + len(r.Value)
		if large := len(r.Value) > largeBytes; large || left < 0 {
			p.Next = r.Offset
			if large {
				p.large = &r
			}
			break
		}
		p.Records = append(p.Records, r)
	}
	return p, true
}

// newestFrom returns the newest records from an offset on, by offset. The lock is
// held.
func (f *Feed) newestFrom(from int64) (rs []hollowgrade.KeyedRecord) {
	for _, r := range f.newest {
		if r.Offset >= from {
			rs = append(rs, r)
		}
	}
	slices.SortFunc(rs, func(a, b hollowgrade.KeyedRecord) int { return cmp.Compare(a.Offset, b.Offset) })
	return rs
}

// expect notes that a peer has told of a record without its value. It returns
// whether the value has to be asked for.
func (f *Feed) expect(key string, offset int64, size int, from string) bool {
	f.mu.Lock()
	known, ok := f.newest[key]
	wanted := (!ok || known.Offset < offset) && f.fits(key, offset, size, from)
	if wanted {
		f.miss(offset)
	}
	f.mu.Unlock()
	if !wanted { // the view has a later value already, or never takes this one
		f.Merge(hollowgrade.KeyedPage{Next: offset + 1, End: offset + 2, From: from}, time.Time{})
	}
	return wanted
}

// takeValue takes a record that a peer sent for the missing one at an offset. All
// before that one is known; a later value of the key says nothing of other records in
// between, and the peer tells in a moment how fresh the view is.
func (f *Feed) takeValue(r hollowgrade.KeyedRecord, offset int64, from string) {
	f.Merge(hollowgrade.KeyedPage{
		Records: []hollowgrade.KeyedRecord{r},
		Next:    min(offset, r.Offset) + 1,
		End:     r.Offset + 2,
		From:    from,
	}, time.Time{})
}

// miss notes a record that is known to be there. The lock is held.
func (f *Feed) miss(offset int64) {
	if n := len(f.missing); n == 0 || f.missing[n-1].offset < offset {
		f.missing = append(f.missing, missing{offset: offset, heard: f.clock.Now()})
	}
}

// keepBase keeps a value that has just been replaced, if it is large. The lock is
// held.
func (f *Feed) keepBase(r hollowgrade.KeyedRecord) {
	if len(r.Value) <= largeBytes {
		return
	}
	b := append([]hollowgrade.KeyedRecord{r}, f.earlier[r.Key]...)
	f.earlier[r.Key] = b[:min(len(b), keptBases)]
}

// value returns the newest record of a key.
func (f *Feed) value(key string) (r hollowgrade.KeyedRecord, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok = f.newest[key]
	return r, ok
}

// base returns a value that the key had at an offset, if it is still known.
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
