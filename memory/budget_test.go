package memory

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// newClaim returns a claim and a function that reports whether its owner was told that it is revoked.
func newClaim(b *Budget) (c *Claim, told func() bool) {
	var revoked bool
	return b.NewClaim(func() { revoked = true }), func() bool { return revoked }
}

func TestClaimsGiveWayInOrder(t *testing.T) {
	t.Run("earlier stages first, however little they hold", func(t *testing.T) {
		b := NewBudget(100)
		waiting, waitingTold := newClaim(b)
		require.True(t, waiting.Set(90, Waiting))
		partial, partialTold := newClaim(b)
		require.True(t, partial.Set(10, Partial))
		require.True(t, b.Take(5))
		require.True(t, partialTold())
		require.False(t, waitingTold())
		require.Equal(t, int64(95), b.Held())
	})
	t.Run("those that hold the most first", func(t *testing.T) {
		b := NewBudget(100)
		small, smallTold := newClaim(b)
		require.True(t, small.Set(20, Partial))
		large, largeTold := newClaim(b)
		require.True(t, large.Set(70, Partial))
		other, _ := newClaim(b)
		require.True(t, other.Set(30, Partial))
		require.True(t, largeTold())
		require.False(t, smallTold())
		require.False(t, large.Set(1, Working), "a revoked claim gets nothing until it is released")
		large.Release()
		require.True(t, large.Set(1, Working))
	})
	t.Run("older ones first", func(t *testing.T) {
		b := NewBudget(100)
		old, oldTold := newClaim(b)
		require.True(t, old.Set(50, Waiting))
		young, youngTold := newClaim(b)
		require.True(t, young.Set(50, Waiting))
		require.True(t, b.Take(1))
		require.True(t, oldTold())
		require.False(t, youngTold())
	})
	t.Run("the one that asks, if it is the first", func(t *testing.T) {
		b := NewBudget(100)
		small, smallTold := newClaim(b)
		require.True(t, small.Set(40, Partial))
		large, _ := newClaim(b)
		require.True(t, large.Set(60, Partial))
		require.False(t, large.Add(1, Partial))
		require.Equal(t, int64(60), large.Bytes())
		require.False(t, smallTold())
		require.Equal(t, int64(100), b.Held())
	})
	t.Run("never those at work", func(t *testing.T) {
		b := NewBudget(100)
		c, told := newClaim(b)
		require.True(t, c.Set(100, Waiting))
		require.True(t, c.Advance(Working))
		require.False(t, b.Take(1))
		require.False(t, told())
		c.Release()
		require.Zero(t, b.Held())
	})
}

func TestClaimsWithoutABound(t *testing.T) {
	b := NewBudget(0)
	c, told := newClaim(b)
	require.True(t, c.Set(1<<40, Partial))
	require.True(t, b.Take(1<<40))
	require.False(t, told())
}

// A total that is not given back on some way out would refuse callers for good.
func TestClaimsOfManyOwnersLeaveNothing(t *testing.T) {
	const owners, rounds, limit = 16, 500, 1000
	b := NewBudget(limit)
	var g sync.WaitGroup
	for i := range owners {
		g.Go(func() {
			c := b.NewClaim(func() {})
			for r := range rounds {
				n := int64((i*rounds + r*7) % limit)
				if c.Set(n, Partial) && c.Add(n/2, Waiting) {
					c.Advance(Working)
				}
				require.LessOrEqual(t, b.Held(), int64(limit))
				c.Release()
			}
		})
	}
	g.Wait()
	require.Zero(t, b.Held())
}
