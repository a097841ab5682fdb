package node

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/callers"
	"github.com/hollowgrade/hollowgrade/core"
	"github.com/hollowgrade/hollowgrade/feed"
	"github.com/hollowgrade/hollowgrade/internal/errs"
	"github.com/hollowgrade/hollowgrade/internal/wire"
	"github.com/hollowgrade/hollowgrade/kernel"
	"github.com/hollowgrade/hollowgrade/loadview"
	"github.com/hollowgrade/hollowgrade/measure"
	"github.com/hollowgrade/hollowgrade/memory"
	"github.com/hollowgrade/hollowgrade/peer"
	"github.com/hollowgrade/hollowgrade/platform"
	"github.com/hollowgrade/hollowgrade/setting"
)

// The names of the services of a gateway.
const (
	FeedsService     = "feeds"
	PeersService     = "peers"
	PacketsService   = "packets"
	MembersService   = "members"
	CallersService   = "callers"
	ReadinessService = "readiness"
)

// The names of the feeds that gateways request from each other.
const (
	configFeed  = "config"
	fleetFeed   = "fleet"
	membersFeed = "members"
	heldFeed    = "held"
)

const (
	// maxExitMargin and exitShare bound the part of the grace of a planned stop that is left for the
	// process to exit. Together with the time for final answers it is less than a sixth of the grace:
	// calls that an upstream is at work on may be cut in the last sixth only.
	maxExitMargin = 500 * time.Millisecond
	exitShare     = 12
	// eventMemoryShare is the part of the box's memory that large events may take while they are
	// received.
	eventMemoryShare = 0.015
)

// GatewayNode is a process of the role gateway.
type GatewayNode struct {
	*Node
	Core      *core.Core
	Operators string
	reloading sync.Mutex
	started   setting.Gateway                 // the settings at the start
	settings  atomic.Pointer[setting.Gateway] // those in force
	callers   *callers.Server
	config    *feed.Feed
	held      *feed.Feed // blocked requests
	heldStore *heldStore
	members   *members
	unused    *atomic.Int64 // records of the store that could not be used
	bodies    *memory.Budget
	receiver  *loadview.Receiver
}

