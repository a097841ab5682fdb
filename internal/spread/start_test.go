package spread

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// upstreamCount is the number of upstreams of a fleet: 60 for 28 gateways, 147 for 103, 600 for 420.
func upstreamCount(gateways int) int {
	return max(gateways*10/7, 60)
}

// putConfigAndUpstreams writes a configuration and a registry of upstreams to the store.
func (f *testFleet) putConfigAndUpstreams(t *testing.T, upstreams int) {
	t.Helper()
	putConfig(t, f, randomConfig(newSeededRand(), 350_000))
	for i := range upstreams {
		require.NoError(t, f.fleet.Put(context.Background(), fmt.Sprint("upstream-", i), []byte(randomConfig(newSeededRand(), 200))))
	}
}

// measureRestart stops and restarts gateways. It returns the time until each gateway has the
// configuration and all upstreams, and the calls to the store from the restart until two seconds
// after that.
func (f *testFleet) measureRestart(which func(i int) bool, upstreams int) (took time.Duration, calls, most int) {
	f.stopGateways(which)
	time.Sleep(time.Second)
	f.net.resetCounts()
	f.calls.reset()
	began := time.Now()
	f.restartGateways(which)
	f.waitKnown(configOf, 1, 20*time.Second)
	f.waitKnown(fleetFeedOf, int64(upstreams), 20*time.Second)
	took = time.Since(began)
	time.Sleep(2 * time.Second)
	calls, most = f.calls.count()
	return took, calls, most
}

func everyGateway(int) bool { return true }
func everyOther(i int) bool { return i%2 == 0 }

// BenchmarkReturn measures the restart of all gateways, and of every other one: the time until each
// has the configuration (350 KB) and all upstreams, the calls to the store in that time and the two
// seconds after it, the most in one second, and the bytes and connections of the busiest gateway.
// Time is virtual.
func BenchmarkReturn(b *testing.B) {
	for _, n := range []int{28, 103, 420} {
		for name, which := range map[string]func(int) bool{"all": everyGateway, "half": everyOther} {
			b.Run(fmt.Sprintf("gateways=%d/%s", n, name), func(b *testing.B) {
				for range b.N {
					runAsTest(b, func(t *testing.T) {
						inNetwork(t, fleetPlaces(n), storeDelay, func(t *testing.T, f *testFleet) {
							f.putConfigAndUpstreams(t, upstreamCount(n))
							f.waitKnown(fleetFeedOf, int64(upstreamCount(n)), 20*time.Second)
							took, calls, most := f.measureRestart(which, upstreamCount(n))
							bytes, open := f.net.busiest()
							b.ReportMetric(took.Seconds(), "s/last")
							b.ReportMetric(float64(calls), "calls")
							b.ReportMetric(float64(most), "most/s")
							b.ReportMetric(float64(bytes)/1e3, "KB/busiest")
							b.ReportMetric(float64(open), "conns/busiest")
						})
					})
				}
			})
		}
	}
}

// Guards against a slow recovery when many gateways restart at once: all records are known within a
// second, with fewer than five calls each to the store, which serves 16,000 calls a second.
func TestReturnOfManyGateways(t *testing.T) {
	const n = many
	for name, which := range map[string]func(int) bool{"all": everyGateway, "half": everyOther} {
		t.Run(name, func(t *testing.T) {
			inNetwork(t, fleetPlaces(n), storeDelay, func(t *testing.T, f *testFleet) {
				f.putConfigAndUpstreams(t, upstreamCount(n))
				f.waitKnown(fleetFeedOf, int64(upstreamCount(n)), 20*time.Second)
				took, calls, _ := f.measureRestart(which, upstreamCount(n))
				require.Less(t, took, time.Second)
				require.Less(t, calls, 5*n)
				for _, w := range f.gateways {
					require.Equal(t, int64(1), w.config.Next())
				}
			})
		})
	}
}
