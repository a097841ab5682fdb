package core

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
)

// fakeReporter implements [hollowgrade.Reporter].
type fakeReporter struct {
	mu       sync.Mutex
	paces    map[string]float64 // by upstream; 1 if it is not named
	failing  bool
	requests map[string]int
}

func (f *fakeReporter) Report(_ context.Context, u hollowgrade.Upstream) (hollowgrade.UpstreamReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.requests == nil {
		f.requests = map[string]int{}
	}
	f.requests[u.ID]++
	if f.failing {
		return hollowgrade.UpstreamReport{}, errors.New("lost")
	}
	if p := f.paces[u.ID]; p > 0 {
		return hollowgrade.UpstreamReport{Pace: p}, nil
	}
	return hollowgrade.UpstreamReport{Pace: 1}, nil
}

// setPace sets how many times longer than published an upstream takes.
func (f *fakeReporter) setPace(id string, pace float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.paces[id] = pace
}

func (f *fakeReporter) requestCount(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requests[id]
}

// requirePace checks the pace that an upstream is estimated to have.
func requirePace(t *testing.T, f *Fleet, id hollowgrade.Instance, want float64) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	require.InDelta(t, want, f.members[id].pace(f.clock.Now()), 1e-9)
}

// delayedStream replies with a stream whose first event is delayed.
func delayedStream(after time.Duration) reply {
	return func(ctx context.Context, s hollowgrade.Sending) (hollowgrade.Exchange, error) {
		time.Sleep(after)
		return events(1, 2, io.EOF)(ctx, s)
	}
}

// newEngineCore returns a core with three engines whose first event is delayed, and the reporter of
// their paces.
func newEngineCore(after time.Duration) (*Core, *fakeReporter) {
	r := &fakeReporter{paces: map[string]float64{}}
	c := newCore(&fakeUpstreams{replies: []reply{delayedStream(after)}}, WithReporter(r))
	k := Route{Name: "resume", Host: "h", Prefix: "/resume/", Repeat: Resume, Stream: true, Timeout: 10 * time.Second, Goal: 300 * time.Millisecond, Targets: []Target{{"s", 1}}, MaxAttempts: 1}
	c.SetCatalog(NewCatalog(2, []Route{k}, []Service{{Name: "s", Engine: figures()}}, nil, Limits{}))
	c.Fleet().SetRandom(func() float64 { return 0.5 })
	return c, r
}

// serveShortPrompt serves a call of 5,000 tokens, whose first event is predicted after some 0.13 s.
func serveShortPrompt(t *testing.T, c *Core) {
	t.Helper()
	k := call("/resume/")
	k.PromptTokens, k.MaxTokens = 5_000, 1_500
	require.NoError(t, c.Serve(context.Background(), k, &fakeSink{}))
}

func TestEnginesThatSeemSlowAreAsked(t *testing.T) {
	t.Run("when a first event is overdue", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c, r := newEngineCore(900 * time.Millisecond)
			r.setPace("u1", 2.7)
			serveShortPrompt(t, c)
			requirePace(t, c.Fleet(), "u1", 2.7)
			require.InDelta(t, 2.7, c.Fleet().UpstreamStates(map[hollowgrade.Instance]Share{"u1": {}})["u1"].Pace.Pace, 1e-9)
			require.Contains(t, c.Fleet().Changes(false), hollowgrade.Instance("u1"), "peers are informed")
			r.setPace("u1", 1)
			time.Sleep(2 * PaceRecheckInterval)
			synctest.Wait()
			requirePace(t, c.Fleet(), "u1", 1)
		})
	})
	t.Run("again and again while they are slow", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c, r := newEngineCore(900 * time.Millisecond)
			r.setPace("u1", 5)
			serveShortPrompt(t, c)
			time.Sleep(10 * PaceRecheckInterval)
			synctest.Wait()
			requirePace(t, c.Fleet(), "u1", 5)
			require.InDelta(t, 11, r.requestCount("u1"), 1)
			r.setPace("u1", 1)
			time.Sleep(10 * PaceRecheckInterval)
			synctest.Wait()
			require.InDelta(t, 12, r.requestCount("u1"), 1, "not asked once it is at its usual pace")
		})
	})
	t.Run("not when it comes as predicted", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c, r := newEngineCore(100 * time.Millisecond)
			serveShortPrompt(t, c)
			time.Sleep(10 * PaceRecheckInterval)
			require.Empty(t, r.requests)
		})
	})
	t.Run("one that says nothing counts as it did", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c, r := newEngineCore(900 * time.Millisecond)
			r.failing = true
			serveShortPrompt(t, c)
			synctest.Wait()
			require.Equal(t, 1, r.requestCount("u1"))
			requirePace(t, c.Fleet(), "u1", 1)
		})
	})
	t.Run("and the others once one is slow", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c, r := newEngineCore(900 * time.Millisecond)
			r.setPace("u1", 3)
			r.setPace("u3", 3)
			serveShortPrompt(t, c)
			synctest.Wait()
			requirePace(t, c.Fleet(), "u3", 3)
		})
	})
	t.Run("plain services are not asked", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			r := &fakeReporter{paces: map[string]float64{}}
			c := newCore(&fakeUpstreams{replies: []reply{delayedStream(3 * time.Second)}}, WithReporter(r))
			require.NoError(t, c.Serve(context.Background(), call("/resume/"), &fakeSink{}))
			require.Empty(t, r.requests)
		})
	})
}

