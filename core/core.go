package core

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/fault"
	"github.com/hollowgrade/hollowgrade/quarantine"
	"github.com/hollowgrade/hollowgrade/retry"
)

// Bounds are the limits that a deployment guarantees to its callers.
type Bounds struct {
	KeyFreshness time.Duration // how long a key is accepted without the configuration being confirmed
	KeyOutage    time.Duration // further time for which a known key is accepted while the configuration cannot be confirmed
	Freshness    time.Duration // greatest age of the configuration at which a missing route or key is reported as missing
	RetryRatio   float64       // retries for each first attempt, over all processes and each window
	RetrySlack   float64       // additional retries in each window, over all processes
	RetryWindow  time.Duration
}

// keyAge returns the age of the configuration up to which its keys are accepted.
func (b *Bounds) keyAge() time.Duration {
	return b.KeyFreshness + b.KeyOutage
}

// freshnessMargin is subtracted from keyAge to allow for clock drift and for the time between a
// caller's send and the check.
const freshnessMargin = 300 * time.Millisecond

// outdatedMargin is subtracted from the time within which a change must be in force: a gateway
// learns of it up to that much after it is confirmed.
const outdatedMargin = time.Second

// minProcesses is the least number of processes that the retry budget is divided by, because the
// list of processes may not be known yet.
const minProcesses = 8

// budgetShare is the used part of the retry budget. The rest allows for windows of processes that
// don't start at the same time.
const budgetShare = 0.9

// answerGrace is how long the path waits beyond the allowed time, so that the upstream's own timeout
// answer still arrives. A caller has to get its answer within half a second after the route's
// timeout.
const answerGrace = 150 * time.Millisecond

// Core routes calls to upstreams. It is safe for concurrent use.
type Core struct {
	exchanger    hollowgrade.Exchanger
	reserver     hollowgrade.Reserver
	prober       hollowgrade.Prober   // if nil, each broken connection counts as a crash of its upstream
	reporter     hollowgrade.Reporter // if nil, upstreams are not asked for their speed
	paceRequests atomic.Int32         // requests for speed reports in progress
	clock        hollowgrade.Clock
	log          *log.Logger
	bounds       atomic.Pointer[Bounds]
	observe      func(Observation)
	age          func() (time.Duration, bool)
	outdated     func() time.Duration
	plannedStop  func() (hollowgrade.PlannedStop, bool)
	durations    *Durations
	processes    func() int
	peers        func() int
	fleet        *Fleet
	box          string
	// maxFailureBytes bounds the body of an answer that is no success.
	maxFailureBytes int
	quarantine      *quarantine.Table // requests that were lost in crashes of upstreams
	unconfirmed     *unconfirmedLosses
	catalog         atomic.Pointer[Catalog]

	started time.Time

	mu      sync.Mutex
	budgets map[string]*retry.Window // by service
	flows   map[*flow]context.CancelCauseFunc
	probes  map[hollowgrade.Instance]*sharedProbe
	watched map[hollowgrade.Instance]chan struct{} // upstreams that close connections; see watch
}

// Observation is a call that has ended, for metrics.
type Observation struct {
	Organisation string
	Route        string
	Service      string
	Outcome      hollowgrade.Outcome
	Code         fault.Code
	PromptTokens int
	First        time.Duration // until the first part of the answer; zero if there was none
	Predicted    time.Duration // the prediction of First at placement; zero for plain services
	Took         time.Duration
	Attempts     int
	Events       int
	Turn         TurnResult    // of the last attempt that had to wait for its turn
	TurnWait     time.Duration // for that turn
	Oversized    []Oversize    // answers of which a part was larger than its bound
}

// Oversize is an answer of which a part was larger than its bound.
type Oversize struct {
	Upstream hollowgrade.Instance
	Place    hollowgrade.AnswerPlace
}

// Option configures a [Core].
type Option func(*Core)

// WithClock sets the clock.
func WithClock(k hollowgrade.Clock) Option {
	return func(c *Core) { c.clock = k }
}

// WithLogger sets the logger.
func WithLogger(l *log.Logger) Option {
	return func(c *Core) { c.log = l }
}

// WithBounds sets the bounds that calls have to meet.
func WithBounds(b Bounds) Option {
	return func(c *Core) { c.bounds.Store(&b) }
}

// WithObserver sets the function that is called for each call that has ended.
func WithObserver(f func(Observation)) Option {
	return func(c *Core) { c.observe = f }
}

// WithAge sets the function that returns the age of the configuration, and whether it is known.
// Without it the configuration counts as fresh.
func WithAge(f func() (time.Duration, bool)) Option {
	return func(c *Core) { c.age = f }
}

// WithOutdated sets the function that returns for how long the configuration in force has been older
// than the newest one, 0 if that isn't known. Without it the configuration counts as the newest.
func WithOutdated(f func() time.Duration) Option {
	return func(c *Core) { c.outdated = f }
}

