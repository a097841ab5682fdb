package cli

import (
	"context"
	"errors"
	"io"
	stdlog "log"
	"os"
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
func (c *entryCommand) Run(ctx context.Context, s *streams, h Hangups) error {
	w, g, err := openLog(s.err, c.Verbosity)
	if err != nil {
		return err
	}
	defer func() { _ = w.Close() }()
	n, err := node.NewEntry(c.Entry, g)
	if err != nil {
		return err
	}
	if err = n.WatchLog(w); err != nil {
		return err
	}
	go logHangups(ctx, h, g)
	g.Info("entry starts", "box", c.Box, "callers", n.Callers, "operators", n.Operators, "incarnation", n.Incarnation)
	return runUntil(ctx, n.Node, func() time.Duration { return c.DrainTimeout }, g)
}

// agentCommand runs an agent.
type agentCommand struct {
	Config setting.Flag `help:"Settings file." placeholder:"FILE"`
	setting.Agent
}

// Run runs the command.
func (c *agentCommand) Run(ctx context.Context, s *streams, h Hangups) error {
	w, g, err := openLog(s.err, c.Verbosity)
	if err != nil {
		return err
	}
	defer func() { _ = w.Close() }()
	n, err := node.NewAgent(c.Agent, g)
	if err != nil {
		return err
	}
	if err = n.WatchLog(w); err != nil {
		return err
	}
	go logHangups(ctx, h, g)
	g.Info("agent starts", "box", c.Box, "peers", n.Peers, "operators", n.Operators, "incarnation", n.Incarnation)
	return runUntil(ctx, n.Node, func() time.Duration { return c.DrainTimeout }, g)
}

// gatewayCommand runs a gateway.
type gatewayCommand struct {
	Config setting.Flag `help:"Settings file." placeholder:"FILE"`
	setting.Gateway
}

// reloadInterval is how often the settings file is checked for changes without a signal. Changes
// must be in force within seconds.
const reloadInterval = time.Second

// Run runs the command.
func (c *gatewayCommand) Run(ctx context.Context, s *streams, h Hangups, a arguments) error {
	w, g, err := openLog(s.out, c.Verbosity)
	if err != nil {
		return err
	}
	defer func() { _ = w.Close() }()
	n, err := node.NewGateway(c.Gateway, g)
	if err != nil {
		g.Error("gateway does not start", "box", c.Box, "err", err)
		return err
	}
	if err = n.WatchLog(w); err != nil {
		return err
	}
	g.Info("gateway starts", "box", c.Box, "hall", c.Hall, "callers", c.Callers, "readiness", c.Readiness, "peers", c.Peers,
		"operators", n.Operators, "store", c.Store, "incarnation", n.Incarnation)
	l, cancel := context.WithCancel(context.WithoutCancel(ctx)) // settings are also reloaded during a planned stop
	defer cancel()
	go watchSettings(l, string(c.Config), h, func() { _ = n.Reload(a) })
	return runUntil(ctx, n.Node, func() time.Duration { return c.currentGrace(n, a) }, g)
}

// currentGrace returns how long a planned stop that begins now may take. The file may have changed
// since the last check.
func (c *gatewayCommand) currentGrace(n *node.GatewayNode, a arguments) time.Duration {
	if c.Config != "" {
		_ = n.Reload(a)
	}
	return n.Grace()
}

// openLog returns the log of a role, which never blocks it. Messages of libraries go there too, since
// standard error may be a pipe that nobody reads.
func openLog(out io.Writer, verbosity string) (w *node.LogWriter, g *log.Logger, err error) {
	w = node.NewLogWriter(out)
	if g, err = node.Logger(w, verbosity); err != nil {
		return nil, nil, errors.Join(err, w.Close())
	}
	stdlog.SetFlags(0)
	stdlog.SetOutput(g.StandardLog(log.StandardLogOptions{ForceLevel: log.WarnLevel}).Writer())
	return w, g, nil
}

// logHangups says at each SIGHUP that the role doesn't reload its settings.
func logHangups(ctx context.Context, h Hangups, g *log.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h:
			g.Warn("settings not reloaded, this role reads them at its start only")
		}
	}
}

// watchSettings calls reload at each SIGHUP and whenever the file has changed. The first check
// always does: the file may have changed since it was read at the start.
func watchSettings(ctx context.Context, path string, h Hangups, reload func()) {
	if path == "" {
		return
	}
	t := time.NewTicker(reloadInterval)
	defer t.Stop()
	var last fileVersion
	for {
		select {
		case <-ctx.Done():
			return
		case <-h:
		case <-t.C:
			if readFileVersion(path) == last {
				continue
			}
		}
		last = readFileVersion(path)
		reload()
	}
}

// fileVersion identifies a version of a file by its size and modification time.
type fileVersion struct {
	size    int64
	changed time.Time
}

func readFileVersion(path string) (m fileVersion) {
	i, err := os.Stat(path)
	if err != nil {
		return m // the file is being replaced; the next check sees the new one
	}
	return fileVersion{size: i.Size(), changed: i.ModTime()}
}

// runUntil runs a process until ctx ends, such as by SIGTERM, and then drains it for at most the time
// that drain returns at that moment.
func runUntil(ctx context.Context, n *node.Node, drain func() time.Duration, g *log.Logger) error {
	if err := n.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	d := drain()
	g.Info("draining", "box", n.Box.Name, "timeout", d.String())
	c, cancel := context.WithTimeout(context.WithoutCancel(ctx), d)
	defer cancel()
	err := n.Stop(c)
	g.Info("stopped", "box", n.Box.Name, "err", err)
	return err
}
