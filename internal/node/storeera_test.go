package node

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// changeBound is the users' bound from a change's acknowledgement until it is in force.
const changeBound = 2 * time.Second

// requireInForce checks that a configuration is in force at all gateways within the bound.
func (f *recordingFleet) requireInForce(t *testing.T, version int64) {
	t.Helper()
	acknowledged := time.Now()
	for _, g := range f.callers.gateways {
		require.Eventually(t, func() bool { return g.Revision() == version }, changeBound-time.Since(acknowledged), 5*time.Millisecond,
			"version %d at %s, which has %d", version, g.Box.Name, g.Revision())
	}
}

// requireStatus checks what each gateway answers to a caller with a key.
func (f *recordingFleet) requireStatus(t *testing.T, status int, key string) {
	t.Helper()
	for i, g := range f.callers.gateways {
		st, _, err := g.call(t, "/once/x", fmt.Sprint("status-", i, "-", time.Now().UnixNano()), key)
		require.NoError(t, err)
		require.Equal(t, status, st, g.Box.Name)
	}
}

// loseVersions writes versions of the configuration, and lets the store come back from a copy without
// them once they are in force.
func (f *recordingFleet) loseVersions(t *testing.T, from, to int) {
	t.Helper()
	before := time.Now()
	for v := from; v <= to; v++ {
		f.fixture.configure(v, 5000, "k1")
	}
	f.requireInForce(t, int64(to))
	f.fixture.store.GoBack(time.Since(before))
}

// Guards against changes that are not read after the store came back from an older copy, because
// their offsets are below those read before.
func TestChangesAfterTheStoreWentBackAreInForceInTime(t *testing.T) {
	t.Run("each change that is written then", func(t *testing.T) {
		t.Parallel()
		f := newRecordingFleet(t, 1, 5)
		f.loseVersions(t, 2, 5)
		for v := 5; v <= 8; v++ {
			f.fixture.configure(v, 5000, "k1")
			f.requireInForce(t, int64(v))
		}
		f.requireStatus(t, http.StatusOK, "k1")
	})
	t.Run("twice within three seconds", func(t *testing.T) {
		t.Parallel()
		f := newRecordingFleet(t, 1, 5)
		f.loseVersions(t, 2, 5)
		f.fixture.configure(6, 5000, "k1")
		f.requireInForce(t, 6)
		f.fixture.store.GoBack(time.Second)
		for v := 7; v <= 9; v++ {
			f.fixture.configure(v, 5000, "k1")
			f.requireInForce(t, int64(v))
		}
	})
	t.Run("while the lost ones are written again one after another", func(t *testing.T) {
		t.Parallel()
		f := newRecordingFleet(t, 1, 5)
		f.loseVersions(t, 2, 5)
		for v := 2; v <= 5; v++ {
			f.fixture.configure(v, 5000, "k1")
			time.Sleep(200 * time.Millisecond)
		}
		f.fixture.configure(6, 5000, "k1")
		f.requireInForce(t, 6)
	})
}

// lose lets the store come back from a copy that is older than a change which all gateways know.
func (f *recordingFleet) lose(t *testing.T, change func(), known func(g *gateway) bool) {
	t.Helper()
	before := time.Now()
	change()
	for _, g := range f.callers.gateways {
		require.Eventually(t, func() bool { return known(g) }, 20*time.Second, 5*time.Millisecond)
	}
	f.fixture.store.GoBack(time.Since(before))
	for _, g := range f.callers.gateways {
		require.Eventually(t, func() bool { return g.config.Era() > 1 }, 20*time.Second, 5*time.Millisecond)
	}
}

// Guards against a key that is accepted again, at gateways that know the configuration without it and
// at one that starts before that is written again.
func TestARevokedKeyStaysSoWhenTheStoreGoesBack(t *testing.T) {
	f := newRecordingFleet(t, 1, 3)
	f.lose(t, func() { f.fixture.configure(2, 5000, "k1") }, func(g *gateway) bool { return g.Revision() == 2 })
	f.requireStatus(t, http.StatusUnauthorized, "k2")
	g := startGateway(t, f.fixture.store.Address(), nil)
	g.waitReady(t)
	f.callers.gateways = append(f.callers.gateways, g)
	f.requireStatus(t, http.StatusUnauthorized, "k2")
	f.requireStatus(t, http.StatusOK, "k1")
}

