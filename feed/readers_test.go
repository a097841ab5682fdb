package feed

import (
	"fmt"
	"io"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
)

// relayAmong returns the relay of one of n processes.
func relayAmong(n int) *Relay {
	var all []string
	for i := range n {
		all = append(all, fmt.Sprintf("10.0.%d.%d:1", i/250, i%250))
	}
	return NewRelay(all[0], func() []string { return append([]string(nil), all...) }, WithRelayLogger(log.New(io.Discard)))
}

func TestReadersAreWorkedOutNowAndThen(t *testing.T) {
	asked := 0
	r := NewRelay("a", func() []string {
		asked++
		return []string{"b", "c"}
	}, WithRelayLogger(log.New(io.Discard)))
	first := r.readers()
	require.Len(t, first, 3)
	first[0] = "changed by who asked"
	for range 50 {
		require.ElementsMatch(t, []string{"a", "b", "c"}, r.readers())
	}
	require.LessOrEqual(t, asked, 2)
}

// BenchmarkReaders measures the lookup of the readers, cached and computed.
func BenchmarkReaders(b *testing.B) {
	for _, n := range []int{28, 103, 420} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := relayAmong(n)
			for b.Loop() {
				r.readers()
			}
		})
		b.Run(fmt.Sprint(n, " worked out"), func(b *testing.B) {
			r := relayAmong(n)
			for b.Loop() {
				r.rank(r.peers())
			}
		})
	}
}
