package core

import (
	"time"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/placement"
)

// loadTTL is how long an upstream's own report of its load is used.
const loadTTL = time.Second

// prefillOverhead is the factor by which prefill slows down while other calls decode, because each
// pass executes their steps as well.
const prefillOverhead = 1.15

// pick is an upstream chosen for a call, with what is accounted for it.
type pick struct {
	placement.Plan
	request  placement.Request
	member   *member
	helpers  []*member
	keepers  []*member                        // helpers that keep a part of the prompt in memory
	entries  map[*member]hollowgrade.Upstream // registry entry of each of them at the pick
	share    Share                            // at the member
	slowest  float64                          // highest known pace of its engines
	chosenAt time.Time                        // when it was chosen
	charged  []*member                        // members whose limit was charged
}

// upstream returns the registry entry of the chosen upstream.
func (p *pick) upstream() hollowgrade.Upstream {
	return p.entries[p.member]
}

// retryPatienceShare is the share of the route's timeout below which a caller's remaining time shows
// that it was refused before.
const retryPatienceShare = 0.97

// newRequest returns the placement request of a call that arrived waited ago. A caller that retries
// has less time left than the route allows: the difference is added to waited, because its goal
// counts from its first try.
func newRequest(s Service, r Route, c hollowgrade.Call, left, waited time.Duration) placement.Request {
	again := c.Patience > 0 && float64(c.Patience) < retryPatienceShare*float64(r.Timeout)
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

// pick chooses the upstream of a service for a call and the helpers that prefill parts of its
// prompt, and accounts for the work. It returns nil if there is none.
func (f *Fleet) pick(service string, r placement.Request, tried map[hollowgrade.Instance]bool) *pick {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	f.expireViews(now)
	ms := f.withinLimits(f.usableMembers(service, now), tried, now, r.StreamStarted)
	s := f.snapshot(service, ms, tried, now)
	s.UncountedCalls = f.unreportedCalls(service, now)
	s.Recovery = f.recovery.at(now)
	if r.Long() {
		s.Demand = f.expected(service, now)
	}
	l, ok := f.policy.Place(s, r)
	if !ok {
		return nil
	}
	p := &pick{Plan: l, request: r, member: ms[l.Target], helpers: membersAt(ms, l.Helpers), keepers: membersAt(ms, l.Keepers), chosenAt: now}
	if l.Refused {
		return p
	}
	if r.Engine != nil {
		f.demandOf(service).add(now, r.Engine.PrefillTime(r.PromptTokens, 1))
	}
	p.entries = map[*member]hollowgrade.Upstream{p.member: p.member.Upstream}
	for _, m := range p.helpers {
		p.entries[m] = m.Upstream
	}
	p.share = Share{Open: 1, Tokens: r.PromptTokens + r.MaxTokens - l.KeptTokens*len(p.keepers), Stakes: r.Stakes()}
	for _, m := range p.keepers {
		f.add(m, Share{Tokens: l.KeptTokens})
	}
	f.add(p.member, p.share)
	f.chargeLimit(p, p.member)
	f.recordTrial(p.member, now)
	f.addPrefill(p, now, l.PrefillTime)
	p.slowest = p.member.pace(now)
	for _, m := range p.helpers {
		m.addPart(now, l.FirstEvent)
		f.chargeLimit(p, m)
		p.slowest = max(p.slowest, m.pace(now))
	}
	return p
}

// membersAt returns the members at some indices.
func membersAt(ms []*member, is []int) (l []*member) {
	for _, i := range is {
		l = append(l, ms[i])
	}
	return l
}

// usableMembers returns the upstreams of a service that may get a call now, in an order that all
// processes of a cell share: those of the cell, or all if none of these may. The lock is held.
func (f *Fleet) usableMembers(service string, now time.Time) []*member {
	if ms := f.usableOf(f.membersOf(service), now); len(ms) > 0 {
		return ms
	}
	return f.usableOf(f.allMembersOf(service), now)
}

// usableOf returns those of some members that may get a call now. The lock is held.
func (f *Fleet) usableOf(all []*member, now time.Time) (ms []*member) {
	for _, m := range all {
		if f.usable(m, now) && !m.cooldown.trialPending(now) {
			ms = append(ms, m)
		}
	}
	return ms
}

// snapshot returns the state of members for placement. It is valid until the next call. The lock is
// held.
func (f *Fleet) snapshot(service string, ms []*member, tried map[hollowgrade.Instance]bool, now time.Time) placement.Snapshot {
	f.candidates = f.candidates[:0]
	for _, m := range ms {
		f.candidates = append(f.candidates, m.candidate(tried[m.instance], now))
	}
	return placement.Snapshot{Candidates: f.candidates, Peers: f.sharers(service), KnownPeerShare: f.knownShare(service), Random: f.random}
}

// candidate returns the state of the upstream for placement.
func (m *member) candidate(tried bool, now time.Time) placement.Candidate {
	t := m.total()
	c := placement.Candidate{
		Slots:          m.Slots,
		Open:           t.Open,
		Tokens:         t.Tokens,
		Stakes:         t.Stakes,
		PrefillBacklog: m.prefillBacklog(now),
		Pace:           m.pace(now),
		HelperParts:    m.partCount(now),
		Avoided:        now.Before(m.avoidUntil),
		Tried:          tried,
		RateLimited:    m.limit.named,
	}
	if now.Sub(m.loadAt) < loadTTL {
		c.ReportedCalls = m.load.Running + m.load.Waiting
	}
	return c
}

// addPrefill adds prefill to the backlogs of the engines of a pick, or subtracts it if negative. The
// lock is held.
func (f *Fleet) addPrefill(p *pick, now time.Time, reading time.Duration) {
	d := time.Duration(prefillOverhead * float64(reading))
	for _, m := range append(p.helpers, p.member) {
		m.addPrefill(now, d)
		f.add(m, Share{Prefill: d})
	}
}

// release ends the accounting of a call. If the call ended before its answer began, the prefill that
// cannot have been done yet is subtracted from the backlogs; the rest has elapsed.
func (f *Fleet) release(p *pick, began bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !began {
		now := f.clock.Now()
		f.addPrefill(p, now, -max(p.PrefillTime-now.Sub(p.chosenAt), 0))
	}
	f.add(p.member, Share{}.Minus(p.share))
	for _, m := range p.keepers {
		f.add(m, Share{Tokens: -p.KeptTokens})
	}
}
