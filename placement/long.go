package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/hollowgrade/hollowgrade/engine"
)

const (
	minSplitTokens = 9_000 // tokens of the shortest prompt whose prefill may be split
	maxHelpers     = 16    // for one prompt; an engine accepts no more
	// MaxParts is the number of engines that may share the prefill of one prompt.
	MaxParts = 1 + maxHelpers
	// lateLossShare is the part of a call's worth that is lost when it is late.
	lateLossShare = 0.75
)

// placeLongOrShort places a call whose prompt may be split, on several engines or on one. A split
// prompt makes each decode step of the target longer, so splitting costs more on busy engines.
func (p *Policy) placeLongOrShort(s Snapshot, r Request) (Plan, bool) {
	l, ok := p.placeLong(s, r)
	e := r.Engine
	if !ok || keeperCount(r, e) > 1 {
		return l, ok
	}
	a, ok := p.placeShort(s, r)
	if !ok {
		return l, true
	}
	alone := p.pauseLoss(&s.Candidates[a.Target], r, a.PrefillTime)*lateLossShare + r.Worth()*lateLossShare*r.lateness(a.FirstEvent)
	split := l.Cost + pricePerSecond(s.Candidates, e)*e.HopTime(r.MaxTokens).Seconds()
	if alone <= split {
		return a, true
	}
	return l, true
}

// pricePerSecond is the worth of a second of an engine to other calls.
func pricePerSecond(cs []Candidate, e *engine.Figures) float64 {
	return busyShare(cs, e) * worthPerSecond(e)
}

// busyShare is the demand of other calls for an engine's time, from 0 to 1: by the prefill backlog
// or by the slots in use, whichever is more.
func busyShare(cs []Candidate, e *engine.Figures) float64 {
	backlog := float64(meanPrefillBacklog(cs)) / float64(fullPriceBacklog)
	return min(max(slotShortage(cs, e), backlog, minBusyShare), 1)
}

// slotShortage is how short slots are: 0 or less up to slotShortageFrom, 1 at twice that share.
func slotShortage(cs []Candidate, e *engine.Figures) float64 {
	return slotShare(cs, e)/slotShortageFrom - 1
}

// meanPrefillBacklog returns the mean of the engines' pending prefill.
func meanPrefillBacklog(cs []Candidate) (d time.Duration) {
	for i := range cs {
		d += cs[i].PrefillBacklog
	}
	return d / time.Duration(max(len(cs), 1))
}

const (
	// slotShortageFrom is the part of all slots in use above which slots count as short.
	slotShortageFrom = 0.45
	// minBusyShare keeps the price of an idle engine above 0.
	minBusyShare = 0.05
)

// placeLong places a call whose prompt several engines prefill in equal parts. It weighs the time
// until the first event against the worth of calls whose pauses would miss their goals.
func (p *Policy) placeLong(s Snapshot, r Request) (l Plan, ok bool) {
	e := r.Engine
	cs, at := usable(s.Candidates, r)
	if len(cs) == 0 || len(cs) < keeperCount(r, e) {
		return l, false
	}
	set, part, cost := p.cheapestSet(cs, r)
	set, extraLoss := p.replaceForMemory(cs, set, r, part)
	l.PrefillTime, l.Cost = part, cost+extraLoss
	target := p.pickTarget(s, cs, set, r)
	l.OutOfMemory = memoryCost(&cs[target], r) > 0
	for _, i := range set {
		l.Wait = max(l.Wait, cs[i].PrefillBacklog)
		l.FirstEvent = max(l.FirstEvent, e.TimeToFirstEvent(cs[i].state(r), l.PrefillTime))
		if i != target {
			l.Helpers = append(l.Helpers, i)
		}
	}
	l.pickKeepers(cs, r)
	if !r.Scheduled {
		l.Displaced = p.pricing(p, s, cs, set, r, l)
	}
	l.Refused = p.has(Refusing) && !p.worthwhile(r, l) || p.has(Rooming) && l.OutOfMemory && !r.StreamStarted
	if l.Refused && !r.Scheduled {
		l.RetryAfter = p.forecastRetryAfter(s, cs, set, r, l)
	}
	l.Target = at[target]
	toCandidateIndices(l.Helpers, at)
	toCandidateIndices(l.Keepers, at)
	return l, true
}

