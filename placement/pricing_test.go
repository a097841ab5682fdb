package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/engine"
)

// slowFigures returns figures of engines with about two thirds of the prefill rate and twice the time
// per pair.
func slowFigures() *engine.Figures {
	return &engine.Figures{
		Slots: 12, Capacity: 344_250, Step: 1310 * time.Microsecond, StepPerRequest: 917 * time.Nanosecond, StepPerContext: 2130 * time.Nanosecond,
		PrefillRate: 154_000, PerMillionPairs: 162 * time.Microsecond, Chunk: 2048, Stride: 38, Hop: 100 * time.Microsecond, UsualPrompt: 14_000, UsualAnswer: 1270,
	}
}

// longestCall is a call of the longest kind.
func longestCall(tokens int) Request {
	return Request{Engine: slowFigures(), PromptTokens: tokens, MaxTokens: 700, Goal: 4 * time.Second, PauseGoal: time.Second, TimeLeft: 15 * time.Second}
}

// withDemand returns the snapshot with an expected rate, a second, of prompts of one length.
func withDemand(s Snapshot, rate float64, tokens int) Snapshot {
	s.Demand = Demand{
		Prompts:    []ExpectedPrompts{{Rate: rate, PrefillTime: slowFigures().PrefillTime(tokens, 1)}},
		MeanAge:    2 * time.Second,
		KnownShare: 1,
	}
	return s
}

// afterOneLongPrompt returns 60 engines of which 17 have 4.2 s of prefill backlog, the parts of one
// prompt of 900,000 tokens.
func afterOneLongPrompt() Snapshot {
	s := snapshot(60, Candidate{Slots: 12, Open: 1})
	for i := range 17 {
		s.Candidates[i].PrefillBacklog = 4200 * time.Millisecond
	}
	return s
}

func requireAdmitted(t *testing.T, p *Policy, s Snapshot, r Request, want bool) {
	t.Helper()
	l := requirePlan(t, p, s, r)
	require.Equal(t, !want, l.Refused, "worth %.1f, cost %.1f, displaced %.1f, first event after %s", r.Worth(), l.Cost, l.Displaced, l.FirstEvent)
}

// Guards against one prompt of 900,000 tokens on 17 of 60 engines raising the price on all of them:
// prompts of 200,000 tokens were refused for seconds, although their first events would have come
// within a quarter of the goal.
func TestOneLongPromptDoesNotCloseTheFleet(t *testing.T) {
	s := withDemand(afterOneLongPrompt(), 4.4, 260_000)
	l := requirePlan(t, New(WithPricing(Displacement)), s, longestCall(200_000))
	require.Less(t, l.FirstEvent, longestCall(0).Goal/4)
	requireAdmitted(t, New(WithPricing(Displacement)), s, longestCall(200_000), true)
	t.Run("nor where a second is priced by the engines that are busy", func(t *testing.T) {
		requireAdmitted(t, New(), s, longestCall(200_000), true)
	})
	t.Run("which the mean backlog did", func(t *testing.T) {
		requireAdmitted(t, New(WithPricing(MeanBacklog)), s, longestCall(200_000), false)
	})
}

func TestAPromptPaysForThoseWhoComeWhileItIsRead(t *testing.T) {
	idle := snapshot(60, Candidate{Slots: 12, Open: 1})
	longest := longestCall(800_000)
	t.Run("it is taken while nobody is expected", func(t *testing.T) {
		requireAdmitted(t, New(WithPricing(Displacement)), withDemand(idle, 0, 260_000), longest, true)
	})
	t.Run("it is refused while prompts are expected that earn more a second", func(t *testing.T) {
		requireAdmitted(t, New(WithPricing(Displacement)), withDemand(idle, 14, 260_000), longest, false)
	})
	t.Run("those are taken themselves", func(t *testing.T) {
		requireAdmitted(t, New(WithPricing(Displacement)), withDemand(idle, 14, 260_000), longestCall(200_000), true)
	})
	t.Run("it was taken at the price of the moment", func(t *testing.T) {
		requireAdmitted(t, New(WithPricing(MeanBacklog)), withDemand(idle, 14, 260_000), longest, true)
	})
	t.Run("it is taken where four times as many engines have room", func(t *testing.T) {
		many := snapshot(240, Candidate{Slots: 12, Open: 1})
		requireAdmitted(t, New(WithPricing(Displacement)), withDemand(many, 14, 260_000), longest, true)
	})
}

