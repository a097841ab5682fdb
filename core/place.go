package core

import (
	"time"

	"github.com/hollowgrade/hollowgrade"
)

const (
	// splitFrom is the prompt length from which reading is shared with helpers,
	// and maxHelpers how many the engines take. Measured on the users' bench:
	// wide even parts from 9,000 tokens on did best of five settings
	// (docs/design/platform.md).
	splitFrom  = 9_000
	maxHelpers = 16
	// perOpen is what each open call of this process costs in placement, beside
	// the reading still to do: a request that writes lengthens each step by
	// some microseconds, and a pass has about fifty.
	perOpen = 2 * time.Millisecond
	// loadAge is how long an upstream's own word on its load is believed.
	loadAge = time.Second
)

// placed is an upstream that was picked, with what its pick is accounted for.
type placed struct {
	member  *member
	helpers []*member
	reading time.Duration // at each of them
}

// pick chooses the upstream for a call, and the helpers that read parts of its
// prompt, and accounts for the work. It returns nil if there is none.
func (f *Fleet) pick(s Service, c hollowgrade.Call, tried map[string]bool) *placed {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	cost := plainCost(now)
	if s.Engine != nil {
		cost = engineCost
	}
	ms := f.ranked(s.Name, cost)
	p := &placed{}
	for _, m := range ms {
		if !tried[m.ID] {
			p.member = m
			break
		}
	}
	if p.member == nil {
		return nil
	}
	if s.Engine != nil {
		p.helpers = helpers(ms, p.member, c, now)
		p.reading = s.Engine.Reading(c.PromptTokens, 1+len(p.helpers))
	}
	p.member.open++
	f.addReading(p, p.reading)
	return p
}

// helpers returns the upstreams that share the reading of a long prompt.
func helpers(ms []*member, first *member, c hollowgrade.Call, now time.Time) (hs []*member) {
	if c.PromptTokens < splitFrom {
		return nil
	}
	for _, m := range ms {
		if m != first && !now.Before(m.avoid) && len(hs) < maxHelpers {
			hs = append(hs, m)
		}
	}
	return hs
}

func (f *Fleet) addReading(p *placed, d time.Duration) {
	p.member.reading += d
	for _, h := range p.helpers {
		h.reading += d
	}
}

// read notes that the prompt has been read and the answer begun.
func (f *Fleet) read(p *placed) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addReading(p, -p.reading)
	p.reading = 0
	p.member.writing++
}

// over ends the account of a call.
func (f *Fleet) over(p *placed, wrote bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addReading(p, -p.reading)
	p.reading = 0
	p.member.open--
	if wrote {
		p.member.writing--
	}
}

// engineCost is the time for which a new request would wait at an engine.
func engineCost(m *member) float64 {
	return float64(m.reading + time.Duration(m.open)*perOpen)
}

// plainCost is the number of requests that a plain service has, by its own word
// and by this process's count.
func plainCost(now time.Time) func(*member) float64 {
	return func(m *member) float64 {
		n := float64(m.open)
		if now.Sub(m.loadAt) < loadAge {
			n = max(n, float64(m.load.Running+m.load.Waiting))
		}
		return n / float64(max(m.Slots, 1))
	}
}
