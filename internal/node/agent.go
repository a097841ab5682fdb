package node

import (
	"github.com/charmbracelet/log"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/agent"
	"github.com/hollowgrade/hollowgrade/config"
	"github.com/hollowgrade/hollowgrade/internal/errs"
	"github.com/hollowgrade/hollowgrade/sched"
	"github.com/hollowgrade/hollowgrade/setting"
	"github.com/hollowgrade/hollowgrade/standalone"
	"github.com/hollowgrade/hollowgrade/upstream"
)

// AgentNode is a process of the role agent.
type AgentNode struct {
	*Node
	Peers     string // address on which entries are served
	Operators string
	Agent     *agent.Agent
}

// NewAgent opens the listeners and sets up an agent. Start starts its services.
func NewAgent(c setting.Agent, g *log.Logger) (n *AgentNode, err error) {
	defer errs.Annotate(&err, "set up agent %s", c.Box)
	limitMemory(c.MemoryMB)
	b, err := newNode(hollowgrade.AgentRole, c.Process, g)
	if err != nil {
		return nil, err
	}
	t, err := certificates(c.Common)
	if err != nil {
		return nil, err
	}
	l, err := b.listenPeers(c.Peers, c.Common, t)
	if err != nil {
		return nil, err
	}
	b.Box.Peer = l.Addr().String()
	d := newDirectory(c.Common, g)
	p := standalone.NewLog(c.PlatformLog, nil)
	b.follow(c.Common, p, d, dialer(t))
	k := agent.NewKeeper(b.Box.Name, b.Incarnation, keyTimes(c), b.clock, g, p, b.follower, d.Agents, dialer(t))
	os := []agent.Option{
		agent.WithLogger(g),
		agent.WithClock(b.clock),
		agent.WithLimits(agentLimits(c)),
		agent.WithBudget(memoryBudget(c.Process, frameMemoryShare)),
		agent.WithQueue(newQueue(c.Order)),
		agent.WithKeys(k),
		agent.WithRevision(func() int64 { return b.follower.State().Revision() }),
		agent.WithSnapshot(b.follower.Encoded),
	}
	u, err := upstreamOption(c)
	if err != nil {
		return nil, err
	}
	a := agent.New(b.Box, b.Incarnation, l, append(os, u)...)
	n = &AgentNode{Node: b, Peers: b.Box.Peer, Agent: a}
	use := []func(*config.Config){k.SetConfig}
	if c.Engine != "" {
		r := agent.NewPreparer(b.Box.Name, engineClient(c), weightStore(c.Common), b.clock, g, d.Agents)
		use = append(use, r.SetConfig)
		b.Register(PreparerService, r)
	}
	b.Register("configuration", startFunc(func() { b.watch(use...) }))
	b.Register(KeeperService, k)
	b.Register(AgentService, a)
	o, err := newOperators(c.Operators, b, a.Ready)
	if err != nil {
		return nil, err
	}
	n.Operators = o.address()
	b.Register(OperatorsService, o)
	return n, n.gauges()
}

func engineClient(c setting.Agent) *upstream.Engine {
	return upstream.NewEngine(c.Engine, upstream.Transport(nil))
}

// weightStore returns the weight store that the settings name, or nil.
func weightStore(c setting.Common) hollowgrade.WeightStore {
	if c.PlatformStore == "" {
		return nil
	}
	return standalone.NewWeights(c.PlatformStore, nil)
}

func upstreamOption(c setting.Agent) (agent.Option, error) {
	if c.Engine != "" {
		return agent.WithEngine(engineClient(c), c.Models...), nil
	}
	s, err := upstream.NewService(c.Service, upstream.ServiceTransport(nil))
	if err != nil {
		return nil, err
	}
	return agent.WithService(c.ServiceName, s), nil
}

func agentLimits(c setting.Agent) agent.Limits {
	return agent.Limits{
		MaxRunning:    c.MaxRunning,
		MaxQueued:     c.MaxQueued,
		MaxBodyBytes:  c.MaxBodyBytes,
		PrefillWindow: c.PrefillWindow,
		Piece:         c.Piece,
		LongShare:     c.LongShare,
		LongTokens:    c.LongTokens,
		Patience:      c.Patience,
		Heartbeat:     c.Heartbeat,
		Linger:        c.Linger,
		Sweep:         c.Sweep,
	}
}

func keyTimes(c setting.Agent) agent.KeyTimes {
	t := agent.DefaultKeyTimes()
	t.Window, t.Lease, t.Grace = c.KeyWindow, c.KeyLease, c.KeyGrace
	return t
}

func newQueue(order string) sched.Queue {
	if order == "fifo" {
		return sched.NewFIFO()
	}
	return sched.NewFair()
}

// gauges registers the agent's own metrics.
func (n *AgentNode) gauges() error {
	if err := n.metrics.Gauge("hollowgrade.memory_lost", "Tokens that the engine holds and that no lease answers for.",
		func() float64 { return float64(n.Agent.OrphanTokens()) }); err != nil {
		return err
	}
	return n.metrics.Gauge("hollowgrade.queued", "Requests in the queue.",
		func() float64 { return float64(n.Agent.Queued()) })
}