// Guards against an upstream that is used again since the copy lists it as ready.
func TestAnUpstreamThatHasLeftStaysSoWhenTheStoreGoesBack(t *testing.T) {
	for name, entry := range map[string]func(f *recordingFleet){
		"draining": func(f *recordingFleet) {
			f.fixture.store.PutJSON("keyed.servers", "i-0", f.upstreams[0].Record("s", "draining"))
		},
		"gone": func(f *recordingFleet) { f.fixture.store.Put("keyed.servers", "i-0", nil) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newRecordingFleet(t, 3, 4)
			f.lose(t, func() { entry(f) }, func(g *gateway) bool {
				return strings.Contains(g.log.String(), `"draining":true`) || strings.Contains(g.log.String(), "upstream unlisted")
			})
			before := len(f.upstreams[0].Requests())
			f.callers.runEvery(3*time.Second, 10*time.Millisecond, f.call)
			f.callers.group.Wait()
			require.Len(t, f.upstreams[0].Requests(), before)
			require.GreaterOrEqual(t, f.servedRatio(), 0.99)
		})
	}
}

// Guards against an upstream that gets no more calls since the copy does not list it.
func TestAnUpstreamIsNotLostWhenTheStoreGoesBack(t *testing.T) {
	f := newRecordingFleet(t, 1, 4)
	m := newRecordingUpstream(t, "i-new", serviceTime)
	entry := func() { f.fixture.store.PutJSON("keyed.servers", m.ID, m.Record("s", "ready")) }
	f.lose(t, entry, func(g *gateway) bool { return g.Core.Fleet().Size() == 2 })
	time.AfterFunc(1500*time.Millisecond, entry)
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, g := range f.callers.gateways {
			require.Equal(t, 2, g.Core.Fleet().Size(), g.Box.Name)
		}
	}
}

// Guards against an upstream that stays listed though it is gone, because the store lost its entry
// and nobody wrote it again.
func TestAnUpstreamThatIsNotWrittenAgainIsDropped(t *testing.T) {
	f := newRecordingFleet(t, 1, 4)
	m := newRecordingUpstream(t, "i-new", serviceTime)
	f.lose(t, func() { f.fixture.store.PutJSON("keyed.servers", m.ID, m.Record("s", "ready")) }, func(g *gateway) bool { return g.Core.Fleet().Size() == 2 })
	for _, g := range f.callers.gateways {
		require.Eventually(t, func() bool { return g.Core.Fleet().Size() == 1 }, 2*registryLossTime, 20*time.Millisecond)
	}
}

// Guards against an evacuation that ends, or begins again, since the copy is older.
func TestEvacuationsWhenTheStoreGoesBack(t *testing.T) {
	evacuated := func(n int) func(g *gateway) bool {
		return func(g *gateway) bool { return len(g.configState().Evacuated) == n }
	}
	t.Run("one that began goes on, also at a gateway that starts then", func(t *testing.T) {
		t.Parallel()
		f := newHallFleet(t, 4)
		f.lose(t, f.evacuate, evacuated(1))
		f.requireEvacuated(t)
		g := startGateway(t, f.fixture.store.Address(), nil)
		g.waitReady(t)
		require.Eventually(t, func() bool { return evacuated(1)(g) }, time.Second, 5*time.Millisecond)
		f.fixture.store.Put("keyed.op", "evacuate/z2", []byte("{}"))
		f.fixture.store.Put("keyed.op", "evacuate/z2", nil)
		for _, g := range append(f.callers.gateways, g) {
			require.Eventually(t, func() bool { return evacuated(0)(g) }, changeBound, 5*time.Millisecond)
		}
	})
	t.Run("one that ended does not begin again", func(t *testing.T) {
		t.Parallel()
		f := newHallFleet(t, 4)
		f.evacuate()
		for _, g := range f.callers.gateways {
			require.Eventually(t, func() bool { return evacuated(1)(g) }, 20*time.Second, 5*time.Millisecond)
		}
		time.Sleep(50 * time.Millisecond)
		f.lose(t, func() { f.fixture.store.Put("keyed.op", "evacuate/z2", nil) }, evacuated(0))
		time.Sleep(2 * time.Second)
		for _, g := range f.callers.gateways {
			require.Empty(t, g.configState().Evacuated)
		}
		f.fixture.store.Put("keyed.op", "evacuate/z2", []byte("{}"))
		for _, g := range f.callers.gateways {
			require.Eventually(t, func() bool { return evacuated(1)(g) }, changeBound, 5*time.Millisecond)
		}
	})
}

// Guards against gateways that are missing from the list, since the store lost their records.
func TestGatewaysWriteTheirRecordsAgainWhenTheStoreGoesBack(t *testing.T) {
	f := newRecordingFleet(t, 1, 4)
	f.lose(t, func() {}, func(*gateway) bool { return true })
	f.fixture.store.GoBack(time.Hour)
	for _, g := range f.callers.gateways {
		require.Eventually(t, func() bool { return f.fixture.store.Value("keyed.members", g.Box.Name) != "" }, 5*time.Second, 10*time.Millisecond)
	}
}
