package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hollowgrade/hollowgrade/engine"
)

// Pricing names a way to estimate what the prefill of a long prompt costs other calls.
type Pricing string

// The ways of pricing.
const (
	MeanBacklog  Pricing = "mean_backlog" // an engine second costs more the larger the mean prefill backlog
	BusyEngines  Pricing = "busy_engines" // an engine second costs more the more engines have a backlog
	Displacement Pricing = "displacement" // the worth of expected prompts that the call leaves no engine time for
)

// Pricings returns all ways of pricing.
func Pricings() []Pricing {
	return []Pricing{MeanBacklog, BusyEngines, Displacement}
}

// pricing returns what other calls lose to the prefill of a plan on a set of engines, besides pauses
// that miss their goals.
type pricing func(p *Policy, s Snapshot, cs []Candidate, set []int, r Request, l Plan) (worth float64)

var pricings = map[Pricing]pricing{
	MeanBacklog:  priceByMeanBacklog,
	BusyEngines:  priceByBusyEngines,
	Displacement: priceByDisplacement,
}

// WithPricing sets how the prefill of long prompts is priced.
func WithPricing(x Pricing) Option {
	return func(p *Policy) { p.pricing = pricings[x] }
}

// Demand forecasts the prompts that will arrive from those that arrived recently.
type Demand struct {
	Prompts    []ExpectedPrompts
	MeanAge    time.Duration // mean age of the samples behind the rates
	KnownShare float64       // part of those samples that is available, from 0 to 1
}

// ExpectedPrompts are prompts with about the same prefill time.
type ExpectedPrompts struct {
	Rate        float64       // prompts a second
	PrefillTime time.Duration // of one prompt, by published figures
}

// priceByMeanBacklog implements [MeanBacklog].
func priceByMeanBacklog(_ *Policy, _ Snapshot, cs []Candidate, _ []int, r Request, _ Plan) float64 {
	return pricePerSecond(cs, r.Engine) * r.Engine.PrefillTime(r.PromptTokens, 1).Seconds()
}

// priceByBusyEngines implements [BusyEngines]. The mean backlog is misleading where a few engines
// have a large backlog and the others none.
func priceByBusyEngines(_ *Policy, _ Snapshot, cs []Candidate, _ []int, r Request, _ Plan) float64 {
	busy := 0.0
	for i := range cs {
		busy += min(float64(cs[i].PrefillBacklog)/float64(fullPriceBacklog), 1)
	}
	busy /= float64(max(len(cs), 1))
	return min(max(slotShortage(cs, r.Engine), busy, minBusyShare), 1) * worthPerSecond(r.Engine) * r.Engine.PrefillTime(r.PromptTokens, 1).Seconds()
}

// priceByDisplacement implements [Displacement], for loads whose mix and sizes change: engine time
// for which no demand is expected is free whatever the backlog, and a long prompt pays for the
// prompts that arrive during its prefill. While the demand is not fully known, as after a start, the
// mean backlog replaces it. Short slots are priced in any case.
func priceByDisplacement(p *Policy, s Snapshot, cs []Candidate, set []int, r Request, l Plan) float64 {
	horizon := max(r.Goal, l.FirstEvent)
	until := horizon + time.Duration(expectedWaitShare*float64(r.Goal))
	before, after := p.freePrefillTime(cs, set, r, l, until)
	ds := demandByDensity(s.Demand, r.Engine, horizon)
	displaced := servedWorth(ds, before.Seconds()) - servedWorth(ds, after.Seconds())
	unknown := (1 - s.Demand.KnownShare) * priceByMeanBacklog(p, s, cs, set, r, l)
	return max(s.Demand.KnownShare*displaced+unknown, slotPricePerSecond(cs, r.Engine)*r.Engine.PrefillTime(r.PromptTokens, 1).Seconds())
}

// slotPricePerSecond is the worth of a second of an engine where slots are short.
func slotPricePerSecond(cs []Candidate, e *engine.Figures) float64 {
	return min(max(slotShortage(cs, e), 0), 1) * worthPerSecond(e)
}

// freePrefillTime returns the engines' total time for parts like those of the plan within `until`,
// without the plan and with it. An engine at which a part would make pauses of other calls miss
// their goals has none.
func (p *Policy) freePrefillTime(cs []Candidate, set []int, r Request, l Plan, until time.Duration) (before, after time.Duration) {
	for i := range cs {
		c := cs[i]
		free := max(until-c.PrefillBacklog, 0)
		c.PrefillBacklog = 0
		if p.pauseLoss(&c, r, l.PrefillTime) > maxFreeLoss {
			continue
		}
		remaining := free
		if slices.Contains(set, i) {
			remaining = max(free-l.PrefillTime-c.extraTime(l.PrefillTime), 0)
		}
		before += c.publishedTime(free)
		after += c.publishedTime(remaining)
	}
	return before, after
}

// publishedTime returns the time by published figures of work that takes the candidate d.
func (c *Candidate) publishedTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) / max(c.Pace, 1))
}

// expectedWaitShare is the part of their goals that expected prompts may wait.
const expectedWaitShare = 0.25

// maxFreeLoss is the largest loss at which an engine still counts as free for prefill: the worth of
// one short call.
const maxFreeLoss = 1

// expectedDemand is the prefill that one kind of expected prompts needs until a horizon.
type expectedDemand struct {
	density  float64 // worth a second of prefill
	seconds  float64 // mean
	variance float64 // of the seconds
}

// demandByDensity returns the expected demand until a horizon, the most worth a second first. The
// variance includes the uncertainty of the rates, which come from a limited number of prompts.
func demandByDensity(d Demand, e *engine.Figures, horizon time.Duration) (ds []expectedDemand) {
	h := horizon.Seconds()
	spread := 1 + h/(2*max(d.MeanAge.Seconds(), 1e-3))
	shortest := e.PrefillTime(minSplitTokens, 1)
	for _, x := range d.Prompts {
		if x.PrefillTime < shortest {
			continue
		}
		one := x.PrefillTime.Seconds()
		n := x.Rate * h
		ds = append(ds, expectedDemand{Request{PromptTokens: e.PrefillTokens(x.PrefillTime)}.Worth() / one, n * one, n * one * one * spread})
	}
	slices.SortFunc(ds, func(a, b expectedDemand) int { return cmp.Compare(b.density, a.density) })
	return ds
}

// servedWorth returns the expected worth of the demand that is served in an engine time, the
// densest first. The demand is assumed to be normally distributed.
func servedWorth(ds []expectedDemand, seconds float64) (worth float64) {
	var mean, variance float64
	for i, d := range ds {
		mean += d.seconds
		variance += d.variance
		step := d.density
		if i+1 < len(ds) {
			step -= ds[i+1].density
		}
		worth += step * expectedMin(mean, math.Sqrt(variance), seconds)
	}
	return worth
}

// expectedMin returns the mean of the smaller of a normal variable and a bound.
func expectedMin(mean, deviation, bound float64) float64 {
	if deviation <= 0 {
		return min(mean, bound)
	}
	z := (bound - mean) / deviation
	below := math.Erfc(-z/math.Sqrt2) / 2
	density := math.Exp(-z*z/2) / math.Sqrt(2*math.Pi)
	return bound - (bound-mean)*below - deviation*density
}
