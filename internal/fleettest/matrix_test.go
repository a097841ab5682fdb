package fleettest

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"regexp"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/config"
	"github.com/hollowgrade/hollowgrade/fault"
)

// step is a point in the processing of a request. Its time is measured in a run of the same request
// without faults, which virtual time makes repeatable.
type step struct {
	name string
	at   func(timeline) time.Duration // since the request was sent
}

// timeline holds the times of a run without faults, since the request was sent.
type timeline struct {
	started, first, ended time.Duration
	box                   int // index of the agent that ran it
}

const (
	boxDelay    = 1500 * time.Microsecond // one-way, between boxes
	callerDelay = time.Millisecond        // one-way, between a caller and an entry
)

var steps = []step{
	{"admit", func(timeline) time.Duration { return callerDelay / 2 }},
	{"place", func(timeline) time.Duration { return callerDelay + boxDelay/2 }},
	{"offer", func(l timeline) time.Duration { return l.started - 3*boxDelay/4 }},
	{"queue", func(l timeline) time.Duration { return l.started - 50*time.Microsecond }},
	{"start", func(l timeline) time.Duration { return l.started + 50*time.Microsecond }},
	{"first token", func(l timeline) time.Duration { return l.first - callerDelay - boxDelay/2 }},
	{"mid stream", func(l timeline) time.Duration { return (l.first + l.ended) / 2 }},
	{"last frame", func(l timeline) time.Duration { return l.ended - callerDelay - boxDelay/2 }},
	{"record", func(l timeline) time.Duration { return l.ended + boxDelay/2 }},
}

// faultSpec is a fault to inject, and how to end it.
type faultSpec struct {
	name     string
	inject   func(c *cell)
	repair   func(c *cell)
	duration time.Duration
	// entryReplies is whether the entry can still send to the caller.
	entryReplies bool
	// planned is whether the fault is a planned stop, which must not interrupt requests.
	planned bool
}

const (
	shortFault = 2 * time.Second
	longFault  = 4 * time.Second // exceeds the lease on a key range
)

func noRepair(*cell) {}

var faultSpecs = []faultSpec{
	{name: "kill entry", inject: func(c *cell) { c.fleet.KillEntry(0) }, repair: func(c *cell) { c.fleet.StartEntry("entry-2") }, duration: shortFault},
	{name: "kill agent", inject: func(c *cell) { c.fleet.KillAgent(c.box) }, repair: noRepair, entryReplies: true},
	{name: "kill agent and replace it", inject: func(c *cell) { c.fleet.KillAgent(c.box) }, repair: replaceAgent, duration: shortFault, entryReplies: true},
	{name: "kill keeper", inject: func(c *cell) { c.fleet.KillAgent(c.keeper) }, repair: unlistKeeper, duration: shortFault, entryReplies: true},
	{name: "kill upstream", inject: func(c *cell) { c.fleet.KillUpstream(c.box) }, repair: noRepair, entryReplies: true},
	{name: "cut caller from entry", inject: cutLink(Caller, func(*cell) string { return EntryName(0) }), repair: restoreLink(Caller, func(*cell) string { return EntryName(0) }), duration: shortFault},
	{name: "cut entry from agent", inject: cutLink(EntryName(0), boxName), repair: restoreLink(EntryName(0), boxName), duration: shortFault, entryReplies: true},
	{name: "cut agent from upstream", inject: cutUpstream, repair: restoreUpstream, duration: shortFault, entryReplies: true},
	{name: "freeze entry", inject: func(c *cell) { c.fleet.Entries[0].Freezer.Set(true) }, repair: func(c *cell) { c.fleet.Entries[0].Freezer.Set(false) }, duration: longFault},
	{name: "freeze agent", inject: func(c *cell) { c.fleet.Agents[c.box].Freezer.Set(true) }, repair: func(c *cell) { c.fleet.Agents[c.box].Freezer.Set(false) }, duration: longFault, entryReplies: true},
	{name: "freeze keeper past its lease", inject: func(c *cell) { c.freezeKeeper() }, repair: func(c *cell) { c.fleet.Agents[c.keeper].Freezer.Set(false) }, duration: 4 * longFault, entryReplies: true},
	{name: "freeze upstream", inject: freezeUpstream(true), repair: freezeUpstream(false), duration: longFault, entryReplies: true},
	{name: "log down", inject: func(c *cell) { c.fleet.Log.SetOutage(true) }, repair: func(c *cell) { c.fleet.Log.SetOutage(false) }, duration: longFault, entryReplies: true},
	{name: "log loses answers of racing operators", inject: raceOperators, repair: noRepair, entryReplies: true},
	{name: "list lags behind a replaced agent", inject: func(c *cell) { c.fleet.Boxes.Freeze(true); c.fleet.KillAgent(c.box) }, repair: replaceAgent, duration: shortFault, entryReplies: true},
	{name: "drain entry", inject: func(c *cell) { c.plannedStops.Go(func() { _ = c.fleet.Entries[0].Stop(c.stopContext()) }) }, repair: noRepair, entryReplies: true, planned: true},
	{name: "drain agent", inject: drainAgent, repair: noRepair, entryReplies: true, planned: true},
}

