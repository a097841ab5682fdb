package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/internal/wire"
	"github.com/hollowgrade/hollowgrade/peer"
	"github.com/hollowgrade/hollowgrade/sched"
)

// withLinks returns an entry with links to n agents that are marked as connected.
func withLinks(n int) *Entry {
	e := New(hollowgrade.Box{Name: "e", Hall: "h"}, "i", nil, func(context.Context) []hollowgrade.Box { return nil })
	for i := range n {
		l := &link{
			box:     hollowgrade.Box{Name: fmt.Sprint(i), Peer: fmt.Sprint(i)},
			conn:    &peer.Conn{},
			status:  &wire.Status{Models: []string{"m"}},
			sent:    map[string]sentWork{},
			breaker: newBreaker(),
			budget:  newBudget(DefaultLimits()),
		}
		l.load = sched.Load{TotalTokens: 400_000, PrefillRate: 40_000, Step: 25 * time.Millisecond, SentTokens: i * 7919 % 5000}
		e.links[l.box.Peer] = l
		e.order = append(e.order, l)
	}
	return e
}

func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{18, 60, 180, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			e := withLinks(n)
			d := hollowgrade.Decision{Allowed: time.Hour}
			q := &query{prefixes: sched.PrefixHashes(make([]byte, 16<<10))}
			q.request = hollowgrade.Request{ID: "r", Model: "m", PromptTokens: 4000, MaxTokens: 100}.WithDecision(d, e.clock.Now())
			b.ReportAllocs()
			for b.Loop() {
				l, _, err := e.place(q, nil)
				if err != nil {
					b.Fatal(err)
				}
				e.removeSent(l, "r")
			}
		})
	}
}
