package spread

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
)

// silenceMoments is how many moments of the silence a test draws, and largeSilenceMoments for the largest fleet.
const (
	silenceMoments      = 20
	largeSilenceMoments = 5
)

// storeConns are the connections of one gateway to the store, kept between calls.
type storeConns struct {
	silenced func() time.Time // connections that were open then are silent; zero if none are

	mu   sync.Mutex
	idle []time.Time // when each was opened
}

// open takes a connection for a call. The returned function keeps it if the call got its answer, which never
// arrives on a silent one.
func (s *storeConns) open(timeout time.Duration) (heard func(ctx context.Context, err error) error) {
	begun := time.Now()
	opened := begun
	s.mu.Lock()
	if n := len(s.idle); n > 0 {
		opened, s.idle = s.idle[n-1], s.idle[:n-1]
	}
	s.mu.Unlock()
	return func(ctx context.Context, err error) error {
		if err != nil {
			return nil
		}
		if opened.Before(s.silenced()) {
			hollowgrade.Sleep(ctx, hollowgrade.SystemClock(), time.Until(begun.Add(timeout)))
			return errDown
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.idle = append(s.idle, opened)
		return nil
	}
}

// dropIdle closes the connections that no call uses.
func (s *storeConns) dropIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = nil
}

func (f *testFleet) silenceOfConnections() time.Time {
	f.faultsMu.Lock()
	defer f.faultsMu.Unlock()
	return f.silencedAt
}

// silenceConnections makes the open connections of all gateways to the store silent for good.
func (f *testFleet) silenceConnections() {
	f.faultsMu.Lock()
	defer f.faultsMu.Unlock()
	f.silencedAt = time.Now()
}

// Guards against upstreams that are used for too long after their entry went, since connections to the store
// had fallen silent: reads were given up after 3.7 s, and the drop was then taken for an effect of an outage.
func TestUpstreamsThatLeaveWhileConnectionsToTheStoreAreSilent(t *testing.T) {
	for n, moments := range map[int]int{2: silenceMoments, 5: silenceMoments, many: silenceMoments, large: largeSilenceMoments} {
		t.Run(fmt.Sprintf("gateways=%d", n), func(t *testing.T) {
			inNetwork(t, fleetPlaces(n), storeDelay, func(t *testing.T, f *testFleet) {
				e, r := f.watchEntries(), rand.New(rand.NewPCG(1, uint64(n)))
				var latest time.Duration
				for range moments {
					k := e.put(t, f)
					time.Sleep(settleTime + time.Duration(r.Int64N(int64(3*time.Second))))
					f.silenceConnections()
					began := time.Now()
					time.Sleep(time.Duration(r.Int64N(int64(2 * time.Second))))
					e.drop(t, f, []string{k})
					time.Sleep(contactTime + leavingTime)
					by := hollowgrade.Later(e.went[k].Add(leavingTime), began.Add(contactTime))
					for _, g := range f.gateways {
						end := e.end(t, g.box, k)
						latest = max(latest, end.Sub(began))
						require.False(t, end.After(by), "used until %s after the silence began, entry gone after %s", end.Sub(began), e.went[k].Sub(began))
					}
				}
				t.Logf("used until %s after the silence began", latest)
			})
		})
	}
}

// Guards against entries that are taken for gone for good when the store was away for a short time: what was
// asked before has no answer then either, but a new connection has none at first.
func TestUpstreamsWhoseEntriesWentInAShortSilenceOfTheStore(t *testing.T) {
	for _, n := range []int{2, 6} {
		t.Run(fmt.Sprintf("gateways=%d", n), func(t *testing.T) {
			inNetwork(t, fleetPlaces(n), storeDelay, func(t *testing.T, f *testFleet) {
				e, least := f.watchEntries(), time.Hour
				for away := 2 * time.Second; away <= 5*time.Second; away += 170 * time.Millisecond {
					k := e.add(t, f, 1)[0]
					f.failBoxes(storeFaults[0], func(string) bool { return true })
					time.Sleep(away)
					f.silenceConnections() // the store says nothing more where an answer was lost
					require.NoError(t, f.fleet.Put(t.Context(), k, nil))
					f.failBoxes(storeFaults[0], noBox)
					back := time.Now()
					time.Sleep(calmTime)
					for _, g := range f.gateways {
						least = min(least, e.end(t, g.box, k).Sub(back))
					}
				}
				t.Logf("kept for %s at least", least)
				require.GreaterOrEqual(t, least, leavingTime)
			})
		})
	}
}
