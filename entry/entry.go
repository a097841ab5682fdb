// Package entry is the process that callers connect to. It authenticates a request, applies the
// policy of its organisation, selects an upstream, forwards the answer as it arrives, and retries
// on another upstream where a second run does no harm. Its view of upstreams may be stale; the
// agents beside them decide.
package entry

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/callers"
	"github.com/hollowgrade/hollowgrade/config"
	"github.com/hollowgrade/hollowgrade/core"
	"github.com/hollowgrade/hollowgrade/fault"
	"github.com/hollowgrade/hollowgrade/kernel"
	"github.com/hollowgrade/hollowgrade/ledger"
	"github.com/hollowgrade/hollowgrade/memory"
	"github.com/hollowgrade/hollowgrade/peer"
	"github.com/hollowgrade/hollowgrade/retry"
	"github.com/hollowgrade/hollowgrade/sched"
)

// Limits bound what an entry accepts.
type Limits struct {
	MaxBodyBytes  int64         // size of a caller's request
	MaxHeadBytes  int           // size of its head
	BodyTimeout   time.Duration // time for a caller to send its body
	HeaderTimeout time.Duration // time for a caller to send its headers
	MaxRequests   int           // requests open at once
	MaxAttempts   int           // attempts at one request
	RetryRatio    float64       // retries for each first attempt, in the long run
	RetrySaved    float64       // retries that a budget can save up
	Linger        time.Duration // how long a planned stop goes on serving, until the balancer has noticed
}

// DefaultLimits returns limits that suit a small box.
func DefaultLimits() Limits {
	return Limits{
		MaxBodyBytes:  8 << 20,
		MaxHeadBytes:  64 << 10,
		BodyTimeout:   30 * time.Second,
		HeaderTimeout: 5 * time.Second,
		MaxRequests:   8192,
		MaxAttempts:   4,
		RetryRatio:    0.1,
		RetrySaved:    10,
		Linger:        5 * time.Second,
	}
}

// Entry serves callers.
type Entry struct {
	box         hollowgrade.Box
	incarnation string
	limits      Limits
	budget      *memory.Budget // for heads and bodies of requests
	maxConns    int            // of callers
	clock       hollowgrade.Clock
	log         *log.Logger
	dial        peer.Dialer
	agents      func(context.Context) []hollowgrade.Box
	placement   sched.Placement
	observe     func(Observation)
	callers     *callers.Server
	durations   *core.Durations // of calls to plain services and to groups, by target

	config atomic.Pointer[config.Config]
	ctx    context.Context // ends when the entry stops
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu              sync.Mutex
	links           map[string]*link   // by peer address
	order           []*link            // the same, sorted by address
	targets         map[string][]*link // connected agents by what they serve; nil if outdated
	candidateOffset int
	prefixes        *sched.Prefixes
	usage           map[string]*usage // by organisation
	openCount       int               // open requests and settlements of keys
	mintOffset      int
	lingering       bool
	draining        bool
	idle            chan struct{}
}

// Observation describes one request that has ended, for metrics.
type Observation struct {
	Organisation string
	Kind         string
	Model        string
	Service      string
	Outcome      hollowgrade.Outcome
	Code         fault.Code
	PromptTokens int
	FirstToken   time.Duration // zero if none was sent
	Ideal        time.Duration // predicted time to first token without queueing, zero for plain services
	Took         time.Duration
	Attempts     int
	Tokens       int
}

// Option configures an entry.
type Option func(*Entry)

// WithClock sets the clock.
func WithClock(c hollowgrade.Clock) Option {
	return func(e *Entry) { e.clock = c }
}

// WithLogger sets the logger.
func WithLogger(l *log.Logger) Option {
	return func(e *Entry) { e.log = l }
}

// WithLimits sets the limits.
func WithLimits(l Limits) Option {
	return func(e *Entry) { e.limits = l }
}

