package core

import (
	"context"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/fault"
)

// stopIn returns an option that makes a planned stop cancel calls after d.
func stopIn(d time.Duration, accepting bool) Option {
	end := time.Now().Add(d)
	return WithPlannedStop(func() (hollowgrade.PlannedStop, bool) {
		return hollowgrade.PlannedStop{Left: time.Until(end), Accepting: accepting}, true
	})
}

// answersAfter returns a reply that takes d.
func answersAfter(d time.Duration) reply {
	return func(ctx context.Context, s hollowgrade.Sending) (hollowgrade.Exchange, error) {
		time.Sleep(d)
		return status(200, "hello")(ctx, s)
	}
}

// slowEvents replies with the events from through to, each after a pause, then ends with err.
func slowEvents(from, to int, pause time.Duration, err error) reply {
	return func(ctx context.Context, s hollowgrade.Sending) (hollowgrade.Exchange, error) {
		x, _ := events(from, to, err)(ctx, s)
		return &slowExchange{*x.(*fakeExchange), pause}, nil
	}
}

// slowExchange returns each part after a pause.
type slowExchange struct {
	fakeExchange
	pause time.Duration
}

func (x *slowExchange) Next() (hollowgrade.Part, error) {
	if len(x.parts) > 0 {
		time.Sleep(x.pause)
	}
	return x.fakeExchange.Next()
}

func TestStreamThatIsNearlyDoneIsContinuedInAPlannedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const streams, pause = 12, 300 * time.Millisecond
		rs := slices.Repeat([]reply{slowEvents(1, 10, pause, io.EOF)}, streams)
		rs = append(rs, slowEvents(1, 9, pause, errBroken), slowEvents(10, 10, pause, io.EOF))
		begin := time.Now().Add(time.Hour)
		c := newCore(&fakeUpstreams{replies: rs}, WithPlannedStop(func() (hollowgrade.PlannedStop, bool) {
			return hollowgrade.PlannedStop{Left: time.Until(begin.Add(4 * time.Second))}, time.Now().After(begin)
		}))
		for range streams {
			require.NoError(t, c.Serve(context.Background(), call("/resume/"), &fakeSink{}))
		}
		begin = time.Now().Add(time.Second)
		s := &fakeSink{}
		require.NoError(t, c.Serve(context.Background(), call("/resume/"), s))
		require.Equal(t, "1,2,3,4,5,6,7,8,9,10,", s.body.String())
	})
}

func TestCallsThatAPlannedStopWouldCutAreRefused(t *testing.T) {
	run := func(name string, do func(t *testing.T)) {
		t.Run(name, func(t *testing.T) { synctest.Test(t, do) })
	}
	// serveOn serves a call that waits for the given time.
	serveOn := func(c *Core, patience time.Duration) error {
		r := call("/once/")
		r.Patience = patience
		return c.Serve(context.Background(), r, &fakeSink{})
	}
	requireRefused := func(t *testing.T, err error, f *fakeUpstreams, sent int) {
		t.Helper()
		requireFault(t, fault.As(err, hollowgrade.Unknown), fault.Draining, hollowgrade.NotRun)
		require.Len(t, f.sentCalls(), sent)
	}
	run("no longer accepting, if they may outlast it", func(t *testing.T) {
		f := &fakeUpstreams{replies: []reply{status(200, "hello")}}
		requireRefused(t, serveOn(newCore(f, stopIn(2*time.Second, false)), 5*time.Second), f, 0)
	})
	run("no longer accepting, not if they end in time", func(t *testing.T) {
		f := &fakeUpstreams{replies: []reply{status(200, "hello")}}
		require.NoError(t, serveOn(newCore(f, stopIn(2*time.Second, false)), time.Second))
	})
	run("accepting, not if nothing is known of how long they take", func(t *testing.T) {
		f := &fakeUpstreams{replies: []reply{status(200, "hello")}}
		require.NoError(t, serveOn(newCore(f, stopIn(2*time.Second, true)), 5*time.Second))
	})
	run("accepting, if others of their route take longer", func(t *testing.T) {
		f := &fakeUpstreams{replies: []reply{answersAfter(3 * time.Second)}}
		stopping := false
		c := newCore(f, WithPlannedStop(func() (hollowgrade.PlannedStop, bool) {
			return hollowgrade.PlannedStop{Left: 2 * time.Second, Accepting: true}, stopping
		}))
		require.NoError(t, serveOn(c, 5*time.Second))
		stopping = true
		requireRefused(t, serveOn(c, 5*time.Second), f, 1)
	})
	run("a second attempt is made while there is time", func(t *testing.T) {
		f := &fakeUpstreams{replies: []reply{shed, status(200, "hello")}}
		require.NoError(t, serveOn(newCore(f, stopIn(2*time.Second, true)), 5*time.Second))
		require.Len(t, f.sentCalls(), 2)
	})
	run("what may have run is not called not run", func(t *testing.T) {
		cutLate := func(ctx context.Context, _ hollowgrade.Sending) (hollowgrade.Exchange, error) {
			time.Sleep(plainStall - time.Millisecond) // no other attempt is made before
			return &fakeExchange{ctx: ctx, head: hollowgrade.Head{Status: 200, Signed: true}, end: io.ErrUnexpectedEOF}, nil
		}
		f := &fakeUpstreams{replies: []reply{cutLate, status(200, "hello")}}
		r := call("/again/")
		err := newCore(f, stopIn(plainStall/2, true)).Serve(context.Background(), r, &fakeSink{})
		x := fault.As(err, hollowgrade.NotRun)
		require.Equal(t, fault.Draining, x.Code)
		require.NotEqual(t, hollowgrade.NotRun, x.Outcome)
	})
}

