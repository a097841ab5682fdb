package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/hollowgrade/hollowgrade/engine"
)

const (
	splitFrom  = 9_000 // tokens, from which on engines share the reading of a prompt
	maxHelpers = 16    // that an engine takes for one prompt
	// lateShare is the part of a call's worth that is lost when it is late.
	lateShare = 0.75
)

// longOrShort places a call whose prompt several engines may read. An answer
// whose prompt was split makes each step of its engine longer, so that splitting
// costs more the busier the engines are.
func (p *Policy) longOrShort(s Snapshot, r Request) (Plan, bool) {
	l, ok := p.long(s, r)
	e := r.Engine
	if !ok || keepers(r, e) > 1 {
		return l, ok
	}
	a, ok := p.short(s, r)
	if !ok {
		return l, true
	}
	alone := p.harm(&s.Candidates[a.Target], r, a.Reading)*lateShare + r.Worth()*lateShare*r.lateness(a.First)
	split := l.Cost + price(s.Candidates, e)*e.Hops(r.Answer).Seconds()
	if alone <= split {
		return a, true
	}
	return l, true
}

// price is the worth of a second of an engine to others.
func price(cs []Candidate, e *engine.Figures) float64 {
	return busyShare(cs, e) * secondWorth(e)
}

// busyShare is how much a second of an engine is needed by others, from 0 to 1:
// by what waits to be read, or by the slots that are taken.
func busyShare(cs []Candidate, e *engine.Figures) float64 {
	reading := float64(meanReading(cs)) / float64(saturatedFrom)
	return min(max(slotNeed(cs, e), reading, leastBusy), 1)
}

// slotNeed is how much slots are needed by others: 0 or less while enough are free, 1 once it is
// twice as many as that.
func slotNeed(cs []Candidate, e *engine.Figures) float64 {
	return slotShare(cs, e)/fullFrom - 1
}

// meanReading returns how much engines have still to read on average.
func meanReading(cs []Candidate) (d time.Duration) {
	for i := range cs {
		d += cs[i].Reading
	}
	return d / time.Duration(max(len(cs), 1))
}

const (
	// fullFrom is the part of all slots from which on slots are counted as
	// needed; at twice as much they are needed wholly.
	fullFrom = 0.45
	// leastBusy is the least of what a second of an engine is counted as.
	leastBusy = 0.05
)

// long places a call whose prompt several engines read in even parts. It weighs
// how soon the first event would come against how many calls would see a pause
// that is too long for them.
func (p *Policy) long(s Snapshot, r Request) (l Plan, ok bool) {
	e := r.Engine
	cs, at := usable(s.Candidates, r)
	if len(cs) == 0 || len(cs) < keepers(r, e) {
		return l, false
	}
	set, reading, cost := p.cheapestSet(cs, r)
	set, more := p.withRoom(cs, set, r, reading)
	l.Reading, l.Cost = reading, cost+more
	target := p.cheapestOf(s, cs, set, r)
	l.Full = memoryCost(&cs[target], r) > 0
	for _, i := range set {
		l.Wait = max(l.Wait, cs[i].Reading)
		l.First = max(l.First, e.First(cs[i].state(r), l.Reading))
		if i != target {
			l.Helpers = append(l.Helpers, i)
		}
	}
	l.keep(cs, r)
	l.Displaced = p.pricing(p, s, cs, set, r, l)
	l.Refused = p.has(Refusing) && !p.worthwhile(r, l) || p.has(Rooming) && l.Full && !r.Begun
	if l.Refused {
		l.ComeBack = p.comeBackLong(s, cs, set, r, l)
	}
	l.Target = at[target]
	translate(l.Helpers, at)
	translate(l.Keepers, at)
	return l, true
}

// helpMargin is how many parts fewer than its slots an engine is given for others: it
// refuses a part beyond, with the whole prompt, and parts of the moment are not heard yet.
const helpMargin = 2

// usable returns the candidates that may read parts of a prompt, and where each of
// them stands among all. Those that hold all the parts that they take, and those that failed lately,
// are used when there are no others.
func usable(all []Candidate, r Request) (cs []Candidate, at []int) {
	cs = make([]Candidate, 0, len(all))
	at = make([]int, 0, len(all))
	ordered := keepers(r, r.Engine) > 1 // some get orders to set memory aside
	free := func(c *Candidate) bool { return c.Helps < max(r.Engine.Slots-helpMargin, 1) }
	for _, fits := range []func(c *Candidate) bool{
		func(c *Candidate) bool { return !c.Avoided && free(c) },
		func(c *Candidate) bool { return !c.Avoided },
		func(*Candidate) bool { return true },
	} {
		for i := range all {
			if all[i].Tried || ordered && all[i].Limited || !fits(&all[i]) {
				continue
			}
			cs = append(cs, all[i])
			at = append(at, i)
		}
		if len(cs) >= keepers(r, r.Engine) && len(cs) > 0 {
			break
		}
		cs, at = cs[:0], at[:0]
	}
	return cs, at
}

// translate replaces indices by those of the same candidates among all.
func translate(is, at []int) {
	for i := range is {
		is[i] = at[is[i]]
	}
}

