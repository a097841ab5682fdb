package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	pacedPrefix  = "paced" // of the ids of requests for paced streams
	pacedPause   = 170 * time.Millisecond
	pacedTimeout = 8 * time.Second
	pacedRoute   = `{"name":"/paced/","host":"h","pathPrefix":"/paced/","kind":"streaming","resumable":true,"timeoutMs":8000,"goalLatencyMs":300,"gap_aim_ms":200,"service":"s","maxAttempts":2}`

	pacedStreams           = 30 // one after another on the kept connection of each caller
	pacedChain             = 3
	pacedStartSpread       = pacedPause * streamEvents / 2
	minQuietTime, quietGap = time.Second, 200 * time.Millisecond // a second or so
	fullBefore             = 200 * time.Millisecond              // before the silence
	maxQuietStopDelay      = time.Second                         // from a SIGTERM to the silence
)

// silenceSound lets a worker send nothing for about a second and go on, while the others of its service are
// full, and under streams whose pauses are short. In every second step a gateway gets SIGTERM before.
func (w *world) silenceSound(g *gateway, s step) {
	r := rand.New(rand.NewPCG(uint64(s.target), 9))
	quiet := minQuietTime + time.Duration(r.Int64N(int64(quietGap)))
	var cs, stop sync.WaitGroup
	for i := range pacedStreams {
		d := time.Duration(r.Int64N(int64(pacedStartSpread)))
		cs.Go(func() {
			time.Sleep(d)
			w.sendPaced(w.gateways[(g.index+i%2)%len(w.gateways)], fmt.Sprint(s.target, "-", i))
		})
	}
	time.Sleep(pacedStartSpread + pacedPause)
	if r.IntN(2) == 0 {
		stop.Go(func() { w.stop(g) })
		time.Sleep(time.Duration(r.Int64N(int64(maxQuietStopDelay))))
	}
	if k := w.busiest(pacedPrefix); k != nil {
		w.setFull(k.ID)
		time.Sleep(fullBefore)
		from := time.Now()
		w.setModeFor(k.proxy, deafen, quiet)
		w.setFull("")
		w.mu.Lock()
		w.history.quiet = append(w.history.quiet, quietTime{k.ID, from, time.Now()})
		w.mu.Unlock()
	}
	cs.Wait()
	stop.Wait()
}

// quietTime is a period in which a worker sent nothing, before it went on.
type quietTime struct {
	worker   string
	from, to time.Time
}

// setFull lets all workers of the plain service but one refuse requests, none of them if it is empty.
func (w *world) setFull(except string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.allFullBut = except
}

// isFull reports whether a worker is full. w.mu must be held.
func (w *world) isFull(id string) bool {
	plain := slices.ContainsFunc(w.workers, func(k *worker) bool { return k.ID == id && k.service == plainService })
	return plain && w.allFullBut != "" && w.allFullBut != id
}

// busiest returns the present worker that has most open requests with a prefix, or nil if there is none.
func (w *world) busiest(prefix string) (best *worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	open := map[string]int{}
	for _, r := range w.history.runs {
		if q := w.history.requests[r.id]; strings.HasPrefix(r.id, prefix) && !r.refused && q != nil && q.ended.IsZero() {
			open[r.worker]++
		}
	}
	for _, k := range w.workers {
		if k.service == plainService && (best == nil || open[k.ID] > open[best.ID]) {
			best = k
		}
	}
	return best
}

// sendPaced sends paced streams one after another on a kept connection.
func (w *world) sendPaced(g *gateway, name string) {
	ctx := context.Background()
	c := &keptCaller{world: w, gateway: g.index, random: rand.New(rand.NewPCG(hash(name), 0))}
	for n := range pacedChain {
		if !c.connect(ctx) {
			return
		}
		id := fmt.Sprint(pacedPrefix, "-", name, "-", n)
		c.exchange(ctx, &request{
			id: id, path: "/paced/" + id, key: "key-0", body: id, want: wholeStream(),
			gateway: g.index, instance: g.currentInstance(), raw: true, kept: c.used,
		})
	}
	if c.conn != nil {
		c.close()
	}
}

// cutBesideSilence finds streams that broke off while or after a worker that had them was silent and went on,
// other than during a stop.
func (h *history) cutBesideSilence() []string {
	if len(h.quiet) == 0 {
		return nil
	}
	workers := map[string][]string{}
	for _, r := range h.runs {
		if !r.refused && strings.HasPrefix(r.id, pacedPrefix) {
			workers[r.id] = append(workers[r.id], r.worker)
		}
	}
	return h.eachEnded(func(q *request) string {
		if q.complete || q.status != 0 && !success(q) || !h.mayNotBeCut(q) || h.besideStop(q) {
			return ""
		}
		for _, s := range h.quiet {
			if slices.Contains(workers[q.id], s.worker) && q.sent.Before(s.to) && q.ended.After(s.from) {
				return fmt.Sprintf("LOST, cut off %s after its worker %s fell silent, which went on after %s", q.ended.Sub(s.from), s.worker, s.to.Sub(s.from))
			}
		}
		return ""
	})
}
