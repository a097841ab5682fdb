package experiment

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/config"
)

func TestEngineTime(t *testing.T) {
	f := loadExample(t)
	f.Duration = config.Duration(3 * time.Second)
	work := f.Engines.figures().PrefillTime(100_000, 1).Seconds() / float64(f.Engines.Count)
	t.Run("a pass counts in each second that it touches", func(t *testing.T) {
		e := newEngineTime(f)
		e.addPass(800*time.Millisecond, 400*time.Millisecond, time.Second)
		n := float64(f.Engines.Count)
		require.InDelta(t, 0.2/n, e.seconds[0].Prefill, 1e-9)
		require.InDelta(t, 0.2/n, e.seconds[1].Prefill, 1e-9)
		require.InDelta(t, 0.6/n, e.seconds[1].Decode, 1e-9)
		require.Zero(t, e.seconds[2].Decode)
	})
	t.Run("a prompt counts when it comes, when it is refused, and when its goal has passed", func(t *testing.T) {
		e := newEngineTime(f)
		e.addRefused(1500*time.Millisecond, 100_000)
		ss := e.complete([]Kind{{Name: "x", Goal: config.Duration(time.Second)}}, []Result{
			{Kind: "x", Prompt: 100_000, First: 2 * time.Second},
			{Kind: "x", Prompt: 100_000, First: time.Second},
			{Kind: "x", Prompt: 100_000, Refused: true},
		})
		require.InDelta(t, 3*work, ss[0].Asked, 1e-9)
		require.InDelta(t, work, ss[1].Refused, 1e-9)
		require.InDelta(t, work, ss[1].Late, 1e-9)
		require.Equal(t, 1.0, ss[2].Idle)
	})
	t.Run("engines do what they are asked for", func(t *testing.T) {
		f.Bursts, f.Kinds, f.Duration = nil, f.Kinds[:1], config.Duration(10*time.Second)
		_, ss := simulate(f, Variant{Decisions: LeastRequests})
		asked, done := 0.0, 0.0
		for _, s := range ss {
			require.InDelta(t, 1, s.Prefill+s.Decode+s.Idle, 1e-9)
			require.Zero(t, s.Refused)
			asked, done = asked+s.Asked, done+s.Prefill
		}
		require.InEpsilon(t, asked, done, 0.05)
	})
}

func TestWriteEngineTime(t *testing.T) {
	var b bytes.Buffer
	r := Report{Variants: []Summary{{Name: "x", EngineTime: []EngineSecond{{Second: 7, Prefill: 0.5, Idle: 0.5, Asked: 2}}}}}
	require.NoError(t, r.WriteEngineTime(&b))
	require.Regexp(t, `(?m)^ +7 +0.50 +0.00 +0.50 +2.00 +0.00 +0.00$`, b.String())
}
