package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

const finaleStream = 5 // of the random numbers of a seed, so that the other steps stay the same

// finales are the kinds of which one is drawn for the end of each seed without an isolation.
var finales = []kind{stopUnderStreams, silenceSound}

// newFinale generates the step after all faults of a seed that would excuse gateways. Returns of the store
// excuse no cut.
func newFinale(seed uint64, others []step) step {
	r := rand.New(rand.NewPCG(seed, finaleStream))
	end := time.Duration(0)
	for _, s := range others {
		if !s.kind.planned() && s.kind != restoreStore || slices.Contains(workerFaults, s.kind) {
			end = max(end, s.at+s.duration)
		}
	}
	return step{at: end + restOfPlan, duration: minFaultTime, kind: finales[r.IntN(len(finales))], target: r.IntN(1000)}
}
