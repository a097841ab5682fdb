package node

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync/atomic"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/core"
	"github.com/hollowgrade/hollowgrade/feed"
	"github.com/hollowgrade/hollowgrade/setting"
)

// memberRecord returns the record of the i-th gateway, in one of five data halls.
func memberRecord(t *testing.T, i int) (box string, m member, v []byte) {
	t.Helper()
	m = member{Peers: fmt.Sprintf("10.%d.%d.%d:1", i%5, i/250, i%250), Hall: fmt.Sprint("h", i%5), Link: 20}
	v, err := json.Marshal(m)
	require.NoError(t, err)
	return fmt.Sprint("box-", i), m, v
}

// membersAmong returns the list of the i-th of n gateways.
func membersAmong(t *testing.T, i, n int) *members {
	t.Helper()
	box, own, _ := memberRecord(t, i)
	c := setting.DefaultGateway()
	c.Box, c.Hall, c.Peers = box, own.Hall, own.Peers
	m := newMembers(c, nil, hollowgrade.SystemClock(), log.New(io.Discard), new(atomic.Int64))
	var cs []feed.Change
	for k := range n {
		b, _, v := memberRecord(t, k)
		cs = append(cs, feed.Change{KeyedRecord: hollowgrade.KeyedRecord{Key: b, Value: v, Position: hollowgrade.Position{Offset: int64(k)}}})
	}
	m.apply(cs)
	return m
}

// Guards against connections between gateways that grow with the fleet: each told its load to each
// other one, 402 to 401.
func TestGatewaysOfACell(t *testing.T) {
	const smallestCell = 32 // half of the largest: a cell is divided above that
	for _, n := range []int{402, 804, 1600} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			m := membersAmong(t, 7, n)
			require.Equal(t, n, m.count())
			require.Less(t, m.peers(), 64)
			require.GreaterOrEqual(t, m.peers(), smallestCell)
			require.Len(t, m.cellAddresses(), m.peers())
			inCell := 0
			_, own, _ := memberRecord(t, 7)
			for i := 8; i < n; i += n / 50 {
				o := membersAmong(t, i, n)
				_, k, _ := memberRecord(t, i)
				require.Equal(t, contains(m, k.Peers), contains(o, own.Peers), "both agree")
				if contains(m, k.Peers) {
					inCell++
				}
			}
			require.Positive(t, inCell)
		})
	}
	t.Run("a small fleet is one cell", func(t *testing.T) {
		m := membersAmong(t, 7, 60)
		require.Equal(t, 59, m.peers())
		require.Equal(t, m.addresses(), m.cellAddresses())
	})
	t.Run("the fleet may call back when it is told", func(t *testing.T) {
		m := membersAmong(t, 7, 100)
		called := false
		m.onCell = func(core.Cell) { called = m.peers() > 0 && len(m.cellAddresses()) > 0 }
		m.apply(nil)
		require.True(t, called)
	})
	t.Run("the fleet is told of the cell", func(t *testing.T) {
		var told core.Cell
		m := membersAmong(t, 7, 60)
		m.onCell = func(c core.Cell) { told = c }
		for i := range 100 {
			m.apply([]feed.Change{{KeyedRecord: hollowgrade.KeyedRecord{Key: fmt.Sprint("more-", i), Value: []byte(fmt.Sprintf("10.9.0.%d:1", i)), Position: hollowgrade.Position{Offset: int64(100 + i)}}}})
		}
		require.Equal(t, 4, told.Count)
	})
}

// Gateways that start together divide the engines by their positions, which have to differ.
func TestPositionsInACell(t *testing.T) {
	for _, n := range []int{1, 24, 100} {
		cells := map[int]map[int]bool{}
		for i := range n {
			m := membersAmong(t, i, n)
			index, count := m.position()
			require.Equal(t, m.peers()+1, count)
			require.Less(t, index, count)
			if cells[m.cell.Index] == nil {
				cells[m.cell.Index] = map[int]bool{}
			}
			require.False(t, cells[m.cell.Index][index], "another gateway of the cell has position %d", index)
			cells[m.cell.Index][index] = true
		}
	}
}

func contains(m *members, address string) bool {
	return slices.Contains(m.cellAddresses(), address)
}
