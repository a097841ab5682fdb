package core

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// readingOf returns how long an upstream takes until it has read all that it was given.
func readingOf(m *member) time.Duration {
	all, _ := m.reading(time.Now())
	return all
}

func TestBacklog(t *testing.T) {
	const (
		write = 80 * time.Millisecond
		part  = 300 * time.Millisecond
	)
	t0 := time.Unix(100, 0)
	requireLeft := func(t *testing.T, b backlog, after, all, waiting time.Duration) {
		t.Helper()
		now := t0.Add(after)
		b = b.at(now, write)
		require.Equal(t, all, b.left(now), "all")
		require.Equal(t, waiting, b.waiting, "waiting")
	}
	t.Run("of an engine that reads nothing begins with the pass after the steps under way", func(t *testing.T) {
		b := backlog{}.plus(t0, part, write)
		requireLeft(t, b, 0, write/2+part+write, 0)
		requireLeft(t, b, 400*time.Millisecond, 20*time.Millisecond, 0)
		requireLeft(t, b, time.Second, 0, 0)
	})
	t.Run("of one where nobody writes begins at once", func(t *testing.T) {
		requireLeft(t, backlog{}.plus(t0, part, 0), 0, part, 0)
	})
	t.Run("waits for the end of a pass that reads", func(t *testing.T) {
		b := backlog{}.plus(t0, part, write).plus(t0.Add(200*time.Millisecond), part, write)
		requireLeft(t, b, 200*time.Millisecond, 220*time.Millisecond+part, part)
		requireLeft(t, b, 419*time.Millisecond, time.Millisecond+part, part)
		requireLeft(t, b, 420*time.Millisecond, part+write, 0)
		requireLeft(t, b, 700*time.Millisecond, 100*time.Millisecond, 0)
		requireLeft(t, b, 5*time.Second, 0, 0)
	})
	t.Run("what is taken back waited last", func(t *testing.T) {
		b := backlog{}.plus(t0, part, write).plus(t0, part, write).plus(t0, -part, write)
		requireLeft(t, b, 0, write/2+part+write, 0)
		requireLeft(t, b.plus(t0, -part, write), 0, 0, 0)
		requireLeft(t, b.plus(t0, -10*part, write), 0, 0, 0)
	})
	t.Run("takes longer at an engine that has become slow", func(t *testing.T) {
		b := backlog{}.plus(t0, part, 0).plus(t0, part, 0)
		requireLeft(t, b.times(t0.Add(part/2), 3), part/2, 3*(part/2)+3*part, 3*part)
	})
}

// An engine in the midst of a long part looked idle to short calls: what it had been given ran off from the
// moment at which it was given, though it was read after the pass before.
func TestEnginesThatReadALongPartDoNotLookIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("e", 2)
		for range 4 {
			f.pick("e", short(), nil)
		}
		f.members["u00"].give(time.Now(), 200*time.Millisecond)
		time.Sleep(20 * time.Millisecond)
		f.members["u00"].give(time.Now(), 400*time.Millisecond)
		time.Sleep(500 * time.Millisecond)
		require.Greater(t, readingOf(f.members["u00"]), 100*time.Millisecond, "of 600 ms, with steps of those that write")
		require.Equal(t, "u01", f.pick("e", short(), nil).member.ID)
	})
}
