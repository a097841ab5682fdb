package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/engine"
)

func figures() *engine.Figures {
	return &engine.Figures{
		Slots: 16, Capacity: 450_000, Step: 925 * time.Microsecond, PrefillRate: 256_000, PerMillionPairs: 91700 * time.Nanosecond,
		Chunk: 2048, Stride: 46, UsualAnswer: 1540,
	}
}

func shortCall() Request {
	return Request{Engine: figures(), PromptTokens: 5_000, MaxTokens: 1500, Goal: 300 * time.Millisecond, PauseGoal: 250 * time.Millisecond, TimeLeft: 10 * time.Second}
}

func longCall() Request {
	return Request{Engine: figures(), PromptTokens: 210_000, MaxTokens: 800, Goal: 3 * time.Second, PauseGoal: time.Second, TimeLeft: 15 * time.Second}
}

// snapshot returns a snapshot of n engines with the same load.
func snapshot(n int, c Candidate) Snapshot {
	s := Snapshot{KnownPeerShare: 1, Random: func() float64 { return 0 }}
	for range n {
		s.Candidates = append(s.Candidates, c)
	}
	return s
}

func requirePlan(t *testing.T, p *Policy, s Snapshot, r Request) Plan {
	t.Helper()
	l, ok := p.Place(s, r)
	require.True(t, ok)
	return l
}

func requireRefused(t *testing.T, s Snapshot, r Request, want bool) {
	t.Helper()
	l := requirePlan(t, New(), s, r)
	require.Equal(t, want, l.Refused, "first event after %s", l.FirstEvent)
	if want {
		require.GreaterOrEqual(t, l.RetryAfter, MinRetryAfter)
		require.LessOrEqual(t, l.RetryAfter, MaxRetryAfter)
	}
}

func TestShortCallsThatWouldBeLate(t *testing.T) {
	full := Candidate{Open: 24, Tokens: 160_000}
	t.Run("are refused once all slots are taken", func(t *testing.T) {
		requireRefused(t, snapshot(9, full), shortCall(), true)
	})
	t.Run("are served while any engine has a slot", func(t *testing.T) {
		s := snapshot(9, full)
		s.Candidates[4].Open = 0
		requireRefused(t, s, shortCall(), false)
	})
	t.Run("are served, late as they are, while slots are free", func(t *testing.T) {
		r := shortCall()
		r.Waited = 2 * time.Second
		requireRefused(t, snapshot(9, Candidate{Open: 4, PrefillBacklog: time.Second}), r, false)
	})
	t.Run("are served once their stream has begun", func(t *testing.T) {
		r := shortCall()
		r.StreamStarted = true
		requireRefused(t, snapshot(9, full), r, false)
	})
	t.Run("are served where the route has no goal", func(t *testing.T) {
		r := shortCall()
		r.Goal = 0
		requireRefused(t, snapshot(9, full), r, false)
	})
	t.Run("are queued when the mechanism is left out", func(t *testing.T) {
		require.False(t, requirePlan(t, New(Without(Shedding)), snapshot(9, full), shortCall()).Refused)
	})
}

func TestPriceFollowsFromHowFastEnginesRead(t *testing.T) {
	half := *figures()
	half.PrefillRate /= 2
	half.PerMillionPairs *= 2
	require.InDelta(t, worthPerSecond(figures())/2, worthPerSecond(&half), 0.01)
	t.Run("and is next to nothing while nothing waits", func(t *testing.T) {
		require.InDelta(t, minBusyShare*worthPerSecond(figures()), pricePerSecond(snapshot(9, Candidate{}).Candidates, figures()), 1e-9)
	})
	t.Run("and whole once reading waits everywhere", func(t *testing.T) {
		require.InDelta(t, worthPerSecond(figures()), pricePerSecond(snapshot(9, Candidate{PrefillBacklog: time.Second}).Candidates, figures()), 1e-9)
	})
}

// Guards against refusing prompts of 400,000 tokens and more on a nearly idle fleet: with 0.2 to
// 0.3 s of prefill backlog and a sixth of the slots in use their price exceeded their worth.
func TestTheLongestPromptsAreServedWhileEnginesHaveTime(t *testing.T) {
	for _, tokens := range []int{400_000, 500_000} {
		r := memoryFillingCall()
		r.PromptTokens = tokens
		s := snapshot(150, Candidate{Slots: 10, Open: 2, Tokens: 12_000, PrefillBacklog: 230 * time.Millisecond})
		l := requirePlan(t, New(), s, r)
		require.Less(t, l.FirstEvent, r.Goal/2)
		require.False(t, l.Refused, "%d tokens, displaced %.2f", tokens, l.Displaced)
	}
	t.Run("and refused once each engine has seconds to read", func(t *testing.T) {
		requireRefused(t, snapshot(150, Candidate{Slots: 10, PrefillBacklog: 2 * time.Second}), func() Request {
			r := memoryFillingCall()
			r.PromptTokens = 500_000
			return r
		}(), true)
	})
}

