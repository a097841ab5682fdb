package core

import (
	"context"
	"fmt"
	"io"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/fault"
)

func someCatalog(version int64) *Catalog {
	rs := []Route{
		{Name: "once", Host: "h", Prefix: "/once/", Repeat: Once, Timeout: 10 * time.Second, Goal: 300 * time.Millisecond, Targets: []Target{{"s", 1}}, MaxAttempts: 2},
		{Name: "single", Host: "h", Prefix: "/single/", Repeat: Once, Timeout: 10 * time.Second, Targets: []Target{{"s", 1}}, MaxAttempts: 1},
		{Name: "again", Host: "h", Prefix: "/again/", Repeat: Again, Timeout: 10 * time.Second, Goal: 300 * time.Millisecond, Targets: []Target{{"s", 1}}, MaxAttempts: 2},
		{Name: "resume", Host: "h", Prefix: "/resume/", Repeat: Resume, Stream: true, Timeout: 10 * time.Second, Goal: 300 * time.Millisecond, PauseGoal: 200 * time.Millisecond, Targets: []Target{{"s", 1}}, MaxAttempts: 3},
		{Name: "public", Host: "h", Prefix: "/public/", Repeat: Again, Public: true, Targets: []Target{{"s", 1}}, MaxAttempts: 2},
		{Name: "nowhere", Host: "h", Prefix: "/nowhere/", MaxAttempts: 1},
	}
	return NewCatalog(version, rs, []Service{{Name: "s"}}, []Organisation{{Name: "o", Keys: []string{"k"}}}, Limits{})
}

// newCore returns a core with three upstreams of the service s.
func newCore(f *fakeUpstreams, os ...Option) *Core {
	c := New(f, f, append([]Option{WithLogger(discardLogger())}, os...)...)
	c.started = c.started.Add(-time.Minute) // a process that has run for a while
	c.SetCatalog(someCatalog(1))
	for _, id := range []string{"u1", "u2", "u3"} {
		c.Fleet().Put(hollowgrade.Upstream{ID: id, Service: "s", Address: id + ":1", Slots: 4})
	}
	return c
}

func call(path string) hollowgrade.Call {
	return hollowgrade.Call{ID: "c1", Host: "h", Path: path, Key: "k", Arrived: time.Now(), Patience: 5 * time.Second}
}

// serve serves one call on a new core whose upstreams give the replies in turn.
func serve(t *testing.T, path string, rs ...reply) (s *fakeSink, f *fakeUpstreams, x *fault.Error) {
	t.Helper()
	f = &fakeUpstreams{replies: rs}
	s = &fakeSink{}
	err := newCore(f).Serve(context.Background(), call(path), s)
	if err != nil {
		x = fault.As(err, hollowgrade.Unknown)
	}
	return s, f, x
}

func requireFault(t *testing.T, x *fault.Error, c fault.Code, o hollowgrade.Outcome) {
	t.Helper()
	require.NotNil(t, x)
	require.Equal(t, c, x.Code)
	require.Equal(t, o, x.Outcome)
}

