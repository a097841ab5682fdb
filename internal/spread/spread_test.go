package spread

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// inTest runs a part of a benchmark as a test: virtual time is for tests only.
func inTest(b *testing.B, f func(t *testing.T)) {
	b.Helper()
	all := func(_, _ string) (bool, error) { return true, nil }
	if !testing.RunTests(all, []testing.InternalTest{{Name: b.Name(), F: f}}) {
		b.Fail()
	}
}

// BenchmarkSpread measures one change of the configuration: the time from its
// confirmation until the last gateway knows it, the most bytes that came over a
// narrow link, and the bytes that went from hall to hall. Time is virtual.
func BenchmarkSpread(b *testing.B) {
	const bound = 60 * time.Second
	for _, n := range []int{28, 100, 420} {
		for _, size := range []int{12_000, 350_000, 1_300_000, 4_000_000} {
			for _, a := range []time.Duration{answer, 600 * time.Millisecond} {
				b.Run(fmt.Sprintf("gateways=%d/bytes=%d/store=%s", n, size, a), func(b *testing.B) {
					for range b.N {
						inTest(b, func(t *testing.T) {
							inNetwork(t, grown(n), a, func(t *testing.T, f *fleetOf) {
								f.net.resetCounts()
								require.NoError(t, f.config.Put(context.Background(), "config", []byte(configuration(seeded(), size))))
								took := f.until(configOf, 1, bound)
								narrowest, crossed := f.net.counts()
								b.ReportMetric(took.Seconds(), "s/last")
								b.ReportMetric(float64(f.known(configOf, 1)), "know")
								b.ReportMetric(float64(narrowest)/1e3, "KB/narrow")
								b.ReportMetric(float64(crossed)/1e3, "KB/halls")
							})
						})
					}
				})
			}
		}
	}
}
