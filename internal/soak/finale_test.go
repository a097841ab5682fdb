package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

const finaleStream = 5 // of the random numbers of a seed, so that the other steps stay the same

// finales are the kinds of which one is drawn for the end of each seed without an isolation.
var finales = []kind{stopUnderStreams, silenceSound, silenceConnections}

// newFinale generates the step after all faults of a seed that would excuse gateways. Returns of the store
// excuse no cut.
func newFinale(seed uint64, others []step) step {
	r := rand.New(rand.NewPCG(seed, finaleStream))
	k, end := finales[r.IntN(len(finales))], time.Duration(0)
	for _, s := range others {
		excuses := !s.kind.planned() || slices.Contains(workerFaults, s.kind)
		if excuses && (s.kind != restoreStore || k == silenceConnections) {
			end = max(end, s.at+s.duration)
		}
	}
	return step{at: end + restOfPlan, duration: minFaultTime, kind: k, target: r.IntN(1000)}
}
