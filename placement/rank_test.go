package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/engine"
)

// smallMemory returns figures of engines whose memory one of the longest prompts fills.
func smallMemory() *engine.Figures {
	e := *figures()
	e.Slots, e.Capacity, e.Stride, e.UsualAnswer = 12, 200_000, 48, 1400
	return &e
}

// rankedCall returns a call of a rank with the length of prompt that goes with it.
func rankedCall(rank int) Request {
	r := Request{Engine: smallMemory(), Rank: rank, TimeLeft: 15 * time.Second, Goal: 6 * time.Second, PauseGoal: time.Second}
	r.PromptTokens = []int{5_000, 45_000, 180_000}[rank]
	r.MaxTokens = []int{1470, 880, 730}[rank]
	return r
}

// urgentDemand returns the demand of some prompts of each rank a second.
func urgentDemand(perSecond ...float64) Demand {
	d := Demand{MeanAge: 2 * time.Second, KnownShare: 1}
	for rank, rate := range perSecond {
		shares := make([]float64, 3)
		shares[rank] = 1
		d.Prompts = append(d.Prompts, ExpectedPrompts{rate, smallMemory().PrefillTime(rankedCall(rank).PromptTokens, 1), shares})
	}
	return d
}

// A burst of prompts that each fill an engine's memory, before 60 engines that short prompts of the
// first rank need as well.
func TestLongPromptsLeaveRoomForMoreUrgentOnes(t *testing.T) {
	burst := func(d Demand) (admitted int, s Snapshot) {
		s = snapshot(60, Candidate{Slots: 12})
		s.Demand = d
		for range 60 {
			l := requirePlan(t, New(Without(Refusing)), s, rankedCall(2))
			if !l.Refused {
				s.Candidates[l.Target].addCall(rankedCall(2), 0)
				admitted++
			}
		}
		return admitted, s
	}
	idle, _ := burst(urgentDemand(0))
	some, _ := burst(urgentDemand(80))
	many, s := burst(urgentDemand(240))
	require.Equal(t, 60, idle, "nobody else needs the engines")
	require.Less(t, some, idle)
	require.Less(t, many, some, "room follows from the demand")
	require.Positive(t, many)
	t.Run("which find it", func(t *testing.T) {
		for range 60 {
			l := requirePlan(t, New(Without(Refusing)), s, rankedCall(0))
			require.False(t, l.Refused)
			require.Zero(t, memoryCost(&s.Candidates[l.Target], rankedCall(0)))
			s.Candidates[l.Target].addCall(rankedCall(0), 0)
		}
	})
	t.Run("not for those of the same rank or a later one", func(t *testing.T) {
		n, _ := burst(urgentDemand(0, 0, 100))
		require.Equal(t, idle, n)
	})
	t.Run("nor where the mechanism is left out", func(t *testing.T) {
		s.Demand = urgentDemand(1000)
		require.False(t, requirePlan(t, New(Without(Refusing, Ranking)), s, rankedCall(2)).Refused)
	})
}

// Engines that fill up while all three ranks are asked for, whichever of them has the longest prompts.
func TestNoCallIsServedBeforeAMoreUrgentOneThatIsRefused(t *testing.T) {
	p := New(Without(Refusing))
	for _, sizes := range [][]int{{0, 1, 2}, {2, 1, 0}, {1, 2, 0}, {1, 0, 2}} {
		d := urgentDemand(0.2, 0.2, 0.2)
		for rank, size := range sizes {
			d.Prompts[size].RankShares = make([]float64, 3)
			d.Prompts[size].RankShares[rank] = 1
		}
		for load := range 14 * 20 {
			open, used := load/20, load%20*10_000
			s := snapshot(3, Candidate{Slots: 12, Open: open, Tokens: used})
			s.Demand = d
			refused := false
			for rank, size := range sizes {
				r := rankedCall(size)
				r.Rank = rank
				l := requirePlan(t, p, s, r)
				require.False(t, refused && !l.Refused, "rank %d of sizes %v is served with %d calls and %d tokens at each engine", rank, sizes, open, used)
				refused = refused || l.Refused
			}
		}
	}
}

// Plain services that get more calls than they have slots, at three upstreams of two slots.
func TestPlainCallsAreRefusedTheLeastUrgentFirst(t *testing.T) {
	refused := func(rank, free int) Plan {
		s := snapshot(3, Candidate{Slots: 2, Open: 2})
		for i := range free {
			s.Candidates[i].Open--
		}
		s.HoldTime = 30 * time.Millisecond
		return requirePlan(t, New(), s, Request{Rank: rank, TimeLeft: time.Second})
	}
	for free, want := range [][]bool{{false, true, true}, {false, false, true}, {false, false, false}} {
		for rank, w := range want {
			require.Equal(t, w, refused(rank, free).Refused, "rank %d with %d free slots", rank, free)
		}
	}
	require.Equal(t, 5*time.Millisecond, refused(1, 0).RetryAfter, "of six slots one ends every sixth of 30 ms")
	require.Equal(t, 10*time.Millisecond, refused(2, 0).RetryAfter)
	t.Run("but not once the answer has begun", func(t *testing.T) {
		l := requirePlan(t, New(), snapshot(3, Candidate{Slots: 2, Open: 2}), Request{Rank: 1, StreamStarted: true})
		require.False(t, l.Refused)
	})
}

// Calls of one rank get the same plans whatever is known of the ranks of expected prompts.
func TestEqualRanksChangeNothing(t *testing.T) {
	for _, c := range []Candidate{{Slots: 12}, {Slots: 12, Open: 7, Tokens: 120_000, PrefillBacklog: 300 * time.Millisecond}, {Slots: 12, Open: 13, Tokens: 190_000}} {
		for rank := range 3 {
			r := rankedCall(rank)
			r.Rank = 0
			s := snapshot(60, c)
			s.Demand = urgentDemand(100, 10, 3)
			want := requirePlan(t, New(Without(Ranking)), s, r)
			require.Equal(t, want, requirePlan(t, New(), s, r))
		}
		plain := snapshot(3, c)
		require.Equal(t, requirePlan(t, New(Without(Ranking)), plain, Request{}), requirePlan(t, New(), plain, Request{}))
	}
}