func TestDisplacedWorth(t *testing.T) {
	p := New()
	e := slowFigures()
	short, long := ExpectedPrompts{Rate: 1, PrefillTime: e.PrefillTime(45_000, 1)}, ExpectedPrompts{Rate: 1, PrefillTime: e.PrefillTime(260_000, 1)}
	ds := demandByDensity(Demand{Prompts: []ExpectedPrompts{long, short}, MeanAge: time.Second}, e, time.Second)
	t.Run("counts what earns the most a second first", func(t *testing.T) {
		require.Len(t, ds, 2)
		require.Greater(t, ds[0].density, ds[1].density)
		require.InDelta(t, short.PrefillTime.Seconds(), ds[0].seconds, 1e-9)
	})
	t.Run("rises with the seconds and never above all that is expected", func(t *testing.T) {
		require.Less(t, servedWorth(ds, 1), servedWorth(ds, 5))
		require.InDelta(t, (Request{PromptTokens: 45_000}).Worth()+(Request{PromptTokens: 260_000}).Worth(), servedWorth(ds, 1000), 0.1)
	})
	t.Run("is nothing where nothing is expected", func(t *testing.T) {
		s := snapshot(9, Candidate{PrefillBacklog: 2 * time.Second})
		s.Demand.KnownShare = 1
		require.Zero(t, priceByDisplacement(p, s, s.Candidates, []int{0, 1}, longestCall(200_000), Plan{PrefillTime: time.Second, FirstEvent: 3 * time.Second}))
	})
	t.Run("leaves out prompts that one engine reads", func(t *testing.T) {
		require.Empty(t, demandByDensity(Demand{Prompts: []ExpectedPrompts{{Rate: 100, PrefillTime: e.PrefillTime(5_000, 1)}}, MeanAge: time.Second}, e, time.Second))
	})
}

func TestRoom(t *testing.T) {
	p, r := New(), longestCall(200_000)
	plan := Plan{PrefillTime: 500 * time.Millisecond}
	t.Run("is what engines have not to read yet", func(t *testing.T) {
		before, after := p.freePrefillTime([]Candidate{{PrefillBacklog: time.Second}, {}}, []int{1}, r, plan, 3*time.Second)
		require.Equal(t, 5*time.Second, before)
		require.Equal(t, 4500*time.Millisecond, after)
	})
	t.Run("is none where a part makes others pause too long", func(t *testing.T) {
		c := Candidate{Stakes: shortCall().Stakes().Plus(shortCall().Stakes())}
		before, after := p.freePrefillTime([]Candidate{c}, []int{0}, r, plan, 3*time.Second)
		require.Zero(t, before)
		require.Zero(t, after)
	})
	t.Run("is less on slow engines", func(t *testing.T) {
		before, after := p.freePrefillTime([]Candidate{{Pace: 2}}, []int{0}, r, plan, 3*time.Second)
		require.Equal(t, 1500*time.Millisecond, before)
		require.Equal(t, time.Second, after)
	})
}

func TestExpectedMin(t *testing.T) {
	require.InDelta(t, 3, expectedMin(3, 0, 10), 1e-9)
	require.InDelta(t, 3, expectedMin(3, 1, 100), 1e-6)
	require.InDelta(t, 10-4/2.5066282746, expectedMin(10, 4, 10), 1e-6, "half of the time the variable is less, by 0.8 deviations on average")
	require.InDelta(t, -5, expectedMin(10, 1, -5), 1e-6)
}

func TestDemandThatIsNotKnownYet(t *testing.T) {
	s := snapshot(60, Candidate{Slots: 12, Open: 1, PrefillBacklog: 2 * time.Second})
	t.Run("is told by what engines have to read", func(t *testing.T) {
		l := requirePlan(t, New(WithPricing(Displacement)), s, longestCall(300_000))
		require.InDelta(t, requirePlan(t, New(WithPricing(MeanBacklog)), s, longestCall(300_000)).Displaced, l.Displaced, 1e-9)
	})
	t.Run("and less so the longer it has been listened", func(t *testing.T) {
		s.Demand.KnownShare = 0.9
		l := requirePlan(t, New(WithPricing(Displacement)), s, longestCall(300_000))
		require.InDelta(t, requirePlan(t, New(WithPricing(MeanBacklog)), s, longestCall(300_000)).Displaced/10, l.Displaced, 1e-9)
	})
}