// What a second of an engine is worth to others at the most: that of a second of a prompt of
// referencePrompt tokens.
const (
	referencePrompt = 100_000     // tokens
	saturatedFrom   = time.Second // backlog from which on a second has its whole price
	// refusedAgain is the part of its worth that is lost beside it when a call
	// that came back after a refusal is refused again: its caller does not come
	// back a third time.
	refusedAgain = 0.3
)

// secondWorth returns the worth of a second of reading once some waits everywhere.
func secondWorth(e *engine.Figures) float64 {
	r := Request{Engine: e, Prompt: referencePrompt}
	return r.Worth() / e.Reading(r.Prompt, 1).Seconds()
}

// worthwhile reports whether a long prompt is worth what it takes from others.
func (p *Policy) worthwhile(r Request, l Plan) bool {
	if r.Begun {
		return true
	}
	if l.First > r.Left {
		return false
	}
	gain := r.Worth() - l.Cost
	if r.Again && p.has(Returning) {
		gain += refusedAgain * r.Worth()
	}
	return gain >= l.Displaced
}

// keep picks the helpers that keep parts of a prompt that is too long for the
// memory of one engine: those with the most memory free.
func (l *Plan) keep(cs []Candidate, r Request) {
	n := keepers(r, r.Engine)
	if n == 1 {
		return
	}
	l.Keepers = slices.Clone(l.Helpers)
	slices.SortStableFunc(l.Keepers, func(a, b int) int { return cmp.Compare(cs[a].Tokens, cs[b].Tokens) })
	l.Keepers = l.Keepers[:min(n-1, len(l.Keepers))]
	l.Kept = keptTokens(r, n)
}

// cheapestSet returns the engines that read a prompt in even parts at the least
// cost, how long a part takes, and the cost. For each number of parts, and each
// bound on what an engine has yet to read, it looks at those within the bound on
// which the least is lost by longer pauses. Among sets with which the call is late
// the sooner is taken, but no more than what a late answer loses is counted as cost: a
// call that is late already was refused on idle engines else.
func (p *Policy) cheapestSet(cs []Candidate, r Request) (best []int, part time.Duration, cost float64) {
	e := r.Engine
	least := 0.0
	is := p.leastBurdened(cs, r)
	for n := keepers(r, e); n <= min(len(is), 1+maxHelpers); n++ {
		t := e.Reading(r.Prompt, n)
		bySoonest(cs, is, t)
		hs := p.harms(cs, is, r, t)
		for within := n; within <= len(is); within++ {
			first := e.First(cs[is[within-1]].state(r), t)
			late := r.Worth() * lateShare * r.lateness(first)
			if best != nil && late >= least {
				break // it only becomes later with what has more to read
			}
			set, lost := leastHarm(hs, n, within)
			if c := lost*lateShare + late; best == nil || c < least {
				best, part, least = set, t, c
				cost = lost*lateShare + r.Worth()*lateShare*min(r.lateness(first), 1)
			}
		}
	}
	return best, part, cost
}

// setSample bounds the engines that a long prompt is weighed against: several
// times as many as can read parts of it.
const setSample = 64

// leastBurdened returns the engines that a prompt is weighed against: of many, those at
// which a part of it does the least harm.
func (p *Policy) leastBurdened(cs []Candidate, r Request) []int {
	is := make([]int, len(cs))
	for i := range is {
		is[i] = i
	}
	if len(is) > setSample {
		hs := p.harms(cs, is, r, r.Engine.Reading(r.Prompt, 1+maxHelpers))
		for i, h := range hs[:setSample] {
			is[i] = h.engine
		}
		is = is[:setSample]
	}
	return is
}

// bySoonest sorts engines by when they would have read a part of a prompt, the soonest first.
// A part at an engine that is slow holds up the whole prompt.
func bySoonest(cs []Candidate, is []int, part time.Duration) {
	end := func(i int) time.Duration { return cs[i].Reading + cs[i].slower(part) }
	slices.SortStableFunc(is, func(a, b int) int { return cmp.Compare(end(a), end(b)) })
}

// harm is what is lost when a part of a prompt is read at an engine.
type harm struct {
	engine int
	place  int // of the engine in the order by what it has to read
	lost   float64
}

// harms returns what is lost at each engine, the least first.
func (p *Policy) harms(cs []Candidate, is []int, r Request, part time.Duration) []harm {
	hs := make([]harm, len(is))
	for place, i := range is {
		hs[place] = harm{i, place, p.harm(&cs[i], r, part)}
	}
	slices.SortStableFunc(hs, func(a, b harm) int { return cmp.Compare(a.lost, b.lost) })
	return hs
}

// harm returns the worth of the calls at the engine that would see a pause too
// long for them only because of the part.
func (p *Policy) harm(c *Candidate, r Request, part time.Duration) float64 {
	if !p.has(Pauses) {
		return 0
	}
	s := c.state(r)
	return c.Stakes.Lost(r.Engine.Pause(s, 0), r.Engine.Pause(s, part))
}

// leastHarm returns the n engines at which the least is lost among the first in
// the order by what they have to read, and how much is.
func leastHarm(hs []harm, n, within int) (set []int, lost float64) {
	set = make([]int, 0, n)
	for _, h := range hs {
		if h.place < within && len(set) < n {
			set = append(set, h.engine)
			lost += h.lost
		}
	}
	return set, lost
}
