// Package retry bounds how often work is tried again: a budget keeps retries a
// small part of the traffic, so that a sick fleet is not finished off by its
// own callers, and a breaker keeps away from what failed until a probe
// succeeds.
package retry

import (
	"sync"
	"time"
)

// Budget allows retries in proportion to first attempts. It is safe for
// concurrent use.
type Budget struct {
	mu    sync.Mutex
	ratio float64
	limit float64
	saved float64
}

// NewBudget returns a budget that allows ratio retries for each first attempt
// in the long run, and saves up at most limit of them. It begins full, so that
// a box with little traffic can retry at all.
func NewBudget(ratio, limit float64) *Budget {
	return &Budget{ratio: ratio, limit: limit, saved: limit}
}

// Deposit notes a first attempt.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+b.ratio, b.limit)
}

// Spend takes one retry out of the budget, and reports whether there was one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// Refund gives one retry back, as when it was not made after all.
func (b *Budget) Refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+1, b.limit)
}

// Breaker keeps away from an upstream after failures in a row, until a single
// probe has succeeded. It is safe for concurrent use.
type Breaker struct {
	mu        sync.Mutex
	threshold int
	cooldown  time.Duration
	failures  int
	until     time.Time
	probing   bool
}

// NewBreaker returns a closed breaker that opens after threshold failures in a
// row and lets a probe through each time cooldown has passed.
func NewBreaker(threshold int, cooldown time.Duration) *Breaker {
	return &Breaker{threshold: threshold, cooldown: cooldown}
}

// Open reports whether the upstream is to be avoided at now. Once the cooldown
// has passed it is not, until the probe has been taken with Allow.
func (b *Breaker) Open(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures >= b.threshold && (b.probing || now.Before(b.until))
}

// Allow reports whether a request may be sent at now. While the breaker is
// open that is one request for each cooldown.
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

// Succeed notes a success and closes the breaker.
func (b *Breaker) Succeed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures, b.probing = 0, false
}

// Fail notes a failure.
func (b *Breaker) Fail(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures++
	b.probing = false
	b.until = now.Add(b.cooldown)
}