func TestCallsThatRunOnce(t *testing.T) {
	t.Run("a success is passed on", func(t *testing.T) {
		s, f, x := serve(t, "/once/", status(200, "hello"))
		require.Nil(t, x)
		require.Equal(t, "hello", s.body.String())
		require.Equal(t, "o", f.sentCalls()[0].Organisation)
	})
	t.Run("its failure is passed on as it is", func(t *testing.T) {
		s, f, x := serve(t, "/once/", status(500, "no"), status(200, "hello"))
		require.Nil(t, x)
		require.Equal(t, 500, s.head.Status)
		require.Len(t, f.sentCalls(), 1)
	})
	t.Run("a failure whose status says that it has not run is not passed on", func(t *testing.T) {
		refusal := func(ctx context.Context, _ hollowgrade.Sending) (hollowgrade.Exchange, error) {
			return &fakeExchange{ctx: ctx, head: hollowgrade.Head{Status: 503, Signed: true, ImpliesNotRun: true}, end: io.EOF}, nil
		}
		s, f, x := serve(t, "/once/", refusal, status(200, "hello"))
		requireFault(t, x, fault.UpstreamFailed, hollowgrade.Unknown)
		require.Nil(t, s.head)
		require.Len(t, f.sentCalls(), 1)
	})
	t.Run("nor is one whose body is longer than what is buffered of a success", func(t *testing.T) {
		refusal := func(ctx context.Context, _ hollowgrade.Sending) (hollowgrade.Exchange, error) {
			body := []hollowgrade.Part{{Data: make([]byte, maxBufferedBytes+1)}}
			return &fakeExchange{ctx: ctx, head: hollowgrade.Head{Status: 503, Signed: true, ImpliesNotRun: true}, parts: body, end: io.EOF}, nil
		}
		f, s := &fakeUpstreams{replies: []reply{refusal}}, &fakeSink{}
		err := newCore(f, WithMaxFailureBytes(2*maxBufferedBytes)).Serve(context.Background(), call("/once/"), s)
		requireFault(t, fault.As(err, hollowgrade.NotRun), fault.UpstreamFailed, hollowgrade.Unknown)
		require.Nil(t, s.head)
	})
	t.Run("what was not run goes elsewhere", func(t *testing.T) {
		s, f, x := serve(t, "/once/", shed, status(200, "hello"))
		require.Nil(t, x)
		require.Equal(t, "hello", s.body.String())
		require.NotEqual(t, f.sentCalls()[0].Upstream.ID, f.sentCalls()[1].Upstream.ID)
	})
	t.Run("what may have run does not", func(t *testing.T) {
		s, f, x := serve(t, "/once/", broken, status(200, "hello"))
		requireFault(t, x, fault.UpstreamLost, hollowgrade.Unknown)
		require.Len(t, f.sentCalls(), 1)
		require.Nil(t, s.head)
	})
	t.Run("no more upstreams than allowed are sent to", func(t *testing.T) {
		_, f, x := serve(t, "/single/", shed)
		requireFault(t, x, fault.Overloaded, hollowgrade.NotRun)
		require.Len(t, f.sentCalls(), 1)
	})
	t.Run("an upstream that cannot be reached does not count", func(t *testing.T) {
		s, f, x := serve(t, "/single/", unreachable, unreachable, status(200, "hello"))
		require.Nil(t, x)
		require.Equal(t, "hello", s.body.String())
		require.Len(t, f.sentCalls(), 3)
	})
	t.Run("when all refuse it has not run", func(t *testing.T) {
		_, _, x := serve(t, "/once/", shed)
		requireFault(t, x, fault.Overloaded, hollowgrade.NotRun)
		require.NotZero(t, x.RetryAfter)
	})
}

func TestCallsThatMayRunAgain(t *testing.T) {
	t.Run("a failure is made good", func(t *testing.T) {
		s, _, x := serve(t, "/again/", status(500, "no"), status(200, "hello"))
		require.Nil(t, x)
		require.Equal(t, "hello", s.body.String())
	})
	t.Run("the last failure is passed on as it is", func(t *testing.T) {
		s, f, x := serve(t, "/again/", status(500, "no"))
		require.Nil(t, x)
		require.Equal(t, 500, s.head.Status)
		require.Equal(t, f.sentCalls()[1].Upstream.ID, s.head.Header.Get("From"))
		require.Equal(t, "no", s.body.String())
	})
	t.Run("a cut answer is replaced", func(t *testing.T) {
		cut := func(ctx context.Context, _ hollowgrade.Sending) (hollowgrade.Exchange, error) {
			return &fakeExchange{ctx: ctx, head: hollowgrade.Head{Status: 200, Signed: true}, parts: []hollowgrade.Part{{Data: []byte("hel")}}, end: io.ErrUnexpectedEOF}, nil
		}
		s, _, x := serve(t, "/again/", cut, status(200, "hello"))
		require.Nil(t, x)
		require.Equal(t, "hello", s.body.String())
	})
	t.Run("what one attempt may have run is never called not run", func(t *testing.T) {
		_, _, x := serve(t, "/again/", broken, shed)
		require.Equal(t, hollowgrade.Unknown, x.Outcome)
	})
	t.Run("a silent upstream is given up for another", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s, _, x := serve(t, "/again/", unresponsive, status(200, "hello"))
			require.Nil(t, x)
			require.Equal(t, "hello", s.body.String())
		})
	})
}

