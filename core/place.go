package core

import (
	"time"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/engine"
)

const (
	// splitFrom is the prompt length from which reading is shared with helpers,
	// and maxHelpers how many the engines take. Measured on the users' bench:
	// even parts from 9,000 tokens on did best of five settings
	// (docs/design/placement.md).
	splitFrom  = 9_000
	maxHelpers = 16
	// packShare is the part of an engine's slots up to which requests that bear
	// short pauses are packed on the same engines, so that long prompts find
	// others on which they hold nobody up.
	packShare = 0.625
	// orderCost is by how much the last engine of the common order costs more
	// than the first: more than what a few writers more make of a prediction, and
	// less than a pause that is too long.
	orderCost = 0.15
	// loadAge is how long an upstream's own word on its load is believed.
	loadAge = time.Second
	// memoryShare is the part of an engine's memory that placement fills;
	// beyond, the engine would preempt.
	memoryShare = 0.95
	// lateShare is the part of a request's worth that is lost when it is late.
	lateShare = 0.75
	// worthTokens is how many prompt tokens add as much to a request's worth as
	// the request itself: operators value a long answer by its length.
	worthTokens = 10_000
)

// passOverhead is by how much longer reading takes beside requests that write:
// a pass reads what waits and plays its steps as well.
const passOverhead = 1.15

// placed is an upstream that was picked, with what its pick is accounted for.
type placed struct {
	member  *member
	helpers []*member
	at      map[*member]hollowgrade.Upstream // what the registry said of each of them
	holders []*member                        // those of the helpers that keep a part of the prompt
	tokens  int                              // that each of them keeps
	share   Share                            // at the member
	reading time.Duration                    // at it and each helper
	since   time.Time                        // when it was picked
	first   time.Duration                    // predicted time until the first event
	cost    float64                          // what is lost by long reads, by worth
	wait    time.Duration                    // until what was given before is read at all of them
	refused bool                             // what it would take from others is worth more than it
}

// upstream returns what the registry said of the picked upstream.
func (p *placed) upstream() hollowgrade.Upstream {
	return p.at[p.member]
}

// demand is what placement looks at of a call.
type demand struct {
	service Service
	prompt  int
	out     int
	goal    time.Duration
	pause   time.Duration
	left    time.Duration // until the call has to end
	again   bool          // it seems to have been refused before
	begun   bool          // the caller has a part of its answer
}

// againShare is the part of a route's time that a call which was refused before
// has left at the most.
const againShare = 0.97

func newDemand(s Service, r Route, c hollowgrade.Call, left time.Duration) demand {
	return demand{
		service: s,
		prompt:  c.PromptTokens,
		out:     c.MaxTokens,
		goal:    r.Goal,
		pause:   r.PauseGoal,
		left:    left,
		again:   c.Patience > 0 && float64(c.Patience) < againShare*float64(r.Timeout),
	}
}

// worth estimates the worth of a request beside that of others.
func (d demand) worth() float64 {
	return 1 + float64(d.prompt)/worthTokens
}

// pick chooses the upstream for a call, and the helpers that read parts of its
// prompt, and accounts for the work. It returns nil if there is none.
func (f *Fleet) pick(d demand, tried map[string]bool) *placed {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	f.expireViews(now)
	ms := f.candidates(d.service.Name, now)
	var p *placed
	switch {
	case d.service.Engine == nil:
		p = f.pickPlain(ms, tried, now)
	case d.prompt >= splitFrom:
		p = f.pickLongOrShort(ms, d, tried, now)
	default:
		p = f.pickShort(ms, d, tried, now)
	}
	if p == nil || p.refused {
		return p
	}
	p.at = map[*member]hollowgrade.Upstream{p.member: p.member.Upstream}
	for _, m := range p.helpers {
		p.at[m] = m.Upstream
	}
	p.share = Share{Open: 1, Tokens: d.prompt + d.out - p.tokens*len(p.holders), Stakes: stake(d.pause, d.worth())}
	for _, m := range p.holders {
		f.add(m, Share{Tokens: p.tokens})
	}
	f.add(p.member, p.share)
	p.since = now
	f.give(p, now, p.reading)
	return p
}

// candidates returns the usable upstreams of a service in an order that all
// processes share. The lock is held.
func (f *Fleet) candidates(service string, now time.Time) (ms []*member) {
	for _, m := range f.of(service) {
		if f.usable(m, now) {
			ms = append(ms, m)
		}
	}
	return ms
}

// avoidCost keeps an upstream that failed lately behind all others, yet usable
// when there is no other.
const avoidCost = 1e9

// cheapest returns the member that was not tried and costs least, or nil.
func cheapest(ms []*member, tried map[string]bool, now time.Time, cost func(i int, m *member) float64) (best *member) {
	least := 0.0
	for i, m := range ms {
		if tried[m.ID] {
			continue
		}
		c := cost(i, m)
		if now.Before(m.avoid) {
			c += avoidCost
		}
		if best == nil || c < least {
			best, least = m, c
		}
	}
	return best
}

