package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hollowgrade/hollowgrade/engine"
)

// Pricing names a way to find what the reading of a long prompt takes from other calls.
type Pricing string

// The ways.
const (
	MeanBacklog  Pricing = "mean_backlog" // a second costs more the longer engines have to read on average
	BusyEngines  Pricing = "busy_engines" // a second costs more the more engines have something to read
	Displacement Pricing = "displacement" // the worth of expected prompts that find no time beside it
)

// Pricings returns all ways.
func Pricings() []Pricing {
	return []Pricing{MeanBacklog, BusyEngines, Displacement}
}

// pricing returns what others lose by the reading of a plan on a set of engines, beside pauses that
// become too long.
type pricing func(p *Policy, s Snapshot, cs []Candidate, set []int, r Request, l Plan) (worth float64)

var pricings = map[Pricing]pricing{
	MeanBacklog:  priceByMean,
	BusyEngines:  priceByBusy,
	Displacement: displaced,
}

// WithPricing sets how the reading of long prompts is priced.
func WithPricing(x Pricing) Option {
	return func(p *Policy) { p.pricing = pricings[x] }
}

// Demand is what is known of the prompts that are about to come: those that came of late.
type Demand struct {
	Prompts []Expected
	Memory  time.Duration // mean age of what the rates were taken from
	Known   float64       // part of what came in that time that is known, from 0 to 1
}

// Expected are prompts that take about the same time to read.
type Expected struct {
	Rate    float64       // a second
	Reading time.Duration // of one of them, by published figures
}

func priceByMean(_ *Policy, _ Snapshot, cs []Candidate, _ []int, r Request, _ Plan) float64 {
	return price(cs, r.Engine) * r.Engine.Reading(r.Prompt, 1).Seconds()
}

// priceByBusy answers loads on which a few engines have much to read and others nothing.
func priceByBusy(_ *Policy, _ Snapshot, cs []Candidate, _ []int, r Request, _ Plan) float64 {
	busy := 0.0
	for i := range cs {
		busy += min(float64(cs[i].Reading)/float64(saturatedFrom), 1)
	}
	busy /= float64(max(len(cs), 1))
	return min(max(slotNeed(cs, r.Engine), busy, leastBusy), 1) * secondWorth(r.Engine) * r.Engine.Reading(r.Prompt, 1).Seconds()
}

// displaced returns the worth of the expected prompts that find time on the engines without a
// plan and none with it. It answers loads whose mix and sizes change: seconds that nobody is
// expected to ask for are free, whatever the backlog, and a prompt that takes many of them
// pays for those who come while it is read. As far as demand is not known yet, after a start, what
// engines have to read stands for it; slots that are short are paid for in any case.
func displaced(p *Policy, s Snapshot, cs []Candidate, set []int, r Request, l Plan) float64 {
	horizon := max(r.Goal, l.First)
	until := horizon + time.Duration(expectedWait*float64(r.Goal))
	before, after := p.room(cs, set, r, l, until)
	ds := densest(s.Demand, r.Engine, horizon)
	lost := earned(ds, before.Seconds()) - earned(ds, after.Seconds())
	unknown := (1 - s.Demand.Known) * priceByMean(p, s, cs, set, r, l)
	return max(s.Demand.Known*lost+unknown, slotPrice(cs, r.Engine)*r.Engine.Reading(r.Prompt, 1).Seconds())
}

// slotPrice is the worth of a second of an engine where slots are short.
func slotPrice(cs []Candidate, e *engine.Figures) float64 {
	return min(max(slotNeed(cs, e), 0), 1) * secondWorth(e)
}

// room returns for how long engines can read parts like those of a plan until a moment, without the
// plan and with it. An engine whose calls would see a pause that is too long for them has no room,
// so that a plan takes none there.
func (p *Policy) room(cs []Candidate, set []int, r Request, l Plan, until time.Duration) (before, after time.Duration) {
	for i := range cs {
		c := cs[i]
		free := max(until-c.Reading, 0)
		c.Reading = 0
		if p.harm(&c, r, l.Reading) > harmless {
			continue
		}
		rest := free
		if slices.Contains(set, i) {
			rest = max(free-l.Reading-c.slower(l.Reading), 0)
		}
		before += c.published(free)
		after += c.published(rest)
	}
	return before, after
}

// published returns how long something takes by published figures that takes the candidate d.
func (c *Candidate) published(d time.Duration) time.Duration {
	return time.Duration(float64(d) / max(c.Pace, 1))
}

// expectedWait is the part of their goals for which prompts that are expected may wait.
const expectedWait = 0.25

// harmless is the worth that may be lost at an engine that counts as free to read: that of one
// short call.
const harmless = 1

// expectedDemand is what a kind of expected prompts asks for until a horizon.
type expectedDemand struct {
	density  float64 // worth of a second of reading
	seconds  float64 // mean
	variance float64 // of the seconds
}

// densest returns the expected demand until a horizon, what earns the most a second first. Rates are
// uncertain by the number of prompts that they were taken from.
func densest(d Demand, e *engine.Figures, horizon time.Duration) (ds []expectedDemand) {
	h := horizon.Seconds()
	spread := 1 + h/(2*max(d.Memory.Seconds(), 1e-3))
	shortest := e.Reading(splitFrom, 1)
	for _, x := range d.Prompts {
		if x.Reading < shortest {
			continue
		}
		one := x.Reading.Seconds()
		n := x.Rate * h
		ds = append(ds, expectedDemand{Request{Prompt: e.Prompt(x.Reading)}.Worth() / one, n * one, n * one * one * spread})
	}
	slices.SortFunc(ds, func(a, b expectedDemand) int { return cmp.Compare(b.density, a.density) })
	return ds
}

// earned returns the worth of demand that is served in some seconds of engines, the densest first.
// How much comes is taken to be normal.
func earned(ds []expectedDemand, seconds float64) (worth float64) {
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

// expectedMin returns the mean of the lesser of a normal variable and a bound.
func expectedMin(mean, deviation, bound float64) float64 {
	if deviation <= 0 {
		return min(mean, bound)
	}
	z := (bound - mean) / deviation
	below := math.Erfc(-z/math.Sqrt2) / 2
	density := math.Exp(-z*z/2) / math.Sqrt(2*math.Pi)
	return bound - (bound-mean)*below - deviation*density
}