// WithPlannedStop sets the function that returns the planned stop of this process, if one is under way.
// Calls that it would cancel are not sent. Without it none is known.
func WithPlannedStop(f func() (hollowgrade.PlannedStop, bool)) Option {
	return func(c *Core) { c.plannedStop = f }
}

// WithReporter sets how upstreams that seem slow are asked for their speed.
func WithReporter(r hollowgrade.Reporter) Option {
	return func(c *Core) { c.reporter = r }
}

// WithProber sets how upstreams are probed after a broken connection. Without it each broken
// connection counts as a crash of its upstream.
func WithProber(p hollowgrade.Prober) Option {
	return func(c *Core) { c.prober = p }
}

// WithProcesses sets the function that returns the number of processes that share the retry budget,
// including this one.
func WithProcesses(f func() int) Option {
	return func(c *Core) { c.processes = f }
}

// WithPeers sets the function that returns the number of other processes of the same cell, which
// report their load to this one. Without it they are all others.
func WithPeers(f func() int) Option {
	return func(c *Core) { c.peers = f }
}

// WithMaxFailureBytes sets the size in bytes beyond which the body of an answer that is no success is
// not read on.
func WithMaxFailureBytes(n int) Option {
	return func(c *Core) { c.maxFailureBytes = n }
}

// WithBox sets the name of this box, which is sent to peers.
func WithBox(box string) Option {
	return func(c *Core) { c.box = box }
}

// New returns a core that sends calls through x and reserves memory through r. It has no
// configuration and no upstreams yet.
func New(x hollowgrade.Exchanger, r hollowgrade.Reserver, os ...Option) *Core {
	c := &Core{
		exchanger:   x,
		reserver:    r,
		clock:       hollowgrade.SystemClock(),
		log:         log.Default(),
		observe:     func(Observation) {},
		age:         func() (time.Duration, bool) { return 0, true },
		outdated:    func() time.Duration { return 0 },
		plannedStop: func() (p hollowgrade.PlannedStop, ok bool) { return p, false },
		durations:   NewDurations(),
		processes:   func() int { return 1 },
		budgets:     map[string]*retry.Window{},
		flows:       map[*flow]context.CancelCauseFunc{},
		probes:      map[hollowgrade.Instance]*sharedProbe{},
		watched:     map[hollowgrade.Instance]chan struct{}{},

		maxFailureBytes: DefaultMaxFailureBytes,
	}
	c.SetBounds(DefaultBounds())
	for _, o := range os {
		o(c)
	}
	if c.peers == nil {
		c.peers = func() int { return c.processes() - 1 }
	}
	c.started = c.clock.Now()
	c.fleet = NewFleet(c.clock, c.log)
	c.unconfirmed = &unconfirmedLosses{clock: c.clock, losses: map[string][]unconfirmedLoss{}}
	c.fleet.SetOnInstanceStart(c.instanceStarted)
	c.fleet.SetPaceRequester(c.requestPaces)
	c.fleet.SetPeers(c.peers)
	c.quarantine = quarantine.New(quarantine.WithBox(c.box), quarantine.WithClock(c.clock), quarantine.WithLogger(c.log),
		quarantine.WithUpstreams(c.fleet.Count))
	return c
}

// DefaultBounds returns bounds that suit most deployments.
func DefaultBounds() Bounds {
	return Bounds{
		KeyFreshness: 5 * time.Second,
		Freshness:    2 * time.Second,
		RetryRatio:   0.1,
		RetrySlack:   40,
		RetryWindow:  10 * time.Second,
	}
}

// SetBounds replaces the bounds that calls have to meet. The length of the window for retries stays
// for services that have been called.
func (c *Core) SetBounds(b Bounds) {
	c.bounds.Store(&b)
}

// Bounds returns the bounds that calls have to meet.
func (c *Core) Bounds() Bounds {
	return *c.bounds.Load()
}

// Fleet returns the table of upstreams.
func (c *Core) Fleet() *Fleet {
	return c.fleet
}

// Quarantine returns the table of requests that were lost in crashes of upstreams.
func (c *Core) Quarantine() *quarantine.Table {
	return c.quarantine
}

// Outdated reports whether a newer configuration has been known for too long to decide calls by the
// one in force. It also guards routes without keys, which have no freshness check. While the store
// is unavailable no newer configuration is known, so nothing becomes outdated.
func (c *Core) Outdated() bool {
	b := c.bounds.Load()
	return c.outdated() > max(b.Freshness-outdatedMargin, b.Freshness/2)
}

// Catalog returns the configuration in force, or nil.
func (c *Core) Catalog() *Catalog {
	return c.catalog.Load()
}

// SetCatalog puts a configuration in force if it is newer than the current one, and reports
// whether it did.
func (c *Core) SetCatalog(n *Catalog) bool {
	for {
		old := c.catalog.Load()
		if old != nil && n.Version <= old.Version {
			return false
		}
		if c.catalog.CompareAndSwap(old, n) {
			c.fleet.SetColdRules(n.coldRules())
			return true
		}
	}
}

