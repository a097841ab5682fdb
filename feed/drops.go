package feed

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hollowgrade/hollowgrade"
)

// allDrops is the offset below which an empty view knows all drops of its keys.
const allDrops = math.MaxInt64

// keyListing is a part of the keys of a view in ascending order.
type keyListing struct {
	after string // key after which its range begins
	keys  []string
	last  bool // whether its range ends with the last key of all
}

// includes reports whether a key is in the range of the listing.
func (l keyListing) includes(key string) bool {
	return key > l.after && (l.last || key <= l.end())
}

// lists reports whether a key is part of the listing.
func (l keyListing) lists(key string) bool {
	_, ok := slices.BinarySearch(l.keys, key)
	return ok
}

// end returns the last key of the listing.
func (l keyListing) end() string {
	if len(l.keys) == 0 {
		return l.after
	}
	return l.keys[len(l.keys)-1]
}

// listedKeys is how far peers have listed their keys to a process that may lack drops.
type listedKeys struct {
	to   string // last key of the ranges
	asOf int64  // offset below which all drops of the keys in these ranges are known
}

// answersDrops completes an excerpt for a peer that may lack drops which this view does not know. It returns
// false if the peer can't be answered.
func (f *Feed) answersDrops(p *excerpt, q askedPosition) bool {
	p.dropsFrom = f.eras.complete
	switch {
	case q.era > 0 && q.era != f.eras.current, !q.tellsDrops:
		return q.era == 0 || p.from >= f.eras.complete
	case q.dropsKnown >= f.eras.complete:
		return true
	case q.lostSum != 0: // whether what the store lost was dropped since shows in its log only
		return false
	case q.keySum == f.keySum():
		p.sameKeys = true
		return true
	}
	l := f.listKeys(q.listedTo)
	p.Records, p.large, p.Next, p.listing = nil, nil, p.End, &l
	return true
}

// listKeys returns the live keys after a key, as many as fit into one answer. The caller holds the lock.
func (f *Feed) listKeys(after string) keyListing {
	l := keyListing{after: after}
	for k, r := range f.newest {
		if k > after && !r.Dropped() {
			l.keys = append(l.keys, k)
		}
	}
	slices.Sort(l.keys)
	left := maxPageBytes
	for i, k := range l.keys {
		if left -= recordOverheadBytes + len(k); left < 0 {
			l.keys = l.keys[:i]
			return l
		}
	}
	l.last = true
	return l
}

// keySum returns a checksum of the live keys of the present log. The caller holds the lock.
func (f *Feed) keySum() (sum uint64) {
	for k, r := range f.newest {
		if !r.Dropped() && !f.lost[k] {
			sum += xxhash.Sum64String(k)
		}
	}
	return sum
}

// knownDrops returns the offset below which all drops of the view's keys are known. Listings don't tell those
// of keys that the store lost. The caller holds the lock.
func (f *Feed) knownDrops() int64 {
	switch {
	case len(f.newest) == 0:
		return allDrops
	case len(f.lost) > 0:
		return min(f.next, f.dropsKnown)
	default:
		return f.dropsKnown
	}
}

// lacksDrops reports whether a peer's page may leave out drops that the view lacks. The caller holds the lock.
func (f *Feed) lacksDrops(p peerPage) bool {
	return p.dropsFrom > f.knownDrops() && (!p.sameKeys || p.keySum != f.keySum())
}

// unlisted returns the keys of the view that a peer's listing shows to have been dropped. The caller holds
// the lock.
func (f *Feed) unlisted(p peerPage) (keys []string) {
	for k, r := range f.newest {
		if !r.Dropped() && !f.lost[k] && r.Offset < p.End && p.listing.includes(k) && !p.listing.lists(k) {
			keys = append(keys, k)
		}
	}
	return keys
}

// noteListed records that the drops of a listing's range are known. The caller holds the lock.
func (f *Feed) noteListed(p peerPage) {
	if p.listing.after != f.listed.to {
		return // another peer has listed the range already
	}
	if f.listed.to == "" {
		f.listed.asOf = p.End
	}
	f.listed.asOf = min(f.listed.asOf, p.End)
	f.listed.to = p.listing.end()
	if p.listing.last {
		f.dropsKnown = max(f.dropsKnown, f.listed.asOf)
		f.listed = listedKeys{}
	}
}

// noteDrops records which drops are known with a page that continues the view. The caller holds the lock.
func (f *Feed) noteDrops(p peerPage) {
	known := max(f.knownDrops(), p.Next)
	if p.sameKeys {
		known = max(known, p.End)
	}
	switch {
	case p.whole:
		f.eras.complete = max(f.eras.complete, p.End)
	case p.dropsFrom > f.next: // unknown keys may have been written and dropped in between
		f.eras.complete = max(f.eras.complete, p.dropsFrom)
	}
	if slices.ContainsFunc(p.Records, func(r hollowgrade.KeyedRecord) bool { return !r.Dropped() }) {
		known = min(known, p.recordsAsOf())
		f.listed.asOf = min(f.listed.asOf, p.recordsAsOf())
	}
	f.dropsKnown = known
}

// recordsAsOf returns the end of the log of which the records of a page are the newest.
func (p peerPage) recordsAsOf() int64 {
	if p.value {
		return p.Records[0].Offset + 1
	}
	return p.End
}

// absentRecords returns the drops of keys that a page shows to be absent. The caller holds the lock.
func (f *Feed) absentRecords(p peerPage) (rs []hollowgrade.KeyedRecord) {
	for _, k := range p.absent {
		rs = append(rs, hollowgrade.KeyedRecord{Key: k, Position: f.eras.written(p.Next - 1)})
	}
	return rs
}
