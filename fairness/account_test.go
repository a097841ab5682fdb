package fairness

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var begin = time.Unix(1, 0)

// unserved returns an account of a gateway at which an organisation gets nothing and another all.
func unserved() *Account {
	a := New()
	for i := range 20 {
		now := begin.Add(time.Duration(i) * 100 * time.Millisecond)
		a.RecordAsked(now, Party{Organisation: "refused", Hall: "h1", Size: 9}, time.Second)
		a.RecordAsked(now, Party{Organisation: "served", Hall: "h2", Size: 5}, time.Second)
		a.RecordGot(now, Party{Organisation: "served", Hall: "h2", Size: 5}, time.Second)
	}
	return a
}

var end = begin.Add(2 * time.Second)

func TestFactor(t *testing.T) {
	a := unserved()
	t.Run("those who got nothing come first, within bounds", func(t *testing.T) {
		require.InDelta(t, partyBound, a.Factor(end, Party{Organisation: "refused"}), 1e-9)
		require.InDelta(t, sizeBound, a.Factor(end, Party{Organisation: "refused", Hall: "h1", Size: 9}), 1e-9)
		require.InDelta(t, 1, a.Factor(end, Party{Organisation: "served", Hall: "h2", Size: 5}), 1e-9)
	})
	t.Run("unknown parties are neither preferred nor put back", func(t *testing.T) {
		require.InDelta(t, 1, a.Factor(end, Party{Organisation: "new", Hall: "h9", Size: 3}), 0)
	})
	t.Run("once nothing is short any more it is 1", func(t *testing.T) {
		later := end
		for range 300 {
			later = later.Add(100 * time.Millisecond)
			a.RecordAsked(later, Party{Organisation: "refused", Hall: "h1", Size: 9}, time.Second)
			a.RecordGot(later, Party{Organisation: "refused", Hall: "h1", Size: 9}, time.Second)
		}
		require.InDelta(t, 1, a.Factor(later, Party{Organisation: "refused", Hall: "h1", Size: 9}), 0)
	})
}

func TestPeers(t *testing.T) {
	refused := Party{Organisation: "refused", Hall: "h1", Size: 9}
	t.Run("what others refuse counts here, until they are dropped", func(t *testing.T) {
		a := New()
		a.Receive("b", unserved().Whole(end), end)
		require.Greater(t, a.Factor(end, refused), 1.5)
		a.Drop("b")
		a.Drop("unknown")
		require.InDelta(t, 1, a.Factor(end, refused), 0)
		require.Empty(t, a.peers.total)
	})
	t.Run("the total is that of all peers, whatever was told, dropped and told again", func(t *testing.T) {
		a := New()
		r := rand.New(rand.NewPCG(1, 1))
		now := end
		for range 5000 {
			now = now.Add(time.Duration(r.IntN(100)) * time.Millisecond)
			box := fmt.Sprint(r.IntN(5))
			a.Receive(box, NewSummary(Entry{Kind: Hall, Name: fmt.Sprint(r.IntN(9)), Asked: time.Duration(r.Int64N(1e10)), Got: time.Duration(r.Int64N(1e10))}), now)
			if r.IntN(50) == 0 {
				a.Drop(box)
			}
		}
		asked := 0.0
		for _, b := range a.peers.boxes {
			for _, s := range b {
				asked += a.decay().at(s, now).asked
			}
		}
		require.InDelta(t, asked*1e9, a.totals(now).of(Hall).asked, 1e4)
	})
	t.Run("a gateway that falls silent decays", func(t *testing.T) {
		a := New()
		a.Receive("b", unserved().Whole(end), end)
		later := end.Add(20 * defaultWindow)
		a.Receive("b", NewSummary(Entry{Kind: Hall, Name: "h1"}), later)
		require.Len(t, a.peers.boxes["b"], 1)
	})
	t.Run("one with all of its own prompts served tells them too", func(t *testing.T) {
		a := New()
		a.RecordAsked(end, refused, time.Second)
		a.RecordGot(end, refused, time.Second)
		require.True(t, a.Summary(end).Empty())
		a.Receive("b", unserved().Whole(end), end)
		later := end.Add(time.Second)
		require.False(t, a.Summary(later).Empty())
		require.True(t, a.Summary(later).Empty(), "told twice")
	})
	t.Run("a later summary replaces an earlier one that wasn't sent", func(t *testing.T) {
		x, y := Entry{Kind: Hall, Name: "x", Asked: 1}, Entry{Kind: Hall, Name: "y", Asked: 1}
		s := NewSummary(x, y).Plus(NewSummary(Entry{Kind: Hall, Name: "x", Asked: 2}))
		require.Equal(t, []Entry{{Kind: Hall, Name: "x", Asked: 2}, y}, s.Entries())
	})
}

