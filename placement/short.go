package placement

import (
	"time"

	"github.com/hollowgrade/hollowgrade/engine"
)

const (
	// packShare is the part of an engine's slots up to which calls with short pause goals are packed
	// on the same engines, so that prefill of long prompts on the others delays no such call.
	packShare = 0.625
	// commonOrderCost is how much more the last engine of the common order costs than the first: more
	// than a few more calls in decode change a prediction, and less than a pause that misses its goal.
	commonOrderCost = 0.15
	// usableMemoryShare is the part of an engine's memory that placement fills; above it the engine
	// would preempt calls.
	usableMemoryShare = 0.95
)

// placeShort places a call whose prompt is prefilled by one engine. Calls with short pause goals are
// packed on the first engines of the common order that have room, away from the prefill of long
// prompts.
func (p *Policy) placeShort(s Snapshot, r Request) (l Plan, ok bool) {
	e := r.Engine
	l.PrefillTime = e.PrefillTime(r.PromptTokens, 1)
	l.CallsAhead = p.callsAhead(s)
	cs, target := cheapestAfter(s.Candidates, l.CallsAhead, p.shortCost(s, r, l.PrefillTime), func(c *Candidate) { c.addCall(r, l.PrefillTime) })
	if target < 0 {
		return l, false
	}
	c := &cs[target]
	l.Target = target
	if r.Scheduled {
		l.Wait = c.PrefillBacklog
	}
	l.FirstEvent = e.TimeToFirstEvent(c.state(r), l.PrefillTime) + slotWait(c, r)
	l.Refused = p.has(Shedding) && !r.StreamStarted && r.missesGoal(l.FirstEvent) && allSlotsTaken(cs, e)
	l.RetryAfter = defaultRetryAfter(l.FirstEvent)
	return l, true
}

// addCall adds a call whose whole prompt the candidate prefills.
func (c *Candidate) addCall(r Request, prefill time.Duration) {
	c.Open++
	c.Tokens += r.PromptTokens + r.MaxTokens
	c.Stakes = c.Stakes.Plus(r.Stakes())
	c.PrefillBacklog += prefill + c.extraTime(prefill)
}

// shortCost returns the cost function for placing a short call on a candidate.
func (p *Policy) shortCost(s Snapshot, r Request, prefill time.Duration) func(i int, c *Candidate) float64 {
	e := r.Engine
	pack := max(int(packShare*s.KnownPeerShare*float64(e.Slots)), 1)
	equalCost := equalCostEngines(s, pack)
	spread, order := spreadCost, commonOrderCost
	if !p.has(Spreading) {
		spread = 0
	}
	if !p.has(Packing) {
		pack, order = 0, 0
	}
	order /= float64(max(len(s.Candidates), 1))
	return func(i int, c *Candidate) float64 {
		t := c.state(r)
		x := r.lateness(e.TimeToFirstEvent(t, prefill))
		if r.PauseGoal > 0 {
			x += pauseMissChance(e.LongestPause(t, prefill), r.PauseGoal) // its answer would start within a pass that is too long for it
		}
		x += crowding(c.Open, pack, e.Slots)
		x += memoryCost(c, r)
		if i >= equalCost || c.Open >= pack {
			x += spread // more than the random cost below
		}
		x += order * float64(max(i-equalCost+1, 0))
		return x + spread*s.Random()
	}
}

// missesGoal reports whether a first event after the given time would miss the goal.
func (r Request) missesGoal(first time.Duration) bool {
	return r.Goal > 0 && float64(r.Waited+first) > goalMissedAbove*float64(r.Goal)
}

// allSlotsTaken reports whether all slots of the engines are in use. A call that would be late is
// refused then, because serving it would make calls late that would be in time.
func allSlotsTaken(cs []Candidate, e *engine.Figures) bool {
	return slotShare(cs, e) >= 1
}

// slotWait returns how long a call waits for a slot. Calls in decode are assumed to free their slots
// evenly over the time of an answer of the usual length.
func slotWait(c *Candidate, r Request) time.Duration {
	e := r.Engine
	ahead := c.Open - e.Slots + 1
	if ahead <= 0 {
		return 0
	}
	passes := max(e.UsualAnswer/max(e.Stride, 1), 1)
	return time.Duration(ahead) * time.Duration(passes) * e.PassTime(c.state(r)) / time.Duration(max(e.Slots, 1))
}

// The start of a burst isn't visible in the reported load. So the first engines of the common order
// that together have room for one call of each peer have equal cost, with a random choice among
// them. Engines after them cost more than the random part, so that they stay free for prefill.
const (
	minSpreadRoom   = 4    // calls; more with more peers, each of which may have placed one unreported call
	spreadRoomShare = 0.05 // of the open calls
	spreadCost      = 0.1  // of a call's worth; less than the cost of a pause that misses its goal
)

// equalCostEngines returns how many engines at the start of the common order have equal cost.
func equalCostEngines(s Snapshot, pack int) (n int) {
	cs := s.Candidates
	need := max(minSpreadRoom, s.Peers, int(spreadRoomShare*float64(openCalls(cs))))
	for i := range cs {
		if need <= 0 {
			break
		}
		need -= max(pack-cs[i].Open, 0)
		n++
	}
	return n
}

// openCalls returns the number of open calls of all candidates.
func openCalls(cs []Candidate) (n int) {
	for i := range cs {
		n += cs[i].Open
	}
	return n
}

// Predictions are sometimes off by a third, so the chance of a late first event rises linearly
// between these parts of the goal.
const (
	goalMetBelow    = 0.5
	goalMissedAbove = 1.1
	latenessPerGoal = 0.1 // lateness added for each goal's length of time
)

// lateness estimates the chance that a call misses its goal, counted from its caller's first
// attempt. It keeps rising slowly for late calls, so that they aren't delayed further.
func (r Request) lateness(first time.Duration) float64 {
	if r.Goal <= 0 {
		return 0
	}
	x := float64(r.Waited+first) / float64(r.Goal)
	chance := min(max((x-goalMetBelow)/(goalMissedAbove-goalMetBelow), 0), 1)
	return chance + latenessPerGoal*x
}

// crowding is the cost of an engine's calls beyond the packed ones. It is above 1 once all slots
// are in use, when a call would wait for one.
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

// memoryCost is high where the call doesn't fit into the engine's memory, and 0 elsewhere.
func memoryCost(c *Candidate, r Request) float64 {
	if float64(c.Tokens+targetTokens(r)) > usableMemoryShare*float64(r.Engine.Capacity) {
		return 3
	}
	return 0
}

// targetTokens returns the memory that a call takes at the engine that answers it.
func targetTokens(r Request) int {
	n := keeperCount(r, r.Engine)
	return r.PromptTokens - (n-1)*keptTokens(r, n) + r.MaxTokens
}

// keptTokens returns how many tokens each keeper stores of a prompt that is stored at n engines.
func keptTokens(r Request, n int) int {
	return (r.PromptTokens + n - 1) / n
}

// promptMemoryShare is the part of an engine's memory that one prompt may take where it is stored
// at several engines.
const promptMemoryShare = 0.45

// keeperCount returns the number of engines, the target included, that have to store a prompt.
func keeperCount(r Request, e *engine.Figures) int {
	if float64(r.PromptTokens+r.MaxTokens) <= usableMemoryShare*float64(e.Capacity) {
		return 1
	}
	part := promptMemoryShare * float64(e.Capacity)
	return int(float64(r.PromptTokens+r.MaxTokens)/part) + 1
}
