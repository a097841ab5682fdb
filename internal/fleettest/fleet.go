// Package fleettest runs real entries and agents with stand-ins for the network, the engines and the
// log, in virtual time inside a bubble of testing/synctest. The fault matrix and the fleet benchmark
// use it.
package fleettest

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/agent"
	"github.com/hollowgrade/hollowgrade/config"
	"github.com/hollowgrade/hollowgrade/entry"
	"github.com/hollowgrade/hollowgrade/fold"
	"github.com/hollowgrade/hollowgrade/internal/node"
	"github.com/hollowgrade/hollowgrade/internal/standin"
	"github.com/hollowgrade/hollowgrade/ledger"
	"github.com/hollowgrade/hollowgrade/peer"
	"github.com/hollowgrade/hollowgrade/sched"
	"github.com/hollowgrade/hollowgrade/upstream"
)

// Config sets the size of a fleet and the settings of its parts.
type Config struct {
	Entries     int
	Engines     int
	Services    int // instances of the plain service
	Halls       int
	Engine      standin.EngineConfig
	Limits      agent.Limits
	Entry       entry.Limits
	KeyTimes    agent.KeyTimes
	Queue       func() sched.Queue
	Placement   func() sched.Placement
	HallDelay   time.Duration // one-way, between data halls
	BoxDelay    time.Duration // one-way, between boxes of a data hall
	CallerDelay time.Duration // one-way, to or from a caller
	LogPoll     time.Duration // between reads of the log
	Policy      string
	Log         *log.Logger
}

// Names of the model, the service and the caller, and the prefix of API keys.
const (
	Model   = "m"
	Service = "s"
	Caller  = "caller"
	Bearer  = "bearer-"
)

// Small returns the configuration of the fault tests, with enough of each part that one may fail.
func Small() Config {
	e := standin.DefaultEngine(Model)
	e.MemoryTokens = 20_000
	l := agent.DefaultLimits()
	l.LongTokens = 10_000
	l.Heartbeat = 500 * time.Millisecond
	l.Sweep = 500 * time.Millisecond
	k := agent.DefaultKeyTimes()
	k.Lease = 2 * time.Second
	k.Grace = time.Second
	k.CheckInterval = time.Second
	return Config{
		Entries:     2,
		Engines:     3,
		Services:    2,
		Halls:       3,
		Engine:      e,
		Limits:      l,
		Entry:       entry.DefaultLimits(),
		KeyTimes:    k,
		Queue:       func() sched.Queue { return sched.NewFair() },
		Placement:   func() sched.Placement { return sched.NewQuickest() },
		HallDelay:   1500 * time.Microsecond,
		BoxDelay:    100 * time.Microsecond,
		CallerDelay: time.Millisecond,
		LogPoll:     time.Second,
		Policy:      Policy,
		Log:         log.NewWithOptions(io.Discard, log.Options{Level: log.FatalLevel}),
	}
}

// Policy is the policy of the fault tests.
const Policy = `kind == "once"
  ? {class: "instant", priority: 0, allowed: duration("20s"), may_wait: true, repeatable: false, share: 1.0}
: kind == "long"
  ? {class: "background", priority: 0, allowed: duration("20s"), may_wait: true, repeatable: true, share: 0.5}
  : {class: "instant", priority: 0, allowed: duration("20s"), may_wait: true, repeatable: true, share: 1.0}`

// EntryBox is an entry process with its box name, freezer and log follower.
type EntryBox struct {
	*entry.Entry
	Name     string
	Freezer  *standin.Freezer
	follower *fold.Follower
	killed   bool
}

// Revision returns the revision in force.
func (e *EntryBox) Revision() int64 { return e.follower.State().Revision() }

