package core

import (
	"time"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/placement"
)

// loadAge is how long an upstream's own word on its load is believed.
const loadAge = time.Second

// passOverhead is by how much longer reading takes beside calls that write: a
// pass reads what waits and plays its steps as well.
const passOverhead = 1.15

// pick is an upstream that was chosen for a call, with what is accounted for it.
type pick struct {
	placement.Plan
	request placement.Request
	member  *member
	helpers []*member
	keepers []*member                        // those of the helpers that keep a part of the prompt
	at      map[*member]hollowgrade.Upstream // what the registry said of each of them
	share   Share                            // at the member
	slowest float64                          // how many times as long as published the slowest of its engines takes, as far as is known
	since   time.Time                        // when it was chosen
	metered []*member                        // those of which a limit was charged for it
}

// upstream returns what the registry said of the chosen upstream.
func (p *pick) upstream() hollowgrade.Upstream {
	return p.at[p.member]
}

// againShare is the part of a route's time that a call which was refused before
// has left at the most.
const againShare = 0.97

// newRequest returns what placement looks at of a call that arrived waited ago. A
// caller that came back has less time left than the route gives: its first try was
// that much earlier, and its goal counts from then.
func newRequest(s Service, r Route, c hollowgrade.Call, left, waited time.Duration) placement.Request {
	again := c.Patience > 0 && float64(c.Patience) < againShare*float64(r.Timeout)
	if again {
		waited += r.Timeout - c.Patience
	}
	return placement.Request{
		Engine:        s.Engine,
		PromptTokens:  c.PromptTokens,
		MaxTokens:     c.MaxTokens,
		Goal:          r.Goal,
		PauseGoal:     r.PauseGoal,
		TimeLeft:      left,
		Waited:        waited,
		RefusedBefore: again,
	}
}

// pick chooses the upstream of a service for a call, and the helpers that read
// parts of its prompt, and accounts for the work. It returns nil if there is none.
func (f *Fleet) pick(service string, r placement.Request, tried map[hollowgrade.Life]bool) *pick {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	f.expireViews(now)
	ms := f.within(f.usableOf(service, now), tried, now, r.StreamStarted)
	s := f.snapshot(ms, tried, now)
	s.UncountedCalls = f.unheard(service, now)
	if r.Long() {
		s.Demand = f.expected(service, now)
	}
	l, ok := f.policy.Place(s, r)
	if !ok {
		return nil
	}
	p := &pick{Plan: l, request: r, member: ms[l.Target], helpers: at(ms, l.Helpers), keepers: at(ms, l.Keepers), since: now}
	if l.Refused {
		return p
	}
	if r.Engine != nil {
		f.demandOf(service).note(now, r.Engine.Reading(r.PromptTokens, 1))
	}
	p.at = map[*member]hollowgrade.Upstream{p.member: p.member.Upstream}
	for _, m := range p.helpers {
		p.at[m] = m.Upstream
	}
	p.share = Share{Open: 1, Tokens: r.PromptTokens + r.MaxTokens - l.KeptTokens*len(p.keepers), Stakes: r.Stakes()}
	for _, m := range p.keepers {
		f.add(m, Share{Tokens: l.KeptTokens})
	}
	f.add(p.member, p.share)
	f.meter(p, p.member)
	f.noteProof(p.member, now)
	f.give(p, now, l.PrefillTime)
	p.slowest = p.member.pace(now)
	for _, m := range p.helpers {
		m.helping(now, l.FirstEvent)
		f.meter(p, m)
		p.slowest = max(p.slowest, m.pace(now))
	}
	return p
}

// at returns the members that stand at some indices.
func at(ms []*member, is []int) (l []*member) {
	for _, i := range is {
		l = append(l, ms[i])
	}
	return l
}

// usableOf returns the upstreams of a service that may be given a call now, in an order that
// all processes share. The lock is held.
func (f *Fleet) usableOf(service string, now time.Time) (ms []*member) {
	for _, m := range f.of(service) {
		if f.usable(m, now) && !m.rest.awaited(now) {
			ms = append(ms, m)
		}
	}
	return ms
}

// snapshot returns what is known of members. It is good until the next one is
// taken. The lock is held.
func (f *Fleet) snapshot(ms []*member, tried map[hollowgrade.Life]bool, now time.Time) placement.Snapshot {
	f.candidates = f.candidates[:0]
	for _, m := range ms {
		f.candidates = append(f.candidates, m.candidate(tried[m.life], now))
	}
	return placement.Snapshot{Candidates: f.candidates, Peers: max(len(f.views), f.peers()), KnownPeerShare: f.heardShare(), Random: f.chance}
}

// candidate returns what is known of the upstream.
func (m *member) candidate(tried bool, now time.Time) placement.Candidate {
	t := m.total()
	c := placement.Candidate{
		Slots:          m.Slots,
		Open:           t.Open,
		Tokens:         t.Tokens,
		Stakes:         t.Stakes,
		PrefillBacklog: m.reading(now),
		Pace:           m.pace(now),
		HelperParts:    m.helps(now),
		Avoided:        now.Before(m.avoid),
		Tried:          tried,
		RateLimited:    m.limit.named,
	}
	if now.Sub(m.loadAt) < loadAge {
		c.ReportedCalls = m.load.Running + m.load.Waiting
	}
	return c
}

// give accounts for reading at the engines of a pick, or takes it back when it
// is negative. The lock is held.
func (f *Fleet) give(p *pick, now time.Time, reading time.Duration) {
	d := time.Duration(passOverhead * float64(reading))
	for _, m := range append(p.helpers, p.member) {
		m.give(now, d)
		f.add(m, Share{Given: d})
	}
}

// over ends the account of a call. What can't have been read yet, since the call
// ended before its answer began, is taken back. The rest has passed in time.
func (f *Fleet) over(p *pick, began bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !began {
		now := f.clock.Now()
		f.give(p, now, -max(p.PrefillTime-now.Sub(p.since), 0))
	}
	f.add(p.member, Share{}.Minus(p.share))
	for _, m := range p.keepers {
		f.add(m, Share{Tokens: -p.KeptTokens})
	}
}
