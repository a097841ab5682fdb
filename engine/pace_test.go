package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSlowEngine(t *testing.T) {
	f := Figures{Step: time.Millisecond, Stride: 10, PrefillRate: 1000}
	prefill := f.PrefillTime(100, 1)
	t.Run("makes passes and reading longer, and not what was counted in its own time", func(t *testing.T) {
		s := State{PrefillBacklog: time.Second, Pace: 3}
		require.Equal(t, 30*time.Millisecond, f.PassTime(s))
		require.Equal(t, time.Second+3*prefill+45*time.Millisecond, f.TimeToFirstEvent(s, prefill))
		require.Equal(t, time.Second+3*prefill+30*time.Millisecond, f.LongestPause(s, prefill))
	})
	t.Run("counts as published where it is not known", func(t *testing.T) {
		require.Equal(t, f.TimeToFirstEvent(State{Pace: 1}, prefill), f.TimeToFirstEvent(State{}, prefill))
	})
}
