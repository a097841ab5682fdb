package core

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/calendar"
	"github.com/hollowgrade/hollowgrade/fault"
	"github.com/hollowgrade/hollowgrade/quarantine"
)

// newCalendarFleet returns a fleet of 18 engines at which long prompts wait for their turn.
func newCalendarFleet() *Fleet {
	f := newFleet("e", 18)
	f.SetCalendar(true)
	f.ReceiveView("peer", nil, true)
	return f
}

// requireStart requires that a wait ends with the call placed.
func requireStart(t *testing.T, f *Fleet, w *Wait, prompt int) *pick {
	t.Helper()
	p, state, _ := f.start(w, long(prompt), nil)
	require.Equal(t, Started, state)
	require.NotNil(t, p)
	return p
}

// requireWaiting requires that a call does not have its turn.
func requireWaiting(t *testing.T, f *Fleet, w *Wait, prompt int) {
	t.Helper()
	p, state, again := f.start(w, long(prompt), nil)
	require.Nil(t, p)
	require.Equal(t, Waiting, state)
	require.Positive(t, again)
}

// peerPrompt returns a prompt that waits at a peer, due after d.
func peerPrompt(f *Fleet, id string, prefill, d time.Duration) calendar.Entry {
	now := f.Now()
	return calendar.Entry{ID: id, Service: "e", Prefill: prefill, Due: now.Add(d), Deadline: now.Add(2 * d), Worth: 20}
}

func TestTurns(t *testing.T) {
	run := func(name string, do func(t *testing.T, f *Fleet)) {
		t.Run(name, func(t *testing.T) { synctest.Test(t, func(t *testing.T) { do(t, newCalendarFleet()) }) })
	}
	run("only prompts that take engines for long wait", func(t *testing.T, f *Fleet) {
		require.True(t, f.schedules(long(300_000)))
		require.False(t, f.schedules(long(30_000)))
		require.False(t, f.schedules(short()))
		r := long(300_000)
		r.StreamStarted = true
		require.False(t, f.schedules(r))
		f.SetCalendar(false)
		require.False(t, f.schedules(long(300_000)))
	})
	run("a prompt has its turn at once while engines are idle, and the next one when they nearly are", func(t *testing.T, f *Fleet) {
		a, _ := f.wait("e", long(300_000))
		requireStart(t, f, a, 300_000)
		b, _ := f.wait("e", long(300_000))
		requireWaiting(t, f, b, 300_000)
		time.Sleep(time.Second)
		requireStart(t, f, b, 300_000)
		require.Empty(t, f.waits)
	})
	run("a prompt waits behind one at a peer that is due sooner, until that has gone", func(t *testing.T, f *Fleet) {
		f.ReceiveWaits("peer", []calendar.Entry{peerPrompt(f, "first", 8*time.Second, 2*time.Second)})
		w, _ := f.wait("e", long(300_000))
		requireWaiting(t, f, w, 300_000)
		f.ReceiveWaits("peer", nil)
		requireStart(t, f, w, 300_000)
	})
	run("what a peer told is dropped with its view", func(t *testing.T, f *Fleet) {
		f.ReceiveWaits("peer", []calendar.Entry{peerPrompt(f, "first", 8*time.Second, 2*time.Second)})
		w, _ := f.wait("e", long(300_000))
		f.DropView("peer")
		requireStart(t, f, w, 300_000)
	})
	run("a prompt for which there is no time is refused at once, with when to come back", func(t *testing.T, f *Fleet) {
		var es []calendar.Entry
		for i := range 8 {
			e := peerPrompt(f, fmt.Sprint(i), 6*time.Second, 2650*time.Millisecond)
			e.Worth = 100
			es = append(es, e)
		}
		f.ReceiveWaits("peer", es)
		w, after := f.wait("e", long(300_000))
		require.Nil(t, w)
		require.GreaterOrEqual(t, after, time.Second)
		require.Empty(t, f.waits)
	})
	run("a prompt that waits is dropped for others of more worth a second", func(t *testing.T, f *Fleet) {
		busy, _ := f.wait("e", long(300_000))
		requireStart(t, f, busy, 300_000)
		w, _ := f.wait("e", long(400_000))
		var es []calendar.Entry
		for i := range 6 {
			e := peerPrompt(f, fmt.Sprint(i), 4*time.Second, 2600*time.Millisecond)
			e.Worth = 100
			es = append(es, e)
		}
		f.ReceiveWaits("peer", es)
		p, state, after := f.start(w, long(400_000), nil)
		require.Nil(t, p)
		require.Equal(t, Dropped, state)
		require.Positive(t, after)
	})
	run("a prompt that is late is placed on idle engines", func(t *testing.T, f *Fleet) {
		r := long(900_000)
		w, _ := f.wait("e", r)
		require.NotNil(t, w)
		p, state, _ := f.start(w, r, nil)
		require.Equal(t, Started, state)
		require.NotNil(t, p)
	})
	run("a peer that says nothing keeps others waiting for a second at the most", func(t *testing.T, f *Fleet) {
		f.ReceiveWaits("peer", []calendar.Entry{peerPrompt(f, "first", 8*time.Second, 2500*time.Millisecond)})
		w, _ := f.wait("e", long(300_000))
		requireWaiting(t, f, w, 300_000)
		time.Sleep(time.Second)
		requireStart(t, f, w, 300_000)
	})
	run("a prompt for which no engine has memory is dropped, so that it keeps no others waiting", func(t *testing.T, f *Fleet) {
		for id := range f.members {
			f.ReceiveView("peer", map[hollowgrade.Instance]Share{id: {Open: 1, Tokens: 400_000}}, false)
		}
		w, _ := f.wait("e", long(300_000))
		_, state, after := f.start(w, long(300_000), nil)
		require.Equal(t, Dropped, state)
		require.Positive(t, after)
	})
	run("without engines a prompt doesn't wait", func(t *testing.T, f *Fleet) {
		w, _ := f.wait("e", long(300_000))
		for i := range 18 {
			f.Drop(fmt.Sprintf("u%02d", i), time.Time{})
		}
		p, state, _ := f.start(w, long(300_000), nil)
		require.Nil(t, p)
		require.Equal(t, Started, state)
		require.Empty(t, f.waits)
	})
	run("the number of prompts that wait is bounded", func(t *testing.T, f *Fleet) {
		for range 3 * MaxWaits {
			r := long(900_000)
			r.Goal, r.TimeLeft = time.Minute, time.Hour
			f.wait("e", r)
		}
		require.LessOrEqual(t, len(f.waits), MaxWaits)
	})
}

