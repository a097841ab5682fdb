package agent

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/fault"
)

func requireOutcome(t *testing.T, want hollowgrade.Outcome, err error) {
	t.Helper()
	require.Equal(t, want, fault.As(err, hollowgrade.Unknown).Outcome)
}

// A job that waits between two of its pieces is bounced when the engine is
// gone. It has run in part, and "not run" would be a lie.
func TestBouncedBetweenPieces(t *testing.T) {
	gone := fault.New(fault.UpstreamLost, "gone").WithOutcome(hollowgrade.NotRun)
	j := &job{}

	t.Run("before the first piece it did not run", func(t *testing.T) {
		requireOutcome(t, hollowgrade.NotRun, afterStart(j, gone))
	})
	t.Run("after the first piece it failed", func(t *testing.T) {
		j.started.Store(true)
		requireOutcome(t, hollowgrade.Failed, afterStart(j, gone))
	})
}
