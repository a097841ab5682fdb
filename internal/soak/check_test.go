package soak

import (
	"fmt"
	"slices"
	"time"
)

// The bounds that gateways are held to; the settings of the processes have the
// same.
const (
	keyFreshness         = 5 * time.Second // a key admits nothing this long after it was revoked
	maxDrainDelay        = 2 * time.Second // a worker gets nothing new this long after it said that it leaves
	maxApplyDelay        = 2 * time.Second // a change is in force this long after it was written
	routeRevertTolerance = 250 * time.Millisecond
	settleTime           = 3 * time.Second // what is bounded in time holds this long after a fault
	stopGrace            = 4 * time.Second // of a planned stop
	retryRatio           = 0.2
	retrySlack           = 16
	retryWindow          = 10 * time.Second
)

// request is what a caller sent and got.
type request struct {
	id, path, key, body string
	gateway, instance   int // that it was sent to
	sent, ended         time.Time
	status              int // 0 without an answer
	signed, complete    bool
	answer, want        string // body that came, and what a worker would have sent
	err                 string
	atMostOnce          bool // may run once at the most
	probedRoute         string
}

// run is what a worker saw.
type run struct {
	id, worker, path, body, organisation string
	at                                   time.Time
	refused, key                         bool
}

// span is a time in which something was disturbed.
type span struct {
	kind     kind
	gateway  int // that it was done to, -1 if it was another thing
	from, to time.Time
}

// history is all that was seen.
type history struct {
	requests     map[string]*request
	runs         []run
	spans        []span
	revoked      map[string]time.Time // keys
	leavingSince map[string]time.Time // workers
	added        map[string]time.Time // paths of routes
	received     []receivedSignal     // that workers told gateways in answers
}

func newHistory() *history {
	return &history{requests: map[string]*request{}, revoked: map[string]time.Time{}, leavingSince: map[string]time.Time{}, added: map[string]time.Time{}}
}

// undisturbed reports whether nothing was disturbed shortly before or within a time.
func (h *history) undisturbed(from, to time.Time) bool {
	return !slices.ContainsFunc(h.spans, func(s span) bool {
		return !s.kind.planned() && s.from.Before(to) && s.to.Add(settleTime).After(from)
	})
}

// check returns the promises that were broken, one line each.
func (h *history) check() (bs []string) {
	for _, c := range []func() []string{h.wrongAnswers, h.repeatedRuns, h.ranAfterRefusal, h.unrequestedRuns, h.ranWithRevokedKey, h.ranWhileDraining, h.revertedRoutes, h.lateRoutes, h.cutByPlannedStop, h.retryBudget, h.harmfulForwarded, h.runsAtUnlistedWorkers, h.ranAfterLeaving, h.ranDuringRetryDelay, h.overLimit} {
		bs = append(bs, c()...)
	}
	return bs
}

// eachEnded calls a check for eachEnded request that has ended.
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

// wrongAnswers finds answers that are another request's, or not whole and look it.
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

// runCounts returns how often each request runCounts.
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

// ranAfterRefusal finds requests that were called not run and ran.
func (h *history) ranAfterRefusal() []string {
	n := h.runCounts()
	return h.eachEnded(func(q *request) string {
		if q.atMostOnce && n[q.id] > 0 && slices.Contains([]int{408, 421, 429, 503}, q.status) {
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

// unrequestedRuns finds runs that nobody asked for so.
func (h *history) unrequestedRuns() []string {
	return h.eachRun(func(r run, q *request) string {
		switch {
		case q == nil:
			return "UNASKED, no caller sent it"
		case r.path != q.path || r.body != q.body:
			return fmt.Sprintf("UNASKED, changed to %s %q", r.path, r.body)
		case r.organisation != "o" || r.key:
			return fmt.Sprintf("UNASKED, organisation %q, key handed on: %t", r.organisation, r.key)
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

// revertedRoutes finds probes that a gateway refused although it had served the same route
// before in the same life.
func (h *history) revertedRoutes() []string {
	type place struct {
		gateway, life int
		path          string
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

// lateRoutes finds probes of a route that should be in force and is not.
func (h *history) lateRoutes() []string {
	return h.eachEnded(func(q *request) string {
		at, ok := h.added[q.probedRoute]
		if q.probedRoute != "" && ok && q.status == 404 && q.sent.After(at.Add(maxApplyDelay)) && h.undisturbed(at, q.ended) {
			return fmt.Sprintf("CONFIG, not in force %s after it was written", q.sent.Sub(at))
		}
		return ""
	})
}

// cutByPlannedStop finds requests that a planned stop cutByPlannedStop off.
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

// retryBudget finds windows with more repeats than are allowed.
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
		i += 9 // each tenth window shows it as well
	}
	return nil
}
