package core

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/placement"
)

const (
	// unlistedGrace is how long an upstream is kept whose entry expired while the store was
	// unavailable: running upstreams are listed again within two seconds.
	unlistedGrace = 2 * time.Second
	// The time for which an upstream is avoided doubles with each failure in a row, within these
	// bounds: a crash lasts some seconds, a lost connection less.
	minAvoid = 500 * time.Millisecond
	maxAvoid = 4 * time.Second
)

// Share is the part of an upstream's load that one process has assigned to it.
type Share struct {
	Open    int              // requests in progress
	Stakes  placement.Stakes // cost of pauses that are too long for these requests
	Prefill time.Duration    // prefill time assigned since the process started
	Tokens  int              // memory that its requests occupy, in tokens
	Sent    int              // requests sent while the upstream had a rate limit, since the process started
	Wanted  int              // like Sent, plus the requests that the limit didn't admit
}

// Plus returns the sum of two shares.
func (s Share) Plus(o Share) Share {
	return Share{s.Open + o.Open, s.Stakes.Plus(o.Stakes), s.Prefill + o.Prefill, s.Tokens + o.Tokens, s.Sent + o.Sent, s.Wanted + o.Wanted}
}

// Minus returns s without o.
func (s Share) Minus(o Share) Share {
	return Share{s.Open - o.Open, s.Stakes.Minus(o.Stakes), s.Prefill - o.Prefill, s.Tokens - o.Tokens, s.Sent - o.Sent, s.Wanted - o.Wanted}
}

// member is an upstream and its state as known to this process.
type member struct {
	hollowgrade.Upstream
	instance          hollowgrade.Instance // of Upstream; cached, since each pick reads it for each candidate
	ownShare          Share                // assigned by this process
	peerShare         Share                // assigned by peers, as they report it
	busyUntil         time.Time            // when the prefill that all processes have assigned will be done
	partsUntil        []time.Time          // when the parts of prompts that other engines answer will be done
	load              hollowgrade.UpstreamLoad
	loadAt            time.Time
	knownPace         knownPace // last reported speed
	paceAskedAt       time.Time // when this process last requested a speed report
	failures          int       // consecutive failures for which it was avoided
	errors            int       // consecutive error answers of its own
	avoidUntil        time.Time
	lastActivity      time.Time // when this process last received a head or an event from it
	startReportedAt   time.Time // when it reported the start of this instance itself; zero if the registry did
	publishAvoidUntil time.Time // until when reports to peers ask them to avoid it too
	// avoidedByAllUntil is until when all processes avoid it, as reported by this one or by a peer.
	avoidedByAllUntil time.Time
	limit             rateLimit
	cooldown          cooldownState
	coldUntil         time.Time // when it counts as warm if it does not report that it is; zero if it is warm
	leaving           bool      // by its own signal, whatever the registry says
	expiresAt         time.Time // when a member without an entry is removed; zero while it is listed
}

// total returns the load that all processes have assigned to the upstream, as far as known here.
func (m *member) total() Share {
	return m.ownShare.Plus(m.peerShare)
}

// prefillBacklog returns how much prefill the upstream has still to do.
func (m *member) prefillBacklog(now time.Time) time.Duration {
	return max(m.busyUntil.Sub(now), 0)
}

// addPrefill adds d, a time at the published speed, to the upstream's prefill backlog.
func (m *member) addPrefill(now time.Time, d time.Duration) {
	if m.busyUntil.Before(now) {
		m.busyUntil = now
	}
	m.busyUntil = m.busyUntil.Add(time.Duration(m.pace(now) * float64(d)))
}

// expired reports whether the upstream lost its entry and wasn't listed again in time.
func (m *member) expired(now time.Time) bool {
	return !m.expiresAt.IsZero() && !now.Before(m.expiresAt)
}

