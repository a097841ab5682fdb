package soak

import (
	"fmt"
	"slices"
	"time"
)

// The bounds that the checks apply. The gateways' settings are generated from the same constants.
const (
	keyFreshness         = 5 * time.Second        // from a key's revocation until no request with it may run
	maxDrainDelay        = 2 * time.Second        // from a worker's announcement that it leaves until it may get no new requests
	maxApplyDelay        = 2 * time.Second        // from the write of a configuration change until it has to be in force
	routeRevertTolerance = 250 * time.Millisecond // from a route's first success until a 404 is a violation
	settleTime           = 3 * time.Second        // after a fault, during which bounds in time are not checked
	stopGrace            = 4 * time.Second        // bounds a planned stop
	stopLinger           = time.Second            // from the start of a stop until the gateway accepts no connections
	retryRatio           = 0.2
	retrySlack           = 16
	retryWindow          = 10 * time.Second
)

// request is a caller's request and its answer.
type request struct {
	id, path, key, body string
	gateway, instance   int // gateway that it was sent to, and the instance of its process
	sent, ended         time.Time
	status              int // 0 if no answer came
	signed, complete    bool
	answer, want        string // received body, and the body that a worker would have sent
	err                 string
	retryAfter          bool      // the answer has the header
	raw, kept           bool      // sent on a connection of its own, and after another request on it
	lastByte            time.Time // when the last byte of a raw request was sent, zero if it was not
	promptTokens        int       // 0 if it states none
	parts               string    // list of its prompt's parts, empty if it has none
	atMostOnce          bool      // it must not run twice
	probedRoute         string    // path prefix of the route that it tests; empty if none
}

// run is the arrival of a request at a worker.
type run struct {
	id, worker, path, body, organisation string
	at                                   time.Time
	refused, keyForwarded                bool
}

// span is a period in which a fault was in effect.
type span struct {
	kind     kind
	gateway  int // index of the gateway that the step selects, also if the fault is done to something else
	from, to time.Time
}

// history is everything that callers and workers observed.
type history struct {
	requests     map[string]*request
	runs         []run
	spans        []span
	revoked      map[string]time.Time // by key
	leavingSince map[string]time.Time // by worker
	added        map[string]time.Time // by path prefix of the route
	received     []receivedSignal     // that workers sent to gateways in answers
	goneSince    map[string]time.Time // by worker, of those whose entry went without a word
	configs      []time.Time          // when a configuration was written
	reloads      []reload
	stops        []*plannedStop
	ownEnds      []ownEnd
	quiet        []quietTime
	linkFaults   map[string][]span // by worker
	workerEnds   []workerEnd
}

func newHistory() *history {
	return &history{requests: map[string]*request{}, revoked: map[string]time.Time{}, leavingSince: map[string]time.Time{}, added: map[string]time.Time{}, goneSince: map[string]time.Time{}, linkFaults: map[string][]span{}}
}

// undisturbed reports whether no unplanned fault was in effect between the two times or less than
// settleTime before.
func (h *history) undisturbed(from, to time.Time) bool {
	return !slices.ContainsFunc(h.spans, func(s span) bool {
		return !s.kind.planned() && s.from.Before(to) && s.to.Add(settleTime).After(from)
	})
}

// check returns the violations that it finds, one line each.
func (h *history) check() (bs []string) {
	for _, c := range []func() []string{h.wrongAnswers, h.repeatedRuns, h.ranAfterRefusal, h.unrequestedRuns, h.ranWithRevokedKey, h.ranWhileDraining, h.revertedRoutes, h.lateRoutes, h.cutByPlannedStop, h.retryBudget, h.harmfulForwarded, h.runsAtUnlistedWorkers, h.ranAfterLeaving, h.ranDuringRetryDelay, h.overLimit, h.longWithoutEnd, h.cutBesideWork, h.cutInStops, h.badEnds, h.endedUnasked, h.ranAfterEntryWent, h.cutBesideSilence} {
		bs = append(bs, c()...)
	}
	return bs
}

// eachEnded calls a check for each request that has ended.
func (h *history) eachEnded(c func(q *request) string) (bs []string) {
	for _, q := range h.requests {
		if q.ended.IsZero() {
			continue
		}
		if b := c(q); b != "" {
			bs = append(bs, fmt.Sprintf("%s: request %s for %s at gateway %d, sent %s, status %d, %s",
				b, q.id, q.path, q.gateway, q.sent.Format("05.000"), q.status, q.err))
		}
	}
	slices.Sort(bs)
	return bs
}

func success(q *request) bool {
	return q.status >= 200 && q.status < 300
}

// wrongAnswers finds answers of another request, and incomplete answers that look complete or have
// a wrong beginning.
func (h *history) wrongAnswers() []string {
	return h.eachEnded(func(q *request) string {
		switch {
		case success(q) && !q.signed:
			return "MIXED, no worker's signature"
		case success(q) && q.complete && q.answer != q.want:
			return fmt.Sprintf("MIXED, got %q", q.answer)
		case success(q) && !q.complete && len(q.answer) <= len(q.want) && q.answer != q.want[:len(q.answer)]:
			return fmt.Sprintf("ORDER, got %q", q.answer)
		}
		return ""
	})
}

// runCounts returns how often each request ran.
func (h *history) runCounts() map[string]int {
	n := map[string]int{}
	for _, r := range h.runs {
		if !r.refused {
			n[r.id]++
		}
	}
	return n
}

