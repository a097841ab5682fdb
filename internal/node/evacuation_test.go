package node

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/platform/platformtest"
)

// evacuationBound is a third of the users' bound of five seconds from the acknowledgement of an
// evacuation until nothing more reaches the upstreams of its data hall.
const evacuationBound = 5 * time.Second / 3

// inHall writes the entry of an upstream of a data hall.
func (f *recordingFleet) inHall(m *recordingUpstream, hall string, coldMillis int) {
	r := m.Record("s", "ready")
	r["zone"], r["coldLeftMs"] = hall, coldMillis
	f.fixture.store.PutJSON("keyed.servers", m.ID, r)
}

// newHallFleet returns gateways before three upstreams, the first of which is in the data hall z2.
func newHallFleet(t *testing.T, gateways int) *recordingFleet {
	f := newRecordingFleet(t, 3, gateways)
	f.inHall(f.upstreams[0], "z2", 0)
	for _, g := range f.callers.gateways {
		require.Eventually(t, func() bool { return countInHall(g, "z2") == 1 }, 20*time.Second, 5*time.Millisecond)
	}
	return f
}

// countInHall returns how many upstreams of a data hall a gateway lists.
func countInHall(g *gateway, hall string) int {
	return g.Core.Fleet().CountIn(hall)
}

// evacuate starts the evacuation of z2, and takes it as acknowledged now.
func (f *recordingFleet) evacuate() {
	m := f.upstreams[0]
	f.fixture.store.Put("keyed.op", "evacuate/z2", []byte("{}"))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.announcedAt = time.Now()
}

// requireEvacuated checks that calls are served and none reaches the evacuated upstream later than
// the bound after the acknowledgement.
func (f *recordingFleet) requireEvacuated(t *testing.T) {
	t.Helper()
	f.callers.runEvery(evacuationBound+2*time.Second, 10*time.Millisecond, f.call)
	f.callers.group.Wait()
	m := f.upstreams[0]
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range m.arrivals {
		require.LessOrEqual(t, a.at.Sub(m.announcedAt), evacuationBound, "a request from %s", a.gateway)
	}
	require.GreaterOrEqual(t, f.servedRatio(), 0.99)
}

func TestEvacuationOfADataHall(t *testing.T) {
	t.Run("holds at every gateway", func(t *testing.T) {
		t.Parallel()
		f := newHallFleet(t, 8)
		f.evacuate()
		f.requireEvacuated(t)
		for _, g := range f.callers.gateways {
			require.Equal(t, []string{"z2"}, g.configState().Evacuated)
			require.Contains(t, g.log.String(), "evacuation of data hall began")
		}
	})
	t.Run("holds behind a large configuration", func(t *testing.T) {
		t.Parallel()
		f := newHallFleet(t, 6)
		f.fixture.store.Put("keyed.op", "config", paddedConfig(2, 2<<20))
		f.evacuate()
		f.requireEvacuated(t)
	})
	t.Run("holds while the store is away", func(t *testing.T) {
		t.Parallel()
		f := newHallFleet(t, 4)
		f.evacuate()
		f.requireEvacuated(t)
		f.fixture.store.SetMode(platformtest.Unavailable)
		before := len(f.upstreams[0].Requests())
		f.callers.runEvery(2*time.Second, 10*time.Millisecond, f.call)
		f.callers.group.Wait()
		require.Len(t, f.upstreams[0].Requests(), before)
	})
	t.Run("holds at a gateway that starts meanwhile", func(t *testing.T) {
		t.Parallel()
		f := newHallFleet(t, 2)
		f.evacuate()
		f.requireEvacuated(t)
		g := startGateway(t, f.fixture.store.Address(), nil)
		g.waitReady(t)
		before := len(f.upstreams[0].Requests())
		f.callers.gateways = []*gateway{g}
		f.callers.runEvery(time.Second, 10*time.Millisecond, f.call)
		f.callers.group.Wait()
		require.Len(t, f.upstreams[0].Requests(), before)
	})
	t.Run("ends when it is taken back, and the upstream is cold then", func(t *testing.T) {
		t.Parallel()
		f := newHallFleet(t, 2)
		f.fixture.store.Put("keyed.op", "config", coldConfig(2))
		f.evacuate()
		f.requireEvacuated(t)
		f.inHall(f.upstreams[0], "z2", 10_000)
		f.fixture.store.Put("keyed.op", "evacuate/z2", nil)
		for _, g := range f.callers.gateways {
			require.Eventually(t, func() bool { return len(g.configState().Evacuated) == 0 && g.Core.Fleet().Cold() == 1 }, 20*time.Second, 5*time.Millisecond)
		}
		before := len(f.upstreams[0].Requests())
		f.callers.runEvery(3*time.Second, 5*time.Millisecond, f.call)
		f.callers.group.Wait()
		got := len(f.upstreams[0].Requests()) - before
		require.Positive(t, got, "a cold upstream serves what it can")
		require.LessOrEqual(t, float64(got), 1.5*coldPerSecond*3+5)
	})
	t.Run("of all halls is refused at once", func(t *testing.T) {
		t.Parallel()
		s := newFixture(t, platformtest.Echo)
		s.store.Put("keyed.op", "evacuate/z1", []byte("{}"))
		requireStatusSoon(t, s.gateway, http.StatusServiceUnavailable)
		begin := time.Now()
		_, body, err := s.gateway.call(t, "/once/x", "late", "k1")
		require.NoError(t, err)
		require.Contains(t, body, "HG2011")
		require.Less(t, time.Since(begin), time.Second)
	})
}

// coldPerSecond is the rate that a cold upstream of coldConfig bears.
const coldPerSecond = 5

// coldConfig returns a configuration with a rule for cold upstreams.
func coldConfig(version int) []byte {
	return []byte(fmt.Sprintf(`{"version":%d,"routes":[
 {"name":"once","host":"h","pathPrefix":"/once/","kind":"unsafe","timeoutMs":5000,"goalLatencyMs":300,"maxAttempts":1,"service":"s"}],
 "services":[{"name":"s","coldPerS":%d,"coldStartS":3}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"o","apiKeys":["k1"]}]}`, version, coldPerSecond))
}

// paddedConfig returns a configuration with an unused route of about the given size.
func paddedConfig(version, bytes int) []byte {
	return []byte(fmt.Sprintf(`{"version":%d,"routes":[
 {"name":"once","host":"h","pathPrefix":"/once/","kind":"unsafe","timeoutMs":5000,"goalLatencyMs":300,"maxAttempts":1,"service":"s"},
 {"name":"%s","host":"other","pathPrefix":"/other/","kind":"unsafe","service":"s"}],
 "services":[{"name":"s"}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"o","apiKeys":["k1"]}]}`, version, strings.Repeat("0", bytes)))
}
