package core

import (
	"math"
	"slices"
	"time"

	"github.com/hollowgrade/hollowgrade"
)

const (
	// limitShare is the part of a limit that all processes together use. The rest allows for
	// requests that processes send before they know of each other's.
	limitShare = 0.9
	// limitBurstWindow is the time over which unused allowance accumulates, in addition to one
	// request.
	limitBurstWindow = 500 * time.Millisecond
	// minLimitPerSecond is used for lower limits. Only an answer shows that a limit has ended, so
	// some requests must be sent.
	minLimitPerSecond = 0.1
	// peerSendDelay is the time until a request that a peer sends is known here.
	peerSendDelay = 60 * time.Millisecond
	// sendGapFactor is the mean gap between two requests of different processes, as a multiple of
	// peerSendDelay.
	sendGapFactor = 2
	// wantedRateWindow is the time constant of the rate of requests that peers would send. They
	// report theirs with each heartbeat.
	wantedRateWindow = 2 * time.Second
	// limitReportDelay is by how much a peer's report may be older than its stated age, because of
	// the time in transit.
	limitReportDelay = 500 * time.Millisecond
	// limitEndReportPeriod is how long the end of a limit is reported to peers.
	limitEndReportPeriod = 10 * time.Second
)

// RateLimit is an upstream's report of the requests per second that it accepts from all processes
// together.
type RateLimit struct {
	Named     bool
	PerSecond float64
	Age       time.Duration // since the upstream reported it
	// Relayed says that the reporting process itself learned it from a peer. Such a report is older
	// than its age says, and is used only if nothing is known.
	Relayed bool
}

// rateLimit is the limit of an upstream, and this process's account of what all processes together
// may send to it.
type rateLimit struct {
	named        bool
	perSecond    float64
	reportedAt   time.Time // when the upstream reported it; zero if it hasn't
	direct       bool      // whether the upstream reported it to this process
	learnedAt    time.Time // when this process learned of it
	changedAt    time.Time // when the known limit last changed
	allowance    float64   // requests that may be sent now; negative if too many were sent
	accruedUntil time.Time // time up to which the allowance is added up
	wanted       rate      // requests that peers would send
	// coldPerSecond is a further limit while the upstream is cold, which all processes learn from its
	// registry entry; 0 while it is warm.
	coldPerSecond float64
}

// inForce reports whether any limit applies now.
func (l *rateLimit) inForce() bool {
	return l.named || l.coldPerSecond > 0
}

// rate returns how many requests per second all processes send together.
func (l *rateLimit) rate() float64 {
	most := math.Inf(1)
	if l.named {
		most = l.perSecond
	}
	if l.coldPerSecond > 0 {
		most = min(most, l.coldPerSecond)
	}
	return limitShare * max(most, minLimitPerSecond)
}

// change applies a change of the limits, and accounts for the time before it by the earlier ones.
func (l *rateLimit) change(now time.Time, knownShare float64, apply func()) {
	if l.inForce() {
		l.accrue(now, knownShare)
	} else {
		l.allowance, l.accruedUntil = 0, now
	}
	apply()
}

// accrue adds to the allowance what accumulated since the last call. Only the knownShare of all
// processes reports its requests to this one; the rest of the limit is left to the others.
func (l *rateLimit) accrue(now time.Time, knownShare float64) {
	r := knownShare * l.rate()
	most := 1 + r*limitBurstWindow.Seconds()
	l.allowance = min(l.allowance+r*now.Sub(l.accruedUntil).Seconds(), most)
	l.accruedUntil = now
}

// reportable reports whether the limit is to be reported to peers.
func (l *rateLimit) reportable(now time.Time) bool {
	return l.named || !l.changedAt.IsZero() && now.Sub(l.changedAt) < limitEndReportPeriod
}

// setLimit updates the known limit of an upstream. Peer is the process that reported it, empty if
// the upstream did. The lock is held.
func (f *Fleet) setLimit(m *member, peer, request string, w RateLimit) {
	now := f.clock.Now()
	l := &m.limit
	l.reportedAt, l.direct = now.Add(-w.Age), peer == ""
	changed := w.Named != l.named || w.PerSecond != l.perSecond
	if changed || l.direct {
		l.learnedAt = now
	}
	if !changed {
		return
	}
	l.changedAt = now
	f.log.Info("limit of upstream", "upstream", m.instance, "service", m.Service, "request", request, "peer", peer,
		"age_ms", w.Age.Milliseconds(), "named", w.Named, "per_second", w.PerSecond, "was_named", l.named, "before", l.perSecond)
	l.change(now, f.knownShare(m.Service), func() { l.named, l.perSecond = w.Named, w.PerSecond })
	if l.direct {
		f.markChanged(m)
	}
}