// pickPlain takes the upstream with the fewest requests for its slots, by its
// own word and by what processes have given to it.
func (f *Fleet) pickPlain(ms []*member, tried map[string]bool, now time.Time) *placed {
	m := cheapest(ms, tried, now, func(_ int, m *member) float64 {
		n := float64(m.total().Open)
		if now.Sub(m.loadAt) < loadAge {
			n = max(n, float64(m.load.Running+m.load.Waiting))
		}
		return n/float64(max(m.Slots, 1)) + f.chance()*tieShare
	})
	if m == nil {
		return nil
	}
	return &placed{member: m}
}

// tieShare is a random part of costs that breaks ties without deciding between
// costs that differ.
const tieShare = 1e-3

// state returns what an engine has to do, with one more request.
func (m *member) state(d demand, now time.Time) engine.State {
	t := m.total()
	return engine.State{Writers: t.Open + 1, Context: t.Tokens + d.prompt, Reading: m.reading(now)}
}

// pickShort places a request whose prompt is read by one engine. Requests that
// bear short pauses only are packed on the first engines of the common order
// that have room, away from those that read long prompts.
func (f *Fleet) pickShort(ms []*member, d demand, tried map[string]bool, now time.Time) *placed {
	e := d.service.Engine
	reading := e.Reading(d.prompt, 1)
	pack := max(int(packShare*f.seen()*float64(e.Slots)), 1)
	lane := laneWidth(ms, pack)
	m := cheapest(ms, tried, now, func(i int, m *member) float64 {
		s := m.state(d, now)
		c := lateness(e.First(s, reading), d.goal)
		if d.pause > 0 && e.Pause(s, reading) > d.pause {
			c++ // it would begin within a pass that is too long for it
		}
		c += crowding(m.total().Open, pack, e.Slots)
		c += memoryCost(m, d, e)
		return c + orderCost*float64(max(i-lane+1, 0))/float64(len(ms)) + spreadShare*f.chance()
	})
	if m == nil {
		return nil
	}
	return &placed{member: m, reading: reading, first: e.First(m.state(d, now), reading)}
}

// Requests that come to many gateways at one moment, before they have heard of
// each other's picks, would all go to the same engine. So the first engines of
// the common order that have this much room together count alike, and chance
// decides among those of about the same cost.
const (
	leastRoom   = 2    // requests
	roomShare   = 0.05 // of those that are open
	spreadShare = 0.1  // of a request's worth, less than a pause that is too long
)

// laneWidth returns how many engines of the common order count alike.
func laneWidth(ms []*member, pack int) (n int) {
	open := 0
	for _, m := range ms {
		open += m.total().Open
	}
	need := max(leastRoom, int(roomShare*float64(open)))
	for _, m := range ms {
		if need <= 0 {
			break
		}
		need -= max(pack-m.total().Open, 0)
		n++
	}
	return n
}

// seen returns the part of all processes whose load is known here, its own among
// them. Without it a process that hears of nobody would pack as many requests on
// the first engines as all are meant to together. The lock is held.
func (f *Fleet) seen() float64 {
	known := float64(len(f.views) + 1)
	return known / max(known, float64(f.peers()+1))
}

// Predictions are off by a third now and then: an answer that is predicted well
// within its goal will be in time, one that is predicted somewhat beyond it
// will not.
const (
	surelyInTime = 0.5
	surelyLate   = 1.1
	perGoalMore  = 0.1 // cost of each further goal that it is late by
)

// lateness estimates the chance that a request is late, and rises slowly beyond
// that, so that a late answer is still not put off further.
func lateness(first, goal time.Duration) float64 {
	if goal <= 0 {
		return 0
	}
	r := float64(first) / float64(goal)
	chance := min(max((r-surelyInTime)/(surelyLate-surelyInTime), 0), 1)
	return chance + perGoalMore*r
}

// crowding is the cost of an engine's requests beyond those that are packed on
// it. It is over 1 once the slots are full: then a request would wait for one.
func crowding(open, pack, slots int) float64 {
	switch {
	case open < pack:
		return 0
	case open < slots:
		return float64(open-pack+1) / float64(slots-pack+1)
	default:
		return float64(2 + open - slots)
	}
}

// memoryCost is high where the request does not fit into an engine's memory.
func memoryCost(m *member, d demand, e *engine.Figures) float64 {
	if float64(m.total().Tokens+d.prompt+d.out) > memoryShare*float64(e.Capacity) {
		return 3
	}
	return 0
}

// give accounts for reading at the engines of a pick, or takes it back when it
// is negative. The lock is held.
func (f *Fleet) give(p *placed, now time.Time, reading time.Duration) {
	d := time.Duration(passOverhead * float64(reading))
	for _, m := range append(p.helpers, p.member) {
		m.give(now, d)
		f.add(m, Share{Given: d})
	}
}

// over ends the account of a call. What can't have been read yet, since the call
// ended before its answer began, is taken back. The rest has passed in time.
func (f *Fleet) over(p *placed, began bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !began {
		now := f.clock.Now()
		f.give(p, now, -max(p.reading-now.Sub(p.since), 0))
	}
	f.add(p.member, Share{}.Minus(p.share))
	for _, m := range p.holders {
		f.add(m, Share{Tokens: -p.tokens})
	}
}
