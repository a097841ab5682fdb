package core

import (
	"time"

	"github.com/hollowgrade/hollowgrade"
)

// ColdRule is what a service allows for upstreams that are cold.
type ColdRule struct {
	PerSecond float64       // requests that a cold upstream accepts from all processes together; 0 if it has no bound
	Time      time.Duration // how long an upstream is cold after its start
}

// coldConfirmTime is how long an upstream counts as cold after the time that it gave, unless it
// reports that it is warm: its next entry is written within a second or two and read some time later.
const coldConfirmTime = entryLag

// SetColdRules sets the rules for cold upstreams, by service.
func (f *Fleet) SetColdRules(rs map[string]ColdRule) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.coldRules = rs
	now := f.clock.Now()
	for _, m := range f.members {
		f.limitIfCold(m, now)
	}
}

// Cold returns the number of upstreams that are cold.
func (f *Fleet) Cold() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for _, m := range f.members {
		if f.coldRate(m, now) > 0 {
			n++
		}
	}
	return n
}

// setCold records an upstream's report of how long it stays cold, 0 if it is warm. The report may be
// some seconds old, so an upstream counts as cold for too long rather than too short. The lock is held.
func (f *Fleet) setCold(m *member, d time.Duration, why string) {
	now := f.clock.Now()
	was := f.coldRate(m, now) > 0
	m.coldUntil = time.Time{}
	if d > 0 {
		m.coldUntil = now.Add(d + coldConfirmTime)
	}
	if is := f.coldRate(m, now) > 0; is != was {
		f.log.Info("upstream is cold or warm", "upstream", m.instance, "service", m.Service, "cold", is, "for_ms", d.Milliseconds(), "why", why)
	}
	f.limitIfCold(m, now)
}

// coldRate returns the requests per second that all processes together may send to an upstream
// because it is cold; 0 if it is warm. The lock is held.
func (f *Fleet) coldRate(m *member, now time.Time) float64 {
	if !now.Before(m.coldUntil) {
		return 0
	}
	return f.coldRules[m.Service].PerSecond
}

// limitIfCold updates the rate limit of an upstream that becomes cold or warm. The lock is held.
func (f *Fleet) limitIfCold(m *member, now time.Time) {
	r := f.coldRate(m, now)
	l := &m.limit
	if r == l.coldPerSecond {
		return
	}
	l.change(now, f.knownShare(m.Service), func() { l.coldPerSecond = r })
}

// sameEntry reports whether two registry entries differ only in how long the upstream stays cold,
// which changes with each heartbeat.
func sameEntry(a, b hollowgrade.Upstream) bool {
	a.ColdFor = b.ColdFor
	return a == b
}
