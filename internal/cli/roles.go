package cli

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hollowgrade/hollowgrade/internal/node"
	"github.com/hollowgrade/hollowgrade/setting"
)

// entryCommand runs an entry.
type entryCommand struct {
	Config setting.Flag `help:"Settings file." placeholder:"FILE"`
	setting.Entry
}

// Run runs the command.
func (c *entryCommand) Run(ctx context.Context, s *streams) error {
	g, err := node.Logger(s.err, c.Verbosity)
	if err != nil {
		return err
	}
	n, err := node.NewEntry(c.Entry, g)
	if err != nil {
		return err
	}
	g.Info("entry starts", "box", c.Box, "callers", n.Callers, "operators", n.Operators, "incarnation", n.Incarnation)
	return runUntil(ctx, n.Node, c.DrainTimeout, g)
}

// agentCommand runs an agent.
type agentCommand struct {
	Config setting.Flag `help:"Settings file." placeholder:"FILE"`
	setting.Agent
}

// Run runs the command.
func (c *agentCommand) Run(ctx context.Context, s *streams) error {
	g, err := node.Logger(s.err, c.Verbosity)
	if err != nil {
		return err
	}
	n, err := node.NewAgent(c.Agent, g)
	if err != nil {
		return err
	}
	g.Info("agent starts", "box", c.Box, "peers", n.Peers, "operators", n.Operators, "incarnation", n.Incarnation)
	return runUntil(ctx, n.Node, c.DrainTimeout, g)
}

// runUntil runs a process until ctx ends, as by SIGTERM, and then drains it.
func runUntil(ctx context.Context, n *node.Node, drain time.Duration, g *log.Logger) error {
	if err := n.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	g.Info("draining", "box", n.Box.Name, "timeout", drain.String())
	c, cancel := context.WithTimeout(context.WithoutCancel(ctx), drain)
	defer cancel()
	err := n.Stop(c)
	g.Info("stopped", "box", n.Box.Name, "err", err)
	return err
}
