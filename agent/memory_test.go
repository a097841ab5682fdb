package agent

import (
	"context"
	"fmt"
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

// oddEngine is an engine of whose allocations one cannot be used.
type oddEngine struct {
	hollowgrade.Engine
	released []string
}

// Load implements [hollowgrade.Engine].
func (e *oddEngine) Load(context.Context) (hollowgrade.EngineLoad, error) {
	return hollowgrade.EngineLoad{TotalTokens: 100}, nil
}

// Holdings implements [hollowgrade.Engine].
func (e *oddEngine) Holdings(context.Context) ([]hollowgrade.Allocation, error) {
	return []hollowgrade.Allocation{{ID: "x", Tokens: 40}}, fmt.Errorf("%w: 1 of 2", hollowgrade.ErrUnusedEntries)
}

// Cancel implements [hollowgrade.Engine].
func (e *oddEngine) Cancel(context.Context, string) error {
	return nil
}

// Release implements [hollowgrade.Engine].
func (e *oddEngine) Release(_ context.Context, id string) error {
	e.released = append(e.released, id)
	return nil
}

// Guards against an engine that gets no requests since one of its allocations is odd.
func TestOddHoldingDoesNotMakeAnEngineUnreachable(t *testing.T) {
	e := &oddEngine{}
	a := New(hollowgrade.Box{}, "i", nil, WithEngine(e))
	for range orphanSweeps {
		require.NoError(t, a.sweep())
	}
	require.True(t, a.reachable)
	require.Equal(t, []string{"x"}, e.released)
}
