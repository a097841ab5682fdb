package placement

import (
	"slices"
	"time"
)

const (
	// mixedPauseCost is the cost of answering a call at an engine where all calls have longer pause
	// goals: from then on prefill that fits those goals would delay this call.
	mixedPauseCost = 1
	// answerOrderCost is how much more the last engine of the common order costs than the first as
	// the target of a long prompt. Every engine in decode spends a part of its time on token steps,
	// however few calls it has, so long answers are kept on few engines.
	answerOrderCost = 0.3
	// answerSpreadCost is the weight of the random choice among targets: two concurrent long prompts
	// at the same engine would wait for its memory one after the other.
	answerSpreadCost = 0.1
)

// pickTarget returns the engine of a set that answers: one with free slots and memory, and the same
// few for calls with similar pause goals. The choice among engines of about the same cost is random,
// so that two gateways don't pick the same one for concurrent prompts.
func (p *Policy) pickTarget(s Snapshot, cs []Candidate, set []int, r Request) (best int) {
	pack := int(packShare * float64(r.Engine.Slots))
	spread := answerSpreadCost
	if !p.has(Spreading) {
		spread = 0
	}
	least := 0.0
	for n, i := range set {
		c := &cs[i]
		x := memoryCost(c, r) + crowding(c.Open, pack, r.Engine.Slots) + answerOrderCost*float64(i)/float64(len(cs))
		if p.has(Restricting) && !c.Stakes.hasGoalUpTo(r.PauseGoal) {
			x += mixedPauseCost
		}
		x += spread * s.Random()
		if n == 0 || x < least {
			best, least = i, x
		}
	}
	return best
}

// replaceForMemory returns a set of which at least one engine has memory for the prompt, and the
// additional loss. The engines with the least loss are often those that answer other long prompts,
// so that all engines of a set may be full. The one with the largest loss is replaced.
func (p *Policy) replaceForMemory(cs []Candidate, set []int, r Request, part time.Duration) (changed []int, extraLoss float64) {
	hasMemory := func(i int) bool { return memoryCost(&cs[i], r) == 0 }
	if !p.has(Rooming) || slices.ContainsFunc(set, hasMemory) {
		return set, 0
	}
	best, least := -1, 0.0
	for i := range cs {
		if !hasMemory(i) {
			continue
		}
		late := r.Worth() * lateLossShare * r.lateness(r.Engine.TimeToFirstEvent(cs[i].state(r), part))
		if x := p.pauseLoss(&cs[i], r, part)*lateLossShare + late; best < 0 || x < least {
			best, least = i, x
		}
	}
	if best < 0 {
		return set, 0
	}
	replaced := len(set) - 1
	extraLoss = (p.pauseLoss(&cs[best], r, part) - p.pauseLoss(&cs[set[replaced]], r, part)) * lateLossShare
	changed = slices.Clone(set)
	changed[replaced] = best
	return changed, max(extraLoss, 0)
}
