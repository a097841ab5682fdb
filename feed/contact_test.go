package feed

import (
	"errors"
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
)

func TestContact(t *testing.T) {
	errTimeout := errors.New("timeout")
	run := func(name string, test func(t *testing.T, c *contact)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &contact{clock: hollowgrade.SystemClock()}
				c.heard()
				time.Sleep(time.Second)
				test(t, c)
			})
		})
	}
	run("a process that polls nobody is not cut off", func(t *testing.T, c *contact) {
		begun := time.Now()
		time.Sleep(time.Minute)
		require.False(t, c.cutOffSince(begun))
		require.False(t, c.isolatedSince(begun))
		c.heard()
		require.False(t, c.isolatedSince(begun))
	})
	run("one whose polls get no answer is, until somebody answers", func(t *testing.T, c *contact) {
		begun := time.Now()
		c.lost(begun, errTimeout)
		require.True(t, c.cutOffSince(begun))
		time.Sleep(relistTime)
		require.False(t, c.isolatedSince(begun))
		time.Sleep(time.Millisecond)
		require.True(t, c.isolatedSince(begun))
		c.heard()
		require.True(t, c.isolatedSince(begun), "of a view that is not complete since")
		time.Sleep(time.Millisecond)
		require.False(t, c.isolatedSince(time.Now()), "of a view that is")
		require.False(t, c.cutOffSince(time.Now()))
		time.Sleep(uncertainPeriod)
		require.False(t, c.isolatedSince(begun), "long after it")
	})
	run("nor is one of whose peers another answers, or refuses", func(t *testing.T, c *contact) {
		sent := time.Now()
		time.Sleep(time.Millisecond)
		c.heard()
		c.lost(sent, errTimeout)
		require.False(t, c.cutOffSince(sent))
		time.Sleep(time.Millisecond)
		c.lost(time.Now(), fmt.Errorf("poll: %w", syscall.ECONNREFUSED))
		require.False(t, c.cutOffSince(time.Now()))
	})
}
