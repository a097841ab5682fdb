package core

import (
	"fmt"
	"testing"

	"github.com/hollowgrade/hollowgrade/placement"
)

// BenchmarkPick measures one placement in fleets of different sizes; docs/CAPACITY.md has results.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{18, 60, 180, 600} {
		for name, d := range map[string]placement.Request{"short": short(), "long": long(210_000)} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				f := newFleet("e", n)
				for range 4 * n {
					f.pick("e", short(), nil)
				}
				b.ReportAllocs()
				for b.Loop() {
					p := f.pick("e", d, nil)
					if !p.Refused {
						f.release(p, false)
					}
				}
			})
		}
	}
}

// BenchmarkList measures adding upstreams to an empty fleet, as after the start of a process.
func BenchmarkList(b *testing.B) {
	for _, n := range []int{60, 600, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				newFleet("e", n)
			}
		})
	}
}
