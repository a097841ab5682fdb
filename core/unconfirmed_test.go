package core

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/quarantine"
)

// serveLostCall serves a call whose connection breaks at an upstream that keeps accepting
// connections, changes the upstream, and returns how many requests the quarantine then remembers.
func serveLostCall(t *testing.T, startMillis int64, change func(f *Fleet, u hollowgrade.Upstream)) (remembered int) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		c := newCore(&fakeUpstreams{replies: []reply{delayed(broken)}}, WithProber(&presentProber{}))
		u := hollowgrade.Upstream{ID: "u1", Service: "s", Address: "127.0.0.1:1", Slots: 4, StartMillis: startMillis}
		for _, m := range c.Fleet().members {
			c.Fleet().Drop(m.ID, time.Time{})
		}
		c.Fleet().Put(u)
		k := call("/once/")
		k.ID, k.Arrived = "r", time.Now()
		_ = c.Serve(context.Background(), k, &fakeSink{})
		synctest.Wait()
		change(c.Fleet(), u)
		synctest.Wait()
		remembered = c.Quarantine().Size()
	})
	return remembered
}

// restartEntry lists the entry of another instance after delay; startDelta is the difference of the
// start times in ms.
func restartEntry(delay time.Duration, startDelta int64) func(f *Fleet, u hollowgrade.Upstream) {
	return func(f *Fleet, u hollowgrade.Upstream) {
		time.Sleep(delay)
		u.StartMillis += startDelta
		f.Put(u)
	}
}

func TestAnEndIsSeenByTheNextLife(t *testing.T) {
	const startMillis = 1_773_628_201_234
	t.Run("in the entry of the upstream", func(t *testing.T) {
		require.Equal(t, 1, serveLostCall(t, startMillis, restartEntry(2*time.Second, 1500)))
	})
	t.Run("in its own word", func(t *testing.T) {
		require.Equal(t, 1, serveLostCall(t, startMillis, func(f *Fleet, u hollowgrade.Upstream) { f.InstanceStarted(u.ID, startMillis+1) }))
	})
	t.Run("and counts nothing for an upstream that went on", func(t *testing.T) {
		require.Zero(t, serveLostCall(t, startMillis, func(f *Fleet, u hollowgrade.Upstream) {
			u.Draining = true
			f.Put(u)
		}))
	})
	t.Run("nor for one whose life seems to have begun earlier", func(t *testing.T) {
		require.Zero(t, serveLostCall(t, startMillis, restartEntry(time.Second, -1500)))
	})
	t.Run("nor for one that is replaced some time after a connection broke", func(t *testing.T) {
		require.Zero(t, serveLostCall(t, startMillis, restartEntry(confirmWindow+time.Second, 1500)))
	})
	t.Run("nor for one that is taken away", func(t *testing.T) {
		require.Zero(t, serveLostCall(t, startMillis, func(f *Fleet, u hollowgrade.Upstream) { f.Drop(u.ID, time.Time{}) }))
	})
	t.Run("nor for one that does not tell its lives", func(t *testing.T) {
		require.Zero(t, serveLostCall(t, 0, restartEntry(time.Second, 1500)))
	})
}

func TestUnprovedLossesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &unconfirmedLosses{clock: hollowgrade.SystemClock(), losses: map[string][]unconfirmedLoss{}}
		u := hollowgrade.Upstream{ID: "u", StartMillis: 1}
		for range 10 * maxUnconfirmedPerUpstream {
			p.add(u, quarantine.Loss{Lost: time.Now()})
		}
		require.Len(t, p.losses["u"], maxUnconfirmedPerUpstream)
		time.Sleep(2 * confirmWindow)
		for i := range 100 {
			p.add(hollowgrade.Upstream{ID: fmt.Sprint("o", i), StartMillis: 1}, quarantine.Loss{Lost: time.Now()})
		}
		require.Len(t, p.losses, 100, "losses that are too old to be confirmed are dropped")
	})
}
