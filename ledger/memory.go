// Package ledger keeps account of what must not be lost or done twice: the
// memory of an engine, and the runs under idempotency keys. The ledgers are
// plain data: they are given the time and do no I/O. Their owner guards them
// against concurrent use.
package ledger

import (
	"cmp"
	"slices"
	"time"

	"github.com/hollowgrade/hollowgrade"
)

// Lease is memory on an engine that somebody answers for.
type Lease struct {
	ID      string
	Owner   string // request or group that it is for
	Kind    hollowgrade.AllocationKind
	Tokens  int
	Expires time.Time // after this the memory is taken back
}

// Memory is the account of one engine's memory, in tokens.
type Memory struct {
	total  int
	used   int
	leases map[string]Lease
}

// NewMemory returns an account of an engine with the given number of tokens.
func NewMemory(total int) *Memory {
	return &Memory{total: total, leases: map[string]Lease{}}
}

// Total returns the size of the engine's memory.
func (m *Memory) Total() int {
	return m.total
}

// SetTotal changes the size, as when an engine first reports it.
func (m *Memory) SetTotal(n int) {
	m.total = n
}

// Used returns how much is leased.
func (m *Memory) Used() int {
	return m.used
}

// Fits reports whether that many tokens are free.
func (m *Memory) Fits(tokens int) bool {
	return m.used+tokens <= m.total
}

// Grant enters a lease if it fits, and reports whether it did. An id that is
// taken is refused.
func (m *Memory) Grant(l Lease) bool {
	if _, ok := m.leases[l.ID]; ok || !m.Fits(l.Tokens) {
		return false
	}
	m.leases[l.ID] = l
	m.used += l.Tokens
	return true
}

// Adopt enters a lease for memory that is found held on the engine, whether it
// fits or not: it is held already.
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

// Expired returns the leases that have run out at now, by id.
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

// Orphans returns what the engine holds and no lease answers for.
func (m *Memory) Orphans(held []hollowgrade.Allocation) (os []hollowgrade.Allocation) {
	for _, h := range held {
		if _, ok := m.leases[h.ID]; !ok {
			os = append(os, h)
		}
	}
	return os
}

// Lost returns how many tokens the engine holds that no lease answers for.
func (m *Memory) Lost(held []hollowgrade.Allocation) (tokens int) {
	for _, h := range m.Orphans(held) {
		tokens += h.Tokens
	}
	return tokens
}
