package placement

import (
	"math"
	"slices"
)

// Gateways that place calls before their peers' reports arrive decide on the same snapshot, and
// would all pick the cheapest engine in it. So each gateway first adds a random number of the calls
// that its peers are estimated to have placed meanwhile, one after another, and then its own.

// drawCallsAhead draws how many unreported calls of peers are placed before this one.
func (s Snapshot) drawCallsAhead() int {
	if s.UncountedCalls <= 0 {
		return 0
	}
	return int(s.Random() * (s.UncountedCalls + 1))
}

// cheapestAfter returns the index of the cheapest candidate once a number of similar calls have each
// been added to the cheapest one, and the candidates with those calls. The index is -1 if all were
// tried.
func cheapestAfter(cs []Candidate, callsAhead int, cost func(i int, c *Candidate) float64, add func(c *Candidate)) (after []Candidate, best int) {
	costs := make([]float64, len(cs))
	for i := range cs {
		costs[i] = candidateCost(i, &cs[i], cost)
	}
	best = indexOfLeast(costs)
	if best < 0 || callsAhead <= 0 {
		return cs, best
	}
	after = slices.Clone(cs)
	for range callsAhead {
		add(&after[best])
		costs[best] = candidateCost(best, &after[best], cost)
		best = indexOfLeast(costs)
	}
	return after, best
}

// candidateCost returns the cost of a candidate with the penalties that apply to every kind of call.
func candidateCost(i int, c *Candidate, cost func(i int, c *Candidate) float64) float64 {
	switch {
	case c.Tried:
		return math.Inf(1)
	case c.Avoided:
		return cost(i, c) + avoidCost
	default:
		return cost(i, c)
	}
}

// indexOfLeast returns the index of the lowest finite cost, or -1 if there is none.
func indexOfLeast(costs []float64) (best int) {
	best = -1
	for i, c := range costs {
		if !math.IsInf(c, 1) && (best < 0 || c < costs[best]) {
			best = i
		}
	}
	return best
}
