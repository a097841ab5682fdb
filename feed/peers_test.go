package feed

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/internal/wire"
	"github.com/hollowgrade/hollowgrade/peer"
)

// serveFeeds serves feeds to peers over loopback and returns the address.
func serveFeeds(t *testing.T, fs ...*Feed) string {
	t.Helper()
	v := NewServer(0, fs...)
	return listen(t, func(_ context.Context, s *peer.Stream, first *wire.Frame) error { return v.Serve(s, first) })
}

func requirePoll(t *testing.T, r *Relay, address string) {
	t.Helper()
	_, err := r.exchange(context.Background(), address)
	require.NoError(t, err)
}

func requirePollFails(t *testing.T, r *Relay, address string) {
	t.Helper()
	_, err := r.exchange(context.Background(), address)
	require.Error(t, err)
}

func TestRelay(t *testing.T) {
	quiet := log.New(io.Discard)
	known := New("f", newTopic(), WithLogger(quiet))
	known.Merge(page(5, hollowgrade.KeyedRecord{Key: "a", Value: []byte("1"), Position: hollowgrade.Position{Offset: 4}}), time.Now().Add(-time.Second))
	address := serveFeeds(t, known)
	relay := func(fs ...*Feed) *Relay {
		r := NewRelay("self:1", func() []string { return nil }, WithRelayLogger(quiet))
		r.Add(fs...)
		return r
	}
	f := New("f", newTopic(), WithLogger(quiet))
	unknown := New("g", newTopic(), WithLogger(quiet))
	v := watch(f)
	r := relay(f, unknown)
	require.Len(t, r.staleFeeds(), 2)
	requirePoll(t, r, address)
	require.Equal(t, "map[a:1]", v.all())
	age, ok := f.Age()
	require.True(t, ok)
	require.GreaterOrEqual(t, age, time.Second, "the peer's own age counts")
	require.Len(t, r.staleFeeds(), 1)
	t.Run("a peer that is not there", func(t *testing.T) {
		requirePollFails(t, r, "127.0.0.1:1")
	})
	t.Run("a peer that has never seen the topic says nothing", func(t *testing.T) {
		f := New("f", newTopic(), WithLogger(quiet))
		empty := New("f", newTopic(), WithLogger(quiet))
		r := relay(f)
		requirePoll(t, r, serveFeeds(t, empty))
		_, ok := f.Age()
		require.False(t, ok)
		require.Equal(t, r.started, r.lastServedReply)
	})
	// Guards against a peer that lost the store serving outdated records: readers that lose the
	// store right before a change must not refresh processes that have a view.
	t.Run("a peer that has lost the store tells only those who know nothing", func(t *testing.T) {
		lost := New("f", newTopic(), WithLogger(quiet))
		lost.Merge(page(5, hollowgrade.KeyedRecord{Key: "a", Value: []byte("1"), Position: hollowgrade.Position{Offset: 4}}), time.Now())
		lost.noteReadFailed(errDown)
		a := serveFeeds(t, lost)
		f := New("f", newTopic(), WithLogger(quiet))
		f.Merge(page(2), time.Now().Add(-time.Second))
		r := relay(f)
		requirePoll(t, r, a)
		require.Equal(t, r.started, r.lastServedReply)
		require.Equal(t, int64(2), f.Next())
		n := New("f", newTopic(), WithLogger(quiet))
		requirePoll(t, relay(n), a)
		require.Equal(t, int64(5), n.Next())
	})
	t.Run("a connection is kept, and opened again after it broke", func(t *testing.T) {
		r := relay(New("f", newTopic(), WithLogger(quiet)))
		requirePoll(t, r, address)
		c := r.conns[address]
		requirePoll(t, r, address)
		require.Equal(t, c, r.conns[address])
		require.NoError(t, c.Close())
		requirePollFails(t, r, address)
		requirePoll(t, r, address)
	})
}

