// Package agent is the process beside one upstream. The agent alone decides what is exclusive to
// that upstream: the order of its work, what has run, and who holds its memory. Entries send
// requests to it and decide none of this.
package agent

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/internal/wire"
	"github.com/hollowgrade/hollowgrade/kernel"
	"github.com/hollowgrade/hollowgrade/ledger"
	"github.com/hollowgrade/hollowgrade/memory"
	"github.com/hollowgrade/hollowgrade/peer"
	"github.com/hollowgrade/hollowgrade/sched"
)

// Limits bound what an agent accepts.
type Limits struct {
	MaxRunning    int           // sequences or calls at the upstream at once
	MaxQueued     int           // requests in the queue
	MaxBodyBytes  int64         // prompt or body of one request
	PrefillWindow int           // prompt tokens sent to the engine and not yet prefilled
	Piece         int           // prompt tokens that are prefilled in one step, 0 for the whole prompt
	LongShare     float64       // share of the memory that long requests may hold together
	LongTokens    int           // a request that needs more memory than this is long
	Patience      time.Duration // queueing time after which an item is overdue
	Heartbeat     time.Duration // longest interval between two status reports
	Linger        time.Duration // how long a planned stop waits for entries to receive its status
	Sweep         time.Duration // interval between two comparisons of the ledger with the engine
}

// DefaultLimits returns limits that suit an engine with memory for a few hundred thousand tokens.
func DefaultLimits() Limits {
	return Limits{
		MaxRunning:    64,
		MaxQueued:     2048,
		MaxBodyBytes:  16 << 20,
		PrefillWindow: 8192,
		Piece:         4096,
		LongShare:     0.75,
		LongTokens:    100_000,
		Patience:      20 * time.Second,
		Heartbeat:     500 * time.Millisecond,
		Linger:        2 * time.Second,
		Sweep:         time.Second,
	}
}

// Agent serves the peer protocol in front of one upstream.
type Agent struct {
	box         hollowgrade.Box
	incarnation string
	limits      Limits
	budget      *memory.Budget // for frames of peers that are arriving
	clock       hollowgrade.Clock
	log         *log.Logger
	listener    net.Listener
	server      *peer.Server
	models      []string
	engine      hollowgrade.Engine
	serviceName string
	service     hollowgrade.Service
	revision    func() int64
	keys        KeyKeeper
	snapshot    func(newerThan int64) []byte
	observe     func(Observation)

	cancel context.CancelFunc
	ctx    context.Context // ends when the agent stops
	group  sync.WaitGroup

	mu             sync.Mutex
	queue          sched.Queue
	memory         *ledger.Memory
	jobs           map[string]*job // by engine id
	waiting        map[*sched.Item]*job
	queued         [hollowgrade.Classes]int
	running        int
	pendingPrefill int // tokens sent to the engine and not yet prefilled
	longLeased     int
	speed          speed
	orphanTokens   int // tokens of holdings on the engine without a lease
	exchanges      int // exchanges that are not yet answered
	draining       bool
	idle           chan struct{} // closed when draining and no work is left
	changed        chan struct{} // closed and replaced when the status changes
	sweepsSeen     map[string]int
	reachable      bool
	probed         bool          // whether a sweep has been made
	probe          chan struct{} // requests a sweep at once
}

// KeyKeeper is the part of [Keeper] that an agent uses.
type KeyKeeper interface {
	// Claim decides about a claim on a key.
	Claim(c *wire.Claim) *wire.ClaimReply
	// Settle records how the run under a key ended.
	Settle(s *wire.Settle)
	// Mint returns a new key that names this keeper.
	Mint() string
	// Fenced reports whether a higher epoch than the one given is known for
	// the key.
	Fenced(organisation, key string, epoch int64) bool
	// ReceiveHandover receives one batch of the records that a stopping keeper hands over.
	ReceiveHandover(h *wire.Handover) error
}

// Observation describes one request that has ended, for metrics.
type Observation struct {
	Organisation string
	Kind         string
	Outcome      hollowgrade.Outcome
	Waited       time.Duration
	Took         time.Duration
	PromptTokens int
}

// Option configures an agent.
type Option func(*Agent)

// WithEngine sets the model engine beside the agent and the models that it serves.
func WithEngine(e hollowgrade.Engine, models ...string) Option {
	return func(a *Agent) { a.engine, a.models = e, models }
}

// WithService sets the plain service beside the agent.
func WithService(name string, s hollowgrade.Service) Option {
	return func(a *Agent) { a.serviceName, a.service = name, s }
}

// WithClock sets the clock.
func WithClock(c hollowgrade.Clock) Option {
	return func(a *Agent) { a.clock = c }
}

// WithLogger sets the logger.
func WithLogger(l *log.Logger) Option {
	return func(a *Agent) { a.log = l }
}

// WithLimits sets the limits.
func WithLimits(l Limits) Option {
	return func(a *Agent) { a.limits = l }
}

