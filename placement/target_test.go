package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// memoryFillingCall is a call with a prompt of which an engine's memory holds only one.
func memoryFillingCall() Request {
	return Request{Engine: tenSlotFigures(), PromptTokens: 300_000, MaxTokens: 1500, Goal: 4 * time.Second, PauseGoal: time.Second, TimeLeft: 15 * time.Second}
}

// applyPlan adds the load of a plan to the snapshot.
func applyPlan(s Snapshot, r Request, l Plan) {
	for _, i := range append(l.Helpers, l.Target) {
		s.Candidates[i].PrefillBacklog += l.PrefillTime
	}
	c := &s.Candidates[l.Target]
	c.Open++
	c.Stakes = c.Stakes.Plus(r.Stakes())
	c.Tokens += targetTokens(r)
	for _, i := range l.Keepers {
		s.Candidates[i].Tokens += l.KeptTokens
	}
}

// overfull returns how many engines hold more tokens than their memory.
func overfull(s Snapshot) (n int) {
	for _, c := range s.Candidates {
		if c.Tokens > memoryFillingCall().Engine.Capacity {
			n++
		}
	}
	return n
}

// busyFleet returns a fleet in which all engines but the first ones have short calls in decode.
func busyFleet(engines, free int) Snapshot {
	r := shortCall()
	r.Engine = tenSlotFigures()
	s := snapshot(engines, Candidate{Slots: 10, Open: 3, Tokens: 18_000, Stakes: r.Stakes().Plus(r.Stakes()).Plus(r.Stakes())})
	for i := range free {
		s.Candidates[i] = Candidate{Slots: 10}
	}
	n := rand.New(rand.NewPCG(1, 2))
	s.Random = n.Float64
	return s
}

// Guards against placing long prompts on sets of engines that are all out of memory: the engines
// with the least pause loss are those that answer other long prompts already. Here 40 of 150
// engines have no short calls.
func TestLongPromptsAreAnsweredWhereThereIsMemory(t *testing.T) {
	placeBurst := func(p *Policy) (s Snapshot) {
		s = busyFleet(150, 40)
		for range 60 {
			l := requirePlan(t, p, s, memoryFillingCall())
			require.False(t, l.Refused)
			applyPlan(s, memoryFillingCall(), l)
			for i := range s.Candidates {
				s.Candidates[i].PrefillBacklog = 0 // the prefill is done before the next call arrives
			}
		}
		return s
	}
	require.Zero(t, overfull(placeBurst(New())))
	require.Positive(t, overfull(placeBurst(New(Without(Rooming)))))
	t.Run("also those that several engines keep", func(t *testing.T) {
		s := busyFleet(150, 40)
		for i := range 40 {
			s.Candidates[i].Tokens = 220_000
		}
		r := memoryFillingCall()
		r.PromptTokens = 500_000 // three parts of 167,000
		l := requirePlan(t, New(), s, r)
		require.Len(t, l.Keepers, 2)
		require.False(t, l.OutOfMemory)
		applyPlan(s, r, l)
		require.Zero(t, overfull(s))
	})
}

func TestLongPromptsForWhichNoEngineHasMemory(t *testing.T) {
	full := func() Snapshot {
		return snapshot(30, Candidate{Slots: 10, Open: 1, Tokens: 300_000, Stakes: memoryFillingCall().Stakes()})
	}
	t.Run("are refused at once, with when to come back", func(t *testing.T) {
		l := requirePlan(t, New(), full(), memoryFillingCall())
		require.True(t, l.OutOfMemory)
		require.True(t, l.Refused)
		require.GreaterOrEqual(t, l.RetryAfter, MinRetryAfter)
	})
	t.Run("go on once their stream has begun", func(t *testing.T) {
		r := memoryFillingCall()
		r.StreamStarted = true
		require.False(t, requirePlan(t, New(), full(), r).Refused)
	})
	t.Run("are sent when one has it", func(t *testing.T) {
		s := full()
		s.Candidates[17].Tokens = 0
		l := requirePlan(t, New(), s, memoryFillingCall())
		require.False(t, l.Refused)
		require.Equal(t, 17, l.Target)
	})
}

// Guards against two gateways sending long prompts to the same engine within milliseconds: the
// second waited 4.5 s for memory, and its parts then delayed 100 short calls in decode at 17 engines.
func TestLongPromptsOfOneMomentDoNotMeet(t *testing.T) {
	s := busyFleet(150, 60)
	targets := map[int]int{}
	for range 40 {
		targets[requirePlan(t, New(), s, memoryFillingCall()).Target]++
	}
	pairs := 0
	for _, n := range targets {
		pairs += n * (n - 1)
	}
	require.Less(t, pairs, 40*39/4, "of %d pairs", 40*39)
	t.Run("and met without chance", func(t *testing.T) {
		s.Random = func() float64 { return 0 }
		first := requirePlan(t, New(Without(Spreading)), s, memoryFillingCall()).Target
		for range 5 {
			require.Equal(t, first, requirePlan(t, New(Without(Spreading)), s, memoryFillingCall()).Target)
		}
	})
}
