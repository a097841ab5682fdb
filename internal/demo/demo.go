package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/config"
	"github.com/hollowgrade/hollowgrade/examples"
	"github.com/hollowgrade/hollowgrade/internal/errs"
	"github.com/hollowgrade/hollowgrade/internal/load"
	"github.com/hollowgrade/hollowgrade/measure"
)

// Options are the demo's options.
type Options struct {
	Seed     uint64
	Requests int
	Duration time.Duration
	JSON     bool // print the report as one JSON document
	Keep     bool // serve until ctx ends
	Size     Size
}

// ErrUnaccounted reports that a request has no outcome that its caller received, or a wrong answer.
var ErrUnaccounted = errors.New("not every request is accounted for with its own whole answer")

// eventName is the event of the demo's load.
const eventName = "evening"

// surgeFactor multiplies the request rate during the event, which lasts from a quarter to three
// quarters of the load's duration.
const (
	surgeFactor = 2.0
	stopTimeout = 10 * time.Second
)

// Run runs the demo. It writes the report to out and progress to messages.
func Run(ctx context.Context, o Options, out, messages io.Writer, g *log.Logger) (err error) {
	defer errs.Annotate(&err, "demo")
	m, err := load.ParseMix(examples.Mix(eventName))
	if err != nil {
		return err
	}
	printLine(messages, "starting %d entries, %d engines and their agents in %d data halls", o.Size.Entries, o.Size.Engines, o.Size.Halls)
	f, err := NewFleet(ctx, o.Size, g)
	defer func() {
		c, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		err = errors.Join(err, f.Stop(c))
	}()
	if err != nil {
		return err
	}
	surge := load.Surge{From: o.Duration / 4, To: 3 * o.Duration / 4, Factor: surgeFactor}
	if err = f.Prepare(ctx, m, surge, messages); err != nil {
		return err
	}
	printLine(messages, "sending %d requests in %s, twice as fast from the event's start on", o.Requests, o.Duration)
	r := load.NewRunner(f.URLs(), true)
	r.Progress = func(sent, ended int) { printLine(messages, "sent %d, ended %d", sent, ended) }
	s, err := load.Summarise(r.Run(ctx, m.Draw(o.Requests, o.Duration, surge, o.Seed)))
	if err != nil {
		return err
	}
	if err = f.print(out, s, o.JSON); err != nil {
		return err
	}
	if o.Keep {
		f.serveUntilDone(ctx, m, messages)
	}
	if s.Ended != s.Sent || s.Wrong > 0 {
		return ErrUnaccounted
	}
	return nil
}

func printLine(w io.Writer, format string, args ...any) {
	fmt.Fprintf(w, format+"\n", args...)
}

// Prepare publishes the configuration that the mix needs, and waits until it is in force on all
// boxes.
func (f *Fleet) Prepare(ctx context.Context, m load.Mix, s load.Surge, messages io.Writer) (err error) {
	defer errs.Annotate(&err, "prepare")
	var last int64
	for _, i := range items(m, s, f.clock.Now()) {
		if last, err = config.Publish(ctx, f.Log, i.kind, i.name, i.body, config.CurrentRevision); err != nil {
			return err
		}
	}
	printLine(messages, "published policies and an event, revision %d", last)
	at := f.clock.Now()
	if err = f.awaitRevision(ctx, last); err != nil {
		return err
	}
	printLine(messages, "in force on %d boxes after %s", len(f.Entries)+len(f.Agents), f.clock.Since(at).Round(time.Millisecond))
	return nil
}

type item struct {
	kind, name string
	body       any
}

// items returns the published configuration: policies, models, services, organisations, objectives
// and the event.
func items(m load.Mix, s load.Surge, now time.Time) (is []item) {
	for _, p := range []string{"sao-bien", "korrigan"} {
		is = append(is, item{config.PolicyKind, p, config.Policy{Name: p, Text: examples.Policy(p)}})
	}
	is = append(is, item{config.PolicyKind, config.DefaultPolicy, config.Policy{Name: config.DefaultPolicy, Text: examples.Policy("korrigan")}})
	for _, o := range m.Organisations {
		is = append(is, item{config.OrganisationKind, o.Name, organisation(o)})
	}
	seen := map[string]bool{}
	for _, k := range m.Kinds {
		switch n := k.Model + k.Service; {
		case seen[n]:
			continue
		case k.Model != "":
			is = append(is, item{config.ModelKind, n, config.Model{Name: n}})
		default:
			is = append(is, item{config.ServiceKind, n, config.Service{Name: n}})
		}
		seen[k.Model+k.Service] = true
	}
	is = append(is, objectives()...)
	return append(is, item{config.EventKind, m.Event, config.Event{
		Name:   m.Event,
		Starts: now.Add(s.From),
		Ends:   now.Add(s.To),
		Models: []string{Model},
	}})
}

