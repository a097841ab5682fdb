// Package placement decides where a call goes: the upstream that answers it, the
// engines that read parts of its prompt, those that keep a part of it, when it
// is sent, or that it is refused for now. It is pure: no clock, no lock, no I/O. A
// decision is made from a snapshot of what is known of the upstreams, and says
// what decided it.
package placement

import (
	"time"

	"github.com/hollowgrade/hollowgrade/engine"
)

// Request is what a decision looks at of a call.
type Request struct {
	Engine *engine.Figures // published figures of the engines; nil for a plain service
	Prompt int             // tokens
	Answer int             // tokens at the most
	Goal   time.Duration   // until the first event; 0 if there is none
	Pause  time.Duration   // longest between two events; 0 if there is none
	Left   time.Duration   // until the call has to end
	Again  bool            // it seems to have been refused before
	Begun  bool            // the caller has a part of its answer
}

// Worth estimates the worth of a call beside that of others. Operators publish
// none, and value a long answer by its length.
func (r Request) Worth() float64 {
	return 1 + float64(r.Prompt)/worthTokens
}

// worthTokens is how many prompt tokens add as much to a call's worth as the call
// itself.
const worthTokens = 10_000

// Candidate is an upstream that may be given the call, and its load as all
// processes together are known to have made it.
type Candidate struct {
	Slots   int           // calls that it works on at a time
	Open    int           // calls that are not over
	Tokens  int           // of memory that its calls hold
	Stakes  Stakes        // what is lost by pauses that are too long for its calls
	Reading time.Duration // of prompts, still to be done
	Told    int           // calls that it has by its own word; 0 if that is old
	Avoided bool          // it failed lately
	Tried   bool          // by the same call
}

// state returns what an engine has to do, with the call.
func (c *Candidate) state(r Request) engine.State {
	return engine.State{Writers: c.Open + 1, Context: c.Tokens + r.Prompt, Reading: c.Reading}
}

// Snapshot is what is known at a moment.
type Snapshot struct {
	Candidates []Candidate    // of one service, in an order that all processes share
	Heard      float64        // part of all processes whose load is known, this one among them
	Chance     func() float64 // from 0 to 1, decides among equals
}

// Plan is a decision.
type Plan struct {
	Target  int           // index of the upstream that answers
	Helpers []int         // indices of those that read parts of the prompt as well
	Keepers []int         // those of the helpers that keep a part of the prompt
	Kept    int           // tokens at each of them
	Reading time.Duration // of the prompt, at the target and at each helper
	First   time.Duration // predicted time until the first event
	Wait    time.Duration // until what was given before is read at all of them
	Hold    time.Duration // for which the sending is held back
	Cost    float64       // worth that is lost by it, its own lateness among it
	Busy    float64       // how much a second of an engine is needed by others, from 0 to 1
	Refused bool          // what it would take from others is worth more than it
}

// Policy decides. It is immutable.
type Policy struct{}

// New returns a policy.
func New() *Policy {
	return &Policy{}
}

// Place decides for a call. It returns false if there is no upstream for it.
func (p *Policy) Place(s Snapshot, r Request) (l Plan, ok bool) {
	switch {
	case r.Engine == nil:
		l, ok = p.plain(s)
	case r.Prompt >= splitFrom:
		l, ok = p.longOrShort(s, r)
	default:
		l, ok = p.short(s, r)
	}
	l.Hold = hold(l.Wait, r.Goal)
	return l, ok
}

// A pass reads all that waits, so parts of two long prompts that are given to an
// engine at once make both late. The second is held back until the first is
// nearly read, for a quarter of its goal at the most: what is held for longer
// counts as held up on the users' side.
const (
	holdShare = 0.7
	holdGoals = 0.25
)

// hold returns how long the sending is held back.
func hold(wait, goal time.Duration) time.Duration {
	return min(time.Duration(holdShare*float64(wait)), time.Duration(holdGoals*float64(goal)))
}

// avoidCost keeps an upstream that failed lately behind all others, yet usable
// when there is no other.
const avoidCost = 1e9

// cheapest returns the index of the candidate that was not tried and costs least,
// or -1.
func cheapest(cs []Candidate, cost func(i int, c *Candidate) float64) (best int) {
	best = -1
	least := 0.0
	for i := range cs {
		if cs[i].Tried {
			continue
		}
		c := cost(i, &cs[i])
		if cs[i].Avoided {
			c += avoidCost
		}
		if best < 0 || c < least {
			best, least = i, c
		}
	}
	return best
}

// tieShare is a random part of costs that breaks ties without deciding between
// costs that differ.
const tieShare = 1e-3

// plain takes the upstream with the fewest calls for its slots, by its own word and
// by what processes have given to it.
func (p *Policy) plain(s Snapshot) (l Plan, ok bool) {
	l.Target = cheapest(s.Candidates, func(_ int, c *Candidate) float64 {
		return float64(max(c.Open, c.Told))/float64(max(c.Slots, 1)) + s.Chance()*tieShare
	})
	return l, l.Target >= 0
}
