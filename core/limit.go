package core

import (
	"math"
	"slices"
	"time"

	"github.com/hollowgrade/hollowgrade"
)

const (
	// limitShare is the part of a limit that all processes together use. The rest is for requests that cross.
	limitShare = 0.9
	// limitBurst is for how long what a limit allows adds up while nothing is sent, beside one request.
	limitBurst = 500 * time.Millisecond
	// leastLimit is the limit in requests a second that is used where less is named. Only an answer tells that a
	// limit has ended.
	leastLimit = 0.1
	// sendUnheard is for how long a request that another process sends is not known here.
	sendUnheard = 60 * time.Millisecond
	// sendsApart is how many times as long as that processes leave between two requests that they send there, on average.
	sendsApart = 2
	// wantedMemory is for how long requests count in the rate of those that would be sent. Others tell of theirs with
	// each heartbeat.
	wantedMemory = 2 * time.Second
	// limitToldLate is by how much the word of another process may be older than it looks, as its way here takes time.
	limitToldLate = 500 * time.Millisecond
	// endOfLimitTold is for how long others are told that a limit has ended.
	endOfLimitTold = 10 * time.Second
)

// RateLimit is what an upstream says of the requests a second that it takes from all processes together.
type RateLimit struct {
	Named     bool
	PerSecond float64
	Age       time.Duration // since it said so
	// Relayed says that the process that tells it was told by another one. Such a word looks younger than it is, and is
	// of use only where nothing is known.
	Relayed bool
}

// rateLimit is the limit of an upstream, and this process's account of what all processes together may send there.
type rateLimit struct {
	named     bool
	perSecond float64
	at        time.Time // when the upstream said so; zero if it has said nothing
	own       bool      // whether it said so to this process
	known     time.Time // when this process came to know it
	changed   time.Time // when what is known became another
	allowance float64   // requests that may be sent now; negative once more were sent
	accrued   time.Time // until when the allowance has been added up
	wanted    rate      // requests that others would send there
}

// rate returns how many requests a second all processes send together.
func (l *rateLimit) rate() float64 {
	return limitShare * max(l.perSecond, leastLimit)
}

// accrue adds up what may be sent. Heard is the part of all processes whose requests are known here: those of which
// nothing is heard have the rest.
func (l *rateLimit) accrue(now time.Time, heard float64) {
	r := heard * l.rate()
	most := 1 + r*limitBurst.Seconds()
	l.allowance = min(l.allowance+r*now.Sub(l.accrued).Seconds(), most)
	l.accrued = now
}

// tellable reports whether others are to be told of the limit.
func (l *rateLimit) tellable(now time.Time) bool {
	return l.named || !l.changed.IsZero() && now.Sub(l.changed) < endOfLimitTold
}

// setLimit replaces what is known of the limit of an upstream. Peer is the process that told it, empty if the upstream
// said so to this one. The lock is held.
func (f *Fleet) setLimit(m *member, peer, request string, w RateLimit) {
	now := f.clock.Now()
	l := &m.limit
	l.at, l.own = now.Add(-w.Age), peer == ""
	changed := w.Named != l.named || w.PerSecond != l.perSecond
	if changed || l.own {
		l.known = now
	}
	if !changed {
		return
	}
	l.changed = now
	f.log.Info("limit of upstream", "upstream", m.life, "service", m.Service, "request", request, "peer", peer,
		"age_ms", w.Age.Milliseconds(), "named", w.Named, "per_second", w.PerSecond, "was_named", l.named, "before", l.perSecond)
	if l.named {
		l.accrue(now, f.heardShare())
	} else {
		l.allowance, l.accrued = 0, now
	}
	l.named, l.perSecond = w.Named, w.PerSecond
	if l.own {
		f.change(m)
	}
}

// TakeLimit takes the word of another process, by its box, on the limit of an upstream, unless the upstream has said
// something later.
func (f *Fleet) TakeLimit(box string, id hollowgrade.Life, w RateLimit) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !(w.PerSecond >= 0) || math.IsInf(w.PerSecond, 1) {
		f.log.Warn("limit of upstream not used", "upstream", id, "peer", box, "per_second", w.PerSecond)
		return
	}
	w.Age = max(w.Age, 0) + limitToldLate
	m := f.members[id]
	if m == nil {
		f.keepTold(id, func(t *toldWord) { t.takeLimit(w) })
		return
	}
	if m.limit.at.IsZero() || !w.Relayed && f.clock.Now().Add(-w.Age).After(m.limit.at) {
		f.setLimit(m, box, "", w)
	}
}

// limitTold returns what others are told of the limit of an upstream; false if there is nothing to tell.
func (m *member) limitTold(now time.Time) (w RateLimit, ok bool) {
	if !m.limit.tellable(now) {
		return w, false
	}
	return RateLimit{m.limit.named, m.limit.perSecond, now.Sub(m.limit.at), !m.limit.own}, true
}

// heardShare returns the part of all processes whose load is known, this one among them. The lock is held.
func (f *Fleet) heardShare() float64 {
	others := max(len(f.views), f.peers())
	return float64(len(f.views)+1) / float64(others+1)
}

// admits reports whether the limit of an upstream leaves room for a request of this process now. What is left goes to
// the processes by chance, by what each would send, since sends of others become known late. The lock is held.
func (f *Fleet) admits(m *member, now time.Time, begun bool) bool {
	l := &m.limit
	if !l.named {
		return true
	}
	m.own.Wanted++
	f.changed[m.life] = true // told with what is told next
	l.accrue(now, f.heardShare())
	if l.allowance < 1 {
		return false
	}
	meet := sendsApart * sendUnheard.Seconds() * l.wanted.value(now, wantedMemory)
	return begun || f.chance()*max(meet, 1) < l.allowance
}

// within returns those of some upstreams whose limits leave room for a request now. The lock is held.
func (f *Fleet) within(ms []*member, tried map[hollowgrade.Life]bool, now time.Time, begun bool) (free []*member) {
	if !slices.ContainsFunc(ms, func(m *member) bool { return m.limit.named }) {
		return ms
	}
	for _, m := range ms {
		if tried[m.life] || f.admits(m, now, begun) {
			free = append(free, m)
		}
	}
	return free
}

// meter takes a request out of what the limit of an upstream allows. The lock is held.
func (f *Fleet) meter(p *pick, m *member) {
	if !m.limit.named {
		return
	}
	m.limit.allowance--
	p.metered = append(p.metered, m)
	f.add(m, Share{Sent: 1})
}

// unsent gives back what was taken out of limits for a pick that was not sent.
func (f *Fleet) unsent(p *pick) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range p.metered {
		m.limit.allowance++
		f.add(m, Share{Sent: -1})
	}
	p.metered = nil
}

// hearSends takes the word of another process on what it has sent to an upstream that names a limit, and would have
// sent, since it said so last. The lock is held.
func (f *Fleet) hearSends(m *member, sent, wanted int) {
	now := f.clock.Now()
	m.limit.accrue(now, f.heardShare())
	m.limit.allowance -= float64(sent)
	m.limit.wanted = m.limit.wanted.plus(now, max(wanted, 0), wantedMemory)
}

// meterLate takes requests out of limits that became known after a pick was made, and reports whether they leave room.
// The lock is held.
func (f *Fleet) meterLate(p *pick, now time.Time) bool {
	for _, m := range append([]*member{p.member}, p.helpers...) {
		if !m.limit.named || slices.Contains(p.metered, m) {
			continue
		}
		if !f.admits(m, now, p.request.StreamStarted) {
			return false
		}
		f.meter(p, m)
	}
	return true
}
