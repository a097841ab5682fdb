package feed

import (
	"context"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
)

func TestEras(t *testing.T) {
	at := func(era, offset int64) hollowgrade.Position {
		return hollowgrade.Position{Era: era, Offset: offset}
	}
	t.Run("records before the start of the first era are older ones", func(t *testing.T) {
		var e eras
		e.begin(3)
		require.Equal(t, at(3, 9), e.written(9))
		_, known := e.start()
		require.False(t, known)
		e.learnStart(10, 2)
		require.Equal(t, at(2, 9), e.written(9))
		require.Equal(t, at(3, 10), e.written(10))
	})
	t.Run("records beyond the copy are lost", func(t *testing.T) {
		var e eras
		e.begin(1)
		e.enter(2, 12, 100, true)
		require.False(t, e.lost(at(1, 11)))
		require.True(t, e.lost(at(1, 12)))
		require.False(t, e.lost(at(2, 12)))
	})
	t.Run("a second copy may be older than the first", func(t *testing.T) {
		var e eras
		e.begin(1)
		e.enter(2, 12, 100, true)
		e.enter(3, 9, 100, true)
		require.Equal(t, at(1, 8), e.written(8))
		require.Equal(t, at(3, 12), e.written(12))
		require.True(t, e.lost(at(2, 13)))
	})
	t.Run("who knows an earlier era reads anew from where any later one differs", func(t *testing.T) {
		var e eras
		e.begin(1)
		e.enter(2, 12, 100, true)
		e.enter(3, 14, 100, true)
		requireDivergence(t, &e, 1, 12)
		requireDivergence(t, &e, 2, 14)
	})
	t.Run("of an era before the first, or one that was missed, nothing is known", func(t *testing.T) {
		var e eras
		e.begin(2)
		e.enter(4, 8, 100, true)
		for _, era := range []int64{1, 3} {
			_, known := e.divergence(era, 8)
			require.False(t, known, "era %d", era)
		}
		requireDivergence(t, &e, 2, 8)
	})
	t.Run("many returns are bounded", func(t *testing.T) {
		var e eras
		e.begin(1)
		for i := range int64(100) {
			e.enter(2+i, 10+i, 200, true)
		}
		require.Len(t, e.starts, maxEraStarts)
		_, known := e.divergence(5, 8)
		require.False(t, known)
		requireDivergence(t, &e, 100, 109)
	})
}

// requireDivergence checks from which offset on who knows an era has to read anew.
func requireDivergence(t *testing.T, e *eras, era, offset int64) {
	t.Helper()
	o, known := e.divergence(era, 100)
	require.True(t, known)
	require.Equal(t, offset, o)
}

// goBack makes the topic one of a store that came back from a copy which ends at an offset.
func (t *fakeTopic) goBack(end int64) {
	t.set(func() {
		t.records = t.records[:end]
		t.first = min(t.first, end)
		t.era++
	})
}

// eraFeed returns a feed that has read records with the given values of the key "a" in era 1.
func eraFeed(t *testing.T, values ...string) (*fakeTopic, *Feed, *view) {
	t.Helper()
	k := newTopic()
	k.era = 1
	f := New("f", k, WithLogger(log.New(io.Discard)), WithWait(0))
	v := watch(f)
	requireRead(t, f)
	for _, s := range values {
		require.NoError(t, k.Put(context.Background(), "a", []byte(s)))
	}
	requireRead(t, f)
	return k, f, v
}

// requireRead makes a feed read until it is complete.
func requireRead(t *testing.T, f *Feed) {
	t.Helper()
	begin := time.Now()
	for range 10 {
		_, err := f.readOnce(context.Background(), time.Now(), true)
		if err != nil {
			require.ErrorIs(t, err, hollowgrade.ErrTrimmed)
		}
		if err == nil && f.Fresh().After(begin) {
			return
		}
	}
	require.Fail(t, "the view is not complete after ten reads")
}

// Guards against a lost large value that is requested over and over, since what comes is not merged.
func TestLostLargeValuesAreFetchedOnce(t *testing.T) {
	value := large(1, 200_000)
	k, f, _ := eraFeed(t, "1", string(value))
	k.goBack(1)
	requireRead(t, f)
	n := New("f", k, WithLogger(log.New(io.Discard)), WithWait(0))
	requireRead(t, n)
	r, l := relayOf(t, n)
	address := serveFeeds(t, f)
	for range 3 {
		r.poll(context.Background(), address)
		r.exchanges.Wait()
	}
	v, _ := n.value("a")
	require.Equal(t, len(value), len(v.Value))
	require.Equal(t, 1, strings.Count(l.String(), "value received"))
}

// Guards against an update of gateways one after another in which those of the new version take nothing
// from those of the one before, or too much.
func TestPeersThatDoNotKnowOfEras(t *testing.T) {
	value := large(1, 200_000)
	k, f, v := eraFeed(t, "1", "2")
	t.Run("one that knows less makes a view no fresher", func(t *testing.T) {
		fresh := f.Fresh()
		p := page(1)
		p.From = "peer:1"
		f.Merge(p, time.Now().Add(time.Hour))
		require.Equal(t, fresh, f.Fresh())
	})
	t.Run("one that knows more tells its records, also large ones", func(t *testing.T) {
		r, _ := relayOf(t, f)
		requireFetched(t, r, f, serveFeeds(t, feedWith(7, value)), value)
		require.Equal(t, int64(8), f.Next())
	})
	t.Run("none is believed after a return of the store", func(t *testing.T) {
		k.goBack(1)
		requireRead(t, f)
		p := page(9, hollowgrade.KeyedRecord{Key: "a", Value: []byte("9"), Position: hollowgrade.Position{Offset: 8}})
		p.From = "peer:1"
		f.Merge(p, time.Now().Add(time.Hour))
		require.NotEqual(t, "map[a:9]", v.all())
	})
}