func boxName(c *cell) string { return c.fleet.Agents[c.box].Name }

func cutLink(a string, b func(*cell) string) func(*cell) {
	return func(c *cell) { c.fleet.Network.Cut(a, b(c)) }
}

func restoreLink(a string, b func(*cell) string) func(*cell) {
	return func(c *cell) { c.fleet.Network.Heal(a, b(c)) }
}

func cutUpstream(c *cell) {
	if a := c.fleet.Agents[c.box]; a.Link != nil {
		a.Link.SetCut(true)
	} else {
		c.fleet.Network.Cut(a.Name, UpstreamOf(a.Name))
	}
}

func restoreUpstream(c *cell) {
	if a := c.fleet.Agents[c.box]; a.Link != nil {
		a.Link.SetCut(false)
	} else {
		c.fleet.Network.Heal(a.Name, UpstreamOf(a.Name))
	}
}

func freezeUpstream(on bool) func(*cell) {
	return func(c *cell) {
		if a := c.fleet.Agents[c.box]; a.Engine != nil {
			a.Engine.Freeze(on)
		} else {
			c.fleet.Network.Freezer(UpstreamOf(a.Name)).Set(on)
		}
	}
}

// replaceAgent starts another agent process for the same upstream, at the same address.
func replaceAgent(c *cell) {
	c.fleet.ReplaceAgent(c.box)
}

func unlistKeeper(c *cell) {
	c.fleet.Unlist(c.fleet.Agents[c.keeper].Name)
}

func drainAgent(c *cell) {
	a := c.fleet.Agents[c.box]
	c.leavingSince[a.Name] = time.Now()
	c.fleet.Boxes.Freeze(true)
	c.fleet.Unlist(a.Name)
	// The result doesn't wait for it: a process that is killed while it drains never stops.
	c.plannedStops.Go(func() { c.fleet.StopAgent(c.stopContext(), a) })
}

// raceOperators publishes two changes of one item concurrently, while the log accepts appends and
// loses its replies. At most one may succeed.
func raceOperators(c *cell) {
	c.fleet.Log.LoseAnswers(2)
	errs := make([]error, 2)
	var g sync.WaitGroup
	for i := range errs {
		g.Go(func() {
			o := config.Organisation{Name: "raced", Keys: []string{config.KeyDigest(fmt.Sprint(i))}}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, errs[i] = config.Publish(ctx, c.fleet.Log, config.OrganisationKind, "raced", o, 0)
		})
	}
	c.runTracked(func() {
		g.Wait()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.publishErrors = append(c.publishErrors, errs...)
	})
}

// kind is a kind of request in the matrix.
type kind struct {
	name string
	call Call
	mint bool // whether an agent mints its key first
}

