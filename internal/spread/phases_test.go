package spread

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	phases = 6 // of one sequence
	// settleTime is how long after a change of phase views may still be as old as before it.
	settleTime = 3 * time.Second
)

// phase describes some seconds of a run: which gateways' calls the store fails, in which way, and
// which gateways reach each other.
type phase struct {
	failing map[string]bool
	refuse  bool
	group   map[string]int // gateways of different groups cannot connect
}

// drawPhase draws a random phase in which the store serves at least one gateway.
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

// applyPhase applies a phase to the store and the network.
func (f *testFleet) applyPhase(p phase) {
	f.failBoxes(storeFault{refuse: p.refuse}, func(box string) bool { return p.failing[box] })
	f.net.partition(func(a, b string) bool { return p.group[a] != p.group[b] })
}

// reachesServed reports whether a gateway reaches one that the store serves, itself included.
func (f *testFleet) reachesServed(p phase, box string) bool {
	for _, g := range f.gateways {
		if p.group[g.box] == p.group[box] && !p.failing[g.box] {
			return true
		}
	}
	return false
}

// Guards against stale views when the store fails and serves changing sets of gateways and the
// network is partitioned. A gateway that reaches a served one keeps its view younger than
// maxViewAge, and after settleTime younger than viewAgeGoal. Views never go back to an older state,
// and at most twice the regular number of readers read the store in each partition.
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
				require.GreaterOrEqual(t, g.config.Next(), next[g.box], "%s went back to an earlier offset", g.box)
				require.False(t, g.config.Fresh().Before(fresh[g.box]), "%s became less fresh", g.box)
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
