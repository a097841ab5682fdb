// Package engine is a model of a model engine that batches continuously. From
// the engine's published figures it works out how long a prompt takes to read,
// how long a pass takes while requests write, and when a new request would get
// its first tokens. It is pure: no clock, no I/O.
package engine

import (
	"math"
	"time"
)

// Figures are the published figures of an engine.
type Figures struct {
	Slots           int
	Capacity        int           // tokens that its memory holds
	Step            time.Duration // of one token step with nobody writing
	StepPerDecoding time.Duration // more for each request that writes
	StepPerContext  time.Duration // more for each 1,000 tokens of context of those that write
	PrefillRate     float64       // prompt tokens a second
	PerMillionPairs time.Duration // for a million pairs of a prompt token and one before it
	Chunk           int           // prompt tokens read in one step at the most
	Stride          int           // steps of one pass while requests write
	Hop             time.Duration // more for each step of a request whose prompt several engines read
	UsualPrompt     int           // mean tokens of a prompt
	UsualAnswer     int           // mean tokens of an answer
}

const (
	pairsPerMillion        = 1e6  // the unit of [Figures.PerMillion]
	contextTokensPerFigure = 1000 // the unit of [Figures.StepPerContext]
)

// PrefillTime returns how long engines take to read a prompt of n tokens, split
// evenly over a number of them: the tokens themselves, and the pairs of each
// with those before it.
func (f *Figures) PrefillTime(n, engines int) time.Duration {
	t := float64(n)
	tokens := t / f.PrefillRate * float64(time.Second)
	pairs := t * t / 2 / pairsPerMillion * float64(f.PerMillionPairs)
	return time.Duration((tokens + pairs) / float64(max(engines, 1)))
}

// PrefillTokens returns how many tokens one engine reads in a time: the inverse of [Figures.PrefillTime].
func (f *Figures) PrefillTokens(d time.Duration) int {
	perToken := 1 / f.PrefillRate
	perPair := f.PerMillionPairs.Seconds() / 2 / pairsPerMillion
	if perPair <= 0 {
		return int(d.Seconds() / perToken)
	}
	return int((math.Sqrt(perToken*perToken+4*perPair*d.Seconds()) - perToken) / (2 * perPair))
}

// HopTime returns by how much steps of an engine are longer, all in all, for an
// answer of n tokens whose prompt several engines have read. N is the most that
// was asked for; answers are rarely longer than usual.
func (f *Figures) HopTime(n int) time.Duration {
	if f.UsualAnswer > 0 {
		n = min(n, f.UsualAnswer)
	}
	return time.Duration(n) * f.Hop
}

// State is what an engine has to do.
type State struct {
	Decoding       int           // requests that write, or will once they are read
	Context        int           // tokens of context of those
	PrefillBacklog time.Duration // of prompts, still to be done
	// Pace is how many times as long as published the engine takes for what it does; 0 counts
	// as 1. Reading is in its own time already.
	Pace float64
}

// scale returns how long something takes that takes d by the published figures.
func (s State) scale(d time.Duration) time.Duration {
	if s.Pace == 0 {
		return d
	}
	return time.Duration(s.Pace * float64(d))
}

// PassTime returns how long one pass takes without any reading: while requests
// write, events come that far apart.
func (f *Figures) PassTime(s State) time.Duration {
	step := f.Step + time.Duration(s.Decoding)*f.StepPerDecoding +
		time.Duration(float64(s.Context)/contextTokensPerFigure*float64(f.StepPerContext))
	return s.scale(time.Duration(max(f.Stride, 1)) * step)
}

// TimeToFirstEvent returns when the first event of a request would come that adds reading
// to the engine: what is being read, its own, half a pass until it is let in,
// and the pass that writes it.
func (f *Figures) TimeToFirstEvent(s State, reading time.Duration) time.Duration {
	return s.PrefillBacklog + s.scale(reading) + f.PassTime(s)*3/2
}

// LongestPause returns the longest pause that a request that writes there sees when
// reading is added: a pass reads all that waits.
func (f *Figures) LongestPause(s State, reading time.Duration) time.Duration {
	return f.PassTime(s) + s.PrefillBacklog + s.scale(reading)
}
