package core

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
)

func TestWatchdog(t *testing.T) {
	t.Run("barks again until it is heard", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			n := 0
			w := newWatchdog(hollowgrade.SystemClock(), time.Second, func() bool { n++; return n == 3 })
			time.Sleep(10 * time.Second)
			synctest.Wait()
			w.stop()
			require.Equal(t, 3, n)
		})
	})
	t.Run("a reset begins the wait anew", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			n := 0
			w := newWatchdog(hollowgrade.SystemClock(), time.Second, func() bool { n++; return true })
			for range 5 {
				time.Sleep(900 * time.Millisecond)
				w.reset(time.Second)
			}
			w.reset(0)
			time.Sleep(time.Minute)
			w.stop()
			require.Zero(t, n)
		})
	})
	// The function reads the set of tried upstreams, which the next attempt changes; the two must not
	// run at the same time.
	t.Run("stop waits for a bark that is under way", func(t *testing.T) {
		entered, release := make(chan struct{}), make(chan struct{})
		done := false
		w := newWatchdog(hollowgrade.SystemClock(), time.Nanosecond, func() bool {
			close(entered)
			<-release
			done = true
			return true
		})
		<-entered
		time.AfterFunc(20*time.Millisecond, func() { close(release) })
		w.stop()
		require.True(t, done)
	})
}