func organisation(o load.Organisation) config.Organisation {
	p := "sao-bien"
	if strings.HasPrefix(o.Name, "club") {
		p = "korrigan"
	}
	return config.Organisation{Name: o.Name, Keys: []string{config.KeyDigest(o.Key)}, Policy: p}
}

func objectives() []item {
	short := config.Objective{
		Name: "short-first-token", MaxPrompt: measure.MaxShortPromptTokens,
		FirstToken: config.Duration(420 * time.Millisecond), Share: 0.95,
	}
	finish := config.Objective{Name: "finished", Share: 0.99}
	return []item{{config.ObjectiveKind, short.Name, short}, {config.ObjectiveKind, finish.Name, finish}}
}

const revisionPollInterval = 20 * time.Millisecond

// awaitRevision waits until a revision is in force on each box, all boxes are ready, and each range
// of idempotency keys has a keeper.
func (f *Fleet) awaitRevision(ctx context.Context, revision int64) error {
	for !f.inForce(revision) {
		if !hollowgrade.Sleep(ctx, f.clock, revisionPollInterval) {
			return ctx.Err()
		}
	}
	return nil
}

func (f *Fleet) inForce(revision int64) bool {
	for _, a := range f.Agents {
		if ok, _ := a.Agent.Ready(); !ok || a.Revision() < revision {
			return false
		}
	}
	for _, e := range f.Entries {
		if ok, _ := e.Entry.Ready(); !ok || e.Revision() < revision || !e.Entry.Complete(len(f.Agents)) {
			return false
		}
	}
	return true
}

// document is the demo's result as JSON.
type document struct {
	Callers load.Summary   `json:"callers"`
	Fleet   measure.Report `json:"fleet"`
	Lost    int            `json:"memory_lost_tokens"`
}

// print prints the results as the callers and as the entries recorded them.
func (f *Fleet) print(w io.Writer, s load.Summary, asJSON bool) error {
	var ss []measure.Snapshot
	for _, e := range f.Entries {
		ss = append(ss, e.Snapshot())
	}
	r, err := measure.Merge(ss)
	if err != nil {
		return err
	}
	d := document{Callers: s, Fleet: r, Lost: f.lostTokens()}
	if asJSON {
		j := json.NewEncoder(w)
		j.SetIndent("", "  ")
		return j.Encode(d)
	}
	printLine(w, "As the callers saw it: %d sent, %d accounted for, %d wrong answers; engine memory lost: %d tokens",
		s.Sent, s.Ended, s.Wrong, d.Lost)
	for _, x := range s.Samples {
		printLine(w, "  %s", x)
	}
	printLine(w, "\nAs the entries recorded it:")
	return r.WriteText(w)
}

func (f *Fleet) lostTokens() (n int) {
	for _, a := range f.Agents {
		n += a.Agent.OrphanTokens()
	}
	return n
}

// serveUntilDone prints how to call the fleet, and returns when ctx ends.
func (f *Fleet) serveUntilDone(ctx context.Context, m load.Mix, w io.Writer) {
	k := m.Organisations[0].Key
	printLine(w, "listening on %s, a key is %s; try:", f.URLs()[0], k)
	printLine(w, `curl -sN %s/v1/completions -H 'Authorization: Bearer %s' -H 'Hollowgrade-Kind: draft' -d '{"model":"%s","prompt":"Write a line","max_tokens":8,"stream":true}'`,
		f.URLs()[0], k, Model)
	report := "hollowgrade report"
	for _, e := range f.Entries {
		report += " --box " + e.Operators
	}
	printLine(w, "%s", report)
	<-ctx.Done()
}
