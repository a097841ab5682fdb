package core

import (
	"context"
	"math"
	"time"

	"github.com/hollowgrade/hollowgrade"
)

// An engine that is slow without failing looks idle, since its backlog is assumed to shrink at its
// published speed, and gets more work. Engines report how slow they are when asked, and are asked
// only on suspicion, so that there are no requests while all is well.
const (
	// A first event is overdue, and the engines of its call are suspected, when it is this much
	// later than predicted. Nine in ten first events of engines at normal speed come within 1.7
	// times the prediction, those of short calls within 0.13 s.
	overdueFactor = 1.5
	overdueMargin = 100 * time.Millisecond
	// PaceRecheckInterval is the interval of requests to a slow engine, and how long an engine is
	// not suspected after a request.
	PaceRecheckInterval = time.Second
	// paceTTL is how long a speed report is used, whichever process requested it: two of the
	// requests that renew it may be lost. After that the published speed is assumed.
	paceTTL = 3*PaceRecheckInterval + 500*time.Millisecond
	// slowPace is the pace from which an engine counts as slow: predictions are off by more than a
	// tenth anyway.
	slowPace = 1.1
	// maxPace bounds the reported pace.
	maxPace = 100
	// surveyorsPerEngine is the mean number of processes that ask each engine once one is found to be slow: a
	// cause such as a hall or a release rarely slows a single engine, and engines with few calls are
	// suspected late. One engine in twenty is asked by no process.
	surveyorsPerEngine = 3
	// maxPaceRequests bounds the concurrent requests of a process, as many as the helpers of two
	// prompts.
	maxPaceRequests = 32
)

// Overdue returns the time after which a first event with the given prediction is overdue.
func Overdue(predicted time.Duration) time.Duration {
	return time.Duration(overdueFactor*float64(predicted)) + overdueMargin
}

// knownPace is a speed report of an engine.
type knownPace struct {
	pace float64   // multiple of the published times
	at   time.Time // when the engine reported it
	own  bool      // whether this process requested it
}

// pace returns the upstream's times as a multiple of the published ones, as far as known.
func (m *member) pace(now time.Time) float64 {
	if m.knownPace.pace == 0 || now.Sub(m.knownPace.at) > paceTTL {
		return 1
	}
	return m.knownPace.pace
}

// slow reports whether the upstream is known to be slow.
func (m *member) slow(now time.Time) bool {
	return m.pace(now) >= slowPace
}

// Suspects returns the engines of a plan with an overdue first event that should be asked for their
// speed: those that no process is known to have asked recently.
func (f *Fleet) Suspects(p Plan) []hollowgrade.Upstream {
	return f.suspects(p.pick)
}

func (f *Fleet) suspects(p *pick) (us []hollowgrade.Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for m, u := range p.entries {
		if f.members[m.instance] == m && f.mayRequestPace(m, now) {
			m.paceAskedAt = now
			us = append(us, u)
		}
	}
	return us
}

// StillSlow reports whether this process should ask a slow engine again. The process that asked last
// does, so that a return to normal speed is noticed even if the engine gets no calls.
func (f *Fleet) StillSlow(id hollowgrade.Instance) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[id]
	now := f.clock.Now()
	return m != nil && f.usable(m, now) && !m.limit.named && m.knownPace.own && m.slow(now)
}

// ReceivePace applies a report of an engine's pace, a multiple of the published times, of the given
// age. Box is the process that requested it, empty for this one; why is the request because of which
// it was asked. Reports to this process are passed on to peers while the engine is slow or when it
// becomes normal.
func (f *Fleet) ReceivePace(id hollowgrade.Instance, pace float64, age time.Duration, box, why string) {
	if us := f.applyPace(id, pace, age, box, why); len(us) > 0 {
		f.requestPaces(us, why)
	}
}

// applyPace is ReceivePace without the requests: it returns the engines that this process has to ask
// because one was found to be slow.
func (f *Fleet) applyPace(id hollowgrade.Instance, pace float64, age time.Duration, box, why string) (us []hollowgrade.Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[id]
	now := f.clock.Now()
	at := now.Add(-max(age, 0)) // a report from the future would outlast all later ones
	if m == nil || pace <= 0 || math.IsNaN(pace) || !at.After(m.knownPace.at) {
		return nil
	}
	before, was := m.pace(now), m.slow(now)
	m.knownPace = knownPace{min(max(pace, 1), maxPace), at, box == ""}
	after := m.pace(now)
	// Scale the remaining backlog by the change of the pace.
	m.busyUntil = now.Add(time.Duration(float64(m.prefillBacklog(now)) * after / before))
	if box == "" && (was || m.slow(now)) {
		f.markChanged(m)
	}
	if math.Abs(after-before) >= slowPace-1 && box == "" {
		f.log.Info("speed of upstream", "upstream", id, "service", m.Service, "times_slower", round(after), "before", round(before),
			"age_ms", age.Milliseconds(), "request", why)
	}
	if !was && m.slow(now) {
		return f.survey(m.Service, now)
	}
	return nil
}

