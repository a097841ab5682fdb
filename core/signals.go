package core

import (
	"maps"
	"time"

	"github.com/hollowgrade/hollowgrade"
)

// takeSignals takes what an upstream said of itself in an answer to a request that was sent at some moment. The lock
// is held.
func (f *Fleet) takeSignals(m *member, id string, sent time.Time, s hollowgrade.Signals) {
	if len(s.Unread) > 0 {
		f.log.Info("signal of upstream not used", "upstream", m.life, "service", m.Service, "request", id, "headers", s.Unread)
	}
	if s.Foreign {
		return
	}
	if s.Rest > 0 {
		f.setRest(m, id, s.Rest)
	}
	if s.Leaving {
		f.setLeaving(m, "", id)
	}
	// An answer to a request that left before the limit was known may be older than the limit. That it has ended is
	// said again by each answer.
	if s.Limited || m.limit.tellable(f.clock.Now()) && sent.After(m.limit.known) {
		f.setLimit(m, "", id, RateLimit{Named: s.Limited, PerSecond: s.Limit})
	}
}

// hearReport takes what an upstream said of itself in the answer to a report that it was asked for at some moment.
func (f *Fleet) hearReport(id hollowgrade.Life, request string, asked time.Time, s hollowgrade.Signals) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[id]; m != nil {
		f.takeSignals(m, request, asked, s)
	}
}

// setLeaving takes the word of an upstream to this process or to a peer that it leaves. It holds for its life. The
// lock is held.
func (f *Fleet) setLeaving(m *member, peer, request string) {
	if m.leaving {
		return
	}
	m.leaving = true
	f.log.Info("upstream says that it leaves", "upstream", m.life, "service", m.Service, "request", request, "peer", peer, "listed_draining", m.Draining)
	if peer == "" {
		f.change(m)
	}
}

// TakeLeaving takes the word of another process, by its box, that an upstream says that it leaves.
func (f *Fleet) TakeLeaving(box string, id hollowgrade.Life) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[id]; m != nil {
		f.setLeaving(m, box, "")
		return
	}
	f.keepTold(id, func(t *toldWord) { t.leaving = true })
}

// toldFor is for how long what others tell of an upstream that is not listed here is kept.
const toldFor = 10 * time.Second

// toldWord is what other processes have told of an upstream that is not listed here yet.
type toldWord struct {
	at       time.Time // of the last one
	limit    RateLimit
	hasLimit bool
	leaving  bool
}

// takeLimit takes a word on the limit unless a later one has come.
func (t *toldWord) takeLimit(w RateLimit) {
	if !t.hasLimit || w.Age < t.limit.Age {
		t.limit, t.hasLimit = w, true
	}
}

// keepTold keeps what another process tells of an upstream until that is listed here. The lock is held.
func (f *Fleet) keepTold(id hollowgrade.Life, add func(t *toldWord)) {
	now := f.clock.Now()
	maps.DeleteFunc(f.told, func(_ hollowgrade.Life, t toldWord) bool { return now.Sub(t.at) > toldFor })
	t := f.told[id]
	t.limit.Age += now.Sub(t.at)
	t.at = now
	add(&t)
	f.told[id] = t
}

// takeTold takes what others have told of an upstream before it was listed here. The lock is held.
func (f *Fleet) takeTold(m *member) {
	t, ok := f.told[m.life]
	if !ok {
		return
	}
	delete(f.told, m.life)
	if t.hasLimit {
		t.limit.Age += f.clock.Since(t.at)
		f.setLimit(m, "told before", "", t.limit)
	}
	if t.leaving {
		f.setLeaving(m, "told before", "")
	}
}
