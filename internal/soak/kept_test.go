package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	keptCallersPerGateway = 16
	slowPrefix            = "slow" // of the ids of requests for slow streams; one caller per gateway sends these
	slowPause             = 400 * time.Millisecond
	slowTimeout           = 8 * time.Second
	maxSlowRest           = time.Second
	slowRoute             = `{"name":"/slow/","host":"h","pathPrefix":"/slow/","kind":"streaming","timeoutMs":8000,"goalLatencyMs":1000,"gap_aim_ms":800,"service":"s","maxAttempts":2}`

	redialPause    = 100 * time.Millisecond
	maxChangeRest  = 700 * time.Millisecond // for which a caller may rest on after a shorter limit was written
	closedPollTime = time.Millisecond

	// A connection that ends so soon after a request was sent may have been closed before the gateway got it.
	crossTime = 200 * time.Millisecond
	// cutFactor is how much more often a gateway may break off requests beside changes than at other times.
	cutFactor       = 3
	maxCutsAnyTime  = 3
	deadlineShare   = 0.7 // of the time of a request, after which its end says nothing of a change
	configWorkTime  = maxApplyDelay + applyMargin
	reloadWorkTime  = maxApplyDelay
	restOfIdleLimit = 5 // callers rest for four fifths of the limit at most
	keptBodyRepeats = 200
	workerEndTime   = time.Second // before the end of a request, in which the end of its worker is a reason for it
)

// keptCaller sends requests to one gateway on one connection after another, and lets them rest between two
// requests.
type keptCaller struct {
	*world
	gateway int
	slow    bool
	random  *rand.Rand
	conn    net.Conn
	reader  *bufio.Reader
	used    bool // whether the connection had a request
}

// runKeptCaller sends requests until ctx ends.
func (w *world) runKeptCaller(ctx context.Context, seed uint64, caller int) {
	c := &keptCaller{
		world: w, gateway: caller % len(w.gateways), slow: caller < len(w.gateways),
		random: rand.New(rand.NewPCG(seed, uint64(*callers+2+caller))),
	}
	for n := 0; ctx.Err() == nil; n++ {
		if !c.connect(ctx) {
			time.Sleep(redialPause)
			continue
		}
		open := c.conn
		stop := context.AfterFunc(ctx, func() { _ = open.Close() })
		c.exchange(ctx, c.newKept(fmt.Sprintf("%d-kept%d-%d", seed, caller, n)))
		c.rest(ctx)
		stop()
	}
}

// connect connects to the gateway unless the connection is open.
func (c *keptCaller) connect(ctx context.Context) bool {
	if c.conn != nil {
		_ = c.conn.SetReadDeadline(time.Now().Add(closedPollTime))
		if _, err := c.reader.Peek(1); isTimeout(err) {
			return true
		}
		c.close()
	}
	d := net.Dialer{Timeout: time.Second}
	n, err := d.DialContext(ctx, "tcp", c.gateways[c.gateway].callersAddress)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.used = n, bufio.NewReader(n), false
	return true
}

