package soak

import (
	"math/rand/v2"
	"time"
)

const (
	maxGoneDelay               = time.Second                      // from the silence of connections until an entry goes
	minGoneServes, goneVariety = 8 * time.Second, 6 * time.Second // for which its worker serves on
)

// silenceConnections silences all open connections to the store for good, while new ones work. Meanwhile the
// entry of a worker goes that serves on.
func (w *world) silenceConnections(s step) {
	r := rand.New(rand.NewPCG(uint64(s.target), 10))
	now := time.Now()
	for i, g := range w.gateways {
		w.recordFault(silenceConnections, i, now, now)
		g.store.silenceOpen()
	}
	time.Sleep(time.Duration(r.Int64N(int64(maxGoneDelay))))
	w.loseEntry(r, w.plainWorker(s.target))
}

// loseEntry removes the entry of a worker, if there is one, which serves on and then ends.
func (w *world) loseEntry(r *rand.Rand, k *worker) {
	if k == nil {
		return
	}
	w.removeEntry(k)
	time.Sleep(minGoneServes + time.Duration(r.Int64N(int64(goneVariety))))
	k.Close()
}

// plainWorker returns one of the present workers of the plain service, or nil if there is none.
func (w *world) plainWorker(which int) *worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ks []*worker
	for _, k := range w.workers {
		if k.service == plainService {
			ks = append(ks, k)
		}
	}
	if len(ks) == 0 {
		return nil
	}
	return ks[which%len(ks)]
}
