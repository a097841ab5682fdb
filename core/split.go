package core

import (
	"cmp"
	"slices"
	"time"

	"github.com/hollowgrade/hollowgrade/engine"
)

// pickLongOrShort places a request whose prompt several engines may read. An
// answer whose prompt was split makes each step of its engine longer, so that
// splitting costs more the busier the engines are.
func (f *Fleet) pickLongOrShort(ms []*member, d demand, tried map[string]bool, now time.Time) *placed {
	l := pickLong(ms, d, tried, now)
	e := d.service.Engine
	if l == nil || keepers(d, e) > 1 {
		return l
	}
	s := f.pickShort(ms, d, tried, now)
	if s == nil {
		return l
	}
	alone := s.member.harm(d, s.reading, now)*lateShare + d.worth()*lateShare*lateness(s.first, d.goal)
	split := l.cost + busyShare(ms, e, now)*engineSecond*e.Hops(d.out).Seconds()
	if alone <= split {
		return s
	}
	return l
}

// busyShare is how much a second of an engine is needed by others, from 0 to 1:
// by what waits to be read, or by the slots that are taken.
func busyShare(ms []*member, e *engine.Figures, now time.Time) float64 {
	open := 0
	for _, m := range ms {
		open += m.total().Open
	}
	slots := float64(open)/float64(max(e.Slots*len(ms), 1))/fullFrom - 1
	reading := float64(meanReading(ms, now)) / float64(saturatedFrom)
	return min(max(slots, reading, leastBusy), 1)
}

const (
	// fullFrom is the part of all slots from which on slots are counted as
	// needed; at twice as much they are needed wholly.
	fullFrom = 0.45
	// leastBusy is the least of what a second of an engine is counted as.
	leastBusy = 0.1
)

// pickLong places a request whose prompt several engines read in even parts. It
// weighs how soon the first event would come against how many requests would
// see a pause that is too long for them.
func pickLong(ms []*member, d demand, tried map[string]bool, now time.Time) *placed {
	e := d.service.Engine
	ms = slices.DeleteFunc(slices.Clone(ms), func(m *member) bool { return tried[m.ID] || now.Before(m.avoid) })
	if len(ms) == 0 || len(ms) < keepers(d, e) {
		return nil
	}
	busy := busyShare(ms, e, now)
	ms, reading, cost := cheapestSet(ms, d, now)
	p := &placed{reading: reading, cost: cost}
	p.member = cheapest(ms, nil, now, func(_ int, m *member) float64 {
		return memoryCost(m, d, e) + crowding(m.total().Open, 0, e.Slots) + float64(m.total().Tokens)/float64(e.Capacity)
	})
	for _, m := range ms {
		p.wait = max(p.wait, m.reading(now))
		p.first = max(p.first, e.First(m.state(d, now), p.reading))
		if m != p.member {
			p.helpers = append(p.helpers, m)
		}
	}
	p.keep(d, e)
	p.refused = !d.worthwhile(p.first, p.cost, busy)
	return p
}

// What a second of an engine's reading is worth to others depends on how much
// all engines have still to read: nothing while they are idle, and the worth of
// prompts of middling length, which read best for their worth among the long
// ones, once some reading waits everywhere. Rounds with 5 to 12 and with 0.5 to
// 1 s differed by less than the bench's noise (docs/design/placement.md).
const (
	engineSecond  = 8.0
	saturatedFrom = 600 * time.Millisecond
	// refusedAgain is the part of its worth that is lost beside it when a call
	// that came back after a refusal is refused again.
	refusedAgain = 0.3
)

// worthwhile reports whether a long prompt is worth the reading that it takes.
// Cost is what is lost by it, its own lateness among it, busy how much a second of
// an engine is needed by others.
func (d demand) worthwhile(first time.Duration, cost, busy float64) bool {
	if d.begun {
		return true
	}
	if first > d.left {
		return false
	}
	gain := d.worth() - cost
	if d.again {
		gain += refusedAgain * d.worth()
	}
	work := d.service.Engine.Reading(d.prompt, 1).Seconds()
	return gain >= busy*engineSecond*work
}