func (c *keptCaller) close() {
	_ = c.conn.Close()
	c.conn = nil
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// newKept draws a request.
func (c *keptCaller) newKept(name string) *request {
	path := []string{"once", "again"}[c.random.IntN(2)]
	if c.slow {
		path = slowPrefix
	}
	id := path + "-" + name
	q := &request{
		id: id, path: "/" + path + "/" + id, key: "key-0", body: strings.Repeat(id+" ", c.random.IntN(keptBodyRepeats)), want: "answer to " + id,
		gateway: c.gateway, instance: c.gateways[c.gateway].currentInstance(), atMostOnce: path != "again", raw: true, kept: c.used,
	}
	if c.slow {
		q.want = wholeStream()
	}
	return q
}

// timeout returns how long the caller waits for an answer.
func (q *request) timeout() time.Duration {
	if strings.HasPrefix(q.id, slowPrefix) {
		return slowTimeout
	}
	if strings.HasPrefix(q.id, pacedPrefix) {
		return pacedTimeout
	}
	return requestTimeout
}

// exchange sends a request and records its answer or error, unless ctx has ended.
func (c *keptCaller) exchange(ctx context.Context, q *request) {
	q.sent = time.Now()
	c.mu.Lock()
	c.history.requests[q.id] = q
	c.mu.Unlock()
	_ = c.conn.SetDeadline(q.sent.Add(q.timeout() + callerGrace))
	_, err := fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		q.path, q.id, q.timeout().Milliseconds(), q.key, len(q.body), q.body)
	last := time.Now()
	if err != nil {
		last = time.Time{}
	}
	a, body := (*http.Response)(nil), []byte(nil)
	if err == nil {
		a, err = http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	}
	if err == nil {
		body, err = io.ReadAll(a.Body)
	}
	end := time.Now()
	c.used = true
	if err != nil || a.Close {
		c.close()
	}
	if ctx.Err() != nil {
		return // its own connection may be closed
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	q.lastByte, q.ended, q.complete, q.answer = last, end, err == nil, string(body)
	if a != nil {
		q.status, q.signed, q.retryAfter = a.StatusCode, a.Header.Get("Response-Seal") != "", a.Header.Get("Retry-After") != ""
	}
	if err != nil {
		q.err = err.Error()
	}
}

// rest waits for up to four fifths of the limit of idle connections. When a shorter one is written meanwhile,
// it ends within maxChangeRest, before the caller knows of it.
func (c *keptCaller) rest(ctx context.Context) {
	limit, changed := c.idleLimit()
	most := limit - limit/restOfIdleLimit
	if c.slow {
		most = min(most, maxSlowRest)
	}
	end := time.Now().Add(time.Duration(c.random.Int64N(int64(most))))
	for d := time.Until(end); d > 0; d = time.Until(end) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(d):
		case <-changed:
			now := time.Duration(0)
			if now, changed = c.idleLimit(); now < limit {
				limit = now
				if t := time.Now().Add(time.Duration(c.random.Int64N(int64(maxChangeRest)))); t.Before(end) {
					end = t
				}
			}
		}
	}
}

// workerFaults are the faults by which workers break off answers.
var workerFaults = []kind{delayWorker, resetWorker, silenceWorker, deafenWorker, crashWorker, drainWorker, leaveInAnswers, harmfulRequest, isolateGateway}

// workerEnd is the end of a worker.
type workerEnd struct {
	worker string
	at     time.Time
}

// end ends a worker and its connections.
func (w *world) end(k *worker) {
	w.mu.Lock()
	w.history.workerEnds = append(w.history.workerEnds, workerEnd{k.ID, time.Now()})
	w.mu.Unlock()
	k.Close()
}

// workerEnded reports whether a worker ended under a request, just before that did.
func (h *history) workerEnded(q *request) bool {
	return slices.ContainsFunc(h.workerEnds, func(e workerEnd) bool {
		under := e.at.After(q.sent) && e.at.Before(q.ended) && q.ended.Before(e.at.Add(workerEndTime))
		return under && slices.ContainsFunc(h.runs, func(r run) bool { return r.id == q.id && r.worker == e.worker && !r.refused })
	})
}

// mayNotBeCut reports whether neither a fault of the request's gateway nor a worker that broke off its answer
// is a reason for the end of its connection.
func (h *history) mayNotBeCut(q *request) bool {
	if h.workerEnded(q) {
		return false
	}
	if !q.raw {
		return h.undisturbed(q.sent, q.ended)
	}
	broken := q.status != 0 && slices.ContainsFunc(h.spans, func(s span) bool {
		return slices.Contains(workerFaults, s.kind) && s.from.Before(q.ended) && s.to.Add(settleTime).After(q.sent)
	})
	return !broken && h.gatewayUndisturbed(q.gateway, q.sent, q.ended, kinds)
}

// broken reports whether a gateway took a request on a connection, and the connection ended without an answer.
// A request that crosses the end of its connection is not taken.
func (q *request) broken(runs int) bool {
	taken := runs > 0 || q.kept && !q.lastByte.IsZero() && q.ended.Sub(q.lastByte) > crossTime
	return q.raw && !q.complete && taken && !strings.Contains(q.err, "i/o timeout")
}