// calendarCore returns a core with engines of one route at which long prompts wait for their turn.
func calendarCore(f *fakeUpstreams) *Core {
	c := New(f, f, WithLogger(discardLogger()))
	c.started = c.started.Add(-time.Minute)
	r := Route{Name: "long", Host: "h", Prefix: "/long/", Repeat: Resume, Stream: true, Timeout: 15 * time.Second, Goal: 3 * time.Second, PauseGoal: 800 * time.Millisecond, Targets: []Target{{"e", 1}}, MaxAttempts: 2}
	c.SetCatalog(NewCatalog(1, []Route{r}, []Service{{Name: "e", Engine: figures()}}, nil, Limits{}))
	for i := range 18 {
		c.fleet.Put(hollowgrade.Upstream{ID: fmt.Sprintf("u%02d", i), Service: "e", Address: fmt.Sprintf("10.0.0.%d:1", i), Slots: 4})
	}
	c.fleet.SetCalendar(true)
	c.fleet.ReceiveView("peer", nil, true)
	return c
}

// longCall returns a call with a long prompt.
func longCall(id string) hollowgrade.Call {
	return hollowgrade.Call{ID: id, Host: "h", Path: "/long/", Arrived: time.Now(), Patience: 15 * time.Second, PromptTokens: 300_000, MaxTokens: 500}
}

// blockOfPart returns a peer's word that it has blocked part {1} of prompts for the engines.
func blockOfPart() quarantine.Update {
	s := quarantine.Subject{Kind: quarantine.KindPart, Fingerprint: hollowgrade.Fingerprint{1}, Service: "e"}
	return quarantine.Update{Blocks: []quarantine.Block{{Subject: s, Since: time.Now(), Until: time.Now().Add(time.Minute), Losses: 3}}}
}

