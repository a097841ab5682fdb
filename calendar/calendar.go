// Package calendar decides in which order long prompts get the time of the engines, and which of
// those that wait are refused. Decisions are pure functions of the prompts that wait at all gateways
// of a cell and of the engines' backlog, so that gateways with the same view decide alike.
//
// It answers a load of long prompts that come faster for some seconds than the engines can prefill
// them. Prompts that are all sent at once are prefilled at once, and all of them are late.
package calendar

import (
	"cmp"
	"slices"
	"time"
)

// Entry is a long prompt that waits for its turn.
type Entry struct {
	ID       string // unique among all gateways
	Service  string
	Prefill  time.Duration // of the whole prompt by one engine
	Due      time.Time     // when its first event has to come for the answer to be in time
	Deadline time.Time     // when waiting longer is of no use
	Worth    float64
	Rank     int // 0 is the most urgent
}

// density returns the worth of a second of prefill.
func (e Entry) density() float64 {
	return e.Worth / max(e.Prefill.Seconds(), 1e-6)
}

// Engines are the engines of a service.
type Engines struct {
	Count    int           // those that may get parts of prompts
	Backlog  time.Duration // mean prefill that has been assigned and not yet done
	MaxParts int           // engines that may share the prefill of one prompt
	Pass     time.Duration // usual time from the end of the prefill to the first event
}

// longShare is the part of the engines' time that long prompts can have. Calls with short goals and
// the token steps of all answers take the rest.
const longShare = 0.8

// turnTime returns how long all engines together take to prefill a prompt.
func (g Engines) turnTime(prefill time.Duration) time.Duration {
	return time.Duration(float64(prefill) / (longShare * float64(max(g.Count, 1))))
}

// ownTime returns the least time from the start of a prompt's prefill to its first event.
func (g Engines) ownTime(prefill time.Duration) time.Duration {
	return prefill/time.Duration(max(min(g.MaxParts, g.Count), 1)) + g.Pass
}

// Late reports whether a prompt can't be in time any more, even if it were next.
func (g Engines) Late(e Entry, now time.Time) bool {
	return now.Add(g.Backlog + g.ownTime(e.Prefill)).After(e.Due)
}

// queued is an entry with its place in the order.
type queued struct {
	Entry
	late bool
}

// order sorts entries: those that can be in time before late ones, each by rank. Entries of one rank
// that can be in time go by when they are due, late ones by length, so that most of them are answered.
func order(es []Entry, g Engines, now time.Time) []queued {
	qs := make([]queued, len(es))
	for i, e := range es {
		qs[i] = queued{e, g.Late(e, now)}
	}
	slices.SortFunc(qs, func(a, b queued) int {
		if a.late != b.late {
			if a.late {
				return 1
			}
			return -1
		}
		byLength := 0
		if a.late {
			byLength = cmp.Compare(a.Prefill, b.Prefill)
		}
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), byLength, a.Due.Compare(b.Due), cmp.Compare(a.ID, b.ID))
	})
	return qs
}

// Turn is a prompt's place in the order.
type Turn struct {
	Ahead   time.Duration // how long the engines take for the prompts ahead of it
	Waiting int           // prompts ahead of it
	Late    bool          // it can't be in time any more, and gets only time that others leave
}

// TurnOf returns the place of an entry among all that wait, itself included.
func TurnOf(es []Entry, id string, g Engines, now time.Time) (t Turn) {
	for _, q := range order(es, g, now) {
		if q.ID == id {
			t.Late = q.late
			return t
		}
		t.Ahead += g.turnTime(q.Prefill)
		t.Waiting++
	}
	return t
}

// lateShare is the part of the time for long prompts that late ones can count on. They are started
// only while nothing else waits and the engines are idle.
const lateShare = 0.25

// Overflow returns the ids of the entries for which there is no time: if they stayed, prompts of
// more worth a second would be late, or they would wait beyond their own deadline.
func Overflow(es []Entry, g Engines, now time.Time) (ids []string) {
	qs := order(es, g, now)
	first := slices.IndexFunc(qs, func(q queued) bool { return q.late })
	if first < 0 {
		first = len(qs)
	}
	late := slices.Clone(qs[first:])
	qs = qs[:first]
	for {
		end := firstLate(qs, g, now)
		if end < 0 {
			break
		}
		least := leastDense(qs[:end+1])
		ids = append(ids, qs[least].ID)
		qs = slices.Delete(qs, least, least+1)
	}
	return append(ids, overdue(late, g, now.Add(g.Backlog+totalTurn(qs, g)))...)
}

// totalTurn returns how long the engines take for some prompts.
func totalTurn(qs []queued, g Engines) (d time.Duration) {
	for _, q := range qs {
		d += g.turnTime(q.Prefill)
	}
	return d
}

// overdue returns the ids of the late entries whose turn would come after their deadline, if the
// first of them could start at the given time.
func overdue(late []queued, g Engines, start time.Time) (ids []string) {
	for _, q := range late {
		if start.Add(g.ownTime(q.Prefill)).After(q.Deadline) {
			ids = append(ids, q.ID)
			continue
		}
		start = start.Add(time.Duration(float64(g.turnTime(q.Prefill)) / lateShare))
	}
	return ids
}

// firstLate returns the index of the first entry that would be late if all were served in order, -1
// if there is none.
func firstLate(qs []queued, g Engines, now time.Time) int {
	start := now.Add(g.Backlog)
	for i, q := range qs {
		if start.Add(g.turnTime(q.Prefill)+g.ownTime(q.Prefill)).After(q.Due) && i > 0 {
			return i
		}
		start = start.Add(g.turnTime(q.Prefill))
	}
	return -1
}

// leastDense returns the index of the entry of the highest rank number and the least worth a second.
func leastDense(qs []queued) (least int) {
	for i, q := range qs {
		if c := cmp.Compare(q.Rank, qs[least].Rank); c > 0 || c == 0 && q.density() < qs[least].density() {
			least = i
		}
	}
	return least
}

// Drained returns how long the engines take for all that waits and for a prompt after it.
func Drained(es []Entry, g Engines, prefill time.Duration) (d time.Duration) {
	for _, e := range es {
		d += g.turnTime(e.Prefill)
	}
	return d + g.Backlog + g.turnTime(prefill)
}