func TestFeedOfAStoreThatWentBack(t *testing.T) {
	ctx := context.Background()
	t.Run("what is written under a lower offset is read", func(t *testing.T) {
		k, f, v := eraFeed(t, "1", "2", "3")
		k.goBack(1)
		requireRead(t, f)
		require.Equal(t, "map[a:3]", v.all(), "the copy is older")
		require.NoError(t, k.Put(ctx, "a", []byte("4")))
		requireRead(t, f)
		require.Equal(t, "map[a:4]", v.all())
	})
	t.Run("what was written before the first read is told from the copy", func(t *testing.T) {
		k, f, v := eraFeed(t, "1", "2", "3", "4", "5")
		k.goBack(2)
		require.NoError(t, k.Put(ctx, "a", []byte("6")))
		requireRead(t, f)
		require.Equal(t, "map[a:6]", v.all())
		require.Equal(t, int64(3), f.Next())
	})
	t.Run("as many records as were lost are written before the first read", func(t *testing.T) {
		k, f, v := eraFeed(t, "1", "2", "3")
		k.goBack(1)
		for _, s := range []string{"4", "5", "6", "7"} {
			require.NoError(t, k.Put(ctx, "b"+s, []byte(s)))
		}
		requireRead(t, f)
		require.Equal(t, "map[a:3 b4:4 b5:5 b6:6 b7:7]", v.all())
	})
	t.Run("a key that was dropped stays so until it is written again", func(t *testing.T) {
		k, f, v := eraFeed(t, "1", "")
		k.goBack(1)
		requireRead(t, f)
		require.Equal(t, "map[]", v.all())
		require.NoError(t, k.Put(ctx, "a", []byte("1")))
		requireRead(t, f)
		require.Equal(t, "map[a:1]", v.all())
	})
	t.Run("a store that lost nothing of the topic", func(t *testing.T) {
		k, f, v := eraFeed(t, "1", "2")
		k.goBack(2)
		requireRead(t, f)
		require.Equal(t, "map[a:2]", v.all())
		require.Equal(t, int64(2), f.Next())
		require.Equal(t, int64(2), f.Era())
	})
	t.Run("its history is gone besides", func(t *testing.T) {
		k, f, v := eraFeed(t, "1", "2", "3")
		k.goBack(1)
		require.NoError(t, k.Put(ctx, "a", []byte("4")))
		k.set(func() { k.first = 2 })
		requireRead(t, f)
		require.Equal(t, "map[a:4]", v.all())
	})
	t.Run("twice before the first read", func(t *testing.T) {
		k, f, v := eraFeed(t, "1", "2", "3")
		k.goBack(2)
		require.NoError(t, k.Put(ctx, "a", []byte("4")))
		k.goBack(1)
		require.NoError(t, k.Put(ctx, "a", []byte("5")))
		requireRead(t, f)
		require.Equal(t, "map[a:5]", v.all())
	})
	t.Run("an answer of an earlier era changes nothing", func(t *testing.T) {
		k, f, v := eraFeed(t, "1", "2")
		k.goBack(1)
		requireRead(t, f)
		k.set(func() { k.era = 1 })
		require.NoError(t, k.Put(ctx, "a", []byte("9")))
		_, err := f.readOnce(ctx, time.Now(), true)
		require.ErrorIs(t, err, errEarlierEra)
		require.Equal(t, "map[a:2]", v.all())
	})
	t.Run("a value of a lower version does not replace the known one", func(t *testing.T) {
		k, f, v := eraFeed(t, "1", "2", "3")
		f.version = func(b []byte) int64 { return int64(b[0]) }
		k.goBack(1)
		for _, s := range []string{"2", "3", "4"} {
			require.NoError(t, k.Put(ctx, "a", []byte(s)))
			requireRead(t, f)
			require.Equal(t, "map[a:"+max(s, "3")+"]", v.all())
		}
	})
}

// Guards against a change that is not in force for five seconds after a return of the store: a reader that had
// got the latest records from a peer, without those between, took what it did not know for part of the copy.
func TestReaderThatDoesNotKnowTheLogAsksWhoDoes(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var reads atomic.Bool
	k, f, _ := eraFeed(t, "1")
	address := serveFeeds(t, f)
	gap := New("f", k, WithLogger(log.New(io.Discard)), WithReader(reads.Load))
	v := watch(gap)
	requireRead(t, gap)
	r := NewRelay("self:1", func() []string { return []string{address} }, WithRelayLogger(log.New(io.Discard)))
	r.Add(gap)
	var g sync.WaitGroup
	defer g.Wait()
	defer cancel()
	g.Go(func() { gap.Run(ctx) })
	g.Go(func() { r.Run(ctx) })
	for _, s := range []string{"2", "3", "4"} {
		require.NoError(t, k.Put(ctx, "a", []byte(s)))
	}
	requireRead(t, f)
	requireKnown := func(all string) {
		t.Helper()
		require.Eventually(t, func() bool { return v.all() == all }, 2*time.Second, time.Millisecond, all)
	}
	requireKnown("map[a:4]")
	reads.Store(true)
	require.Eventually(t, func() bool { return r.isServed() && len(r.pollTargets()) == 0 }, 5*time.Second, time.Millisecond)
	k.set(func() {
		k.records = append(k.records[:1:1], hollowgrade.KeyedRecord{Key: "a", Value: []byte("5"), Position: hollowgrade.Position{Offset: 1}})
		k.era++
	})
	requireRead(t, f)
	requireKnown("map[a:5]")
}
