package node

import (
	"context"

	"github.com/charmbracelet/log"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/entry"
	"github.com/hollowgrade/hollowgrade/internal/errs"
	"github.com/hollowgrade/hollowgrade/kernel"
	"github.com/hollowgrade/hollowgrade/measure"
	"github.com/hollowgrade/hollowgrade/sched"
	"github.com/hollowgrade/hollowgrade/setting"
	"github.com/hollowgrade/hollowgrade/standalone"
)

// EntryNode is a process of the role entry.
type EntryNode struct {
	*Node
	Callers   string // address on which callers are served
	Operators string
	Entry     *entry.Entry
}

// NewEntry opens the listeners and sets up an entry. Start starts its services.
func NewEntry(c setting.Entry, g *log.Logger) (n *EntryNode, err error) {
	defer errs.Annotate(&err, "set up entry %s", c.Box)
	limitMemory(c.MemoryMB)
	b, err := newNode(hollowgrade.EntryRole, c.Process, g)
	if err != nil {
		return nil, err
	}
	t, err := certificates(c.Common)
	if err != nil {
		return nil, err
	}
	l, err := b.listen(c.Callers)
	if err != nil {
		return nil, err
	}
	callers := l.Addr().String()
	d := newDirectory(c.Common, g)
	e := entry.New(b.Box, b.Incarnation, l, d.Agents,
		entry.WithLogger(g),
		entry.WithClock(b.clock),
		entry.WithDialer(dialer(t)),
		entry.WithLimits(entryLimits(c)),
		entry.WithMaxConnections(maxConnections(c.Process, g)),
		entry.WithBudget(memoryBudget(c.Process, requestMemoryShare)),
		entry.WithPlacement(newPlacement(c.Placement)),
		entry.WithObserver(func(o entry.Observation) { b.sample(sampleOf(o)) }))
	n = &EntryNode{Node: b, Callers: callers, Entry: e}
	b.follow(c.Common, standalone.NewLog(c.PlatformLog, nil), d, dialer(t))
	b.Register("configuration", startFunc(func() { b.watch(e.SetConfig) }))
	b.Register(EntryService, e)
	o, err := newOperators(c.Operators, b, e.Ready)
	if err != nil {
		return nil, err
	}
	n.Operators = o.address()
	b.Register(OperatorsService, o)
	return n, nil
}

func entryLimits(c setting.Entry) entry.Limits {
	return entry.Limits{
		MaxBodyBytes:  c.MaxBodyBytes,
		MaxHeadBytes:  c.MaxHeadBytes,
		BodyTimeout:   c.BodyTimeout,
		HeaderTimeout: c.HeaderTimeout,
		MaxRequests:   c.MaxRequests,
		MaxAttempts:   c.MaxAttempts,
		RetryRatio:    c.RetryRatio,
		RetrySaved:    c.RetrySaved,
		Linger:        c.Linger,
	}
}

func newPlacement(name string) sched.Placement {
	switch name {
	case "round_robin":
		return sched.NewRoundRobin()
	case "least_loaded":
		return sched.NewLeastLoaded()
	default:
		return sched.NewQuickest()
	}
}

func sampleOf(o entry.Observation) measure.Sample {
	if o.Service != "" {
		o.FirstToken = 0 // a plain service sends none
	}
	return measure.Sample{
		Organisation: o.Organisation,
		Kind:         o.Kind,
		Outcome:      o.Outcome,
		Code:         string(o.Code),
		PromptTokens: o.PromptTokens,
		FirstToken:   o.FirstToken,
		Ideal:        o.Ideal,
		Took:         o.Took,
		Attempts:     o.Attempts,
	}
}

// startFunc is a service that runs a function when it is started.
type startFunc func()

// Start implements [kernel.Service].
func (s startFunc) Start(context.Context, *kernel.Kernel) error {
	s()
	return nil
}

// Stop implements [kernel.Service].
func (startFunc) Stop(context.Context) error {
	return nil
}