func TestOnlyWholeAnswersCountForTheExpectedTime(t *testing.T) {
	const calls, pause = 20, 300 * time.Millisecond
	whole := slowEvents(1, 10, pause, io.EOF)
	run := func(name, route, lastEvent string, replies ...reply) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCore(&fakeUpstreams{replies: append([]reply{whole}, slices.Repeat(replies, calls)...)})
				require.NoError(t, c.Serve(context.Background(), call("/"+route+"/"), &fakeSink{}))
				for range calls {
					k := call("/" + route + "/")
					k.LastEventID = lastEvent
					require.NoError(t, c.Serve(context.Background(), k, &fakeSink{}))
				}
				require.GreaterOrEqual(t, c.durations.Expected(route), 10*pause)
			})
		})
	}
	run("not failures", "once", "", status(500, "no"))
	run("not the rest of a stream", "resume", "", slowEvents(1, 9, pause, errBroken), slowEvents(10, 10, pause, io.EOF))
	run("nor one that its caller resumes", "resume", "9", slowEvents(10, 10, pause, io.EOF))
}

func TestTimeForWhichACallIsHeldBackCountsOnceInAPlannedStop(t *testing.T) {
	const backlog = 500 * time.Millisecond
	// serveHeldBack serves a long prompt behind the backlog of its engines, and returns how long that took.
	serveHeldBack := func(left time.Duration) (took time.Duration, sent int, err error) {
		f := &fakeUpstreams{replies: []reply{events(1, 2, io.EOF)}}
		c := New(f, f, WithLogger(discardLogger()), stopIn(left, true))
		r := Route{Name: "r", Host: "h", Prefix: "/", Repeat: Resume, Stream: true, Goal: 3 * time.Second, PauseGoal: 800 * time.Millisecond, Targets: []Target{{"e", 1}}, MaxAttempts: 2}
		c.SetCatalog(NewCatalog(1, []Route{r}, []Service{{Name: "e", Engine: figures()}}, nil, Limits{}))
		for _, id := range []string{"u1", "u2"} {
			c.Fleet().Put(hollowgrade.Upstream{ID: id, Service: "e", Address: id + ":1"})
		}
		for _, m := range c.fleet.members {
			m.addPrefill(time.Now(), backlog)
		}
		k := call("/x")
		k.PromptTokens, k.MaxTokens, k.Patience = 100_000, 100, 9*time.Second
		begin := time.Now()
		err = c.Serve(context.Background(), k, &fakeSink{})
		return time.Since(begin), len(f.sentCalls()), err
	}
	t.Run("it is sent if its first event comes in time", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			took, sent, err := serveHeldBack(2 * backlog)
			require.NoError(t, err)
			require.Equal(t, 1, sent)
			require.Greater(t, took, backlog/2, "it is held back")
		})
	})
	t.Run("it is refused at once if it does not", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			took, sent, err := serveHeldBack(backlog + 200*time.Millisecond)
			requireFault(t, fault.As(err, hollowgrade.Unknown), fault.Draining, hollowgrade.NotRun)
			require.Zero(t, sent)
			require.Zero(t, took)
		})
	})
}

func TestLongPromptThatAPlannedStopSendsAwayKeepsItsTimeOfArrival(t *testing.T) {
	const waits = 50 * time.Millisecond
	// requireRemembered serves a prompt that waits for its turn until the box is stopped.
	requireRemembered := func(t *testing.T, stop func(c *Core, cancel context.CancelCauseFunc)) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			c := calendarCore(&fakeUpstreams{replies: []reply{events(1, 3, io.EOF)}})
			require.NoError(t, c.Serve(context.Background(), longCall("a"), &fakeSink{}))
			ctx, cancel := context.WithCancelCause(context.Background())
			defer cancel(nil)
			stop(c, cancel)
			k := longCall("b")
			requireFault(t, fault.As(c.Serve(ctx, k, &fakeSink{}), hollowgrade.Unknown), fault.Draining, hollowgrade.NotRun)
			rs := c.fleet.Refusals()
			require.Len(t, rs, 1)
			require.Equal(t, k.Arrived, rs[0].FirstArrival)
		})
	}
	t.Run("once new connections are refused", func(t *testing.T) {
		requireRemembered(t, func(c *Core, _ context.CancelCauseFunc) {
			at := time.Now().Add(waits)
			c.plannedStop = func() (hollowgrade.PlannedStop, bool) {
				return hollowgrade.PlannedStop{Left: time.Second}, time.Now().After(at)
			}
		})
	})
	t.Run("when open requests are cancelled", func(t *testing.T) {
		requireRemembered(t, func(_ *Core, cancel context.CancelCauseFunc) {
			time.AfterFunc(waits, func() { cancel(hollowgrade.ErrStopping) })
		})
	})
}

