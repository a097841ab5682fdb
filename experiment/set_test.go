package experiment

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/config"
	"github.com/hollowgrade/hollowgrade/placement"
)

const examplesDir = "../examples/experiments"

// On each deployment of the set, the gateways' decisions must earn more than placement by the
// fewest open requests.
func TestNoDeploymentIsWorseThanLeastRequests(t *testing.T) {
	ns, err := ReadSet(examplesDir)
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(ns), 10)
	for i := range ns {
		f := &ns[i].File
		f.Duration = min(f.Duration, config.Duration(16*time.Second))
		f.Variants = []Variant{{Name: "gateway", Decisions: Worth}, {Name: "least requests", Decisions: LeastRequests}}
	}
	r := SimulateSet(ns, 1, 4, func(int, int) {})
	worth := map[string]float64{}
	for _, m := range r.Means() {
		if m.Variant == "gateway" {
			worth[m.File] = m.Worth
			continue
		}
		require.Greater(t, worth[m.File], m.Worth, m.File)
	}
}

func TestSets(t *testing.T) {
	f := loadExample(t)
	f.Duration = config.Duration(2 * time.Second)
	f.Variants = []Variant{{Name: "a", Decisions: LeastRequests}, {Name: "b", Decisions: RoundRobin}}
	ns := []NamedFile{{"x", f}, {"y", f}}
	calls := 0
	r := SimulateSet(ns, 2, 3, func(ended, all int) {
		calls++
		require.Equal(t, calls, ended)
		require.Equal(t, 8, all)
	})
	require.Len(t, r.Runs, 8)
	ms := r.Means()
	require.Len(t, ms, 4)
	require.InDelta(t, (r.Runs[0].Worth+r.Runs[1].Worth)/2, ms[0].Worth, 1e-9)
	require.Equal(t, ms[0].Worth, ms[2].Worth, "the same file and seeds give the same")
	var b bytes.Buffer
	require.NoError(t, r.WriteText(&b))
	require.Contains(t, b.String(), "±")
	t.Run("an empty folder", func(t *testing.T) {
		_, err := ReadSet(t.TempDir())
		require.ErrorContains(t, err, "has no file that ends in .toml")
	})
	t.Run("a missing one", func(t *testing.T) {
		_, err := ReadSet(filepath.Join(t.TempDir(), "none"))
		require.ErrorIs(t, err, os.ErrNotExist)
	})
}

func TestVariantsWithoutMechanisms(t *testing.T) {
	f := loadExample(t)
	f.Variants = []Variant{{Name: "x", Decisions: Worth, Without: []string{"guessing"}}}
	require.ErrorContains(t, f.check(), `variant x: without names "guessing"`)
	for _, m := range placement.Mechanisms() {
		f.Variants[0].Without = []string{string(m)}
		require.NoError(t, f.check())
	}
	f.Duration = config.Duration(6 * time.Second)
	split := worthShare(Simulate(f, Variant{Name: "all", Decisions: Worth}))
	f.Variants[0].Without = []string{string(placement.Splitting)}
	require.Less(t, worthShare(Simulate(f, f.Variants[0])), split)
}

// Refused callers retry once, and their goal counts from their first attempt.
func TestRefusedCallersComeBack(t *testing.T) {
	f := loadExample(t)
	f.Duration = config.Duration(12 * time.Second)
	for i := range f.Kinds {
		f.Kinds[i].Retries = 1
	}
	again := 0
	for _, r := range Simulate(f, f.Variants[0]) {
		require.LessOrEqual(t, r.Tries, 2)
		if r.Tries == 2 {
			again++
		}
		if r.Tries == 2 && r.First > 0 {
			require.GreaterOrEqual(t, r.First, time.Second, "the retry delay is at least a second")
		}
	}
	require.Positive(t, again)
}
