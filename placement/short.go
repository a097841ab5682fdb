package placement

import (
	"time"

	"github.com/hollowgrade/hollowgrade/engine"
)

const (
	// packShare is the part of an engine's slots up to which calls that bear
	// short pauses are packed on the same engines, so that long prompts find
	// others on which they hold nobody up.
	packShare = 0.625
	// orderCost is by how much the last engine of the common order costs more
	// than the first: more than what a few writers more make of a prediction, and
	// less than a pause that is too long.
	orderCost = 0.15
	// memoryShare is the part of an engine's memory that placement fills;
	// beyond, the engine would preempt.
	memoryShare = 0.95
)

// short places a call whose prompt is read by one engine. Calls that bear short
// pauses only are packed on the first engines of the common order that have room,
// away from those that read long prompts.
func (p *Policy) short(s Snapshot, r Request) (l Plan, ok bool) {
	e := r.Engine
	l.Reading = e.Reading(r.Prompt, 1)
	l.Turn = p.turn(s)
	cs, target := cheapestInTurn(s.Candidates, l.Turn, p.shortCost(s, r, l.Reading), func(c *Candidate) { c.give(r, l.Reading) })
	if target < 0 {
		return l, false
	}
	c := &cs[target]
	l.Target = target
	l.First = e.First(c.state(r), l.Reading) + slotWait(c, r)
	l.Refused = p.has(Shedding) && !r.Begun && r.lateFor(l.First) && slotsTaken(cs, e)
	l.ComeBack = comeBack(l.First)
	return l, true
}

// give adds a call whose prompt the candidate reads alone.
func (c *Candidate) give(r Request, reading time.Duration) {
	c.Open++
	c.Tokens += r.Prompt + r.Answer
	c.Stakes = c.Stakes.Plus(r.Stakes())
	c.Reading += reading + c.slower(reading)
}

// shortCost returns what it costs to give a short call to a candidate.
func (p *Policy) shortCost(s Snapshot, r Request, reading time.Duration) func(i int, c *Candidate) float64 {
	e := r.Engine
	pack := max(int(packShare*s.Heard*float64(e.Slots)), 1)
	lane := laneWidth(s, pack)
	spread, order := spreadShare, orderCost
	if !p.has(Spreading) {
		spread = 0
	}
	if !p.has(Packing) {
		pack, order = 0, 0
	}
	order /= float64(max(len(s.Candidates), 1))
	return func(i int, c *Candidate) float64 {
		t := c.state(r)
		x := r.lateness(e.First(t, reading))
		if r.Pause > 0 {
			x += tooLong(e.Pause(t, reading), r.Pause) // it would begin within a pass that is too long for it
		}
		x += crowding(c.Open, pack, e.Slots)
		x += memoryCost(c, r)
		if i >= lane || c.Open >= pack {
			x += spread // more than chance makes up
		}
		x += order * float64(max(i-lane+1, 0))
		return x + spread*s.Chance()
	}
}

// lateFor reports whether the first event comes too late if it comes after that
// long.
func (r Request) lateFor(first time.Duration) bool {
	return r.Goal > 0 && float64(r.Waited+first) > surelyLate*float64(r.Goal)
}

// slotsTaken reports whether all slots of the engines are taken. A call that would
// be late is refused then: what it takes makes others late that come in time.
func slotsTaken(cs []Candidate, e *engine.Figures) bool {
	return slotShare(cs, e) >= 1
}

// slotWait returns how long a call waits for a slot: those that write give theirs
// back evenly over the time that an answer of the usual length takes.
func slotWait(c *Candidate, r Request) time.Duration {
	e := r.Engine
	ahead := c.Open - e.Slots + 1
	if ahead <= 0 {
		return 0
	}
	passes := max(e.UsualAnswer/max(e.Stride, 1), 1)
	return time.Duration(ahead) * time.Duration(passes) * e.Pass(c.state(r)) / time.Duration(max(e.Slots, 1))
}

// A burst that begins is not known by how many calls have been heard. So the first
// engines of the common order that have room for a call of each other process together
// count alike, and chance decides among those of about the same cost. Those beyond cost
// more than chance makes up, so that others stay free to read.
const (
	leastRoom   = 4    // calls; more where there are more other processes, each of which may have picked once unheard
	roomShare   = 0.05 // of those that are open
	spreadShare = 0.1  // of a call's worth, less than a pause that is too long
)

// laneWidth returns how many engines of the common order count alike.
func laneWidth(s Snapshot, pack int) (n int) {
	cs := s.Candidates
	need := max(leastRoom, s.Others, int(roomShare*float64(openCalls(cs))))
	for i := range cs {
		if need <= 0 {
			break
		}
		need -= max(pack-cs[i].Open, 0)
		n++
	}
	return n
}

// openCalls returns how many calls the candidates have together.
func openCalls(cs []Candidate) (n int) {
	for i := range cs {
		n += cs[i].Open
	}
	return n
}

// Predictions are off by a third now and then: an answer that is predicted well
// within its goal will be in time, one that is predicted somewhat beyond it
// will not.
const (
	surelyInTime = 0.5
	surelyLate   = 1.1
	perGoalMore  = 0.1 // cost of each further goal that it is late by
)

// lateness estimates the chance that a call is late, counted from its caller's
// first try, and rises slowly beyond that, so that a late answer is still not put
// off further.
func (r Request) lateness(first time.Duration) float64 {
	if r.Goal <= 0 {
		return 0
	}
	x := float64(r.Waited+first) / float64(r.Goal)
	chance := min(max((x-surelyInTime)/(surelyLate-surelyInTime), 0), 1)
	return chance + perGoalMore*x
}

// crowding is the cost of an engine's calls beyond those that are packed on it.
// It is over 1 once the slots are full: then a call would wait for one.
func crowding(open, pack, slots int) float64 {
	switch {
	case open < pack:
		return 0
	case open < slots:
		return float64(open-pack+1) / float64(slots-pack+1)
	default:
		return float64(2 + open - slots)
	}
}

// memoryCost is high where the call does not fit into an engine's memory.
func memoryCost(c *Candidate, r Request) float64 {
	if float64(c.Tokens+ownTokens(r)) > memoryShare*float64(r.Engine.Capacity) {
		return 3
	}
	return 0
}

// ownTokens returns how much memory a call takes at the engine that answers it.
func ownTokens(r Request) int {
	n := keepers(r, r.Engine)
	return r.Prompt - (n-1)*keptTokens(r, n) + r.Answer
}

// keptTokens returns how much of a prompt each of its other keepers keeps, where it has n.
func keptTokens(r Request, n int) int {
	return (r.Prompt + n - 1) / n
}

// partShare is the part of an engine's memory that one prompt takes at the most;
// a longer prompt is kept at several.
const partShare = 0.45

// keepers returns at how many engines a prompt has to be kept.
func keepers(r Request, e *engine.Figures) int {
	if float64(r.Prompt+r.Answer) <= memoryShare*float64(e.Capacity) {
		return 1
	}
	part := partShare * float64(e.Capacity)
	return int(float64(r.Prompt+r.Answer)/part) + 1
}
