package core

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/placement"
)

// requireExpectedPrompts checks that prompts of one length are expected, their rate and their
// prefill time.
func requireExpectedPrompts(t *testing.T, d placement.Demand, perSecond float64, prefill time.Duration) {
	t.Helper()
	require.Len(t, d.Prompts, 1)
	require.InDelta(t, perSecond, d.Prompts[0].Rate, 0.1)
	require.InDelta(t, prefill.Seconds(), d.Prompts[0].PrefillTime.Seconds(), 0.05)
}

// prefillShares returns the shares of a peer that has placed prefill work of duration d on each of some
// engines.
func prefillShares(d time.Duration, engines ...hollowgrade.Instance) map[hollowgrade.Instance]Share {
	m := map[hollowgrade.Instance]Share{}
	for _, e := range engines {
		m[e] = Share{Open: 1, Prefill: time.Duration(prefillOverhead * float64(d))}
	}
	return m
}

func TestExpectedPrompts(t *testing.T) {
	expected := func(f *Fleet) placement.Demand { return f.expected("e", f.clock.Now()) }
	run := func(name string, do func(t *testing.T, f *Fleet)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet("e", 18)
				require.Empty(t, expected(f).Prompts)
				require.Zero(t, expected(f).KnownShare)
				do(t, f)
			})
		})
	}
	run("are those that this process placed, until no more come", func(t *testing.T, f *Fleet) {
		p := f.pick("e", long(210_000), nil)
		require.False(t, p.Refused)
		requireExpectedPrompts(t, expected(f), 0.5, p.request.Engine.PrefillTime(210_000, 1))
		time.Sleep(20 * time.Second)
		require.Empty(t, expected(f).Prompts)
		require.Greater(t, expected(f).KnownShare, 0.99)
	})
	run("are those that others placed, whose parts come in several packets", func(t *testing.T, f *Fleet) {
		f.ReceiveView("b", nil, true)
		f.ReceiveView("b", prefillShares(time.Second, "u00", "u01"), false)
		time.Sleep(5 * time.Millisecond)
		f.ReceiveView("b", prefillShares(time.Second, "u02"), false)
		time.Sleep(2 * promptPartsWindow)
		requireExpectedPrompts(t, expected(f), 0.5, 3*time.Second)
	})
	run("are not what another had given before it was first heard", func(t *testing.T, f *Fleet) {
		f.ReceiveView("c", prefillShares(time.Second, "u00", "u01"), true)
		time.Sleep(2 * promptPartsWindow)
		require.Empty(t, expected(f).Prompts)
	})
}

func TestRateOfExpectedPrompts(t *testing.T) {
	var d demand
	now := time.Unix(1000, 0)
	for range 100 {
		now = now.Add(250 * time.Millisecond)
		d.add(now, 4*time.Second)
	}
	now = now.Add(125 * time.Millisecond)
	requireExpectedPrompts(t, d.expected(now), 4, 4*time.Second)
	t.Run("counts a word that comes late by its age", func(t *testing.T) {
		before := d.expected(now).Prompts[0].Rate
		d.add(now.Add(-time.Second), 4*time.Second)
		require.InDelta(t, before+0.5*math.Exp(-0.5), d.expected(now).Prompts[0].Rate, 1e-9)
	})
}