// besideReload reports whether a request was sent soon after a SIGHUP to its gateway and ended after it.
func (h *history) besideReload(q *request) bool {
	return slices.ContainsFunc(h.reloads, func(r reload) bool {
		return r.gateway == q.gateway && q.ended.After(r.at) && q.sent.Before(r.at.Add(reloadWorkTime))
	})
}

// besideStop reports whether a request ended during a stop of its gateway, for which see cutInStops.
func (h *history) besideStop(q *request) bool {
	return slices.ContainsFunc(h.stops, func(p *plannedStop) bool {
		return p.gateway == q.gateway && q.ended.After(p.from) && (p.ended.IsZero() || q.sent.Before(p.ended))
	})
}

// besideConfig reports whether a time is soon after the write of a configuration.
func (h *history) besideConfig(t time.Time) bool {
	return slices.ContainsFunc(h.configs, func(c time.Time) bool {
		return t.After(c) && t.Before(c.Add(configWorkTime))
	})
}

// configTime returns how long of the time between the first and the last request was beside a configuration,
// and how long was not.
func (h *history) configTime() (beside, other time.Duration) {
	const resolution = 100 * time.Millisecond
	var first, last time.Time
	for _, q := range h.requests {
		if first.IsZero() || q.sent.Before(first) {
			first = q.sent
		}
		if q.sent.After(last) {
			last = q.sent
		}
	}
	for t := first; t.Before(last); t = t.Add(resolution) {
		if h.besideConfig(t) {
			beside += resolution
		} else {
			other += resolution
		}
	}
	return beside, other
}

// cuts are the requests of one gateway that it took and that ended without an answer, other than by a stop or
// beside a SIGHUP.
type cuts struct {
	beside []string // beside a configuration
	other  int      // at other times
	passed []string // on kept connections, after they had reached a worker
}

// add adds a request that reached so many workers.
func (c *cuts) add(q *request, runs int, beside bool) {
	line := fmt.Sprintf("request %s, sent %s, on a kept connection: %t, %d runs, cut off %s after its last byte, %s",
		q.id, q.sent.Format("05.000"), q.kept, runs, q.ended.Sub(q.lastByte), q.err)
	if q.kept && runs > 0 {
		c.passed = append(c.passed, line)
	}
	switch {
	case !beside:
		c.other++
	case q.ended.Sub(q.sent).Seconds() < deadlineShare*q.timeout().Seconds():
		c.beside = append(c.beside, line)
	}
}

// cutBesideWork finds gateways that took requests and broke off their connections without an answer: any
// beside a SIGHUP, beside configurations if that happens more often than at other times, and more than a few
// on kept connections at any time if workers had them.
func (h *history) cutBesideWork() (bs []string) {
	runs, byGateway := h.runCounts(), map[int]*cuts{}
	bs = h.eachEnded(func(q *request) string {
		if !q.broken(runs[q.id]) || !h.mayNotBeCut(q) || h.besideStop(q) {
			return ""
		}
		if h.besideReload(q) {
			return "LOST, cut off beside a SIGHUP"
		}
		if byGateway[q.gateway] == nil {
			byGateway[q.gateway] = &cuts{}
		}
		byGateway[q.gateway].add(q, runs[q.id], h.besideConfig(q.ended))
		return ""
	})
	if len(byGateway) == 0 {
		return bs
	}
	beside, other := h.configTime()
	for g, c := range byGateway {
		moreOften := c.other == 0 || float64(len(c.beside))*other.Seconds() > cutFactor*float64(c.other)*beside.Seconds()
		switch {
		case len(c.beside) > 0 && moreOften:
			bs = append(bs, fmt.Sprintf("LOST, gateway %d beside configurations: %s", g, strings.Join(c.beside, "; ")))
		case len(c.passed) > maxCutsAnyTime:
			bs = append(bs, fmt.Sprintf("LOST, gateway %d, on kept connections: %s", g, strings.Join(c.passed, "; ")))
		}
	}
	return bs
}