// helperSlotMargin is how many parts fewer than its slots an engine gets for other engines. An
// engine without a free slot refuses a part, and the whole prompt fails with it; parts that peers
// have just placed are not reported yet.
const helperSlotMargin = 2

// usable returns the candidates that may prefill parts of a prompt, and their indices in all.
// Candidates with no room for a part, and then those that failed recently, are included only when
// there are not enough others.
func usable(all []Candidate, r Request) (cs []Candidate, at []int) {
	cs = make([]Candidate, 0, len(all))
	at = make([]int, 0, len(all))
	reserves := keeperCount(r, r.Engine) > 1 // some get orders to reserve memory
	free := func(c *Candidate) bool { return c.HelperParts < max(r.Engine.Slots-helperSlotMargin, 1) }
	for _, fits := range []func(c *Candidate) bool{
		func(c *Candidate) bool { return !c.Avoided && free(c) },
		func(c *Candidate) bool { return !c.Avoided },
		func(*Candidate) bool { return true },
	} {
		for i := range all {
			if all[i].Tried || reserves && all[i].RateLimited || !fits(&all[i]) {
				continue
			}
			cs = append(cs, all[i])
			at = append(at, i)
		}
		if len(cs) >= keeperCount(r, r.Engine) && len(cs) > 0 {
			break
		}
		cs, at = cs[:0], at[:0]
	}
	return cs, at
}

// toCandidateIndices replaces indices of usable candidates by those of the same candidates in the
// snapshot.
func toCandidateIndices(is, at []int) {
	for i := range is {
		is[i] = at[is[i]]
	}
}

// An engine's second has at most the worth of a second of prefill of a prompt of
// referencePromptTokens.
const (
	referencePromptTokens = 100_000     // tokens
	fullPriceBacklog      = time.Second // prefill backlog from which a second has its full price
	// secondRefusalLoss is the part of a call's worth that a second refusal loses besides the call
	// itself: its caller doesn't retry a third time.
	secondRefusalLoss = 0.3
)

// worthPerSecond returns the worth of a second of prefill when every engine has a backlog.
func worthPerSecond(e *engine.Figures) float64 {
	r := Request{Engine: e, PromptTokens: referencePromptTokens}
	return r.Worth() / e.PrefillTime(r.PromptTokens, 1).Seconds()
}

// worthwhile reports whether a long prompt is worth at least what it costs other calls.
func (p *Policy) worthwhile(r Request, l Plan) bool {
	if r.StreamStarted {
		return true
	}
	if l.FirstEvent > r.TimeLeft {
		return false
	}
	gain := r.Worth() - l.Cost
	if r.RefusedBefore && p.has(Returning) {
		gain += secondRefusalLoss * r.Worth()
	}
	return gain >= l.Displaced
}

// pickKeepers picks the helpers that store parts of a prompt that is too long for the memory of one
// engine: those with the most free memory.
func (l *Plan) pickKeepers(cs []Candidate, r Request) {
	n := keeperCount(r, r.Engine)
	if n == 1 {
		return
	}
	l.Keepers = slices.Clone(l.Helpers)
	slices.SortStableFunc(l.Keepers, func(a, b int) int { return cmp.Compare(cs[a].Tokens, cs[b].Tokens) })
	l.Keepers = l.Keepers[:min(n-1, len(l.Keepers))]
	l.KeptTokens = keptTokens(r, n)
}