// NewGateway opens the listeners and sets up a gateway. Start starts its services.
func NewGateway(c setting.Gateway, g *log.Logger) (n *GatewayNode, err error) {
	defer errs.Annotate(&err, "set up gateway %s", c.Box)
	limitMemory(c.MemoryMB)
	b, err := newNode(hollowgrade.GatewayRole, c.Process, g)
	if err != nil {
		return nil, err
	}
	s := platform.NewStore(c.Store, platform.WithMaxHeadBytes(c.AnswerHeadMaxBytes))
	n = &GatewayNode{Node: b, unused: new(atomic.Int64), started: c}
	n.members = newMembers(c, s.Members(), b.clock, g, n.unused)
	n.settings.Store(&c)
	if err = c.CheckFreshness(); err != nil {
		g.Warn("keys may expire while the store refuses gateways", "why", err)
	}
	relay := feed.NewRelay(c.PeerAddress(), n.members.addresses, feed.WithRelayLogger(g), feed.WithRelayClock(b.clock), feed.WithPlaces(n.members.place), feed.WithListed(n.members.listed), feed.WithRelayTiming(c.Timing()))
	follow := func(name string, t hollowgrade.Topic, wait time.Duration, os ...feed.Option) *feed.Feed {
		os = append([]feed.Option{feed.WithLogger(g), feed.WithClock(b.clock), feed.WithWait(wait), feed.WithReader(relay.Reads), feed.WithBreaker(relay.Breaker()), feed.WithTiming(c.Timing()), feed.WithRedial(s.DropIdle)}, os...)
		return feed.New(name, t, os...)
	}
	n.config = follow(configFeed, s.Config(), c.ReadWait(), feed.WithReader(relay.ReadsLarge), feed.WithPeersFirst(relay.PeersFirst), feed.WithMaxValueBytes(c.ConfigMaxBytes), feed.WithVersion(platform.CatalogVersion))
	fleet := follow(fleetFeed, s.Workers(), c.FleetWait, feed.WithPeersFirst(relay.PeersFirst), feed.WithMinReadInterval(c.RegistryInterval()), feed.WithLossTime(registryLossTime))
	others := follow(membersFeed, s.Members(), c.MembersWait, feed.WithOnReturn(n.members.storeReturned))
	n.held = follow(heldFeed, s.Held(), c.MembersWait, feed.WithPeersFirst(relay.PeersFirst), feed.WithOnReturn(func(kept func(key string) bool) { n.heldStore.storeReturned(kept) }))
	n.state = n.configState
	w := platform.NewWorkers(platform.WithMaxHeadBytes(c.AnswerHeadMaxBytes), platform.WithLargeEvents(memory.NewBudget(largeEventBytes(c.MemoryMB))))
	n.Core = core.New(w, w,
		core.WithLogger(g),
		core.WithClock(b.clock),
		core.WithBox(c.Box),
		core.WithReporter(w),
		core.WithProber(w),
		core.WithBounds(bounds(c)),
		core.WithAge(n.config.Age),
		core.WithOutdated(n.config.OutdatedFor),
		core.WithPlannedStop(n.plannedStop),
		core.WithProcesses(n.members.count),
		core.WithPeers(n.members.peers),
		core.WithMaxFailureBytes(c.FailureMaxBytes),
		core.WithObserver(b.observe))
	n.members.onCell = n.Core.Fleet().SetCell
	n.Core.Fleet().SetCalendar(c.LongWait)
	b.clock.OnSuspension(func(time.Duration) { n.Core.Resume() })
	n.config.Watch(n.applyOperatorRecords)
	fleet.Watch(n.applyFleet)
	others.Watch(func(cs []feed.Change) {
		n.members.apply(cs)
		relay.ProcessesChanged()
	})
	n.heldStore = &heldStore{table: n.Core.Quarantine(), topic: s.Held(), clock: n.clock, log: g, breaker: relay.Breaker(), unused: n.unused}
	n.held.Watch(n.heldStore.apply)
	relay.Add(n.config, fleet, others, n.held)
	n.receiver = loadview.NewReceiver(n.Core.Fleet())
	n.receiver.SetQuarantine(n.Core.Quarantine())
	loadOptions := []loadview.Option{loadview.WithLogger(g), loadview.WithClock(b.clock), loadview.WithQuarantine(n.Core.Quarantine())}
	if c.Peers != "" {
		p, err := peer.ListenPackets(c.Peers)
		if err != nil {
			return nil, err
		}
		b.Register(PacketsService, newPackets(p, n.receiver, g))
		loadOptions = append(loadOptions, loadview.WithPackets(p))
	}
	sender := loadview.New(instanceName(c.Box, b.Incarnation), n.Core.Fleet(), n.members.cellAddresses, loadOptions...)
	n.receiver.OnStream(sender.Redial)
	b.Register(FeedsService, newRunner(n.config.Run, fleet.Run, others.Run, n.held.Run, relay.Run, sender.Run, n.heldStore.run))
	if err = n.listenAll(c, relay, g); err != nil {
		return nil, err
	}
	return n, n.gauges(relay)
}

// incarnationDigits is how many digits of an incarnation distinguish instances on one box in the load
// that gateways send each other. They are few, since each of a thousand messages a second has them.
const incarnationDigits = 8

// instanceName names one instance of a gateway.
func instanceName(box, incarnation string) string {
	return box + "/" + incarnation[:min(incarnationDigits, len(incarnation))]
}

// listenAll opens the listeners and registers what serves them.
func (n *GatewayNode) listenAll(c setting.Gateway, r *feed.Relay, g *log.Logger) error {
	if c.Peers != "" {
		l, err := n.listen(c.Peers)
		if err != nil {
			return err
		}
		n.Register(PeersService, newPeers(l, n.peerHandler(r.NewServer(c.LinkMbps)), memoryBudget(c.Process, frameMemoryShare), g))
	}
	n.Register(MembersService, n.members)
	l, err := n.listen(c.Callers)
	if err != nil {
		return err
	}
	n.bodies = memoryBudget(c.Process, requestMemoryShare)
	handler := platform.NewHandler(n.Core, n.limits, n.clock, g, platform.WithStall(n.callerStall), platform.WithBodies(n.bodies))
	n.callers = callers.New(l, handler,
		callers.WithMaxConnections(maxConnections(c.Process, g)), callers.WithBudget(n.bodies), callers.WithLogger(g), callers.WithClock(n.clock), callers.WithLinger(n.linger), callers.WithLimits(n.connLimits), callers.WithAcceptGate(n.awaitStartup))
	l, err = n.listen(c.Readiness)
	if err != nil {
		return err
	}
	n.Register(ReadinessService, newHTTP(l, platform.Readiness(n.ready), g))
	o, err := newOperators(c.Operators, n.Node, n.ready, n.heldStore.serve)
	if err != nil {
		return err
	}
	n.Operators = o.address()
	n.Register(OperatorsService, o)
	n.Register(CallersService, callersService{n.callers, n.members.leave}) // the last one is stopped first and has the most time
	return nil
}

