package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var testFigures = Figures{
	Slots: 16, Capacity: 450_000, Step: 925 * time.Microsecond, StepPerRequest: 5 * time.Microsecond,
	StepPerContext: 2540 * time.Nanosecond, PrefillRate: 256_000, PerMillionPairs: 91_700 * time.Nanosecond, Chunk: 2048, Stride: 46,
}

func requireMillis(t *testing.T, want float64, d time.Duration) {
	t.Helper()
	require.InDelta(t, want, float64(d)/float64(time.Millisecond), 0.1)
}

func TestReading(t *testing.T) {
	requireMillis(t, 0, testFigures.PrefillTime(0, 1))
	requireMillis(t, 20.7, testFigures.PrefillTime(5_000, 1)) // 19.5 + 1.1
	requireMillis(t, 268.6, testFigures.PrefillTime(45_000, 1))
	requireMillis(t, 2842.3, testFigures.PrefillTime(210_000, 1))
	requireMillis(t, 167.2, testFigures.PrefillTime(210_000, 17))
}

func TestHops(t *testing.T) {
	f := testFigures
	f.Hop, f.UsualAnswer = 100*time.Microsecond, 1540
	requireMillis(t, 154, f.HopTime(4000))
	requireMillis(t, 10, f.HopTime(100))
}

func TestPass(t *testing.T) {
	requireMillis(t, 42.55, testFigures.PassTime(State{}))
	// 10 requests decode with a context of 6,500 tokens each: 46 x (0.925 + 0.05 + 0.1651).
	requireMillis(t, 52.4, testFigures.PassTime(State{Decoding: 10, Context: 65_000}))
	requireMillis(t, 42.55+100, testFigures.LongestPause(State{PrefillBacklog: 60 * time.Millisecond}, 40*time.Millisecond))
	requireMillis(t, 60+40+63.8, testFigures.TimeToFirstEvent(State{PrefillBacklog: 60 * time.Millisecond}, 40*time.Millisecond))
}