// WithBudget sets the budget for heads and bodies of callers' requests.
func WithBudget(b *memory.Budget) Option {
	return func(e *Entry) { e.budget = b }
}

// WithMaxConnections sets how many connections callers may have, 0 for no bound.
func WithMaxConnections(n int) Option {
	return func(e *Entry) { e.maxConns = n }
}

// WithDialer sets how connections to agents are opened.
func WithDialer(d peer.Dialer) Option {
	return func(e *Entry) { e.dial = d }
}

// WithPlacement sets how an upstream is selected.
func WithPlacement(p sched.Placement) Option {
	return func(e *Entry) { e.placement = p }
}

// WithObserver sets the function that is called for each request that has ended.
func WithObserver(f func(Observation)) Option {
	return func(e *Entry) { e.observe = f }
}

// idleTimeout bounds how long a connection stays open without a request.
const idleTimeout = 2 * time.Minute

// prefixLimit bounds the entries of the prefix index; each takes about 100 bytes.
const prefixLimit = 200_000

// New returns an entry for the box that will serve callers on the listener. The function agents
// returns the agents' boxes as the platform lists them.
func New(b hollowgrade.Box, incarnation string, l net.Listener, agents func(context.Context) []hollowgrade.Box, os ...Option) *Entry {
	e := &Entry{
		box:         b,
		incarnation: incarnation,
		limits:      DefaultLimits(),
		budget:      memory.NewBudget(0),
		clock:       hollowgrade.SystemClock(),
		log:         log.Default(),
		dial:        peer.TCP(),
		agents:      agents,
		placement:   sched.NewQuickest(),
		observe:     func(Observation) {},
		durations:   core.NewDurations(),
		links:       map[string]*link{},
		prefixes:    sched.NewPrefixes(prefixLimit),
		usage:       map[string]*usage{},
		idle:        make(chan struct{}),
	}
	for _, o := range os {
		o(e)
	}
	e.config.Store(&config.Config{})
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.callers = callers.New(l, e.router(), callers.WithClock(e.clock), callers.WithLogger(e.log), callers.WithLimits(e.connLimits), callers.WithBudget(e.budget), callers.WithMaxConnections(e.maxConns),
		callers.WithLinger(func() time.Duration { return e.limits.Linger }), callers.WithDrainHook(e.Drain))
	return e
}

// connLimits returns the limits of callers' connections.
func (e *Entry) connLimits() callers.Limits {
	return callers.Limits{HeaderTimeout: e.limits.HeaderTimeout, IdleTimeout: idleTimeout, HeadBytes: e.limits.MaxHeadBytes}
}

// SetConfig puts a configuration in force. An older one never replaces a newer one.
func (e *Entry) SetConfig(c *config.Config) {
	for {
		old := e.config.Load()
		if c.Revision < old.Revision || e.config.CompareAndSwap(old, c) {
			return
		}
	}
}

// Start implements [kernel.Service].
func (e *Entry) Start(ctx context.Context, k *kernel.Kernel) error {
	e.group.Go(e.linkLoop)
	return e.callers.Start(ctx, k)
}

// Stop implements [kernel.Service]. First the entry reports itself not ready and goes on serving,
// since the balancer sends requests until it has noticed. Then it refuses new requests and finishes
// the open ones. Shortly before ctx ends, those that are still open are cancelled, so that their callers get
// an answer.
func (e *Entry) Stop(ctx context.Context) error {
	e.mu.Lock()
	e.lingering = true
	e.mu.Unlock()
	err := e.callers.Stop(ctx)
	select {
	case <-e.idle:
	case <-ctx.Done():
		err = errors.Join(err, ctx.Err())
	}
	e.cancel()
	e.group.Wait()
	return err
}