// callersService serves callers, until the process leaves the list of gateways.
type callersService struct {
	*callers.Server
	leave func(context.Context)
}

// Stop implements [kernel.Service]. The process leaves the list once the callers are done, at the
// latest while the last of them are answered: other services may take the rest of the time.
func (s callersService) Stop(ctx context.Context) error {
	served, cancel := untilFinalAnswers(ctx)
	defer cancel()
	var g sync.WaitGroup
	g.Go(func() {
		<-served.Done()
		s.leave(ctx)
	})
	err := s.Server.Stop(ctx)
	cancel()
	g.Wait()
	return err
}

// untilFinalAnswers returns a context that ends when the final answers of a stop that begins now are
// due.
func untilFinalAnswers(ctx context.Context) (context.Context, context.CancelFunc) {
	end, bounded := ctx.Deadline()
	if !bounded {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, callers.FinalAnswersAfter(time.Until(end)))
}

// peerHandler returns the handler for other gateways.
func (n *GatewayNode) peerHandler(f *feed.Server) peer.Handler {
	return func(_ context.Context, s *peer.Stream, first *wire.Frame) error {
		if b := first.GetLoadView(); b != nil {
			return n.receiver.Stream(s, b)
		}
		return f.Serve(s, first)
	}
}

// largeEventBytes returns the memory that large events may take while they are received, 0 for no bound.
func largeEventBytes(memoryMB int) int64 {
	return int64(float64(memoryMB) * megabyte * eventMemoryShare)
}

// observe records a call that has ended.
func (n *Node) observe(o core.Observation) {
	n.sample(callSample(o))
	for _, x := range o.Oversized {
		n.metrics.AddOversized(string(x.Upstream), string(x.Place))
	}
}

func bounds(c setting.Gateway) core.Bounds {
	return core.Bounds{
		KeyFreshness: c.KeyFreshness,
		KeyOutage:    c.KeyOutage,
		Freshness:    c.Freshness,
		RetryRatio:   c.RetryRatio,
		RetrySlack:   c.RetrySlack,
		RetryWindow:  c.RetryWindow,
	}
}

// Grace returns how long a planned stop may take.
func (n *GatewayNode) Grace() time.Duration {
	g := n.settings.Load().Grace
	return g - exitMargin(g)
}

// exitMargin returns the part of the grace of a planned stop that is left for the process to exit.
func exitMargin(grace time.Duration) time.Duration {
	return min(maxExitMargin, grace/exitShare)
}

// plannedStop returns the planned stop that is under way, if there is one.
func (n *GatewayNode) plannedStop() (p hollowgrade.PlannedStop, ok bool) {
	if n.callers == nil { // calls are served through it
		return p, false
	}
	return n.callers.PlannedStop()
}

func (n *GatewayNode) linger() time.Duration {
	return n.settings.Load().Linger
}

func (n *GatewayNode) callerStall() time.Duration {
	return n.settings.Load().CallerStall
}

// Reload reads the settings again, as a start with the arguments would. It puts in force those that
// can change while the process runs, and logs which of the changed ones need a restart.
func (n *GatewayNode) Reload(args []string) error {
	n.reloading.Lock()
	defer n.reloading.Unlock()
	r, err := setting.ParseGateway(args)
	if err != nil {
		n.log.Error("settings not reloaded, the old ones stay in force", "err", err)
		return err
	}
	c := n.started.WithReloaded(r)
	n.settings.Store(&c)
	n.Core.SetBounds(bounds(c))
	restart := n.started.NeedsRestart(r)
	level := log.InfoLevel
	if len(restart) > 0 {
		level = log.WarnLevel
	}
	n.log.Log(level, "settings reloaded", "key_freshness_ms", c.KeyFreshness.Milliseconds(), "key_outage_ms", c.KeyOutage.Milliseconds(),
		"retry_ratio", c.RetryRatio, "retry_slack", c.RetrySlack, "grace_ms", c.Grace.Milliseconds(), "needs_restart", restart)
	if l, err := log.ParseLevel(c.Verbosity); err == nil {
		n.log.SetLevel(l)
	}
	return nil
}

