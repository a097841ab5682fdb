package retry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var t0 = time.Date(2026, 12, 5, 19, 0, 0, 0, time.UTC)

// Guards against a budget that allows more retries than its initial balance plus the ratio of the
// requests, for any order of requests and retries.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(0.1, 10)
		requests, retries := 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "request") {
				b.Deposit()
				requests++
			} else if b.Spend() {
				retries++
			}
			require.LessOrEqual(t, float64(retries), 10+0.1*float64(requests)+1e-9)
		}
	})
}

func requireAllow(t *testing.T, want bool, b *Breaker, at time.Time) {
	t.Helper()
	require.Equal(t, want, b.Allow(at))
}

func TestBreaker(t *testing.T) {
	open := func() *Breaker {
		b := NewBreaker(2, time.Second)
		b.Fail(t0)
		requireAllow(t, true, b, t0)
		b.Fail(t0)
		return b
	}
	t.Run("opens after failures in a row", func(t *testing.T) {
		require.True(t, open().Open(t0))
		requireAllow(t, false, open(), t0)
	})
	t.Run("lets one probe through", func(t *testing.T) {
		b := open()
		at := t0.Add(time.Second)
		require.False(t, b.Open(at))
		requireAllow(t, true, b, at)
		requireAllow(t, false, b, at)
		require.True(t, b.Open(at))
	})
	t.Run("closes when the probe succeeds", func(t *testing.T) {
		b := open()
		b.Allow(t0.Add(time.Second))
		b.Succeed()
		require.False(t, b.Open(t0))
	})
	t.Run("opens again when the probe fails", func(t *testing.T) {
		b := open()
		at := t0.Add(time.Second)
		b.Allow(at)
		b.Fail(at)
		require.True(t, b.Open(at))
	})
}

func ExampleBudget() {
	b := NewBudget(0.5, 1)
	fmt.Println(b.Spend(), b.Spend())
	b.Deposit()
	b.Deposit()
	fmt.Println(b.Spend())
	// Output:
	// true false
	// true
}
