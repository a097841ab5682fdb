package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hollowgrade/hollowgrade/platform/platformtest"
)

const (
	plainService = "s"
	longService  = "long"
	longPrefix   = "long" // of the ids of requests with long prompts
	longEngines  = 2
	// Prompts take half of the goal or more on one engine, so they wait for their turn. At this rate
	// they ask for all the time of the engines.
	longPrefillRate        = 100_000 // tokens a second
	minLongPrompt, maxLong = 50_000, 70_000
	meanLongInterval       = 300 * time.Millisecond

	longRoute         = `{"name":"/long/","host":"h","pathPrefix":"/long/","kind":"streaming","timeoutMs":4000,"goalLatencyMs":1000,"service":"long","maxAttempts":2}`
	longServiceRecord = `{"name":"long","engine":{"slots":4,"kvCapacityTokens":450000,"stride":46,"step_ms":0.925,"per_seq_ms":0.5,"context_per_k":0.25,"read_per_s":100000,"pairs_per_m":0,"chunk":2048}}`
)

// runLongCaller sends requests with long prompts until ctx ends, and waits for their answers.
func (w *world) runLongCaller(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, uint64(*callers)+1))
	t := &http.Transport{DisableKeepAlives: true}
	var cs sync.WaitGroup
	defer cs.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		g := r.IntN(len(w.gateways))
		id := fmt.Sprint(longPrefix, "-", seed, "-", n)
		q := &request{
			id: id, path: "/long/" + id, body: id, key: "key-0", want: wholeStream(), atMostOnce: true, sent: time.Now(),
			gateway: g, instance: w.gateways[g].currentInstance(), promptTokens: minLongPrompt + r.IntN(maxLong-minLongPrompt),
		}
		w.mu.Lock()
		w.history.requests[id] = q
		w.mu.Unlock()
		cs.Go(func() { w.send(t, q) })
		time.Sleep(time.Duration(r.Int64N(int64(2 * meanLongInterval))))
	}
}

// isReportRequest reports whether a gateway asks an engine how slow it is, which is no call and runs
// nothing.
func isReportRequest(k *platformtest.Worker, r *http.Request) bool {
	return r.Method == http.MethodGet && r.URL.Path == "/v1/report" && r.Header.Get("Attempt-Id") == "" && r.Header.Get("Expect-Instance") == k.ID
}

// prefill waits until the engine and its helpers have prefilled a long prompt. An engine prefills one
// prompt after another.
func (w *world) prefill(k *platformtest.Worker, r *http.Request) {
	w.mu.Lock()
	q := w.history.requests[r.Header.Get("Attempt-Id")]
	if q == nil || q.promptTokens == 0 {
		w.mu.Unlock()
		return
	}
	engines, end := []string{k.ID}, time.Now()
	for _, x := range w.workers {
		if x.ID != k.ID && strings.Contains(r.Header.Get("Helpers"), x.proxy.address()) {
			engines = append(engines, x.ID)
		}
	}
	for _, id := range engines {
		end = slices.MaxFunc([]time.Time{end, w.engineBusy[id]}, time.Time.Compare)
	}
	end = end.Add(time.Duration(q.promptTokens) * time.Second / longPrefillRate / time.Duration(len(engines)))
	for _, id := range engines {
		w.engineBusy[id] = end
	}
	w.mu.Unlock()
	time.Sleep(min(time.Until(end), requestTimeout))
}

// gatewayHit reports whether one of the faults was done to a request's gateway before its end.
func (h *history) gatewayHit(q *request, kinds ...kind) bool {
	return slices.ContainsFunc(h.spans, func(s span) bool {
		return s.gateway == q.gateway && slices.Contains(kinds, s.kind) && s.from.Before(q.ended) && s.to.After(q.sent)
	})
}

// longWithoutEnd finds requests with long prompts that waited beyond their time, that ended without an
// answer though their gateway could give one, or that were refused without a time to come back.
func (h *history) longWithoutEnd() []string {
	return h.eachEnded(func(q *request) string {
		d := q.ended.Sub(q.sent)
		switch {
		case q.promptTokens == 0:
			return ""
		case d >= requestTimeout+callerGrace && !h.gatewayHit(q, pauseGateway, suspendGateway, pausedSeries):
			return fmt.Sprintf("WAIT, it ended after %s", d)
		case q.status == 0 && !h.mayBreak(q, d):
			return fmt.Sprintf("WAIT, no answer after %s", d)
		case q.status == 503 && !q.retryAfter:
			return "REFUSED, without Retry-After"
		}
		return ""
	})
}

// mayBreak reports whether a request may end without an answer after a time. A gateway that is
// stopped may reset connections that it has not accepted.
func (h *history) mayBreak(q *request, d time.Duration) bool {
	return isConnectionRefused(q.err) || h.gatewayHit(q, killGateway, pauseGateway, suspendGateway, pausedSeries) ||
		d < stopLinger && h.gatewayHit(q, stopGateway, signalSeries, changeGrace, stopUnderStreams, silenceSound)
}