// Fleet is the table of upstreams. It is safe for concurrent use.
type Fleet struct {
	clock  hollowgrade.Clock
	log    *log.Logger
	policy *placement.Policy

	mu                sync.Mutex
	members           map[hollowgrade.Instance]*member
	instances         map[string]hollowgrade.Instance // current instance of each upstream, by id
	services          map[string][]*member
	cell              Cell                                    // of this process
	cellServices      map[string][]*member                    // those of services that this process's cell uses
	parts             map[string]int                          // into how many parts each service is divided
	outdated          bool                                    // whether services must be rebuilt
	unlistedBusyUntil map[hollowgrade.Instance]time.Time      // end of the prefill backlog of upstreams that aren't listed here yet
	unlistedReports   map[hollowgrade.Instance]unlistedReport // peers' reports on upstreams that aren't listed here yet
	lastRetryAt       map[string]time.Time                    // latest retry time given to a caller refused because of limits, by service
	views             map[string]*view                        // load that peers have assigned to upstreams, by box
	peerCallRates     map[string]rate                         // rates of the calls that peers place, by service
	changed           map[hollowgrade.Instance]bool           // upstreams whose own share changed since the last call of [Fleet.Changes]
	notify            chan struct{}
	peers             func() int                                  // number of other processes that use the same upstreams
	surveyedAt        map[string]time.Time                        // when upstreams of a service were last asked for their speed because one was slow
	requestPaces      func(us []hollowgrade.Upstream, why string) // requests speed reports; called without the lock
	onInstanceStart   func(u hollowgrade.Upstream)                // called with the lock held for each instance that starts; must not use the fleet
	random            func() float64                              // random number from 0 to 1
	demands           map[string]*demand                          // by service
	candidates        []placement.Candidate                       // of the last decision; the memory is reused
	evacuation        Evacuation                                  // data halls that get no calls
	coldRules         map[string]ColdRule                         // by service
	calendar          atomic.Bool                                 // whether long prompts wait for their turn
	waits             map[string]*Wait                            // long prompts that wait here, by id
	refusals          map[hollowgrade.Fingerprint]Refusal         // of long prompts by this process
	peerRefusals      map[hollowgrade.Fingerprint]Refusal         // by peers
	calendarVersion   uint64                                      // counts the changes of all waits
	waitsUnsent       bool                                        // whether own waits have changed since the last call of [Fleet.TakeWaitsChanged]
}

// FleetOption configures a [Fleet].
type FleetOption func(*Fleet)

// WithPolicy sets the placement policy.
func WithPolicy(p *placement.Policy) FleetOption {
	return func(f *Fleet) { f.policy = p }
}

// NewFleet returns an empty fleet.
func NewFleet(c hollowgrade.Clock, l *log.Logger, os ...FleetOption) *Fleet {
	f := &Fleet{
		clock:             c,
		log:               l,
		policy:            placement.New(),
		members:           map[hollowgrade.Instance]*member{},
		instances:         map[string]hollowgrade.Instance{},
		services:          map[string][]*member{},
		unlistedBusyUntil: map[hollowgrade.Instance]time.Time{},
		unlistedReports:   map[hollowgrade.Instance]unlistedReport{},
		lastRetryAt:       map[string]time.Time{},
		views:             map[string]*view{},
		peerCallRates:     map[string]rate{},
		changed:           map[hollowgrade.Instance]bool{},
		surveyedAt:        map[string]time.Time{},
		demands:           map[string]*demand{},
		waits:             map[string]*Wait{},
		refusals:          map[hollowgrade.Fingerprint]Refusal{},
		peerRefusals:      map[hollowgrade.Fingerprint]Refusal{},
		notify:            make(chan struct{}, 1),
		peers:             func() int { return 0 },
		requestPaces:      func([]hollowgrade.Upstream, string) {},
		onInstanceStart:   func(hollowgrade.Upstream) {},
		random:            rand.Float64,
	}
	for _, o := range os {
		o(f)
	}
	return f
}

// SetPeers sets the function that returns the number of other processes of the same cell.
// Decisions allow for the load of peers whose reports haven't arrived.
func (f *Fleet) SetPeers(peers func() int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers = peers
}

// SetOnInstanceStart sets the function that is called for each instance of an upstream that starts.
// It is called with the lock held and must not use the fleet.
func (f *Fleet) SetOnInstanceStart(onStart func(u hollowgrade.Upstream)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onInstanceStart = onStart
}

// SetRandom replaces the source of random numbers from 0 to 1 for tie-breaking and jitter, so that a
// run can be repeated.
func (f *Fleet) SetRandom(random func() float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.random = random
}

// Put adds an upstream or updates it from its registry entry. An entry of another instance replaces
// the known one even if that seems to have started later, because its clock may have been ahead.
func (f *Fleet) Put(u hollowgrade.Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := u.Instance()
	m, ok := f.members[l]
	if ok && sameEntry(m.Upstream, u) && m.expiresAt.IsZero() {
		f.setCold(m, u.ColdFor, "its entry says so")
		return
	}
	if !ok && f.entryOutdated(u) {
		return
	}
	if !ok {
		m = f.startInstance(u.ID, l)
	}
	f.log.Info("upstream listed", "upstream", l, "service", u.Service, "address", u.Address, "hall", u.Hall,
		"draining", u.Draining, "was_draining", m.Draining, "new", !ok)
	m.Upstream = u
	m.expiresAt = time.Time{}
	f.setCold(m, u.ColdFor, "its entry says so")
	f.outdated = true
	if !ok {
		f.onInstanceStart(u)
	}
}

