package agent

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
)

// A sweep can see a holding between the release of its lease and its own release, so only a holding
// that two sweeps in a row find without a lease is an orphan.
func TestLostMemoryIsSeenTwice(t *testing.T) {
	a := New(hollowgrade.Box{}, "i", nil)
	load := hollowgrade.EngineLoad{TotalTokens: 100}
	held := []hollowgrade.Allocation{{ID: "x", Kind: hollowgrade.ExportAllocation, Tokens: 40}}

	require.Empty(t, a.orphans(load, held))
	require.Zero(t, a.OrphanTokens(), "one sweep is not enough")
	require.Len(t, a.orphans(load, held), 1)
	require.Equal(t, 40, a.OrphanTokens())
	require.Empty(t, a.orphans(load, nil))
	require.Zero(t, a.OrphanTokens())
}
