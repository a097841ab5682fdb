package feed

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
)

func noProbeInterval() time.Duration { return 0 }

// requireMayCall checks whether a call may be made now, and whether it is a probe.
func requireMayCall(t *testing.T, a *Breaker, may, probe bool) {
	t.Helper()
	isProbe, wait := a.Begin()
	require.Equal(t, may, wait == 0)
	require.Equal(t, probe, isProbe)
}

func TestAccess(t *testing.T) {
	t.Run("all may call while the store answers", func(t *testing.T) {
		a := NewBreaker(hollowgrade.SystemClock(), noProbeInterval)
		requireMayCall(t, a, true, false)
		requireMayCall(t, a, true, false)
		a.Report(false, true)
		requireMayCall(t, a, true, false)
	})
	t.Run("one tries at a time while it does not", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			a := NewBreaker(hollowgrade.SystemClock(), noProbeInterval)
			a.Report(false, false)
			requireMayCall(t, a, false, false)
			time.Sleep(2 * minRetryDelay)
			requireMayCall(t, a, true, true)
			requireMayCall(t, a, false, false)
			a.Report(true, false)
			requireMayCall(t, a, false, false)
			time.Sleep(2 * maxRetryDelay)
			requireMayCall(t, a, true, true)
			a.Report(true, true)
			requireMayCall(t, a, true, false)
			requireMayCall(t, a, true, false)
		})
	})
	t.Run("pauses are as long as the spacing asks for", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			const spacing = 10 * time.Second
			a := NewBreaker(hollowgrade.SystemClock(), func() time.Duration { return spacing })
			a.Report(false, false)
			tries, began := 0, time.Now()
			for time.Since(began) < 100*spacing {
				try, wait := a.Begin()
				if try {
					tries++
					a.Report(true, false)
					continue
				}
				time.Sleep(wait)
			}
			require.InDelta(t, 100, tries, 30)
		})
	})
	t.Run("one tries first where others have lost the store", func(t *testing.T) {
		a := NewBreaker(hollowgrade.SystemClock(), noProbeInterval)
		a.SuspectOutage()
		requireMayCall(t, a, true, true)
		requireMayCall(t, a, false, false)
		a.Report(true, true)
		requireMayCall(t, a, true, false)
	})
	t.Run("a turn counts from the begin of a probe that a silent store failed, also if it came during it", func(t *testing.T) {
		for _, during := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				a := NewBreaker(hollowgrade.SystemClock(), func() time.Duration { return 10_000 * time.Hour })
				a.SuspectOutage()
				requireMayCall(t, a, true, true)
				time.Sleep(minTurnInterval / 2)
				if during {
					a.SuspectOutage()
				}
				a.Report(true, false)
				time.Sleep(minTurnInterval / 2)
				if !during {
					a.SuspectOutage()
				}
				requireMayCall(t, a, true, true)
			})
		}
	})
	t.Run("a turn ends a long delay, but does not shorten the least one", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			a := NewBreaker(hollowgrade.SystemClock(), func() time.Duration { return 10_000 * time.Hour })
			a.Report(false, false)
			time.Sleep(minTurnInterval)
			requireMayCall(t, a, false, false)
			a.SuspectOutage()
			requireMayCall(t, a, true, true)
			a.Report(true, false)
			a.SuspectOutage()
			requireMayCall(t, a, false, false)
			time.Sleep(minTurnInterval)
			requireMayCall(t, a, true, true)
		})
	})
}

// A probe must not wait at the store: on a topic whose reads wait long, its answer would come
// seconds after the store is back, and the other topics would wait for it.
func TestATryDoesNotWaitAtTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		a := NewBreaker(hollowgrade.SystemClock(), noProbeInterval)
		quiet := log.New(io.Discard)
		slow, quick := newTopic(), newTopic()
		patient := New("members", slow, WithLogger(quiet), WithWait(20*time.Second), WithBreaker(a))
		eager := New("config", quick, WithLogger(quiet), WithWait(time.Second), WithBreaker(a))
		var g sync.WaitGroup
		g.Go(func() { patient.Run(ctx) })
		g.Go(func() { eager.Run(ctx) })
		for range 20 {
			quick.set(func() { quick.down = true })
			time.Sleep(3 * time.Second)
			quick.set(func() { quick.down = false })
			slow.set(func() {}) // ends its read, so that it makes the next probe
			time.Sleep(2 * maxRetryDelay)
			age, _ := eager.Age()
			require.Less(t, age, 2*maxRetryDelay+time.Second)
		}
		cancel()
		g.Wait()
	})
}

func TestStandIns(t *testing.T) {
	const n = 103
	var all []string
	for i := range n {
		all = append(all, fmt.Sprintf("10.0.0.%d:1", i))
	}
	// countReads returns how many processes other than the readers read the store once no served
	// process has replied for the given time, with or without replies from other peers.
	countReads := func(silent time.Duration, reach bool) (reads int) {
		for _, a := range all {
			r := NewRelay(a, func() []string { return append([]string(nil), all...) }, WithRelayLogger(log.New(io.Discard)))
			r.started = time.Now().Add(-time.Minute) // not one that is starting
			r.noteReply("a peer", servedPeer, time.Now())
			if !reach {
				r.lastReply = time.Time{}
			}
			r.lastServedReply = time.Now().Add(-silent)
			if r.Reads() {
				reads++
			}
		}
		return reads - len(NewRelay(all[0], func() []string { return append([]string(nil), all...) }).readers())
	}
	t.Run("are none while readers tell", func(t *testing.T) {
		require.Zero(t, countReads(servedReplyTimeout/2, true))
	})
	t.Run("are all that reach nobody", func(t *testing.T) {
		require.Equal(t, n-readerCount(n), countReads(servedReplyTimeout+time.Millisecond, false))
	})
	t.Run("probe as often as readers until the store serves a peer", func(t *testing.T) {
		r := NewRelay(all[0], func() []string { return append([]string(nil), all...) }, WithRelayLogger(log.New(io.Discard)))
		readers, higherRanked := r.readers(), r.higherRanked()
		require.NotContains(t, readers, r.self)
		r.noteReply("a peer", unservedPeer, time.Now())
		require.NotZero(t, r.probeInterval())
		r.isBackup = true
		require.True(t, r.actsAsBackup(0, higherRanked, true))
		r.lastServedReply = time.Now().Add(-time.Minute)
		r.updateOutage(readers, false, true, false)
		require.Zero(t, r.probeInterval())
		r.noteReply("a peer", servedPeer, time.Now())
		r.updateOutage(readers, false, false, false)
		require.NotZero(t, r.probeInterval())
	})
}

func TestAccessOfOneTopicThatIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		a := NewBreaker(hollowgrade.SystemClock(), noProbeInterval)
		quiet := log.New(io.Discard)
		gone, there := newTopic(), newTopic()
		gone.down = true
		lost := New("config", gone, WithLogger(quiet), WithWait(time.Second), WithBreaker(a))
		kept := New("fleet", there, WithLogger(quiet), WithWait(time.Second), WithBreaker(a))
		var g sync.WaitGroup
		g.Go(func() { lost.Run(ctx) })
		g.Go(func() { kept.Run(ctx) })
		time.Sleep(5 * time.Second)
		put(t, there, "a", "1")
		time.Sleep(time.Second)
		require.Equal(t, int64(1), kept.Next(), "the available topic is still read")
		cancel()
		g.Wait()
	})
}
