package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/config"
	"github.com/hollowgrade/hollowgrade/fault"
	"github.com/hollowgrade/hollowgrade/fold"
	"github.com/hollowgrade/hollowgrade/internal/errs"
	"github.com/hollowgrade/hollowgrade/policy"
	"github.com/hollowgrade/hollowgrade/standalone"
)

// target selects the log that operators' commands work on.
type target struct {
	PlatformLog string        `help:"Base URL of the platform's log." required:""`
	Timeout     time.Duration `help:"How long to wait for the log." default:"10s"`
}

func (t target) log() hollowgrade.Log {
	return standalone.NewLog(t.PlatformLog, nil)
}

func (t target) context(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, t.Timeout)
}

// item reads one item of the configuration.
func (t target) item(ctx context.Context, kind, name string) (i fold.Item, err error) {
	ctx, cancel := t.context(ctx)
	defer cancel()
	s, err := fold.Load(ctx, t.log())
	if err != nil {
		return i, err
	}
	i, ok := s.Item(kind, name)
	if !ok {
		return i, fmt.Errorf("there is no %s %q", kind, name)
	}
	return i, nil
}

func (t target) items(ctx context.Context, kind string) (is []fold.Item, err error) {
	ctx, cancel := t.context(ctx)
	defer cancel()
	s, err := fold.Load(ctx, t.log())
	return s.Items(kind), err
}

func (t target) publish(ctx context.Context, out io.Writer, kind, name string, body any, replaces int64) error {
	ctx, cancel := t.context(ctx)
	defer cancel()
	r, err := config.Publish(ctx, t.log(), kind, name, body, replaces)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s %s is published at revision %d\n", kind, name, r)
	return nil
}

func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// policyCommand groups the commands about policies.
type policyCommand struct {
	Check   policyCheck   `cmd:"" help:"Check a policy without publishing it."`
	Diff    policyDiff    `cmd:"" help:"Show what would change for sample requests."`
	Publish policyPublish `cmd:"" help:"Publish a policy."`
	Show    policyShow    `cmd:"" help:"Show a policy that is published."`
}

// readPolicy compiles the policy in a file.
func readPolicy(path string) (p *policy.Program, err error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return policy.Compile(path, string(b))
}

type policyCheck struct {
	File string `arg:"" help:"File with the policy."`
}

// Run runs the command.
func (c *policyCheck) Run(s *streams) error {
	p, err := readPolicy(c.File)
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "%s: compiles, and answers %d sample requests\n", p.Name(), len(policy.Samples()))
	return nil
}

type policyDiff struct {
	target
	Name string `arg:"" help:"Name of the published policy."`
	File string `arg:"" help:"File with the new policy."`
}

// Run runs the command.
func (c *policyDiff) Run(ctx context.Context, s *streams) (err error) {
	defer errs.Annotate(&err, "policy diff")
	n, err := readPolicy(c.File)
	if err != nil {
		return err
	}
	i, err := c.item(ctx, config.PolicyKind, c.Name)
	if err != nil {
		return err
	}
	old, err := compilePublished(i)
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "%s is at revision %d\n", c.Name, i.Revision)
	return diffSamples(s.out, old, n)
}

func compilePublished(i fold.Item) (p *policy.Program, err error) {
	var v config.Policy
	if err = json.Unmarshal(i.Body, &v); err != nil {
		return nil, err
	}
	return policy.Compile(i.Name, v.Text)
}

func diffSamples(w io.Writer, old, next *policy.Program) error {
	changed := 0
	for _, s := range policy.Samples() {
		a, err := old.Decide(s.Input)
		if err != nil {
			return err
		}
		b, err := next.Decide(s.Input)
		if err != nil {
			return err
		}
		if a != b {
			changed++
			fmt.Fprintf(w, "%s\n- %s\n+ %s\n", strings.TrimSpace(s.Title), formatDecision(a), formatDecision(b))
		}
	}
	fmt.Fprintf(w, "%d of %d sample requests change\n", changed, len(policy.Samples()))
	return nil
}

