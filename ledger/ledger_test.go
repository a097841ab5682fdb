package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hollowgrade/hollowgrade"
)

var t0 = time.Date(2026, 12, 5, 19, 0, 0, 0, time.UTC)

func claim(key, request string, digest uint64) Claim {
	return Claim{ID: KeyID{"o", key}, Digest: digest, Request: request, Hold: time.Minute}
}

func requireVerdict(t *testing.T, want Verdict, k *Keys, c Claim, now time.Time) {
	t.Helper()
	v, _ := k.Claim(c, now)
	require.Equal(t, want, v)
}

func TestKeys(t *testing.T) {
	newKeys := func() *Keys {
		k := NewKeys(time.Hour, 10)
		requireVerdict(t, Granted, k, claim("k", "r1", 1), t0)
		return k
	}
	t.Run("a second request waits for the first", func(t *testing.T) {
		requireVerdict(t, Running, newKeys(), claim("k", "r2", 1), t0)
	})
	t.Run("the same request may ask again", func(t *testing.T) {
		requireVerdict(t, Granted, newKeys(), claim("k", "r1", 1), t0)
	})
	t.Run("another body is refused", func(t *testing.T) {
		requireVerdict(t, Reused, newKeys(), claim("k", "r2", 2), t0)
	})
	t.Run("another organisation has keys of its own", func(t *testing.T) {
		c := claim("k", "r2", 2)
		c.ID.Organisation = "p"
		requireVerdict(t, Granted, newKeys(), c, t0)
	})
	t.Run("an end is remembered with its answer", func(t *testing.T) {
		k := newKeys()
		require.True(t, k.Settle(KeyID{"o", "k"}, "r1", hollowgrade.Finished, []byte("a"), t0))
		v, r := k.Claim(claim("k", "r2", 1), t0)
		require.Equal(t, Settled, v)
		require.Equal(t, "a", string(r.Answer))
	})
	t.Run("what did not run may be claimed again", func(t *testing.T) {
		k := newKeys()
		k.Settle(KeyID{"o", "k"}, "r1", hollowgrade.NotRun, nil, t0)
		requireVerdict(t, Granted, k, claim("k", "r2", 1), t0)
	})
	t.Run("a stranger cannot settle", func(t *testing.T) {
		require.False(t, newKeys().Settle(KeyID{"o", "k"}, "r2", hollowgrade.NotRun, nil, t0))
	})
	t.Run("a run of which nobody tells the end may have run", func(t *testing.T) {
		k := newKeys()
		v, r := k.Claim(claim("k", "r2", 1), t0.Add(2*time.Minute))
		require.Equal(t, Settled, v)
		require.Equal(t, hollowgrade.Unknown, r.Outcome)
	})
	t.Run("a ledger that began after a crash knows nothing of older keys", func(t *testing.T) {
		k := NewKeys(time.Hour, 10)
		k.SetUnknownUntil(t0.Add(time.Hour))
		requireVerdict(t, NotKnown, k, claim("k", "r1", 1), t0)
		requireVerdict(t, Granted, k, claim("k", "r1", 1), t0.Add(time.Hour))
	})
	t.Run("a handover carries everything", func(t *testing.T) {
		k := NewKeys(time.Hour, 10)
		k.Import(newKeys().Export(t0), t0)
		requireVerdict(t, Running, k, claim("k", "r2", 1), t0)
	})
	t.Run("a full ledger grants nothing", func(t *testing.T) {
		k := newKeys()
		for i := range 9 {
			requireVerdict(t, Granted, k, claim(fmt.Sprint(i), "r", 1), t0)
		}
		requireVerdict(t, Full, k, claim("more", "r", 1), t0)
	})
}

// A key must be granted to a second request only after the first one was settled as not run, or
// after the window since its end. The test checks this over random sequences of claims, settlements
// and delays.
func TestKeysGrantOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k, now := NewKeys(time.Hour, 100), t0
		holder := map[string]string{}
		ended := map[string]time.Time{}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			key := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "key")
			id := KeyID{"o", key}
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				r := fmt.Sprint("r", i)
				v, _ := k.Claim(claim(key, r, 1), now)
				if v != Granted {
					continue
				}
				if holder[key] != "" {
					require.False(t, ended[key].IsZero(), "granted while %s held it", holder[key])
					require.True(t, now.After(ended[key].Add(time.Hour)), "granted within the window")
				}
				holder[key], ended[key] = r, now.Add(time.Minute)
			case 2:
				o := rapid.SampledFrom([]hollowgrade.Outcome{hollowgrade.Finished, hollowgrade.Failed, hollowgrade.NotRun}).Draw(t, "outcome")
				if !k.Settle(id, holder[key], o, nil, now) {
					continue
				}
				if o == hollowgrade.NotRun {
					delete(holder, key)
				}
				ended[key] = now
			case 3:
				now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "seconds")) * time.Second)
			}
		}
	})
}

func TestMemoryAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, n := NewMemory(100), map[string]int{}
		sum := func() (s int) {
			for _, v := range n {
				s += v
			}
			return s
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id")
			if rapid.Bool().Draw(t, "grant") {
				tokens := rapid.IntRange(1, 60).Draw(t, "tokens")
				_, taken := n[id]
				want := !taken && sum()+tokens <= 100
				require.Equal(t, want, m.Grant(Lease{ID: id, Tokens: tokens}))
				if want {
					n[id] = tokens
				}
			} else {
				_, ok := m.Release(id)
				_, had := n[id]
				require.Equal(t, had, ok)
				delete(n, id)
			}
			require.Equal(t, sum(), m.Used())
		}
	})
}

func ExampleMemory() {
	m := NewMemory(1000)
	m.Grant(Lease{ID: "answer-1", Tokens: 600})
	fmt.Println(m.Fits(500), m.Used())
	held := []hollowgrade.Allocation{{ID: "answer-1", Tokens: 600}, {ID: "left-behind", Tokens: 50}}
	fmt.Println(m.OrphanTokens(held))
	// Output:
	// false 600
	// 50
}

func ExampleKeys() {
	now := time.Now()
	k := NewKeys(time.Hour, 1000)
	c := Claim{ID: KeyID{"shop", "receipt-7"}, Request: "first", Hold: time.Minute}
	v, _ := k.Claim(c, now)
	fmt.Println(v)
	k.Settle(c.ID, "first", hollowgrade.Finished, []byte("sent"), now)
	c.Request = "second"
	v, r := k.Claim(c, now)
	fmt.Println(v, r.Outcome, string(r.Answer))
	// Output:
	// granted
	// settled finished sent
}
