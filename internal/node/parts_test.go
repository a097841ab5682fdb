package node

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// crashesOfAPart is the number of crashes after which a part of prompts has to be known.
	crashesOfAPart = 5
	// soundDelay is the time after the last of these crashes from which on sound requests have to be
	// served at their first attempt, and minSoundRatio is the part of them.
	soundDelay    = 2 * quarantineDelay
	minSoundRatio = 0.95
)

// partCallers sends requests that share parts of their prompts, and no two of which are alike.
type partCallers struct {
	*callerGroup
	pool *crashingPool

	mu            sync.Mutex
	sound, served int // sound requests after soundDelay, and those that were served at the first attempt
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
	counts := c.pool.sinceCrash(crashesOfAPart) > soundDelay
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
		crashing []string // lists of parts, of which bad and worse crash upstreams
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
