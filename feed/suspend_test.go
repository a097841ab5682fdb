package feed

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
)

// runSuspended runs a feed on a machine that is suspended for d, and calls then on resume and again
// two seconds later.
func runSuspended(t *testing.T, d time.Duration, meanwhile func(*fakeTopic), then func(f *Feed, back bool)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var suspendedFor atomic.Int64
		started := time.Now()
		w := hollowgrade.NewWorldClock(hollowgrade.WithBootClock(func() (time.Duration, error) { return time.Since(started) + time.Duration(suspendedFor.Load()), nil }))
		p := newTopic()
		require.NoError(t, p.Put(context.Background(), "k", []byte("before")))
		f := New("feed", p, WithClock(w), WithLogger(log.New(io.Discard)))
		ctx, cancel := context.WithCancel(context.Background())
		go f.Run(ctx)
		time.Sleep(time.Second)
		age, known := f.Age()
		require.True(t, known)
		require.LessOrEqual(t, age, time.Second)
		suspendedFor.Add(int64(d))
		meanwhile(p)
		then(f, false)
		time.Sleep(2 * time.Second)
		then(f, true)
		cancel()
		synctest.Wait()
	})
}

func TestViewOfAMachineThatWasSuspended(t *testing.T) {
	const long = 10 * time.Second
	t.Run("is as old as the world makes it, until the store is heard again", func(t *testing.T) {
		runSuspended(t, long, func(*fakeTopic) {}, func(f *Feed, back bool) {
			age, _ := f.Age()
			require.Equal(t, !back, age >= long, "%s", age)
		})
	})
	t.Run("is told to peers as old as it is", func(t *testing.T) {
		runSuspended(t, long, func(*fakeTopic) {}, func(f *Feed, back bool) {
			p, ok := f.excerptFor(askedPosition{})
			require.True(t, ok)
			require.Equal(t, !back, p.age >= long, "%s", p.age)
		})
	})
	t.Run("has what changed meanwhile", func(t *testing.T) {
		runSuspended(t, long, func(p *fakeTopic) { _ = p.Put(context.Background(), "k", []byte("after")) }, func(f *Feed, back bool) {
			if back {
				require.EqualValues(t, 2, f.Next())
			}
		})
	})
	t.Run("stays old while the store is away", func(t *testing.T) {
		runSuspended(t, long, func(p *fakeTopic) { p.set(func() { p.down = true }) }, func(f *Feed, _ bool) {
			age, _ := f.Age()
			require.GreaterOrEqual(t, age, long)
		})
	})
}
