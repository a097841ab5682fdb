package hollowgrade

import (
	"context"
	"time"
)

// Topic is one topic of the platform's store that keeps the newest record of
// each key for good. Its calls are linearizable.
//
// A read has no bound in time of its own, since what it gives has none in size:
// it goes on as long as an answer keeps coming, and fails when none has begun, or
// nothing more of one has come, for as long as its patience.
type Topic interface {
	// Newest returns the newest record of each key. Records that were written
	// while it read may be among them or not; reading on with Wait from the
	// page's Next gives them all.
	Newest(ctx context.Context, patience time.Duration) (KeyedPage, error)
	// Wait returns the records from an offset on. It waits up to d for one. It
	// returns [ErrTrimmed] when records from the offset on are gone.
	Wait(ctx context.Context, from int64, d, patience time.Duration) (KeyedPage, error)
	// Put writes a record, or drops the key when value is empty. A put that
	// returns an error may have been done, or may be done later.
	Put(ctx context.Context, key string, value []byte) error
}

// KeyedPage is a page of records, by offset.
type KeyedPage struct {
	Records []KeyedRecord
	Next    int64  // offset to read on from
	End     int64  // offset that the topic's next record will get
	From    string // process that told the page; empty for the store itself
}

// KeyedRecord is one record of a [Topic].
type KeyedRecord struct {
	Key    string
	Value  []byte // empty when the key was dropped
	Offset int64
}

// Dropped reports whether the record drops its key.
func (r KeyedRecord) Dropped() bool {
	return len(r.Value) == 0
}
