package experiment

import (
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/config"
)

// seeds is the number of loads that are simulated where the outcome depends on chance.
const seeds = 4

// meanServedInTime returns the mean of servedInTime over some seeds.
func meanServedInTime(f File, v Variant, kind string) (mean float64) {
	part := make([]float64, seeds)
	var g sync.WaitGroup
	for i := range part {
		g.Go(func() {
			f := f
			f.Seed = uint64(i + 1)
			part[i] = servedInTime(f, v, kind)
		})
	}
	g.Wait()
	for _, x := range part {
		mean += x / seeds
	}
	return mean
}

// Guards against sending work to engines that are slow but don't fail: a sixth of the engines
// become five times as slow after three seconds. Gateways that don't ask for their pace take them
// for idle, and nearly each long prompt has a part at one of them.
func TestSlowEnginesAreAllowedFor(t *testing.T) {
	f, err := Read(filepath.Join(examplesDir, "some-slow.toml"))
	require.NoError(t, err)
	f.Duration = config.Duration(11 * time.Second)
	f.Slow = []Slow{{Engines: 3, X: 5, At: config.Duration(3 * time.Second), For: f.Duration}}
	for _, x := range []struct {
		kind  string
		gains float64
	}{{"brief", 0.03}, {"plan", 0.2}, {"season", -0.05}} {
		t.Run(x.kind, func(t *testing.T) {
			asked := meanServedInTime(f, Variant{Name: "gateway", Decisions: Worth}, x.kind)
			not := meanServedInTime(f, Variant{Name: "not asked", Decisions: Worth, Unasked: true}, x.kind)
			t.Logf("served in time: %.3f, and %.3f where engines are not asked how fast they are", asked, not)
			require.Greater(t, asked, not+x.gains)
		})
	}
}
