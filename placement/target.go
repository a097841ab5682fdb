package placement

import (
	"slices"
	"time"
)

const (
	// restrictCost is what it costs to let a call write at an engine where all
	// others bear longer pauses: parts of prompts that held nobody up there would
	// from then on.
	restrictCost = 1
	// answerOrderCost is by how much the last engine of the common order costs more
	// than the first as the one that answers a long prompt. Each engine at which
	// anybody writes spends a part of its time on token steps, whatever the number
	// of writers.
	answerOrderCost = 0.3
	// answerSpread is how much chance weighs among the engines that may answer: two long prompts
	// of one moment at the same engine wait for its memory one after the other.
	answerSpread = 0.1
)

// cheapestOf returns the engine of a set that answers: one with room in its slots
// and its memory, and the same ones for all calls that bear about the same pauses. Among
// those of about the same cost chance decides, so that two prompts of one moment do not
// meet.
func (p *Policy) cheapestOf(s Snapshot, cs []Candidate, set []int, r Request) (best int) {
	pack := int(packShare * float64(r.Engine.Slots))
	spread := answerSpread
	if !p.has(Spreading) {
		spread = 0
	}
	least := 0.0
	for n, i := range set {
		c := &cs[i]
		x := memoryCost(c, r) + crowding(c.Open, pack, r.Engine.Slots) + answerOrderCost*float64(i)/float64(len(cs))
		if p.has(Restricting) && !c.Stakes.bearsNoMoreThan(r.Pause) {
			x += restrictCost
		}
		x += spread * s.Chance()
		if n == 0 || x < least {
			best, least = i, x
		}
	}
	return best
}

// withRoom returns a set of engines of which one at least has memory for the prompt, and
// how much more is lost by it. The engines at which the least harm is done are those at which
// other long prompts are answered, so that all of a set may be full. The one at which the most
// is lost makes room.
func (p *Policy) withRoom(cs []Candidate, set []int, r Request, part time.Duration) (roomy []int, more float64) {
	room := func(i int) bool { return memoryCost(&cs[i], r) == 0 }
	if !p.has(Rooming) || slices.ContainsFunc(set, room) {
		return set, 0
	}
	best, least := -1, 0.0
	for i := range cs {
		if !room(i) {
			continue
		}
		late := r.Worth() * lateShare * r.lateness(r.Engine.First(cs[i].state(r), part))
		if x := p.harm(&cs[i], r, part)*lateShare + late; best < 0 || x < least {
			best, least = i, x
		}
	}
	if best < 0 {
		return set, 0
	}
	out := len(set) - 1
	more = (p.harm(&cs[best], r, part) - p.harm(&cs[set[out]], r, part)) * lateShare
	roomy = slices.Clone(set)
	roomy[out] = best
	return roomy, max(more, 0)
}
