package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
)

// The story. A gateway that had just started refused calls with 503 although the store served
// (TestCallersWaitForTheConfiguration, once in CI on a machine whose processes stood still for 0.45 s at a time). It
// waits 0.7 s for its configuration and takes callers then, with or without it. The wait was measured on the clock, so
// that it was over for a process that had stood still, before that could do anything with what had come meanwhile.
//
// The evidence: with the test process stopped for 0.72 s and let run for 10 to 50 ms by turns, 4 of 7 plays were red;
// "callers are taken" with waited_ms 722 to 777 and no configuration came 0.1 to 16 ms before "configuration read". In two
// of them the call was refused with HG2009, "last confirmed 2562047h47m ago": the configuration was in force
// already and did not count as confirmed yet.

// standing is a clock whose process stands still once, for some time.
type standing struct {
	hollowgrade.Clock
	begun time.Time
	after time.Duration // after which it stands still
	still time.Duration // for how long
}

// Now implements [hollowgrade.Clock].
func (s standing) Now() time.Time {
	now := s.Clock.Now()
	if now.Sub(s.begun) >= s.after {
		now = now.Add(s.still)
	}
	return now
}

func TestCallersAreTakenOnceEnoughIsKnown(t *testing.T) {
	// waited returns for how long the process ran until callers were taken, and whether all was known then. What is
	// needed is known after some time for which the process ran.
	waited := func(t *testing.T, known, heard, still time.Duration) (ran time.Duration, ready bool) {
		t.Helper()
		synctest.Test(t, func(*testing.T) {
			begin := time.Now()
			after := func(d time.Duration) func() bool {
				return func() bool { return time.Since(begin) >= d }
			}
			c := standing{hollowgrade.SystemClock(), begin, 5 * time.Millisecond, still}
			opening{c, after(known), after(heard)}.wait(context.Background())
			ran = time.Since(begin)
			ready = after(known)()
		})
		return ran, ready
	}
	t.Run("at once", func(t *testing.T) {
		ran, ready := waited(t, 30*time.Millisecond, 60*time.Millisecond, 0)
		require.True(t, ready)
		require.Equal(t, 60*time.Millisecond, ran)
	})
	t.Run("also if the process stood still for longer than the wait", func(t *testing.T) {
		ran, ready := waited(t, 30*time.Millisecond, 60*time.Millisecond, 10*time.Second)
		require.True(t, ready)
		require.Equal(t, 60*time.Millisecond, ran)
	})
	t.Run("without what some that are listed never tell", func(t *testing.T) {
		ran, ready := waited(t, 30*time.Millisecond, time.Hour, 0)
		require.True(t, ready)
		require.InDelta(t, (30*time.Millisecond + hearWithin).Seconds(), ran.Seconds(), openPoll.Seconds())
	})
	t.Run("and without the store after a while", func(t *testing.T) {
		ran, ready := waited(t, time.Hour, 0, 0)
		require.False(t, ready)
		require.Equal(t, openWithin, ran)
	})
	t.Run("as long as without standing still", func(t *testing.T) {
		ran, ready := waited(t, time.Hour, 0, 10*time.Second)
		require.False(t, ready)
		require.InDelta(t, openWithin.Seconds(), ran.Seconds(), latePoll.Seconds())
	})
}
