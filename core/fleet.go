package core

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/placement"
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

// Share is the part of an upstream's load that one process has given to it.
type Share struct {
	Open   int              // requests that are not over
	Stakes placement.Stakes // what would be lost by pauses that are too long for them
	Given  time.Duration    // reading of prompts given to it since the process started
	Tokens int              // memory that its requests hold
	Sent   int              // requests sent to it while it named a limit, since the process started
	Wanted int              // the same with those that the limit left no room for
}

// Plus returns the sum of two shares.
func (s Share) Plus(o Share) Share {
	return Share{s.Open + o.Open, s.Stakes.Plus(o.Stakes), s.Given + o.Given, s.Tokens + o.Tokens, s.Sent + o.Sent, s.Wanted + o.Wanted}
}

// Minus returns s without o.
func (s Share) Minus(o Share) Share {
	return Share{s.Open - o.Open, s.Stakes.Minus(o.Stakes), s.Given - o.Given, s.Tokens - o.Tokens, s.Sent - o.Sent, s.Wanted - o.Wanted}
}

// member is an upstream and what this process knows of it.
type member struct {
	hollowgrade.Upstream
	life     hollowgrade.Life // of Upstream; it is asked for at each candidate of each pick
	own      Share            // given by this process
	others   Share            // given by others, by their own word
	busy     time.Time        // until when it reads what all processes have given to it
	parts    []time.Time      // until when it holds parts of prompts that other engines answer
	load     hollowgrade.UpstreamLoad
	loadAt   time.Time
	paceWord paceWord  // what it said of its speed
	asked    time.Time // when this process asked it for that
	failures int       // that it was avoided for, in a row
	errors   int       // failures of its own, in a row
	avoid    time.Time
	heard    time.Time // when it said something to this process last: a head or an event
	told     time.Time // when it said itself that this life had begun; zero if the registry did
	blamed   time.Time // until when others are told to avoid it too
	// avoidedByAll is until when all processes avoid it, by the word of this one or of another.
	avoidedByAll time.Time
	limit        rateLimit
	rest         rest
	leaving      bool      // by its own word, whatever the registry says
	lapses       time.Time // until when it is used although its entry went; zero while it is listed
}

// total is the load that all processes have given to the upstream, as far as
// this one knows.
func (m *member) total() Share {
	return m.own.Plus(m.others)
}

// reading returns how much the upstream has still to read.
func (m *member) reading(now time.Time) time.Duration {
	return max(m.busy.Sub(now), 0)
}

// give adds reading, as long as it takes by the published figures, to what the upstream has to do.
func (m *member) give(now time.Time, d time.Duration) {
	if m.busy.Before(now) {
		m.busy = now
	}
	m.busy = m.busy.Add(time.Duration(m.pace(now) * float64(d)))
}

// lapsed reports whether the upstream's entry went and did not come back in time.
func (m *member) lapsed(now time.Time) bool {
	return !m.lapses.IsZero() && !now.Before(m.lapses)
}

// Fleet is the table of upstreams. It is safe for concurrent use.
type Fleet struct {
	clock  hollowgrade.Clock
	log    *log.Logger
	policy *placement.Policy

	mu         sync.Mutex
	members    map[hollowgrade.Life]*member
	lives      map[string]hollowgrade.Life // the present life of each upstream, by id
	services   map[string][]*member
	outdated   bool                           // whether services is to be made anew
	unlisted   map[hollowgrade.Life]time.Time // until when upstreams read that are not listed here yet
	told       map[hollowgrade.Life]toldWord  // what others have told of upstreams that are not listed here yet
	promised   map[string]time.Time           // until when callers have been told to come back for room in limits, by service
	views      map[string]*view               // what other processes have given to upstreams, by box
	placed     map[string]rate                // calls that other processes have placed, by service
	changed    map[hollowgrade.Life]bool      // upstreams whose own share changed since [Fleet.Changes]
	notify     chan struct{}
	peers      func() int           // other processes that give work to the same upstreams
	surveyed   map[string]time.Time // when upstreams of a service were asked last since one was found to be slow
	ask        func(us []hollowgrade.Upstream, why string)
	begun      func(u hollowgrade.Upstream) // is told of each life that begins; it must not use the fleet
	chance     func() float64               // from 0 to 1
	demands    map[string]*demand           // by service
	candidates []placement.Candidate        // of the last decision, kept to be filled anew
}

// FleetOption changes a table as it is made.
type FleetOption func(*Fleet)

// WithPolicy sets what decides where calls go.
func WithPolicy(p *placement.Policy) FleetOption {
	return func(f *Fleet) { f.policy = p }
}

