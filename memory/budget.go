// Package memory bounds the memory that other processes can make this one hold.
package memory

import (
	"container/heap"
	"sync"
)

// Stage is how far the work has come that a claim is for. Claims of an earlier stage give way to those of a
// later one.
type Stage int

// The stages, in the order in which claims give way.
const (
	Partial Stage = iota // a message that has not arrived as a whole and was not parsed
	Waiting              // a request whose body has not arrived
	Working              // a request that is being served; it does not give way
)

// Budget bounds the bytes that a process holds for all others together. It is safe for concurrent use.
type Budget struct {
	limit int64 // 0 for no bound

	mu        sync.Mutex
	held      int64
	sequence  uint64 // of the newest claim
	revoked   uint64
	revocable claims
}

// NewBudget returns a budget of limit bytes, without a bound if that is 0.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit}
}

// Take reserves n bytes until they are returned, or reports that the budget has no room for them. Claims
// that are not of the stage [Working] give way.
func (b *Budget) Take(n int64) bool {
	b.mu.Lock()
	ok, revoked := b.makeRoom(n, nil)
	if ok {
		b.held += n
	}
	b.mu.Unlock()
	revokeAll(revoked)
	return ok
}

// Return returns n bytes that were taken.
func (b *Budget) Return(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= n
}

// Held returns the bytes that are taken.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Revoked returns how many claims have given way to others.
func (b *Budget) Revoked() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.revoked
}

// makeRoom revokes claims until n more bytes fit. It reports false if no claim is left that gives way before
// the one that asks, which may be nil and is not among the revocable ones. The lock is held.
func (b *Budget) makeRoom(n int64, asking *Claim) (ok bool, revoked []*Claim) {
	for b.limit > 0 && b.held+n > b.limit {
		if len(b.revocable) == 0 || asking != nil && asking.givesWayBefore(b.revocable[0]) {
			return false, revoked
		}
		c := heap.Pop(&b.revocable).(*Claim)
		b.held -= c.bytes
		b.revoked++
		c.bytes, c.isRevoked = 0, true
		revoked = append(revoked, c)
	}
	return true, revoked
}

func revokeAll(cs []*Claim) {
	for _, c := range cs {
		c.revoke()
	}
}

// Claim is what one message or request holds of a budget. Only its owner may call its methods.
type Claim struct {
	budget *Budget
	revoke func()

	// The budget's lock guards what follows.
	bytes     int64
	stage     Stage
	sequence  uint64 // order in which claims got their first bytes; 0 for none
	index     int    // in the budget's revocable claims, -1 if it is not there
	isRevoked bool
}

// NewClaim returns a claim of no bytes. Revoke is called, from any goroutine and without a lock held, when the
// claim has given way to others: its owner has to free what it holds. If it is nil, the claim never gives way.
func (b *Budget) NewClaim(revoke func()) *Claim {
	return &Claim{budget: b, revoke: revoke, index: -1}
}

// Set changes the claim to n bytes of a stage. It reports false, and leaves the claim as it is, if there is no
// room for them or the claim has been revoked.
func (c *Claim) Set(n int64, s Stage) bool {
	c.budget.mu.Lock()
	ok, revoked := c.set(n, s)
	c.budget.mu.Unlock()
	revokeAll(revoked)
	return ok
}

// Add changes the claim by n bytes, and its stage, as [Claim.Set] does.
func (c *Claim) Add(n int64, s Stage) bool {
	c.budget.mu.Lock()
	ok, revoked := c.set(c.bytes+n, s)
	c.budget.mu.Unlock()
	revokeAll(revoked)
	return ok
}

// Advance changes the stage of the claim. It reports false if the claim has been revoked.
func (c *Claim) Advance(s Stage) bool {
	return c.Add(0, s)
}

// Bytes returns the bytes that the claim holds.
func (c *Claim) Bytes() int64 {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return c.bytes
}

// Revoked reports whether the claim has given way to others since its last release.
func (c *Claim) Revoked() bool {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return c.isRevoked
}

// Release returns all bytes. The claim can be used again.
func (c *Claim) Release() {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.remove()
	c.budget.held -= c.bytes
	c.bytes, c.stage, c.sequence, c.isRevoked = 0, Partial, 0, false
}

// set is Set with the lock held. It returns the claims that have to be told that they are revoked.
func (c *Claim) set(n int64, s Stage) (ok bool, revoked []*Claim) {
	if c.isRevoked {
		return false, nil
	}
	c.remove()
	old := *c
	c.bytes, c.stage = n, s
	c.budget.held -= old.bytes
	if c.sequence == 0 && n > 0 {
		c.budget.sequence++
		c.sequence = c.budget.sequence
	}
	if n > old.bytes {
		ok, revoked = c.budget.makeRoom(n, c)
		if !ok {
			c.bytes, c.stage = old.bytes, old.stage
		}
	} else {
		ok = true
	}
	c.budget.held += c.bytes
	if c.revoke != nil && c.bytes > 0 && c.stage < Working {
		heap.Push(&c.budget.revocable, c)
	}
	return ok, revoked
}

// remove takes the claim out of the revocable ones. The lock is held.
func (c *Claim) remove() {
	if c.index >= 0 {
		heap.Remove(&c.budget.revocable, c.index)
	}
}

// givesWayBefore reports whether c is revoked before o: a claim of an earlier stage, with more bytes, or an
// older one.
func (c *Claim) givesWayBefore(o *Claim) bool {
	switch {
	case c.stage != o.stage:
		return c.stage < o.stage
	case c.bytes != o.bytes:
		return c.bytes > o.bytes
	default:
		return c.sequence < o.sequence
	}
}

// claims implements [heap.Interface]. The first one is revoked first.
type claims []*Claim

// Len implements [sort.Interface].
func (cs claims) Len() int {
	return len(cs)
}

// Less implements [sort.Interface].
func (cs claims) Less(i, j int) bool {
	return cs[i].givesWayBefore(cs[j])
}

// Swap implements [sort.Interface].
func (cs claims) Swap(i, j int) {
	cs[i], cs[j] = cs[j], cs[i]
	cs[i].index, cs[j].index = i, j
}

// Push implements [heap.Interface].
func (cs *claims) Push(x any) {
	c := x.(*Claim)
	c.index = len(*cs)
	*cs = append(*cs, c)
}

// Pop implements [heap.Interface].
func (cs *claims) Pop() any {
	last := len(*cs) - 1
	c := (*cs)[last]
	(*cs)[last] = nil
	*cs = (*cs)[:last]
	c.index = -1
	return c
}
