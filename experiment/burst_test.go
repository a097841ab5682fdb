package experiment

import (
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/config"
	"github.com/hollowgrade/hollowgrade/placement"
)

// servedInTime returns the share of the requests of a kind that were served within their goals.
func servedInTime(f File, v Variant, kind string) float64 {
	all, served := 0, 0
	for _, r := range Simulate(f, v) {
		if r.Kind != kind {
			continue
		}
		all++
		if r.Earned >= r.Owed {
			served++
		}
	}
	return float64(served) / float64(max(all, 1))
}

// Guards against late answers when many gateways place a burst of short calls on old load reports:
// sixty gateways get 330 calls a second, and each decides on what the others reported up to 25 ms
// before. Without an allowance for load not yet reported, a third of the calls are late.
func TestManyGatewaysServeABurstOfShortCalls(t *testing.T) {
	f, err := Read(filepath.Join(examplesDir, "sixty-gateways.toml"))
	require.NoError(t, err)
	f.Duration = config.Duration(4 * time.Second)
	f.Bursts = []Burst{{Kind: "brief", X: 2.8, For: f.Duration}, {Kind: "season", X: 0.05, For: f.Duration}}
	var allowing, without float64
	var g sync.WaitGroup
	g.Go(func() { allowing = servedInTime(f, Variant{Name: "gateway", Decisions: Worth}, "brief") })
	g.Go(func() {
		without = servedInTime(f, Variant{Name: "without turns", Decisions: Worth, Without: []string{string(placement.Turns)}}, "brief")
	})
	g.Wait()
	t.Logf("served in time: %.3f, without turns %.3f", allowing, without)
	require.Greater(t, allowing, 0.85)
	require.Less(t, without, allowing-0.15)
}
