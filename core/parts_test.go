package core

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
)

// requireHelperParts checks how many parts of prompts an engine is estimated to hold for others.
func requireHelperParts(t *testing.T, f *Fleet, id hollowgrade.Instance, want int) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	require.Equal(t, want, f.members[id].partCount(f.clock.Now()))
}

// Guards against many gateways (103 in one case) that split prompts among the same engines: an
// engine holds at most as many parts as it has slots, and a prompt is refused if one engine has no
// slot for its part.
func TestEnginesTakeFewPartsAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("e", 17)
		f.ReceiveView("b", nil, true)
		for n := range 16 {
			f.ReceiveView("b", map[hollowgrade.Instance]Share{"u03": {Prefill: time.Duration(n+1) * time.Microsecond}}, false)
		}
		requireHelperParts(t, f, "u03", 16)
		p := f.pick("e", long(45_000), nil)
		require.NotContains(t, p.helpers, f.members["u03"])
		require.NotEqual(t, "u03", p.member.ID)
		for _, m := range p.helpers {
			requireHelperParts(t, f, m.Instance(), 1)
		}
		time.Sleep(20 * minPartTime)
		requireHelperParts(t, f, "u03", 0)
	})
	t.Run("but are used when there are no others", func(t *testing.T) {
		f := newFleet("e", 2)
		for range 40 {
			f.members["u00"].addPart(time.Now(), 0)
			f.members["u01"].addPart(time.Now(), 0)
		}
		require.NotNil(t, f.pick("e", long(45_000), nil))
	})
}
