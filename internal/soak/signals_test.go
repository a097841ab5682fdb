package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/hollowgrade/hollowgrade/platform/platformtest"
)

// The bounds on the requests that may reach a worker whose answers carry a signal.
const (
	limitWindow         = 4 * time.Second
	limitFactor         = 1.5
	limitBurst          = 5
	limitSettleTime     = settleTime             // from the first announcement of a limit until it is checked
	signalApplyTime     = 500 * time.Millisecond // from the receipt of a signal until the gateway has to follow it
	maxDuringRetryDelay = 2
	retryDelay          = 2500 * time.Millisecond // sent in Retry-After
	signalExtraTime     = 6 * time.Second         // added to the duration of the step
)

// signal is what a worker announces in the headers of its answers.
type signal struct {
	limit      float64 // requests a second, 0 if it announces none
	leaving    bool
	retryLater bool // it refuses requests with a Retry-After header
}

// receivedSignal is a signal that a gateway received in an answer.
type receivedSignal struct {
	signal
	worker            string
	gateway, instance int
	at                time.Time
}

// announce lets a worker send the signal of a step for the duration of the step.
func (w *world) announce(k *worker, s step) {
	g := signal{leaving: s.kind == leaveInAnswers, retryLater: s.kind == askForRest}
	if s.kind == nameLimit {
		g.limit = 0.5 + rand.New(rand.NewPCG(uint64(s.target), 2)).Float64()*3
	}
	if g.leaving {
		w.replace(k)
	}
	w.setSignal(k, g)
	time.Sleep(s.duration + signalExtraTime)
	if !g.leaving {
		w.setSignal(k, signal{})
		return
	}
	w.store.Put("keyed.servers", k.ID, nil)
	time.Sleep(stopGrace) // its requests finish
	w.end(k)
}

func (w *world) setSignal(k *worker, g signal) {
	h := http.Header{}
	if g.limit > 0 {
		h.Set("Server-Limit", strconv.FormatFloat(g.limit, 'f', 3, 64))
	}
	if g.leaving {
		h.Set("Server-Leaving", "1")
	}
	if g.retryLater {
		h.Set("Retry-After", fmt.Sprint(retryDelay.Seconds()))
	}
	k.SetHeaders(h)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.signals[k.ID] = g
}

// recordSignal wraps a behaviour, and records the signal that its answer carries to the gateway.
func (w *world) recordSignal(b platformtest.Behaviour) platformtest.Behaviour {
	return func(k *platformtest.Worker, c net.Conn, r *http.Request) {
		w.mu.Lock()
		g, q := w.signals[k.ID], w.history.requests[r.Header.Get("Attempt-Id")]
		if g != (signal{}) && q != nil {
			w.history.received = append(w.history.received, receivedSignal{g, k.ID, q.gateway, q.instance, time.Now()})
		}
		w.mu.Unlock()
		b(k, c, r)
	}
}

// linkFaults are the faults that excuse a gateway from following a signal: they stop it or disturb
// its links to workers and peers. Faults of the store excuse nothing, because a signal comes in an
// answer.
var linkFaults = []kind{
	killGateway, pauseGateway, suspendGateway, stopGateway, silencePeers, resetPeers, delayPeers,
	delayWorker, resetWorker, silenceWorker, deafenWorker, crashWorker, harmfulRequest,
	signalSeries, pausedSeries, changeGrace, squeezeGateway, isolateGateway, stopUnderStreams, silenceSound,
}

// connected reports whether no fault of linkFaults was in effect between the two times or less than
// settleTime before.
func (h *history) connected(from, to time.Time) bool {
	return !slices.ContainsFunc(h.spans, func(s span) bool {
		return slices.Contains(linkFaults, s.kind) && s.from.Before(to) && s.to.Add(settleTime).After(from)
	})
}

