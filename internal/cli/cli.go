// Package cli implements the command line of hollowgrade.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/fault"
	"github.com/hollowgrade/hollowgrade/internal/node"
	"github.com/hollowgrade/hollowgrade/setting"
)

// Exit codes, documented in docs/operators/command-line.md.
const (
	exitOK      = 0
	exitFailure = 1 // the command ran and failed
	exitUsage   = 2 // arguments, settings or a published item are wrong
	exitLost    = 3 // another change was published first
	exitUnknown = 4 // it is not known whether the change was published
)

// commands lists all commands.
type commands struct {
	Entry      entryCommand      `cmd:"" help:"Serve callers."`
	Agent      agentCommand      `cmd:"" help:"Serve entries beside one upstream."`
	Gateway    gatewayCommand    `cmd:"" help:"Serve callers of the platform in front of its upstreams."`
	Config     configCommand     `cmd:"" help:"Check settings; publish and look at the configuration."`
	Policy     policyCommand     `cmd:"" help:"Check, compare, publish and show policies."`
	Event      eventCommand      `cmd:"" help:"Create, list and show events."`
	Report     reportCommand     `cmd:"" help:"Report on service levels, from the boxes' own records."`
	Quarantine quarantineCommand `cmd:"" help:"Look at requests that are held since upstreams ended under them."`
	Losses     lossesCommand     `cmd:"" help:"Tell from the logs of gateways which calls were lost or late, and why."`
	Explain    explainCommand    `cmd:"" help:"Explain a code or a setting."`
	Experiment experimentCommand `cmd:"" help:"Play a fleet in virtual time and compare ways of deciding."`
	Load       loadCommand       `cmd:"" help:"Send a load to running entries."`
	Demo       demoCommand       `cmd:"" help:"Run one event with all roles and stand-ins in one process."`
}

// streams holds the writers for a command's output and messages.
type streams struct {
	out, err io.Writer
}

// arguments are those of the command line.
type arguments []string

// Hangups delivers each SIGHUP, or one for several that arrive together.
type Hangups <-chan os.Signal

// roleSignals are received by roles only. Operators' commands keep their default action.
var roleSignals = []os.Signal{syscall.SIGHUP, syscall.SIGPIPE, syscall.SIGQUIT, syscall.SIGABRT}

// NotifySignals receives the signals that would end the process by their default action, until it
// exits. The context ends with the first SIGINT, SIGTERM, SIGQUIT or SIGABRT; later ones have no
// effect. Call it before anything else.
func NotifySignals() (context.Context, Hangups) {
	h := make(chan os.Signal, 1)
	signal.Notify(h, syscall.SIGHUP)
	// Nobody reads the channel: receiving the signal is enough to turn off its default action.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGPIPE)
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM, syscall.SIGQUIT, syscall.SIGABRT)
	return ctx, h
}

// Run runs the command line and returns the exit code. The context and h are those of
// [NotifySignals].
func Run(ctx context.Context, h Hangups, args []string, out, messages io.Writer) int {
	code := exitOK
	exited := false
	k, err := kong.New(&commands{},
		kong.Name("hollowgrade"),
		kong.Description("A serving layer for events with a fixed start."),
		kong.DefaultEnvars(setting.EnvPrefix),
		kong.Writers(out, messages),
		kong.Exit(func(c int) { code, exited = c, true }),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Bind(h, arguments(args)),
		kong.Bind(&streams{out: out, err: messages}))
	if err != nil {
		fmt.Fprintln(messages, "hollowgrade:", err)
		return exitUsage
	}
	if startsRole(args) {
		w := node.NewLogWriter(messages) // a blocked output must not block the exit
		defer func() { _ = w.Close() }()
		messages = w
	} else {
		signal.Reset(roleSignals...)
	}
	c, err := k.Parse(args)
	if exited {
		return code
	}
	if err != nil {
		fmt.Fprintln(messages, "hollowgrade:", err)
		return exitUsage
	}
	if err = c.Run(); err != nil {
		fmt.Fprintln(messages, "hollowgrade:", err)
		return exitCode(err)
	}
	return exitOK
}

// startsRole reports whether a command line starts a role that serves callers or entries.
func startsRole(args []string) bool {
	if len(args) == 0 || slices.Contains(args, "--help") || slices.Contains(args, "-h") {
		return false
	}
	_, ok := setting.Roles()[hollowgrade.Role(args[0])]
	return ok
}

func exitCode(err error) int {
	var f *fault.Error
	if !errors.As(err, &f) {
		return exitFailure
	}
	switch f.Code {
	case fault.BadSetting, fault.BadPolicy:
		return exitUsage
	case fault.LostRace:
		return exitLost
	case fault.PublishUnknown:
		return exitUnknown
	default:
		return exitFailure
	}
}
