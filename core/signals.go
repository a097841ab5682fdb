package core

import (
	"maps"
	"time"

	"github.com/hollowgrade/hollowgrade"
)

// applySignals applies the signals in an answer to a request that was sent at the given time. The
// lock is held.
func (f *Fleet) applySignals(m *member, id string, sent time.Time, s hollowgrade.Signals) {
	if len(s.InvalidHeaders) > 0 {
		f.log.Info("signal of upstream not used", "upstream", m.instance, "service", m.Service, "request", id, "headers", s.InvalidHeaders)
	}
	if s.Foreign {
		return
	}
	if s.RetryAfter > 0 {
		f.setCooldown(m, id, s.RetryAfter)
	}
	if s.Leaving {
		f.setLeaving(m, "", id)
	}
	// An answer to a request sent before the limit was known may be older than the limit. Each later
	// answer repeats that the limit has ended.
	if s.Limited || m.limit.reportable(f.clock.Now()) && sent.After(m.limit.learnedAt) {
		f.setLimit(m, "", id, RateLimit{Named: s.Limited, PerSecond: s.Limit})
	}
}

// applyReport applies the signals in a status report that was requested at the given time.
func (f *Fleet) applyReport(id hollowgrade.Instance, request string, asked time.Time, s hollowgrade.Signals) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[id]; m != nil {
		f.applySignals(m, request, asked, s)
	}
}

// setLeaving records an upstream's signal to this process or to a peer that it is leaving. It is
// final for its instance. The lock is held.
func (f *Fleet) setLeaving(m *member, peer, request string) {
	if m.leaving {
		return
	}
	m.leaving = true
	f.log.Info("upstream says that it leaves", "upstream", m.instance, "service", m.Service, "request", request, "peer", peer, "listed_draining", m.Draining)
	if peer == "" {
		f.markChanged(m)
	}
}

// ReceiveLeaving applies a peer's report that an upstream signals that it is leaving.
func (f *Fleet) ReceiveLeaving(box string, id hollowgrade.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[id]; m != nil {
		f.setLeaving(m, box, "")
		return
	}
	f.keepUnlistedReport(id, func(t *unlistedReport) { t.leaving = true })
}

// unlistedReportTTL is how long peers' reports on an upstream that is not listed here are kept.
const unlistedReportTTL = 10 * time.Second

// unlistedReport is what peers have reported on an upstream that is not listed here yet.
type unlistedReport struct {
	at       time.Time // of the last report
	limit    RateLimit
	hasLimit bool
	leaving  bool
}

// mergeLimit keeps the later of the stored and the given report of a limit.
func (t *unlistedReport) mergeLimit(w RateLimit) {
	if !t.hasLimit || w.Age < t.limit.Age {
		t.limit, t.hasLimit = w, true
	}
}

// keepUnlistedReport stores a peer's report on an upstream until that is listed here. The lock is
// held.
func (f *Fleet) keepUnlistedReport(id hollowgrade.Instance, add func(t *unlistedReport)) {
	now := f.clock.Now()
	maps.DeleteFunc(f.unlistedReports, func(_ hollowgrade.Instance, t unlistedReport) bool { return now.Sub(t.at) > unlistedReportTTL })
	t := f.unlistedReports[id]
	t.limit.Age += now.Sub(t.at)
	t.at = now
	add(&t)
	f.unlistedReports[id] = t
}

// applyUnlistedReport applies the stored reports on an upstream when it is listed. The lock is held.
func (f *Fleet) applyUnlistedReport(m *member) {
	t, ok := f.unlistedReports[m.instance]
	if !ok {
		return
	}
	delete(f.unlistedReports, m.instance)
	if t.hasLimit {
		t.limit.Age += f.clock.Since(t.at)
		f.setLimit(m, "told before", "", t.limit)
	}
	if t.leaving {
		f.setLeaving(m, "told before", "")
	}
}
