package core

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
)

// requireUnreportedCalls checks how many calls of a service peers are estimated to have placed that they
// haven't reported yet.
func requireUnreportedCalls(t *testing.T, f *Fleet, service string, want float64) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	require.InDelta(t, want, f.unreportedCalls(service, f.clock.Now()), 0.15*want+0.01)
}

func TestUnheardCalls(t *testing.T) {
	t.Run("follow from how many others place", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet("e", 2)
			f.ReceiveView("b", nil, true)
			for n := range 400 {
				time.Sleep(2 * time.Millisecond)
				f.ReceiveView("b", map[hollowgrade.Instance]Share{"u00": {Open: n + 1}}, false)
			}
			requireUnreportedCalls(t, f, "e", 500*peerCallDelay.Seconds())
			requireUnreportedCalls(t, f, "another", 0)
			time.Sleep(10 * peerRateWindow)
			requireUnreportedCalls(t, f, "e", 0)
		})
	})
	t.Run("are not what stood when a process was first heard", func(t *testing.T) {
		f := newFleet("e", 2)
		f.ReceiveView("b", map[hollowgrade.Instance]Share{"u00": {Open: 50}}, true)
		requireUnreportedCalls(t, f, "e", 0)
	})
	t.Run("are not those that end", func(t *testing.T) {
		f := newFleet("e", 2)
		f.ReceiveView("b", map[hollowgrade.Instance]Share{"u00": {Open: 50}}, true)
		f.ReceiveView("b", map[hollowgrade.Instance]Share{"u00": {Open: 20}}, false)
		requireUnreportedCalls(t, f, "e", 0)
	})
}

// Gateways that pick at the same time while peers place a hundred calls a second have to allow for
// calls of each other that aren't reported yet, and pick different engines.
func TestUnheardCallsLetPicksDiffer(t *testing.T) {
	used := map[string]int{}
	for i := range 40 {
		f := newFleet("e", 9)
		f.SetRandom(func() float64 { return (float64(i) + 0.5) / 40 })
		f.ReceiveView("b", map[hollowgrade.Instance]Share{"u00": {}}, true)
		f.ReceiveView("b", map[hollowgrade.Instance]Share{"u00": {Open: 300}}, false)
		f.ReceiveView("b", map[hollowgrade.Instance]Share{"u00": {Open: 3}}, false)
		used[f.pick("e", short(), nil).member.ID]++
	}
	require.Greater(t, len(used), 2)
}