// WithBudget sets the budget for the frames of peers that are arriving.
func WithBudget(b *memory.Budget) Option {
	return func(a *Agent) { a.budget = b }
}

// WithQueue sets the queue, which decides the order of work.
func WithQueue(q sched.Queue) Option {
	return func(a *Agent) { a.queue = q }
}

// WithRevision sets the function that returns the revision of the configuration in force.
func WithRevision(f func() int64) Option {
	return func(a *Agent) { a.revision = f }
}

// WithKeys sets the keeper of the ledger of idempotency keys.
func WithKeys(k KeyKeeper) Option {
	return func(a *Agent) { a.keys = k }
}

// WithSnapshot sets the function that returns the newest configuration if it is newer than the
// given revision, for peers that request it.
func WithSnapshot(f func(newerThan int64) []byte) Option {
	return func(a *Agent) { a.snapshot = f }
}

// WithObserver sets the function that is called for each request that has ended.
func WithObserver(f func(Observation)) Option {
	return func(a *Agent) { a.observe = f }
}

// New returns an agent for the box that will serve on the listener. The incarnation distinguishes
// this process from earlier ones at the same address.
func New(b hollowgrade.Box, incarnation string, l net.Listener, os ...Option) *Agent {
	a := &Agent{
		box:         b,
		incarnation: incarnation,
		limits:      DefaultLimits(),
		clock:       hollowgrade.SystemClock(),
		log:         log.Default(),
		listener:    l,
		queue:       sched.NewFair(),
		memory:      ledger.NewMemory(0),
		budget:      memory.NewBudget(0),
		revision:    func() int64 { return 0 },
		observe:     func(Observation) {},
		jobs:        map[string]*job{},
		waiting:     map[*sched.Item]*job{},
		sweepsSeen:  map[string]int{},
		idle:        make(chan struct{}),
		changed:     make(chan struct{}),
		probe:       make(chan struct{}, 1),
	}
	for _, o := range os {
		o(a)
	}
	a.server = peer.NewServer(a.handle, a.logBrokenPeer, peer.WithBudget(a.budget))
	a.ctx, a.cancel = context.WithCancel(context.Background())
	return a
}

// Start implements [kernel.Service].
func (a *Agent) Start(context.Context, *kernel.Kernel) error {
	if a.engine != nil {
		a.group.Go(a.sweepLoop)
	} else {
		a.reachable = true
	}
	a.group.Go(func() {
		if err := a.server.Serve(a.ctx, a.listener); err != nil {
			a.log.Error("peer listener failed", "err", err)
		}
	})
	return nil
}

// Stop implements [kernel.Service]. It drains: accepted requests are finished, for as long as ctx
// lasts.
func (a *Agent) Stop(ctx context.Context) error {
	a.Drain()
	// Entries need this time to receive the draining status. Requests that they sent before are
	// refused as not run meanwhile, so they can be sent elsewhere.
	hollowgrade.Sleep(ctx, a.clock, a.limits.Linger)
	var err error
	select {
	case <-a.idle:
	case <-ctx.Done():
		err = ctx.Err()
	}
	_ = a.listener.Close()
	a.cancel()
	a.server.Close()
	a.group.Wait()
	return err
}

// Drain makes the agent refuse new work and report this to every entry. Accepted requests go on.
func (a *Agent) Drain() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining {
		return
	}
	a.draining = true
	a.notify()
	a.closeIfIdle()
}

func (a *Agent) closeIfIdle() {
	if !a.draining || len(a.jobs) > 0 || a.exchanges > 0 {
		return
	}
	select {
	case <-a.idle:
	default:
		close(a.idle)
	}
}

// notify wakes the control streams so that they report at once.
func (a *Agent) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *Agent) logBrokenPeer(p net.Addr, err error) {
	a.log.Warn("connection to peer closed after an invalid frame", "peer", p.String(), "err", err)
}

// handle serves one exchange by the type of its first frame.
func (a *Agent) handle(ctx context.Context, s *peer.Stream, f *wire.Frame) error {
	switch b := f.Body.(type) {
	case *wire.Frame_Hello:
		return a.serveControl(ctx, s)
	case *wire.Frame_Submit:
		return a.serveSubmit(ctx, s, b.Submit)
	case *wire.Frame_Claim, *wire.Frame_Settle, *wire.Frame_Mint, *wire.Frame_Handover:
		return a.serveKeys(s, f)
	case *wire.Frame_Reserve:
		return a.serveReserve(ctx, s, b.Reserve)
	case *wire.Frame_FoldRequest:
		return a.serveFold(s, b.FoldRequest)
	default:
		return peer.ErrBroken
	}
}

// Ready reports whether the agent accepts work, and if not, why.
func (a *Agent) Ready() (ok bool, why string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.draining:
		return false, "draining"
	case !a.reachable:
		return false, "the upstream does not answer"
	default:
		return true, ""
	}
}

// Queued returns the number of requests in the queue.
func (a *Agent) Queued() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.Len()
}
