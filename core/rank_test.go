package core

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/engine"
	"github.com/hollowgrade/hollowgrade/fault"
	"github.com/hollowgrade/hollowgrade/placement"
)

// rankedCatalog returns a catalog with a route of each of some ranks to the service s.
func rankedCatalog(os []Organisation, ranks ...int) *Catalog {
	var rs []Route
	for i, n := range ranks {
		rs = append(rs, Route{Host: "h", Prefix: "/" + string(rune('a'+i)) + "/", Priority: n, Timeout: 10 * time.Second, Targets: []Target{{"s", 1}}, MaxAttempts: 1})
	}
	return NewCatalog(2, rs, []Service{{Name: "s"}}, os, Limits{})
}

func TestRanksOfServices(t *testing.T) {
	for name, c := range map[string]struct {
		os    []Organisation
		ranks []int
		want  []int
	}{
		"no ranks":                                 {nil, nil, nil},
		"equal ranks have no effect":               {nil, []int{4, 4}, nil},
		"each route has its own":                   {nil, []int{7, 2, 7}, []int{2, 7}},
		"all organisations state the same":         {[]Organisation{{Priority: 3, HasPriority: true}}, []int{1, 2}, nil},
		"one organisation states its own":          {[]Organisation{{Priority: 3, HasPriority: true}, {Name: "o"}}, []int{1}, []int{1, 3}},
		"organisations that state none change nil": {[]Organisation{{Name: "o"}}, []int{1, 1}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, rankedCatalog(c.os, c.ranks...).Services["s"].Ranks)
		})
	}
}

func TestRankOfACall(t *testing.T) {
	s := rankedCatalog(nil, 2, 7, 9).Services["s"]
	request := func(s Service, priority int, o Organisation) int {
		return newRequest(s, Route{Priority: priority}, o, hollowgrade.Call{}, time.Second, 0).Rank
	}
	require.Equal(t, 0, request(s, 2, Organisation{}))
	require.Equal(t, 2, request(s, 9, Organisation{}))
	require.Equal(t, 1, request(s, 9, Organisation{Priority: 7, HasPriority: true}), "an organisation's goes first")
	require.Equal(t, 0, request(rankedCatalog(nil, 7, 7).Services["s"], 7, Organisation{}), "equal ranks are the first")
}

// A plain service whose twelve slots are all taken, and calls of two ranks.
func TestRanksOfPlainCalls(t *testing.T) {
	play := func(ranks ...int) (f *fakeUpstreams, first, second error) {
		f = &fakeUpstreams{replies: []reply{status(200, "hello")}}
		c := newCore(f)
		c.SetCatalog(rankedCatalog(nil, ranks...))
		for range 12 {
			c.fleet.pick("s", placement.Request{TimeLeft: time.Second}, nil)
		}
		first = c.Serve(context.Background(), call("/a/x"), &fakeSink{})
		second = c.Serve(context.Background(), call("/b/x"), &fakeSink{})
		return f, first, second
	}
	t.Run("the less urgent is refused at once", func(t *testing.T) {
		f, first, second := play(1, 4)
		require.NoError(t, first)
		requireFault(t, fault.As(second, hollowgrade.Unknown), fault.CannotMakeIt, hollowgrade.NotRun)
		require.Len(t, f.sentCalls(), 1)
		require.True(t, f.sentCalls()[0].HasPriority)
		require.Equal(t, 0, f.sentCalls()[0].Priority)
	})
	t.Run("with equal ranks both are sent, without a rank", func(t *testing.T) {
		f, first, second := play(4, 4)
		require.NoError(t, errors.Join(first, second))
		require.Len(t, f.sentCalls(), 2)
		require.False(t, f.sentCalls()[1].HasPriority)
	})
}

// smallMemoryFigures returns figures of engines whose memory one of the longest prompts fills.
func smallMemoryFigures() *engine.Figures {
	e := *figures()
	e.Slots, e.Capacity, e.Stride, e.UsualAnswer = 12, 200_000, 48, 1400
	return &e
}

// Short prompts of the first rank, 66 a second, and then as well some of the last that
// each fill an engine for long.
func TestGatewaysLearnWhichPromptsAreUrgent(t *testing.T) {
	query := placement.Request{Engine: smallMemoryFigures(), PromptTokens: 5_000, MaxTokens: 1_400, Goal: 300 * time.Millisecond, PauseGoal: 250 * time.Millisecond, TimeLeft: 10 * time.Second}
	archive := placement.Request{Engine: smallMemoryFigures(), PromptTokens: 180_000, MaxTokens: 700, Goal: 6 * time.Second, PauseGoal: time.Second, TimeLeft: 15 * time.Second, Rank: 1}
	// play returns how many of the last rank are admitted, and the first that is refused.
	play := func(without ...placement.Mechanism) (admitted int, p *pick) {
		f := newFleet("e", 16)
		f.policy = placement.New(placement.Without(append(without, placement.Refusing)...)) // only room decides
		f.release(f.pick("e", archive, nil), true)
		for i := 0; ; i++ {
			q := f.pick("e", query, nil)
			require.False(t, q.Refused)
			time.AfterFunc(time.Second, func() { f.release(q, true) })
			time.Sleep(15 * time.Millisecond)
			if i < 200 || i%20 > 0 {
				continue
			}
			if p = f.pick("e", archive, nil); p.Refused {
				time.Sleep(2 * time.Second) // all short calls end
				return admitted, p
			}
			admitted++
		}
	}
	synctest.Test(t, func(t *testing.T) {
		admitted, p := play()
		require.True(t, p.Outranked)
		require.Positive(t, admitted)
		without, p := play(placement.Ranking)
		require.True(t, p.OutOfMemory)
		require.Greater(t, without, admitted)
	})
}