func TestWordsOnSpeed(t *testing.T) {
	t.Run("of others hold, and are not told on", func(t *testing.T) {
		f := newFleet("e", 2)
		f.ReceivePace("u00", 4, 0, "b", "")
		requirePace(t, f, "u00", 4)
		for _, s := range f.UpstreamStates(map[hollowgrade.Instance]Share{"u00": {}}) {
			require.Zero(t, s.Pace)
		}
		require.False(t, f.StillSlow("u00"), "only the process that asked the engine asks again")
	})
	t.Run("do not live for ever", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet("e", 2)
			f.ReceivePace("u00", 4, time.Second, "b", "")
			time.Sleep(paceTTL - time.Second)
			requirePace(t, f, "u00", 4)
			time.Sleep(time.Millisecond)
			requirePace(t, f, "u00", 1)
		})
	})
	t.Run("that are older do not undo later ones", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet("e", 2)
			f.ReceivePace("u00", 4, 0, "", "r")
			f.ReceivePace("u00", 1, 50*time.Millisecond, "b", "")
			requirePace(t, f, "u00", 4)
			require.True(t, f.StillSlow("u00"))
			time.Sleep(time.Second)
			f.ReceivePace("u00", 3, 0, "b", "")
			requirePace(t, f, "u00", 3)
			require.False(t, f.StillSlow("u00"), "a peer has asked it since")
		})
	})
	t.Run("of the future are of now", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet("e", 2)
			f.ReceivePace("u00", 4, -time.Hour, "b", "")
			time.Sleep(time.Millisecond)
			f.ReceivePace("u00", 2, 0, "c", "")
			requirePace(t, f, "u00", 2)
			time.Sleep(2 * paceTTL)
			requirePace(t, f, "u00", 1)
		})
	})
	t.Run("of nonsense are not taken", func(t *testing.T) {
		f := newFleet("e", 2)
		f.ReceivePace("u00", -1, 0, "b", "")
		f.ReceivePace("nobody", 3, 0, "b", "")
		requirePace(t, f, "u00", 1)
		f.ReceivePace("u00", 1e300, 0, "b", "")
		requirePace(t, f, "u00", maxPace)
	})
	t.Run("change how long it takes for what it has still to read", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet("e", 2)
			f.ReceiveView("b", map[hollowgrade.Instance]Share{"u00": {Prefill: 100 * time.Millisecond}}, true)
			f.ReceiveView("b", map[hollowgrade.Instance]Share{"u00": {Prefill: 200 * time.Millisecond}}, false)
			f.ReceivePace("u00", 4, 0, "c", "")
			require.Equal(t, 400*time.Millisecond, f.members["u00"].prefillBacklog(time.Now()))
			f.ReceiveView("b", map[hollowgrade.Instance]Share{"u00": {Prefill: 300 * time.Millisecond}}, false)
			require.Equal(t, 800*time.Millisecond, f.members["u00"].prefillBacklog(time.Now()))
		})
	})
}

func TestOthersAreAskedOnceOneIsSlow(t *testing.T) {
	f := newFleet("e", 60)
	f.SetPeers(func() int { return 9 })
	i := 0
	f.SetRandom(func() float64 { i++; return float64(i%60) / 60 })
	var asked []hollowgrade.Upstream
	f.SetPaceRequester(func(us []hollowgrade.Upstream, _ string) { asked = append(asked, us...) })
	f.ReceivePace("u00", 4, 0, "b", "")
	require.InDelta(t, 60*surveyorsPerEngine/10, len(asked), 2, "each of ten processes asks a part of them")
	require.NotContains(t, asked, hollowgrade.Upstream{ID: "u00"}, "it has just been asked")
	n := len(asked)
	f.ReceivePace("u01", 4, 0, "b", "")
	require.Len(t, asked, n, "at most once a second")
}

func TestSlowEngines(t *testing.T) {
	t.Run("are counted", func(t *testing.T) {
		f := newFleet("e", 3)
		f.ReceivePace("u00", 1.05, 0, "b", "")
		f.ReceivePace("u01", 3, 0, "b", "")
		require.Equal(t, 1, f.Slow())
	})
	t.Run("get no part of a prompt while others have room", func(t *testing.T) {
		f := newFleet("e", 20)
		f.ReceivePace("u03", 5, 0, "b", "")
		p := f.pick("e", long(200_000), nil)
		require.NotContains(t, p.helpers, f.members["u03"])
		require.NotEqual(t, "u03", p.member.ID)
	})
	t.Run("get no short call that they would make late", func(t *testing.T) {
		f := newFleet("e", 3)
		f.ReceivePace("u00", 5, 0, "b", "")
		for range 6 {
			require.NotEqual(t, "u00", f.pick("e", short(), nil).member.ID)
		}
	})
	t.Run("are used when there are no others, and predicted as they are", func(t *testing.T) {
		f := newFleet("e", 1)
		r := short()
		idle := f.pick("e", r, nil).FirstEvent
		g := newFleet("e", 1)
		g.ReceivePace("u00", 2, 0, "b", "")
		require.Equal(t, 2*idle, g.pick("e", r, nil).FirstEvent)
	})
}
