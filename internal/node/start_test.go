package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
)

// These tests guard against a gateway that takes callers without a configuration because its
// process was paused. The wait of 0.7 s for the configuration was measured on the clock. In a
// process that was paused (0.45 s at a time) it was over before the process could handle what had
// arrived meanwhile (the configuration was read 0.1 to 16 ms later), or before a configuration in
// force counted as confirmed. Calls were refused with 503 although the store served.

// pausedClock is the clock of a process that is paused once.
type pausedClock struct {
	hollowgrade.Clock
	start      time.Time
	pauseAfter time.Duration // running time before the pause
	pause      time.Duration
}

// Now implements [hollowgrade.Clock].
func (s pausedClock) Now() time.Time {
	now := s.Clock.Now()
	if now.Sub(s.start) >= s.pauseAfter {
		now = now.Add(s.pause)
	}
	return now
}

func TestCallersAreTakenOnceEnoughIsKnown(t *testing.T) {
	// wait returns for how long the process ran until callers were taken, and whether the
	// configuration was known then. known and synced are the running times after which these hold.
	wait := func(t *testing.T, known, synced, pause time.Duration) (ran time.Duration, ready bool) {
		t.Helper()
		synctest.Test(t, func(*testing.T) {
			begin := time.Now()
			after := func(d time.Duration) func() bool {
				return func() bool { return time.Since(begin) >= d }
			}
			c := pausedClock{hollowgrade.SystemClock(), begin, 5 * time.Millisecond, pause}
			startupWait{c, after(known), after(synced)}.wait(context.Background())
			ran = time.Since(begin)
			ready = after(known)()
		})
		return ran, ready
	}
	t.Run("at once", func(t *testing.T) {
		ran, ready := wait(t, 30*time.Millisecond, 60*time.Millisecond, 0)
		require.True(t, ready)
		require.Equal(t, 60*time.Millisecond, ran)
	})
	t.Run("also if the process stood still for longer than the wait", func(t *testing.T) {
		ran, ready := wait(t, 30*time.Millisecond, 60*time.Millisecond, 10*time.Second)
		require.True(t, ready)
		require.Equal(t, 60*time.Millisecond, ran)
	})
	t.Run("without what some that are listed never tell", func(t *testing.T) {
		ran, ready := wait(t, 30*time.Millisecond, time.Hour, 0)
		require.True(t, ready)
		require.InDelta(t, (30*time.Millisecond + peersTimeout).Seconds(), ran.Seconds(), startupPoll.Seconds())
	})
	t.Run("and without the store after a while", func(t *testing.T) {
		ran, ready := wait(t, time.Hour, 0, 0)
		require.False(t, ready)
		require.Equal(t, startupTimeout, ran)
	})
	t.Run("as long as without standing still", func(t *testing.T) {
		ran, ready := wait(t, time.Hour, 0, 10*time.Second)
		require.False(t, ready)
		require.InDelta(t, startupTimeout.Seconds(), ran.Seconds(), maxPollStep.Seconds())
	})
}
