// Package retry limits retries: a budget bounds them to a small part of the traffic, so that they
// don't overload a fleet that is failing, and a circuit breaker avoids an upstream that failed until
// a probe succeeds.
package retry

import (
	"sync"
	"time"
)

// Budget allows retries in proportion to first attempts. It is safe for
// concurrent use.
type Budget struct {
	mu      sync.Mutex
	ratio   float64
	limit   float64
	balance float64
}

// NewBudget returns a budget that allows ratio retries for each first attempt in the long run, and
// accumulates at most limit of them. It starts full, so that a box with little traffic can retry.
func NewBudget(ratio, limit float64) *Budget {
	return &Budget{ratio: ratio, limit: limit, balance: limit}
}

// Deposit records a first attempt.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+b.ratio, b.limit)
}

// Spend takes one retry from the budget, and reports whether there was one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Refund returns one retry that was spent but not made.
func (b *Budget) Refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+1, b.limit)
}

// Breaker is a circuit breaker for one upstream: it opens after consecutive failures and closes when
// a single probe succeeds. It is safe for concurrent use.
type Breaker struct {
	mu        sync.Mutex
	threshold int
	cooldown  time.Duration
	failures  int
	until     time.Time
	probing   bool
}

// NewBreaker returns a closed breaker that opens after threshold consecutive failures and allows one
// probe per cooldown.
func NewBreaker(threshold int, cooldown time.Duration) *Breaker {
	return &Breaker{threshold: threshold, cooldown: cooldown}
}

// Open reports whether the upstream must be avoided at now. After the cooldown it returns false
// until the probe has been claimed with Allow.
func (b *Breaker) Open(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures >= b.threshold && (b.probing || now.Before(b.until))
}

// Allow reports whether a request may be sent at now. While the breaker is open, it allows one
// request per cooldown.
func (b *Breaker) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < b.threshold {
		return true
	}
	if now.Before(b.until) {
		return false
	}
	b.probing = true
	b.until = now.Add(b.cooldown)
	return true
}

// Succeed records a success and closes the breaker.
func (b *Breaker) Succeed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures, b.probing = 0, false
}

// Fail records a failure.
func (b *Breaker) Fail(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures++
	b.probing = false
	b.until = now.Add(b.cooldown)
}