func TestStreams(t *testing.T) {
	t.Run("whole", func(t *testing.T) {
		s, _, x := serve(t, "/resume/", events(1, 3, io.EOF))
		require.Nil(t, x)
		require.Equal(t, "1,2,3,", s.body.String())
	})
	t.Run("gone on with elsewhere under the first head", func(t *testing.T) {
		s, f, x := serve(t, "/resume/", events(1, 2, errBroken), events(3, 4, io.EOF))
		require.Nil(t, x)
		require.Equal(t, "1,2,3,4,", s.body.String())
		require.Equal(t, "2", f.sentCalls()[1].LastEventID)
		require.Equal(t, f.sentCalls()[0].Upstream.ID, s.head.Header.Get("From"))
	})
	t.Run("what the caller has is not passed on again", func(t *testing.T) {
		s, _, x := serve(t, "/resume/", events(1, 2, errBroken), events(1, 4, io.EOF))
		require.Nil(t, x)
		require.Equal(t, "1,2,3,4,", s.body.String())
	})
	t.Run("a refusal between two attempts", func(t *testing.T) {
		s, _, x := serve(t, "/resume/", events(1, 2, errBroken), shed, events(3, 4, io.EOF))
		require.Nil(t, x)
		require.Equal(t, "1,2,3,4,", s.body.String())
	})
	t.Run("never ended as whole when it is not", func(t *testing.T) {
		s, _, x := serve(t, "/resume/", events(1, 2, errBroken), status(500, "no"))
		require.NotNil(t, x)
		require.Equal(t, "1,2,", s.body.String())
		require.NotEqual(t, hollowgrade.NotRun, x.Outcome)
	})
	t.Run("silence is gone on from elsewhere", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s, _, x := serve(t, "/resume/", events(1, 2, errSilent), events(3, 4, io.EOF))
			require.Nil(t, x)
			require.Equal(t, "1,2,3,4,", s.body.String())
		})
	})
	t.Run("one that may not be resumed is waited for", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			begin := time.Now()
			s, f, x := serve(t, "/once/", events(1, 2, errSilent))
			requireFault(t, x, fault.DeadlinePassed, hollowgrade.Unknown)
			require.Equal(t, "1,2,", s.body.String())
			require.Len(t, f.sentCalls(), 1)
			require.Equal(t, 5*time.Second+answerGrace, time.Since(begin))
		})
	})
}

// Guards against ending a stream whose upstream may still continue: while the gateway waits for a
// silent upstream, other calls can spend the retry budget, or there is no other upstream. It has to
// go on waiting then.
func TestSilenceIsWaitedForWhenNothingElseIsLeft(t *testing.T) {
	late := func(ctx context.Context, _ hollowgrade.Sending) (hollowgrade.Exchange, error) {
		return &lateExchange{fakeExchange: fakeExchange{ctx: ctx, head: hollowgrade.Head{Status: 200, Signed: true, Stream: true}, end: io.EOF}, after: 3 * time.Second}, nil
	}
	t.Run("the budget was spent meanwhile", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeUpstreams{replies: []reply{late}}
			c := newCore(f, WithBounds(Bounds{KeyFreshness: time.Minute, Freshness: time.Minute, RetrySlack: 9.6, RetryWindow: time.Minute}))
			go func() {
				time.Sleep(500 * time.Millisecond)
				c.budget("s").Spend(time.Now())
			}()
			require.NoError(t, c.Serve(context.Background(), call("/resume/"), &fakeSink{}))
			require.Len(t, f.sentCalls(), 1)
		})
	})
	t.Run("there is no other upstream", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeUpstreams{replies: []reply{late}}
			c := newCore(f)
			c.Fleet().Drop("u2", time.Time{})
			c.Fleet().Drop("u3", time.Time{})
			require.NoError(t, c.Serve(context.Background(), call("/resume/"), &fakeSink{}))
			require.Len(t, f.sentCalls(), 1)
		})
	})
}

