// Package placement decides where a call goes: the upstream that answers it, the engines that
// prefill parts of its prompt, those that store a part of it, how long sending is delayed, or that
// the call is refused for now. Decisions are pure functions of a snapshot of the upstreams' load.
package placement

import (
	"time"

	"github.com/hollowgrade/hollowgrade/engine"
)

// Request has the properties of a call that a decision depends on.
type Request struct {
	Engine        *engine.Figures // published figures of the engines; nil for a plain service
	PromptTokens  int
	MaxTokens     int           // largest number of tokens of the answer
	Goal          time.Duration // goal for the time until the first event; 0 if there is none
	PauseGoal     time.Duration // goal for the longest pause between two events; 0 if there is none
	TimeLeft      time.Duration // until the deadline
	Waited        time.Duration // estimated time since the caller's first attempt
	RefusedBefore bool          // the call was probably refused before
	StreamStarted bool          // the caller has received a part of the answer
}

// Long reports whether several engines may share the prefill of the prompt.
func (r Request) Long() bool {
	return r.Engine != nil && r.PromptTokens >= minSplitTokens
}

// Worth estimates the worth of a call relative to others from the length of its prompt, since no
// worth is configured.
func (r Request) Worth() float64 {
	return 1 + float64(r.PromptTokens)/worthTokens
}

// worthTokens is the number of prompt tokens that add 1 to a call's base worth of 1.
const worthTokens = 10_000

// Candidate is an upstream that may get the call, with its known load from all gateways.
type Candidate struct {
	Slots          int           // calls that it processes concurrently
	Open           int           // calls that have not ended
	Tokens         int           // memory reserved by its calls, in tokens
	Stakes         Stakes        // worth of its calls by pause goal
	PrefillBacklog time.Duration // pending prefill, at the upstream's actual speed
	Pace           float64       // actual time divided by published time; 0 counts as 1
	HelperParts    int           // estimate of the parts of prompts that it holds for other engines
	ReportedCalls  int           // calls that it reports itself; 0 if the report is stale
	Avoided        bool          // it failed recently
	RateLimited    bool          // it limits its request rate, so that it gets no orders to keep parts of prompts
	Tried          bool          // by the same call
}

// state returns the state of the engine with the call added.
func (c *Candidate) state(r Request) engine.State {
	return engine.State{Decoding: c.Open + 1, Context: c.Tokens + r.PromptTokens, PrefillBacklog: c.PrefillBacklog, Pace: c.Pace}
}

// extraTime returns the time beyond the published one that the candidate takes for a prefill.
func (c *Candidate) extraTime(prefill time.Duration) time.Duration {
	return time.Duration(max(c.Pace-1, 0) * float64(prefill))
}

// Snapshot is the input of a decision besides the request.
type Snapshot struct {
	Candidates     []Candidate    // of one service, in an order that all gateways share
	Peers          int            // other gateways that send calls to the same upstreams
	KnownPeerShare float64        // part of all gateways, including this one, whose load is known
	UncountedCalls float64        // estimate of the calls that known peers have placed but not yet reported
	Demand         Demand         // for long prompts
	Recovery       Recovery       // right after all gateways have started together
	Random         func() float64 // random numbers from 0 to 1 for tie-breaking
}

// Plan is a decision.
type Plan struct {
	Target      int           // index of the upstream that answers
	Helpers     []int         // indices of those that prefill other parts of the prompt
	Keepers     []int         // those of the helpers that store a part of the prompt
	KeptTokens  int           // prompt tokens stored at each keeper
	PrefillTime time.Duration // prefill time at the target and at each helper
	FirstEvent  time.Duration // predicted time until the first event
	Wait        time.Duration // until the target and the helpers have finished their present backlog
	SendDelay   time.Duration // delay before the call is sent
	Cost        float64       // worth lost by longer pauses of other calls and by the call's own lateness
	// Displaced is the worth that other calls lose to the prefill of a long prompt, besides Cost.
	Displaced   float64
	CallsAhead  int           // unreported calls of peers that were assumed to be placed first
	MeanBacklog time.Duration // mean pending prefill of the engines
	SlotShare   float64       // part of the slots that is in use
	DemandShare float64       // part of the engines' time that expected prompts take
	DemandKnown float64       // part of that demand that is known, from 0 to 1
	OutOfMemory bool          // no engine has memory for the call
	Refused     bool          // the call costs others more than it is worth, would be late, or finds no memory
	// RetryAfter is the retry delay for the caller of a refused call.
	RetryAfter time.Duration
}

// Mechanism is a part of a policy that can be disabled to measure its effect.
type Mechanism string

