package core

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/engine"
	"github.com/hollowgrade/hollowgrade/fault"
	"github.com/hollowgrade/hollowgrade/quarantine"
)

// callInterval is the time between two calls. A loss is judged once it is known which other calls
// were lost with it.
const callInterval = 500 * time.Millisecond

// serveOnNewCore serves one request several times, in virtual time, by upstreams that always reply
// the same, and returns the errors that its callers got.
func serveOnNewCore(t *testing.T, path string, times int, change func(*hollowgrade.Call), r reply) (xs []*fault.Error, c *Core, f *fakeUpstreams) {
	t.Helper()
	f = &fakeUpstreams{replies: []reply{r}}
	c = newCore(f)
	for i := range times {
		k := call(path)
		k.ID, k.Arrived = fmt.Sprint("c", i), time.Now()
		if change != nil {
			change(&k)
		}
		err := c.Serve(context.Background(), k, &fakeSink{})
		x, _ := err.(*fault.Error) //nolint:errorlint // Serve returns nothing else
		xs = append(xs, x)
		time.Sleep(callInterval)
	}
	return xs, c, f
}

func TestRequestsAreHeld(t *testing.T) {
	for name, c := range map[string]struct {
		path string
		end  reply
		sent int
	}{
		"that are lost before their first event":      {"/resume/", delayed(broken), 3},
		"that are cut in the middle of the answer":    {"/resume/", delayed(events(1, 3, errBroken)), 3},
		"whose connection ends without a word":        {"/resume/", delayed(events(1, 3, io.ErrUnexpectedEOF)), 3},
		"that may be repeated":                        {"/again/", delayed(broken), 3},
		"that may not be repeated, at each arrival":   {"/once/", delayed(broken), 3},
		"that are sent to one upstream at the most":   {"/single/", delayed(broken), 3},
		"of callers without a key, at plain services": {"/public/", delayed(broken), 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				xs, k, f := serveOnNewCore(t, c.path, 8, nil, c.end)
				require.Len(t, f.sentCalls(), c.sent)
				require.Len(t, k.Quarantine().Blocks(), 1)
				last := xs[len(xs)-1]
				requireFault(t, last, fault.Quarantined, hollowgrade.NotRun)
				require.Greater(t, last.RetryAfter, 9*time.Minute, "an earlier retry would be refused too")
				require.Contains(t, last.Message, "ended one after another under this request")
			})
		})
	}
}

// delayed delays a reply by 100 ms.
func delayed(r reply) reply {
	return func(ctx context.Context, s hollowgrade.Sending) (hollowgrade.Exchange, error) {
		time.Sleep(100 * time.Millisecond)
		return r(ctx, s)
	}
}

// presentProber implements [hollowgrade.Prober] for upstreams that keep running.
type presentProber struct{ probes atomic.Int64 }

func (s *presentProber) Probe(context.Context, hollowgrade.Upstream) (hollowgrade.Presence, error) {
	s.probes.Add(1)
	return hollowgrade.Present, nil
}

// absentProber implements [hollowgrade.Prober] for upstreams that have crashed; silent ones don't
// answer probes.
type absentProber struct{ silent bool }

func (g absentProber) Probe(ctx context.Context, _ hollowgrade.Upstream) (hollowgrade.Presence, error) {
	if !g.silent {
		return hollowgrade.Absent, nil
	}
	<-ctx.Done()
	return hollowgrade.Absent, ctx.Err()
}

