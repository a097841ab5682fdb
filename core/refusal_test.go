package core

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
)

// requireFirstArrival requires what is known of a prompt's earlier attempts, and that it is told once.
func requireFirstArrival(t *testing.T, f *Fleet, p hollowgrade.Fingerprint, first time.Time) {
	t.Helper()
	r, ok := f.takeRefusal(p)
	require.True(t, ok)
	require.True(t, r.FirstArrival.Equal(first))
	_, ok = f.takeRefusal(p)
	require.False(t, ok)
}

func TestRefusals(t *testing.T) {
	p := hollowgrade.Fingerprint{1}
	run := func(name string, do func(t *testing.T, f *Fleet, first time.Time)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCalendarFleet()
				do(t, f, f.Now().Add(-time.Second))
			})
		})
	}
	run("are known when the caller comes back", func(t *testing.T, f *Fleet, first time.Time) {
		f.recordRefusal(p, first)
		time.Sleep(3 * time.Second)
		requireFirstArrival(t, f, p, first)
	})
	run("are known at other gateways", func(t *testing.T, f *Fleet, first time.Time) {
		f.recordRefusal(p, first)
		g := newCalendarFleet()
		g.ReceiveRefusals(f.Refusals())
		requireFirstArrival(t, g, p, first)
	})
	run("count from the earliest attempt", func(t *testing.T, f *Fleet, first time.Time) {
		f.recordRefusal(p, first)
		f.ReceiveRefusals([]Refusal{{Fingerprint: p, FirstArrival: first.Add(-time.Second), Refused: f.Now()}})
		requireFirstArrival(t, f, p, first.Add(-time.Second))
	})
	run("are forgotten", func(t *testing.T, f *Fleet, first time.Time) {
		f.recordRefusal(p, first)
		time.Sleep(refusalMemory + time.Second)
		_, ok := f.takeRefusal(p)
		require.False(t, ok)
		require.Empty(t, f.Refusals())
	})
	run("are told in a bounded number, the newest", func(t *testing.T, f *Fleet, first time.Time) {
		for i := range 2 * MaxRefusals {
			f.recordRefusal(hollowgrade.Fingerprint{byte(i), 1}, first)
			time.Sleep(time.Millisecond)
		}
		require.Len(t, f.Refusals(), MaxRefusals)
		require.Equal(t, byte(2*MaxRefusals-1), f.Refusals()[0].Fingerprint[0])
	})
}

// Callers state less time than the route allows on their first attempt, too, and the same after a
// refusal: only what gateways know of it tells the two apart.
func TestFirstAttemptOfACallerInAHurry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := calendarCore(&fakeUpstreams{})
		x := longCall("a")
		x.Patience = 13 * time.Second
		f := &flow{core: c, call: x, fingerprint: hollowgrade.Fingerprint{1}}
		r := long(300_000)
		r.Waited, r.RefusedBefore = 2*time.Second, true
		first := f.sinceFirstArrival(r)
		require.Zero(t, first.Waited)
		require.False(t, first.RefusedBefore)
		c.fleet.recordRefusal(f.fingerprint, f.call.Arrived.Add(-3*time.Second))
		back := f.sinceFirstArrival(r)
		require.Equal(t, 3*time.Second, back.Waited)
		require.True(t, back.RefusedBefore)
	})
}