func formatDecision(d hollowgrade.Decision) string {
	return fmt.Sprintf("class %s, priority %d, allowed %s, may wait %t, repeatable %t, share %v",
		d.Class, d.Priority, d.Allowed, d.MayWait, d.Repeatable, d.Share)
}

type policyPublish struct {
	target
	Name     string `arg:"" help:"Name of the policy; organisations refer to it, and those that name none use 'default'."`
	File     string `arg:"" help:"File with the policy."`
	Replaces int64  `help:"Revision that the change was made from; whatever is current if not given." default:"-1"`
}

// Run runs the command.
func (c *policyPublish) Run(ctx context.Context, s *streams) error {
	p, err := readPolicy(c.File)
	if err != nil {
		return err
	}
	return c.publish(ctx, s.out, config.PolicyKind, c.Name, config.Policy{Name: c.Name, Text: p.Text()}, c.Replaces)
}

type policyShow struct {
	target
	Name string `arg:"" optional:"" help:"Name of the policy; all are listed if not given."`
}

// Run runs the command.
func (c *policyShow) Run(ctx context.Context, s *streams) error {
	if c.Name == "" {
		return listItems(ctx, c.target, s.out, config.PolicyKind)
	}
	i, err := c.item(ctx, config.PolicyKind, c.Name)
	if err != nil {
		return err
	}
	var v config.Policy
	if err = json.Unmarshal(i.Body, &v); err != nil {
		return err
	}
	fmt.Fprintf(s.out, "// %s, revision %d, by %s\n%s", c.Name, i.Revision, i.Author, v.Text)
	return nil
}

func listItems(ctx context.Context, t target, w io.Writer, kind string) error {
	is, err := t.items(ctx, kind)
	if err != nil {
		return err
	}
	for _, i := range is {
		fmt.Fprintf(w, "%s\trevision %d\tby %s\n", i.Name, i.Revision, i.Author)
	}
	return nil
}

// eventCommand groups the commands about events.
type eventCommand struct {
	Create eventCreate `cmd:"" help:"Create or change an event."`
	List   eventList   `cmd:"" help:"List events."`
	Show   eventShow   `cmd:"" help:"Show an event."`
}

type eventCreate struct {
	target
	Name     string        `arg:"" help:"Name of the event; callers name it in a header."`
	Starts   time.Time     `help:"Start, as 2026-12-05T19:00:00Z." required:""`
	Lasts    time.Duration `help:"How long it lasts." required:""`
	Models   []string      `help:"Models that must be loaded at its start."`
	Prepares time.Duration `help:"How long before the start loading begins." default:"10m"`
	Replaces int64         `help:"Revision that the change was made from; whatever is current if not given." default:"-1"`
}

// Run runs the command.
func (c *eventCreate) Run(ctx context.Context, s *streams) error {
	if c.Lasts <= 0 {
		return fault.New(fault.BadSetting, "lasts is %s, it must be above 0", c.Lasts)
	}
	return c.publish(ctx, s.out, config.EventKind, c.Name, config.Event{
		Name:     c.Name,
		Starts:   c.Starts,
		Ends:     c.Starts.Add(c.Lasts),
		Models:   c.Models,
		Prepares: config.Duration(c.Prepares),
	}, c.Replaces)
}

type eventList struct {
	target
}

// Run runs the command.
func (c *eventList) Run(ctx context.Context, s *streams) error {
	is, err := c.items(ctx, config.EventKind)
	if err != nil {
		return err
	}
	for _, i := range is {
		var e config.Event
		if err = json.Unmarshal(i.Body, &e); err != nil {
			return err
		}
		fmt.Fprintf(s.out, "%s\t%s to %s\t%s\trevision %d\n", e.Name,
			e.Starts.Format(time.RFC3339), e.Ends.Format(time.RFC3339), e.Phase(time.Now()), i.Revision)
	}
	return nil
}

type eventShow struct {
	target
	Name string `arg:"" help:"Name of the event."`
}

// Run runs the command.
func (c *eventShow) Run(ctx context.Context, s *streams) error {
	i, err := c.item(ctx, config.EventKind, c.Name)
	if err != nil {
		return err
	}
	return writeJSON(s.out, i)
}
