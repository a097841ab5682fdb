package agent

import (
	"testing"
	"testing/synctest"
	"time"

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

func TestPolicyShareBindsLongRequests(t *testing.T) {
	a := New(hollowgrade.Box{}, "i", nil)
	j := &job{}
	t.Run("without a policy the agent's own limit holds", func(t *testing.T) {
		require.Equal(t, a.limits.LongShare, a.longShare(j))
	})
	t.Run("a lower share binds", func(t *testing.T) {
		j.request.Decision.Share = 0.25
		require.Equal(t, 0.25, a.longShare(j))
	})
	t.Run("a higher share does not widen the limit", func(t *testing.T) {
		j.request.Decision.Share = 1
		require.Equal(t, a.limits.LongShare, a.longShare(j))
	})
}

// A claim on a key does not outlive a suspension of the machine, during which the steady clock stands still.
func TestClaimOverASuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started, lost := time.Now(), time.Duration(0)
		w := hollowgrade.NewWorldClock(hollowgrade.WithBootClock(func() (time.Duration, error) { return time.Since(started) + lost, nil }))
		a := New(hollowgrade.Box{}, "i", nil, WithClock(w))
		j := &job{lease: w.Now().Add(3 * time.Second)}
		j.request.Key = "k"
		require.NoError(t, a.mayStart(j))
		lost = 5 * time.Second
		requireOutcome(t, hollowgrade.NotRun, a.mayStart(j))
	})
}
