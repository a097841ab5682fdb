package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRecoveringGatewaysUseTheirOwnPartsFirst(t *testing.T) {
	// targets returns the targets of the calls of one moment, one from each of n gateways.
	targets := func(t *testing.T, n int, s Snapshot, r Request) map[int]int {
		t.Helper()
		picks := map[int]int{}
		for i := range n {
			s.Recovery = Recovery{Index: i, Count: n}
			picks[requirePlan(t, New(), s, r).Target]++
		}
		return picks
	}
	t.Run("each its own where there are enough engines", func(t *testing.T) {
		s := snapshot(60, Candidate{Slots: 16})
		s.Peers = 23
		require.Len(t, targets(t, 24, s, shortCall()), 24)
	})
	t.Run("an equal number of gateways each where there are fewer", func(t *testing.T) {
		for _, n := range targets(t, 24, snapshot(6, Candidate{Slots: 16}), shortCall()) {
			require.Equal(t, 4, n)
		}
	})
	t.Run("not those that the call was sent to", func(t *testing.T) {
		s := snapshot(4, Candidate{Slots: 16})
		s.Candidates[2].Tried = true
		require.NotContains(t, targets(t, 4, s, shortCall()), 2)
	})
	t.Run("and others once these have much to do", func(t *testing.T) {
		s := snapshot(4, Candidate{Slots: 16})
		s.Candidates[2].PrefillBacklog = time.Second
		require.NotContains(t, targets(t, 4, s, shortCall()), 2)
	})
	t.Run("none is there", func(t *testing.T) {
		_, ok := New().Place(Snapshot{Recovery: Recovery{Index: 1, Count: 4}, Random: func() float64 { return 0 }}, shortCall())
		require.False(t, ok)
	})
	t.Run("long prompts and calls of plain services are placed as at any time", func(t *testing.T) {
		s := snapshot(60, Candidate{Slots: 16})
		for _, r := range []Request{longCall(), {TimeLeft: time.Second}} {
			s.Recovery = Recovery{}
			want := requirePlan(t, New(), s, r)
			s.Recovery = Recovery{Index: 7, Count: 24}
			require.Equal(t, want, requirePlan(t, New(), s, r))
		}
	})
}

// Guards against new callers that are treated as late because they allow for less time than the
// route does: their calls were placed at engines with a backlog beyond their goal.
func TestTimeLeftSaysNothingInRecovery(t *testing.T) {
	s := snapshot(10, Candidate{Slots: 16})
	s.Recovery = Recovery{Index: 3, Count: 10}
	r := shortCall()
	want := requirePlan(t, New(), s, r)
	r.Waited, r.RefusedBefore = time.Second, true
	require.Equal(t, want, requirePlan(t, New(), s, r))
}

func TestDelaysInRecovery(t *testing.T) {
	v := Recovery{Index: 3, Count: 10}
	requireDelay := func(t *testing.T, v Recovery, r Request, resumed bool, shortest, longest time.Duration) {
		t.Helper()
		a, b := v.Delay(r, resumed)
		require.Equal(t, []time.Duration{shortest, longest}, []time.Duration{a, b})
	}
	t.Run("none for new short calls", func(t *testing.T) {
		requireDelay(t, v, shortCall(), false, 0, 0)
	})
	t.Run("resumed streams go behind", func(t *testing.T) {
		requireDelay(t, v, shortCall(), true, 150*time.Millisecond, 500*time.Millisecond)
	})
	t.Run("longer where the goal is", func(t *testing.T) {
		r := longCall()
		requireDelay(t, v, r, true, 562500*time.Microsecond, 1875*time.Millisecond)
	})
	t.Run("for a part of the time left at the most", func(t *testing.T) {
		r := shortCall()
		r.TimeLeft = 800 * time.Millisecond
		requireDelay(t, v, r, true, 30*time.Millisecond, 100*time.Millisecond)
		r.TimeLeft = -time.Second
		requireDelay(t, v, r, true, 0, 0)
	})
	t.Run("new long prompts go after the first short calls", func(t *testing.T) {
		requireDelay(t, v, longCall(), false, 0, 100*time.Millisecond)
	})
	t.Run("none otherwise", func(t *testing.T) {
		requireDelay(t, Recovery{}, longCall(), true, 0, 0)
		requireDelay(t, v, Request{TimeLeft: time.Second}, true, 0, 0)
	})
}