func TestConnectionsThatBreakAreLookedInto(t *testing.T) {
	run := func(t *testing.T, p hollowgrade.Prober) *Core {
		t.Helper()
		c := newCore(&fakeUpstreams{replies: []reply{delayed(broken)}}, WithProber(p))
		for i := range 6 {
			k := call("/again/")
			k.ID, k.Arrived = fmt.Sprint(i), time.Now()
			_ = c.Serve(context.Background(), k, &fakeSink{})
			time.Sleep(callInterval)
		}
		return c
	}
	t.Run("those of upstreams that go on speak against no request", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			p := &presentProber{}
			require.Zero(t, run(t, p).Quarantine().Size())
			require.Positive(t, p.probes.Load())
		})
	})
	t.Run("those of upstreams that ended do", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			require.Len(t, run(t, absentProber{}).Quarantine().Blocks(), 1)
		})
	})
	t.Run("and those of upstreams that say nothing", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			require.Len(t, run(t, absentProber{silent: true}).Quarantine().Blocks(), 1)
		})
	})
	t.Run("one look is enough for all calls that were lost with an upstream", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			p := &presentProber{}
			c := newCore(&fakeUpstreams{}, WithProber(p))
			u := hollowgrade.Upstream{ID: "u1"}
			for range 20 {
				go c.probeOnce(u, "r", time.Now())
			}
			synctest.Wait()
			require.EqualValues(t, 1, p.probes.Load())
			time.Sleep(2 * probeResultTTL)
			c.probeOnce(u, "r", time.Now())
			require.EqualValues(t, 2, p.probes.Load())
		})
	})
	t.Run("also if their connections break one after another, but not long after", func(t *testing.T) {
		for after, probes := range map[time.Duration]int64{50 * time.Millisecond: 1, 51 * time.Millisecond: 2} {
			synctest.Test(t, func(t *testing.T) {
				p := &presentProber{}
				c := newCore(&fakeUpstreams{}, WithProber(p))
				u := hollowgrade.Upstream{ID: "u1"}
				c.probeOnce(u, "r", time.Now())
				time.Sleep(after)
				c.probeOnce(u, "r", time.Now())
				require.Equal(t, probes, p.probes.Load(), "%s after", after)
			})
		}
	})
	// Guards against a crash that is taken for a broken connection since one broke a moment before it.
	t.Run("but not one of before the loss", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := newCore(&fakeUpstreams{}, WithProber(&scriptedProber{results: []hollowgrade.Presence{hollowgrade.Present, hollowgrade.Absent}}))
			u := hollowgrade.Upstream{ID: "u1"}
			require.Equal(t, hollowgrade.Present, c.probeOnce(u, "r", time.Now()).presence)
			time.Sleep(probeResultTTL / 2)
			require.Equal(t, hollowgrade.Absent, c.probeOnce(u, "r", time.Now()).presence)
			time.Sleep(probeResultTTL / 2)
			require.Equal(t, hollowgrade.Absent, c.probeOnce(u, "r", time.Now()).presence)
		})
	})
}

func TestRequestsAreNotHeld(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		change func(*hollowgrade.Call)
		end    reply
	}{
		"that their upstream cannot be reached for": {"/again/", nil, unreachable},
		"that are turned away":                      {"/again/", nil, shed},
		"that their upstream fails":                 {"/again/", nil, status(500, "no")},
		"whose upstream is silent":                  {"/again/", nil, unresponsive},
		"whose upstream sends what is no answer":    {"/again/", nil, invalidAnswer},
		"that differ in their body":                 {"/again/", distinctBodies(), delayed(broken)},
		"that are lost and answered by turns":       {"/again/", nil, alternate(delayed(broken), status(200, "yes"))},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				xs, k, _ := serveOnNewCore(t, c.path, 8, c.change, c.end)
				require.Empty(t, k.Quarantine().Blocks())
				for _, x := range xs {
					require.True(t, x == nil || x.Code != fault.Quarantined)
				}
			})
		})
	}
}

func invalidAnswer(context.Context, hollowgrade.Sending) (hollowgrade.Exchange, error) {
	return nil, fmt.Errorf("%w: it is for another", hollowgrade.ErrNotAnAnswer)
}

// distinctBodies returns a change that gives each call a body of its own.
func distinctBodies() func(*hollowgrade.Call) {
	n := 0
	return func(c *hollowgrade.Call) { n++; c.Body = fmt.Append(nil, n) }
}

// alternate uses some replies in turn.
func alternate(rs ...reply) reply {
	n := 0
	return func(ctx context.Context, s hollowgrade.Sending) (hollowgrade.Exchange, error) {
		n++
		return rs[(n-1)%len(rs)](ctx, s)
	}
}

