package spread

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/feed"
)

// runAsTest runs a part of a benchmark as a test, since virtual time needs a test.
func runAsTest(b *testing.B, f func(t *testing.T)) {
	b.Helper()
	all := func(_, _ string) (bool, error) { return true, nil }
	if !testing.RunTests(all, []testing.InternalTest{{Name: b.Name(), F: f}}) {
		b.Fail()
	}
}

// BenchmarkSpread measures one change of the configuration: the time from its confirmation until
// the last gateway has it, the most bytes received over a narrow link, and the bytes sent between
// halls. Time is virtual.
func BenchmarkSpread(b *testing.B) {
	const bound = 60 * time.Second
	for _, n := range []int{28, 100, 420} {
		for _, size := range []int{12_000, 350_000, 1_300_000, 4_000_000} {
			for _, a := range []time.Duration{storeDelay, 600 * time.Millisecond} {
				b.Run(fmt.Sprintf("gateways=%d/bytes=%d/store=%s", n, size, a), func(b *testing.B) {
					for range b.N {
						runAsTest(b, func(t *testing.T) {
							inNetwork(t, fleetPlaces(n), a, func(t *testing.T, f *testFleet) {
								f.net.resetCounts()
								require.NoError(t, f.config.Put(context.Background(), "config", []byte(randomConfig(newSeededRand(), size))))
								took := f.waitKnown(configOf, 1, bound)
								narrowest, crossed := f.net.byteCounts()
								b.ReportMetric(took.Seconds(), "s/last")
								b.ReportMetric(float64(f.countKnowing(configOf, 1)), "know")
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

func fleetFeedOf(w *gateway) *feed.Feed { return w.fleet }

// oldestView returns the largest age of the gateways' views of the configuration.
func (f *testFleet) oldestView() (d time.Duration) {
	for _, w := range f.gateways {
		age, _ := w.config.Age()
		d = max(d, age)
	}
	return d
}

func putConfig(t *testing.T, f *testFleet, value string) {
	t.Helper()
	require.NoError(t, f.config.Put(context.Background(), "config", []byte(value)))
}

func TestNothingElseWaitsForALargeConfiguration(t *testing.T) {
	inNetwork(t, fleetPlaces(28), storeDelay, func(t *testing.T, f *testFleet) {
		// Keys are accepted for 5 s after the configuration was last confirmed, 0.8 s of which are
		// reserved for the transfer of answers.
		const maxAgeForKeys = 4200 * time.Millisecond
		putConfig(t, f, randomConfig(newSeededRand(), 4_000_000))
		for next := int64(1); f.countKnowing(configOf, 1) < len(f.gateways); next++ {
			require.NoError(t, f.fleet.Put(context.Background(), fmt.Sprint("upstream-", next), []byte("draining")))
			require.LessOrEqual(t, f.waitKnown(fleetFeedOf, next, 10*time.Second), time.Second, "until all gateways know the draining engine")
			require.Less(t, f.oldestView(), maxAgeForKeys)
			require.Less(t, next, int64(10))
		}
		for _, w := range f.gateways {
			require.Zero(t, w.config.OutdatedFor())
		}
	})
}

// Guards against changes that come faster than a narrow link carries a whole copy: only the
// difference is sent, and versions in between may be skipped.
func TestStormOfLargeConfigurations(t *testing.T) {
	inNetwork(t, fleetPlaces(28), storeDelay, func(t *testing.T, f *testFleet) {
		f.net.resetCounts()
		c := randomConfig(newSeededRand(), 4_000_000)
		const changes = 10
		for i := range changes {
			putConfig(t, f, strings.Replace(c, `"version":1`, fmt.Sprint(`"version":`, i+2), 1))
			time.Sleep(330 * time.Millisecond)
		}
		require.LessOrEqual(t, f.waitKnown(configOf, changes, 20*time.Second), maxSpreadTime)
		narrowest, _ := f.net.byteCounts()
		require.Less(t, narrowest, int64(800_000), "bytes over a narrow link: the first copy, compressed, and the differences")
	})
}

func TestLargeConfigurationThatNothingCompresses(t *testing.T) {
	inNetwork(t, fleetPlaces(28), storeDelay, func(t *testing.T, f *testFleet) {
		f.net.resetCounts()
		b := make([]byte, 4_000_000)
		_, _ = rand.NewChaCha8([32]byte{}).Read(b)
		putConfig(t, f, string(b))
		// One copy alone takes 1.6 s on a narrow link.
		require.LessOrEqual(t, f.waitKnown(configOf, 1, 20*time.Second), 2*maxSpreadTime)
		narrowest, _ := f.net.byteCounts()
		require.Less(t, narrowest, int64(len(b)*5/4))
	})
}

// Guards against a change that is lost or late because the polled readers disconnect while they
// send it.
func TestLargeConfigurationWhileReadersAreLost(t *testing.T) {
	inNetwork(t, fleetPlaces(28), storeDelay, func(t *testing.T, f *testFleet) {
		putConfig(t, f, randomConfig(newSeededRand(), 4_000_000))
		for f.countKnowing(configOf, 1) == 0 {
			time.Sleep(pollInterval)
		}
		for _, w := range f.gateways {
			if w.config.Next() > 0 && f.countKnowing(configOf, 1) < 4 {
				f.net.disconnect(w.box)
			}
		}
		require.LessOrEqual(t, f.waitKnown(configOf, 1, 20*time.Second), 2*maxSpreadTime)
	})
}

func TestLargeConfigurationAndASlowStore(t *testing.T) {
	inNetwork(t, fleetPlaces(28), 600*time.Millisecond, func(t *testing.T, f *testFleet) {
		putConfig(t, f, randomConfig(newSeededRand(), 4_000_000))
		require.LessOrEqual(t, f.waitKnown(configOf, 1, 20*time.Second), maxSpreadTime)
	})
}

// Guards against a gateway that starts while the store doesn't answer it and that is itself a
// reader: it polled no peer and waited eight seconds for its first read, so that it applied a
// change 3.3 s after its confirmation.
func TestReaderToWhichTheStoreSaysNothing(t *testing.T) {
	const all = 5
	for i := range all {
		t.Run(fmt.Sprint("gateway ", i), func(t *testing.T) {
			silent := func(f *testFleet) { f.silent = func(box string) bool { return box == address(i) } }
			inNetwork(t, fleetPlaces(all), storeDelay, func(t *testing.T, f *testFleet) {
				for n := range int64(5) {
					putConfig(t, f, fmt.Sprint("version ", n))
					require.LessOrEqual(t, f.waitKnown(configOf, n+1, 20*time.Second), time.Second)
					time.Sleep(700 * time.Millisecond)
				}
			}, silent)
		})
	}
}

// Guards against unbounded pages of many small records, 0.9 MB for 3,000 upstreams, both in reads
// of the store and in polls of readers.
func TestManyRecordsAreToldPageByPage(t *testing.T) {
	inNetwork(t, fleetPlaces(28), storeDelay, func(t *testing.T, f *testFleet) {
		const records = 3000
		r := newSeededRand()
		for i := range records {
			require.NoError(t, f.fleet.Put(context.Background(), fmt.Sprint("upstream-", i), []byte(randomConfig(r, 200))))
		}
		require.LessOrEqual(t, f.waitKnown(fleetFeedOf, records, 20*time.Second), 2*maxSpreadTime)
	})
}
