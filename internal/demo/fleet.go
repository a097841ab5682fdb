// Package demo runs every role and every stand-in in one process, over TCP on loopback, and runs
// one event from its publication to its report.
package demo

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/internal/errs"
	"github.com/hollowgrade/hollowgrade/internal/node"
	"github.com/hollowgrade/hollowgrade/internal/standin"
	"github.com/hollowgrade/hollowgrade/setting"
)

// Size is the size of a fleet.
type Size struct {
	Entries  int
	Engines  int
	Services map[string]int // number of upstreams by plain service
	Halls    int
	Engine   standin.EngineConfig
}

// DefaultSize returns the size of a present-day fleet: both users' services and one engine pool.
func DefaultSize() Size {
	return Size{
		Entries:  3,
		Engines:  18,
		Services: map[string]int{"push": 3, "catalogue": 3},
		Halls:    3,
		Engine:   standin.DefaultEngine(Model),
	}
}

// Model is the model that the stand-in engines serve.
const Model = "copy-1"

// Fleet is a running fleet of stand-ins, agents and entries.
type Fleet struct {
	Log      *standin.Log
	Boxes    *standin.Boxes
	Weights  *standin.Weights
	Engines  []*standin.Engine
	Services []*standin.Service
	Agents   []*node.AgentNode
	Entries  []*node.EntryNode

	logURL, boxesURL, storeURL string
	logger                     *log.Logger
	adjustAgent                func(*setting.Agent)
	clock                      hollowgrade.Clock
	servers                    []*http.Server
	halls                      int
}

const (
	serviceDelay    = 5 * time.Millisecond
	weightsInterval = 500 * time.Millisecond
	weightsBurst    = 3
	headerTimeout   = 5 * time.Second
	logPollInterval = 250 * time.Millisecond
	maxConnections  = 16384
)

// FleetOption configures a fleet before it starts.
type FleetOption func(*Fleet)

// WithAgentSettings applies f to the settings of each agent.
func WithAgentSettings(f func(*setting.Agent)) FleetOption {
	return func(t *Fleet) { t.adjustAgent = f }
}

// NewFleet starts a fleet. Stop must be called in the end, also after an error.
func NewFleet(ctx context.Context, s Size, g *log.Logger, os ...FleetOption) (f *Fleet, err error) {
	defer errs.Annotate(&err, "start fleet")
	k := hollowgrade.SystemClock()
	f = &Fleet{
		Log:         standin.NewLog(0, k),
		Boxes:       standin.NewBoxes(0, k),
		Weights:     standin.NewWeights(weightsInterval, weightsBurst, k),
		logger:      g,
		adjustAgent: func(*setting.Agent) {},
		clock:       k,
		halls:       s.Halls,
	}
	for _, o := range os {
		o(f)
	}
	if f.logURL, err = f.serve(f.Log); err != nil {
		return f, err
	}
	if f.boxesURL, err = f.serve(f.Boxes); err != nil {
		return f, err
	}
	if f.storeURL, err = f.serve(f.Weights); err != nil {
		return f, err
	}
	for i := range s.Engines {
		if err = f.addEngine(ctx, i, s.Engine); err != nil {
			return f, err
		}
	}
	for n, c := range s.Services {
		for i := range c {
			if err = f.addService(ctx, n, i); err != nil {
				return f, err
			}
		}
	}
	for i := range s.Entries {
		if err = f.AddEntry(ctx, i); err != nil {
			return f, err
		}
	}
	return f, nil
}

// serve serves a stand-in on a free loopback port and returns its URL.
func (f *Fleet) serve(h http.Handler) (url string, err error) {
	l, err := standin.Listen("127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	f.servers = append(f.servers, s)
	go func() { _ = s.Serve(l) }()
	return "http://" + l.Addr().String(), nil
}

func (f *Fleet) hall(i int) string {
	return fmt.Sprintf("hall-%d", i%max(f.halls, 1)+1)
}

func (f *Fleet) common(box, hall string) setting.Common {
	return setting.Common{
		Process: setting.Process{
			Box:            box,
			Hall:           hall,
			Region:         "local",
			Operators:      "127.0.0.1:0",
			MaxConnections: maxConnections,
			DrainTimeout:   time.Minute,
		},
		PlatformLog:   f.logURL,
		PlatformList:  f.boxesURL,
		PlatformStore: f.storeURL,
		LogPoll:       logPollInterval,
	}
}

func (f *Fleet) addEngine(ctx context.Context, i int, c standin.EngineConfig) error {
	e := standin.NewEngine(c, f.clock)
	f.Engines = append(f.Engines, e)
	u, err := f.serve(e)
	if err != nil {
		return err
	}
	s := f.agentSettings(fmt.Sprintf("engine-%02d", i+1), f.hall(i))
	s.Engine, s.Models = u, c.Models
	return f.addAgent(ctx, s)
}

func (f *Fleet) addService(ctx context.Context, name string, i int) error {
	v := standin.NewService(serviceDelay, f.clock)
	f.Services = append(f.Services, v)
	u, err := f.serve(v)
	if err != nil {
		return err
	}
	s := f.agentSettings(fmt.Sprintf("%s-%d", name, i+1), f.hall(i))
	s.Service, s.ServiceName = u, name
	return f.addAgent(ctx, s)
}

func (f *Fleet) agentSettings(box, hall string) setting.Agent {
	s := setting.DefaultAgent()
	s.Common = f.common(box, hall)
	s.Peers = "127.0.0.1:0"
	s.Linger = 0 // no other box sends requests
	f.adjustAgent(&s)
	return s
}

func (f *Fleet) addAgent(ctx context.Context, s setting.Agent) error {
	n, err := node.NewAgent(s, f.logger)
	if err != nil {
		return err
	}
	f.Agents = append(f.Agents, n)
	b := n.Box
	b.Operators = n.Operators
	f.Boxes.Set(b)
	return n.Start(ctx)
}

// AddEntry starts another entry.
func (f *Fleet) AddEntry(ctx context.Context, i int) error {
	s := setting.DefaultEntry()
	s.Common = f.common(fmt.Sprintf("entry-%d", i+1), f.hall(i))
	s.Callers = "127.0.0.1:0"
	s.Linger = 0
	n, err := node.NewEntry(s, f.logger)
	if err != nil {
		return err
	}
	f.Entries = append(f.Entries, n)
	b := n.Box
	b.Operators = n.Operators
	f.Boxes.Set(b)
	return n.Start(ctx)
}

// URLs returns the addresses on which callers are served.
func (f *Fleet) URLs() (us []string) {
	for _, e := range f.Entries {
		us = append(us, "http://"+e.Callers)
	}
	return us
}

// stopAll stops nodes concurrently.
func stopAll(ctx context.Context, ns []*node.Node) error {
	errs := make([]error, len(ns))
	var g sync.WaitGroup
	for i, n := range ns {
		g.Go(func() { errs[i] = n.Stop(ctx) })
	}
	g.Wait()
	return errors.Join(errs...)
}

// Stop stops everything: entries first, then agents, then the stand-ins.
func (f *Fleet) Stop(ctx context.Context) (err error) {
	var entries, agents []*node.Node
	for _, e := range f.Entries {
		entries = append(entries, e.Node)
	}
	for _, a := range f.Agents {
		f.Boxes.Remove(a.Box.Name)
		agents = append(agents, a.Node)
	}
	err = errors.Join(stopAll(ctx, entries), stopAll(ctx, agents))
	for _, s := range f.servers {
		_ = s.Close()
	}
	for _, e := range f.Engines {
		e.Stop()
	}
	return err
}
