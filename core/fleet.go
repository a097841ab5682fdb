package core

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hollowgrade/hollowgrade"
)

const (
	// lapseGrace is for how long an upstream whose entry went while the store
	// was away is kept: live ones are listed again within two seconds.
	lapseGrace = 2 * time.Second
	// The time for which an upstream is avoided after a failure doubles with
	// each one in a row: a crash lasts seconds, a lost connection less.
	firstAvoid = 500 * time.Millisecond
	lastAvoid  = 4 * time.Second
)

// member is an upstream and what this process knows of it.
type member struct {
	hollowgrade.Upstream
	open     int           // calls of this process that are not over
	reading  time.Duration // work of prompts given to it that are not read yet
	writing  int           // calls of this process that have begun to write
	load     hollowgrade.UpstreamLoad
	loadAt   time.Time
	failures int // in a row
	avoid    time.Time
	lapsed   time.Time // when its entry went; zero while it is listed
}

// Fleet is the table of upstreams. It is safe for concurrent use.
type Fleet struct {
	clock hollowgrade.Clock
	log   *log.Logger

	mu       sync.Mutex
	members  map[string]*member
	services map[string][]*member
}

// NewFleet returns an empty table.
func NewFleet(c hollowgrade.Clock, l *log.Logger) *Fleet {
	return &Fleet{clock: c, log: l, members: map[string]*member{}, services: map[string][]*member{}}
}

// Put adds an upstream or takes over what the registry now says of it.
func (f *Fleet) Put(u hollowgrade.Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[u.ID]
	if ok && m.Upstream == u && m.lapsed.IsZero() {
		return
	}
	if !ok {
		m = &member{}
		f.members[u.ID] = m
	}
	f.log.Info("upstream listed", "upstream", u.ID, "service", u.Service, "address", u.Address, "hall", u.Hall,
		"draining", u.Draining, "was_draining", m.Draining, "new", !ok)
	m.Upstream = u
	m.lapsed = time.Time{}
	f.rebuild()
}

// Drop removes an upstream whose entry has gone. When the entry may have gone
// for want of a heartbeat while the store was away, the upstream is kept for a
// little longer.
func (f *Fleet) Drop(id string, mayReturn bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[id]
	if !ok {
		return
	}
	f.log.Info("upstream unlisted", "upstream", id, "service", m.Service, "may_return", mayReturn)
	if mayReturn {
		m.lapsed = f.clock.Now()
		return
	}
	delete(f.members, id)
	f.rebuild()
}

// rebuild makes the lists by service anew. The lock is held.
func (f *Fleet) rebuild() {
	f.services = map[string][]*member{}
	for _, m := range f.members {
		f.services[m.Service] = append(f.services[m.Service], m)
	}
	for _, l := range f.services {
		slices.SortFunc(l, func(a, b *member) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// Size returns the number of upstreams.
func (f *Fleet) Size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.members)
}

// usable reports whether a member may be given new work. The lock is held.
func (f *Fleet) usable(m *member, now time.Time) bool {
	return !m.Draining && (m.lapsed.IsZero() || now.Sub(m.lapsed) < lapseGrace)
}

// ranked returns the usable upstreams of a service, the cheapest first; those
// that failed lately come last. The lock is held.
func (f *Fleet) ranked(service string, cost func(*member) float64) (ms []*member) {
	now := f.clock.Now()
	type scored struct {
		m       *member
		avoided bool
		cost    float64
		tie     int
	}
	var ss []scored
	for _, m := range f.services[service] {
		if f.usable(m, now) {
			ss = append(ss, scored{m, now.Before(m.avoid), cost(m), rand.Int()})
		}
	}
	slices.SortFunc(ss, func(a, b scored) int {
		if a.avoided != b.avoided {
			if b.avoided {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.tie, b.tie))
	})
	for _, s := range ss {
		ms = append(ms, s.m)
	}
	return ms
}

// failed notes that an upstream failed a call, so that others are preferred for
// a while.
func (f *Fleet) failed(m *member, id, why string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := min(firstAvoid<<min(m.failures, 3), lastAvoid)
	m.failures++
	m.avoid = f.clock.Now().Add(d)
	f.log.Info("upstream avoided", "upstream", m.ID, "service", m.Service, "request", id, "why", why,
		"failures", m.failures, "for_ms", d.Milliseconds())
}

// answered notes that an upstream gave an answer, and its load if it told it.
func (f *Fleet) answered(m *member, h hollowgrade.Head) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if h.Success() {
		m.failures = 0
	}
	if h.HasLoad {
		m.load, m.loadAt = h.Load, f.clock.Now()
	}
}
