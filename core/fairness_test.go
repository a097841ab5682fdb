package core

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/engine"
	"github.com/hollowgrade/hollowgrade/fairness"
)

// Load: long prompts of which some find no upstream, one is tried twice, and one is short.
func TestLongPromptsAreCountedForTheirParty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		figures := &engine.Figures{Slots: 4, Stride: 1, Step: time.Millisecond, PrefillRate: 20_000, Capacity: 1_000_000}
		f := &fakeUpstreams{replies: []reply{shed, status(200, "hello")}}
		c := newCore(f, WithHall("hall-a"))
		c.SetCatalog(NewCatalog(2, []Route{
			{Name: "again", Host: "h", Prefix: "/again/", Repeat: Again, Timeout: time.Minute, Targets: []Target{{"s", 1}}, MaxAttempts: 3},
			{Name: "unserved", Host: "h", Prefix: "/unserved/", Repeat: Again, Timeout: time.Minute, Targets: []Target{{"none", 1}}, MaxAttempts: 1},
		}, []Service{{Name: "s", Engine: figures}, {Name: "none", Engine: figures}}, []Organisation{{Name: "o", Keys: []string{"k"}}}, Limits{}))
		serve := func(path string, tokens int) error {
			l := call(path)
			l.PromptTokens, l.MaxTokens = tokens, 1
			return c.Serve(context.Background(), l, &fakeSink{})
		}
		require.NoError(t, serve("/again/", 20_000))
		require.Len(t, f.sentCalls(), 2)
		require.NoError(t, serve("/again/", 100))
		require.Error(t, serve("/unserved/", 20_000))
		time.Sleep(time.Second)
		sums := map[fairness.Kind]fairness.Entry{}
		for _, e := range c.Fleet().Fairness().Entries() {
			sums[e.Kind] = e
		}
		require.Len(t, sums, 3)
		require.Equal(t, "o", sums[fairness.Organisation].Name)
		require.Equal(t, "hall-a", sums[fairness.Hall].Name)
		require.Equal(t, fairness.SizeOf(20_000), sums[fairness.Size].Size)
		asked, got := sums[fairness.Organisation].Asked.Seconds(), sums[fairness.Organisation].Got.Seconds()
		require.InDelta(t, 2, asked/got, 0.1, "one of two long prompts was placed")
		require.InDelta(t, 2, asked, 0.5, "the sum decays")
	})
}

// Load: a gateway that refuses one of two organisations, and one that has none of their prompts.
func TestFactorCountsAllGateways(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refused, served := fairness.Party{Organisation: "refused"}, fairness.Party{Organisation: "served"}
		a, b := NewFleet(hollowgrade.SystemClock(), discardLogger()), NewFleet(hollowgrade.SystemClock(), discardLogger())
		for range 8 {
			a.recordAsked(refused, time.Second)
			a.recordAsked(served, time.Second)
			a.recordGot(served, time.Second)
		}
		factor := func() float64 {
			b.mu.Lock()
			defer b.mu.Unlock()
			return b.fairnessFactor(b.clock.Now(), refused)
		}
		time.Sleep(time.Second)
		s := a.FairnessChanges()
		require.False(t, s.Empty())
		b.ReceiveFairness("a", s)
		require.InDelta(t, 1, factor(), 0, "without a view of the peer")
		b.ReceiveView("a", nil, true)
		b.ReceiveFairness("a", s)
		time.Sleep(time.Second)
		require.Greater(t, factor(), 1.5)
		b.DropView("a")
		require.InDelta(t, 1, factor(), 0)
	})
}
