package core

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/engine"
	"github.com/hollowgrade/hollowgrade/fault"
	"github.com/hollowgrade/hollowgrade/placement"
)

// putInHalls adds two upstreams of the service s in each of some data halls, ids HALL-0 and HALL-1.
func putInHalls(f *Fleet, halls ...string) {
	for _, h := range halls {
		for _, id := range []string{h + "-0", h + "-1"} {
			f.Put(hollowgrade.Upstream{ID: id, Service: "s", Address: id + ":1", Hall: h, Slots: 4})
		}
	}
}

// requireNeverPicked checks that no pick of many uses an upstream of a data hall, also not as helper.
func requireNeverPicked(t *testing.T, f *Fleet, hall string, r placement.Request) {
	t.Helper()
	for range 50 {
		p := f.pick("s", r, nil)
		require.NotNil(t, p)
		for m := range p.entries {
			require.NotEqual(t, hall, m.Hall)
		}
	}
}

func TestEvacuation(t *testing.T) {
	t.Run("is a value", func(t *testing.T) {
		none := Evacuation{}
		one := none.With("a")
		require.Empty(t, none.Halls())
		require.Equal(t, []string{"a", "b"}, one.With("b").Halls())
		require.Equal(t, []string{"a"}, one.Halls())
		require.Empty(t, one.Without("a").Halls())
		require.True(t, one.Covers("a"))
	})
	t.Run("keeps short calls away", func(t *testing.T) {
		f := newSignalFleet()
		putInHalls(f, "a", "b")
		f.Evacuate("a")
		requireNeverPicked(t, f, "a", placement.Request{TimeLeft: 10 * time.Second})
	})
	t.Run("keeps parts of long prompts away", func(t *testing.T) {
		f := newSignalFleet()
		putInHalls(f, "a", "b", "c")
		f.Evacuate("b")
		e := &engine.Figures{Slots: 4, Capacity: 450_000, Step: time.Millisecond, PrefillRate: 100_000, Chunk: 2048, Stride: 40, UsualPrompt: 5_000, UsualAnswer: 1_000}
		requireNeverPicked(t, f, "b", placement.Request{Engine: e, PromptTokens: 200_000, MaxTokens: 500, Goal: 500 * time.Millisecond, PauseGoal: time.Second, TimeLeft: 15 * time.Second})
	})
	t.Run("holds for upstreams that are listed later", func(t *testing.T) {
		f := newSignalFleet()
		f.Evacuate("a")
		putInHalls(f, "a", "b")
		requireNeverPicked(t, f, "a", placement.Request{TimeLeft: 10 * time.Second})
	})
	t.Run("ends", func(t *testing.T) {
		f := newSignalFleet()
		putInHalls(f, "a")
		f.Evacuate("a")
		require.Nil(t, pickForCall(f))
		f.EndEvacuation("a")
		require.NotNil(t, pickForCall(f))
	})
	t.Run("asks no upstream for its speed", func(t *testing.T) {
		f := newSignalFleet()
		putInHalls(f, "a")
		f.Evacuate("a")
		require.False(t, f.mayRequestPace(f.members["a-0"], time.Now()))
	})
}

func TestEvacuationOfAllHallsIsRefusedAtOnce(t *testing.T) {
	f := &fakeUpstreams{}
	c := newCore(f)
	c.Fleet().Evacuate("")
	begin := time.Now()
	x := fault.As(c.Serve(context.Background(), call("/once/"), &fakeSink{}), hollowgrade.Unknown)
	requireFault(t, x, fault.Evacuated, hollowgrade.NotRun)
	require.Equal(t, evacuatedRetryAfter, x.RetryAfter)
	require.Less(t, time.Since(begin), time.Second)
	require.Empty(t, f.sentCalls())
}

// Guards against a retry that goes on at an upstream whose data hall is evacuated meanwhile.
func TestEvacuationBetweenTwoAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c *Core
		broken := func(ctx context.Context, s hollowgrade.Sending) (hollowgrade.Exchange, error) {
			c.Fleet().Evacuate("")
			return shed(ctx, s)
		}
		f := &fakeUpstreams{replies: []reply{broken, status(200, "late")}}
		c = newCore(f)
		x := fault.As(c.Serve(context.Background(), call("/again/"), &fakeSink{}), hollowgrade.Unknown)
		require.NotNil(t, x)
		require.Len(t, f.sentCalls(), 1)
	})
}
