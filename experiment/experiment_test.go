package experiment

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/config"
	"github.com/hollowgrade/hollowgrade/engine"
)

const exampleFile = "../examples/experiments/alternating.toml"

func loadExample(t *testing.T) File {
	t.Helper()
	f, err := Read(exampleFile)
	require.NoError(t, err)
	return f
}

func TestPlayRepeats(t *testing.T) {
	f := loadExample(t)
	f.Duration = config.Duration(5 * time.Second)
	for _, v := range f.Variants {
		a, b := Simulate(f, v), Simulate(f, v)
		require.NotEmpty(t, a)
		require.True(t, reflect.DeepEqual(a, b), v.Name)
	}
}

// A single request takes as long as the model predicts, give or take a pass.
func TestEnginesPlayTheModel(t *testing.T) {
	f := loadExample(t)
	f.Bursts = nil
	f.Gateways = 1
	f.Kinds = f.Kinds[2:3]
	f.Kinds[0].Rate = 0.05
	f.Kinds[0].PromptMax = 250_000 // so that no engine has two at once
	f.Duration = config.Duration(200 * time.Second)
	e := f.Engines.figures()
	pass := e.PassTime(engine.State{Decoding: 1})
	rs := Simulate(f, Variant{Name: "one engine", Decisions: RoundRobin})
	require.NotEmpty(t, rs)
	for _, r := range rs {
		want := e.PrefillTime(r.Prompt, 1) + pass
		require.InDelta(t, want.Seconds(), r.First.Seconds(), 2*pass.Seconds(), r.Prompt)
	}
}

func TestEachRequestIsCountedOnce(t *testing.T) {
	f := loadExample(t)
	f.Duration = config.Duration(4 * time.Second)
	f.Bursts = nil
	arrived := len(Simulate(f, f.Variants[0]))
	for _, v := range f.Variants {
		rs := Simulate(f, v)
		require.Equal(t, arrived, len(rs), "%s: the load does not depend on the decisions", v.Name)
		for _, r := range rs {
			require.LessOrEqual(t, r.Earned, r.Owed)
			require.False(t, r.Refused && r.First > 0, "%s %+v", v.Name, r)
		}
	}
}

func TestSlowEnginesCost(t *testing.T) {
	f := loadExample(t)
	f.Duration = config.Duration(6 * time.Second)
	f.Bursts = nil
	v := Variant{Name: "x", Decisions: LeastRequests}
	before := worthShare(Simulate(f, v))
	f.Slow = []Slow{{Engines: 9, X: 8, At: config.Duration(time.Second), For: config.Duration(4 * time.Second)}}
	require.Less(t, worthShare(Simulate(f, v)), before)
}

// The variants must rank as in the users' measurement (docs/MEASUREMENTS.md).
func TestRanking(t *testing.T) {
	r := Compare(loadExample(t))
	w := map[string]float64{}
	for _, v := range r.Variants {
		w[v.Name] = v.Worth
	}
	require.Greater(t, w["gateway"], w["least reading, helpers"])
	require.Greater(t, w["least reading, helpers"], w["least requests"])
	require.Greater(t, w["least requests"], w["round robin"])
}

func TestReports(t *testing.T) {
	f := loadExample(t)
	f.Duration = config.Duration(3 * time.Second)
	f.Variants = f.Variants[3:]
	r := Compare(f)
	var text, svg, doc bytes.Buffer
	require.NoError(t, r.WriteText(&text))
	require.Contains(t, text.String(), "least requests")
	require.NoError(t, r.WriteSVG(&svg))
	require.Contains(t, svg.String(), "<polyline")
	require.NoError(t, r.WriteJSON(&doc))
	var back Report
	require.NoError(t, json.Unmarshal(doc.Bytes(), &back))
	require.Equal(t, r, back)
}

func TestFilesThatCannotBePlayed(t *testing.T) {
	good, err := os.ReadFile(exampleFile)
	require.NoError(t, err)
	for name, c := range map[string][2]string{
		"an unknown key":      {"gateways = 5", "gateway = 5"},
		"no gateways":         {"gateways = 5", "gateways = 0"},
		"a duration in words": {`duration = "32s"`, `duration = "long"`},
		"unknown decisions":   {`decisions = "round_robin"`, `decisions = "best"`},
	} {
		t.Run(name, func(t *testing.T) {
			p := filepath.Join(t.TempDir(), "x.toml")
			require.NoError(t, os.WriteFile(p, bytes.Replace(good, []byte(c[0]), []byte(c[1]), 1), 0o600))
			_, err := Read(p)
			require.Error(t, err)
		})
	}
}
