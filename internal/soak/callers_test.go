package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/hollowgrade/hollowgrade/platform/platformtest"
)

const (
	requestTimeout   = 3500 * time.Millisecond
	callerGrace      = 2 * time.Second       // for which callers stay beyond it
	meanCallInterval = 25 * time.Millisecond // average pause between two requests of a caller
)

func hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, s) // never fails
	return h.Sum64()
}

// isConnectionRefused reports whether an error means that no process listened at the address.
func isConnectionRefused(err string) bool {
	return strings.Contains(err, "connection refused") || strings.Contains(err, "i/o timeout")
}

// runCaller sends random requests until ctx ends. Each caller reuses its connections.
func (w *world) runCaller(ctx context.Context, seed uint64, caller int) {
	r := rand.New(rand.NewPCG(seed, uint64(caller)+1))
	transports := make([]*http.Transport, len(w.gateways))
	for i := range transports {
		transports[i] = &http.Transport{}
		defer transports[i].CloseIdleConnections()
	}
	for n := 0; ctx.Err() == nil; n++ {
		g := r.IntN(len(w.gateways))
		q := w.newRequest(r, seed, caller, n, g)
		w.send(transports[g], q)
		time.Sleep(time.Duration(r.Int64N(int64(2 * meanCallInterval))))
	}
}

// newRequest draws a random request and records it before it is sent.
func (w *world) newRequest(r *rand.Rand, seed uint64, caller, n, g int) *request {
	w.mu.Lock()
	defer w.mu.Unlock()
	kind := []string{"once", "again", "stream", "probe"}[r.IntN(4)]
	q := &request{
		id:         fmt.Sprintf("%s-%d-%d-%d", kind, seed, caller, n),
		key:        fmt.Sprint("key-", r.IntN(totalKeys)),
		gateway:    g,
		instance:   w.gateways[g].currentInstance(),
		atMostOnce: kind == "once",
		sent:       time.Now(),
	}
	q.path = "/" + kind + "/" + q.id
	q.body = strings.Repeat(q.id+" ", r.IntN(200))
	q.want = "answer to " + q.id
	switch kind {
	case "stream":
		q.want = wholeStream()
	case "probe":
		if len(w.routes) == 0 {
			q.path = "/again/" + q.id
			break
		}
		q.probedRoute = w.routes[len(w.routes)-1-r.IntN(min(len(w.routes), 3))]
		q.path = q.probedRoute + q.id
		q.key = "key-0"
	}
	w.history.requests[q.id] = q
	return q
}

// wholeStream returns the events of a stream.
func wholeStream() (s string) {
	for i := range streamEvents {
		s += platformtest.Event(i + 1)
	}
	return s
}

// send sends a request and records its answer or error.
func (w *world) send(t *http.Transport, q *request) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout+callerGrace)
	defer cancel()
	h, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.gateways[q.gateway].callersAddress+q.path, strings.NewReader(q.body))
	if err != nil {
		w.t.Errorf("request %s: %v", q.id, err)
		return
	}
	h.Host = "h"
	h.GetBody = nil // keeps the transport from retrying the request by itself
	h.Header.Set("Attempt-Id", q.id)
	h.Header.Set("Deadline-Ms", fmt.Sprint(requestTimeout.Milliseconds()))
	h.Header.Set("Authorization", "Bearer "+q.key)
	if q.promptTokens > 0 {
		h.Header.Set("Token-Usage", fmt.Sprint(q.promptTokens, ",", streamEvents))
	}
	if q.parts != "" {
		h.Header.Set("Prompt-Prefix", q.parts)
	}
	a, err := t.RoundTrip(h)
	body := []byte(nil)
	if err == nil {
		body, err = io.ReadAll(a.Body)
		_ = a.Body.Close()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	q.ended, q.complete, q.answer = time.Now(), err == nil, string(body)
	if a != nil {
		q.status, q.signed = a.StatusCode, a.Header.Get("Response-Seal") != ""
		q.retryAfter = a.Header.Get("Retry-After") != ""
	}
	if err != nil {
		q.err = err.Error()
	}
}

// sendProbe sends one request that is safe to repeat and reports whether it was answered in full.
func (w *world) sendProbe(g int, id string) bool {
	id = strings.ReplaceAll(id, " ", "-")
	q := &request{id: id, path: "/again/" + id, key: "key-0", gateway: g, instance: w.gateways[g].currentInstance(), want: "answer to " + id, sent: time.Now()}
	w.mu.Lock()
	w.history.requests[id] = q
	w.mu.Unlock()
	t := &http.Transport{DisableKeepAlives: true}
	w.send(t, q)
	w.mu.Lock()
	defer w.mu.Unlock()
	return success(q) && q.complete
}
