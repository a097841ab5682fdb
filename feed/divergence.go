package feed

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hollowgrade/hollowgrade"
)

const (
	// maxHistory is how many records are remembered by their checksum, to find out which of them the
	// store lost: more than change within the age of a copy.
	maxHistory = 1024
	// compareBytes is the size of the latest records that are compared with the store first, and
	// compareGrowth the factor by which each further comparison has more.
	compareBytes  = 256 << 10
	compareGrowth = 4
)

// errEarlierEra means that an answer is of an era before the one that the view is of.
var errEarlierEra = errors.New("answer is of an earlier era of the store")

// errEraChanged means that the store came back from another copy meanwhile.
var errEraChanged = errors.New("era of the store has changed meanwhile")

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
	return d.offset == 0 || (d.intact == d.offset || d.sameEnd) && d.unknown == d.offset && !d.lost && len(d.unlisted) == 0
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
	sameEnd  bool                      // whether the log ends where the known one does, with no other newest record
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
	d.sameEnd = newest.End == f.next && d.offset == f.next
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
