package sched

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hollowgrade/hollowgrade"
)

var t0 = time.Date(2026, 12, 5, 19, 0, 0, 0, time.UTC)

func always(*Item) bool { return true }

func item(org string, c hollowgrade.Class, cost int, latest time.Duration) *Item {
	return &Item{ID: fmt.Sprint(org, latest), Organisation: org, Class: c, Cost: cost, LatestStart: t0.Add(latest), Due: t0.Add(time.Hour)}
}

func requireOrder(t *testing.T, q Queue, want ...*Item) {
	t.Helper()
	for n, w := range want {
		require.Same(t, w, q.Pop(t0, always), "place %d", n)
	}
}

func TestFair(t *testing.T) {
	t.Run("classes go first", func(t *testing.T) {
		q := NewFair()
		slow, fast := item("a", hollowgrade.Background, 1, 0), item("a", hollowgrade.Instant, 1, time.Hour)
		q.Push(slow)
		q.Push(fast)
		requireOrder(t, q, fast, slow)
	})
	t.Run("least slack goes first within an organisation", func(t *testing.T) {
		q := NewFair()
		late, soon := item("a", 0, 1, time.Minute), item("a", 0, 1, time.Second)
		q.Push(late)
		q.Push(soon)
		requireOrder(t, q, soon, late)
	})
	t.Run("a flood of one organisation does not hold up another", func(t *testing.T) {
		q := NewFair()
		for i := range 100 {
			q.Push(item("flood", 0, 1000, time.Duration(i)))
		}
		q.Pop(t0, always)
		small := item("small", 0, 10, time.Hour)
		q.Push(small)
		requireOrder(t, q, small)
	})
	t.Run("an overdue item starts within two starts of its turn", func(t *testing.T) {
		q := NewFair()
		old := item("a", hollowgrade.Background, 1, 0)
		old.Due = t0
		q.Push(old)
		for i := range 10 {
			q.Push(item("b", hollowgrade.Instant, 1, time.Duration(i)))
		}
		first, second := q.Pop(t0, always), q.Pop(t0, always)
		require.Contains(t, []*Item{first, second}, old)
	})
	t.Run("an overdue item that does not fit holds up all but the instant class", func(t *testing.T) {
		q := NewFair()
		big := item("a", hollowgrade.Background, 1, 0)
		big.Due = t0
		normal, instant := item("b", hollowgrade.Normal, 1, 0), item("c", hollowgrade.Instant, 1, 0)
		q.Push(big)
		q.Push(normal)
		q.Push(instant)
		fits := func(i *Item) bool { return i != big }
		require.Same(t, instant, q.Pop(t0, fits))
		require.Nil(t, q.Pop(t0, fits))
		requireOrder(t, q, big, normal)
	})
}

// naiveFair finds the next item by a linear search: lowest class, then the organisation with the
// lowest start tag, then priority and slack.
type naiveFair struct {
	items []*Item
	tags  [hollowgrade.Classes]map[string]float64
	seen  [hollowgrade.Classes]map[string]int
	now   [hollowgrade.Classes]float64
	count int
}

func newNaiveFair() *naiveFair {
	n := &naiveFair{}
	for c := range n.tags {
		n.tags[c], n.seen[c] = map[string]float64{}, map[string]int{}
	}
	return n
}

func (n *naiveFair) push(i *Item) {
	n.count++
	if !slices.ContainsFunc(n.items, func(o *Item) bool { return o.Class == i.Class && o.Organisation == i.Organisation }) {
		n.tags[i.Class][i.Organisation] = max(n.tags[i.Class][i.Organisation], n.now[i.Class])
		n.seen[i.Class][i.Organisation] = n.count
	}
	n.items = append(n.items, i)
}

func (n *naiveFair) before(a, b *Item) bool {
	if a.Class != b.Class {
		return a.Class < b.Class
	}
	ta, tb := n.tags[a.Class][a.Organisation], n.tags[b.Class][b.Organisation]
	switch {
	case ta != tb:
		return ta < tb
	case a.Organisation != b.Organisation:
		return n.seen[a.Class][a.Organisation] < n.seen[b.Class][b.Organisation]
	default:
		return lessSlack(a, b)
	}
}

