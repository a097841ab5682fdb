package core

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/fault"
)

// pacedExchange sends each part after a pause of its own and records when it is closed.
type pacedExchange struct {
	fakeExchange
	pauses []time.Duration
	closed *atomic.Bool
}

func (x *pacedExchange) Next() (p hollowgrade.Part, err error) {
	d := time.Duration(0)
	if len(x.pauses) > 0 {
		d, x.pauses = x.pauses[0], x.pauses[1:]
	}
	select {
	case <-x.ctx.Done():
		return p, x.ctx.Err()
	case <-time.After(d):
		return x.fakeExchange.Next()
	}
}

func (x *pacedExchange) Close() error {
	x.closed.Store(true)
	return nil
}

// paced replies with the events from through to, the first ones after the given pauses, and ends with err.
func paced(from, to int, err error, closed *atomic.Bool, pauses ...time.Duration) reply {
	return func(ctx context.Context, s hollowgrade.Sending) (hollowgrade.Exchange, error) {
		x, _ := events(from, to, err)(ctx, s)
		return &pacedExchange{*x.(*fakeExchange), pauses, closed}, nil
	}
}

// plainAfter replies with a plain answer after d.
func plainAfter(d time.Duration, r reply) reply {
	return func(ctx context.Context, s hollowgrade.Sending) (hollowgrade.Exchange, error) {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(d):
			return r(ctx, s)
		}
	}
}

// serveRace serves a call and checks that all that was accounted for it has ended.
func serveRace(t *testing.T, path string, s hollowgrade.Sink, rs ...reply) (f *fakeUpstreams, x *fault.Error) {
	t.Helper()
	f = &fakeUpstreams{replies: rs}
	c := newCore(f)
	if err := c.Serve(context.Background(), call(path), s); err != nil {
		x = fault.As(err, hollowgrade.Unknown)
	}
	for id, s := range c.Fleet().Changes(true) {
		require.Zero(t, s.Open, id)
	}
	return f, x
}

// brief is a silence that is longer than the stall timeout of the routes, and shorter than the time after
// which callers give up.
const brief = 1300 * time.Millisecond

// Guards against the end of a stream whose upstream was silent for a while, before another one had taken it.
func TestStreamOfASilentUpstreamIsKeptUntilAnotherHasAnswered(t *testing.T) {
	run := func(name string, f func(t *testing.T)) {
		t.Run(name, func(t *testing.T) { synctest.Test(t, f) })
	}
	run("the other refuses", func(t *testing.T) {
		var s fakeSink
		var closed atomic.Bool
		f, x := serveRace(t, "/resume/", &s, paced(1, 4, io.EOF, &closed, 0, 0, brief), shed, shed)
		require.Nil(t, x)
		require.Equal(t, "1,2,3,4,", s.body.String())
		require.Len(t, f.sentCalls(), 3)
		require.True(t, closed.Load())
	})
	run("the other can't be reached", func(t *testing.T) {
		var s fakeSink
		f, x := serveRace(t, "/resume/", &s, paced(1, 4, io.EOF, new(atomic.Bool), 0, 0, brief), unreachable)
		require.Nil(t, x)
		require.Equal(t, "1,2,3,4,", s.body.String())
		require.Len(t, f.sentCalls(), 3)
	})
	run("the other breaks", func(t *testing.T) {
		var s fakeSink
		_, x := serveRace(t, "/resume/", &s, paced(1, 4, io.EOF, new(atomic.Bool), 0, 0, brief), broken)
		require.Nil(t, x)
		require.Equal(t, "1,2,3,4,", s.body.String())
	})
	run("the other is silent too", func(t *testing.T) {
		var s fakeSink
		var closed atomic.Bool
		_, x := serveRace(t, "/resume/", &s, paced(1, 4, io.EOF, new(atomic.Bool), 0, 0, brief), paced(3, 4, errSilent, &closed, time.Hour))
		require.Nil(t, x)
		require.Equal(t, "1,2,3,4,", s.body.String())
		require.True(t, closed.Load())
	})
	run("all are silent until the caller's time has passed", func(t *testing.T) {
		begin := time.Now()
		f, x := serveRace(t, "/resume/", &fakeSink{}, events(1, 2, errSilent))
		requireFault(t, x, fault.DeadlinePassed, hollowgrade.Unknown)
		require.Equal(t, 5*time.Second+answerGrace, time.Since(begin))
		require.Len(t, f.sentCalls(), 3, "the most that the route allows")
	})
	run("the loss of the upstream beside it is followed by another attempt before the caller gives up", func(t *testing.T) {
		var s gapSink
		f, x := serveRace(t, "/resume/", &s, events(1, 2, errSilent), broken, events(3, 4, io.EOF))
		require.Nil(t, x)
		require.Equal(t, "1,2,3,4,", s.body.String())
		require.Less(t, s.longest, callerGap)
		require.Len(t, f.sentCalls(), 3)
	})
	run("a later silence, after the other one was overtaken", func(t *testing.T) {
		var s fakeSink
		n := 0
		other := func(ctx context.Context, g hollowgrade.Sending) (hollowgrade.Exchange, error) {
			if n++; n == 1 {
				return unresponsive(ctx, g)
			}
			return events(4, 5, io.EOF)(ctx, g)
		}
		f, x := serveRace(t, "/resume/", &s, paced(1, 5, io.EOF, new(atomic.Bool), 0, 0, brief, time.Hour), other)
		require.Nil(t, x)
		require.Equal(t, "1,2,3,4,5,", s.body.String())
		require.Equal(t, "3", f.sentCalls()[2].LastEventID)
	})
}

