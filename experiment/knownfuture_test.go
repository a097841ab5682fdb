package experiment

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/config"
	"github.com/hollowgrade/hollowgrade/engine"
)

func TestKnownFuture(t *testing.T) {
	f := loadExample(t)
	figures := f.Engines.figures()
	f.Kinds = []Kind{
		{Name: "short", Goal: config.Duration(200 * time.Millisecond), Allowed: config.Duration(time.Second), Worth: 1},
		{Name: "long", Goal: config.Duration(2 * time.Second), Allowed: config.Duration(20 * time.Second), Worth: 1, Late: 0.25},
	}
	f.Engines.Count = maxPromptEngines
	long := func(d time.Duration) int { return figures.PrefillTokens(maxPromptEngines * d) }
	serve := func(rs ...Result) []Result {
		for i := range rs {
			rs[i].Refused = true
		}
		newKnownFuture(f).serveAll(rs)
		return rs
	}
	t.Run("a prompt takes all engines that it can have, and none if it would be over its timeout", func(t *testing.T) {
		tokens := long(time.Second)
		rs := serve(Result{Kind: "long", Prompt: tokens, Owed: 8}, Result{Kind: "long", Prompt: long(time.Minute), Owed: 800})
		pass := figures.PassTime(engine.State{Decoding: 1, Context: tokens})
		require.InDelta(t, (time.Second + pass).Seconds(), rs[0].First.Seconds(), gridStep.Seconds())
		require.Equal(t, 8.0, rs[0].Earned)
		require.True(t, rs[1].Refused)
		require.Zero(t, rs[1].Earned)
	})
	t.Run("the greater worth a second goes first, and the other is late", func(t *testing.T) {
		rs := serve(
			Result{Kind: "long", Prompt: long(1500 * time.Millisecond), Owed: 8},
			Result{Kind: "long", Prompt: long(1200 * time.Millisecond), Owed: 8, Arrived: 100 * time.Millisecond})
		require.Equal(t, 2.0, rs[0].Earned)
		require.Equal(t, 8.0, rs[1].Earned)
		require.Less(t, rs[1].First, rs[0].First)
	})
	t.Run("short goals go before worth", func(t *testing.T) {
		rs := serve(
			Result{Kind: "long", Prompt: long(time.Second), Owed: 1000},
			Result{Kind: "short", Prompt: 5_000, Owed: 0.01})
		require.Equal(t, 0.01, rs[1].Earned)
		require.Equal(t, 1000.0, rs[0].Earned)
	})
}

// The yardstick has the arrivals of the other variants and earns more.
func TestKnownFutureBesideGateways(t *testing.T) {
	f := loadExample(t)
	f.Duration = config.Duration(8 * time.Second)
	all, ss := simulate(f, Variant{Decisions: KnownFuture})
	perfect := Simulate(f, Variant{Decisions: Worth, Perfect: true})
	require.Len(t, all, len(perfect))
	for i, r := range all {
		require.Equal(t, perfect[i].Arrived, r.Arrived)
		require.Equal(t, perfect[i].Owed, r.Owed)
	}
	require.Greater(t, worthShare(all), worthShare(perfect))
	for _, s := range ss {
		require.LessOrEqual(t, s.Prefill, 1+1e-9)
	}
}