// AgentBox is an agent process with its upstream, box name, freezer, key keeper and log follower.
type AgentBox struct {
	*agent.Agent
	Name    string
	Freezer *standin.Freezer

	incarnation string

	Engine   *standin.Engine       // nil for a plain service
	Link     *standin.LinkedEngine // the engine as seen by the agent
	Service  *standin.Service      // nil for an engine
	upstream hollowgrade.Service
	keeper   *agent.Keeper
	preparer *agent.Preparer
	follower *fold.Follower
	killed   bool
	replaced bool
	stopped  bool
}

// Revision returns the revision in force.
func (a *AgentBox) Revision() int64 { return a.follower.State().Revision() }

// Fleet is a running fleet.
type Fleet struct {
	Config  Config
	Network *standin.Network
	Log     *standin.Log
	Boxes   *standin.Boxes
	Weights *standin.Weights
	Entries []*EntryBox
	Agents  []*AgentBox
	client  *http.Client

	mu       sync.Mutex
	requests int // completed by the entries
	attempts int // of these requests
	started  int // processes started; numbers the incarnations
	cleanups []func()
}

// New starts a fleet. It must be called inside a bubble.
func New(c Config) *Fleet {
	f := &Fleet{Config: c, Log: standin.NewLog(0, hollowgrade.SystemClock())}
	f.Network = standin.NewNetwork(f.delay)
	f.Boxes = standin.NewBoxes(0, hollowgrade.SystemClock())
	f.Weights = standin.NewWeights(time.Second, 1, hollowgrade.SystemClock())
	f.client = &http.Client{Transport: &http.Transport{
		DialContext:         f.dialCaller,
		MaxIdleConnsPerHost: 256,
		DisableCompression:  true,
	}}
	for i := range c.Engines {
		f.StartAgent(EngineName(i), false)
	}
	for i := range c.Services {
		f.StartAgent(ServiceName(i), true)
	}
	for i := range c.Entries {
		f.StartEntry(EntryName(i))
	}
	return f
}

// EntryName returns the box name of an entry.
func EntryName(i int) string { return fmt.Sprintf("entry-%d", i) }

// EngineName returns the box name of an agent that serves an engine.
func EngineName(i int) string { return fmt.Sprintf("engine-%d", i) }

// ServiceName returns the box name of an agent that serves a plain service.
func ServiceName(i int) string { return fmt.Sprintf("service-%d", i) }

func (f *Fleet) dialCaller(ctx context.Context, _, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	return f.Network.Dial(Caller)(ctx, host)
}

// hall returns the data hall of a box, derived from the last digit of its name.
func (f *Fleet) hall(name string) string {
	var n int
	_, _ = fmt.Sscanf(name[len(name)-1:], "%d", &n)
	return fmt.Sprintf("hall-%d", n%f.Config.Halls)
}

func (f *Fleet) delay(from, to string) time.Duration {
	switch {
	case from == Caller || to == Caller:
		return f.Config.CallerDelay
	case f.hall(from) == f.hall(to):
		return f.Config.BoxDelay
	default:
		return f.Config.HallDelay
	}
}

func (f *Fleet) newIncarnation(name string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started++
	return fmt.Sprintf("%s#%d", name, f.started)
}

// listAgents returns the agents in the platform's list of boxes.
func (f *Fleet) listAgents(ctx context.Context) []hollowgrade.Box {
	bs, _ := f.Boxes.List(ctx)
	return slices.DeleteFunc(bs, func(b hollowgrade.Box) bool { return b.Role != hollowgrade.AgentRole })
}

// freezableLog is the log as seen by a process that can be frozen.
type freezableLog struct {
	*standin.Log
	freezer *standin.Freezer
}

// Append implements [hollowgrade.Log].
func (l freezableLog) Append(ctx context.Context, b []byte) (int64, error) {
	l.freezer.Wait()
	return l.Log.Append(ctx, b)
}

// Read implements [hollowgrade.Log].
func (l freezableLog) Read(ctx context.Context, from int64, limit int) (hollowgrade.Page, error) {
	l.freezer.Wait()
	return l.Log.Read(ctx, from, limit)
}

