package fleettest

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/internal/wire"
	"github.com/hollowgrade/hollowgrade/ledger"
)

// countGrants returns how many agents grant a claim of the key, each for a different request.
func countGrants(f *Fleet, key string) (n int) {
	for _, a := range f.Agents {
		if claim(a, key) == ledger.Granted {
			n++
		}
	}
	return n
}

// awaitOwnership waits until an agent grants claims of the range of a key.
func awaitOwnership(t *testing.T, a *AgentBox, key string) {
	t.Helper()
	const longest = time.Minute
	begin, other := time.Now(), otherKeyOfRange(key)
	for claim(a, other) != ledger.Granted {
		require.Less(t, time.Since(begin), longest, "%s does not keep the range", a.Name)
		time.Sleep(10 * time.Millisecond)
	}
}

// otherKeyOfRange returns another key of the same range.
func otherKeyOfRange(key string) string {
	for i := 0; ; i++ {
		k := fmt.Sprint(key, "-", i)
		if (ledger.KeyID{Organisation: "a", Key: k}).Range() == (ledger.KeyID{Organisation: "a", Key: key}).Range() {
			return k
		}
	}
}

// claim returns an agent's verdict on a claim of a key.
func claim(a *AgentBox, key string) ledger.Verdict {
	v := a.keeper.Claim(&wire.Claim{Organisation: "a", Key: key, Id: a.incarnation, HoldMicros: time.Minute.Microseconds()})
	return ledger.Verdict(v.GetVerdict())
}

// Guards against two grants of one key: a keeper is frozen, another process takes over its range, and
// long after that the first resumes and receives a claim before it has read the log. Only the lease
// prevents the second grant.
func TestLeaseOfKeepersIsLoadBearing(t *testing.T) {
	const (
		key   = "k"
		lease = 5 * time.Second // several polls of the log
	)
	for _, c := range []struct {
		name  string
		lease time.Duration // of the frozen keeper
		want  int
	}{
		{"with the lease one keeper grants", lease, 1},
		{"without it two would", 24 * time.Hour, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := Small()
			g.KeyTimes.Lease, g.KeyTimes.Window = c.lease, 5*time.Second
			inBubble(t, g, func(t *testing.T, f *Fleet) {
				old := f.Agents[f.keeperOf("a", key)]
				awaitOwnership(t, old, key) // it may be ready before it has read that the range is its own
				f.Config.KeyTimes.Lease = lease
				next := f.StartAgent("engine-8", false)
				for _, a := range f.Agents {
					if a != next {
						f.Unlist(a.Name)
					}
				}
				old.Freezer.Set(true)
				time.Sleep(40 * time.Second)
				require.Equal(t, c.want, countGrants(f, key))
			})
		})
	}
}

// Guards against memory that stays reserved when an agent crashes and is replaced while its engine
// holds pieces of a prompt for it. Only the sweep releases that memory.
func TestSweepIsLoadBearing(t *testing.T) {
	for _, c := range []struct {
		name  string
		sweep time.Duration
		held  bool
	}{
		{"with the sweep all memory comes back", time.Second, false},
		{"without it some never would", 24 * time.Hour, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, Small(), func(t *testing.T, f *Fleet) {
				ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
				defer cancel()
				f.Config.Limits.Sweep = c.sweep
				go f.Do(ctx, Call{Organisation: "a", Kind: "long", Prompt: strings.Repeat("abcd", 18_000), Tokens: 16})
				time.Sleep(250 * time.Millisecond)
				i := slices.IndexFunc(f.Agents, func(a *AgentBox) bool { return a.Engine != nil && a.Engine.Used() > 0 })
				require.GreaterOrEqual(t, i, 0)
				f.KillAgent(i)
				f.ReplaceAgent(i)
				time.Sleep(time.Minute)
				require.Equal(t, c.held, f.Agents[i].Engine.Used() > 0)
			})
		})
	}
}
