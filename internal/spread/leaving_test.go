package spread

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/feed"
)

const (
	// contactTime is how long after its trouble a gateway has to keep all bounds again.
	contactTime = 3 * time.Second
	// leavingTime is how long an upstream may be used after its entry went.
	leavingTime = 2 * time.Second
	// isolationTime is the time of a cut after which a gateway knows that it was cut off itself: a read that
	// waits is overdue, and polls have got no answer for longer than entries may be missing.
	isolationTime = 6 * time.Second
	// entryInterval is the time between two entries that go.
	entryInterval = 130 * time.Millisecond
	calmTime      = 15 * time.Second
)

// entries records when entries of upstreams went, and until when gateways use these upstreams.
type entries struct {
	mu      sync.Mutex
	puts    int
	went    map[string]time.Time
	usedTil map[string]map[string]time.Time // by box and key
}

// watchEntries follows the entries of upstreams at all gateways.
func (f *testFleet) watchEntries() *entries {
	e := &entries{went: map[string]time.Time{}, usedTil: map[string]map[string]time.Time{}}
	for _, g := range f.gateways {
		e.usedTil[g.box] = map[string]time.Time{}
		g.fleet.Watch(func(cs []feed.Change) { e.note(g.box, cs) })
	}
	return e
}

func (e *entries) note(box string, cs []feed.Change) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, c := range cs {
		if !c.Dropped() {
			continue
		}
		e.usedTil[box][c.Key] = now
		if until := now.Add(leavingTime); !c.UncertainUntil.IsZero() {
			if c.UncertainUntil.Before(until) {
				until = c.UncertainUntil
			}
			e.usedTil[box][c.Key] = until
		}
	}
}

// end returns until when a gateway uses the upstream of an entry that went.
func (e *entries) end(t *testing.T, box, key string) time.Time {
	t.Helper()
	e.mu.Lock()
	defer e.mu.Unlock()
	require.Contains(t, e.usedTil[box], key)
	return e.usedTil[box][key]
}

// add writes the entries of n upstreams and returns their keys.
func (e *entries) add(t *testing.T, f *testFleet, n int) (keys []string) {
	t.Helper()
	for range n {
		keys = append(keys, e.put(t, f))
	}
	time.Sleep(calmTime)
	return keys
}

// put writes the entry of an upstream and returns its key.
func (e *entries) put(t *testing.T, f *testFleet) (key string) {
	t.Helper()
	key = fmt.Sprint("u", e.puts)
	e.puts++
	require.NoError(t, f.fleet.Put(context.Background(), key, []byte("ready")))
	return key
}

// drop removes entries one after another.
func (e *entries) drop(t *testing.T, f *testFleet, keys []string) {
	t.Helper()
	for _, k := range keys {
		require.NoError(t, f.fleet.Put(context.Background(), k, nil))
		e.went[k] = time.Now()
		time.Sleep(entryInterval)
	}
}

// cutOff cuts a box off from the store, and from all peers as well, or no box if it is empty. What a box that
// was cut off has asked the store before is never answered.
func (f *testFleet) cutOff(box string, peers bool) {
	f.faultsMu.Lock()
	f.cutBox = box
	if box != "" {
		f.cuts[box]++
	}
	f.faultsMu.Unlock()
	f.net.partition(func(a, b string) bool { return peers && a != b && box != "" && (a == box || b == box) })
}

// Guards against a gateway that learns late that an upstream has left, since it was cut off, and uses it for
// two seconds more: a request came 2.4 s after the upstream had left.
func TestUpstreamsThatLeftWhileAGatewayWasCutOff(t *testing.T) {
	for _, c := range []struct {
		kind  string
		boxes int
		peers bool // whether it is cut off from its peers too
	}{{"reader", 2, true}, {"reader", 6, true}, {"follower", 6, true}, {"reader", 2, false}, {"reader", 6, false}, {"follower", 6, false}} {
		t.Run(fmt.Sprintf("%s of %d, from peers %t", c.kind, c.boxes, c.peers), func(t *testing.T) {
			inNetwork(t, fleetPlaces(c.boxes), storeDelay, func(t *testing.T, f *testFleet) {
				rs := f.readers()
				box := rs[0]
				for _, g := range f.gateways {
					if c.kind == "follower" && !slices.Contains(rs, g.box) {
						box = g.box
					}
				}
				e := f.watchEntries()
				all, least := 0, time.Hour
				var late, kept []string
				for cut := time.Second; cut <= 12*time.Second; cut += 370 * time.Millisecond {
					during := int(cut / entryInterval)
					ks := e.add(t, f, during+8)
					f.cutOff(box, c.peers)
					begun := time.Now()
					e.drop(t, f, ks[:during])
					time.Sleep(cut - time.Since(begun))
					f.cutOff("", c.peers)
					over := time.Now()
					e.drop(t, f, ks[during:])
					time.Sleep(calmTime)
					for i, k := range ks {
						end, went := e.end(t, box, k), e.went[k]
						all++
						least = min(least, max(over.Add(contactTime).Sub(end), went.Add(leavingTime).Sub(end)))
						if end.After(over.Add(contactTime)) && end.After(went.Add(leavingTime)) {
							late = append(late, fmt.Sprintf("cut for %s: used until %s after its end, %s after it had left", cut, end.Sub(over), end.Sub(went)))
						}
						if c.peers && cut >= isolationTime && i < during && end.After(over.Add(maxSpreadTime)) {
							kept = append(kept, fmt.Sprintf("cut for %s: kept until %s after its end", cut, end.Sub(over)))
						}
					}
				}
				t.Logf("%d of %d used for too long, least time left %s, %d kept after a long cut", len(late), all, least, len(kept))
				require.Empty(t, late)
				require.Empty(t, kept, "it was cut off itself, so an entry that is missing then is gone")
			})
		})
	}
}

// Guards against upstreams that are given up although the store was away, so that their entries come back.
func TestUpstreamsWhoseEntriesWentWhileTheStoreWasAway(t *testing.T) {
	for _, w := range storeFaults[:2] {
		for _, boxes := range []int{2, 6} { // one alone cannot tell an outage of the store from a cut of its own
			t.Run(fmt.Sprintf("%s of %d", w.name, boxes), func(t *testing.T) {
				inNetwork(t, fleetPlaces(boxes), storeDelay, func(t *testing.T, f *testFleet) {
					e := f.watchEntries()
					least := time.Hour
					n, short := 0, 0
					for away := 4 * time.Second; away <= 12*time.Second; away += 370 * time.Millisecond {
						ks := e.add(t, f, 8)
						f.failBoxes(w, func(string) bool { return true })
						time.Sleep(away)
						for _, k := range ks {
							require.NoError(t, f.fleet.Put(context.Background(), k, nil))
						}
						f.failBoxes(w, noBox)
						back := time.Now()
						time.Sleep(calmTime)
						for _, g := range f.gateways {
							d := e.end(t, g.box, ks[0]).Sub(back)
							least = min(least, d)
							n++
							if d < leavingTime {
								short++
							}
						}
					}
					t.Logf("least %s, %d of %d below", least, short, n)
					require.GreaterOrEqual(t, least, leavingTime)
				})
			})
		}
	}
}
