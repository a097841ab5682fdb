package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/hollowgrade/hollowgrade/platform/platformtest"
)

const (
	// harmfulPrefix is the prefix of the ids of requests that crash the workers which run them. The
	// requests of one step have the same path and body, or, with harmfulPartPrefix, only a part of
	// their prompts in common. The ids of one step differ after the last dash.
	harmfulPrefix     = "harm"
	harmfulPartPrefix = harmfulPrefix + "part"
	harmfulInterval   = 60 * time.Millisecond // between two requests of a step, each to a random gateway
	crashDelay        = 50 * time.Millisecond // from the arrival at a worker to its crash
	workerDownTime    = 700 * time.Millisecond
	// Every gateway has to know a harmful request settleTime after the third crash; maxLateHarmful
	// more may follow. Gateways that fail, or reach neither the store nor each other, may each have
	// to detect it on their own, which maxHarmful allows for.
	maxLateHarmful = 3
	maxHarmful     = 24
	// A part of prompts has to be known after more crashes, also at each gateway on its own.
	crashesOfRequest = 3
	crashesOfPart    = 5
	maxHarmfulPart   = maxHarmful * crashesOfPart / crashesOfRequest
)

// harmfulRequestOf returns the n-th harmful request of a step: of every second one the same under
// another id, and else one that shares only a part of its prompt with the others.
func harmfulRequestOf(s step, n int) *request {
	ms := s.at.Milliseconds()
	if s.target%2 == 0 {
		name := fmt.Sprint(harmfulPrefix, "-", ms)
		return &request{id: fmt.Sprint(name, "-", n), path: "/again/" + name, body: name}
	}
	id := fmt.Sprint(harmfulPartPrefix, "-", ms, "-", n)
	return &request{id: id, path: "/again/" + id, body: id, parts: fmt.Sprintf("a1:40,bad%x:100,%x:50", ms, n)}
}

// sendHarmful sends the harmful requests of a step.
func (w *world) sendHarmful(s step) {
	r := rand.New(rand.NewPCG(uint64(s.target), 1))
	t := &http.Transport{DisableKeepAlives: true}
	for n, end := 0, time.Now().Add(s.duration); time.Now().Before(end); n++ {
		g := r.IntN(len(w.gateways))
		q := harmfulRequestOf(s, n)
		q.key, q.gateway, q.instance, q.sent = "key-0", g, w.gateways[g].currentInstance(), time.Now()
		w.mu.Lock()
		w.history.requests[q.id] = q
		w.mu.Unlock()
		go w.send(t, q)
		time.Sleep(harmfulInterval)
	}
	time.Sleep(workerDownTime)
}

// restartMode is how a worker restarts after a request has crashed it.
type restartMode uint64

const (
	replaceWorker  restartMode = iota // a new worker replaces it
	restartMoved                      // the same id, a new instance at another address
	restartInPlace                    // the same id at its address, which meanwhile accepted connections and reset each
	restartModes
)

// crashAndRestart ends a worker with all its requests, and restarts it after workerDownTime.
func (w *world) crashAndRestart(k *worker, how restartMode) {
	w.mu.Lock()
	if !slices.Contains(w.workers, k) {
		w.mu.Unlock()
		return // it has crashed already
	}
	w.workers = slices.DeleteFunc(w.workers, func(x *worker) bool { return x == k })
	w.mu.Unlock()
	if how != restartInPlace {
		k.proxy.close()
	}
	w.end(k)
	time.Sleep(workerDownTime)
	w.mu.Lock()
	defer w.mu.Unlock()
	if how == replaceWorker {
		w.store.Put("keyed.servers", k.ID, nil)
		w.addWorker(k.service)
		return
	}
	b := &worker{Worker: platformtest.NewWorker(k.ID, w.behave), proxy: k.proxy, service: k.service, startTime: time.Now()}
	if how == restartInPlace {
		b.proxy.setTarget(b.Address())
	} else {
		b.proxy = newProxy(w.t, b.Address())
	}
	w.workers = append(w.workers, b)
	w.register(b, "ready")
}

// crashAsync crashes a worker in another goroutine, since closing it waits for its behaviours, and
// one of these is the caller of crashAsync.
func (w *world) crashAsync(k *platformtest.Worker, how restartMode) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range w.workers {
		if x.Worker == k {
			w.crashes.Go(func() { w.crashAndRestart(x, how) })
		}
	}
}

// addInvalidEntries writes invalid registry entries that have a worker's address, and removes them
// later.
func (w *world) addInvalidEntries(s step) {
	k := w.worker(s.target)
	if k == nil {
		return
	}
	a := k.proxy.address()
	for i, e := range []string{
		`{"service":"s","address":"` + a + `","zone":"z1","version":"v1","slots":4,"state":"resting","coldLeftMs":0,"callSeq":0}`,
		`{"service":"s","address":"` + a + `","zone":"z1","version":"v1","state":"ready","coldLeftMs":0,"callSeq":0}`,
		`{"service":"s","address":"` + a + `","zone":"z1","version":"v1","slots":4,"state":"ready","coldLeftMs":0,"callSeq":0,"born":"x"}`,
		"\xff\xfe{", `[]`,
	} {
		id := fmt.Sprint("strange-", s.target, "-", i)
		w.store.Put("keyed.servers", id, []byte(e))
		w.store.Put("keyed.members", id, []byte(e))
		defer w.store.Put("keyed.servers", id, nil)
		defer w.store.Put("keyed.members", id, nil)
	}
	time.Sleep(s.duration)
}

// runsAtUnlistedWorkers finds runs at workers that only invalid entries name.
func (h *history) runsAtUnlistedWorkers() []string {
	return h.eachRun(func(r run, _ *request) string {
		if strings.HasPrefix(r.worker, "strange") {
			return "ENTRIES, it names no worker"
		}
		return ""
	})
}

// harmfulForwarded finds harmful requests, or requests with a harmful part, that gateways forwarded too
// often, or after they had to know them.
func (h *history) harmfulForwarded() (bs []string) {
	at := map[string][]time.Time{} // arrival times at workers, by step
	for _, r := range h.runs {
		if strings.HasPrefix(r.id, harmfulPrefix) && !r.refused {
			name := r.id[:strings.LastIndex(r.id, "-")]
			at[name] = append(at[name], r.at)
		}
	}
	for name, ts := range at {
		slices.SortFunc(ts, func(a, b time.Time) int { return a.Compare(b) })
		crashes, most := crashesOfRequest, maxHarmful
		if strings.HasPrefix(name, harmfulPartPrefix) {
			crashes, most = crashesOfPart, maxHarmfulPart
		}
		late := 0
		for _, t := range ts {
			if last := ts[min(crashes, len(ts))-1].Add(crashDelay); t.After(last.Add(settleTime)) && h.undisturbed(last, t) {
				late++
			}
		}
		if late > maxLateHarmful || len(ts) > most {
			bs = append(bs, fmt.Sprintf("BUDGET, harmful request %s was sent %d times, %d of them late", name, len(ts), late))
		}
	}
	return bs
}