// Guards against a start of all processes in which each reads all newest records from the store.
func TestStartFromPeers(t *testing.T) {
	start := func(k *fakeTopic, peersFirst func() bool) (f *Feed, stop func()) {
		ctx, cancel := context.WithCancel(context.Background())
		f = New("f", k, WithLogger(log.New(io.Discard)), WithReader(func() bool { return false }), WithPeersFirst(peersFirst))
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.Run(ctx)
		}()
		return f, func() {
			cancel()
			<-done
		}
	}
	t.Run("one that peers tell reads nothing", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			k := newTopic()
			put(t, k, "a", "1")
			f, stop := start(k, func() bool { return true })
			time.Sleep(50 * time.Millisecond)
			f.Merge(page(1, hollowgrade.KeyedRecord{Key: "a", Value: []byte("1")}), time.Now())
			time.Sleep(time.Second)
			require.True(t, f.complete())
			require.Zero(t, k.scanCount())
			stop()
		})
	})
	t.Run("one that they don't reads the store", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			k := newTopic()
			put(t, k, "a", "1")
			begun := time.Now()
			f, stop := start(k, func() bool { return time.Since(begun) < peersFirstTime })
			time.Sleep(peersFirstTime - time.Millisecond)
			require.Zero(t, k.scanCount())
			time.Sleep(2 * startCheckInterval)
			require.True(t, f.complete())
			require.Equal(t, 1, k.scanCount())
			stop()
		})
	})
	t.Run("it waits while they send", func(t *testing.T) {
		clock := clockwork.NewFakeClock()
		r := NewRelay("a", func() []string { return []string{"b"} }, WithRelayClock(clock))
		clock.Advance(peersFirstTime - time.Millisecond)
		require.True(t, r.PeersFirst())
		r.ProcessesChanged()
		clock.Advance(peersFirstTime - time.Millisecond)
		require.True(t, r.PeersFirst())
		clock.Advance(time.Millisecond)
		require.False(t, r.PeersFirst())
		for clock.Since(r.started) < maxPeersFirstTime {
			r.noteProgress()
			clock.Advance(peersFirstTime / 2)
		}
		require.False(t, r.PeersFirst(), "not for ever")
	})
	t.Run("it waits for the list of processes first", func(t *testing.T) {
		clock := clockwork.NewFakeClock()
		listed := false
		r := NewRelay("a", func() []string { return []string{"b"} }, WithRelayClock(clock), WithListed(func() bool { return listed }))
		clock.Advance(maxPeersFirstTime - peersFirstTime/2)
		require.True(t, r.PeersFirst())
		listed = true
		r.ProcessesChanged()
		require.True(t, r.PeersFirst())
		clock.Advance(peersFirstTime)
		require.False(t, r.PeersFirst())
	})
}

func TestReaders(t *testing.T) {
	all := func(n int) (as []string) {
		for i := range n {
			as = append(as, fmt.Sprintf("10.0.0.%d:1", i))
		}
		return as
	}
	relay := func(self string, n int, os ...RelayOption) *Relay {
		return NewRelay(self, func() []string { return all(n) }, append(os, WithRelayLogger(log.New(io.Discard)))...)
	}
	t.Run("all agree on them", func(t *testing.T) {
		for n, want := range map[int]int{1: 1, 2: 2, 5: 4, 28: 6, 60: 7, 103: 7, 240: 7, 1600: 7} {
			rs := relay(all(n)[0], n).readers()
			require.Len(t, rs, want)
			for _, a := range all(n) {
				require.Equal(t, rs, relay(a, n).readers())
			}
		}
	})
	t.Run("they read, the others only when nobody tells them", func(t *testing.T) {
		rs := relay("10.0.0.0:1", 5).readers()
		for _, a := range all(5) {
			r := relay(a, 5)
			reader := slices.Contains(rs, a)
			require.Equal(t, reader, r.Reads(), "it has its newest records, and waits for replies of readers at first")
			r.lastServedReply = time.Now()
			require.Equal(t, reader, r.Reads())
			require.Equal(t, reader, len(r.pollTargets()) == 0)
			r.lastServedReply = time.Now().Add(-2 * servedReplyTimeout)
			require.Equal(t, reader, r.Reads(), "its peers may be starting as well")
			r.started = time.Now().Add(-time.Minute)
			require.True(t, r.Reads())
		}
	})
	t.Run("one that has just started and knows no other waits for the list", func(t *testing.T) {
		r := relay("10.0.0.0:1", 1)
		require.False(t, r.Reads())
		r.started = time.Now().Add(-2 * servedReplyTimeout)
		require.True(t, r.Reads(), "it is alone")
	})
	t.Run("one that has just started and knows a few from its settings waits as well", func(t *testing.T) {
		r := relay("10.0.0.0:1", 4, WithListed(func() bool { return false }))
		require.False(t, r.Reads(), "of so few each would be a reader")
		r.started = time.Now().Add(-2 * servedReplyTimeout)
		require.True(t, r.Reads())
	})
	t.Run("the others ask some of them at a time, and all in turn", func(t *testing.T) {
		rs := relay("10.0.0.0:1", 60).readers()
		for _, a := range all(60) {
			if slices.Contains(rs, a) {
				continue
			}
			asked := map[string]bool{}
			for range 200 {
				as := relay(a, 60, WithRelayClock(clockwork.NewFakeClock())).pollTargets() // no peer has had time to reply
				require.Len(t, as, pollFanout)
				for _, x := range as {
					asked[x] = true
				}
			}
			require.Len(t, asked, len(rs))
			require.Subset(t, rs, slices.Collect(maps.Keys(asked)))
		}
	})
	t.Run("a process that is told does not read", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			k := newTopic()
			var reads atomic.Bool
			reads.Store(true)
			f := New("f", k, WithLogger(log.New(io.Discard)), WithWait(time.Second), WithReader(reads.Load))
			v := watch(f)
			var g sync.WaitGroup
			g.Go(func() { f.Run(ctx) })
			synctest.Wait()
			reads.Store(false)
			time.Sleep(2 * time.Second)
			put(t, k, "a", "1")
			require.Equal(t, "map[]", v.all())
			reads.Store(true)
			time.Sleep(2 * followCheckInterval)
			require.Equal(t, "map[a:1]", v.all())
			age, _ := f.Age()
			require.Less(t, age, time.Second)
			cancel()
			g.Wait()
		})
	})
}
