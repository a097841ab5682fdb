package fairness

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// MaxSummaryBytes bounds an encoded summary.
	MaxSummaryBytes = 8 << 10
	// changeShare is the part of an entry that has to differ from what peers were told before it is
	// told again.
	changeShare = 0.1
	// leastTold is the asked time below which an entry isn't told.
	leastTold = time.Millisecond
	// maxTold bounds a time in a summary, as a guard against figures that are wrong.
	maxTold = 24 * time.Hour
)

// Summary is what a gateway tells its peers of its account. It is immutable.
type Summary struct {
	entries []Entry
}

// Entry is what one party asked and got of a gateway, as decayed sums.
type Entry struct {
	Kind  Kind
	Name  string // of an organisation or data hall; empty for those without an entry of their own
	Size  int    // size class
	Asked time.Duration
	Got   time.Duration
	Usual time.Duration // usually asked for within the window
}

func (e Entry) key() key {
	return key{kind: e.Kind, name: e.Name, size: e.Size}
}

// valid reports whether an entry can be of an account.
func (e Entry) valid() bool {
	if e.Asked < 0 || e.Got < 0 || e.Usual < 0 || max(e.Asked, e.Got, e.Usual) > maxTold {
		return false
	}
	if e.Kind == Size {
		return e.Name == "" && e.Size >= 0 && e.Size < sizeClasses
	}
	return (e.Kind == Organisation || e.Kind == Hall) && e.Size == 0 && len(e.Name) <= maxNameBytes
}

// NewSummary returns a summary of entries. Those that can't be of an account are left out, and so are
// those beyond [MaxSummaryBytes].
func NewSummary(es ...Entry) (s Summary) {
	n := 0
	for _, e := range es {
		if !e.valid() {
			continue
		}
		n += e.size()
		if n > MaxSummaryBytes {
			break
		}
		s.entries = append(s.entries, e)
	}
	return s
}

// Entries returns the entries.
func (s Summary) Entries() []Entry {
	return slices.Clone(s.entries)
}

// Empty reports whether there are no entries.
func (s Summary) Empty() bool {
	return len(s.entries) == 0
}

// Plus returns a summary with the entries of a later one added, which replace earlier ones. A peer
// that hasn't been sent a summary yet gets it together with the next one.
func (s Summary) Plus(later Summary) Summary {
	es := slices.Clone(later.entries)
	replaced := map[key]bool{}
	for _, e := range es {
		replaced[e.key()] = true
	}
	for _, e := range s.entries {
		if !replaced[e.key()] {
			es = append(es, e)
		}
	}
	return NewSummary(es...)
}

// Summary returns the entries that changed notably since peers were told, those that changed most
// first. It is empty where nothing has been short for a while.
func (a *Account) Summary(now time.Time) Summary {
	if !a.telling(now) {
		return Summary{}
	}
	s := a.largest(now, func(k key) float64 { return a.change(k, now) })
	for _, e := range s.entries {
		k := e.key()
		a.own.entries[k].told = a.ownSums(k, now)
	}
	return s
}

// Whole returns all entries, the largest first, for a peer that has just connected. It is empty where
// nothing has been short for a while.
func (a *Account) Whole(now time.Time) Summary {
	if !a.telling(now) {
		return Summary{}
	}
	return a.largest(now, func(k key) float64 { return a.ownSums(k, now).asked })
}

// telling reports whether peers are told. It goes on for a window after a shortage: with the entries
// of a gateway at which nothing is short, others would see none either, and without them again.
func (a *Account) telling(now time.Time) bool {
	if a.Short(now) {
		a.shortAt = now
	}
	return !a.shortAt.IsZero() && now.Sub(a.shortAt) <= a.window
}

// largest returns the entries with a positive size, the largest first.
func (a *Account) largest(now time.Time, size func(k key) float64) Summary {
	type sized struct {
		key
		size float64
	}
	var ks []sized
	for k := range a.own.entries {
		if x := size(k); x > 0 {
			ks = append(ks, sized{k, x})
		}
	}
	slices.SortFunc(ks, func(x, y sized) int { return cmp.Or(cmp.Compare(y.size, x.size), compareKeys(x.key, y.key)) })
	es := make([]Entry, len(ks))
	for i, k := range ks {
		s := a.ownSums(k.key, now)
		es[i] = Entry{Kind: k.kind, Name: k.name, Size: k.key.size, Asked: duration(s.asked), Got: duration(s.got), Usual: duration(s.usual)}
	}
	return NewSummary(es...)
}

// change returns by how much an entry differs from what peers have, 0 if it needn't be told.
func (a *Account) change(k key, now time.Time) float64 {
	s, old := a.ownSums(k, now), a.decay().at(a.own.entries[k].told, now)
	x := math.Abs(s.asked-old.asked) + math.Abs(s.got-old.got)
	if x <= changeShare*max(s.asked, s.got) || x < leastTold.Seconds() {
		return 0
	}
	return x
}

func duration(seconds float64) time.Duration {
	return min(time.Duration(seconds*float64(time.Second)), maxTold)
}

// compareKeys orders keys by kind, name and size.
func compareKeys(x, y key) int {
	return cmp.Or(cmp.Compare(x.kind, y.kind), strings.Compare(x.name, y.name), cmp.Compare(x.size, y.size))
}
