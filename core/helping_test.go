package core

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
)

// requireHelps checks how many parts an engine is thought to hold for others.
func requireHelps(t *testing.T, f *Fleet, id hollowgrade.Life, want int) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	require.Equal(t, want, f.members[id].partCount(f.clock.Now()))
}

// Digests of 103 gateways were split among the same engines, which take as many parts as
// they have slots and refuse a prompt for want of one of them.
func TestEnginesTakeFewPartsAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("e", 17)
		f.ReceiveView("b", nil, true)
		for n := range 16 {
			f.ReceiveView("b", map[hollowgrade.Life]Share{"u03": {Prefill: time.Duration(n+1) * time.Microsecond}}, false)
		}
		requireHelps(t, f, "u03", 16)
		p := f.pick("e", long(45_000), nil)
		require.NotContains(t, p.helpers, f.members["u03"])
		require.NotEqual(t, "u03", p.member.ID)
		for _, m := range p.helpers {
			requireHelps(t, f, m.Life(), 1)
		}
		time.Sleep(20 * minPartTime)
		requireHelps(t, f, "u03", 0)
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