func (h *history) repeatedRuns() []string {
	n := h.runCounts()
	return h.eachEnded(func(q *request) string {
		if q.atMostOnce && n[q.id] > 1 {
			return fmt.Sprintf("TWICE, ran %d times", n[q.id])
		}
		return ""
	})
}

// ranAfterRefusal finds requests that ran although their answer says that they did not.
func (h *history) ranAfterRefusal() []string {
	n := h.runCounts()
	return h.eachEnded(func(q *request) string {
		if q.atMostOnce && n[q.id] > 0 && slices.Contains(statusesNotRun, q.status) {
			return "REFUSED, yet it ran"
		}
		return ""
	})
}

// eachRun calls a check for each run that was not refused.
func (h *history) eachRun(c func(r run, q *request) string) (bs []string) {
	for _, r := range h.runs {
		if r.refused {
			continue
		}
		if b := c(r, h.requests[r.id]); b != "" {
			bs = append(bs, fmt.Sprintf("%s: request %s at worker %s, %s", b, r.id, r.worker, r.at.Format("05.000")))
		}
	}
	return bs
}

// unrequestedRuns finds runs that no caller requested in this form.
func (h *history) unrequestedRuns() []string {
	return h.eachRun(func(r run, q *request) string {
		switch {
		case q == nil:
			return "UNASKED, no caller sent it"
		case r.path != q.path || r.body != q.body:
			return fmt.Sprintf("UNASKED, changed to %s %q", r.path, r.body)
		case r.organisation != "o" || r.keyForwarded:
			return fmt.Sprintf("UNASKED, organisation %q, key handed on: %t", r.organisation, r.keyForwarded)
		}
		return ""
	})
}

func (h *history) ranWithRevokedKey() []string {
	return h.eachRun(func(_ run, q *request) string {
		if q == nil {
			return ""
		}
		if at, ok := h.revoked[q.key]; ok && q.sent.After(at.Add(keyFreshness)) {
			return fmt.Sprintf("CONFIG, key revoked %s before it was sent", q.sent.Sub(at))
		}
		return ""
	})
}

func (h *history) ranWhileDraining() []string {
	return h.eachRun(func(r run, _ *request) string {
		at, ok := h.leavingSince[r.worker]
		if ok && r.at.After(at.Add(maxDrainDelay)) && h.undisturbed(at, r.at) {
			return fmt.Sprintf("DRAIN, %s after it began to leave", r.at.Sub(at))
		}
		return ""
	})
}

// revertedRoutes finds probes that a gateway refused although the same instance of it had served
// the route before.
func (h *history) revertedRoutes() []string {
	type place struct {
		gateway, instance int
		path              string
	}
	first := map[place]time.Time{}
	for _, q := range h.requests {
		p := place{q.gateway, q.instance, q.probedRoute}
		if t, ok := first[p]; q.probedRoute != "" && success(q) && (!ok || q.ended.Before(t)) {
			first[p] = q.ended
		}
	}
	return h.eachEnded(func(q *request) string {
		t, ok := first[place{q.gateway, q.instance, q.probedRoute}]
		if q.probedRoute != "" && ok && q.status == 404 && q.sent.After(t.Add(routeRevertTolerance)) {
			return "CONFIG, it has gone back"
		}
		return ""
	})
}

// lateRoutes finds probes of a route that is still not in force maxApplyDelay after it was written.
func (h *history) lateRoutes() []string {
	return h.eachEnded(func(q *request) string {
		at, ok := h.added[q.probedRoute]
		if q.probedRoute != "" && ok && q.status == 404 && q.sent.After(at.Add(maxApplyDelay)) && h.undisturbed(at, q.ended) {
			return fmt.Sprintf("CONFIG, not in force %s after it was written", q.sent.Sub(at))
		}
		return ""
	})
}

// cutByPlannedStop finds requests whose connection a planned stop broke.
func (h *history) cutByPlannedStop() []string {
	return h.eachEnded(func(q *request) string {
		for _, s := range h.spans {
			stopped := s.kind == stopGateway && s.gateway == q.gateway && q.ended.After(s.from) && q.sent.Before(s.to) && q.ended.Before(s.from.Add(stopGrace))
			if stopped && q.status == 0 && q.err != "" && !isConnectionRefused(q.err) && h.undisturbed(q.sent, q.ended) && h.runCounts()[q.id] > 0 {
				return "LOST, a planned stop cut it off"
			}
		}
		return ""
	})
}

// retryBudget finds windows with more repeated runs than the retry budget allows.
func (h *history) retryBudget() (bs []string) {
	rs := slices.Clone(h.runs)
	slices.SortFunc(rs, func(a, b run) int { return a.at.Compare(b.at) })
	seen := map[string]bool{}
	repeat := make([]bool, len(rs))
	for i, r := range rs {
		repeat[i] = seen[r.id]
		seen[r.id] = true
	}
	for i, from := 0, 0; i < len(rs); i++ {
		for rs[i].at.Sub(rs[from].at) > retryWindow {
			from++
		}
		repeats, sent := 0, 0
		for _, x := range repeat[from : i+1] {
			if x {
				repeats++
			}
		}
		for _, q := range h.requests {
			if q.sent.After(rs[from].at.Add(-retryWindow)) && q.sent.Before(rs[i].at) {
				sent++
			}
		}
		if float64(repeats) > retryRatio*float64(sent)+retrySlack {
			return []string{fmt.Sprintf("BUDGET, %d repeats within %s, %d requests", repeats, retryWindow, sent)}
		}
		i += 9 // checking every tenth window is enough to find an excess
	}
	return nil
}