// Drop removes an upstream whose entry is gone. A non-zero mayReturn means that the entry may have
// expired because the store was unavailable: the upstream is then kept for [unlistedGrace], until
// mayReturn at the most.
func (f *Fleet) Drop(id string, mayReturn time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[f.instances[id]]
	if !ok {
		return
	}
	f.log.Info("upstream unlisted", "upstream", m.instance, "service", m.Service, "may_return", !mayReturn.IsZero())
	if !mayReturn.IsZero() {
		m.expiresAt = f.clock.Now().Add(unlistedGrace)
		if mayReturn.Before(m.expiresAt) {
			m.expiresAt = mayReturn
		}
		return
	}
	f.endInstance(id)
}

// startInstance adds the member for an instance of an upstream and replaces any other instance. The
// lock is held.
func (f *Fleet) startInstance(id string, l hollowgrade.Instance) *member {
	f.endInstance(id)
	m := &member{instance: l, busyUntil: f.unlistedBusyUntil[l]}
	delete(f.unlistedBusyUntil, l)
	f.members[l], f.instances[id] = m, l
	f.sumPeerShares(m, l)
	f.applyUnlistedReport(m)
	f.outdated = true
	return m
}

// endInstance removes the current instance of an upstream. Calls in progress keep their reference to
// the member, which nothing else reads any more. The lock is held.
func (f *Fleet) endInstance(id string) {
	l, ok := f.instances[id]
	if !ok {
		return
	}
	delete(f.members, l)
	delete(f.instances, id)
	f.outdated = true
}

// entryLag is how long after an upstream reported its start itself an entry may still be of the
// instance before: entries are written about each second and read some time later.
const entryLag = 3 * time.Second

// entryOutdated reports whether an entry is of an earlier instance than the upstream itself has just
// reported. The lock is held.
func (f *Fleet) entryOutdated(u hollowgrade.Upstream) bool {
	m := f.members[f.instances[u.ID]]
	return m != nil && u.StartMillis < m.StartMillis && !m.startReportedAt.IsZero() && f.clock.Since(m.startReportedAt) < entryLag
}

// InstanceStarted records the start time, in Unix ms, that an upstream reports of its current
// instance. A later one than known means that the upstream has restarted and that the registry entry
// will follow.
func (f *Fleet) InstanceStarted(id string, born int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[f.instances[id]]
	if m == nil || m.StartMillis == 0 || born <= m.StartMillis {
		return
	}
	u := m.Upstream
	u.StartMillis = born
	n := f.startInstance(id, u.Instance())
	n.Upstream, n.startReportedAt = u, f.clock.Now()
	f.setCold(n, f.coldRules[u.Service].Time, "it started again")
	f.onInstanceStart(u)
	f.log.Info("upstream started again", "upstream", n.instance, "service", u.Service, "before", m.instance, "why", "it says so")
}

// membersOf returns the upstreams of a service that this process's cell uses, sorted by instance. The
// lists are rebuilt on read instead of on each change, because a process learns of thousands of
// upstreams at once when it starts. The lock is held.
func (f *Fleet) membersOf(service string) []*member {
	if f.outdated {
		f.rebuild()
	}
	return f.cellServices[service]
}

// allMembersOf is membersOf without regard to cells. The lock is held.
func (f *Fleet) allMembersOf(service string) []*member {
	f.membersOf(service)
	return f.services[service]
}

// rebuild rebuilds the lists by service and removes expired upstreams. The lock is held.
func (f *Fleet) rebuild() {
	f.outdated = false
	f.services = map[string][]*member{}
	now := f.clock.Now()
	for l, m := range f.members {
		if m.expired(now) {
			delete(f.members, l)
			delete(f.instances, m.ID)
			continue
		}
		f.services[m.Service] = append(f.services[m.Service], m)
	}
	for _, l := range f.services {
		slices.SortFunc(l, func(a, b *member) int { return cmp.Compare(a.instance, b.instance) })
	}
	f.divideServices()
}

// Size returns the number of upstreams.
func (f *Fleet) Size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rebuild()
	return len(f.members)
}

// Count returns the number of upstreams of a service that this process's cell uses.
func (f *Fleet) Count(service string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.membersOf(service))
}

// usable reports whether a member may get new calls. The lock is held.
func (f *Fleet) usable(m *member, now time.Time) bool {
	return !m.Draining && !m.leaving && !m.expired(now) && m.cooldown.ended(now) && !f.evacuation.Covers(m.Hall)
}

