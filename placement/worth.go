package placement

// worthTokens is the number of prompt tokens that add 1 to the base worth of a call of the first rank.
const worthTokens = 10_000

// Worth estimates the worth of a call relative to others. No worth is configured, so it has two
// sources: the length of the prompt, since callers wait longer for long answers, and, where ranks
// differ, the rank. A rank is an order without a measure. It reduces only what the length adds, so
// that many tokens of a less urgent call don't outweigh several more urgent calls, and a call of any
// rank is still worth serving where nobody else needs the engines.
func (r Request) Worth() float64 {
	return 1 + float64(r.PromptTokens)/worthTokens/float64(1+r.Rank)
}

// referenceWorthShare returns the worth of a prompt of the reference length at the call's rank
// divided by that at the first rank. A second of an engine costs a call what calls of its own rank
// would earn in it: more urgent ones are protected by the room that is left for them.
func (r Request) referenceWorthShare() float64 {
	first := Request{PromptTokens: referencePromptTokens}
	same := first
	same.Rank = r.Rank
	return same.Worth() / first.Worth()
}
