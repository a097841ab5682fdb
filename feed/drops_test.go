package feed

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
)

// topicOfEra returns a topic of a store in an era, 0 if it tells none.
func topicOfEra(era int64) *fakeTopic {
	k := newTopic()
	k.era = era
	return k
}

// putNow writes a record; the feeds of the test read when it says so.
func putNow(t *testing.T, k *fakeTopic, key, value string) {
	t.Helper()
	require.NoError(t, k.Put(context.Background(), key, []byte(value)))
}

// feedOf returns a feed that has read a topic, and what its watchers know.
func feedOf(t *testing.T, k *fakeTopic) (*Feed, *view) {
	t.Helper()
	f := New("f", k, WithLogger(log.New(io.Discard)), WithWait(0))
	v := watch(f)
	requireRead(t, f)
	return f, v
}

// requirePolled lets a feed poll a peer, with all that follows from that, and checks what it knows then.
func requirePolled(t *testing.T, f *Feed, v *view, address, want string) {
	t.Helper()
	r, _ := relayOf(t, f)
	r.poll(context.Background(), address)
	r.exchanges.Wait()
	require.Equal(t, want, v.all())
}

// Guards against an upstream that is kept for good: a gateway that was cut off took a peer that had started
// after the drop for one that tells all.
func TestKeysThatWereDroppedBeforeAPeerStarted(t *testing.T) {
	ctx := context.Background()
	for _, era := range []int64{0, 1} {
		t.Run(fmt.Sprintf("era=%d", era), func(t *testing.T) {
			t.Run("are gone once it answers", func(t *testing.T) {
				k := topicOfEra(era)
				putNow(t, k, "a", "1")
				putNow(t, k, "b", "1")
				f, v := feedOf(t, k)
				putNow(t, k, "a", "")
				putNow(t, k, "c", "1")
				p, _ := feedOf(t, k)
				putNow(t, k, "d", "1")
				requireRead(t, p)
				requirePolled(t, f, v, serveFeeds(t, p), "map[b:1 c:1 d:1]")
				require.Equal(t, int64(5), f.Next())
			})
			t.Run("also where the keys take several answers", func(t *testing.T) {
				k := topicOfEra(era)
				long := strings.Repeat("x", 200)
				for i := range 500 {
					putNow(t, k, fmt.Sprint(long, i), "1")
				}
				f, v := feedOf(t, k)
				for i := range 500 {
					if i%100 != 50 {
						putNow(t, k, fmt.Sprint(long, i), "")
					}
				}
				putNow(t, k, "new", "1")
				p, w := feedOf(t, k)
				requirePolled(t, f, v, serveFeeds(t, p), w.all())
				require.Equal(t, p.Next(), f.Next())
			})
			t.Run("also through a peer that started from it", func(t *testing.T) {
				k := topicOfEra(era)
				putNow(t, k, "a", "1")
				putNow(t, k, "b", "1")
				f, v := feedOf(t, k)
				putNow(t, k, "a", "")
				first, _ := feedOf(t, k)
				second := New("f", newTopic(), WithLogger(log.New(io.Discard)))
				requirePolled(t, second, watch(second), serveFeeds(t, first), "map[b:1]")
				requirePolled(t, f, v, serveFeeds(t, second), "map[b:1]")
			})
			t.Run("also where a view is being told page by page", func(t *testing.T) {
				k := topicOfEra(era)
				putNow(t, k, "a", "1")
				value := strings.Repeat("x", largeValueBytes)
				for i := range 4 {
					putNow(t, k, fmt.Sprint("b", i), value)
				}
				old, _ := feedOf(t, k)
				f := New("f", newTopic(), WithLogger(log.New(io.Discard)))
				v := watch(f)
				r, _ := relayOf(t, f)
				_ = r.pollOnce(ctx, serveFeeds(t, old))
				require.Less(t, f.Next(), old.Next())
				require.Contains(t, v.all(), "a:1")
				putNow(t, k, "a", "")
				p, w := feedOf(t, k)
				requirePolled(t, f, v, serveFeeds(t, p), w.all())
			})
			t.Run("cost no listing where the keys are the same", func(t *testing.T) {
				k := topicOfEra(era)
				putNow(t, k, "a", "1")
				f, v := feedOf(t, k)
				putNow(t, k, "a", "2")
				p, _ := feedOf(t, k)
				r, _ := relayOf(t, f)
				require.Nil(t, r.pollOnce(ctx, serveFeeds(t, p)))
				require.Equal(t, "map[a:2]", v.all())
				require.Equal(t, p.Next(), f.Next())
			})
		})
	}
}

// Guards against a value that is kept for good since it could not be fetched: its key was dropped meanwhile.
func TestLargeValueThatWasDroppedMeanwhile(t *testing.T) {
	k := topicOfEra(0)
	putNow(t, k, "k", "1")
	f, v := feedOf(t, k)
	putNow(t, k, "k", string(large(1, 200_000)))
	p, _ := feedOf(t, k)
	announced := announcement{key: "k", at: hollowgrade.Position{Offset: 1}, size: 200_000}
	require.True(t, f.noteAnnounced(announced, "peer:1"))
	putNow(t, k, "k", "")
	requireRead(t, p)
	r, _ := relayOf(t, f)
	address := serveFeeds(t, p)
	r.fetchValue(context.Background(), f, announced, address)
	r.exchanges.Wait()
	require.Equal(t, "map[k:1]", v.all())
	requirePolled(t, f, v, address, "map[]")
}
