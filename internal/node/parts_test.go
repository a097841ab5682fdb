package node

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/platform/platformtest"
	"github.com/hollowgrade/hollowgrade/quarantine"
	"github.com/hollowgrade/hollowgrade/setting"
)

const (
	// crashesOfAPart is the number of crashes after which a part of prompts has to be known.
	crashesOfAPart = 5
	// soundDelay is the time after the last of these crashes, or after the part is blocked at all
	// gateways if that is earlier, from which on sound requests have to be served at their first
	// attempt, and minSoundRatio is the part of them.
	soundDelay    = 2 * quarantineDelay
	minSoundRatio = 0.95
)

// partCallers sends requests that share parts of their prompts, and no two of which are alike.
type partCallers struct {
	*callerGroup
	pool *crashingPool

	mu            sync.Mutex
	known         time.Time // when all gateways had blocked the parts, zero before
	sound, served int       // sound requests after soundDelay, and those that were served at the first attempt
}

// send sends a request with a list of parts, and reports whether it was served.
func (c *partCallers) send(parts string) (served bool) {
	n := c.ids.Add(1)
	g := c.gateways[int(n)%len(c.gateways)]
	list := strings.ReplaceAll(parts, "own", fmt.Sprintf("ff%06x", n))
	st, b, err := g.postWith(http.Header{"Prompt-Prefix": {list}}, "/stream/x", fmt.Sprint("p", n), "k1", fmt.Sprint("text ", n))
	return err == nil && st == http.StatusOK && b == stream(eventCount)
}

// sendSound sends a sound request and counts it once its part has to be known.
func (c *partCallers) sendSound(parts string) {
	counts := max(c.pool.sinceCrash(crashesOfAPart), c.sinceKnown()) > soundDelay
	served := c.send(parts)
	c.mu.Lock()
	defer c.mu.Unlock()
	if counts {
		c.sound++
		if served {
			c.served++
		}
	}
}

// awaitKnown waits until each gateway has blocked a number of parts.
func (c *partCallers) awaitKnown(parts int, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if slices.ContainsFunc(c.gateways, func(g *gateway) bool { return countParts(g) < parts }) {
			continue
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.known = time.Now()
		return
	}
}

// countParts returns how many parts a gateway has blocked.
func countParts(g *gateway) (n int) {
	for _, b := range g.Core.Quarantine().Blocks() {
		if isPart(b) {
			n++
		}
	}
	return n
}

// sinceKnown returns the time since all gateways had blocked the parts, 0 before.
func (c *partCallers) sinceKnown() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known.IsZero() {
		return 0
	}
	return time.Since(c.known)
}

// requireKnownPart runs gateways whose callers send crashing requests four times a second for each
// list of parts, beside fifty sound ones. It checks that soon no upstream gets crashing requests any
// more and that the sound ones are served.
func requireKnownPart(t *testing.T, m *crashingPool, c *partCallers, crashing []string, sound string) {
	t.Helper()
	const duration = 12 * time.Second
	for _, p := range crashing {
		c.runEvery(duration, 250*time.Millisecond, func() { c.send(p) })
	}
	c.runEvery(duration, 20*time.Millisecond, func() { c.sendSound(sound) })
	c.group.Go(func() { c.awaitKnown(len(crashing), duration) })
	c.group.Wait()
	late, crashed := m.sendsAfter(crashesOfAPart*len(crashing), quarantineDelay)
	t.Logf("%d sent later than %s after the last crash that is allowed; %d crashes in all; %d of %d sound ones served", late, quarantineDelay, crashed, c.served, c.sound)
	require.GreaterOrEqual(t, crashed, 3)
	require.LessOrEqual(t, late, maxLateSends*len(crashing))
	require.Greater(t, c.sound, 100)
	require.GreaterOrEqual(t, float64(c.served), minSoundRatio*float64(c.sound))
}

// Guards against prompts that share a part which crashes upstreams, and differ in all else.
func TestPartOfPromptsThatEndsUpstreams(t *testing.T) {
	for name, k := range map[string]struct {
		crashing []string // lists of parts, of which bad and bad2 crash upstreams
		sound    string
		proxied  bool
	}{
		"in the middle": {[]string{"a1:40,bad:100,own:50"}, "a1:40,own:50", false},
		"behind relays": {[]string{"a1:40,bad:100,own:50"}, "a1:40,own:50", true},
		"first":         {[]string{"bad:100,own:50"}, "a1:40,own:50", false},
		"last but one":  {[]string{"a1:40,a2:40,a3:40,bad:100,own:50"}, "a1:40,a2:40,a3:40,own:50", false},
		"two of them":   {[]string{"a1:40,bad:100,own:50", "a1:40,bad2:100,own:50"}, "a1:40,own:50", false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t)
			m := newCrashingPool(t, s.store, 0, 1500*time.Millisecond)
			m.proxied, m.crashingParts = k.proxied, []string{"bad:", "bad2:"}
			for range 24 {
				m.start()
			}
			c := &partCallers{callerGroup: newCallerGroup(t, s.store, 3), pool: m}
			requireKnownPart(t, m, c, k.crashing, k.sound)
		})
	}
}