// NewFleet returns an empty table.
func NewFleet(c hollowgrade.Clock, l *log.Logger, os ...FleetOption) *Fleet {
	f := &Fleet{
		clock:    c,
		log:      l,
		policy:   placement.New(),
		members:  map[hollowgrade.Life]*member{},
		lives:    map[string]hollowgrade.Life{},
		services: map[string][]*member{},
		unlisted: map[hollowgrade.Life]time.Time{},
		told:     map[hollowgrade.Life]toldWord{},
		promised: map[string]time.Time{},
		views:    map[string]*view{},
		placed:   map[string]rate{},
		changed:  map[hollowgrade.Life]bool{},
		surveyed: map[string]time.Time{},
		demands:  map[string]*demand{},
		notify:   make(chan struct{}, 1),
		peers:    func() int { return 0 },
		ask:      func([]hollowgrade.Upstream, string) {},
		begun:    func(hollowgrade.Upstream) {},
		chance:   rand.Float64,
	}
	for _, o := range os {
		o(f)
	}
	return f
}

// SetPeers sets how the number of other processes is known that give work to the
// same upstreams. Those of which nothing is heard are allowed for.
func (f *Fleet) SetPeers(peers func() int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers = peers
}

// SetBegun sets what is told of each life of an upstream that begins. It must not use the fleet.
func (f *Fleet) SetBegun(begun func(u hollowgrade.Upstream)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.begun = begun
}

// SetChance replaces the random numbers from 0 to 1 that decide among equals, so
// that a run can be repeated.
func (f *Fleet) SetChance(chance func() float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.chance = chance
}

// Put adds an upstream or takes over what the registry now says of it. A life that the registry
// names ends what is known of any other under the id, also of one that seems to be later: its clock may have
// been ahead.
func (f *Fleet) Put(u hollowgrade.Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := u.Life()
	m, ok := f.members[l]
	if ok && m.Upstream == u && m.lapses.IsZero() {
		return
	}
	if !ok && f.outrun(u) {
		return
	}
	if !ok {
		m = f.beginLife(u.ID, l)
	}
	f.log.Info("upstream listed", "upstream", l, "service", u.Service, "address", u.Address, "hall", u.Hall,
		"draining", u.Draining, "was_draining", m.Draining, "new", !ok)
	m.Upstream = u
	m.lapses = time.Time{}
	f.outdated = true
	if !ok {
		f.begun(u)
	}
}

// Drop removes an upstream whose entry has gone. When the entry may have gone
// for want of a heartbeat while the store was away, the upstream is kept for a
// little longer, until mayReturn at the most.
func (f *Fleet) Drop(id string, mayReturn time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[f.lives[id]]
	if !ok {
		return
	}
	f.log.Info("upstream unlisted", "upstream", m.life, "service", m.Service, "may_return", !mayReturn.IsZero())
	if !mayReturn.IsZero() {
		m.lapses = f.clock.Now().Add(lapseGrace)
		if mayReturn.Before(m.lapses) {
			m.lapses = mayReturn
		}
		return
	}
	f.endLife(id)
}

// beginLife makes the member for a life of an upstream, in place of any other life that is known of
// it. The lock is held.
func (f *Fleet) beginLife(id string, l hollowgrade.Life) *member {
	f.endLife(id)
	m := &member{life: l, busy: f.unlisted[l]}
	delete(f.unlisted, l)
	f.members[l], f.lives[id] = m, l
	f.sumOthers(m, l)
	f.takeTold(m)
	f.outdated = true
	return m
}

// endLife forgets the present life of an upstream. Calls that are under way keep their accounts of it, which
// nobody looks at any more. The lock is held.
func (f *Fleet) endLife(id string) {
	l, ok := f.lives[id]
	if !ok {
		return
	}
	delete(f.members, l)
	delete(f.lives, id)
	f.outdated = true
}

// entryLag is for how long after an upstream has told of its life itself an entry may still be of the one
// before: it is written each second or so, and read some time later.
const entryLag = 3 * time.Second

// outrun reports whether an entry is of an earlier life than the upstream has told of itself just
// now. The lock is held.
func (f *Fleet) outrun(u hollowgrade.Upstream) bool {
	m := f.members[f.lives[u.ID]]
	return m != nil && u.Born < m.Born && !m.told.IsZero() && f.clock.Since(m.told) < entryLag
}

// Born takes the word of an upstream that its present life began at a moment, in Unix ms. If that
// is later than the life that is known, it has started again, and the registry is about to say so.
func (f *Fleet) Born(id string, born int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[f.lives[id]]
	if m == nil || m.Born == 0 || born <= m.Born {
		return
	}
	u := m.Upstream
	u.Born = born
	n := f.beginLife(id, u.Life())
	n.Upstream, n.told = u, f.clock.Now()
	f.begun(u)
	f.log.Info("upstream started again", "upstream", n.life, "service", u.Service, "before", m.life, "why", "it says so")
}

// of returns the upstreams of a service, by their ids. Lists are made anew when
// they are looked at, not with each change: after its start a process hears of
// thousands of upstreams at once. The lock is held.
func (f *Fleet) of(service string) []*member {
	if f.outdated {
		f.rebuild()
	}
	return f.services[service]
}

// rebuild makes the lists by service anew, without upstreams that lapsed. The
// lock is held.
func (f *Fleet) rebuild() {
	f.outdated = false
	f.services = map[string][]*member{}
	now := f.clock.Now()
	for l, m := range f.members {
		if m.lapsed(now) {
			delete(f.members, l)
			delete(f.lives, m.ID)
			continue
		}
		f.services[m.Service] = append(f.services[m.Service], m)
	}
	for _, l := range f.services {
		slices.SortFunc(l, func(a, b *member) int { return cmp.Compare(a.life, b.life) })
	}
}