// stoppingAfter returns an option for a planned stop that begins when the returned function is called and
// leaves d.
func stoppingAfter(d time.Duration, accepting bool) (o Option, begin func()) {
	var end time.Time
	o = WithPlannedStop(func() (hollowgrade.PlannedStop, bool) {
		return hollowgrade.PlannedStop{Left: time.Until(end), Accepting: accepting}, !end.IsZero()
	})
	return o, func() { end = time.Now().Add(d) }
}

// Guards against calls that a planned stop cuts since the others of their route are far shorter.
func TestCallThatIsLongerThanOthersOfItsRouteIsRefusedInAPlannedStop(t *testing.T) {
	const calls, shortTokens, longTokens, pause = 20, 100, 1000, 100 * time.Millisecond
	withTokens := func(n int) hollowgrade.Call {
		k := call("/resume/")
		k.MaxTokens = n
		return k
	}
	run := func(name string, left time.Duration, tokens int, do func(t *testing.T, err error, sent int)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o, begin := stoppingAfter(left, true)
				f := &fakeUpstreams{replies: []reply{slowEvents(1, 10, pause, io.EOF)}}
				c := newCore(f, o)
				for range calls {
					require.NoError(t, c.Serve(context.Background(), withTokens(shortTokens), &fakeSink{}))
				}
				begin()
				err := c.Serve(context.Background(), withTokens(tokens), &fakeSink{})
				do(t, err, len(f.sentCalls())-calls)
			})
		})
	}
	run("a long one", 5*time.Second, longTokens, func(t *testing.T, err error, sent int) {
		requireFault(t, fault.As(err, hollowgrade.Unknown), fault.Draining, hollowgrade.NotRun)
		require.Zero(t, sent)
	})
	run("not one like the others", 5*time.Second, shortTokens, func(t *testing.T, err error, sent int) {
		require.NoError(t, err)
		require.Equal(t, 1, sent)
	})
	run("not a long one for which there is time", 15*time.Second, longTokens, func(t *testing.T, err error, sent int) {
		require.NoError(t, err)
		require.Equal(t, 1, sent)
	})
}

// stopsAccepting returns an option for a planned stop that begins now, accepts connections for the given time
// and cancels calls after d.
func stopsAccepting(accepting, d time.Duration) Option {
	begin := time.Now()
	return WithPlannedStop(func() (hollowgrade.PlannedStop, bool) {
		return hollowgrade.PlannedStop{Left: d - time.Since(begin), Accepting: time.Since(begin) < accepting}, true
	})
}

// Guards against second attempts that a planned stop cuts: nothing is known of how long their route takes, and
// their calls have not run.
func TestSecondAttemptOfWhichNothingIsKnownIsNotMadeAfterTheLinger(t *testing.T) {
	const half, stop = 500 * time.Millisecond, 3 * time.Second
	serve := func(t *testing.T, route string, accepting time.Duration, rs ...reply) (sent int, err error) {
		t.Helper()
		f := &fakeUpstreams{replies: rs}
		k := call(route)
		k.Patience = 2 * stop
		err = newCore(f, stopsAccepting(accepting, stop)).Serve(context.Background(), k, &fakeSink{})
		return len(f.sentCalls()), err
	}
	run := func(name string, do func(t *testing.T)) {
		t.Run(name, func(t *testing.T) { synctest.Test(t, do) })
	}
	hello := status(200, "hello")
	run("after a refusal", func(t *testing.T) {
		sent, err := serve(t, "/once/", half, plainAfter(2*half, shed), hello)
		requireFault(t, fault.As(err, hollowgrade.Unknown), fault.Draining, hollowgrade.NotRun)
		require.Equal(t, 1, sent)
	})
	run("it is made while new connections are accepted", func(t *testing.T) {
		sent, err := serve(t, "/once/", stop, plainAfter(2*half, shed), hello)
		require.NoError(t, err)
		require.Equal(t, 2, sent)
	})
	run("it is made for a call that may have run", func(t *testing.T) {
		sent, err := serve(t, "/again/", half, plainAfter(half, broken), hello)
		require.NoError(t, err)
		require.Equal(t, 2, sent)
	})
}
