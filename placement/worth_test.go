package placement

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Calls of any length and rank, of which each costs others engine time and pauses.
func TestWorthByRank(t *testing.T) {
	for _, tokens := range []int{0, 5_000, 190_000} {
		first := Request{PromptTokens: tokens}
		last := first
		require.InDelta(t, 1+float64(tokens)/worthTokens, first.Worth(), 1e-9, "by length only")
		for rank := 1; rank < 10; rank++ {
			next := last
			next.Rank = rank
			require.Equal(t, tokens > 0, next.Worth() < last.Worth(), "rank %d, %d tokens", rank, tokens)
			require.GreaterOrEqual(t, next.Worth(), Request{}.Worth())
			last = next
		}
	}
	t.Run("a second of an engine costs what calls of the same rank earn in it", func(t *testing.T) {
		r := Request{PromptTokens: 180_000, Rank: 2}
		require.InDelta(t, r.Worth()/(Request{PromptTokens: r.PromptTokens}).Worth(), r.referenceWorthShare(), 0.1)
	})
}