func (f *Fleet) follower(name string, z *standin.Freezer) *fold.Follower {
	return fold.NewFollower(freezableLog{f.Log, z}, fold.WithClock(z.Clock()), fold.WithLogger(f.Config.Log), fold.WithPoll(f.Config.LogPoll),
		fold.WithPeers(node.Snapshots(f.listAgents, f.Network.Dial(name), f.Config.Log)))
}

func watchConfig(w *fold.Follower, use func(*config.Config)) {
	var former *config.Config
	w.Watch(func(s fold.State) {
		if s.Revision() > 0 {
			former, _ = config.Compile(s, former)
			use(former)
		}
	})
}

// StartAgent starts an agent with a new upstream and adds its box to the platform's list.
func (f *Fleet) StartAgent(name string, service bool) *AgentBox {
	a := &AgentBox{Name: name}
	if service {
		a.upstream = f.startService(a)
	} else {
		a.Engine = standin.NewEngine(f.Config.Engine, hollowgrade.SystemClock())
		f.cleanups = append(f.cleanups, a.Engine.Stop)
	}
	a = f.startProcess(a)
	f.Agents = append(f.Agents, a)
	return a
}

// startProcess starts an agent process for the upstream of another one.
func (f *Fleet) startProcess(o *AgentBox) *AgentBox {
	a := &AgentBox{Name: o.Name, Engine: o.Engine, Service: o.Service, upstream: o.upstream, Freezer: f.Network.Freezer(o.Name)}
	a.incarnation = f.newIncarnation(a.Name)
	a.follower = f.follower(a.Name, a.Freezer)
	clock, l := a.Freezer.Clock(), freezableLog{f.Log, a.Freezer}
	b := hollowgrade.Box{Name: a.Name, Role: hollowgrade.AgentRole, Hall: f.hall(a.Name), Peer: a.Name, State: hollowgrade.BoxLive}
	a.keeper = agent.NewKeeper(a.Name, a.incarnation, f.Config.KeyTimes, clock, f.Config.Log, l, a.follower, f.listAgents, f.Network.Dial(a.Name))
	os := []agent.Option{
		agent.WithClock(clock), agent.WithLogger(f.Config.Log), agent.WithLimits(f.Config.Limits),
		agent.WithQueue(f.Config.Queue()), agent.WithKeys(a.keeper),
		agent.WithRevision(a.Revision), agent.WithSnapshot(a.follower.Encoded),
	}
	if a.Engine != nil {
		a.Link = a.Freezer.Engine(a.Engine)
		os = append(os, agent.WithEngine(a.Link, Model))
	} else {
		os = append(os, agent.WithService(Service, a.upstream))
	}
	a.Agent = agent.New(b, a.incarnation, f.Network.Listen(a.Name), os...)
	f.Boxes.Set(b)
	_ = a.follower.Start(context.Background(), nil)
	if a.Engine != nil {
		a.preparer = agent.NewPreparer(a.Name, a.Link, f.Weights, clock, f.Config.Log, f.listAgents)
		_ = a.preparer.Start(context.Background(), nil)
		watchConfig(a.follower, a.preparer.SetConfig)
	}
	watchConfig(a.follower, a.keeper.SetConfig)
	_ = a.keeper.Start(context.Background(), nil)
	_ = a.Start(context.Background(), nil)
	return a
}

const serviceDelay = 20 * time.Millisecond

// startService starts a plain service for the agent.
func (f *Fleet) startService(a *AgentBox) hollowgrade.Service {
	a.Service = standin.NewService(serviceDelay, hollowgrade.SystemClock())
	host := a.Name + "-upstream-" + a.Name[len(a.Name)-1:]
	s := &http.Server{Handler: a.Service}
	l := f.Network.Listen(host)
	go func() { _ = s.Serve(l) }()
	d := f.Network.Dial(a.Name)
	t := upstream.ServiceTransport(func(ctx context.Context, _, _ string) (net.Conn, error) { return d(ctx, host) })
	f.cleanups = append(f.cleanups, func() { _ = s.Close(); t.CloseIdleConnections() })
	c, err := upstream.NewService("http://"+host, t)
	if err != nil {
		panic(err)
	}
	return c
}

