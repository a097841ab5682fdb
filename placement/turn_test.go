package placement

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/engine"
)

// tenSlotFigures returns figures of engines with ten slots.
func tenSlotFigures() *engine.Figures {
	f := *figures()
	f.Slots = 10
	return &f
}

// burstSnapshot is a fleet in a burst of short calls: all engines have as many calls as are packed
// on them, and a few have one less.
func burstSnapshot(uncounted float64) Snapshot {
	s := snapshot(150, Candidate{Slots: 10, Open: 6, Tokens: 36_000})
	for i := range 5 {
		s.Candidates[i*30].Open = 5
	}
	s.Peers, s.UncountedCalls = 102, uncounted
	return s
}

// requirePicks lets n gateways decide on the same snapshot, each with its own random number, and
// checks the largest number of calls that any engine gets.
func requirePicks(t *testing.T, p *Policy, n int, s Snapshot, r Request, least, most int) {
	t.Helper()
	picks := map[int]int{}
	for i := range n {
		s.Random = func() float64 { return (float64(i) + 0.5) / float64(n) }
		picks[requirePlan(t, p, s, r).Target]++
	}
	busiest := 0
	for _, n := range picks {
		busiest = max(busiest, n)
	}
	require.GreaterOrEqual(t, busiest, least, picks)
	require.LessOrEqual(t, busiest, most, picks)
}

// Guards against gateways picking the same engines in a burst: decisions within the milliseconds
// before their peers' reports arrive filled the slots of a few engines and made the calls late.
func TestCallsOfOneMomentAreSharedOut(t *testing.T) {
	r := shortCall()
	r.Engine = tenSlotFigures()
	t.Run("among engines, as by one process", func(t *testing.T) {
		requirePicks(t, New(), 14, burstSnapshot(13), r, 1, 2)
	})
	t.Run("and met at one engine without turns", func(t *testing.T) {
		requirePicks(t, New(Without(Turns)), 14, burstSnapshot(13), r, 3, 14)
	})
	t.Run("and go to the cheapest engine when others place none", func(t *testing.T) {
		requirePicks(t, New(Without(Spreading)), 14, burstSnapshot(0), r, 14, 14)
	})
	t.Run("those of plain services too", func(t *testing.T) {
		s := snapshot(6, Candidate{Slots: 6, Open: 2})
		s.Candidates[3].Open = 1
		requirePicks(t, New(Without(Turns)), 4, s, Request{}, 4, 4)
		s.UncountedCalls = 3
		requirePicks(t, New(), 4, s, Request{}, 1, 2)
	})
}

func TestTurnsLeaveTheSnapshotAsItIs(t *testing.T) {
	s := burstSnapshot(50)
	s.Random = func() float64 { return 0.99 }
	r := shortCall()
	r.Engine = tenSlotFigures()
	requirePlan(t, New(), s, r)
	require.Equal(t, burstSnapshot(0).Candidates, s.Candidates)
}

func TestTurnsPassOverWhatWasTried(t *testing.T) {
	s := snapshot(3, Candidate{Slots: 10})
	s.Candidates[0].Tried, s.Candidates[1].Avoided = true, true
	s.UncountedCalls, s.Random = 9, func() float64 { return 0.99 }
	require.Equal(t, 2, requirePlan(t, New(), s, shortCall()).Target)
}

func BenchmarkTurns(b *testing.B) {
	s := burstSnapshot(13)
	r := shortCall()
	r.Engine = tenSlotFigures()
	s.Random = func() float64 { return 0.5 }
	for b.Loop() {
		New().Place(s, r)
	}
}