// eachRunAfterSignal calls c for each run at a worker that the same instance of a gateway sent
// after it had received a signal of the worker.
func (h *history) eachRunAfterSignal(of func(w receivedSignal) bool, c func(w receivedSignal, r run)) {
	for _, w := range h.received {
		if !of(w) {
			continue
		}
		for _, r := range h.runs {
			q := h.requests[r.id]
			if r.worker == w.worker && q != nil && q.gateway == w.gateway && q.instance == w.instance && r.at.After(w.at) {
				c(w, r)
			}
		}
	}
}

// ranAfterLeaving finds requests that reached a worker more than maxDrainDelay after it had
// announced to their gateway that it leaves.
func (h *history) ranAfterLeaving() (bs []string) {
	h.eachRunAfterSignal(func(w receivedSignal) bool { return w.leaving }, func(w receivedSignal, r run) {
		if r.at.Sub(w.at) > maxDrainDelay && h.connected(w.at, r.at) && len(bs) == 0 {
			bs = append(bs, fmt.Sprintf("DRAIN, request %s at worker %s %s after it told gateway %d that it leaves", r.id, r.worker, r.at.Sub(w.at), w.gateway))
		}
	})
	return bs
}

// ranDuringRetryDelay finds gateways that sent too many requests to a worker within the retry delay
// that it had sent.
func (h *history) ranDuringRetryDelay() (bs []string) {
	n := map[receivedSignal]int{}
	h.eachRunAfterSignal(func(w receivedSignal) bool { return w.retryLater }, func(w receivedSignal, r run) {
		if d := r.at.Sub(w.at); d > signalApplyTime && d < retryDelay && h.connected(w.at, r.at) {
			if n[w]++; n[w] > maxDuringRetryDelay && len(bs) == 0 {
				bs = append(bs, fmt.Sprintf("BUDGET, worker %s had asked gateway %d for rest and got %d requests", w.worker, w.gateway, n[w]))
			}
		}
	})
	return bs
}

// announcedLimit is the limit that a worker announced, and the requests that reached it up to its
// last announcement.
type announcedLimit struct {
	limit         float64 // the largest announced, requests a second
	first, last   time.Time
	firstReceived map[int]time.Time // by gateway
	arrivals      []arrival
}

// arrival is a request that reached a worker.
type arrival struct {
	at      time.Time
	gateway int
}

// announcedLimits returns the limits by worker.
func (h *history) announcedLimits() map[string]*announcedLimit {
	ls := map[string]*announcedLimit{}
	for _, w := range h.received {
		if w.limit == 0 {
			continue
		}
		l := ls[w.worker]
		if l == nil {
			l = &announcedLimit{first: w.at, firstReceived: map[int]time.Time{}}
			ls[w.worker] = l
		}
		if _, ok := l.firstReceived[w.gateway]; !ok {
			l.firstReceived[w.gateway] = w.at
		}
		l.limit, l.last = max(l.limit, w.limit), w.at
	}
	for _, r := range h.runs {
		l, q := ls[r.worker], h.requests[r.id]
		if l != nil && q != nil && !r.at.After(l.last) {
			l.arrivals = append(l.arrivals, arrival{r.at, q.gateway})
		}
	}
	return ls
}

// countInWindow counts the requests that reached the worker in the window that ends at a time, from
// gateways that had received the limit by then.
func (l *announcedLimit) countInWindow(end time.Time) (n int) {
	for _, a := range l.arrivals {
		first, ok := l.firstReceived[a.gateway]
		if d := end.Sub(a.at); ok && end.Sub(first) >= signalApplyTime && d >= 0 && d < limitWindow {
			n++
		}
	}
	return n
}

// overLimit finds workers that got more requests than their announced limit allows.
func (h *history) overLimit() (bs []string) {
	for k, l := range h.announcedLimits() {
		for _, a := range l.arrivals {
			if a.at.Sub(l.first) < limitSettleTime || !h.connected(l.first, a.at) {
				continue
			}
			if n := l.countInWindow(a.at); float64(n) > limitFactor*l.limit*limitWindow.Seconds()+limitBurst {
				bs = append(bs, fmt.Sprintf("LIMIT, worker %s named %.2f a second and got %d requests in %s", k, l.limit, n, limitWindow))
				break
			}
		}
	}
	return bs
}
