package core

import "time"

// Engine holds the published figures of a model engine.
type Engine struct {
	Slots          int
	Capacity       int           // tokens that its memory holds
	Step           time.Duration // of one token step with nobody writing
	StepPerWriter  time.Duration // more for each request that writes
	StepPerContext time.Duration // more for each 1,000 tokens of context of those that write
	ReadRate       float64       // prompt tokens a second
	PerMillion     time.Duration // for a million pairs of a prompt token and one before it
	Chunk          int           // prompt tokens read in one step at the most
	Stride         int           // steps of one pass while requests write
}

// pairsPerMillion is the unit of [Engine.PerMillion].
const pairsPerMillion = 1e6

// Reading returns how long an engine takes to read a prompt of n tokens, split
// evenly over a number of engines: the tokens themselves, and the pairs of each
// with those before it.
func (e *Engine) Reading(n, engines int) time.Duration {
	t := float64(n)
	tokens := t / e.ReadRate * float64(time.Second)
	pairs := t * t / 2 / pairsPerMillion * float64(e.PerMillion)
	return time.Duration((tokens + pairs) / float64(engines))
}