func TestCallsThatWaitForTheirTurn(t *testing.T) {
	run := func(name string, do func(t *testing.T, c *Core, f *fakeUpstreams)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeUpstreams{replies: []reply{events(1, 3, io.EOF)}}
				do(t, calendarCore(f), f)
			})
		})
	}
	run("are sent when it comes", func(t *testing.T, c *Core, f *fakeUpstreams) {
		require.NoError(t, c.Serve(context.Background(), longCall("a"), &fakeSink{}))
		begin := time.Now()
		require.NoError(t, c.Serve(context.Background(), longCall("b"), &fakeSink{}))
		require.GreaterOrEqual(t, time.Since(begin), turnInterval)
		require.Less(t, time.Since(begin), 2*time.Second)
		require.Len(t, f.sentCalls(), 2)
	})
	run("leave the calendar with their callers, and are not sent", func(t *testing.T, c *Core, f *fakeUpstreams) {
		require.NoError(t, c.Serve(context.Background(), longCall("a"), &fakeSink{}))
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		x := fault.As(c.Serve(ctx, longCall("b"), &fakeSink{}), hollowgrade.Unknown)
		requireFault(t, x, fault.CallerGone, hollowgrade.NotRun)
		require.Empty(t, c.fleet.waits)
		require.Len(t, f.sentCalls(), 1)
	})
	run("are refused when a part of their prompts is blocked while they wait", func(t *testing.T, c *Core, f *fakeUpstreams) {
		for i := range 3 {
			require.NoError(t, c.Serve(context.Background(), longCall(fmt.Sprint("before", i)), &fakeSink{}))
		}
		k := longCall("b")
		k.Parts = []hollowgrade.PartID{{1}}
		time.AfterFunc(turnInterval, func() {
			c.quarantine.Receive("peer", blockOfPart())
		})
		begin := time.Now()
		x := fault.As(c.Serve(context.Background(), k, &fakeSink{}), hollowgrade.Unknown)
		requireFault(t, x, fault.Quarantined, hollowgrade.NotRun)
		require.Contains(t, x.Message, "requests with part ")
		require.Less(t, time.Since(begin), turnInterval+2*maxTurnPause)
		require.Empty(t, c.fleet.waits)
		require.Len(t, f.sentCalls(), 3)
	})
	run("are told to come back when the box stops", func(t *testing.T, c *Core, _ *fakeUpstreams) {
		require.NoError(t, c.Serve(context.Background(), longCall("a"), &fakeSink{}))
		ctx, cancel := context.WithCancelCause(context.Background())
		time.AfterFunc(50*time.Millisecond, func() { cancel(hollowgrade.ErrStopping) })
		x := fault.As(c.Serve(ctx, longCall("b"), &fakeSink{}), hollowgrade.Unknown)
		requireFault(t, x, fault.Draining, hollowgrade.NotRun)
		require.Positive(t, x.RetryAfter)
	})
	run("are refused at once when the box stops sooner than they are certain to end", func(t *testing.T, c *Core, f *fakeUpstreams) {
		require.NoError(t, c.Serve(context.Background(), longCall("a"), &fakeSink{}))
		stopped := time.Now().Add(50 * time.Millisecond)
		c.plannedStop = func() (hollowgrade.PlannedStop, bool) {
			return hollowgrade.PlannedStop{Left: time.Until(stopped) + time.Second}, !time.Now().Before(stopped)
		}
		x := fault.As(c.Serve(context.Background(), longCall("b"), &fakeSink{}), hollowgrade.Unknown)
		requireFault(t, x, fault.Draining, hollowgrade.NotRun)
		require.Less(t, time.Since(stopped), maxTurnPause)
		require.Empty(t, c.fleet.waits)
		require.Len(t, f.sentCalls(), 1)
	})
	run("are sent when engines end that had prompts before them", func(t *testing.T, c *Core, f *fakeUpstreams) {
		require.NoError(t, c.Serve(context.Background(), longCall("a"), &fakeSink{}))
		for i := range 6 {
			c.fleet.Drop(fmt.Sprintf("u%02d", i), time.Time{})
		}
		require.NoError(t, c.Serve(context.Background(), longCall("b"), &fakeSink{}))
		require.Len(t, f.sentCalls(), 2)
		require.Empty(t, c.fleet.waits)
	})
	run("are refused when their route has gone meanwhile", func(t *testing.T, c *Core, f *fakeUpstreams) {
		require.NoError(t, c.Serve(context.Background(), longCall("a"), &fakeSink{}))
		time.AfterFunc(time.Millisecond, func() {
			c.SetCatalog(NewCatalog(2, nil, []Service{{Name: "e", Engine: figures()}}, nil, Limits{}))
		})
		x := fault.As(c.Serve(context.Background(), longCall("b"), &fakeSink{}), hollowgrade.Unknown)
		requireFault(t, x, fault.NoRoute, hollowgrade.NotRun)
		require.Len(t, f.sentCalls(), 1)
		requireNothingAccounted(t, c.fleet)
	})
}