func (n *naiveFair) pop() *Item {
	if len(n.items) == 0 {
		return nil
	}
	i := slices.MinFunc(n.items, func(a, b *Item) int {
		if n.before(a, b) {
			return -1
		}
		return 1
	})
	n.items = slices.DeleteFunc(n.items, func(o *Item) bool { return o == i })
	n.now[i.Class] = max(n.now[i.Class], n.tags[i.Class][i.Organisation])
	n.tags[i.Class][i.Organisation] += float64(max(i.Cost, 1))
	return i
}

func TestFairAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, n := NewFair(), newNaiveFair()
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "push") {
				x := item(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "org"),
					hollowgrade.Class(rapid.IntRange(0, 2).Draw(t, "class")),
					rapid.IntRange(1, 50).Draw(t, "cost"), time.Duration(rapid.IntRange(0, 5).Draw(t, "slack")))
				x.ID, x.Priority = fmt.Sprint(i), rapid.IntRange(0, 2).Draw(t, "priority")
				q.Push(x)
				n.push(x)
				continue
			}
			require.Same(t, n.pop(), q.Pop(t0, always))
			require.Equal(t, len(n.items), q.Len())
		}
	})
}

func TestQuickestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ls []*Load
		for range rapid.IntRange(0, 20).Draw(t, "upstreams") {
			ls = append(ls, &Load{
				QueuedTokens: [hollowgrade.Classes]int{rapid.IntRange(0, 9000).Draw(t, "instant"), rapid.IntRange(0, 9000).Draw(t, "normal")},
				SentTokens:   rapid.IntRange(0, 9000).Draw(t, "sent"),
				PrefillRate:  float64(rapid.IntRange(0, 3).Draw(t, "rate")) * 20_000,
				CachedTokens: rapid.IntRange(0, 4000).Draw(t, "cached"),
				Draining:     rapid.Bool().Draw(t, "draining"),
				Suspect:      rapid.Bool().Draw(t, "suspect"),
			})
		}
		w := Work{Class: hollowgrade.Class(rapid.IntRange(0, 2).Draw(t, "class")), PromptTokens: 4000, MaxTokens: 10}
		got := NewQuickest().Pick(w, ls)
		for i, l := range ls {
			if l.Draining {
				require.NotEqual(t, i, got)
				continue
			}
			require.GreaterOrEqual(t, got, 0)
			b := ls[got]
			if b.Suspect == l.Suspect {
				require.LessOrEqual(t, Predict(b, w).First, Predict(l, w).First)
			} else {
				require.False(t, b.Suspect)
			}
		}
	})
}

func TestPrefixes(t *testing.T) {
	prompt := make([]byte, 3*PrefixBlockBytes+100)
	hs := PrefixHashes(prompt)
	require.Len(t, hs, 3)
	p := NewPrefixes(100)
	p.Add(hs[:2], "a")
	p.Add(hs[:1], "b")
	require.Equal(t, []Holder{{"a", 2 * PrefixBlockBytes}, {"b", PrefixBlockBytes}}, p.Holders(hs))
	p.Forget("a")
	require.Equal(t, []Holder{{"b", PrefixBlockBytes}}, p.Holders(hs))
}

func TestRankMovesOnlyWhatWasTheLeavers(t *testing.T) {
	members := []string{"a", "b", "c", "d"}
	for i := range 100 {
		s := fmt.Sprint(i)
		first := HighestRanked(s, members)
		if first != "d" {
			require.Equal(t, first, HighestRanked(s, members[:3]))
		}
	}
}

func BenchmarkPlacement(b *testing.B) {
	for _, n := range []int{18, 60, 180, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			ls := make([]*Load, n)
			for i := range ls {
				ls[i] = &Load{SentTokens: i * 7919 % 5000, PrefillRate: 40_000, Step: 25 * time.Millisecond}
			}
			q := NewQuickest()
			w := Work{PromptTokens: 4000, MaxTokens: 100}
			b.ReportAllocs()
			for b.Loop() {
				q.Pick(w, ls)
			}
		})
	}
}

// Guards against a deadlock: a prompt that holds memory waits for its next piece, while an overdue
// request waits for that memory.
func TestNoDeadlockBetweenHolderAndOverdue(t *testing.T) {
	for _, q := range []Queue{NewFair(), NewFIFO()} {
		big := item("a", hollowgrade.Background, 1, 0)
		big.Due = t0
		holder := item("b", hollowgrade.Background, 1, 0)
		holder.Resumes = true
		q.Push(big)
		q.Push(holder)
		require.Same(t, holder, q.Pop(t0, func(i *Item) bool { return i != big }), "%T", q)
	}
}
