package spread

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// setDown lets the store refuse every call, or serve again.
func (f *testFleet) setDown(down bool) {
	for _, t := range []*memTopic{f.config, f.fleet, f.members} {
		t.mu.Lock()
		t.down = down
		close(t.changed)
		t.changed = make(chan struct{})
		t.mu.Unlock()
	}
}

// countCallsDuring returns how many calls a second reach the store while some time passes, and
// the most of them in one second.
func (f *testFleet) countCallsDuring(d time.Duration) (perSecond float64, most int) {
	f.calls.reset()
	time.Sleep(d)
	all, most := f.calls.count()
	return float64(all) / d.Seconds(), most
}

const outageDuration = 9 * time.Second

// BenchmarkCalls measures calls to the store: all from the start of all gateways until
// each knows all topics and at rest, those a second while it is away, while it turns away a
// third of the gateways, and in the seconds after its return. Time is virtual.
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
						away, most := f.countCallsDuring(outageDuration)
						b.ReportMetric(away, "away/s")
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

// Every call to the store has a price, and the more gateways there are the less each
// of them may make: 103 gateways made 2,100 calls on a quiet day of 48 s and up to 7,500 on days on which
// the store was away, 0.024 and 0.079 of all that these days are worth.
//
// Evidence: of 21 gateways, five read at rest; while the store was away each of the 21 read
// each of three topics about once a second, 436 calls in four seconds.
func TestCallsToTheStoreDoNotGrowWithTheGateways(t *testing.T) {
	inNetwork(t, fleetPlaces(many), storeDelay, func(t *testing.T, f *testFleet) {
		rest, _ := f.countCallsDuring(30 * time.Second)
		require.Less(t, rest, 9.0, "calls a second at rest")
		f.setDown(true)
		away, _ := f.countCallsDuring(outageDuration)
		require.Less(t, away, 60.0, "calls a second while the store is away")
		f.setDown(false)
		returned := time.Now()
		for f.oldestView() > 2*time.Second {
			time.Sleep(pollInterval)
		}
		require.Less(t, time.Since(returned), time.Second, "until each gateway knows again what is fresh")
	})
}

// The store turns away all gateways that read it for the others.
func TestReadersThatTheStoreTurnsAwayAreReplaced(t *testing.T) {
	const keysGood = 4200 * time.Millisecond
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
		require.Less(t, oldest, keysGood)
		require.Equal(t, len(f.gateways), f.countKnowing(configOf, 1))
	})
}

// readers returns the gateways that read the store now.
func (f *testFleet) readers() (boxes []string) {
	for _, w := range f.gateways {
		if w.relay.Reads() {
			boxes = append(boxes, w.box)
		}
	}
	return boxes
}
