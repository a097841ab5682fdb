package spread

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/feed"
)

// storeReadsPerSecond is how many reads the users' store serves to all gateways together.
const storeReadsPerSecond = 2000

// knownValues is the newest value of a key at each gateway.
type knownValues struct {
	mu     sync.Mutex
	values map[string]string // by box
}

// watchKey follows a key at all gateways.
func (f *testFleet) watchKey(of func(*gateway) *feed.Feed, key string) *knownValues {
	k := &knownValues{values: map[string]string{}}
	for _, g := range f.gateways {
		of(g).Watch(func(cs []feed.Change) {
			k.mu.Lock()
			defer k.mu.Unlock()
			for _, c := range cs {
				if c.Key == key {
					k.values[g.box] = string(c.Value)
				}
			}
		})
	}
	return k
}

// countWith returns how many gateways have a value.
func (k *knownValues) countWith(value string) (n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, v := range k.values {
		if v == value {
			n++
		}
	}
	return n
}

// write writes a value and requires that all gateways have it in time.
func (f *testFleet) write(t *testing.T, m *memTopic, k *knownValues, key, value string) {
	t.Helper()
	require.NoError(t, m.Put(context.Background(), key, []byte(value)))
	begin := time.Now()
	for k.countWith(value) < len(f.gateways) && time.Since(begin) < maxSpreadTime {
		time.Sleep(pollInterval)
	}
	require.Equal(t, len(f.gateways), k.countWith(value), "gateways that have %q", value)
}

// restoreStore makes the store unavailable for a time, and lets it come back without its last records.
func (f *testFleet) restoreStore(outage time.Duration, records int) {
	f.setDown(true)
	time.Sleep(outage)
	for _, m := range []*memTopic{f.config, f.fleet, f.members} {
		m.goBack(records)
	}
	f.calls.reset()
	f.setDown(false)
}

// Guards against changes that arrive late, views that expire, and calls that the store can't take, after
// it came back from an older copy.
func TestStoreThatGoesBack(t *testing.T) {
	for _, n := range []int{5, some, many} {
		for name, c := range map[string]struct {
			returns int
			settle  time.Duration      // from the return until changes have to arrive in time
			failing func(f *testFleet) // makes the store fail gateways besides
		}{
			"once":                              {returns: 1, settle: time.Second},
			"twice within three seconds":        {returns: 2, settle: time.Second},
			"while it turns all but three away": {returns: 1, settle: settleTime, failing: func(f *testFleet) { f.failReaders(storeFaults[1], failingShares[3].with) }},
		} {
			t.Run(fmt.Sprintf("gateways=%d/%s", n, name), func(t *testing.T) {
				inNetwork(t, fleetPlaces(n), storeDelay, func(t *testing.T, f *testFleet) {
					k := f.watchKey(configOf, "config")
					for _, v := range []string{"1", "2", "3"} {
						f.write(t, f.config, k, "config", v)
						require.NoError(t, f.fleet.Put(context.Background(), "u-"+v, []byte(v)))
					}
					time.Sleep(maxSpreadTime)
					if c.failing != nil {
						c.failing(f)
						time.Sleep(settleTime)
					}
					for i := range c.returns {
						f.restoreStore(500*time.Millisecond, 2)
						time.Sleep(c.settle)
						require.Zero(t, k.countWith("1"), "gateways that went back")
						f.write(t, f.config, k, "config", fmt.Sprint("after-", i))
						f.write(t, f.config, k, "config", fmt.Sprint("then-", i))
					}
					oldest := f.oldestViewDuring(5 * time.Second)
					all, most := f.calls.count()
					t.Logf("oldest view %s, %d calls to the store since the return, %d in one second", oldest, all, most)
					require.Less(t, oldest, viewAgeGoal(maxViewAge))
					require.Less(t, most, storeReadsPerSecond)
				})
			})
		}
	}
}

// BenchmarkStoreThatGoesBack measures calls to the store in the five seconds after it came back from an
// older copy, the most in one of them, and the time until a change that is written at once is known
// everywhere.
func BenchmarkStoreThatGoesBack(b *testing.B) {
	for _, n := range []int{28, 103, 420} {
		b.Run(fmt.Sprintf("gateways=%d", n), func(b *testing.B) {
			for range b.N {
				runAsTest(b, func(t *testing.T) {
					inNetwork(t, fleetPlaces(n), storeDelay, func(t *testing.T, f *testFleet) {
						k := f.watchKey(configOf, "config")
						for _, v := range []string{"1", "2", "3"} {
							f.write(t, f.config, k, "config", v)
						}
						f.restoreStore(500*time.Millisecond, 2)
						begin := time.Now()
						f.write(t, f.config, k, "config", "4")
						b.ReportMetric(time.Since(begin).Seconds(), "s-known")
						time.Sleep(5*time.Second - time.Since(begin))
						all, most := f.calls.count()
						b.ReportMetric(float64(all), "calls/5s")
						b.ReportMetric(float64(most), "most/s")
					})
				})
			}
		})
	}
}
