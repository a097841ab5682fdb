package spread

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// setDown makes the store fail every call, or serve again.
func (f *testFleet) setDown(down bool) {
	for _, t := range []*memTopic{f.config, f.fleet, f.members} {
		t.mu.Lock()
		t.down = down
		close(t.changed)
		t.changed = make(chan struct{})
		t.mu.Unlock()
	}
}

// countCallsDuring returns the calls to the store per second over a time, and the most in one
// second.
func (f *testFleet) countCallsDuring(d time.Duration) (perSecond float64, most int) {
	f.calls.reset()
	time.Sleep(d)
	all, most := f.calls.count()
	return float64(all) / d.Seconds(), most
}

const outageDuration = 9 * time.Second

// BenchmarkCalls measures calls to the store: in total from the start until each gateway has all
// topics, and per second at rest, during an outage of the store, after it, and while the store does
// not answer a third of the gateways. Time is virtual.
func BenchmarkCalls(b *testing.B) {
	for _, n := range []int{28, 103, 420} {
		b.Run(fmt.Sprintf("gateways=%d", n), func(b *testing.B) {
			for range b.N {
				runAsTest(b, func(t *testing.T) {
					inNetwork(t, fleetPlaces(n), storeDelay, func(_ *testing.T, f *testFleet) {
						all, most := f.calls.count()
						b.ReportMetric(float64(all), "start")
						b.ReportMetric(float64(most), "start-most/s")
						rest, _ := f.countCallsDuring(30 * time.Second)
						b.ReportMetric(rest, "rest/s")
						f.setDown(true)
						duringOutage, most := f.countCallsDuring(outageDuration)
						b.ReportMetric(duringOutage, "away/s")
						b.ReportMetric(float64(most), "away-most/s")
						f.setDown(false)
						back, _ := f.countCallsDuring(3 * time.Second)
						b.ReportMetric(back, "back/s")
						f.silent = func(box string) bool { return slices.Contains(everyThird(f), box) }
						some, _ := f.countCallsDuring(outageDuration)
						b.ReportMetric(some, "third-away/s")
					})
				})
			}
		})
	}
}

// everyThird returns every third gateway.
func everyThird(f *testFleet) (boxes []string) {
	for i := 0; i < len(f.gateways); i += 3 {
		boxes = append(boxes, f.gateways[i].box)
	}
	return boxes
}

// Guards against calls to the store that grow with the number of gateways, since each call costs:
// 103 gateways made 2,100 calls in 48 s at rest and up to 7,500 with outages, which cost 2.4 and
// 7.9 % of the value of all callers' requests in that time. Without a breaker each gateway reads
// each topic about once a second during an outage.
func TestCallsToTheStoreDoNotGrowWithTheGateways(t *testing.T) {
	inNetwork(t, fleetPlaces(many), storeDelay, func(t *testing.T, f *testFleet) {
		rest, _ := f.countCallsDuring(30 * time.Second)
		require.Less(t, rest, 9.0, "calls a second at rest")
		f.setDown(true)
		duringOutage, _ := f.countCallsDuring(outageDuration)
		require.Less(t, duringOutage, 60.0, "calls a second during an outage of the store")
		f.setDown(false)
		returned := time.Now()
		for f.oldestView() > 2*time.Second {
			time.Sleep(pollInterval)
		}
		require.Less(t, time.Since(returned), time.Second, "until all views are fresh again")
	})
}

// Guards against views that expire while the store does not answer the gateways that read for the
// others: other gateways have to take over.
func TestReadersThatTheStoreTurnsAwayAreReplaced(t *testing.T) {
	const maxAgeForKeys = 4200 * time.Millisecond
	inNetwork(t, fleetPlaces(many), storeDelay, func(t *testing.T, f *testFleet) {
		failing := f.readers()
		require.Less(t, len(failing), len(f.gateways)/3)
		f.silent = func(box string) bool { return slices.Contains(failing, box) }
		began := time.Now()
		putConfig(t, f, "a change")
		oldest := time.Duration(0)
		for time.Since(began) < outageDuration {
			time.Sleep(pollInterval)
			oldest = max(oldest, f.oldestView())
		}
		t.Logf("oldest view %s", oldest)
		require.Less(t, oldest, maxAgeForKeys)
		require.Equal(t, len(f.gateways), f.countKnowing(configOf, 1))
	})
}

// readers returns the gateways that currently read the store for the others.
func (f *testFleet) readers() (boxes []string) {
	for _, w := range f.gateways {
		if w.relay.Reads() {
			boxes = append(boxes, w.box)
		}
	}
	return boxes
}
