package feed

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/internal/wire"
	"github.com/hollowgrade/hollowgrade/peer"
)

var errDown = errors.New("down")

// fakeTopic implements [hollowgrade.Topic] in memory.
type fakeTopic struct {
	mu      sync.Mutex
	records []hollowgrade.KeyedRecord
	first   int64 // offset of the first one kept
	down    bool
	changed chan struct{}
}

func newTopic() *fakeTopic {
	return &fakeTopic{changed: make(chan struct{})}
}

func (t *fakeTopic) Put(_ context.Context, key string, value []byte) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records = append(t.records, hollowgrade.KeyedRecord{Key: key, Value: value, Offset: int64(len(t.records))})
	close(t.changed)
	t.changed = make(chan struct{})
	return nil
}

func (t *fakeTopic) set(change func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change()
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *fakeTopic) Newest(context.Context) (p hollowgrade.KeyedPage, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return p, errDown
	}
	newest := map[string]hollowgrade.KeyedRecord{}
	for _, r := range t.records {
		newest[r.Key] = r
	}
	for _, r := range newest {
		if !r.Dropped() {
			p.Records = append(p.Records, r)
		}
	}
	p.Next = int64(len(t.records))
	p.End = p.Next
	return p, nil
}

func (t *fakeTopic) Wait(ctx context.Context, from int64, d time.Duration) (p hollowgrade.KeyedPage, err error) {
	until := time.After(d)
	for {
		t.mu.Lock()
		down, first, end, changed := t.down, t.first, int64(len(t.records)), t.changed
		if !down && from >= first && from < end {
			p.Records = append(p.Records, t.records[from:]...)
		}
		t.mu.Unlock()
		p.Next, p.End = max(end, from), end
		switch {
		case down:
			return p, errDown
		case from < first:
			return p, hollowgrade.ErrTrimmed
		case len(p.Records) > 0:
			return p, nil
		}
		select {
		case <-changed:
		case <-until:
			return p, nil
		case <-ctx.Done():
			return p, ctx.Err()
		}
	}
}

// view notes what a watcher is told.
type view struct {
	mu       sync.Mutex
	values   map[string]string
	regained int
}

func watch(f *Feed) *view {
	v := &view{values: map[string]string{}}
	f.Watch(func(cs []Change) {
		v.mu.Lock()
		defer v.mu.Unlock()
		for _, c := range cs {
			if c.Dropped() {
				delete(v.values, c.Key)
			} else {
				v.values[c.Key] = string(c.Value)
			}
			if c.Regained {
				v.regained++
			}
		}
	})
	return v
}

func (v *view) all() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return fmt.Sprint(v.values)
}

// bubble runs a feed of a topic in virtual time.
func bubble(t *testing.T, test func(t *testing.T, k *fakeTopic, f *Feed, v *view)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		k := newTopic()
		f := New("f", k, WithLogger(log.New(io.Discard)), WithWait(time.Second))
		v := watch(f)
		var g sync.WaitGroup
		g.Go(func() { f.Run(ctx) })
		synctest.Wait()
		test(t, k, f, v)
		cancel()
		g.Wait()
	})
}

func put(t *testing.T, k *fakeTopic, key, value string) {
	t.Helper()
	require.NoError(t, k.Put(context.Background(), key, []byte(value)))
	synctest.Wait()
}

func TestFeed(t *testing.T) {
	t.Run("changes arrive at once", func(t *testing.T) {
		bubble(t, func(t *testing.T, k *fakeTopic, _ *Feed, v *view) {
			put(t, k, "a", "1")
			put(t, k, "b", "1")
			put(t, k, "a", "2")
			require.Equal(t, "map[a:2 b:1]", v.all())
			put(t, k, "b", "")
			require.Equal(t, "map[a:2]", v.all())
			require.Zero(t, v.regained)
		})
	})
	t.Run("freshness is counted from when the read was sent", func(t *testing.T) {
		bubble(t, func(t *testing.T, _ *fakeTopic, f *Feed, _ *view) {
			time.Sleep(time.Second + 400*time.Millisecond) // the read that is under way was sent 400 ms ago
			age, ok := f.Age()
			require.True(t, ok)
			require.Equal(t, time.Second+400*time.Millisecond, age)
		})
	})
	t.Run("it ages while the store is down and comes back", func(t *testing.T) {
		bubble(t, func(t *testing.T, k *fakeTopic, f *Feed, v *view) {
			put(t, k, "a", "1")
			k.set(func() { k.down = true })
			time.Sleep(10 * time.Second)
			age, _ := f.Age()
			require.GreaterOrEqual(t, age, 10*time.Second)
			require.Equal(t, "map[a:1]", v.all())
			put(t, k, "a", "")
			k.set(func() { k.down = false })
			time.Sleep(2 * lastPause)
			age, _ = f.Age()
			require.LessOrEqual(t, age, 2*time.Second)
			require.Equal(t, "map[]", v.all())
			require.Equal(t, 1, v.regained, "a drop that went on unseen is told as such")
		})
	})
	t.Run("once the store is back it is fresh without waiting for a change", func(t *testing.T) {
		bubble(t, func(t *testing.T, k *fakeTopic, f *Feed, _ *view) {
			k.set(func() { k.down = true })
			time.Sleep(10 * time.Second)
			k.set(func() { k.down = false })
			time.Sleep(lastPause * 3 / 2)
			age, _ := f.Age()
			require.LessOrEqual(t, age, lastPause*3/2)
		})
	})
	t.Run("what was dropped in forgotten history is found", func(t *testing.T) {
		bubble(t, func(t *testing.T, k *fakeTopic, _ *Feed, v *view) {
			put(t, k, "a", "1")
			put(t, k, "b", "1")
			k.set(func() { k.down = true })
			time.Sleep(time.Second)
			put(t, k, "a", "")
			put(t, k, "c", "1")
			k.set(func() { k.down, k.first = false, int64(len(k.records)) })
			time.Sleep(2 * lastPause)
			require.Equal(t, "map[b:1 c:1]", v.all())
			put(t, k, "d", "1")
			require.Equal(t, "map[b:1 c:1 d:1]", v.all())
		})
	})
	t.Run("a late watcher is told what stands", func(t *testing.T) {
		bubble(t, func(t *testing.T, k *fakeTopic, f *Feed, _ *view) {
			put(t, k, "a", "1")
			require.Equal(t, "map[a:1]", watch(f).all())
		})
	})
}