// Guards against parts that nothing clears, since callers leave before the end of their answers.
func TestAnswersInProgressClearParts(t *testing.T) {
	for name, c := range map[string]struct {
		writes time.Duration
		clears bool
	}{
		"once they have been written for a while": {2 * minWritingTime, true},
		"but not those that have only begun":      {minWritingTime / 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := newCore(&fakeUpstreams{replies: []reply{endless}})
				lost := quarantine.Request{Subject: quarantine.Subject{Fingerprint: hollowgrade.Fingerprint{9}, Service: "s"}, Parts: []hollowgrade.PartID{{1}}}
				k.quarantine.RecordLoss(quarantine.Loss{Request: lost, Upstream: "u", Engines: 1, Sent: time.Now(), Lost: time.Now()})
				time.Sleep(callInterval)
				k.quarantine.NextUpdate()
				ctx, cancel := context.WithTimeout(context.Background(), c.writes)
				defer cancel()
				x := call("/resume/")
				x.Parts = lost.Parts
				require.Error(t, k.Serve(ctx, x, &fakeSink{}))
				require.Equal(t, c.clears, len(k.quarantine.NextUpdate().Harmless) == 1)
			})
		})
	}
}

func TestWhatACallThatRanIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		xs, _, f := serveOnNewCore(t, "/again/", 2, nil, delayed(broken))
		require.Len(t, f.sentCalls(), 3)
		requireFault(t, xs[1], fault.Quarantined, hollowgrade.Unknown)
	})
}

// A prompt that several engines prefill counts for the upstream that answers it, with a longer time
// at risk.
func TestSplitPromptsAreHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeUpstreams{replies: []reply{delayed(broken)}}
		c := newCore(f)
		e := &engine.Figures{Slots: 16, Capacity: 450_000, Step: time.Millisecond, PrefillRate: 256_000, PerMillionPairs: 91_700 * time.Nanosecond, Stride: 46}
		rs := []Route{{Name: "long", Host: "h", Prefix: "/", Repeat: Resume, Stream: true, Timeout: 20 * time.Second, Goal: 3 * time.Second, PauseGoal: time.Second, Targets: []Target{{"s", 1}}, MaxAttempts: 2}}
		c.SetCatalog(NewCatalog(2, rs, []Service{{Name: "s", Engine: e}}, []Organisation{{Name: "o", Keys: []string{"k"}}}, Limits{}))
		helpers := 0
		for i := range 4 {
			k := call("/x")
			k.ID, k.Arrived, k.Patience, k.PromptTokens, k.MaxTokens = fmt.Sprint(i), time.Now(), 15*time.Second, 210_000, 100
			_ = c.Serve(context.Background(), k, &fakeSink{})
			time.Sleep(5 * time.Second)
		}
		for _, s := range f.sentCalls() {
			helpers += len(s.Helpers)
		}
		require.Positive(t, helpers)
		require.Len(t, c.Quarantine().Blocks(), 1)
	})
}

// BenchmarkLeave measures the cost of tracking losses for a harmless request with four parts, without
// its fingerprint, while nothing and while a thousand other requests are remembered.
func BenchmarkLeave(b *testing.B) {
	q := quarantine.Request{Subject: quarantine.Subject{Fingerprint: hollowgrade.NewFingerprint("o", call("/again/")), Service: "s"}}
	for i := range 4 {
		q.Parts = append(q.Parts, hollowgrade.PartID{byte(i)})
	}
	for _, remembered := range []int{0, 1000} {
		b.Run(fmt.Sprintf("%d remembered", remembered), func(b *testing.B) {
			c := newCore(&fakeUpstreams{})
			for i := range remembered {
				f := hollowgrade.NewFingerprint("o", hollowgrade.Call{Target: fmt.Sprint(i)})
				l := quarantine.Request{Subject: quarantine.Subject{Fingerprint: f, Service: "s"}, Parts: []hollowgrade.PartID{{1: byte(i)}}}
				c.quarantine.RecordLoss(quarantine.Loss{Request: l, Upstream: hollowgrade.Instance(fmt.Sprint(i)), Sent: time.Now(), Lost: time.Now()})
			}
			time.Sleep(callInterval) // the losses settle
			c.quarantine.StoreChanges()
			b.ReportAllocs()
			for b.Loop() {
				l := c.quarantine.Begin(q)
				c.quarantine.RecordAnswer(q, true)
				c.quarantine.End(l)
			}
		})
	}
}