// cheapestSet returns the set of engines that prefill a prompt in equal parts at the least cost, the
// time of a part, and the cost. For each number of parts and each bound on the backlog it takes the
// engines within the bound that lose the least by longer pauses. Late sets are compared by how late
// they are, but the cost returned includes lateness only up to the loss of a late answer: otherwise
// a call that is late already would be refused even on idle engines.
func (p *Policy) cheapestSet(cs []Candidate, r Request) (best []int, part time.Duration, cost float64) {
	e := r.Engine
	least := 0.0
	is := p.sampleEngines(cs, r)
	for n := keeperCount(r, e); n <= min(len(is), 1+maxHelpers); n++ {
		t := e.PrefillTime(r.PromptTokens, n)
		sortByPrefillEnd(cs, is, t)
		hs := p.engineLosses(cs, is, r, t)
		for within := n; within <= len(is); within++ {
			first := e.TimeToFirstEvent(cs[is[within-1]].state(r), t)
			late := r.Worth() * lateLossShare * r.lateness(first)
			if best != nil && late >= least {
				break // engines with more backlog only make it later
			}
			set, loss := leastLossSet(hs, n, within)
			if c := loss*lateLossShare + late; best == nil || c < least {
				best, part, least = set, t, c
				cost = loss*lateLossShare + r.Worth()*lateLossShare*min(r.lateness(first), 1)
			}
		}
	}
	return best, part, cost
}

// maxSampledEngines bounds the engines that are compared for a long prompt: several times as many
// as can prefill parts of it.
const maxSampledEngines = 64

// sampleEngines returns the engines that are compared for a prompt: where there are many, those at
// which a part of it causes the least loss.
func (p *Policy) sampleEngines(cs []Candidate, r Request) []int {
	is := make([]int, len(cs))
	for i := range is {
		is[i] = i
	}
	if len(is) > maxSampledEngines {
		hs := p.engineLosses(cs, is, r, r.Engine.PrefillTime(r.PromptTokens, 1+maxHelpers))
		for i, h := range hs[:maxSampledEngines] {
			is[i] = h.engine
		}
		is = is[:maxSampledEngines]
	}
	return is
}

// sortByPrefillEnd sorts engines by when they would finish a part of a prompt, the earliest first.
// A part at a slow engine delays the whole prompt.
func sortByPrefillEnd(cs []Candidate, is []int, part time.Duration) {
	end := func(i int) time.Duration { return cs[i].PrefillBacklog + cs[i].extraTime(part) }
	slices.SortStableFunc(is, func(a, b int) int { return cmp.Compare(end(a), end(b)) })
}

// engineLoss is the worth lost when an engine prefills a part of a prompt.
type engineLoss struct {
	engine int
	rank   int // of the engine in the order by the end of its prefill
	loss   float64
}

// engineLosses returns the loss at each engine, the least first.
func (p *Policy) engineLosses(cs []Candidate, is []int, r Request, part time.Duration) []engineLoss {
	hs := make([]engineLoss, len(is))
	for rank, i := range is {
		hs[rank] = engineLoss{i, rank, p.pauseLoss(&cs[i], r, part)}
	}
	slices.SortStableFunc(hs, func(a, b engineLoss) int {
		c := cmp.Compare(a.loss, b.loss)
		if c == 0 && r.Scheduled {
			// Engines that decode are left to their calls, which so end sooner.
			c = cmp.Compare(min(cs[a.engine].Open, 1), min(cs[b.engine].Open, 1))
		}
		return c
	})
	return hs
}

// pauseLoss returns the worth of the engine's calls whose pauses would miss their goals only because
// of the part.
func (p *Policy) pauseLoss(c *Candidate, r Request, part time.Duration) float64 {
	if !p.has(Pauses) {
		return 0
	}
	s := c.state(r)
	return c.Stakes.Loss(r.Engine.LongestPause(s, 0), r.Engine.LongestPause(s, part))
}

// leastLossSet returns the n engines with the least loss among the first `within` by the end of
// their prefill, and the sum of their losses.
func leastLossSet(hs []engineLoss, n, within int) (set []int, loss float64) {
	set = make([]int, 0, n)
	for _, h := range hs {
		if h.rank < within && len(set) < n {
			set = append(set, h.engine)
			loss += h.loss
		}
	}
	return set, loss
}
