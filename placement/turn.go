package placement

import (
	"math"
	"slices"
)

// Calls that come to many processes within the time in which these hear of each
// other's picks are decided on the same snapshot, and would all go to the engine that
// costs least in it. So each process places the calls that others are thought
// to have placed meanwhile first, one after another as one process would, and its own
// at a turn that chance draws among them.

// turn draws how many of the calls that others have placed unheard go before this
// one.
func (s Snapshot) turn() int {
	if s.Unheard <= 0 {
		return 0
	}
	return int(s.Chance() * (s.Unheard + 1))
}

// cheapestInTurn returns the index of the candidate that costs least once a number of
// like calls have been given to the cheapest one after another, and the candidates as
// they are then. The index is -1 if there is none that was not tried.
func cheapestInTurn(cs []Candidate, before int, cost func(i int, c *Candidate) float64, give func(c *Candidate)) (after []Candidate, best int) {
	costs := make([]float64, len(cs))
	for i := range cs {
		costs[i] = fullCost(i, &cs[i], cost)
	}
	best = least(costs)
	if best < 0 || before <= 0 {
		return cs, best
	}
	after = slices.Clone(cs)
	for range before {
		give(&after[best])
		costs[best] = fullCost(best, &after[best], cost)
		best = least(costs)
	}
	return after, best
}

// fullCost is the cost of a candidate with what holds for every kind of call.
func fullCost(i int, c *Candidate, cost func(i int, c *Candidate) float64) float64 {
	switch {
	case c.Tried:
		return math.Inf(1)
	case c.Avoided:
		return cost(i, c) + avoidCost
	default:
		return cost(i, c)
	}
}

// least returns the index of the least cost, or -1 if there is none below infinity.
func least(costs []float64) (best int) {
	best = -1
	for i, c := range costs {
		if !math.IsInf(c, 1) && (best < 0 || c < costs[best]) {
			best = i
		}
	}
	return best
}