var kinds = []kind{
	{"repeatable", Call{Organisation: "a", Kind: "short", Prompt: strings.Repeat("abcd", 1000), Tokens: 24}, false},
	{"in pieces", Call{Organisation: "a", Kind: "short", Prompt: strings.Repeat("efgh", 10_000), Tokens: 24}, false},
	{"over two engines", Call{Organisation: "a", Kind: "long", Prompt: strings.Repeat("ijkl", 24_000), Tokens: 24}, false},
	{"once", Call{Organisation: "a", Kind: "once", Prompt: strings.Repeat("mnop", 500), Tokens: 24, Key: "key-1"}, false},
	{"once in pieces", Call{Organisation: "a", Kind: "once", Prompt: strings.Repeat("qrst", 12_000), Tokens: 24, Key: "key-3"}, false},
	{"once with a minted key", Call{Organisation: "a", Kind: "once", Prompt: strings.Repeat("uvwx", 500), Tokens: 24}, true},
	{"once at a service", Call{Organisation: "a", Kind: "once", Prompt: "receipt", Service: true, Key: "key-2"}, false},
	{"repeatable at a service", Call{Organisation: "a", Kind: "short", Prompt: "lookup", Service: true}, false},
}

// cell is one run of the matrix: a request, and faults at steps of its processing.
type cell struct {
	fleet         *Fleet
	kind          kind
	box           int // index of the agent that serves the request
	keeper        int // index of the agent that owns its key
	leavingSince  map[string]time.Time
	publishErrors []error
	// mustFinish is whether the request has to finish instead of failing cleanly: it is repeatable, and
	// after the only fault its entry can still reply.
	mustFinish bool

	tracked      sync.WaitGroup // goroutines that the result waits for
	plannedStops sync.WaitGroup // stops that the result does not wait for
	mu           sync.Mutex
}

type timedFault struct {
	step  step
	fault faultSpec
}

func (c *cell) runTracked(f func()) {
	c.tracked.Go(f)
}

func (c *cell) stopContext() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	context.AfterFunc(ctx, cancel)
	return ctx
}

// freezeKeeper freezes the keeper and removes it from the list, as the platform does with a box that
// doesn't respond.
func (c *cell) freezeKeeper() {
	c.fleet.Agents[c.keeper].Freezer.Set(true)
	c.fleet.Unlist(c.fleet.Agents[c.keeper].Name)
}

func matrixConfig() Config {
	c := Small()
	c.BoxDelay, c.HallDelay, c.CallerDelay = boxDelay, boxDelay, callerDelay
	return c
}

const (
	maxResends  = 8
	minRecovery = 4 * time.Second  // for sweeps, and agents that take over
	maxRecovery = 25 * time.Second // until leases have expired
)

// resend repeats a call that has a key, at the other entry, until its outcome is known. Calls without
// a key aren't repeated, since that would test nothing more.
func (c *cell) resend(a Answer) (as []Answer) {
	for n := 0; n < maxResends && c.kind.call.Key != "" && a.Outcome != hollowgrade.Finished && a.Outcome != hollowgrade.Failed; n++ {
		time.Sleep(max(time.Duration(a.RetryAfter*float64(time.Second)), 500*time.Millisecond))
		d := c.kind.call
		d.Entry = 1
		d.Allowed = 5 * time.Second
		a = c.fleet.Do(context.Background(), d)
		as = append(as, a)
	}
	return as
}

// waitForRecovery waits until leases and sweeps have released all memory, or for as long as they may
// take. Memory that is reserved after that is lost.
func (c *cell) waitForRecovery() {
	time.Sleep(minRecovery)
	for began := time.Now(); time.Since(began) < maxRecovery; time.Sleep(time.Second) {
		if len(c.fleet.Collect().checkMemory()) == 0 {
			return
		}
	}
}