// stillUsable reports whether the members of an earlier pick may still get the call. It charges the
// call to limits that became known since the pick.
func (f *Fleet) stillUsable(p *pick) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	unusable := func(m *member) bool { return f.members[m.instance] != m || !f.usable(m, now) }
	return !unusable(p.member) && !slices.ContainsFunc(p.helpers, unusable) && f.chargeNewLimits(p, now)
}

// hasUntried reports whether a service has a usable upstream that hasn't been tried.
func (f *Fleet) hasUntried(service string, tried map[hollowgrade.Instance]bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	return slices.ContainsFunc(f.membersOf(service), func(m *member) bool { return !tried[m.instance] && f.usable(m, now) })
}

// recordFailure records that an upstream failed a call, so that others are preferred for a while.
func (f *Fleet) recordFailure(m *member, id, why string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.avoid(m, id, why)
}

// avoid is like recordFailure, but the lock is held.
func (f *Fleet) avoid(m *member, id, why string) {
	d := min(minAvoid<<min(m.failures, 3), maxAvoid)
	m.failures++
	m.avoidUntil = f.clock.Now().Add(d)
	f.log.Info("upstream avoided", "upstream", m.instance, "service", m.Service, "request", id, "why", why,
		"failures", m.failures, "for_ms", d.Milliseconds())
}

// markAtFault records that an engine named a member as the reason why it refused a call. This concerns
// every process, so it is reported to peers.
func (f *Fleet) markAtFault(m *member, id, why string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.avoid(m, id, why)
	m.publishAvoidUntil = m.avoidUntil
	f.markChanged(m)
}

// UpstreamState is what this process knows of an upstream at first hand, besides the load that it
// assigned.
type UpstreamState struct {
	Avoid time.Duration // how long it is still to be avoided because an engine named it as at fault; 0 if none did
	Pace  PaceReport    // its speed as reported to this process; zero if it reported none or the report has expired
	// Limit is its newest rate limit, whichever process received it; HasLimit is false if there is
	// none to report.
	Limit    RateLimit
	HasLimit bool
	Leaving  bool // by its own signal, whichever process received it
}

// UpstreamStates returns the states of the upstreams that have an entry in shares.
func (f *Fleet) UpstreamStates(shares map[hollowgrade.Instance]Share) map[hollowgrade.Instance]UpstreamState {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	ss := make(map[hollowgrade.Instance]UpstreamState, len(shares))
	for l := range shares {
		if m := f.members[l]; m != nil {
			s := UpstreamState{Avoid: max(m.publishAvoidUntil.Sub(now), 0), Pace: m.ownPaceReport(now)}
			s.Limit, s.HasLimit = m.limitReport(now)
			s.Leaving = m.leaving
			ss[l] = s
		}
	}
	return ss
}

// ReceiveAtFault applies a peer's report that an upstream is at fault, unless too many of its
// service are avoided already.
func (f *Fleet) ReceiveAtFault(box string, id hollowgrade.Instance, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[id]
	if m == nil {
		return
	}
	now := f.clock.Now()
	until := now.Add(min(d, maxAvoid))
	m.avoidedByAllUntil = until
	if !until.After(m.avoidUntil) || !now.Before(m.avoidUntil) && !f.mayAvoidForPeer(m.Service, now) {
		return
	}
	// The gateway that received the engine's answer logs this at Info; here it would be one line per
	// peer.
	f.log.Debug("upstream avoided", "upstream", id, "service", m.Service, "why", "named as at fault to another gateway",
		"peer", box, "for_ms", d.Milliseconds())
	m.avoidUntil = until
}

// An upstream that fails each call is never busy and would attract ever more calls. Plain services
// fail now and then without a lasting fault (one call in seven in the users' data), engines don't.
const (
	engineErrorLimit = 1
	plainErrorLimit  = 3
)

// recordAnswer records the head of an upstream's answer to a call that was sent at the given time. An
// upstream is avoided after some consecutive error answers.
func (f *Fleet) recordAnswer(m *member, id string, engine bool, sent time.Time, h hollowgrade.Head) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m.lastActivity = f.clock.Now()
	f.applySignals(m, id, sent, h.Signals)
	if !h.NotRun && !h.Signals.Foreign {
		f.endTrial(m, sent)
	}
	switch {
	case h.Success():
		m.failures, m.errors = 0, 0
	case h.Status >= http.StatusInternalServerError && h.Status != http.StatusGatewayTimeout && !h.NotRun:
		m.errors++
		if m.errors >= plainErrorLimit || engine && m.errors >= engineErrorLimit {
			f.avoid(m, id, fmt.Sprintf("status %d, %d in a row", h.Status, m.errors))
		}
	}
	if h.HasLoad && !h.Signals.Foreign {
		m.load, m.loadAt = h.Load, f.clock.Now()
	}
}