// Guards against a retry budget that is spent by upstreams to which nothing was sent.
func TestUnreachableUpstreamBesideASilentOneCostsNoRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeUpstreams{replies: []reply{events(1, 2, errSilent), unreachable, events(3, 4, io.EOF)}}
		c := newCore(f, WithBounds(Bounds{KeyFreshness: time.Minute, Freshness: time.Minute, RetrySlack: 9.6, RetryWindow: time.Minute}))
		var s fakeSink
		require.NoError(t, c.Serve(context.Background(), call("/resume/"), &s))
		require.Equal(t, "1,2,3,4,", s.body.String())
		require.Len(t, f.sentCalls(), 3)
		require.False(t, c.budget("s").Spend(time.Now()), "one retry was sent, and one is allowed")
	})
}

// endedSink checks at each event that another exchange has ended.
type endedSink struct {
	fakeSink
	from  string
	ended *atomic.Bool
	early bool
}

func (s *endedSink) Part(b []byte) error {
	s.early = s.early || string(b) >= s.from && !s.ended.Load()
	return s.fakeSink.Part(b)
}

func TestUpstreamThatSpeaksFirstEndsTheOtherBeforeItIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var closed atomic.Bool
		s := &endedSink{from: "3", ended: &closed}
		f, x := serveRace(t, "/resume/", s, paced(1, 9, io.EOF, &closed, 0, 0, time.Hour), paced(3, 4, io.EOF, new(atomic.Bool), 200*time.Millisecond))
		require.Nil(t, x)
		require.Equal(t, "1,2,3,4,", s.body.String())
		require.False(t, s.early)
		require.Equal(t, "2", f.sentCalls()[1].LastEventID)
	})
}