// run sends the request, injects the faults and returns the evidence.
func (c *cell) run(l timeline, faults []timedFault) Evidence {
	f := c.fleet
	if c.kind.mint {
		c.kind.call.Key = f.Mint(0, c.kind.call.Organisation)
	}
	c.leavingSince = map[string]time.Time{}
	c.box, c.keeper = l.box, c.keeperOf()
	began := time.Now()
	call := c.kind.call
	call.Allowed = 20 * time.Second
	for _, b := range faults {
		c.runTracked(func() {
			time.Sleep(time.Until(began.Add(b.step.at(l))))
			c.mu.Lock()
			b.fault.inject(c)
			c.mu.Unlock()
			time.Sleep(b.fault.duration)
			c.mu.Lock()
			b.fault.repair(c)
			c.mu.Unlock()
		})
	}
	watched := f.watchRevisions()
	ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
	defer cancel()
	a := f.Do(ctx, call)
	as := append([]Answer{a}, c.resend(a)...)
	c.tracked.Wait()
	c.waitForRecovery()
	e := f.Collect()
	e.Answers, e.LeavingSince, e.Revisions = as, c.leavingSince, watched()
	e.LateRevisions = f.lateRevisions()
	e.Excused, e.Planned = map[string]bool{}, len(faults) > 0
	for _, b := range faults {
		e.Planned = e.Planned && b.fault.planned
		if !b.fault.entryReplies {
			e.Excused[call.Prompt] = true
		}
	}
	return e
}

func (c *cell) keeperOf() int {
	return c.fleet.keeperOf(c.kind.call.Organisation, c.kind.call.Key)
}

// check returns the violations that the evidence shows, and those that only the matrix can detect: at
// most one of two concurrent publishers may succeed, and the other has to receive a definite error.
func (c *cell) check(e Evidence) (bs []Violation) {
	bs = e.Violations()
	if c.mustFinish && e.Answers[0].Outcome != hollowgrade.Finished {
		a := e.Answers[0]
		bs = append(bs, Violation{"a repeatable request survives a single fault", fmt.Sprintf("it ended as %q with %s %s", a.Outcome, a.Code, a.Message)})
	}
	won := 0
	for _, err := range c.publishErrors {
		var f *fault.Error
		switch {
		case err == nil:
			won++
		case !errors.As(err, &f):
			bs = append(bs, Violation{NeverReverts, "publishing a change had no definite result: " + err.Error()})
		}
	}
	if won > 1 {
		bs = append(bs, Violation{NeverReverts, "both concurrent changes were reported as published"})
	}
	return bs
}

// inMatrix runs one cell in its own bubble.
func inMatrix(t *testing.T, k kind, l timeline, faults []timedFault) (e Evidence, bs []Violation) {
	t.Helper()
	defer runtime.GC()
	defer runtime.GC()
	synctest.Test(t, func(t *testing.T) {
		f := New(matrixConfig())
		c := &cell{fleet: f, kind: k}
		defer c.plannedStops.Wait()
		defer f.Stop()
		require.NoError(t, f.Prepare("a", "b"))
		c.mustFinish = len(faults) == 1 && faults[0].fault.entryReplies && k.call.Key == "" && !k.mint
		e = c.run(l, faults)
		bs = c.check(e)
	})
	return e, bs
}

// measureTimeline measures the steps of a request without faults.
func measureTimeline(t *testing.T, k kind) (l timeline) {
	t.Helper()
	e, bs := inMatrix(t, k, timeline{}, nil)
	require.Empty(t, bs)
	require.Len(t, e.Answers, 1)
	a := e.Answers[0]
	require.Equal(t, hollowgrade.Finished, a.Outcome, "%s %s", a.Code, a.Message)
	rs := e.runsOf(a)
	require.NotEmpty(t, rs)
	last := rs[0]
	for _, r := range rs {
		if r.At.After(last.At) {
			last = r
		}
	}
	l.started, l.ended = last.At.Sub(a.Sent), a.Took()
	l.first = l.ended
	if !a.First.IsZero() {
		l.first = a.First.Sub(a.Sent)
	}
	_, err := fmt.Sscanf(last.Box[strings.LastIndex(last.Box, "-")+1:], "%d", &l.box)
	require.NoError(t, err)
	if k.call.Service {
		l.box += matrixConfig().Engines
	}
	return l
}