// ready reports whether the load balancer should send callers here, and if not, why.
func (n *GatewayNode) ready() (ok bool, why string) {
	age, known := n.config.Age()
	switch {
	case n.callers.Stopping():
		return false, "stopping"
	case n.callers.Full():
		return false, "as many connections as allowed are open"
	case n.Core.Catalog() == nil:
		return false, "no configuration yet"
	case n.Core.Fleet().Size() == 0:
		return false, "no upstream is known"
	case !known || age > n.settings.Load().KeyAge():
		return false, "the configuration may be out of date"
	case n.Core.Outdated():
		return false, "a newer configuration is known and not here yet"
	default:
		return true, ""
	}
}

func (n *GatewayNode) limits() core.Limits {
	if c := n.Core.Catalog(); c != nil {
		return c.Limits
	}
	return core.Limits{}
}

func (n *GatewayNode) connLimits() callers.Limits {
	l := n.limits()
	return callers.Limits{HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout, HeadBytes: l.HeaderBytes}
}

func (n *GatewayNode) configState() ConfigState {
	s := ConfigState{Next: n.config.Next(), Fresh: n.config.Fresh(), Evacuated: n.Core.Fleet().Evacuation().Halls(), StoreEra: n.config.Era(), EraSince: n.config.EraSince()}
	if c := n.Core.Catalog(); c != nil {
		s.Revision = c.Version
	}
	return s
}

func callSample(o core.Observation) measure.Sample {
	return measure.Sample{
		Organisation: o.Organisation,
		Kind:         o.Route,
		Service:      o.Service,
		Outcome:      o.Outcome,
		Code:         string(o.Code),
		PromptTokens: o.PromptTokens,
		FirstToken:   o.First,
		Predicted:    o.Predicted,
		Took:         o.Took,
		Attempts:     o.Attempts,
		Turn:         string(o.Turn),
		TurnWait:     o.TurnWait,
	}
}

// runner is a service that runs functions until it is stopped.
type runner struct {
	run    []func(context.Context)
	cancel context.CancelFunc
	group  sync.WaitGroup
}

func newRunner(fs ...func(context.Context)) *runner {
	return &runner{run: fs}
}

// Start implements [kernel.Service].
func (r *runner) Start(context.Context, *kernel.Kernel) error {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	for _, f := range r.run {
		r.group.Go(func() { f(ctx) })
	}
	return nil
}

// Stop implements [kernel.Service].
func (r *runner) Stop(context.Context) error {
	r.cancel()
	r.group.Wait()
	return nil
}

// newPeers returns a service that serves other gateways.
func newPeers(l net.Listener, h peer.Handler, b *memory.Budget, g *log.Logger) kernel.Service {
	s := peer.NewServer(h, func(a net.Addr, err error) {
		g.Warn("connection to peer closed after an invalid frame", "peer", a.String(), "err", err)
	}, peer.WithBudget(b))
	return newRunner(func(ctx context.Context) {
		defer s.Close()
		stop := context.AfterFunc(ctx, func() { _ = l.Close() })
		defer stop()
		if err := s.Serve(ctx, l); err != nil {
			g.Error("peers' listener failed", "err", err)
		}
	})
}

// newPackets returns a service that receives packets from other gateways.
func newPackets(p *peer.Packets, t *loadview.Receiver, g *log.Logger) kernel.Service {
	return newRunner(func(ctx context.Context) {
		stop := context.AfterFunc(ctx, func() { _ = p.Close() })
		defer stop()
		p.Serve(func(f *wire.Frame) {
			if m := f.GetLoadView(); m != nil {
				t.Packet(m)
			}
		}, func(a net.Addr, err error) {
			g.Debug("packet not read", "peer", a.String(), "err", err)
		})
	})
}
