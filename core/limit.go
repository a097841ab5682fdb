package core

import (
	"time"

	"github.com/hollowgrade/hollowgrade"
)

// rateLimit is what an upstream says of the requests a second that it takes from all processes together.
type rateLimit struct {
	named     bool
	perSecond float64
	at        time.Time // when it said so
}

// takeSignals takes what an upstream said of itself in an answer to a request that was sent at some moment. The lock
// is held.
func (f *Fleet) takeSignals(m *member, id string, sent time.Time, s hollowgrade.Signals) {
	if len(s.Unread) > 0 {
		f.log.Info("signal of upstream not used", "upstream", m.life, "service", m.Service, "request", id, "headers", s.Unread)
	}
	if s.Foreign {
		return
	}
	// An answer to a request that left before the limit was known may be older than the limit.
	if s.Limited || m.limit.named && sent.After(m.limit.at) {
		f.setLimit(m, id, rateLimit{named: s.Limited, perSecond: s.Limit, at: f.clock.Now()})
	}
}

// setLimit replaces what is known of the limit of an upstream. The lock is held.
func (f *Fleet) setLimit(m *member, id string, l rateLimit) {
	if l.named != m.limit.named || l.perSecond != m.limit.perSecond {
		f.log.Info("limit of upstream", "upstream", m.life, "service", m.Service, "request", id,
			"named", l.named, "per_second", l.perSecond, "before", m.limit.perSecond)
	}
	m.limit = l
}
