package spread

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	phases = 6 // of one course
	// settleTime is how long after the last change a view may still be what the time before left behind.
	settleTime = 3 * time.Second
)

// phase is what holds for some seconds: which gateways the store turns away, and how, and which of
// the gateways reach each other.
type phase struct {
	failing map[string]bool
	refuse  bool
	group   map[string]int // gateways of different groups do not reach each other
}

// drawPhase draws a phase. At least one gateway is served.
func (f *testFleet) drawPhase(r *rand.Rand) phase {
	p := phase{failing: map[string]bool{}, refuse: r.IntN(2) == 0, group: map[string]int{}}
	share, groups := r.Float64(), 1+r.IntN(3)
	if r.IntN(2) == 0 {
		groups = 1
	}
	for _, g := range f.gateways {
		p.failing[g.box] = r.Float64() < share
		p.group[g.box] = r.IntN(groups)
	}
	if r.IntN(3) == 0 {
		for _, b := range f.readers() {
			p.failing[b] = true
		}
	}
	p.failing[f.gateways[r.IntN(len(f.gateways))].box] = false
	return p
}

// applyPhase puts a phase in force.
func (f *testFleet) applyPhase(p phase) {
	f.failBoxes(storeFault{refuse: p.refuse}, func(box string) bool { return p.failing[box] })
	f.net.partition(func(a, b string) bool { return p.group[a] != p.group[b] })
}

// reachesServed reports whether a gateway reaches one that the store serves, itself among them.
func (f *testFleet) reachesServed(p phase, box string) bool {
	for _, g := range f.gateways {
		if p.group[g.box] == p.group[box] && !p.failing[g.box] {
			return true
		}
	}
	return false
}

// Any set of gateways loses and regains the store, and each other, at any moment. A view of one that
// reaches a gateway which the store serves does not get older than the time for which keys are good, or as much
// as five sevenths of it once things have been as they are for a while; no view goes back; and no more gateways
// read the store than read for the others, and as many again.
func TestViewsInAnyCourse(t *testing.T) {
	for _, n := range []int{5, some, 2 * some} {
		for seed := range uint64(courses) {
			t.Run(fmt.Sprintf("gateways=%d/seed=%d", n, seed), func(t *testing.T) {
				inNetwork(t, fleetPlaces(n), storeDelay, func(t *testing.T, f *testFleet) { f.requireFreshViews(t, rand.New(rand.NewPCG(seed, uint64(n)))) })
			})
		}
	}
}

func (f *testFleet) requireFreshViews(t *testing.T, r *rand.Rand) {
	t.Helper()
	readers := len(f.readers())
	next, fresh, hadServed := map[string]int64{}, map[string]time.Time{}, map[string]bool{}
	for _, g := range f.gateways {
		hadServed[g.box] = true
	}
	for range phases {
		p := f.drawPhase(r)
		f.applyPhase(p)
		began, lasts := time.Now(), settleTime+time.Duration(r.IntN(4000))*time.Millisecond
		for time.Since(began) < lasts {
			time.Sleep(pollInterval)
			if r.IntN(200) == 0 {
				putConfig(t, f, "a change")
			}
			for _, g := range f.gateways {
				require.GreaterOrEqual(t, g.config.Next(), next[g.box], "%s goes back", g.box)
				require.False(t, g.config.Fresh().Before(fresh[g.box]), "%s gets older", g.box)
				next[g.box], fresh[g.box] = g.config.Next(), g.config.Fresh()
				if !f.reachesServed(p, g.box) {
					continue
				}
				age, _ := g.config.Age()
				if hadServed[g.box] {
					require.Less(t, age, maxViewAge, "%s, %s after the change", g.box, time.Since(began))
				}
				if time.Since(began) > settleTime {
					require.Less(t, age, viewAgeGoal(maxViewAge), "%s, %s after the change", g.box, time.Since(began))
				}
			}
		}
		served := 0
		for _, b := range f.readers() {
			if !p.failing[b] {
				served++
			}
		}
		groups := map[int]bool{}
		for _, k := range p.group {
			groups[k] = true
		}
		require.LessOrEqual(t, served, 2*readers*len(groups), "gateways that read the store")
		for _, g := range f.gateways {
			hadServed[g.box] = f.reachesServed(p, g.box)
		}
	}
}
