package experiment

import (
	"path/filepath"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// worthByKind returns what the requests of each kind earned of what was owed, over some seeds.
func worthByKind(f File, v Variant, seeds int) map[string]float64 {
	owed, earned := map[string]float64{}, map[string]float64{}
	var mu sync.Mutex
	var g sync.WaitGroup
	for i := range seeds {
		x := f
		x.Seed += uint64(i)
		g.Go(func() {
			rs := Simulate(x, v)
			mu.Lock()
			defer mu.Unlock()
			for _, r := range rs {
				owed[r.Kind] += r.Owed
				earned[r.Kind] += r.Earned
			}
		})
	}
	g.Wait()
	for k := range earned {
		earned[k] /= owed[k]
	}
	return earned
}

// Guards against refusing long prompts while engines are idle: their prefill takes four fifths of the
// engines' time while they come, so that there is time for most of them if they go one after another.
func TestLongPromptsNearCapacity(t *testing.T) {
	f, err := Read(filepath.Join(examplesDir, "near-capacity.toml"))
	require.NoError(t, err)
	v := Variant{Name: "gateway", Decisions: Worth}
	before := worthByKind(f, v, 6)
	v.Calendar = true
	waiting := worthByKind(f, v, 6)
	t.Logf("worth %v, without waiting %v", waiting, before)
	require.GreaterOrEqual(t, waiting["drawing"], 0.75)
	require.Greater(t, waiting["drawing"], before["drawing"]+0.05)
	for _, k := range []string{"note", "section"} {
		require.Greater(t, waiting[k], before[k]-0.03, k)
	}
}
