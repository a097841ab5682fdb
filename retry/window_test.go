package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestWindow(t *testing.T) {
	begin := time.Now()
	start := begin.Add(-time.Minute) // a process that started longer than a window ago
	at := begin.Add
	t.Run("a process that has just started does not know what was spent before", func(t *testing.T) {
		w := NewWindow(10*time.Second, 0.5, 5, begin)
		require.True(t, w.Spend(at(9*time.Second)))
		require.False(t, w.Spend(at(9*time.Second)))
		w.RecordFirst(at(9 * time.Second))
		w.RecordFirst(at(9 * time.Second))
		require.True(t, w.Spend(at(9*time.Second)), "the ratio holds from the start")
		require.False(t, w.Spend(at(9*time.Second)))
		require.True(t, w.Spend(at(10*time.Second)))
	})
	t.Run("no span of its length holds more", func(t *testing.T) {
		w := NewWindow(10*time.Second, 0, 1, start)
		require.True(t, w.Spend(at(499*time.Millisecond)))
		require.False(t, w.Spend(at(10*time.Second+498*time.Millisecond)))
	})
	t.Run("ratio and slack", func(t *testing.T) {
		w := NewWindow(10*time.Second, 0.2, 2, start)
		for range 10 {
			w.RecordFirst(at(time.Second))
		}
		n := 0
		for w.Spend(at(2 * time.Second)) {
			n++
		}
		require.Equal(t, 4, n)
	})
	t.Run("what was spent comes back after the window", func(t *testing.T) {
		w := NewWindow(10*time.Second, 0, 1, start)
		require.True(t, w.Spend(at(0)))
		require.False(t, w.Spend(at(9*time.Second)))
		require.True(t, w.Spend(at(10*time.Second+500*time.Millisecond)))
		require.False(t, w.Spend(at(19*time.Second)))
	})
	t.Run("a long rest forgets all", func(t *testing.T) {
		w := NewWindow(10*time.Second, 1, 0, start)
		w.RecordFirst(at(0))
		require.False(t, w.Spend(at(time.Hour)))
		w.RecordFirst(at(time.Hour))
		require.True(t, w.Spend(at(time.Hour)))
	})
	t.Run("the slack changes", func(t *testing.T) {
		w := NewWindow(10*time.Second, 0, 0, start)
		require.False(t, w.Spend(at(0)))
		w.SetSlack(1)
		require.True(t, w.Spend(at(0)))
	})
	t.Run("the ratio changes", func(t *testing.T) {
		w := NewWindow(10*time.Second, 0, 0, start)
		w.RecordFirst(at(0))
		require.False(t, w.Spend(at(0)))
		w.SetRatio(1)
		require.True(t, w.Spend(at(0)))
	})
}