// ReceiveLimit applies a peer's report of the limit of an upstream, unless the upstream has reported
// a later one.
func (f *Fleet) ReceiveLimit(box string, id hollowgrade.Instance, w RateLimit) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !(w.PerSecond >= 0) || math.IsInf(w.PerSecond, 1) {
		f.log.Warn("limit of upstream not used", "upstream", id, "peer", box, "per_second", w.PerSecond)
		return
	}
	w.Age = max(w.Age, 0) + limitReportDelay
	m := f.members[id]
	if m == nil {
		f.keepUnlistedReport(id, func(t *unlistedReport) { t.mergeLimit(w) })
		return
	}
	if m.limit.reportedAt.IsZero() || !w.Relayed && f.clock.Now().Add(-w.Age).After(m.limit.reportedAt) {
		f.setLimit(m, box, "", w)
	}
}

// limitReport returns the limit to report to peers; false if there is none.
func (m *member) limitReport(now time.Time) (w RateLimit, ok bool) {
	if !m.limit.reportable(now) {
		return w, false
	}
	return RateLimit{m.limit.named, m.limit.perSecond, now.Sub(m.limit.reportedAt), !m.limit.direct}, true
}

// knownShare returns the part of the processes that use the same upstreams of a service whose load is
// known, including this one. The lock is held.
func (f *Fleet) knownShare(service string) float64 {
	return float64(len(f.views)+1) / float64(f.sharers(service)+1)
}

// admits reports whether the limit of an upstream leaves room for a request of this process now.
// Because the sends of peers become known late, the remaining allowance is given out at random, in
// proportion to what each process would send. The lock is held.
func (f *Fleet) admits(m *member, now time.Time, begun bool) bool {
	f.limitIfCold(m, now)
	l := &m.limit
	if !l.inForce() {
		return true
	}
	m.ownShare.Wanted++
	f.changed[m.instance] = true // sent with the next report
	l.accrue(now, f.knownShare(m.Service))
	if l.allowance < 1 {
		return false
	}
	meet := sendGapFactor * peerSendDelay.Seconds() * l.wanted.value(now, wantedRateWindow)
	return begun || f.random()*max(meet, 1) < l.allowance
}

// withinLimits returns the members whose limits leave room for a request now. The lock is held.
func (f *Fleet) withinLimits(ms []*member, tried map[hollowgrade.Instance]bool, now time.Time, begun bool) (free []*member) {
	if !slices.ContainsFunc(ms, func(m *member) bool { return m.limit.inForce() }) {
		return ms
	}
	for _, m := range ms {
		if tried[m.instance] || f.admits(m, now, begun) {
			free = append(free, m)
		}
	}
	return free
}

// chargeLimit charges a request to the limit of an upstream. The lock is held.
func (f *Fleet) chargeLimit(p *pick, m *member) {
	if !m.limit.inForce() {
		return
	}
	m.limit.allowance--
	p.charged = append(p.charged, m)
	f.add(m, Share{Sent: 1})
}

// refundLimits returns what was charged to limits for a pick that was not sent.
func (f *Fleet) refundLimits(p *pick) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range p.charged {
		m.limit.allowance++
		f.add(m, Share{Sent: -1})
	}
	p.charged = nil
}

// recordPeerSends charges what a peer has sent to an upstream with a limit since its last report,
// and counts what it would have sent. The lock is held.
func (f *Fleet) recordPeerSends(m *member, sent, wanted int) {
	now := f.clock.Now()
	m.limit.accrue(now, f.knownShare(m.Service))
	m.limit.allowance -= float64(sent)
	m.limit.wanted = m.limit.wanted.plus(now, max(wanted, 0), wantedRateWindow)
}

// chargeNewLimits charges a pick to limits that became known after it was made, and reports whether
// they leave room. The lock is held.
func (f *Fleet) chargeNewLimits(p *pick, now time.Time) bool {
	for _, m := range append([]*member{p.member}, p.helpers...) {
		f.limitIfCold(m, now)
		if !m.limit.inForce() || slices.Contains(p.charged, m) {
			continue
		}
		if !f.admits(m, now, p.request.StreamStarted) {
			return false
		}
		f.chargeLimit(p, m)
	}
	return true
}
