package soak

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	goneAfter    = 500 * time.Millisecond // from the start of an isolation until a worker's entry goes
	goneServes   = 18 * time.Second       // for which this worker goes on serving
	peerDownTime = 300 * time.Millisecond
	maxHealGap   = time.Second // between the links to the store and those between gateways
)

// isolate silences the links of half of the gateways to the store and all links between gateways. Meanwhile a
// worker's entry goes and then the other gateways are killed and restarted. The worker goes on serving. The
// links to the store and those between gateways come back one after the other.
func (w *world) isolate(s step) {
	from := time.Now()
	for i := range w.gateways {
		w.recordFault(isolateGateway, i, from, from.Add(s.duration+maxDrainDelay))
	}
	k := w.worker(s.target)
	if k == nil {
		return // harmful requests have crashed all of them
	}
	r := rand.New(rand.NewPCG(uint64(s.target), 7))
	var isolated, others []*gateway
	for i := range w.gateways {
		g := w.gateways[(s.target+i)%len(w.gateways)]
		if i < len(w.gateways)/2 {
			isolated = append(isolated, g)
		} else {
			others = append(others, g)
		}
	}
	setStores := func(m linkMode) {
		for _, g := range isolated {
			g.store.set(m)
		}
	}
	setPeers := func(m linkMode) {
		for _, g := range w.gateways {
			g.peers.set(m)
		}
	}
	setStores(silence)
	setPeers(silence)
	time.Sleep(goneAfter)
	w.removeEntry(k)
	w.restartAll(others)
	time.Sleep(time.Until(from.Add(s.duration - maxHealGap)))
	heal := []func(linkMode){setStores, setPeers}
	r.Shuffle(len(heal), func(i, j int) { heal[i], heal[j] = heal[j], heal[i] })
	heal[0](pass)
	time.Sleep(time.Duration(r.Int64N(int64(maxHealGap))))
	heal[1](pass)
	time.Sleep(time.Until(from.Add(goneServes)))
	w.end(k)
}

// removeEntry removes a worker's entry from the registry, and adds another worker.
func (w *world) removeEntry(k *worker) {
	w.replace(k)
	w.store.Put("keyed.servers", k.ID, nil)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history.goneSince[k.ID] = time.Now()
}

// restartAll kills and restarts gateways.
func (w *world) restartAll(gs []*gateway) {
	var all sync.WaitGroup
	for _, g := range gs {
		all.Go(func() {
			w.recordFault(killGateway, g.index, time.Now(), time.Now().Add(peerDownTime+maxDrainDelay))
			<-g.signal(syscall.SIGKILL)
			time.Sleep(peerDownTime)
			w.start(g)
		})
	}
	all.Wait()
}
