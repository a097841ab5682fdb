// Package node sets up the processes of the long-running roles from their settings: which services
// run in them and how they find each other.
package node

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"golang.org/x/net/netutil"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/config"
	"github.com/hollowgrade/hollowgrade/fault"
	"github.com/hollowgrade/hollowgrade/fold"
	"github.com/hollowgrade/hollowgrade/internal/accept"
	"github.com/hollowgrade/hollowgrade/internal/errs"
	"github.com/hollowgrade/hollowgrade/kernel"
	"github.com/hollowgrade/hollowgrade/measure"
	"github.com/hollowgrade/hollowgrade/peer"
	"github.com/hollowgrade/hollowgrade/sched"
	"github.com/hollowgrade/hollowgrade/setting"
	"github.com/hollowgrade/hollowgrade/standalone"
)

// The names by which the services of a process find each other.
const (
	FollowerService  = "follower"
	KeeperService    = "keeper"
	PreparerService  = "preparer"
	AgentService     = "agent"
	EntryService     = "entry"
	OperatorsService = "operators"
)

// Node is a process of one of the roles.
type Node struct {
	*kernel.Kernel
	Box         hollowgrade.Box
	Incarnation string
	follower    *fold.Follower     // nil in roles that follow no log
	state       func() ConfigState // of the configuration in force
	compiled    *compiled
	recorder    *measure.Recorder
	metrics     *measure.Metrics
	log         *log.Logger
	clock       *hollowgrade.WorldClock
}

// newNode returns a node with what all roles share.
func newNode(r hollowgrade.Role, c setting.Process, g *log.Logger) (n *Node, err error) {
	k := worldClock()
	k.OnSuspension(func(d time.Duration) {
		n, all := k.Suspensions()
		g.Warn("machine was suspended", "for_ms", d.Milliseconds(), "suspensions", n, "all_ms", all.Milliseconds())
	})
	m, err := measure.NewMetrics()
	if err != nil {
		return nil, err
	}
	return &Node{
		Kernel:      kernel.New(),
		Box:         hollowgrade.Box{Name: c.Box, Role: r, Hall: c.Hall, State: hollowgrade.BoxLive},
		Incarnation: uuid.NewString(),
		compiled:    &compiled{log: g},
		recorder:    measure.NewRecorder(c.Box, k),
		metrics:     m,
		log:         g,
		clock:       k,
	}, nil
}

// newDirectory returns the directory of the agents, from the settings and the platform's list.
func newDirectory(c setting.Common, g *log.Logger) *standalone.Directory {
	var bs hollowgrade.Boxes
	if c.PlatformList != "" {
		bs = standalone.NewBoxes(c.PlatformList, nil, standalone.WithLogger(g))
	}
	var static []hollowgrade.Box
	for _, a := range c.Agents {
		static = append(static, hollowgrade.Box{Name: a, Role: hollowgrade.AgentRole, Peer: a, State: hollowgrade.BoxLive})
	}
	return standalone.NewDirectory(bs, static, standalone.WithLogger(g))
}

// certificates returns the certificates that the settings name, or nil if connections between peers
// are not encrypted.
func certificates(c setting.Common) (*peer.Certificates, error) {
	if !c.Secure() {
		return nil, nil
	}
	return peer.NewCertificates(c.TLSCert, c.TLSKey, c.TLSCA)
}

func dialer(c *peer.Certificates) peer.Dialer {
	if c == nil {
		return peer.TCP()
	}
	return peer.WithTLS(peer.TCP(), c.Client)
}

// listen opens a listener that goes on after errors that pass.
func (n *Node) listen(address string) (net.Listener, error) {
	var c net.ListenConfig
	l, err := c.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return accept.NewListener(l, n.clock, n.log), nil
}

// listenPeers opens the listener for peers. Without TLS it must be on loopback, unless the settings
// have insecure = true.
func (n *Node) listenPeers(address string, c setting.Common, t *peer.Certificates) (l net.Listener, err error) {
	defer errs.Annotate(&err, "listen for peers")
	if t == nil && !c.Insecure && !peer.IsLoopback(address) {
		return nil, fault.New(fault.BadSetting, "peers is %s: beyond loopback set tls_cert, tls_key and tls_ca, or insecure = true", address)
	}
	l, err = n.listen(address)
	if err != nil {
		return nil, err
	}
	l = netutil.LimitListener(l, maxConnections(c.Process, n.log))
	if t == nil {
		return l, nil
	}
	return t.Listener(l), nil
}

// follow registers the follower of the log.
func (n *Node) follow(c setting.Common, l hollowgrade.Log, d *standalone.Directory, dial peer.Dialer) {
	myTurn := func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
		defer cancel()
		return sched.HighestRanked("snapshot", liveNames(d.All(ctx))) == n.Box.Name
	}
	n.follower = fold.NewFollower(l,
		fold.WithLogger(n.log),
		fold.WithPoll(c.LogPoll),
		fold.WithRenewal(c.LogRetention, myTurn),
		fold.WithPeers(Snapshots(d.Agents, dial, n.log)))
	n.state = func() ConfigState {
		s := n.follower.State()
		return ConfigState{Revision: s.Revision(), Next: s.Next(), Fresh: n.follower.Fresh()}
	}
	n.Register(FollowerService, n.follower)
}

func liveNames(bs []hollowgrade.Box) (ns []string) {
	for _, b := range bs {
		if b.State == hollowgrade.BoxLive {
			ns = append(ns, b.Name)
		}
	}
	return ns
}

// compiled holds the newest compiled configuration.
type compiled struct {
	log     *log.Logger
	current *config.Config
}

// watch compiles each new state and passes it to use.
func (n *Node) watch(use ...func(*config.Config)) {
	n.follower.Watch(func(s fold.State) {
		if s.Revision() == 0 {
			return
		}
		c, es := config.Compile(s, n.compiled.current)
		for _, e := range es {
			n.log.Error("configuration item not used", "code", fault.BadRecord, "revision", s.Revision(), "err", e)
		}
		n.compiled.current = c
		n.recorder.SetObjectives(c.Objectives)
		n.log.Info("configuration in force", "revision", c.Revision)
		for _, u := range use {
			u(c)
		}
	})
}

// sample adds a request to the recorder and to the metrics.
func (n *Node) sample(s measure.Sample) {
	s.Kind = n.recorder.BoundedKind(s.Kind)
	n.recorder.Add(s)
	n.metrics.Add(s)
}

// Logger returns a logger that writes JSON lines of the given level and above.
func Logger(w interface{ Write([]byte) (int, error) }, level string) (g *log.Logger, err error) {
	l, err := log.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("verbosity: %w", err)
	}
	return log.NewWithOptions(w, log.Options{
		Formatter:       log.JSONFormatter,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
		Level:           l,
	}), nil
}

// Revision returns the revision of the configuration in force.
func (n *Node) Revision() int64 {
	return n.state().Revision
}

// Snapshot returns what the process has recorded of requests.
func (n *Node) Snapshot() measure.Snapshot {
	return n.recorder.Snapshot()
}
