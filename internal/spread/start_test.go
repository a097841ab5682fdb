package spread

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// upstreamCount is how many upstreams fleets of a size have: 60 at 28 gateways, 150 at
// 103, 600 at 420.
func upstreamCount(gateways int) int {
	return max(gateways*10/7, 60)
}

// putConfigAndUpstreams writes a configuration and a registry of upstreams.
func (f *testFleet) putConfigAndUpstreams(t *testing.T, upstreams int) {
	t.Helper()
	putConfig(t, f, randomConfig(newSeededRand(), 350_000))
	for i := range upstreams {
		require.NoError(t, f.fleet.Put(context.Background(), fmt.Sprint("upstream-", i), []byte(randomConfig(newSeededRand(), 200))))
	}
}

// measureRestart starts gateways that were lost, and returns how long it takes until each gateway knows
// the configuration and all upstreams, and the calls to the store of two seconds from then on.
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

// BenchmarkReturn measures the return of all gateways, and of every other one, after their loss:
// the time until each knows the configuration (350 KB) and all upstreams, calls to the store in that
// time and the two seconds after it, the most in one second, and bytes and connections of the
// busiest gateway. Time is virtual.
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

// The loss of any number of gateways is borne: those that come back know all within a
// second, with a few calls each, of which the store serves 16,000 a second.
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
