package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	entriesStream              = 6               // of the random numbers of a seed, so that the other steps stay the same
	maxCalmLead                = 2 * time.Second // before the planned work of a calm period
	maxEntryLosses             = 2
	maxGoneDelay               = time.Second                      // from the silence of connections until an entry goes
	minGoneServes, goneVariety = 8 * time.Second, 6 * time.Second // for which its worker serves on
)

// newEntryLosses generates the losses of workers' entries of a seed: at any time, and one in the first calm
// period of the other steps.
func newEntryLosses(seed uint64, length time.Duration, others []step) (ss []step) {
	r := rand.New(rand.NewPCG(seed, entriesStream))
	lose := func(at time.Duration) {
		ss = append(ss, step{at: at, duration: minFaultTime, kind: loseEntry, target: r.IntN(1000)})
	}
	for range 1 + r.IntN(maxEntryLosses) {
		lose(time.Duration(r.Int64N(int64(length))))
	}
	for i := range len(others) - 1 {
		if next := others[i+1].at; next-others[i].at >= calmPause {
			lose(next - time.Duration(r.Int64N(int64(maxCalmLead))))
			break
		}
	}
	return ss
}

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
	w.end(k)
}

// worker returns one of the present workers, or nil if there is none.
func (w *world) worker(which int) *worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.workers) == 0 {
		return nil
	}
	return w.workers[which%len(w.workers)]
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

// storeFaults are the faults of the store, workerLinkFaults those of all gateways' links to a worker.
var (
	storeFaults      = []kind{busyStore, awayStore, loseAnswers, compactStore, restoreStore, turnAway, silenceConnections}
	workerLinkFaults = []kind{delayWorker, resetWorker, silenceWorker, deafenWorker}
)

// recordLinkFault records a fault of the links to a worker, beside that of its step.
func (w *world) recordLinkFault(k *worker, s step) {
	if !slices.Contains(workerLinkFaults, s.kind) {
		return
	}
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history.linkFaults[k.ID] = append(w.history.linkFaults[k.ID], span{kind: s.kind, from: now, to: now.Add(s.duration)})
}

// lately reports whether a fault was in effect at a time or less than settleTime before.
func (s span) lately(at time.Time) bool {
	return s.from.Before(at) && s.to.Add(settleTime).After(at)
}

// storeDisturbed reports whether the store was disturbed at a time or less than settleTime before.
func (h *history) storeDisturbed(at time.Time) bool {
	return slices.ContainsFunc(h.spans, func(s span) bool { return slices.Contains(storeFaults, s.kind) && s.lately(at) })
}

// inTouch reports whether nothing has kept a gateway from the store and a worker for settleTime.
func (h *history) inTouch(gateway int, worker string, at time.Time) bool {
	stopped := slices.ContainsFunc(h.stops, func(p *plannedStop) bool {
		return p.gateway == gateway && p.from.Before(at) && (p.ended.IsZero() || p.ended.Add(settleTime).After(at))
	})
	disturbed := slices.ContainsFunc(h.spans, func(s span) bool {
		own := slices.Contains(gatewayFaults, s.kind) || s.kind == squeezeGateway
		return own && s.gateway == gateway && s.lately(at)
	})
	heldUp := slices.ContainsFunc(h.linkFaults[worker], func(s span) bool { return s.lately(at) })
	return !stopped && !disturbed && !heldUp && !h.storeDisturbed(at)
}

// ranAfterEntryWent finds requests that reached a worker more than maxDrainDelay after its entry went, when
// nothing has disturbed anything for settleTime, or from a gateway in touch if nothing disturbed the store when
// the entry went.
func (h *history) ranAfterEntryWent() (bs []string) {
	n, worst := 0, time.Duration(0)
	all := h.eachRun(func(r run, q *request) string {
		at, ok := h.goneSince[r.worker]
		if !ok || q == nil || !r.at.After(at.Add(maxDrainDelay)) {
			return ""
		}
		if !h.undisturbed(r.at, r.at) && (h.storeDisturbed(at) || !h.inTouch(q.gateway, r.worker, r.at)) {
			return ""
		}
		n++
		worst = max(worst, r.at.Sub(at))
		return fmt.Sprintf("DRAIN, %s after its entry went, from gateway %d", r.at.Sub(at), q.gateway)
	})
	if n == 0 {
		return nil
	}
	return []string{fmt.Sprintf("%s; %d such requests, up to %s after it", all[0], n, worst)}
}