// faultPairs is the number of cells with two faults: a sample with a fixed seed, since all pairs at
// all steps would be some 140,000 cells.
const faultPairs = 400

// job is the kind of request and the faults of one cell.
type job struct {
	kind   kind
	faults []timedFault
}

func (j job) String() string {
	var ss []string
	for _, b := range j.faults {
		ss = append(ss, b.step.name+": "+b.fault.name)
	}
	return j.kind.name + ", " + strings.Join(ss, ", ")
}

// matrixCells lists the cells: every fault at every step for each kind of request, and a sample of
// the pairs.
func matrixCells() (js []job) {
	for _, k := range kinds {
		for _, s := range steps {
			for _, x := range faultSpecs {
				js = append(js, job{k, []timedFault{{s, x}}})
			}
		}
	}
	r := rand.New(rand.NewPCG(1, 1))
	draw := func() timedFault { return timedFault{steps[r.IntN(len(steps))], faultSpecs[r.IntN(len(faultSpecs))]} }
	for range faultPairs {
		js = append(js, job{kinds[r.IntN(len(kinds))], []timedFault{draw(), draw()}})
	}
	return js
}

// The matrix runs in several processes of this test's binary, since one bubble of virtual time uses
// at most one core. The parent adds up their results.
const (
	shardEnv = "HOLLOWGRADE_MATRIX_SHARD"
	shards   = 8
)

var shardLine = regexp.MustCompile(`(?m)^shard: cells (\d+), broken (\d+)$`)

func TestFaultMatrix(t *testing.T) {
	if s := os.Getenv(shardEnv); s != "" {
		n, err := strconv.Atoi(s)
		require.NoError(t, err)
		runShard(t, n)
		return
	}
	exe, err := os.Executable()
	require.NoError(t, err)
	outs := make([][]byte, shards)
	var g sync.WaitGroup
	for i := range shards {
		g.Go(func() {
			c := exec.Command(exe, "-test.run=^TestFaultMatrix$", "-test.timeout=20m")
			c.Env = append(os.Environ(), fmt.Sprintf("%s=%d", shardEnv, i))
			o, err := c.CombinedOutput()
			outs[i] = fmt.Appendf(o, "%v\n", err)
		})
	}
	g.Wait()
	cells, broken := 0, 0
	for i, o := range outs {
		m := shardLine.FindSubmatch(o)
		if m == nil || string(m[2]) != "0" {
			assert.Fail(t, "shard failed", "shard %d:\n%s", i, o)
		}
		if m != nil {
			cells += parseNumber(t, m[1])
			broken += parseNumber(t, m[2])
		}
	}
	assert.Equal(t, len(matrixCells()), cells)
	fmt.Printf("single faults: every step by every fault for %d kinds of request, no cell left out; pairs: a sample of %d, seed 1\n", len(kinds), faultPairs)
	fmt.Printf("cells %d, held %d, broken %d\n", cells, cells-broken, broken)
}

func parseNumber(t *testing.T, b []byte) int {
	t.Helper()
	n, err := strconv.Atoi(string(b))
	require.NoError(t, err)
	return n
}

func runShard(t *testing.T, n int) {
	t.Helper()
	timelines := map[string]timeline{}
	for _, k := range kinds {
		timelines[k.name] = measureTimeline(t, k)
	}
	cells, broken := 0, 0
	for i, j := range matrixCells() {
		if i%shards != n {
			continue
		}
		_, bs := inMatrix(t, j.kind, timelines[j.kind.name], j.faults)
		cells++
		if len(bs) > 0 {
			broken++
		}
		for _, b := range bs {
			assert.Fail(t, b.String(), j.String())
		}
	}
	fmt.Printf("shard: cells %d, broken %d\n", cells, broken)
}