func page(next int64, rs ...hollowgrade.KeyedRecord) hollowgrade.KeyedPage {
	return hollowgrade.KeyedPage{Records: rs, Next: next, End: next}
}

func TestMerge(t *testing.T) {
	now := time.Now()
	f := New("f", newTopic(), WithLogger(log.New(io.Discard)))
	v := watch(f)
	f.Merge(page(5, hollowgrade.KeyedRecord{Key: "a", Value: []byte("1"), Offset: 4}), now.Add(-3*time.Second))
	require.Equal(t, "map[a:1]", v.all())
	require.Equal(t, now.Add(-3*time.Second), f.Fresh())
	t.Run("an older record changes nothing", func(t *testing.T) {
		f.Merge(page(6, hollowgrade.KeyedRecord{Key: "a", Value: []byte("0"), Offset: 3}), now.Add(-2*time.Second))
		require.Equal(t, "map[a:1]", v.all())
	})
	t.Run("an older view does not make it older", func(t *testing.T) {
		f.Merge(page(6), now.Add(-time.Minute))
		require.Equal(t, now.Add(-2*time.Second), f.Fresh())
	})
	t.Run("a peer that knows less makes it no fresher", func(t *testing.T) {
		f.Merge(page(4), now)
		require.Equal(t, now.Add(-2*time.Second), f.Fresh())
	})
	t.Run("a page that does not reach the end makes it no fresher", func(t *testing.T) {
		f.take(hollowgrade.KeyedPage{Next: 7, End: 9}, now)
		require.Equal(t, now.Add(-2*time.Second), f.Fresh())
	})
}

// served is a feed that a peer serves over loopback.
func served(t *testing.T, fs ...*Feed) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h := func(_ context.Context, s *peer.Stream, first *wire.Frame) error {
		return Serve(s, first.GetFeedRequest(), fs)
	}
	s := peer.NewServer(h, func(net.Addr, error) {})
	ctx, cancel := context.WithCancel(context.Background())
	var g sync.WaitGroup
	g.Go(func() { _ = s.Serve(ctx, l) })
	t.Cleanup(func() {
		cancel()
		_ = l.Close()
		s.Close()
		g.Wait()
	})
	return l.Addr().String()
}

func TestRelay(t *testing.T) {
	quiet := log.New(io.Discard)
	known := New("f", newTopic(), WithLogger(quiet))
	known.Merge(page(5, hollowgrade.KeyedRecord{Key: "a", Value: []byte("1"), Offset: 4}), time.Now().Add(-time.Second))
	address := served(t, known)
	f := New("f", newTopic(), WithLogger(quiet))
	unknown := New("g", newTopic(), WithLogger(quiet))
	v := watch(f)
	r := NewRelay(func() []string { return nil }, []*Feed{f, unknown}, WithRelayLogger(quiet))
	require.Len(t, r.behind(), 2)
	require.NoError(t, r.exchange(context.Background(), address, r.behind()))
	require.Equal(t, "map[a:1]", v.all())
	age, ok := f.Age()
	require.True(t, ok)
	require.GreaterOrEqual(t, age, time.Second, "the peer's own age counts")
	require.Len(t, r.behind(), 1)
	t.Run("a peer that is not there", func(t *testing.T) {
		require.Error(t, r.exchange(context.Background(), "127.0.0.1:1", r.behind()))
	})
	t.Run("a peer that has never seen the topic says nothing", func(t *testing.T) {
		f := New("f", newTopic(), WithLogger(quiet))
		empty := New("f", newTopic(), WithLogger(quiet))
		require.NoError(t, r.exchange(context.Background(), served(t, empty), []*Feed{f}))
		_, ok := f.Age()
		require.False(t, ok)
	})
}