// meanReading returns how much engines have still to read on average.
func meanReading(ms []*member, now time.Time) (d time.Duration) {
	for _, m := range ms {
		d += m.reading(now)
	}
	return d / time.Duration(max(len(ms), 1))
}

// keep picks the helpers that keep parts of a prompt that is too long for the
// memory of one engine: those with the most memory free.
func (p *placed) keep(d demand, e *engine.Figures) {
	n := keepers(d, e)
	if n == 1 {
		return
	}
	p.holders = slices.Clone(p.helpers)
	slices.SortStableFunc(p.holders, func(a, b *member) int { return cmp.Compare(a.total().Tokens, b.total().Tokens) })
	p.holders = p.holders[:min(n-1, len(p.holders))]
	p.tokens = (d.prompt + n - 1) / n
}

// cheapestSet returns the engines that read a prompt in even parts at the least
// cost, how long a part takes, and the cost. For each number of parts, and each
// bound on what an engine has yet to read, it looks at those within the bound on
// which the least is lost by longer pauses.
func cheapestSet(ms []*member, d demand, now time.Time) (best []*member, part time.Duration, least float64) {
	e := d.service.Engine
	ms = leastBurdened(ms, d, now)
	for n := keepers(d, e); n <= min(len(ms), 1+maxHelpers); n++ {
		t := e.Reading(d.prompt, n)
		hs := harms(ms, d, t, now)
		for within := n; within <= len(ms); within++ {
			first := e.First(ms[within-1].state(d, now), t)
			late := d.worth() * lateShare * lateness(first, d.goal)
			if best != nil && late >= least {
				break // it only becomes later with what has more to read
			}
			set, lost := leastHarm(hs, n, within)
			if c := lost*lateShare + late; best == nil || c < least {
				best, part, least = set, t, c
			}
		}
	}
	return best, part, least
}

// setSample bounds the engines that a long prompt is weighed against: several
// times as many as can read parts of it.
const setSample = 64

// leastBurdened returns engines by what they have to read, the least first; of
// many, those at which a part of the prompt does the least harm.
func leastBurdened(ms []*member, d demand, now time.Time) []*member {
	ms = slices.Clone(ms)
	if len(ms) > setSample {
		hs := harms(ms, d, d.service.Engine.Reading(d.prompt, 1+maxHelpers), now)
		for i, h := range hs[:setSample] {
			ms[i] = h.member
		}
		ms = ms[:setSample]
	}
	slices.SortStableFunc(ms, func(a, b *member) int { return cmp.Compare(a.reading(now), b.reading(now)) })
	return ms
}

// harm is what is lost when a part of a prompt is read at an engine.
type harm struct {
	member *member
	place  int // of the engine in the order by what it has to read
	lost   float64
}

// harms returns what is lost at each engine, the least first.
func harms(ms []*member, d demand, part time.Duration, now time.Time) []harm {
	hs := make([]harm, len(ms))
	for i, m := range ms {
		hs[i] = harm{m, i, m.harm(d, part, now)}
	}
	slices.SortStableFunc(hs, func(a, b harm) int { return cmp.Compare(a.lost, b.lost) })
	return hs
}

// harm returns the worth of the requests at the engine that would see a pause
// too long for them only because of the part.
func (m *member) harm(d demand, part time.Duration, now time.Time) float64 {
	s := m.state(d, now)
	e := d.service.Engine
	return m.total().Stakes.lost(e.Pause(s, 0), e.Pause(s, part))
}

// leastHarm returns the n engines at which the least is lost among the first in
// the order by what they have to read, and how much is.
func leastHarm(hs []harm, n, within int) (set []*member, lost float64) {
	set = make([]*member, 0, n)
	for _, h := range hs {
		if h.place < within && len(set) < n {
			set = append(set, h.member)
			lost += h.lost
		}
	}
	return set, lost
}
