package core

import (
	"math"
	"slices"
	"time"

	"github.com/hollowgrade/hollowgrade/fault"
	"github.com/hollowgrade/hollowgrade/placement"
)

const (
	// Ranks is the number of ranks, from 0 for the most urgent. It is that of the engines.
	Ranks = 10
	// DefaultRank is the rank of a route that states none. Engines assume the same.
	DefaultRank = 5
)

// Ranked reports whether the ranks of the service's calls differ, so that they have an effect.
func (s Service) Ranked() bool {
	return len(s.Ranks) > 1
}

// rank returns the place of a call among the ranks of its service, 0 for the most urgent. Ranks are
// an order, so only their places matter.
func (s Service) rank(r Route, o Organisation) int {
	if !s.Ranked() {
		return 0
	}
	i, _ := slices.BinarySearch(s.Ranks, r.rank(o))
	return min(i, len(s.Ranks)-1)
}

// rank returns the configured rank of an organisation's calls on the route.
func (r Route) rank(o Organisation) int {
	if o.HasPriority {
		return o.Priority
	}
	return r.Priority
}

// DistinctRanks returns the different ones of some ranks in order, or nil if they are all the same.
func DistinctRanks(ranks []int) []int {
	d := slices.Compact(slices.Sorted(slices.Values(ranks)))
	if len(d) < 2 {
		return nil
	}
	return d
}

// ranks returns the ranks that calls of each service may have.
func (c *Catalog) ranks(os []Organisation) map[string][]int {
	var overriding []int
	without := false // whether some organisation has no rank, so that a route's own applies to its calls
	for _, o := range os {
		if o.HasPriority {
			overriding = append(overriding, o.Priority)
		} else {
			without = true
		}
	}
	overriding = slices.Compact(slices.Sorted(slices.Values(overriding)))
	found := map[string][]int{}
	for _, rs := range c.routes {
		for _, r := range rs {
			for _, t := range r.Targets {
				if without || !c.NeedsKey(r) {
					found[t.Service] = addMissing(found[t.Service], r.Priority)
				}
				if c.NeedsKey(r) {
					found[t.Service] = addMissing(found[t.Service], overriding...)
				}
			}
		}
	}
	return found
}

// addMissing adds those ranks to a list that it lacks.
func addMissing(l []int, ranks ...int) []int {
	for _, r := range ranks {
		if !slices.Contains(l, r) {
			l = append(l, r)
		}
	}
	return l
}

// rankMixWindow is the time constant of the shares of ranks among prompts of a size. It is long,
// because a gateway places few long prompts itself, and the shares change with the callers' habits
// only.
const rankMixWindow = time.Minute

// rankMix counts the calls of each rank of a service that this process has placed, by prefill time.
// Peers report no ranks, but callers choose gateways regardless of rank, so the shares hold for all.
type rankMix [demandKinds]struct {
	at    time.Time
	calls [Ranks]float64
}

// add counts a call that takes one engine this long to prefill.
func (m *rankMix) add(now time.Time, prefill time.Duration, rank int) {
	k := &m[demandKind(prefill)]
	x := math.Exp(-now.Sub(k.at).Seconds() / rankMixWindow.Seconds())
	for i := range k.calls {
		k.calls[i] *= x
	}
	k.at = now
	k.calls[min(rank, Ranks-1)]++
}

// shares returns the part of the calls with about this prefill time that is of each rank, or nil if
// there were none.
func (m *rankMix) shares(prefill time.Duration) []float64 {
	calls := m[demandKind(prefill)].calls
	sum := 0.0
	for _, n := range calls {
		sum += n
	}
	if sum <= 0 {
		return nil
	}
	for i := range calls {
		calls[i] /= sum
	}
	return calls[:]
}

// recordRank counts a call among those of its rank. Nothing is counted for a service until a call
// that is not of the first rank arrives. The lock is held.
func (f *Fleet) recordRank(service string, now time.Time, r placement.Request) {
	m := f.rankMixes[service]
	if r.Engine == nil || m == nil && r.Rank == 0 {
		return
	}
	if m == nil {
		m = &rankMix{}
		f.rankMixes[service] = m
	}
	m.add(now, r.Engine.PrefillTime(r.PromptTokens, 1), r.Rank)
}

// addRankShares adds the ranks of expected prompts as far as known. The lock is held.
func (f *Fleet) addRankShares(service string, d placement.Demand) {
	m := f.rankMixes[service]
	if m == nil {
		return
	}
	for i := range d.Prompts {
		d.Prompts[i].RankShares = m.shares(d.Prompts[i].PrefillTime)
	}
}

// holdWeight is the weight of a new call in the mean time for which calls take a slot.
const holdWeight = 0.1

// recordHold records how long a call took a slot of a plain service. The lock is held.
func (f *Fleet) recordHold(p *pick, now time.Time) {
	if p.request.Engine != nil {
		return
	}
	d, s := now.Sub(p.chosenAt), p.member.Service
	if mean, ok := f.holdTimes[s]; ok {
		d = mean + time.Duration(holdWeight*float64(d-mean))
	}
	f.holdTimes[s] = d
}

// refuseOutranked returns the error for a call that leaves its place to more urgent ones.
func (f *flow) refuseOutranked(p *pick) error {
	f.core.log.Info("not sent", "request", f.call.ID, "why", "the room is left to more urgent calls", "rank", p.request.Rank,
		"priority", f.route.rank(f.organisation), "prompt_tokens", f.call.PromptTokens, "predicted_ms", p.FirstEvent.Milliseconds(),
		"slots_taken", round(p.SlotShare), "come_back_ms", p.RetryAfter.Milliseconds())
	return fault.New(fault.CannotMakeIt, "the room of service %s is left to more urgent calls", f.service.Name).
		WithRetryAfter(p.RetryAfter)
}