// lateExchange delays its first part.
type lateExchange struct {
	fakeExchange
	after time.Duration
}

func (x *lateExchange) Next() (hollowgrade.Part, error) {
	select {
	case <-time.After(x.after):
		return x.fakeExchange.Next()
	case <-x.ctx.Done():
		return hollowgrade.Part{}, x.ctx.Err()
	}
}

// A long prompt that is held back must not be sent to an upstream that starts to drain meanwhile.
func TestUpstreamThatLeavesWhileACallIsHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeUpstreams{replies: []reply{events(1, 2, io.EOF)}}
		c := New(f, f, WithLogger(discardLogger()))
		r := Route{Name: "r", Host: "h", Prefix: "/", Repeat: Resume, Stream: true, Timeout: 10 * time.Second, Goal: 3 * time.Second, PauseGoal: 800 * time.Millisecond, Targets: []Target{{"e", 1}}, MaxAttempts: 2}
		c.SetCatalog(NewCatalog(1, []Route{r}, []Service{{Name: "e", Engine: figures()}}, nil, Limits{}))
		for _, id := range []string{"u1", "u2"} {
			c.Fleet().Put(hollowgrade.Upstream{ID: id, Service: "e", Address: id + ":1"})
		}
		for _, m := range c.fleet.members {
			m.addPrefill(time.Now(), 500*time.Millisecond)
		}
		go func() {
			time.Sleep(100 * time.Millisecond)
			for id, s := range c.Fleet().Changes(true) {
				if s.Open > 0 {
					c.Fleet().Put(hollowgrade.Upstream{ID: string(id), Service: "e", Address: string(id) + ":1", Draining: true})
				}
			}
		}()
		k := call("/x")
		k.PromptTokens, k.MaxTokens, k.Patience = 100_000, 100, 9*time.Second
		require.NoError(t, c.Serve(context.Background(), k, &fakeSink{}))
		require.Len(t, f.sentCalls(), 1)
		require.False(t, f.sentCalls()[0].Upstream.Draining)
		require.False(t, c.fleet.members[f.sentCalls()[0].Upstream.Instance()].Draining)
	})
}

func TestEnds(t *testing.T) {
	t.Run("at the caller's deadline", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			_, f, x := serve(t, "/once/", unresponsive)
			requireFault(t, x, fault.DeadlinePassed, hollowgrade.Unknown)
			require.Equal(t, 5*time.Second, f.sentCalls()[0].TimeLeft)
		})
	})
	t.Run("what is left is passed on, not what was left", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeUpstreams{replies: []reply{unresponsive, status(200, "x")}}
			require.NoError(t, newCore(f).Serve(context.Background(), call("/again/"), &fakeSink{}))
			require.Less(t, f.sentCalls()[1].TimeLeft, f.sentCalls()[0].TimeLeft-500*time.Millisecond)
		})
	})
	t.Run("when the caller is gone", func(t *testing.T) {
		f := &fakeUpstreams{replies: []reply{events(1, 3, io.EOF)}}
		err := newCore(f).Serve(context.Background(), call("/resume/"), &fakeSink{gone: true})
		require.Equal(t, fault.CallerGone, fault.As(err, hollowgrade.Unknown).Code)
		require.Len(t, f.sentCalls(), 1)
	})
	t.Run("when the caller leaves while an upstream is silent", func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := &fakeUpstreams{replies: []reply{func(ctx context.Context, _ hollowgrade.Sending) (hollowgrade.Exchange, error) {
			cancel()
			<-ctx.Done()
			return nil, ctx.Err()
		}}}
		err := newCore(f).Serve(ctx, call("/again/"), &fakeSink{})
		require.Equal(t, fault.CallerGone, fault.As(err, hollowgrade.Unknown).Code)
		require.Len(t, f.sentCalls(), 1, "no retry for a caller that has disconnected")
	})
}

