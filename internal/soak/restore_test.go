package soak

import (
	"math/rand/v2"
	"time"

	"github.com/hollowgrade/hollowgrade/platform/platformtest"
)

const (
	// Returns of the store come in addition, some of them soon after each other.
	maxRestores                      = 3
	maxRestoreGap                    = 6 * time.Second
	restoresStream                   = 1 // of the random numbers of a seed, so that the other steps stay the same
	minCopyAge, maxCopyAge           = 300 * time.Millisecond, 3 * time.Second
	minRewriteDelay, maxRewriteDelay = 50 * time.Millisecond, 4 * time.Second
)

// newRestores generates the returns of the store of a seed.
func newRestores(seed uint64, length time.Duration) (ss []step) {
	r := rand.New(rand.NewPCG(seed, restoresStream))
	at := time.Duration(r.Int64N(int64(length)))
	for range r.IntN(maxRestores + 1) {
		ss = append(ss, step{at: at, duration: minFaultTime, kind: restoreStore, target: r.IntN(1_000_000)})
		at += time.Duration(r.Int64N(int64(maxRestoreGap)))
	}
	return ss
}

// restoreStore makes the store unavailable for a moment and lets it come back from an older copy. Later
// the lost records of operators and workers are written again.
func (w *world) restoreStore(s step) {
	r := rand.New(rand.NewPCG(uint64(s.target), 0))
	age := minCopyAge + time.Duration(r.Int64N(int64(maxCopyAge-minCopyAge)))
	delay := minRewriteDelay + time.Duration(r.Int64N(int64(maxRewriteDelay-minRewriteDelay)))
	w.setStoreMode(platformtest.Unavailable, s.duration)
	rewrite := w.store.GoBack(age)
	time.Sleep(delay)
	rewrite()
}