// Guards against events that are passed on twice, not at all or out of order when several upstreams speak
// at the same time.
func TestEventsOfUpstreamsThatSpeakAtOnceArePassedOnOnce(t *testing.T) {
	const seeds, last = 300, 6
	var want strings.Builder
	for i := range last {
		fmt.Fprintf(&want, "%d,", i+1)
	}
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 0))
			pauses := func() (ds []time.Duration) {
				for range last {
					ds = append(ds, []time.Duration{0, 0, 100 * time.Millisecond, 1100 * time.Millisecond, 1150 * time.Millisecond}[r.IntN(5)])
				}
				return ds
			}
			all := [][]time.Duration{pauses(), pauses(), pauses()}
			var n atomic.Int32
			next := func(ctx context.Context, g hollowgrade.Sending) (hollowgrade.Exchange, error) {
				from := 1
				fmt.Sscan(g.LastEventID, &from) // its last event comes once more
				return paced(from, last, io.EOF, new(atomic.Bool), all[int(n.Add(1))%len(all)]...)(ctx, g)
			}
			s := &exclusiveSink{busy: new(atomic.Int32)}
			k := call("/resume/")
			k.Patience = time.Minute
			f := &fakeUpstreams{replies: []reply{next}}
			require.NoError(t, newCore(f).Serve(context.Background(), k, s), "seed %d", seed)
			require.Equal(t, want.String(), s.body.String(), "seed %d", seed)
			require.False(t, s.shared, "seed %d", seed)
			require.LessOrEqual(t, len(f.sentCalls()), 3, "seed %d", seed)
		})
	}
}

// exclusiveSink notices when it is used by two at once.
type exclusiveSink struct {
	fakeSink
	busy   *atomic.Int32
	shared bool
}

func (s *exclusiveSink) Part(b []byte) error {
	s.shared = s.busy.Add(1) > 1 || s.shared
	defer s.busy.Add(-1)
	return s.fakeSink.Part(b)
}

func TestPlainCallAtASilentUpstreamIsKeptUntilAnotherHasAnswered(t *testing.T) {
	run := func(name string, f func(t *testing.T)) {
		t.Run(name, func(t *testing.T) { synctest.Test(t, f) })
	}
	const late = time.Second
	run("the other refuses", func(t *testing.T) {
		var s fakeSink
		f, x := serveRace(t, "/again/", &s, plainAfter(late, status(200, "first")), shed)
		require.Nil(t, x)
		require.Equal(t, "first", s.body.String())
		require.Len(t, f.sentCalls(), 2, "the most that the route allows")
	})
	run("the other fails", func(t *testing.T) {
		var s fakeSink
		_, x := serveRace(t, "/again/", &s, plainAfter(late, status(200, "first")), status(500, "no"))
		require.Nil(t, x)
		require.Equal(t, "first", s.body.String())
	})
	run("both answer", func(t *testing.T) {
		var s fakeSink
		_, x := serveRace(t, "/again/", &s, plainAfter(late, status(200, "one")), plainAfter(late-plainStall, status(200, "two")))
		require.Nil(t, x)
		require.Contains(t, []string{"one", "two"}, s.body.String())
	})
	run("the first refuses late", func(t *testing.T) {
		_, x := serveRace(t, "/again/", &fakeSink{}, plainAfter(late, shed), plainAfter(400*time.Millisecond, broken))
		require.NotNil(t, x)
		require.NotEqual(t, hollowgrade.NotRun, x.Outcome, "the other may have run it")
	})
	run("what may run once only is sent to no other", func(t *testing.T) {
		var s fakeSink
		f, x := serveRace(t, "/once/", &s, plainAfter(3*time.Second, status(200, "first")), status(200, "second"))
		require.Nil(t, x)
		require.Equal(t, "first", s.body.String())
		require.Len(t, f.sentCalls(), 1)
	})
}

// sleepySink takes its time over each part.
type sleepySink struct{ fakeSink }

func (s *sleepySink) Part(b []byte) error {
	time.Sleep(2 * time.Second)
	return s.fakeSink.Part(b)
}

// Guards against another attempt beside an answer that is complete, while its caller reads slowly.
func TestCompleteAnswerOfASlowCallerIsNotAskedForAgain(t *testing.T) {
	comment := func(ctx context.Context, _ hollowgrade.Sending) (hollowgrade.Exchange, error) {
		h := hollowgrade.Head{Status: 200, Signed: true, Stream: true}
		return &fakeExchange{ctx: ctx, head: h, parts: []hollowgrade.Part{{Data: []byte("x"), Comment: true}}, end: io.EOF}, nil
	}
	for path, r := range map[string]reply{"/again/": status(200, "x"), "/resume/": comment} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var s sleepySink
				f, x := serveRace(t, path, &s, r)
				require.Nil(t, x)
				require.Equal(t, "x", s.body.String())
				require.Len(t, f.sentCalls(), 1)
			})
		})
	}
}