// requireNothingAccounted requires that no calls and no memory are accounted for any upstream.
func requireNothingAccounted(t *testing.T, f *Fleet) {
	t.Helper()
	for id, m := range f.members {
		require.Zero(t, m.ownShare.Open, id)
		require.Zero(t, m.ownShare.Tokens, id)
	}
}

// calendarObserver returns a core as calendarCore does, and the observations of its calls.
func calendarObserver() (*Core, *[]Observation) {
	os := &[]Observation{}
	c := calendarCore(&fakeUpstreams{replies: []reply{events(1, 3, io.EOF)}})
	c.observe = func(o Observation) { *os = append(*os, o) }
	return c, os
}

func TestTurnsAreObserved(t *testing.T) {
	run := func(name string, do func(t *testing.T, c *Core, os *[]Observation)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, os := calendarObserver()
				do(t, c, os)
			})
		})
	}
	requireTurn := func(t *testing.T, o Observation, r TurnResult, least, most time.Duration) {
		t.Helper()
		require.Equal(t, r, o.Turn)
		require.GreaterOrEqual(t, o.TurnWait, least)
		require.LessOrEqual(t, o.TurnWait, most)
		require.Equal(t, "e", o.Service)
	}
	run("that came, at once and after a wait", func(t *testing.T, c *Core, os *[]Observation) {
		require.NoError(t, c.Serve(context.Background(), longCall("a"), &fakeSink{}))
		require.NoError(t, c.Serve(context.Background(), longCall("b"), &fakeSink{}))
		require.Len(t, *os, 2)
		requireTurn(t, (*os)[0], TurnCame, 0, 0)
		requireTurn(t, (*os)[1], TurnCame, turnInterval, (*os)[1].Took)
	})
	run("of prompts that are refused", func(t *testing.T, c *Core, os *[]Observation) {
		var es []calendar.Entry
		for i := range 8 {
			e := peerPrompt(c.fleet, fmt.Sprint(i), 6*time.Second, 2650*time.Millisecond)
			e.Worth = 100
			es = append(es, e)
		}
		c.fleet.ReceiveWaits("peer", es)
		requireFault(t, fault.As(c.Serve(context.Background(), longCall("a"), &fakeSink{}), hollowgrade.Unknown), fault.CannotMakeIt, hollowgrade.NotRun)
		require.Len(t, *os, 1)
		requireTurn(t, (*os)[0], TurnRefused, 0, 0)
	})
	run("of calls that end before", func(t *testing.T, c *Core, os *[]Observation) {
		require.NoError(t, c.Serve(context.Background(), longCall("a"), &fakeSink{}))
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		require.Error(t, c.Serve(ctx, longCall("b"), &fakeSink{}))
		require.Len(t, *os, 2)
		requireTurn(t, (*os)[1], TurnEnded, 50*time.Millisecond, 50*time.Millisecond)
	})
	run("of none that does not wait", func(t *testing.T, c *Core, os *[]Observation) {
		x := longCall("a")
		x.PromptTokens = 1000
		require.NoError(t, c.Serve(context.Background(), x, &fakeSink{}))
		require.Len(t, *os, 1)
		requireTurn(t, (*os)[0], "", 0, 0)
	})
}
