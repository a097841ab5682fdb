package hollowgrade

import (
	"cmp"
	"context"
	"time"
)

// Topic is a topic of the platform's store, which keeps the newest record of each key indefinitely.
// Its calls are linearizable.
//
// A read has no total timeout, because the size of its answer is unbounded. It fails if its answer
// doesn't begin, or if no more data of it arrives, within patience.
type Topic interface {
	// Newest returns the newest record of each key. It may miss records written during the read;
	// calling Wait with the page's Next returns all of these.
	Newest(ctx context.Context, patience time.Duration) (KeyedPage, error)
	// Wait returns the records from an offset on, after waiting up to d for the first. It returns a
	// [TrimmedError] if the topic does not have the offset: records from there on have been deleted, or
	// the store came back from an older copy and the topic ends before.
	Wait(ctx context.Context, from int64, d, patience time.Duration) (KeyedPage, error)
	// Put writes a record, or deletes the key if value is empty. A put that returns an error may have
	// taken effect, or may do so later.
	Put(ctx context.Context, key string, value []byte) error
}

// Position is the place of a record in a topic. The store may come back from an older copy: what was
// written since then is gone, its offsets are given out again, and the era rises. Records are
// therefore ordered by the era in which they were written, and by offset within it.
type Position struct {
	Era    int64 // of the store when the record was written; 0 if unknown
	Offset int64
}

// Compare returns the order of two positions as [cmp.Compare] does.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Offset, o.Offset))
}

// Before reports whether a record was written before the one at another position.
func (p Position) Before(o Position) bool {
	return p.Compare(o) < 0
}

// KeyedPage is a page of records, ordered by offset.
type KeyedPage struct {
	Records []KeyedRecord
	Era     int64  // of the store that the offsets are of; 0 if unknown
	First   int64  // offset from which on the page has all records
	Next    int64  // offset at which to continue reading
	End     int64  // offset that the topic's next record will get
	From    string // peer that sent the page; empty for the store itself
}

// KeyedRecord is one record of a [Topic]. The store itself tells its offset only.
type KeyedRecord struct {
	Key   string
	Value []byte // empty if the key was deleted
	Position
}

// Dropped reports whether the record deletes its key.
func (r KeyedRecord) Dropped() bool {
	return len(r.Value) == 0
}