// panickingSink panics at the body.
type panickingSink struct{ fakeSink }

func (*panickingSink) Part([]byte) error {
	panic(http.ErrAbortHandler)
}

// Guards against a panic beside the goroutine of the call, where net/http can't recover it.
func TestPanicBesideASilentUpstreamEndsItsCallOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeUpstreams{replies: []reply{unresponsive, status(200, "x")}}
		require.PanicsWithValue(t, http.ErrAbortHandler, func() { _ = newCore(f).Serve(context.Background(), call("/again/"), &panickingSink{}) })
	})
}

// gapSink records the longest time between two parts.
type gapSink struct {
	fakeSink
	last    time.Time
	longest time.Duration
}

// Part implements [hollowgrade.Sink].
func (s *gapSink) Part(b []byte) error {
	now := time.Now()
	if !s.last.IsZero() {
		s.longest = max(s.longest, now.Sub(s.last))
	}
	s.last = now
	return s.fakeSink.Part(b)
}

// Guards against a caller that waits for all of its time at an upstream that hangs, though no other one takes
// its call and it could ask again.
func TestCallAtAnUpstreamThatHangsEndsOnceNoOtherTakesIt(t *testing.T) {
	run := func(name string, f func(t *testing.T)) {
		t.Run(name, func(t *testing.T) { synctest.Test(t, f) })
	}
	const never = time.Hour
	// requireGivenUp serves a call and checks that it ends soon, and is not said not to have run.
	requireGivenUp := func(t *testing.T, path string, limit time.Duration, rs ...reply) {
		t.Helper()
		begin := time.Now()
		_, x := serveRace(t, path, &fakeSink{}, rs...)
		require.NotNil(t, x)
		require.NotEqual(t, hollowgrade.NotRun, x.Outcome, "the silent one may run it")
		require.LessOrEqual(t, time.Since(begin), limit)
	}
	run("the other refuses", func(t *testing.T) {
		requireGivenUp(t, "/again/", silentStalls*plainStall, plainAfter(never, status(200, "first")), shed)
	})
	run("the other fails", func(t *testing.T) {
		requireGivenUp(t, "/again/", silentStalls*plainStall, plainAfter(never, status(200, "first")), broken)
	})
	run("the others refuse a stream", func(t *testing.T) {
		requireGivenUp(t, "/resume/", callerGap*11/10, plainAfter(never, events(1, 3, io.EOF)), shed, shed)
	})
	run("one that goes on after a second or so is waited for", func(t *testing.T) {
		var s fakeSink
		_, x := serveRace(t, "/again/", &s, plainAfter(brief, status(200, "first")), shed)
		require.Nil(t, x)
		require.Equal(t, "first", s.body.String())
	})
	run("one that answers other calls meanwhile is waited for", func(t *testing.T) {
		f := &fakeUpstreams{replies: []reply{plainAfter(3*time.Second, status(200, "first")), shed}}
		c := newCore(f)
		go func() {
			for range 6 {
				time.Sleep(500 * time.Millisecond)
				m := c.Fleet().members[f.sentCalls()[0].Upstream.Instance()]
				c.Fleet().recordActivity(m)
			}
		}()
		var s fakeSink
		require.NoError(t, c.Serve(context.Background(), call("/again/"), &s))
		require.Equal(t, "first", s.body.String())
	})
	run("one that nobody was asked beside is waited for", func(t *testing.T) {
		var s fakeSink
		_, x := serveRace(t, "/once/", &s, plainAfter(4*time.Second, status(200, "first")))
		require.Nil(t, x)
	})
}
