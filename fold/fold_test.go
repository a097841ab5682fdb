package fold

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/fault"
	"github.com/hollowgrade/hollowgrade/internal/standin"
)

func record(t require.TestingT, offset int64, c Change) hollowgrade.Record {
	b, err := c.Encode()
	require.NoError(t, err)
	return hollowgrade.Record{Offset: offset, Body: b}
}

func change(t require.TestingT, name string, replaces int64, body any) Change {
	c, err := NewChange("k", name, replaces, body, fmt.Sprint(name, replaces, body), "test")
	require.NoError(t, err)
	return c
}

func requireItem(t require.TestingT, s State, name, body string) {
	i, _ := s.Item("k", name)
	require.Equal(t, body, string(i.Body))
}

func TestApply(t *testing.T) {
	one := record(t, 0, change(t, "a", 0, 1))
	s, err := New().Apply(one)
	require.NoError(t, err)

	t.Run("a record that replaces the current revision is taken", func(t *testing.T) {
		n, err := s.Apply(record(t, 1, change(t, "a", 1, 2)))
		require.NoError(t, err)
		requireItem(t, n, "a", "2")
		requireItem(t, s, "a", "1")
	})
	t.Run("a record that replaces another revision is passed over", func(t *testing.T) {
		n, err := s.Apply(record(t, 1, change(t, "a", 0, 2)))
		require.ErrorIs(t, err, ErrConflict)
		requireItem(t, n, "a", "1")
		require.Equal(t, int64(2), n.Next())
		require.Equal(t, s.Revision(), n.Revision())
	})
	t.Run("a gap in the offsets leaves the state", func(t *testing.T) {
		n, err := s.Apply(record(t, 2, change(t, "a", 1, 2)))
		require.ErrorIs(t, err, ErrOutOfOrder)
		require.Equal(t, s.Next(), n.Next())
	})
	t.Run("a body that does not match its digest is passed over", func(t *testing.T) {
		c := change(t, "a", 1, 2)
		c.Body = json.RawMessage("3")
		_, err := s.Apply(record(t, 1, c))
		require.ErrorIs(t, err, ErrDigest)
	})
	t.Run("a late second copy does not bring a removed item back", func(t *testing.T) {
		n, err := s.Apply(record(t, 1, change(t, "a", 1, nil)))
		require.NoError(t, err)
		n, err = n.Apply(hollowgrade.Record{Offset: 2, Body: one.Body})
		require.ErrorIs(t, err, ErrConflict)
		requireItem(t, n, "a", "")
	})
}

func TestBootstrap(t *testing.T) {
	s := New()
	var rs []hollowgrade.Record
	add := func(b []byte) {
		r := hollowgrade.Record{Offset: int64(len(rs)), Body: b}
		rs = append(rs, r)
		s, _ = s.Apply(r)
	}
	snapshot := func() []byte {
		n, err := s.Snapshot()
		require.NoError(t, err)
		b, err := n.Encode()
		require.NoError(t, err)
		return b
	}
	put := func(name string, replaces int64, v int) {
		b, err := change(t, name, replaces, v).Encode()
		require.NoError(t, err)
		add(b)
	}
	put("a", 0, 1)
	stale := snapshot()
	put("b", 0, 2)
	put("a", 1, 3)
	fresh := snapshot()
	add(fresh)
	put("c", 0, 4)
	add(stale) // a paused writer continues

	t.Run("from the first record", func(t *testing.T) {
		n, err := Bootstrap(0, rs)
		require.NoError(t, err)
		require.Equal(t, s.Items(""), n.Items(""))
	})
	t.Run("from a snapshot, and never from a stale one", func(t *testing.T) {
		n, err := Bootstrap(3, rs[3:])
		require.NoError(t, err)
		require.Equal(t, s.Items(""), n.Items(""))
		require.Equal(t, s.Revision(), n.Revision())
	})
	t.Run("not at all when only a stale snapshot is kept", func(t *testing.T) {
		_, err := Bootstrap(5, rs[5:])
		require.ErrorIs(t, err, ErrNoSnapshot)
	})
	t.Run("an older snapshot of a peer never wins", func(t *testing.T) {
		n, err := s.Restore(stale)
		require.NoError(t, err)
		require.Equal(t, s.Next(), n.Next())
	})
}

// naive is a simple reference implementation: the last value of each name and its revision.
type naive struct {
	body     map[string]string
	revision map[string]int64
}

func (n *naive) apply(offset int64, name string, replaces int64, body string) {
	if n.revision[name] == replaces {
		n.body[name], n.revision[name] = body, offset+1
	}
}

func TestFoldAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, n := New(), naive{map[string]string{}, map[string]int64{}}
		for i := range rapid.IntRange(1, 40).Draw(t, "records") {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			replaces := n.revision[name]
			if rapid.Bool().Draw(t, "stale") {
				replaces = rapid.Int64Range(0, int64(i)).Draw(t, "replaces")
			}
			c := change(t, name, replaces, i)
			before := s.Revision()
			s, _ = s.Apply(record(t, int64(i), c))
			n.apply(int64(i), name, replaces, fmt.Sprint(i))
			require.GreaterOrEqual(t, s.Revision(), before)
		}
		for name, body := range n.body {
			requireItem(t, s, name, body)
		}
		// A snapshot preserves all of it.
		p, err := s.Snapshot()
		require.NoError(t, err)
		b, err := p.Encode()
		require.NoError(t, err)
		r, err := New().Restore(b)
		require.NoError(t, err)
		require.Equal(t, s.Items(""), r.Items(""))
		require.Equal(t, s.Next(), r.Next())
	})
}

func requireFault(t *testing.T, c fault.Code, err error) {
	t.Helper()
	var f *fault.Error
	require.True(t, errors.As(err, &f), "%v", err)
	require.Equal(t, c, f.Code)
}

func TestPublish(t *testing.T) {
	ctx := context.Background()
	newLog := func() *standin.Log { return standin.NewLog(0, hollowgrade.SystemClock()) }

	t.Run("an append whose answer was lost is found by reading back", func(t *testing.T) {
		l := newLog()
		l.LoseAnswers(1)
		r, err := Publish(ctx, l, New(), change(t, "a", 0, 1))
		require.NoError(t, err)
		require.Equal(t, int64(1), r)
		p, err := l.Read(ctx, 0, 10)
		require.NoError(t, err)
		require.Len(t, p.Records, 1)
	})
	t.Run("the loser of a race is told", func(t *testing.T) {
		l := newLog()
		_, err := Publish(ctx, l, New(), change(t, "a", 0, 1))
		require.NoError(t, err)
		_, err = Publish(ctx, l, New(), change(t, "a", 0, 2))
		requireFault(t, fault.LostRace, err)
	})
	t.Run("an outage that outlasts patience leaves it unknown", func(t *testing.T) {
		l := newLog()
		l.SetOutage(true)
		c, cancel := context.WithCancel(ctx)
		cancel()
		_, err := Publish(c, l, New(), change(t, "a", 0, 1))
		requireFault(t, fault.PublishUnknown, err)
	})
}

func TestFollowerBeyondRetention(t *testing.T) {
	ctx := context.Background()
	l := standin.NewLog(0, hollowgrade.SystemClock())
	f := NewFollower(l, WithRenewal(time.Nanosecond, func() bool { return true }))
	_, err := Publish(ctx, l, New(), change(t, "a", 0, 1))
	require.NoError(t, err)
	require.NoError(t, f.Update(ctx))
	f.renew(ctx)
	l.Trim(1)

	t.Run("a new box begins from the snapshot", func(t *testing.T) {
		s, err := Load(ctx, l)
		require.NoError(t, err)
		requireItem(t, s, "a", "1")
	})
}

func FuzzRecord(f *testing.F) {
	b, err := change(f, "a", 0, 1).Encode()
	require.NoError(f, err)
	f.Add(b)
	f.Add([]byte(`{"type":"snapshot","snapshot":{"next":1}}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := New().Apply(hollowgrade.Record{Body: b})
		require.Equal(t, int64(1), s.Next())
		if err != nil {
			require.Zero(t, s.Revision())
		}
	})
}

// narrowLog is a log behind a link that takes some time for each record.
type narrowLog struct {
	hollowgrade.Log
	perRecord time.Duration
}

func (l narrowLog) Read(ctx context.Context, from int64, limit int) (p hollowgrade.Page, err error) {
	p, err = l.Log.Read(ctx, from, limit)
	select {
	case <-time.After(time.Duration(len(p.Records)) * l.perRecord):
		return p, err
	case <-ctx.Done():
		return hollowgrade.Page{}, ctx.Err()
	}
}

// Guards against a page of large records that times out on a narrow link with each poll: pages are
// limited in records, reads in time.
func TestFollowerOnANarrowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const records = 60
		l := standin.NewLog(0, hollowgrade.SystemClock())
		for i := range records {
			b, err := change(t, fmt.Sprint("item-", i), 0, i).Encode()
			require.NoError(t, err)
			_, err = l.Append(context.Background(), b)
			require.NoError(t, err)
		}
		f := NewFollower(narrowLog{l, 200 * time.Millisecond}, WithLogger(log.New(io.Discard)))
		polls := 0
		for ; f.Update(context.Background()) != nil; polls++ {
			require.Less(t, polls, 10)
		}
		require.Equal(t, int64(records), f.State().Next())
	})
}
