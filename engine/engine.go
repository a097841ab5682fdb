// Package engine models an engine with continuous batching. From the engine's published figures it
// predicts how long the prefill of a prompt takes, how long a pass takes while requests decode, and
// when a new request would get its first tokens. It is pure: no clock, no I/O.
package engine

import (
	"math"
	"time"
)

// Figures are the published figures of an engine.
type Figures struct {
	Slots           int
	Capacity        int           // tokens that fit into its memory
	Step            time.Duration // duration of a decode step without requests
	StepPerRequest  time.Duration // added by each request that decodes
	StepPerContext  time.Duration // added by each 1,000 tokens of their context
	PrefillRate     float64       // prompt tokens per second
	PerMillionPairs time.Duration // prefill time of a million pairs of a prompt token and an earlier one
	Chunk           int           // maximum prompt tokens prefilled in one step
	Stride          int           // decode steps per pass
	Hop             time.Duration // added to each step of a request whose prompt was split between engines
	UsualPrompt     int           // mean prompt length in tokens
	UsualAnswer     int           // mean answer length in tokens
}

const (
	pairsPerMillion        = 1e6  // the unit of [Figures.PerMillionPairs]
	contextTokensPerFigure = 1000 // the unit of [Figures.StepPerContext]
)

// PrefillTime returns how long the prefill of a prompt of n tokens takes if it is split evenly
// between the given number of engines: a part per token, and a part per pair of a token and an
// earlier one.
func (f *Figures) PrefillTime(n, engines int) time.Duration {
	t := float64(n)
	tokens := t / f.PrefillRate * float64(time.Second)
	pairs := t * t / 2 / pairsPerMillion * float64(f.PerMillionPairs)
	return time.Duration((tokens + pairs) / float64(max(engines, 1)))
}

// PrefillTokens returns how many prompt tokens one engine prefills in the given time. It is the
// inverse of [Figures.PrefillTime].
func (f *Figures) PrefillTokens(d time.Duration) int {
	perToken := 1 / f.PrefillRate
	perPair := f.PerMillionPairs.Seconds() / 2 / pairsPerMillion
	if perPair <= 0 {
		return int(d.Seconds() / perToken)
	}
	return int((math.Sqrt(perToken*perToken+4*perPair*d.Seconds()) - perToken) / (2 * perPair))
}

// HopTime returns the time added to all steps of an answer whose prompt was split between several
// engines. n is the requested maximum of tokens; it is capped at the usual length, which answers
// rarely exceed.
func (f *Figures) HopTime(n int) time.Duration {
	if f.UsualAnswer > 0 {
		n = min(n, f.UsualAnswer)
	}
	return time.Duration(n) * f.Hop
}

// State is the load of an engine.
type State struct {
	Decoding       int           // requests that decode, or will after their prefill
	Context        int           // tokens of their context
	PrefillBacklog time.Duration // prefill still to be done
	// Pace is the engine's time for its work as a multiple of the published one; 0 counts as 1.
	// PrefillBacklog already includes it.
	Pace float64
}

// scale converts a published duration to the engine's pace.
func (s State) scale(d time.Duration) time.Duration {
	if s.Pace == 0 {
		return d
	}
	return time.Duration(s.Pace * float64(d))
}

// PassTime returns the duration of a pass without prefill, which is the interval between events
// while requests decode.
func (f *Figures) PassTime(s State) time.Duration {
	step := f.Step + time.Duration(s.Decoding)*f.StepPerRequest +
		time.Duration(float64(s.Context)/contextTokensPerFigure*float64(f.StepPerContext))
	return s.scale(time.Duration(max(f.Stride, 1)) * step)
}

// UsualPass returns the time from the end of a prompt's prefill to its first event at an engine that
// uses half of its slots for requests of the usual length.
func (f *Figures) UsualPass() time.Duration {
	n := f.Slots / 2
	return f.PassTime(State{Decoding: n, Context: n * f.UsualPrompt}) * 3 / 2
}

// TimeToFirstEvent returns the predicted time to the first event of a request that adds prefill to
// the engine: the backlog, its own prefill, half a pass until it is admitted, and the pass that
// writes the event.
func (f *Figures) TimeToFirstEvent(s State, prefill time.Duration) time.Duration {
	return s.PrefillBacklog + s.scale(prefill) + f.PassTime(s)*3/2
}

// LongestPause returns the longest pause between events of a request that decodes there when
// prefill is added: one pass does the whole backlog.
func (f *Figures) LongestPause(s State, prefill time.Duration) time.Duration {
	return f.PassTime(s) + s.PrefillBacklog + s.scale(prefill)
}