// checkStop returns an error if a planned stop would cancel a request that is sent now and is expected to take
// the given time, 0 if that is not known.
func (e *Entry) checkStop(q *query, expected time.Duration) error {
	s, stopping := e.callers.PlannedStop()
	if !stopping || expected <= s.Left {
		return nil
	}
	e.log.Info("not sent", "request", q.request.ID, "why", "the planned stop leaves too little time", "expected_ms", expected.Milliseconds(),
		"left_ms", s.Left.Milliseconds())
	return fault.New(fault.Draining, "entry %s is being stopped", e.box.Name).WithRetryAfter(shortRetryAfter)
}

// Drain makes the entry refuse new requests and report itself not ready, so that the balancer sends
// callers elsewhere.
func (e *Entry) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining {
		return
	}
	e.draining = true
	e.closeIfIdle()
}

func (e *Entry) closeIfIdle() {
	if !e.draining || e.openCount > 0 {
		return
	}
	select {
	case <-e.idle:
	default:
		close(e.idle)
	}
}

// Ready reports whether the balancer should send callers here, and if not, why.
func (e *Entry) Ready() (ok bool, why string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.draining || e.lingering:
		return false, "draining"
	case e.config.Load().Revision == 0:
		return false, "no configuration yet"
	case !e.connected():
		return false, "no agent is connected"
	default:
		return true, ""
	}
}

func (e *Entry) connected() bool {
	for _, l := range e.order {
		if l.conn != nil {
			return true
		}
	}
	return false
}

// Complete reports whether the entry is connected to at least that many agents that aren't draining,
// and whether each range of idempotency keys has a keeper.
func (e *Entry) Complete(agents int) bool {
	c := e.config.Load()
	for n := range ledger.Ranges {
		if _, ok := c.KeyRanges[ledger.RangeName(n)]; !ok {
			return false
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, l := range e.order {
		if l.conn != nil && !l.load.Draining {
			n++
		}
	}
	return n >= agents
}

// usage is what an organisation has in flight at this entry.
type usage struct {
	requests int
	tokens   int
	budget   *retry.Budget
}

// admit checks a request against the limits of the entry and of the organisation, and counts it.
// The returned function must be called once the request has ended.
func (e *Entry) admit(r hollowgrade.Request, o config.Organisation) (release func(), err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining {
		return nil, fault.New(fault.Draining, "entry %s is being stopped", e.box.Name).WithRetryAfter(shortRetryAfter)
	}
	if e.openCount >= e.limits.MaxRequests {
		return nil, fault.New(fault.Overloaded, "entry %s has %d requests open", e.box.Name, e.openCount).WithRetryAfter(shortRetryAfter)
	}
	u := e.usageOf(o.Name)
	if o.MaxRequests > 0 && u.requests >= o.MaxRequests {
		return nil, fault.New(fault.OrganisationLimit, "%s has %d requests in flight here, which is its limit", o.Name, u.requests).WithRetryAfter(shortRetryAfter)
	}
	if o.MaxTokens > 0 && u.tokens > 0 && u.tokens+r.Tokens() > o.MaxTokens {
		return nil, fault.New(fault.OrganisationLimit, "%s has %d tokens in flight here, its limit is %d", o.Name, u.tokens, o.MaxTokens).WithRetryAfter(shortRetryAfter)
	}
	u.requests++
	u.tokens += r.Tokens()
	u.budget.Deposit()
	e.addOpen()
	return func() { e.release(u, r) }, nil
}

// shortRetryAfter is the retry-after of a refusal whose cause passes quickly.
const shortRetryAfter = time.Second

func (e *Entry) usageOf(organisation string) *usage {
	u, ok := e.usage[organisation]
	if !ok {
		u = &usage{budget: newBudget(e.limits)}
		e.usage[organisation] = u
	}
	return u
}

func (e *Entry) release(u *usage, r hollowgrade.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	u.requests--
	u.tokens -= r.Tokens()
	e.removeOpen()
}

// addOpen and removeOpen count what a planned stop waits for. The lock must be held.

func (e *Entry) addOpen() {
	e.openCount++
}

func (e *Entry) removeOpen() {
	e.openCount--
	e.closeIfIdle()
}