func TestBadInput(t *testing.T) {
	t.Run("times that are negative or too long", func(t *testing.T) {
		a := New()
		a.RecordAsked(end, Party{Organisation: "o"}, -time.Second)
		a.RecordGot(end, Party{Organisation: "o"}, -time.Second)
		require.Empty(t, a.own.entries)
		a.RecordAsked(end, Party{Organisation: "o"}, 1000*time.Hour)
		require.LessOrEqual(t, a.ownSums(Party{Organisation: "o"}.keys()[Organisation], end).asked, maxPrefill.Seconds())
	})
	t.Run("clocks that go back", func(t *testing.T) {
		a := unserved()
		a.RecordAsked(begin.Add(-time.Hour), Party{Organisation: "refused"}, time.Second)
		require.InDelta(t, partyBound, a.Factor(begin.Add(-time.Hour), Party{Organisation: "refused"}), 1e-9)
	})
	t.Run("names that are empty or too long, and sizes out of range", func(t *testing.T) {
		a := New()
		for _, p := range []Party{{}, {Organisation: strings.Repeat("o", 65), Hall: strings.Repeat("h", 65), Size: -1}} {
			a.RecordAsked(end, p, time.Second)
			a.RecordGot(end, p, time.Second)
		}
		require.Len(t, a.own.entries, 3)
		require.Equal(t, sizeClasses-1, Party{Size: 99}.keys()[Size].size)
		require.Equal(t, 0, SizeOf(-5))
		require.Equal(t, 1+SizeOf(16_000), SizeOf(32_000))
	})
	t.Run("summaries with too many or impossible entries, and too many peers", func(t *testing.T) {
		a := New()
		for i := range 10_000 {
			es := []Entry{{Kind: Organisation, Name: fmt.Sprint(i), Asked: time.Second}, {Kind: Hall, Name: "h", Asked: -1}, {Kind: 7}, {Kind: Size, Size: 99}}
			a.Receive("b", Summary{entries: es}, end)
			a.Receive(fmt.Sprint(i), NewSummary(es...), end)
		}
		a.Receive("", NewSummary(Entry{Kind: Hall}), end)
		require.Len(t, a.peers.boxes["b"], maxEntries)
		require.Len(t, a.peers.boxes, maxBoxes)
	})
	t.Run("encoded summaries that are cut, too large or of a later version", func(t *testing.T) {
		b := unserved().Whole(end).Marshal()
		for i := range b {
			_, _ = Unmarshal(b[:i])
		}
		_, err := Unmarshal(b[:len(b)-1])
		require.Error(t, err)
		_, err = Unmarshal(make([]byte, MaxSummaryBytes+1))
		require.ErrorIs(t, err, errTooLarge)
		s, err := Unmarshal(append(b, 0x78, 1))
		require.NoError(t, err)
		require.Len(t, s.entries, 6)
	})
}

// many records a prompt of one of 13,000 organisations, whose demand falls with their rank, that came
// to one of 11 data halls. Three of four prompts are placed.
func many(a *Account, now time.Time, r *rand.Rand, z *rand.Zipf) {
	p := Party{Organisation: fmt.Sprintf("organisation-%d", z.Uint64()), Hall: fmt.Sprintf("hall-%d", r.IntN(11)), Size: 4 + r.IntN(6)}
	d := figures.PrefillTime(firstSizeTokens<<p.Size, 1)
	a.RecordAsked(now, p, d)
	if r.IntN(4) > 0 {
		a.RecordGot(now, p, d)
	}
}

func newZipf(r *rand.Rand) *rand.Zipf {
	return rand.NewZipf(r, 1.2, 1, 12_999)
}

// Load: 13,000 organisations and 11 data halls at each of 53 gateways. The account of one, with what it
// keeps of 53 others, takes 8 MB at the most, and a summary 8 KB. Sums are exact, and the largest
// organisations are kept, whatever came in between.
func TestManyOrganisationsTakeAFixedSize(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	z := newZipf(r)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	a := New()
	for g := range 53 {
		b := New()
		for i := range 3000 {
			many(b, begin.Add(time.Duration(i)*time.Millisecond), r, z)
		}
		now := begin.Add(3 * time.Second)
		s := b.Whole(now)
		require.LessOrEqual(t, len(s.Marshal()), MaxSummaryBytes)
		require.LessOrEqual(t, len(b.own.entries), defaultOrganisations+maxHalls+sizeClasses+2)
		require.InDelta(t, b.decay().at(b.prompts, now).asked*1e9, b.totals(now).of(Organisation).asked, 1e6)
		for i := range 8 {
			require.Contains(t, b.own.entries, key{kind: Organisation, name: fmt.Sprintf("organisation-%d", i)})
		}
		a.Receive(fmt.Sprint(g), s, now)
		for range 200 {
			many(a, now, r, z)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	t.Logf("%d bytes", int64(after.HeapAlloc)-int64(before.HeapAlloc))
	require.Less(t, int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(8<<20))
	runtime.KeepAlive(a)
}

// BenchmarkSummaries measures what a gateway sends to its peers in a shortage, with a summary a second:
// 21 gateways in one cell, and 420 in eight cells of 53 at the most.
func BenchmarkSummaries(b *testing.B) {
	for _, n := range []int{21, 53} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkSummaries(b, n) })
	}
}

func benchmarkSummaries(b *testing.B, n int) {
	const seconds, promptsASecond = 30, 10
	r := rand.New(rand.NewPCG(1, 1))
	z := newZipf(r)
	bytes, times, refresh := 0, 0, time.Duration(0)
	for b.Loop() {
		as := make([]*Account, n)
		for i := range as {
			as[i] = New()
		}
		for s := range seconds {
			now := begin.Add(time.Duration(s) * time.Second)
			for i, a := range as {
				for range promptsASecond {
					many(a, now, r, z)
				}
				u := a.Summary(now)
				bytes += len(u.Marshal()) * (n - 1)
				times++
				for _, p := range as {
					if p != a {
						p.Receive(fmt.Sprint(i), u, now)
					}
				}
			}
		}
		at := time.Now()
		as[0].compute(begin.Add(seconds * time.Second))
		refresh += time.Since(at)
	}
	b.ReportMetric(float64(bytes)/float64(times), "B/s/gateway")
	b.ReportMetric(float64(bytes)/float64(times*(n-1)), "B/message")
	b.ReportMetric(float64(refresh.Microseconds())/float64(b.N), "us/refresh")
}