// A caller that disconnects while a connection is being opened must not count as a failure of the
// upstream.
func TestCallerThatLeavesBeforeAnythingIsSent(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fakeUpstreams{replies: []reply{func(ctx context.Context, _ hollowgrade.Sending) (hollowgrade.Exchange, error) {
		cancel()
		<-ctx.Done()
		return nil, fmt.Errorf("%w: %w", hollowgrade.ErrNotSent, ctx.Err())
	}}}
	c := newCore(f)
	x := fault.As(c.Serve(ctx, call("/once/"), &fakeSink{}), hollowgrade.Unknown)
	requireFault(t, x, fault.CallerGone, hollowgrade.NotRun)
	for _, m := range c.fleet.members {
		require.Zero(t, m.failures, m.ID)
	}
}

func TestAdmission(t *testing.T) {
	age, known := time.Duration(0), true
	c := newCore(&fakeUpstreams{replies: []reply{status(200, "x")}}, WithAge(func() (time.Duration, bool) { return age, known }))
	code := func(change func(*hollowgrade.Call)) fault.Code {
		k := call("/again/")
		change(&k)
		err := c.Serve(context.Background(), k, &fakeSink{})
		if err == nil {
			return ""
		}
		x := fault.As(err, hollowgrade.Unknown)
		require.Equal(t, hollowgrade.NotRun, x.Outcome)
		return x.Code
	}
	same := func(*hollowgrade.Call) {}
	wrongKey := func(k *hollowgrade.Call) { k.Key = "zz" }
	noRoute := func(k *hollowgrade.Call) { k.Path = "/zz/" }
	public := func(k *hollowgrade.Call) { k.Path, k.Key = "/public/", "" }
	t.Run("fresh", func(t *testing.T) {
		require.Empty(t, code(same))
		require.Equal(t, fault.WrongKey, code(wrongKey))
		require.Equal(t, fault.NoRoute, code(noRoute))
		require.Equal(t, fault.NoUpstream, code(func(k *hollowgrade.Call) { k.Path = "/nowhere/" }))
	})
	t.Run("not confirmed yet", func(t *testing.T) {
		age, known = math.MaxInt64, false
		defer func() { age, known = 0, true }()
		k := call("/again/")
		x := fault.As(c.Serve(context.Background(), k, &fakeSink{}), hollowgrade.Unknown)
		requireFault(t, x, fault.StaleConfig, hollowgrade.NotRun)
		require.Contains(t, x.Message, "has not been confirmed yet")
	})
	t.Run("too old to call a route or key missing", func(t *testing.T) {
		age = 3 * time.Second
		require.Empty(t, code(same))
		require.Equal(t, fault.StaleConfig, code(wrongKey))
		require.Equal(t, fault.StaleConfig, code(noRoute))
	})
	t.Run("too old to admit a key", func(t *testing.T) {
		age = 5*time.Second - freshnessMargin + time.Millisecond
		require.Equal(t, fault.StaleConfig, code(same))
		require.Empty(t, code(public))
	})
	t.Run("too old to admit a key, and an outage is allowed for", func(t *testing.T) {
		b := DefaultBounds()
		b.KeyOutage = time.Minute
		c.SetBounds(b)
		defer c.SetBounds(DefaultBounds())
		require.Empty(t, code(same))
		require.Equal(t, fault.StaleConfig, code(wrongKey))
		age += time.Minute
		require.Equal(t, fault.StaleConfig, code(same))
	})
	t.Run("never confirmed", func(t *testing.T) {
		known = false
		require.Equal(t, fault.StaleConfig, code(same))
	})
	// The age of the configuration is checked for keys only, so that a call on a route without a
	// key was served by a version that had been replaced eight seconds before.
	t.Run("older than one that is known", func(t *testing.T) {
		age, known = 0, true
		c.outdated = func() time.Duration { return DefaultBounds().Freshness - outdatedMargin + time.Millisecond }
		defer func() { c.outdated = func() time.Duration { return 0 } }()
		require.Equal(t, fault.StaleConfig, code(public))
		require.Equal(t, fault.StaleConfig, code(same))
		require.True(t, c.Outdated())
		c.outdated = func() time.Duration { return DefaultBounds().Freshness - outdatedMargin }
		require.Empty(t, code(public), "within the allowed time the older version is still used")
	})
	t.Run("no configuration", func(t *testing.T) {
		err := New(&fakeUpstreams{}, &fakeUpstreams{}, WithLogger(discardLogger())).Serve(context.Background(), call("/again/"), &fakeSink{})
		require.Equal(t, fault.NoConfiguration, fault.As(err, hollowgrade.Unknown).Code)
	})
	t.Run("out of time before it is sent", func(t *testing.T) {
		age, known = 0, true
		require.Equal(t, fault.DeadlinePassed, code(func(k *hollowgrade.Call) { k.Arrived = time.Now().Add(-time.Minute) }))
	})
}