// callUntilPartBlocked sends requests with the bad part until the first gateway blocks it.
func (c *partCallers) callUntilPartBlocked() {
	c.t.Helper()
	require.Eventually(c.t, func() bool {
		c.send("a1:40,bad:100,own:50")
		return slices.ContainsFunc(c.gateways[0].Core.Quarantine().Blocks(), isPart)
	}, 20*time.Second, 50*time.Millisecond)
}

func isPart(h quarantine.Block) bool {
	return h.Kind == quarantine.KindPart
}

// requirePartBlocked checks that gateways refuse requests with the bad part, which reach no upstream.
func requirePartBlocked(t *testing.T, m *crashingPool, gs ...*gateway) {
	t.Helper()
	before := m.sendCount()
	for i, g := range gs {
		require.Eventually(t, func() bool { return slices.ContainsFunc(g.Core.Quarantine().Blocks(), isPart) }, quarantineDelay, 5*time.Millisecond)
		st, body, err := g.postWith(http.Header{"Prompt-Prefix": {"a1:40,bad:100,fff:50"}}, "/stream/x", fmt.Sprint("known", i), "k1", "another text")
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, st, "it was not run")
		require.Contains(t, body, "HG2010")
		require.Contains(t, body, "part bad ")
	}
	require.Equal(t, before, m.sendCount())
}

func TestABlockedPartIsKnown(t *testing.T) {
	const key = "part:bad@s"
	start := func(t *testing.T, gateways int) (*fixture, *partCallers) {
		t.Helper()
		s := newFixture(t)
		m := newCrashingPool(t, s.store, 0, 300*time.Millisecond)
		m.crashingParts = []string{"bad:"}
		for range 8 {
			m.start()
		}
		return s, &partCallers{callerGroup: newCallerGroup(t, s.store, gateways), pool: m}
	}
	t.Run("after the loss of all gateways", func(t *testing.T) {
		s, c := start(t, 2)
		c.callUntilPartBlocked()
		require.Eventually(t, func() bool { return s.store.Value("keyed.held", key) != "" }, 10*time.Second, 5*time.Millisecond)
		after := startGateway(t, s.store.Address(), func(c *setting.Gateway) { c.Peers = "" }) // no peer informs it
		after.waitReady(t)
		requirePartBlocked(t, c.pool, after)
	})
	t.Run("while the store is away, also by those at which it never came", func(t *testing.T) {
		s, c := start(t, 3)
		s.store.SetMode(platformtest.Silent)
		all := c.gateways
		c.gateways = all[:1]
		c.callUntilPartBlocked()
		requirePartBlocked(t, c.pool, all...)
		s.store.SetMode(platformtest.Serving)
		require.Eventually(t, func() bool { return s.store.Value("keyed.held", key) != "" }, 20*time.Second, 5*time.Millisecond)
	})
	t.Run("by operators, who can end it", func(t *testing.T) {
		s, c := start(t, 2)
		c.callUntilPartBlocked()
		requirePartBlocked(t, c.pool, c.gateways...)
		r, err := http.NewRequest(http.MethodDelete, "http://"+c.gateways[1].Operators+QuarantinePath+"/"+key, nil)
		require.NoError(t, err)
		a, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		require.Equal(t, http.StatusNoContent, a.StatusCode)
		for _, g := range c.gateways {
			require.Eventually(t, func() bool { return !slices.ContainsFunc(g.Core.Quarantine().Blocks(), isPart) }, quarantineDelay, 5*time.Millisecond)
		}
		require.Eventually(t, func() bool { return s.store.Value("keyed.held", key) == "" }, 10*time.Second, 5*time.Millisecond)
	})
}

func TestRecordsOfBlocks(t *testing.T) {
	now := time.Now().Truncate(time.Millisecond)
	h := quarantine.Block{
		Subject: quarantine.Subject{Kind: quarantine.KindPart, Fingerprint: hollowgrade.Fingerprint{15: 0xba}, Organisation: "o", Route: "r", Service: "s"},
		With:    []hollowgrade.PartID{{15: 0xa1}}, Since: now, Until: now.Add(time.Minute), Losses: 3, Odds: 1e-9, Upstreams: []hollowgrade.Instance{"i-1"}, By: "box",
	}
	v, err := encodeBlock(h, now, now)
	require.NoError(t, err)
	t.Run("of parts are read as they were written", func(t *testing.T) {
		d, err := decodeBlock(h.Suspect().String(), v, now, now)
		require.NoError(t, err)
		require.Equal(t, h, d)
	})
	t.Run("of requests as earlier versions wrote them", func(t *testing.T) {
		f := strings.Repeat("ab", 16)
		d, err := decodeBlock(f, []byte(`{"organisation":"o","route":"r","service":"s","since":1,"until":2,"losses":3,"odds":1e-9,"upstreams":["i-1"],"by":"b"}`), now, now)
		require.NoError(t, err)
		require.Equal(t, quarantine.KindRequest, d.Kind)
		require.Equal(t, f, d.Fingerprint.String())
	})
	t.Run("under other keys are passed over", func(t *testing.T) {
		for _, key := range []string{"", "part:", "part:bad", "part:@s", "part:xyz@s", "organisation:o", strings.Repeat("ab", 17)} {
			_, err := decodeBlock(key, v, now, now)
			require.Error(t, err, key)
		}
	})
}
