package core

import (
	"cmp"
	"slices"

	"github.com/hollowgrade/hollowgrade/sched"
)

// A fleet with many processes is divided into cells. The processes of a cell use the same part of
// each service's upstreams, and report their load to each other only. So what a process sends,
// receives and keeps depends on the size of a cell, which is bounded, and not on that of the fleet.

const (
	// maxCellProcesses is the number of processes above which a cell is divided.
	maxCellProcesses = 64
	// mergeShare is the part of maxCellProcesses that two cells may have together before they become
	// one, so that a process that comes and goes does not divide and merge cells each time.
	mergeShare = 0.75
	// minCellUpstreams is the least number of upstreams that a cell uses of one service: enough for
	// the engines that share one prompt while a third of them is gone. Services with fewer for each
	// cell are divided into fewer parts, each of which several cells use.
	minCellUpstreams = 32
	// cellSubject is the subject for which members of a fleet are ranked.
	cellSubject = "cell"
)

// Cell is the place of a process in a divided fleet. The zero value is a fleet with one cell.
type Cell struct {
	Index int
	Count int // number of cells
}

// CellCount returns into how many cells a fleet with so many processes is divided, given the present
// number. It is a power of two, so that a change of it divides or merges whole cells.
func CellCount(processes, present int) int {
	n := 1
	for processes > n*maxCellProcesses {
		n *= 2
	}
	for m := present; m > n; m /= 2 {
		if float64(processes) > mergeShare*float64(m/2*maxCellProcesses) {
			return m
		}
	}
	return n
}

// CellMember is a process or an upstream that belongs to a cell.
type CellMember struct {
	Name string
	Hall string // data hall
}

// Divide returns the cell of each member, by name. All cells have the same size, give or take one, and
// members of all data halls. One member more or less moves about one other member for each cell.
func Divide(ms []CellMember, cells int) map[string]int {
	type ranked struct {
		CellMember
		rank     uint64
		position float64 // among the members of its hall, from 0 to 1
	}
	rs := make([]ranked, len(ms))
	size := map[string]int{}
	for i, m := range ms {
		rs[i] = ranked{CellMember: m, rank: sched.Rank(cellSubject, m.Name)}
		size[m.Hall]++
	}
	slices.SortFunc(rs, func(a, b ranked) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.Name, b.Name)) })
	seen := map[string]int{}
	for i := range rs {
		h := rs[i].Hall
		rs[i].position = (float64(seen[h]) + 0.5) / float64(size[h])
		seen[h]++
	}
	slices.SortStableFunc(rs, func(a, b ranked) int { return cmp.Compare(a.position, b.position) })
	cell := make(map[string]int, len(rs))
	for i, r := range rs {
		cell[r.Name] = i * cells / len(rs)
	}
	return cell
}

// SetCell sets the place of this process in a divided fleet.
func (f *Fleet) SetCell(c Cell) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.Count = max(c.Count, 1)
	if c == f.cell {
		return
	}
	f.log.Info("cell of this process", "cell", c.Index, "cells", c.Count, "cell_before", f.cell.Index, "cells_before", f.cell.Count)
	f.cell = c
	f.outdated = true
}

// Cell returns the place of this process in a divided fleet.
func (f *Fleet) Cell() Cell {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cell
}

// parts returns into how many parts a service with so many upstreams is divided.
func (c Cell) parts(upstreams int) (n int) {
	for n = c.Count; n > 1 && upstreams < n*minCellUpstreams; n /= 2 {
	}
	return max(n, 1)
}

// divideServices keeps of each service's upstreams those of this process's cell. The lock is held.
func (f *Fleet) divideServices() {
	f.cellServices, f.parts = f.services, map[string]int{}
	if f.cell.Count <= 1 {
		return
	}
	f.cellServices = make(map[string][]*member, len(f.services))
	for s, all := range f.services {
		n := f.cell.parts(len(all))
		f.parts[s] = n
		f.cellServices[s] = all
		if n > 1 {
			f.cellServices[s] = f.ofCell(all, n)
		}
	}
}

// ofCell returns the members of the part of a service that this process's cell uses. The lock is held.
func (f *Fleet) ofCell(all []*member, parts int) (own []*member) {
	ms := make([]CellMember, len(all))
	for i, m := range all {
		ms[i] = CellMember{Name: m.ID, Hall: m.Hall}
	}
	cell, part := Divide(ms, parts), f.cell.Index*parts/f.cell.Count
	for _, m := range all {
		if cell[m.ID] == part {
			own = append(own, m)
		}
	}
	return own
}

// sharers returns how many processes use the same upstreams of a service as this one, without it. Only
// those of its own cell report their load here. The lock is held.
func (f *Fleet) sharers(service string) int {
	others := max(len(f.views), f.peers())
	cells := f.cell.Count / max(f.parts[service], 1)
	return (others+1)*max(cells, 1) - 1
}