func TestCatalogNeverGoesBack(t *testing.T) {
	c := New(&fakeUpstreams{}, &fakeUpstreams{}, WithLogger(discardLogger()))
	require.True(t, c.SetCatalog(someCatalog(5)))
	require.False(t, c.SetCatalog(someCatalog(4)))
	require.False(t, c.SetCatalog(someCatalog(5)))
	require.Equal(t, int64(5), c.Catalog().Version)
}

func TestRetriesKeepToTheBudget(t *testing.T) {
	f := &fakeUpstreams{replies: []reply{broken}}
	c := newCore(f, WithBounds(Bounds{KeyFreshness: time.Minute, Freshness: time.Minute, RetryRatio: 0.2, RetrySlack: 24, RetryWindow: 10 * time.Second}))
	const calls = 100
	spent := 0
	for i := range calls {
		k := call("/again/")
		k.Body = fmt.Append(nil, i) // one request that is lost repeatedly is quarantined
		x := fault.As(c.Serve(context.Background(), k, &fakeSink{}), hollowgrade.Unknown)
		require.Equal(t, hollowgrade.Unknown, x.Outcome)
		if x.Code == fault.RetriesSpent {
			spent++
		}
	}
	retries := len(f.sentCalls()) - calls
	require.LessOrEqual(t, retries, calls/5+3)
	require.GreaterOrEqual(t, retries, 20)
	require.Equal(t, calls, retries+spent)
}

// Guards against a changed ratio of retries that is in force for new services only.
func TestChangedRetryRatioIsInForce(t *testing.T) {
	f := &fakeUpstreams{replies: []reply{broken}}
	b := Bounds{KeyFreshness: time.Minute, Freshness: time.Minute, RetryWindow: time.Minute}
	c := newCore(f, WithBounds(b))
	retriesOf := func(from, to int) (n int) {
		before := len(f.sentCalls())
		for i := from; i < to; i++ {
			k := call("/again/")
			k.Body = fmt.Append(nil, i) // one request that is lost repeatedly is quarantined
			_ = c.Serve(context.Background(), k, &fakeSink{})
		}
		return len(f.sentCalls()) - before - (to - from)
	}
	require.Zero(t, retriesOf(0, 20))
	b.RetryRatio = 0.5
	c.SetBounds(b)
	require.Positive(t, retriesOf(20, 40))
	b.RetryRatio = 0
	c.SetBounds(b)
	require.Zero(t, retriesOf(40, 60))
}

func TestWeights(t *testing.T) {
	r := Route{Targets: []Target{{"a", 90}, {"b", 10}, {"c", 0}}}
	n := map[string]int{}
	for range 10_000 {
		s, ok := r.target()
		require.True(t, ok)
		n[s]++
	}
	require.InDelta(t, 9000, n["a"], 300)
	require.Zero(t, n["c"])
}