// UpstreamOf returns the address of an agent's plain service.
func UpstreamOf(name string) string {
	return name + "-upstream-" + name[len(name)-1:]
}

// StartEntry starts an entry and adds its box to the platform's list.
func (f *Fleet) StartEntry(name string) *EntryBox {
	e := &EntryBox{Name: name, Freezer: f.Network.Freezer(name)}
	b := hollowgrade.Box{Name: name, Role: hollowgrade.EntryRole, Hall: f.hall(name), State: hollowgrade.BoxLive}
	e.follower = f.follower(e.Name, e.Freezer)
	e.Entry = entry.New(b, f.newIncarnation(name), f.Network.Listen(name), f.listAgents,
		entry.WithClock(e.Freezer.Clock()), entry.WithLogger(f.Config.Log), entry.WithLimits(f.Config.Entry),
		entry.WithDialer(peer.Dialer(f.Network.Dial(name))), entry.WithPlacement(f.Config.Placement()),
		entry.WithObserver(f.countAttempts))
	f.mu.Lock()
	f.Entries = append(slices.Clone(f.Entries), e)
	f.mu.Unlock()
	f.Boxes.Set(b)
	_ = e.follower.Start(context.Background(), nil)
	watchConfig(e.follower, e.SetConfig)
	_ = e.Start(context.Background(), nil)
	return e
}

func (f *Fleet) countAttempts(o entry.Observation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests++
	f.attempts += o.Attempts
}

// AttemptsPerRequest returns the mean number of attempts of the entries per request.
func (f *Fleet) AttemptsPerRequest() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return float64(f.attempts) / float64(max(f.requests, 1))
}

// Prepare publishes a policy, a model, a service and the organisations, and waits until the entries
// are ready.
func (f *Fleet) Prepare(organisations ...string) error {
	ctx := context.Background()
	type item struct {
		kind, name string
		body       any
	}
	is := []item{
		{config.PolicyKind, config.DefaultPolicy, config.Policy{Name: config.DefaultPolicy, Text: f.Config.Policy}},
		{config.ModelKind, Model, config.Model{Name: Model}},
		{config.ServiceKind, Service, config.Service{Name: Service}},
	}
	for _, o := range organisations {
		is = append(is, item{config.OrganisationKind, o, config.Organisation{Name: o, Keys: []string{config.KeyDigest(Bearer + o)}}})
	}
	for _, i := range is {
		if _, err := config.Publish(ctx, f.Log, i.kind, i.name, i.body, config.CurrentRevision); err != nil {
			return err
		}
	}
	if err := f.assignKeyRanges(); err != nil {
		return err
	}
	for !f.ready() {
		time.Sleep(f.Config.LogPoll / 4)
	}
	return nil
}

// assignKeyRanges assigns an owner to each key range. The agents would do so within seconds; writing
// the ranges here saves each test dozens of reads of the log.
func (f *Fleet) assignKeyRanges() error {
	for n := range ledger.Ranges {
		a := f.Agents[n%len(f.Agents)]
		r := config.KeyRange{Owner: a.Name, Incarnation: a.incarnation, First: true}
		c, err := fold.NewChange(config.KeyRangeKind, ledger.RangeName(n), 0, r, fmt.Sprint("range", n), "test")
		if err != nil {
			return err
		}
		b, err := c.Encode()
		if err != nil {
			return err
		}
		if _, err = f.Log.Append(context.Background(), b); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) ready() bool {
	for _, e := range f.Entries {
		if ok, _ := e.Ready(); !ok || !e.Complete(len(f.Agents)) {
			return false
		}
	}
	return true
}
