// Package ledger records what must not be lost or run twice: the memory of an engine, and the runs
// under idempotency keys. The ledgers are plain data: callers pass them the time, and they do no
// I/O. Their owner guards them against concurrent use.
package ledger

import (
	"cmp"
	"slices"
	"time"

	"github.com/hollowgrade/hollowgrade"
)

// Lease is memory on an engine that a request or a group has reserved.
type Lease struct {
	ID      string
	Owner   string // request or group that the memory is for
	Kind    hollowgrade.AllocationKind
	Tokens  int
	Expires time.Time // after this the memory is released; zero for no expiry
}

// Memory is the ledger of one engine's memory, in tokens.
type Memory struct {
	total  int
	used   int
	leases map[string]Lease
}

// NewMemory returns a ledger for an engine with the given number of tokens.
func NewMemory(total int) *Memory {
	return &Memory{total: total, leases: map[string]Lease{}}
}

// Total returns the size of the engine's memory.
func (m *Memory) Total() int {
	return m.total
}

// SetTotal changes the size, for example when an engine first reports it.
func (m *Memory) SetTotal(n int) {
	m.total = n
}

// Used returns how many tokens are leased.
func (m *Memory) Used() int {
	return m.used
}

// Fits reports whether that many tokens are free.
func (m *Memory) Fits(tokens int) bool {
	return m.used+tokens <= m.total
}

// Grant enters a lease if it fits, and reports whether it did. An id that has a lease already is
// refused.
func (m *Memory) Grant(l Lease) bool {
	if _, ok := m.leases[l.ID]; ok || !m.Fits(l.Tokens) {
		return false
	}
	m.leases[l.ID] = l
	m.used += l.Tokens
	return true
}

// Adopt enters a lease for memory that the engine already holds, whether or not it fits.
func (m *Memory) Adopt(l Lease) {
	m.Release(l.ID)
	m.leases[l.ID] = l
	m.used += l.Tokens
}

// Release ends a lease. It returns the lease, and false if there was none.
func (m *Memory) Release(id string) (l Lease, ok bool) {
	l, ok = m.leases[id]
	if ok {
		delete(m.leases, id)
		m.used -= l.Tokens
	}
	return l, ok
}

// Get returns a lease.
func (m *Memory) Get(id string) (l Lease, ok bool) {
	l, ok = m.leases[id]
	return l, ok
}

// Expired returns the leases that have expired at now, by id.
func (m *Memory) Expired(now time.Time) (ls []Lease) {
	for _, l := range m.leases {
		if !l.Expires.IsZero() && now.After(l.Expires) {
			ls = append(ls, l)
		}
	}
	sortByID(ls)
	return ls
}

// OwnedBy returns the leases of an owner, by id.
func (m *Memory) OwnedBy(owner string) (ls []Lease) {
	for _, l := range m.leases {
		if l.Owner == owner {
			ls = append(ls, l)
		}
	}
	sortByID(ls)
	return ls
}

func sortByID(ls []Lease) {
	slices.SortFunc(ls, func(a, b Lease) int { return cmp.Compare(a.ID, b.ID) })
}

// Orphans returns the holdings of the engine that have no lease.
func (m *Memory) Orphans(held []hollowgrade.Allocation) (os []hollowgrade.Allocation) {
	for _, h := range held {
		if _, ok := m.leases[h.ID]; !ok {
			os = append(os, h)
		}
	}
	return os
}

// OrphanTokens returns the tokens of the holdings that have no lease.
func (m *Memory) OrphanTokens(held []hollowgrade.Allocation) (tokens int) {
	for _, h := range m.Orphans(held) {
		tokens += h.Tokens
	}
	return tokens
}
