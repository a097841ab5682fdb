package core

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/engine"
	"github.com/hollowgrade/hollowgrade/placement"
)

var update = flag.Bool("update", false, "write the files of expected results anew")

// goldenCases is the number of random cases in the golden file.
const goldenCases = 400

// randomFigures returns the published figures of one of two kinds of engines.
func randomFigures(r *rand.Rand) *engine.Figures {
	f := &engine.Figures{
		Slots: 16, Capacity: 450_000, Step: 925 * time.Microsecond, StepPerRequest: 5 * time.Microsecond,
		StepPerContext: 2540 * time.Nanosecond, PrefillRate: 256_000, PerMillionPairs: 91_700 * time.Nanosecond, Chunk: 2048,
		Stride: 46, Hop: 100 * time.Microsecond, UsualPrompt: 13_000, UsualAnswer: 1540,
	}
	if r.IntN(2) == 0 {
		f.Slots, f.Capacity, f.Step, f.PrefillRate, f.PerMillionPairs, f.Stride = 12, 405_000, 1310*time.Microsecond, 154_000, 162*time.Microsecond, 34
	}
	return f
}

// randomRequest returns a call of one of three kinds, or one for a plain service.
func randomRequest(r *rand.Rand) placement.Request {
	d := placement.Request{Engine: randomFigures(r), TimeLeft: time.Duration(r.IntN(15_000)) * time.Millisecond}
	switch r.IntN(7) {
	case 0:
		d.Engine = nil
		d.Goal = 300 * time.Millisecond
	case 1, 2:
		d.PromptTokens, d.MaxTokens, d.Goal, d.PauseGoal = 500+r.IntN(20_000), 1500, 300*time.Millisecond, 250*time.Millisecond
	case 3, 4:
		d.PromptTokens, d.MaxTokens, d.Goal, d.PauseGoal = 10_000+r.IntN(90_000), 900, 1500*time.Millisecond, 600*time.Millisecond
	default:
		d.PromptTokens, d.MaxTokens, d.Goal, d.PauseGoal = 60_000+r.IntN(840_000), 700, 3*time.Second, time.Second
	}
	d.RefusedBefore = r.IntN(3) == 0
	d.StreamStarted = r.IntN(20) == 0
	return d
}

// randomFleet returns a fleet of engines with random load.
func randomFleet(r *rand.Rand, now time.Time) *Fleet {
	f := newFleet("e", 1+r.IntN(30))
	if r.IntN(5) == 0 {
		f = newFleet("e", 60+r.IntN(60))
	}
	f.SetRandom(r.Float64)
	f.SetPeers(func() int { return 4 })
	f.ReceiveView("b", nil, true)
	busy := r.Float64()
	for i := range len(f.members) {
		m := f.members[hollowgrade.Instance(fmt.Sprintf("u%02d", i))]
		n := int(busy * float64(r.IntN(20)))
		s := Share{Open: n, Tokens: n * (2000 + r.IntN(20_000))}
		for range n {
			c := placement.Request{PauseGoal: []time.Duration{250, 600, 1000}[r.IntN(3)] * time.Millisecond, PromptTokens: int(30_000 * r.Float64())}
			s.Stakes = s.Stakes.Plus(c.Stakes())
		}
		f.setViewShare(f.views["b"], m.Instance(), s)
		if r.Float64() < busy {
			m.addPrefill(now, time.Duration(r.IntN(2500))*time.Millisecond)
		}
		if r.IntN(12) == 0 {
			m.avoidUntil = now.Add(time.Second)
		}
		if r.IntN(4) == 0 {
			m.load, m.loadAt = hollowgrade.UpstreamLoad{Running: r.IntN(6), Waiting: r.IntN(3)}, now
		}
	}
	return f
}

// describe formats a decision as one line.
func describe(p *pick) string {
	if p == nil {
		return "none"
	}
	return fmt.Sprintf("%s helpers %s holders %s of %d reading %s first %s wait %s cost %.4f refused %v", p.member.ID,
		strings.Join(ids(p.helpers), ","), strings.Join(ids(p.keepers), ","), p.KeptTokens, p.PrefillTime, p.FirstEvent, p.Wait, p.Cost, p.Refused)
}

// The decisions for random cases must match the golden file. A change of policy rewrites it with
// -update; a refactoring must not change it.
func TestDecisionsAreThoseOfTheFile(t *testing.T) {
	path := filepath.Join("testdata", "plans.txt")
	synctest.Test(t, func(t *testing.T) {
		var b bytes.Buffer
		for seed := range uint64(goldenCases) {
			r := rand.New(rand.NewPCG(seed, 1))
			f := randomFleet(r, time.Now())
			tried := map[hollowgrade.Instance]bool{}
			if r.IntN(6) == 0 {
				tried["u00"] = true
			}
			fmt.Fprintf(&b, "%d %s\n", seed, describe(f.pick("e", randomRequest(r), tried)))
		}
		if *update {
			require.NoError(t, os.WriteFile(path, b.Bytes(), 0o600))
		}
		want, err := os.ReadFile(path)
		require.NoError(t, err)
		requireSameLines(t, string(want), b.String())
	})
}

// requireSameLines checks that texts are equal, and reports the first line that differs.
func requireSameLines(t *testing.T, want, got string) {
	t.Helper()
	ws, gs := strings.Split(want, "\n"), strings.Split(got, "\n")
	require.Len(t, gs, len(ws))
	differ := 0
	for i, w := range ws {
		if w != gs[i] {
			differ++
		}
	}
	for i, w := range ws {
		require.Equal(t, w, gs[i], "the first of %d lines that differ", differ)
	}
}