// The mechanisms.
const (
	Packing     Mechanism = "packing"     // calls with short pause goals are packed on the first engines of the common order
	Spreading   Mechanism = "spreading"   // random choice among engines of about the same cost
	Turns       Mechanism = "turns"       // concurrent calls of several gateways are placed as if one after another
	Splitting   Mechanism = "splitting"   // several engines share the prefill of a long prompt
	Pauses      Mechanism = "pauses"      // prefill goes where the pauses of calls in decode stay within their goals
	Restricting Mechanism = "restricting" // a long call avoids targets on which all calls have longer pause goals
	Holding     Mechanism = "holding"     // sending is delayed until the backlog is nearly done
	Refusing    Mechanism = "refusing"    // long calls that cost others more than they are worth are refused
	Shedding    Mechanism = "shedding"    // short calls that would be late are refused once all slots are in use
	Rooming     Mechanism = "rooming"     // long calls go where there is memory, and are refused where there is none
	Forecasting Mechanism = "forecasting" // the retry delay of a refused long call is when it would be admitted
	Returning   Mechanism = "returning"   // calls that were refused before are admitted more readily
)

// Mechanisms returns all mechanisms.
func Mechanisms() []Mechanism {
	return []Mechanism{Packing, Spreading, Turns, Splitting, Pauses, Restricting, Holding, Refusing, Shedding, Rooming, Forecasting, Returning}
}

// Policy places calls. It is immutable.
type Policy struct {
	without map[Mechanism]bool
	pricing pricing
}

// Option configures a policy.
type Option func(*Policy)

// Without disables mechanisms.
func Without(ms ...Mechanism) Option {
	return func(p *Policy) {
		for _, m := range ms {
			p.without[m] = true
		}
	}
}

// New returns a policy with all mechanisms but those that options disable.
func New(os ...Option) *Policy {
	p := &Policy{without: map[Mechanism]bool{}, pricing: pricings[BusyEngines]}
	for _, o := range os {
		o(p)
	}
	return p
}

// has reports whether a mechanism is enabled.
func (p *Policy) has(m Mechanism) bool {
	return !p.without[m]
}

// Place makes the plan for a call. It returns false if there is no upstream for it.
func (p *Policy) Place(s Snapshot, r Request) (l Plan, ok bool) {
	switch {
	case r.Engine == nil:
		l, ok = p.placePlain(s)
	case r.Long() && p.has(Splitting):
		l, ok = p.placeLongOrShort(s, r)
	case s.Recovery.Active():
		l, ok = p.placeInRecovery(s, r)
	default:
		l, ok = p.placeShort(s, r)
	}
	if p.has(Holding) {
		l.SendDelay = time.Duration(sendDelayShare * float64(l.Wait))
	}
	if r.Engine != nil {
		l.MeanBacklog, l.SlotShare = meanPrefillBacklog(s.Candidates), slotShare(s.Candidates, r.Engine)
		l.DemandShare, l.DemandKnown = s.Demand.load(len(s.Candidates)), s.Demand.KnownShare
	}
	return l, ok
}

// slotShare returns the part of the engines' slots that is in use.
func slotShare(cs []Candidate, e *engine.Figures) float64 {
	return float64(openCalls(cs)) / float64(max(e.Slots*len(cs), 1))
}

// sendDelayShare is the part of the engines' backlog by which sending is delayed. A pass prefills
// everything that waits, so parts of two long prompts that wait at one engine make both late. A
// delayed call doesn't lose its place, since the engines' time is already reserved for it.
const sendDelayShare = 0.7

// avoidCost ranks an upstream that failed recently behind all others, but keeps it usable when
// there is no other.
const avoidCost = 1e9

// tieBreakCost is the weight of a random cost that breaks ties: too small to reverse the order of
// costs that differ.
const tieBreakCost = 1e-3

// placePlain picks the upstream with the fewest calls per slot, by its own report or by what the
// gateways have placed on it, whichever is more.
func (p *Policy) placePlain(s Snapshot) (l Plan, ok bool) {
	cost := func(_ int, c *Candidate) float64 {
		return float64(max(c.Open, c.ReportedCalls))/float64(max(c.Slots, 1)) + s.Random()*tieBreakCost
	}
	l.CallsAhead = p.callsAhead(s)
	_, l.Target = cheapestAfter(s.Candidates, l.CallsAhead, cost, func(c *Candidate) { c.Open = max(c.Open, c.ReportedCalls) + 1 })
	return l, l.Target >= 0
}

// callsAhead draws how many unreported calls of peers are placed before this one.
func (p *Policy) callsAhead(s Snapshot) int {
	if !p.has(Turns) {
		return 0
	}
	return s.drawCallsAhead()
}
