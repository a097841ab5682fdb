package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/placement"
)

// cellMembers returns n members in five data halls of unequal sizes.
func cellMembers(n int) (ms []CellMember) {
	for i := range n {
		ms = append(ms, CellMember{Name: fmt.Sprint("m", i), Hall: fmt.Sprint("h", i*i%5)})
	}
	return ms
}

func TestCellCount(t *testing.T) {
	for n, want := range map[int]int{0: 1, 1: 1, maxCellProcesses: 1, maxCellProcesses + 1: 2, 402: 8, 804: 16, 1600: 32} {
		require.Equal(t, want, CellCount(n, 1), "%d processes", n)
	}
	t.Run("does not change back at once", func(t *testing.T) {
		require.Equal(t, 2, CellCount(maxCellProcesses, 2))
		require.Equal(t, 1, CellCount(maxCellProcesses/2, 2))
	})
	t.Run("does not keep more than was needed", func(t *testing.T) {
		require.Equal(t, 8, CellCount(300, 64))
	})
}

func TestDivide(t *testing.T) {
	const cells = 8
	t.Run("into cells of one size, each with members of all halls", func(t *testing.T) {
		ms := cellMembers(402)
		size, halls := map[int]int{}, map[int]map[string]bool{}
		for n, c := range Divide(ms, cells) {
			size[c]++
			if halls[c] == nil {
				halls[c] = map[string]bool{}
			}
			for _, m := range ms {
				if m.Name == n {
					halls[c][m.Hall] = true
				}
			}
		}
		require.Len(t, size, cells)
		for c := range cells {
			require.InDelta(t, 402.0/cells, size[c], 1)
			require.Len(t, halls[c], 3, "the squares of numbers have three remainders")
		}
	})
	t.Run("does not depend on the order", func(t *testing.T) {
		ms := cellMembers(50)
		was := Divide(ms, 4)
		ms[3], ms[40] = ms[40], ms[3]
		require.Equal(t, was, Divide(ms, 4))
	})
	t.Run("moves about one member a cell for one that leaves", func(t *testing.T) {
		ms := cellMembers(400)
		was, is := Divide(ms, cells), Divide(ms[1:], cells)
		moved := 0
		for _, m := range ms[1:] {
			if was[m.Name] != is[m.Name] {
				moved++
			}
		}
		t.Logf("%d moved", moved)
		require.LessOrEqual(t, moved, 2*cells)
	})
	t.Run("without members", func(t *testing.T) {
		require.Empty(t, Divide(nil, cells))
	})
}

// newCellFleet returns the table of a process of a cell before engines and a few plain upstreams.
func newCellFleet(index, cells, engines, plain int) *Fleet {
	f := newSignalFleet()
	f.SetCell(Cell{Index: index, Count: cells})
	f.SetPeers(func() int { return 49 })
	for i := range engines {
		f.Put(hollowgrade.Upstream{ID: fmt.Sprintf("e%03d", i), Service: "engines", Address: "e:1", Hall: fmt.Sprint("h", i%5), Slots: 10})
	}
	for i := range plain {
		f.Put(hollowgrade.Upstream{ID: fmt.Sprintf("p%02d", i), Service: "plain", Address: "p:1", Hall: fmt.Sprint("h", i%5), Slots: 6})
	}
	return f
}

func TestCellsUseTheirPartOfTheUpstreams(t *testing.T) {
	const cells, engines, plain = 8, 585, 24
	used := map[hollowgrade.Instance]int{}
	for c := range cells {
		f := newCellFleet(c, cells, engines, plain)
		for _, m := range f.membersOf("engines") {
			used[m.instance]++
		}
		require.InDelta(t, engines/cells, f.Count("engines"), 1)
		require.Equal(t, plain, f.Count("plain"), "too few to be divided")
		require.Equal(t, 49, f.sharers("engines"))
		require.Equal(t, 50*cells-1, f.sharers("plain"), "all cells use them")
		require.InDelta(t, 1.0/50, f.knownShare("engines"), 1e-9)
	}
	require.Len(t, used, engines, "each engine is used")
	for _, n := range used {
		require.Equal(t, 1, n, "by one cell")
	}
}

// Guards against a state that grows with the fleet: what a process weighs for a call has the same size
// in fleets of any size with the same number of engines for each gateway.
func TestCellsHaveABoundedSize(t *testing.T) {
	for _, gateways := range []int{402, 804, 1600} {
		engines := gateways * 3 / 2
		cells := CellCount(gateways, 1)
		require.LessOrEqual(t, gateways, cells*maxCellProcesses)
		f := newCellFleet(0, cells, engines, 24)
		require.InDelta(t, 1.5*float64(gateways)/float64(cells), f.Count("engines"), 1)
		require.LessOrEqual(t, f.Count("engines"), 3*maxCellProcesses/2)
	}
}

func TestUpstreamsOutsideOfTheCellAreUsedIfNoneOfItIsUsable(t *testing.T) {
	f := newCellFleet(0, 2, 64, 0)
	own := map[string]bool{}
	for _, m := range f.membersOf("engines") {
		own[m.ID] = true
		u := m.Upstream
		u.Draining = true
		f.Put(u)
	}
	require.Len(t, own, 32)
	p := f.pick("engines", placement.Request{TimeLeft: 10 * time.Second}, nil)
	require.NotNil(t, p)
	require.False(t, own[p.member.ID])
}

func TestCellOfASmallFleetIsAll(t *testing.T) {
	f := newCellFleet(0, 1, 64, 3)
	require.Equal(t, 64, f.Count("engines"))
	require.Equal(t, 49, f.sharers("engines"))
}