// Size returns the number of upstreams.
func (f *Fleet) Size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rebuild()
	return len(f.members)
}

// Count returns the number of upstreams of a service.
func (f *Fleet) Count(service string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.of(service))
}

// usable reports whether a member may be given new work. The lock is held.
func (f *Fleet) usable(m *member, now time.Time) bool {
	return !m.Draining && !m.leaving && !m.lapsed(now) && m.rest.over(now)
}

// stillUsable reports whether a pick that was made a while ago may still be
// given the call. Limits that have become known since are charged for it.
func (f *Fleet) stillUsable(p *pick) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	unusable := func(m *member) bool { return f.members[m.life] != m || !f.usable(m, now) }
	return !unusable(p.member) && !slices.ContainsFunc(p.helpers, unusable) && f.meterLate(p, now)
}

// another reports whether a service has an upstream beside those that were
// tried.
func (f *Fleet) another(service string, tried map[hollowgrade.Life]bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	return slices.ContainsFunc(f.of(service), func(m *member) bool { return !tried[m.life] && f.usable(m, now) })
}

// failed notes that an upstream failed a call, so that others are preferred for
// a while.
func (f *Fleet) failed(m *member, id, why string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.avoid(m, id, why)
}

// avoid is failed with the lock held.
func (f *Fleet) avoid(m *member, id, why string) {
	d := min(firstAvoid<<min(m.failures, 3), lastAvoid)
	m.failures++
	m.avoid = f.clock.Now().Add(d)
	f.log.Info("upstream avoided", "upstream", m.life, "service", m.Service, "request", id, "why", why,
		"failures", m.failures, "for_ms", d.Milliseconds())
}

// blame notes that an engine named a member as at fault for not taking a call.
// That holds for every process, so others are told.
func (f *Fleet) blame(m *member, id, why string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.avoid(m, id, why)
	m.blamed = m.avoid
	f.change(m)
}

// Seen is what this process has seen of an upstream itself, beside what it gave to it.
type Seen struct {
	Avoid time.Duration // for how long yet it is to be avoided, since an engine named it as at fault; 0 if none did
	Pace  PaceTold      // its word on its speed; zero if it didn't tell this process, or its word no longer holds
	// Limit is its newest word on its limit, whoever was told it; HasLimit is false if there is none to tell.
	Limit    RateLimit
	HasLimit bool
	Leaving  bool // by its own word, whoever was told it
}

// Seen returns what this process has seen itself of the upstreams of some shares.
func (f *Fleet) Seen(shares map[hollowgrade.Life]Share) map[hollowgrade.Life]Seen {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	ss := make(map[hollowgrade.Life]Seen, len(shares))
	for l := range shares {
		if m := f.members[l]; m != nil {
			s := Seen{Avoid: max(m.blamed.Sub(now), 0), Pace: m.paceTold(now)}
			s.Limit, s.HasLimit = m.limitTold(now)
			s.Leaving = m.leaving
			ss[l] = s
		}
	}
	return ss
}

// TakeBlame takes the word of another process, by its box, that an upstream is
// at fault, unless too many of its service are avoided already.
func (f *Fleet) TakeBlame(box string, id hollowgrade.Life, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[id]
	if m == nil {
		return
	}
	now := f.clock.Now()
	until := now.Add(min(d, lastAvoid))
	m.avoidedByAll = until
	if !until.After(m.avoid) || !now.Before(m.avoid) && !f.takesWord(m.Service, now) {
		return
	}
	// The process that was told by an engine has a line of it; here there would be one for each peer.
	f.log.Debug("upstream avoided", "upstream", id, "service", m.Service, "why", "named as at fault to another gateway",
		"peer", box, "for_ms", d.Milliseconds())
	m.avoid = until
}

// An upstream that fails each call is never busy, so that ever more would go to
// it. Plain services fail now and then by themselves, on the users' sheets one
// call in seven; engines do not.
const (
	engineErrors = 1
	plainErrors  = 3
)

// answered notes that an upstream gave an answer to a call that was sent at some moment, and what it says of
// itself. After some failures of its own in a row it is avoided.
func (f *Fleet) answered(m *member, id string, engine bool, sent time.Time, h hollowgrade.Head) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m.heard = f.clock.Now()
	f.takeSignals(m, id, sent, h.Signals)
	if !h.NotRun && !h.Signals.Foreign {
		f.noteAnswer(m, sent)
	}
	switch {
	case h.Success():
		m.failures, m.errors = 0, 0
	case h.Status >= http.StatusInternalServerError && h.Status != http.StatusGatewayTimeout && !h.NotRun:
		m.errors++
		if m.errors >= plainErrors || engine && m.errors >= engineErrors {
			f.avoid(m, id, fmt.Sprintf("status %d, %d in a row", h.Status, m.errors))
		}
	}
	if h.HasLoad && !h.Signals.Foreign {
		m.load, m.loadAt = h.Load, f.clock.Now()
	}
}
