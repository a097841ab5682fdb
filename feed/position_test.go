package feed

import (
	"fmt"
	"testing"

	"github.com/hollowgrade/hollowgrade"
)

// BenchmarkAskedPosition measures what a poll of a peer costs under the feed's lock, by the keys of the
// topic.
func BenchmarkAskedPosition(b *testing.B) {
	for _, n := range []int{21, 609} {
		b.Run(fmt.Sprint("keys=", n), func(b *testing.B) {
			f := New("fleet", nil)
			for i := range n {
				k := fmt.Sprintf("i-%08x", i)
				f.newest[k] = hollowgrade.KeyedRecord{Key: k, Position: hollowgrade.Position{Offset: int64(i)}}
			}
			for b.Loop() {
				f.askedPosition()
			}
		})
	}
}
