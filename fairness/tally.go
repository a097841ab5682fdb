package fairness

import (
	"math"
	"time"
)

// Kind is what the entries of an account are distinguished by.
type Kind int

// The kinds of entry.
const (
	Organisation Kind = iota
	Hall
	Size
	kinds
)

// restName is the name of the entry that parties without one of their own share.
const restName = ""

// key identifies an entry.
type key struct {
	kind Kind
	name string // of an organisation or data hall
	size int    // size class
}

// rest returns the common entry of a kind.
func (k Kind) rest() key {
	return key{kind: k, name: restName}
}

// sums are seconds of prefill whose weight decays.
type sums struct {
	at    time.Time
	asked float64
	got   float64
	usual float64 // asked, with a longer time constant
}

func (s sums) plus(t sums) sums {
	s.asked += t.asked
	s.got += t.got
	s.usual += t.usual
	return s
}

// minus subtracts sums that were added before. What rounding leaves below 0 is 0.
func (s sums) minus(t sums) sums {
	s.asked = max(s.asked-t.asked, 0)
	s.got = max(s.got-t.got, 0)
	s.usual = max(s.usual-t.usual, 0)
	return s
}

// nanoseconds returns the sums in whole nanoseconds.
func (s sums) nanoseconds() sums {
	s.asked = math.Round(s.asked * float64(time.Second))
	s.got = math.Round(s.got * float64(time.Second))
	s.usual = math.Round(s.usual * float64(time.Second))
	return s
}

// decay has the time constants of sums, in seconds.
type decay struct {
	window      float64
	usualWindow float64
}

// at returns sums as of now. Times that go back leave them unchanged.
func (d decay) at(s sums, now time.Time) sums {
	age := now.Sub(s.at).Seconds()
	if age <= 0 {
		return s
	}
	x := math.Exp(-age / d.window)
	s.asked *= x
	s.got *= x
	s.usual *= math.Exp(-age / d.usualWindow)
	s.at = now
	return s
}

// entry is what this gateway counted for a key.
type entry struct {
	sums
	told sums // what peers were told last
	// floor has the asked time of the entry that this one replaced. It counts for the order of
	// entries only, so that an organisation that begins to ask for much isn't replaced before it has.
	floor sums
}

// tally is what this gateway counted. A kind that is full replaces the entry that asked for the
// least, whose sums go to the common one: the space-saving algorithm, with exact totals.
type tally struct {
	decay    decay
	entries  map[key]*entry
	count    [kinds]int
	capacity [kinds]int
}

func newTally(d decay, organisations int) *tally {
	return &tally{
		decay:    d,
		entries:  map[key]*entry{},
		capacity: [kinds]int{Organisation: organisations, Hall: maxHalls, Size: sizeClasses},
	}
}

// add adds to the entry of a key. What was got counts for an entry that exists only: the asked time
// of one that was replaced is in the common entry.
func (t *tally) add(now time.Time, k key, s sums) {
	e := t.entries[k]
	if e == nil && s.asked == 0 {
		k = k.kind.rest()
		e = t.entries[k]
	}
	if e == nil {
		e = t.insert(now, k)
	}
	e.sums = t.decay.at(e.sums, now).plus(s)
}

// insert adds an entry, in place of the least one if there are too many of the kind.
func (t *tally) insert(now time.Time, k key) *entry {
	e := &entry{sums: sums{at: now}, told: sums{at: now}, floor: sums{at: now}}
	common := k.kind != Size && k.name == restName
	if !common && t.count[k.kind] == t.capacity[k.kind] {
		e.floor.asked = t.replaceLeast(now, k.kind)
	}
	t.entries[k] = e
	if !common {
		t.count[k.kind]++
	}
	return e
}

// replaceLeast moves the least entry of a kind to the common one, and returns its asked time.
func (t *tally) replaceLeast(now time.Time, k Kind) float64 {
	var least key
	asked := math.Inf(1)
	for l, e := range t.entries {
		if l.kind != k || l == k.rest() {
			continue
		}
		if x := t.order(e, now); x < asked || x == asked && l.name < least.name {
			least, asked = l, x
		}
	}
	s := t.decay.at(t.entries[least].sums, now)
	delete(t.entries, least)
	t.count[k]--
	r := t.entries[k.rest()]
	if r == nil {
		r = t.insert(now, k.rest())
	}
	r.sums = t.decay.at(r.sums, now).plus(s)
	return asked
}

// order returns the asked time by which entries are kept.
func (t *tally) order(e *entry, now time.Time) float64 {
	return t.decay.at(e.sums, now).asked + t.decay.at(e.floor, now).asked
}
