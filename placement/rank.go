package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hollowgrade/hollowgrade/engine"
)

// A call is admitted only if the room that its plan leaves is enough for the more urgent calls that
// are expected. One call of each expected size must fit at least, and what is expected for a rank is
// also expected for those after it. So no call is refused for want of room while a less urgent one is
// admitted on the same snapshot.

// rateOf returns how many of the prompts a second are of a rank from the given one to below another.
func (x ExpectedPrompts) rateOf(from, below int) (perSecond float64) {
	for rank, share := range x.RankShares {
		if rank >= from && rank < below {
			perSecond += x.Rate * share
		}
	}
	return perSecond
}

// urgentCalls are expected calls of about the same size.
type urgentCalls struct {
	tokens int // memory of one call
	count  int
}

// outranked reports whether the plan for a call leaves too little room on the engines for the more
// urgent calls that are expected.
func (s Snapshot) outranked(r Request, l Plan) bool {
	if r.Rank == 0 || r.StreamStarted {
		return false
	}
	return !fitCalls(s.roomAfter(r, l), s.urgentCalls(r, l))
}

// answerTime returns how long an engine takes for the tokens of an answer.
func answerTime(e *engine.Figures, s engine.State, tokens int) time.Duration {
	passes := math.Ceil(float64(tokens) / float64(max(e.Stride, 1)))
	return time.Duration(passes * float64(e.PassTime(s)))
}

// urgentCalls returns the more urgent calls that are expected while the call of a plan occupies its
// engines, the largest first. Those that arrive later than the time that one of them takes use the
// room of earlier ones. Calls in progress count as staying, because arrivals at twice the rate would
// need that room.
func (s Snapshot) urgentCalls(r Request, l Plan) (us []urgentCalls) {
	e, load := r.Engine, meanState(s.Candidates)
	takes := func(x ExpectedPrompts) time.Duration { return x.PrefillTime + answerTime(e, load, e.UsualAnswer) }
	stay := l.FirstEvent + answerTime(e, s.Candidates[l.Target].state(r), r.MaxTokens)
	for _, x := range s.Demand.Prompts {
		if x.rateOf(1, r.Rank) > 0 {
			stay = max(stay, takes(x)) // as for those calls themselves, or they would be refused first
		}
	}
	for _, x := range s.Demand.Prompts {
		if rate := x.rateOf(0, r.Rank); rate > 0 {
			n := math.Ceil(rate * min(stay, takes(x)).Seconds())
			us = append(us, urgentCalls{e.PrefillTokens(x.PrefillTime) + e.UsualAnswer, int(n)})
		}
	}
	slices.SortFunc(us, func(a, b urgentCalls) int { return cmp.Compare(b.tokens, a.tokens) })
	return us
}

// meanState returns the mean load of engines with a call added to each.
func meanState(cs []Candidate) engine.State {
	n := max(len(cs), 1)
	tokens := 0
	for i := range cs {
		tokens += cs[i].Tokens
	}
	return engine.State{Decoding: openCalls(cs)/n + 1, Context: tokens / n}
}

// room is what an engine has free.
type room struct {
	slots  int
	tokens int
}

// roomAfter returns what each engine has free once a plan is carried out. Engines that failed
// recently have none.
func (s Snapshot) roomAfter(r Request, l Plan) []room {
	e := r.Engine
	rooms := make([]room, len(s.Candidates))
	for i := range s.Candidates {
		c := &s.Candidates[i]
		if !c.Avoided {
			rooms[i] = room{e.Slots - c.Open, int(usableMemoryShare*float64(e.Capacity)) - c.Tokens}
		}
	}
	rooms[l.Target].slots--
	rooms[l.Target].tokens -= r.PromptTokens + r.MaxTokens - l.KeptTokens*len(l.Keepers)
	for _, k := range l.Keepers {
		rooms[k].tokens -= l.KeptTokens
	}
	return rooms
}

// fitCalls reports whether calls fit together into the room of the engines, which it uses up.
func fitCalls(rooms []room, us []urgentCalls) bool {
	for _, u := range us {
		for i := range rooms {
			n := max(min(u.count, rooms[i].slots, rooms[i].tokens/max(u.tokens, 1)), 0)
			rooms[i].slots -= n
			rooms[i].tokens -= n * u.tokens
			u.count -= n
		}
		if u.count > 0 {
			return false
		}
	}
	return true
}

// refuseOutranked refuses a call of a plain service where its rank finds no slot. The first rank is
// never refused, and each further one leaves one more slot to those before it, so that ranks are
// refused one after another as slots become short.
func (s Snapshot) refuseOutranked(l *Plan, r Request) {
	free, all, queued := 0, 0, 0
	for i := range s.Candidates {
		c := &s.Candidates[i]
		n := c.Slots - max(c.Open, c.ReportedCalls)
		all += c.Slots
		free += max(n, 0)
		queued += max(-n, 0)
	}
	if r.Rank == 0 || r.StreamStarted || free >= r.Rank {
		return
	}
	l.Refused, l.Outranked = true, true
	l.RetryAfter = s.HoldTime * time.Duration(queued+r.Rank-free) / time.Duration(max(all, 1))
}
