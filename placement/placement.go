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
	Waited time.Duration   // since the caller's first try, as far as can be told
	Again  bool            // it seems to have been refused before
	Begun  bool            // the caller has a part of its answer
}

// Long reports whether several engines may read the prompt of the call.
func (r Request) Long() bool {
	return r.Engine != nil && r.Prompt >= splitFrom
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
	Reading time.Duration // of prompts, still to be done, as long as it takes the upstream
	Pace    float64       // how many times as long as published it takes for what it does; 0 counts as 1
	Helps   int           // parts of prompts that it holds for other engines
	Told    int           // calls that it has by its own word; 0 if that is old
	Avoided bool          // it failed lately
	Limited bool          // it bounds the requests that it takes, so that it gets no orders to keep parts of prompts
	Tried   bool          // by the same call
}

// state returns what an engine has to do, with the call.
func (c *Candidate) state(r Request) engine.State {
	return engine.State{Writers: c.Open + 1, Context: c.Tokens + r.Prompt, Reading: c.Reading, Pace: c.Pace}
}

// slower returns how much longer than published the candidate takes for some reading.
func (c *Candidate) slower(reading time.Duration) time.Duration {
	return time.Duration(max(c.Pace-1, 0) * float64(reading))
}

// Snapshot is what is known at a moment.
type Snapshot struct {
	Candidates []Candidate    // of one service, in an order that all processes share
	Others     int            // other processes that give work to the same upstreams
	Heard      float64        // part of all processes whose load is known, this one among them
	Unheard    float64        // calls that the heard ones are thought to have placed and that are not counted yet
	Demand     Demand         // for long prompts
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
	// Displaced is the worth that others lose by the reading of a long prompt, beside Cost.
	Displaced float64
	Turn      int           // unheard calls of others that are taken to go before it
	Backlog   time.Duration // that engines have still to read on average
	Taken     float64       // part of the slots that are taken
	Asked     float64       // part of the engines' time that expected prompts take
	Known     float64       // part of that demand that is known, from 0 to 1
	Full      bool          // no engine has memory for it now
	Refused   bool          // what it would take from others is worth more than it, or no engine has memory for it
	// ComeBack is when the caller of a refused call should come back.
	ComeBack time.Duration
}

// Mechanism is a part of a policy that can be left out, to see what it is worth.
type Mechanism string

// The mechanisms.
const (
	Packing     Mechanism = "packing"     // calls that bear short pauses keep to the first engines of the common order
	Spreading   Mechanism = "spreading"   // chance decides among engines of about the same cost
	Turns       Mechanism = "turns"       // calls of one moment are placed as if one after another
	Splitting   Mechanism = "splitting"   // several engines read a long prompt
	Pauses      Mechanism = "pauses"      // long parts go where the calls that write bear them
	Restricting Mechanism = "restricting" // calls are answered where others bear no longer pauses
	Holding     Mechanism = "holding"     // parts are held back until earlier ones are nearly read
	Refusing    Mechanism = "refusing"    // long calls that are worth less than what they take come back later
	Shedding    Mechanism = "shedding"    // short calls that would be late come back later once slots are taken
	Rooming     Mechanism = "rooming"     // long calls are answered where there is memory, and come back later where there is none
	Forecasting Mechanism = "forecasting" // callers of refused long calls are told when the call would be taken
	Returning   Mechanism = "returning"   // calls that were refused before go before others
)

// Mechanisms returns all mechanisms.
func Mechanisms() []Mechanism {
	return []Mechanism{Packing, Spreading, Turns, Splitting, Pauses, Restricting, Holding, Refusing, Shedding, Rooming, Forecasting, Returning}
}

// Policy decides. It is immutable.
type Policy struct {
	without map[Mechanism]bool
	pricing pricing
}

// Option changes a policy as it is made.
type Option func(*Policy)

// Without leaves mechanisms out.
func Without(ms ...Mechanism) Option {
	return func(p *Policy) {
		for _, m := range ms {
			p.without[m] = true
		}
	}
}

// New returns a policy.
func New(os ...Option) *Policy {
	p := &Policy{without: map[Mechanism]bool{}, pricing: pricings[BusyEngines]}
	for _, o := range os {
		o(p)
	}
	return p
}

// has reports whether the policy has a mechanism.
func (p *Policy) has(m Mechanism) bool {
	return !p.without[m]
}

// Place decides for a call. It returns false if there is no upstream for it.
func (p *Policy) Place(s Snapshot, r Request) (l Plan, ok bool) {
	switch {
	case r.Engine == nil:
		l, ok = p.plain(s)
	case r.Long() && p.has(Splitting):
		l, ok = p.longOrShort(s, r)
	default:
		l, ok = p.short(s, r)
	}
	if p.has(Holding) {
		l.Hold = time.Duration(holdShare * float64(l.Wait))
	}
	if r.Engine != nil {
		l.Backlog, l.Taken = meanReading(s.Candidates), slotShare(s.Candidates, r.Engine)
		l.Asked, l.Known = s.Demand.load(len(s.Candidates)), s.Demand.Known
	}
	return l, ok
}

// slotShare returns the part of the engines' slots that is taken.
func slotShare(cs []Candidate, e *engine.Figures) float64 {
	return float64(openCalls(cs)) / float64(max(e.Slots*len(cs), 1))
}

// holdShare is the part of the reading that was given to the engines before for
// which the sending of a call is held back. A pass reads all that waits, so parts
// of two long prompts that wait at an engine at once make both late. What is held
// keeps its place, since the engines' time is accounted for it.
const holdShare = 0.7

// avoidCost keeps an upstream that failed lately behind all others, yet usable
// when there is no other.
const avoidCost = 1e9

// tieShare is a random part of costs that breaks ties without deciding between
// costs that differ.
const tieShare = 1e-3

// plain takes the upstream with the fewest calls for its slots, by its own word and
// by what processes have given to it.
func (p *Policy) plain(s Snapshot) (l Plan, ok bool) {
	cost := func(_ int, c *Candidate) float64 {
		return float64(max(c.Open, c.Told))/float64(max(c.Slots, 1)) + s.Chance()*tieShare
	}
	l.Turn = p.turn(s)
	_, l.Target = cheapestInTurn(s.Candidates, l.Turn, cost, func(c *Candidate) { c.Open = max(c.Open, c.Told) + 1 })
	return l, l.Target >= 0
}

// turn draws how many unheard calls go before one that is decided on the snapshot.
func (p *Policy) turn(s Snapshot) int {
	if !p.has(Turns) {
		return 0
	}
	return s.turn()
}