func TestTimeSinceTheFirstTryCounts(t *testing.T) {
	r := longCall()
	s := snapshot(18, Candidate{PrefillBacklog: 500 * time.Millisecond})
	fresh := requirePlan(t, New(), s, r)
	r.Waited = 4 * time.Second
	late := requirePlan(t, New(), s, r)
	require.Greater(t, late.Cost, fresh.Cost, "time since the first attempt must raise the cost of lateness")
}

// Guards against refusing callers a second time on an idle fleet: counted from the first attempt
// they were late already, and the cost of lateness exceeded the worth of the call.
func TestCallsThatAreLateAlreadyAreServedWhereNobodyIsHarmed(t *testing.T) {
	for _, tokens := range []int{16_000, 44_000, 250_000} {
		r := longCall()
		r.PromptTokens, r.Waited, r.RefusedBefore = tokens, 12*time.Second, true
		l := requirePlan(t, New(), snapshot(18, Candidate{}), r)
		require.Less(t, l.Cost, r.Worth(), tokens)
		require.False(t, l.Refused, tokens)
	}
}

func TestLongAnswersComeFromFewEngines(t *testing.T) {
	s := snapshot(18, Candidate{})
	targets := map[int]bool{}
	for range 6 {
		l := requirePlan(t, New(), s, longCall())
		targets[l.Target] = true
		s.Candidates[l.Target].Open++
		s.Candidates[l.Target].Stakes = s.Candidates[l.Target].Stakes.Plus(longCall().Stakes())
	}
	require.Len(t, targets, 1)
	t.Run("from one where others bear no longer pauses", func(t *testing.T) {
		s := snapshot(17, Candidate{})
		s.Candidates[16].Open, s.Candidates[16].Stakes = 1, longCall().Stakes()
		r := longCall()
		r.PromptTokens = 45_000
		require.Equal(t, 16, requirePlan(t, New(), s, r).Target)
		require.Equal(t, 0, requirePlan(t, New(Without(Restricting)), s, r).Target)
	})
}

func TestPausesAreToldApartByAFifth(t *testing.T) {
	for _, pause := range []time.Duration{200, 250, 500, 600, 800, 1000} {
		r := Request{PauseGoal: pause * time.Millisecond, PromptTokens: 9_000}
		s := r.Stakes()
		require.Zero(t, s.Loss(0, r.PauseGoal*4/7), pause)
		require.InDelta(t, r.Worth(), s.Loss(0, r.PauseGoal*11/10), 0.01, pause)
		half := s.Loss(0, r.PauseGoal*9/10)
		require.Greater(t, half, r.Worth()/3, pause)
		require.Less(t, half, r.Worth(), pause)
		require.InDelta(t, r.Worth(), half+s.Loss(r.PauseGoal*9/10, 2*r.PauseGoal), 0.01, pause)
	}
	t.Run("none is at stake without a pause goal", func(t *testing.T) {
		require.Equal(t, Stakes{}, Request{PromptTokens: 1}.Stakes())
	})
}

func TestPartsAreHeldBackBehindEarlierOnes(t *testing.T) {
	s := snapshot(18, Candidate{PrefillBacklog: time.Second})
	r := longCall()
	r.StreamStarted = true
	require.Equal(t, 700*time.Millisecond, requirePlan(t, New(), s, r).SendDelay)
	require.Zero(t, requirePlan(t, New(Without(Holding)), s, r).SendDelay)
}

func TestEnginesThatFailedLately(t *testing.T) {
	s := snapshot(18, Candidate{Avoided: true})
	t.Run("are used when there are no others", func(t *testing.T) {
		l := requirePlan(t, New(), s, longCall())
		require.NotEmpty(t, l.Helpers)
	})
	t.Run("are left alone when there are", func(t *testing.T) {
		s.Candidates[3].Avoided, s.Candidates[7].Avoided = false, false
		l := requirePlan(t, New(), s, longCall())
		require.Subset(t, []int{3, 7}, append(l.Helpers, l.Target))
	})
}

func TestNoUpstream(t *testing.T) {
	for _, r := range []Request{shortCall(), longCall(), {}} {
		_, ok := New().Place(snapshot(0, Candidate{}), r)
		require.False(t, ok)
		_, ok = New().Place(snapshot(3, Candidate{Tried: true}), r)
		require.False(t, ok)
	}
}
