package agent

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/config"
	"github.com/hollowgrade/hollowgrade/kernel"
	"github.com/hollowgrade/hollowgrade/sched"
)

// Preparer gets the engine beside this agent ready for events: it fetches the weights through the
// platform's store and orders the engine to load them, before the event starts. Each agent decides
// for itself by its rank among the agents.
type Preparer struct {
	box    string
	clock  hollowgrade.Clock
	logger *log.Logger
	engine hollowgrade.Engine
	store  hollowgrade.WeightStore
	agents func(context.Context) []hollowgrade.Box

	cancel context.CancelFunc
	done   chan struct{}

	mu       sync.Mutex
	config   *config.Config
	prepared map[string]int64 // revision of each event for which the engine is prepared
}

// NewPreparer returns a preparer. The function agents returns the agents' boxes as the platform
// lists them.
func NewPreparer(box string, e hollowgrade.Engine, w hollowgrade.WeightStore, k hollowgrade.Clock, g *log.Logger,
	agents func(context.Context) []hollowgrade.Box,
) *Preparer {
	return &Preparer{
		box: box, engine: e, store: w, clock: k, logger: g, agents: agents,
		done:     make(chan struct{}),
		config:   &config.Config{},
		prepared: map[string]int64{},
	}
}

// SetConfig sets the configuration, which has the events.
func (p *Preparer) SetConfig(c *config.Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.config = c
}

// Start implements [kernel.Service].
func (p *Preparer) Start(context.Context, *kernel.Kernel) error {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go p.loop(ctx)
	return nil
}

// Stop implements [kernel.Service].
func (p *Preparer) Stop(context.Context) error {
	p.cancel()
	<-p.done
	return nil
}

// prepareInterval is the interval between two checks of the events. A fetch that the store refused
// is retried after it.
const prepareInterval = time.Second

func (p *Preparer) loop(ctx context.Context) {
	defer close(p.done)
	for hollowgrade.Sleep(ctx, p.clock, prepareInterval) {
		p.prepareDue(ctx)
	}
}

func (p *Preparer) prepareDue(ctx context.Context) {
	p.mu.Lock()
	events := p.config.Events
	p.mu.Unlock()
	now := p.clock.Now()
	for n, e := range events {
		if p.prepared[n] == e.Revision || now.Before(e.Starts.Add(-time.Duration(e.Prepares))) || !now.Before(e.Ends) {
			continue
		}
		names := liveNames(p.agents(ctx))
		todo, ok := sched.Prepare(n, e.Starts, time.Duration(e.Prepares), e.Models, names, p.box)
		if !ok || now.Before(todo.At) {
			continue
		}
		if err := p.prepare(ctx, todo.Model, e.Revision); err != nil {
			p.logger.Warn("model not loaded yet", "event", n, "model", todo.Model, "err", err)
			continue
		}
		p.prepared[n] = e.Revision
		p.logger.Info("engine is ready for event", "event", n, "model", todo.Model, "fence", e.Revision)
	}
}

// prepare loads one model. The order has the revision of the event as its fence, so that a process
// that was paused cannot undo a later order.
func (p *Preparer) prepare(ctx context.Context, model string, fence int64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l, err := p.engine.Load(ctx)
	if err != nil {
		return err
	}
	if slices.Contains(l.Models, model) {
		return nil
	}
	if p.store == nil {
		return errors.New("no weight store is set")
	}
	if err = p.store.Fetch(ctx, p.box, model); err != nil {
		return err
	}
	return p.engine.Order(ctx, hollowgrade.Order{Fence: fence, Action: hollowgrade.LoadModel, Model: model})
}
