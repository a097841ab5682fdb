package core

import (
	"context"
	"math"
	"time"

	"github.com/hollowgrade/hollowgrade"
)

// An engine that is slow without failing looks idle: what it was given runs off in the account
// at its published speed, so it is given more. It says how slow it is when it is asked. It is
// asked only when it is suspected, so that nothing is asked while all is well. Of 150 engines before
// 103 gateways, 24 that took five times as long for 20 s left 0.684 of the worth and leave 0.720, 27 that took
// 2.7 times as long for 6.4 s 0.793 and 0.844; 0.836 without asking the others once one is slow (hollowgrade
// experiment, two and three seeds).
const (
	// A first event is overdue, and the engines of its call are suspected, when it is this much
	// later than predicted. Of first events on a day without slow engines nine in ten came after
	// less than 1.7 times what was predicted; those of short calls after 0.13 s.
	overdueTimes  = 1.5
	overdueMargin = 100 * time.Millisecond
	// PaceAgain is how often an engine that is slow is asked again, and for how long
	// one that was asked is not suspected.
	PaceAgain = time.Second
	// paceAge is for how long the word of an engine holds, whoever asked it: two of the asks that
	// repeat it may be lost. Beyond it the published figures are believed again.
	paceAge = 3*PaceAgain + 500*time.Millisecond
	// noticeablePace is from where on an engine counts as slow: predictions are off by more than
	// a tenth anyway.
	noticeablePace = 1.1
	// mostPace bounds what is believed of an engine.
	mostPace = 100
	// surveyors is by how many processes each engine is asked, on average, once one is found to be
	// slow: what slows one down, in a hall or by a release, rarely slows it alone, and engines that
	// get few calls are suspected late. One in twenty is asked by nobody.
	surveyors = 3
	// mostAsks bounds how many engines a process asks at a time: the helpers of two prompts.
	mostAsks = 32
)

// Overdue returns after how long a first event is overdue that was predicted after that long.
func Overdue(predicted time.Duration) time.Duration {
	return time.Duration(overdueTimes*float64(predicted)) + overdueMargin
}

// paceWord is what an engine said of its speed.
type paceWord struct {
	pace float64   // times as long as published
	at   time.Time // when it said so
	own  bool      // whether this process asked it
}

// pace returns how many times as long as published an upstream takes, as far as is known.
func (m *member) pace(now time.Time) float64 {
	if m.paceWord.pace == 0 || now.Sub(m.paceWord.at) > paceAge {
		return 1
	}
	return m.paceWord.pace
}

// slow reports whether the upstream is known to be slow.
func (m *member) slow(now time.Time) bool {
	return m.pace(now) >= noticeablePace
}

// Suspects returns the engines of a plan whose first event is overdue that are to be asked how
// fast they are: those that nobody is known to have asked just now.
func (f *Fleet) Suspects(p Plan) []hollowgrade.Upstream {
	return f.suspects(p.pick)
}

func (f *Fleet) suspects(p *pick) (us []hollowgrade.Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for m, u := range p.at {
		if f.members[m.life] == m && f.askable(m, now) {
			m.asked = now
			us = append(us, u)
		}
	}
	return us
}

// StillSlow reports whether a slow engine is to be asked again by this process: the one that
// asked it last does, so that its return to speed is noticed also when it gets no calls.
func (f *Fleet) StillSlow(id hollowgrade.Life) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[id]
	now := f.clock.Now()
	return m != nil && f.usable(m, now) && !m.limit.named && m.paceWord.own && m.slow(now)
}

// TakePace takes the word of an engine on how many times as long as published it takes, said
// that long ago. Box is the process that was told, empty for this one; why is the
// request for whose sake it was asked. Own words are told to others when they matter to them.
func (f *Fleet) TakePace(id hollowgrade.Life, pace float64, age time.Duration, box, why string) {
	if us := f.takePace(id, pace, age, box, why); len(us) > 0 {
		f.ask(us, why)
	}
}