// budget returns this process's share of the retry budget of a service.
func (c *Core) budget(service string) *retry.Window {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.bounds.Load()
	slack := budgetShare * b.RetrySlack / float64(max(c.processes(), minProcesses))
	ratio := budgetShare * b.RetryRatio
	w, ok := c.budgets[service]
	if !ok {
		w = retry.NewWindow(b.RetryWindow, ratio, slack, c.started)
		c.budgets[service] = w
	}
	w.SetSlack(slack)
	w.SetRatio(ratio)
	return w
}

// Serve runs a call and sends its answer to the sink. The error is a [fault.Error]; if the sink has
// received a head before, the answer is incomplete.
func (c *Core) Serve(ctx context.Context, call hollowgrade.Call, s hollowgrade.Sink) (err error) {
	f := &flow{core: c, call: call, sink: s, lastEventID: call.LastEventID, tried: map[hollowgrade.Instance]bool{}}
	defer func() { f.ended(err) }()
	if err = c.admit(f); err != nil {
		return err
	}
	f.deadline = call.Arrived.Add(f.allowed())
	left := f.deadline.Sub(c.clock.Now())
	if left <= 0 {
		return fault.New(fault.DeadlinePassed, "the allowed time had passed before the call could be sent").WithOutcome(hollowgrade.NotRun)
	}
	// Context deadlines use the system clock; the remaining time is measured on the process's clock,
	// which tests replace.
	ctx, cancel := context.WithTimeoutCause(ctx, left+answerGrace, errOutOfTime)
	defer cancel()
	ctx, end := c.track(ctx, f)
	defer end()
	f.budget = c.budget(f.service.Name)
	f.budget.RecordFirst(c.clock.Now())
	a := Attempts{Clock: c.clock, Max: f.route.MaxAttempts, Deadline: f.deadline}
	return f.finish(a.Run(ctx, f))
}

// track registers a call so that [Core.Resume] can end it.
func (c *Core) track(ctx context.Context, f *flow) (_ context.Context, end func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flows[f] = cancel
	return ctx, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.flows, f)
		cancel(nil)
	}
}

// Resume is called after the machine was suspended. Timers are late by the time of the suspension
// and would let calls exceed their deadlines, so it sets new ones.
func (c *Core) Resume() {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for f, cancel := range c.flows {
		left := max(f.deadline.Sub(now)+answerGrace, 0)
		c.clock.AfterFunc(left, func() { cancel(errOutOfTime) })
	}
	c.log.Info("deadline timers of calls reset", "calls", len(c.flows), "why", "the machine was suspended")
}

// admit determines the route, the organisation and the service of a call, or refuses it.
func (c *Core) admit(f *flow) error {
	hollowgrade.CheckSuspension(c.clock)
	f.catalog = c.catalog.Load()
	if f.catalog == nil {
		return fault.New(fault.NoConfiguration, "no configuration has been read yet").WithRetryAfter(shortRetryAfter)
	}
	known, ok := false, false
	f.age, known = c.age()
	missing := func(m *fault.Error) error {
		// A missing route or key may have been added since, if the configuration may be out of date.
		if !known || f.age > c.bounds.Load().Freshness {
			return stale(f, known)
		}
		return m
	}
	if c.Outdated() {
		return fault.New(fault.StaleConfig, "a newer configuration than version %d has been known for %s", f.catalog.Version, c.outdated().Round(time.Millisecond)).
			WithRetryAfter(shortRetryAfter)
	}
	if f.route, ok = f.catalog.Match(f.call.Host, f.call.Path); !ok {
		return missing(fault.New(fault.NoRoute, "no route for %s%s", f.call.Host, f.call.Path))
	}
	if f.catalog.NeedsKey(f.route) {
		if !known || f.age > c.bounds.Load().keyAge()-freshnessMargin {
			return stale(f, known)
		}
		if f.organisation, ok = f.catalog.Owner(f.call.Key); !ok {
			return missing(fault.New(fault.WrongKey, "the key belongs to no organisation"))
		}
	}
	t, ok := f.route.target()
	if !ok {
		return fault.New(fault.NoUpstream, "the route %s leads to no service", f.route.Name).WithRetryAfter(shortRetryAfter)
	}
	f.service = f.catalog.Services[t]
	f.service.Name = t
	f.fingerprint = hollowgrade.NewFingerprint(f.organisation.Name, f.call)
	return nil
}

func stale(f *flow, known bool) error {
	if !known {
		return fault.New(fault.StaleConfig, "version %d has not been confirmed yet", f.catalog.Version).WithRetryAfter(shortRetryAfter)
	}
	return fault.New(fault.StaleConfig, "version %d was last confirmed %s ago", f.catalog.Version, f.age.Round(time.Millisecond)).
		WithRetryAfter(shortRetryAfter)
}

// target picks one of the route's services at random by weight.
func (r Route) target() (service string, ok bool) {
	sum := 0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	if sum <= 0 {
		return "", false
	}
	n := rand.IntN(sum)
	for _, t := range r.Targets {
		if n -= t.Weight; n < 0 {
			return t.Service, true
		}
	}
	return "", false
}
