package callers

import "sync/atomic"

// Budget bounds the bytes of requests that a process holds for all callers together. It is safe for
// concurrent use.
type Budget struct {
	limit int64 // 0 for no bound
	held  atomic.Int64
}

// NewBudget returns a budget of limit bytes, without a bound if that is 0.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit}
}

// Take reserves n bytes, or reports that the budget has no room for them.
func (b *Budget) Take(n int64) bool {
	if b.held.Add(n) <= b.limit || b.limit == 0 {
		return true
	}
	b.held.Add(-n)
	return false
}

// Return returns n bytes that were taken.
func (b *Budget) Return(n int64) {
	b.held.Add(-n)
}

// Held returns the bytes that are taken.
func (b *Budget) Held() int64 {
	return b.held.Load()
}
