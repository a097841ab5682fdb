package experiment

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/hollowgrade/hollowgrade/core"
	"github.com/hollowgrade/hollowgrade/sched"
)

// divideGateways returns the cell of each gateway.
func (p *simulation) divideGateways() []int {
	ms := make([]core.CellMember, p.file.gateways(p.variant))
	for i := range ms {
		ms[i].Name = fmt.Sprint(i)
	}
	cell, cells := core.Divide(ms, max(p.variant.Cells, 1)), make([]int, len(ms))
	for i, m := range ms {
		cells[i] = cell[m.Name]
	}
	return cells
}

// subset returns the engines that a gateway uses.
func (p *simulation) subset(number int, ids []string) []string {
	if p.variant.Subset <= 0 {
		return ids
	}
	rank := func(id string) uint64 { return sched.Rank(fmt.Sprint(number), id) }
	ids = slices.SortedFunc(slices.Values(ids), func(a, b string) int { return cmp.Compare(rank(b), rank(a)) })
	return ids[:min(p.variant.Subset, len(ids))]
}

// cellSize returns how many gateways are in the same cell as one.
func (p *simulation) cellSize(number int) (n int) {
	for _, c := range p.cells {
		if c == p.cells[number] {
			n++
		}
	}
	return n
}