// takePace does that, and returns the engines that this process is to ask, since one was found
// to be slow.
func (f *Fleet) takePace(id hollowgrade.Life, pace float64, age time.Duration, box, why string) (us []hollowgrade.Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[id]
	now := f.clock.Now()
	at := now.Add(-max(age, 0)) // a word from the future would outlive all that come after it
	if m == nil || pace <= 0 || math.IsNaN(pace) || !at.After(m.paceWord.at) {
		return nil
	}
	before, was := m.pace(now), m.slow(now)
	m.paceWord = paceWord{min(max(pace, 1), mostPace), at, box == ""}
	after := m.pace(now)
	// What is still to be read takes so much longer or shorter.
	m.busy = now.Add(time.Duration(float64(m.reading(now)) * after / before))
	if box == "" && (was || m.slow(now)) {
		f.change(m)
	}
	if math.Abs(after-before) >= noticeablePace-1 && box == "" {
		f.log.Info("speed of upstream", "upstream", id, "service", m.Service, "times_slower", round(after), "before", round(before),
			"age_ms", age.Milliseconds(), "request", why)
	}
	if !was && m.slow(now) {
		return f.survey(m.Service, now)
	}
	return nil
}

// survey draws this process's part of the upstreams of a service that are to be asked, at
// most each [PaceAgain]. The lock is held.
func (f *Fleet) survey(service string, now time.Time) (us []hollowgrade.Upstream) {
	if now.Sub(f.surveyed[service]) < PaceAgain {
		return nil
	}
	f.surveyed[service] = now
	part := float64(surveyors) / float64(max(len(f.views), f.peers())+1)
	for _, m := range f.usableOf(service, now) {
		if f.askable(m, now) && f.chance() < part {
			m.asked = now
			us = append(us, m.Upstream)
		}
	}
	f.log.Info("upstreams asked for their speed", "service", service, "upstreams", len(us), "why", "one was found to be slow")
	return us
}

// askable reports whether nobody is known to have asked an upstream just now. One that names a limit
// is left to calls, and one that leaves or rests is left alone. The lock is held.
func (f *Fleet) askable(m *member, now time.Time) bool {
	return f.usable(m, now) && !m.limit.named && now.Sub(m.asked) >= PaceAgain && now.Sub(m.paceWord.at) >= PaceAgain
}

// SetAsker sets what asks upstreams how fast they are once one is found to be slow. It is called
// without the lock.
func (f *Fleet) SetAsker(ask func(us []hollowgrade.Upstream, why string)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ask = ask
}

// paceTold returns what the engine told this process of its speed, as long as it holds. What others
// have told is not told on.
func (m *member) paceTold(now time.Time) PaceTold {
	age := now.Sub(m.paceWord.at)
	if !m.paceWord.own || age > paceAge {
		return PaceTold{}
	}
	return PaceTold{m.paceWord.pace, age}
}

// Slow returns how many upstreams are known to be slow.
func (f *Fleet) Slow() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for _, m := range f.members {
		if m.slow(now) {
			n++
		}
	}
	return n
}

// PaceTold is the word of an engine on its speed.
type PaceTold struct {
	Pace float64       // times as long as published
	Age  time.Duration // since it said so
}

// askPaces asks upstreams how fast they are, for the sake of a request.
func (c *Core) askPaces(us []hollowgrade.Upstream, request string) {
	for _, u := range us {
		c.askPace(u, request)
	}
}

// askPace asks an engine how fast it is, without waiting for the answer, and again
// while it is slow.
func (c *Core) askPace(u hollowgrade.Upstream, request string) {
	if c.reporter == nil {
		return
	}
	if c.asks.Add(1) > mostAsks {
		c.asks.Add(-1)
		c.log.Info("speed of upstream not asked", "upstream", u.Life(), "request", request, "why", "too many are being asked", "most", mostAsks)
		return // it is suspected again by the next call that it makes late
	}
	c.log.Info("upstream asked for its speed", "upstream", u.Life(), "request", request)
	go func() {
		defer c.asks.Add(-1)
		begin := c.clock.Now()
		r, err := c.reporter.Report(context.Background(), u)
		c.fleet.hearReport(u.Life(), request, begin, r.Signals)
		if err != nil {
			c.log.Info("speed of upstream not told", "upstream", u.Life(), "request", request, "err", err)
			return
		}
		if r.Born != 0 {
			c.fleet.Born(u.ID, r.Born)
			u.Born = r.Born // whose word it is; one of a life that is not known is passed over
		}
		c.fleet.TakePace(u.Life(), r.Pace, c.clock.Since(begin), "", request)
		if c.fleet.StillSlow(u.Life()) {
			c.clock.AfterFunc(PaceAgain, func() { c.askAgain(u, request) })
		}
	}()
}

// askAgain asks an engine again that was slow, unless another process has asked it since.
func (c *Core) askAgain(u hollowgrade.Upstream, request string) {
	if c.fleet.StillSlow(u.Life()) {
		c.askPace(u, request)
	}
}