// survey draws this process's share of the upstreams of a service to be asked, at most once per
// [PaceRecheckInterval]. The lock is held.
func (f *Fleet) survey(service string, now time.Time) (us []hollowgrade.Upstream) {
	if now.Sub(f.surveyedAt[service]) < PaceRecheckInterval {
		return nil
	}
	f.surveyedAt[service] = now
	part := float64(surveyorsPerEngine) / float64(f.sharers(service)+1)
	for _, m := range f.usableMembers(service, now) {
		if f.mayRequestPace(m, now) && f.random() < part {
			m.paceAskedAt = now
			us = append(us, m.Upstream)
		}
	}
	f.log.Info("upstreams asked for their speed", "service", service, "upstreams", len(us), "why", "one was found to be slow")
	return us
}

// mayRequestPace reports whether an upstream may be asked: no process is known to have asked it
// recently, it has no limit, which is reserved for calls, and it is neither leaving nor in a
// cooldown. The lock is held.
func (f *Fleet) mayRequestPace(m *member, now time.Time) bool {
	return f.usable(m, now) && !m.limit.named && now.Sub(m.paceAskedAt) >= PaceRecheckInterval && now.Sub(m.knownPace.at) >= PaceRecheckInterval
}

// SetPaceRequester sets the function that asks upstreams for their speed once one is found to be
// slow. It is called without the lock.
func (f *Fleet) SetPaceRequester(ask func(us []hollowgrade.Upstream, why string)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requestPaces = ask
}

// ownPaceReport returns the speed that the engine reported to this process, until it expires.
// Reports of peers are not passed on.
func (m *member) ownPaceReport(now time.Time) PaceReport {
	age := now.Sub(m.knownPace.at)
	if !m.knownPace.own || age > paceTTL {
		return PaceReport{}
	}
	return PaceReport{m.knownPace.pace, age}
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

// PaceReport is a report of an engine's speed.
type PaceReport struct {
	Pace float64       // multiple of the published times
	Age  time.Duration // since the engine reported it
}

// requestPaces asks upstreams for their speed because of a request.
func (c *Core) requestPaces(us []hollowgrade.Upstream, request string) {
	for _, u := range us {
		c.requestPace(u, request)
	}
}

// requestPace asks an engine for its speed without waiting for the answer, and again while it is
// slow.
func (c *Core) requestPace(u hollowgrade.Upstream, request string) {
	if c.reporter == nil {
		return
	}
	if c.paceRequests.Add(1) > maxPaceRequests {
		c.paceRequests.Add(-1)
		c.log.Info("speed of upstream not asked", "upstream", u.Instance(), "request", request, "why", "too many are being asked", "most", maxPaceRequests)
		return // the next late call makes it suspected again
	}
	c.log.Info("upstream asked for its speed", "upstream", u.Instance(), "request", request)
	go func() {
		defer c.paceRequests.Add(-1)
		begin := c.clock.Now()
		r, err := c.reporter.Report(context.Background(), u)
		c.fleet.applyReport(u.Instance(), request, begin, r.Signals)
		if err != nil {
			c.log.Info("speed report of upstream failed", "upstream", u.Instance(), "request", request, "err", err)
			return
		}
		if r.StartMillis != 0 {
			c.fleet.InstanceStarted(u.ID, r.StartMillis)
			u.StartMillis = r.StartMillis // the report is of this instance; that of an unknown one is ignored
		}
		c.fleet.ReceivePace(u.Instance(), r.Pace, c.clock.Since(begin), "", request)
		if c.fleet.StillSlow(u.Instance()) {
			c.clock.AfterFunc(PaceRecheckInterval, func() { c.recheckPace(u, request) })
		}
	}()
}

// recheckPace asks a slow engine again, unless another process has asked it since.
func (c *Core) recheckPace(u hollowgrade.Upstream, request string) {
	if c.fleet.StillSlow(u.Instance()) {
		c.requestPace(u, request)
	}
}
