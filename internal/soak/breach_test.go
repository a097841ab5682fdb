package soak

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// at returns a time in a synthetic history.
func at(seconds float64) time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// addServed adds a request that ran once and was answered in full.
func addServed(h *history, id string, sent float64) *request {
	q := &request{
		id: id, path: "/once/" + id, key: "k", body: "b", sent: at(sent), ended: at(sent + 0.1), atMostOnce: true,
		status: 200, signed: true, complete: true, answer: "answer to " + id, want: "answer to " + id,
	}
	h.requests[id] = q
	h.runs = append(h.runs, run{id: id, worker: "w", path: q.path, body: q.body, organisation: "o", at: at(sent + 0.05)})
	return q
}

// makeLong gives a request a long prompt, a status, an end after some seconds and faults at its gateway.
func makeLong(h *history, q *request, status int, seconds float64, faults ...kind) {
	q.promptTokens, q.status, q.retryAfter, q.ended = minLongPrompt, status, status == 503, at(10+seconds)
	if status == 0 {
		q.complete, q.err = false, "EOF"
	}
	for _, k := range faults {
		h.spans = append(h.spans, span{kind: k, from: at(9), to: at(13)})
	}
}

// addHarmful adds a harmful request that reached workers first times in time, and late times after
// every gateway has to know it.
func addHarmful(h *history, first, late int) {
	addHarmfulRuns(h, harmfulPrefix, first, late)
}

// addHarmfulPart adds requests with a harmful part in the same way.
func addHarmfulPart(h *history, first, late int) {
	addHarmfulRuns(h, harmfulPartPrefix, first, late)
}

func addHarmfulRuns(h *history, prefix string, first, late int) {
	for i := range first + late {
		t := at(10)
		if i >= first {
			t = at(10).Add(crashDelay + settleTime + time.Second)
		}
		q := &request{id: fmt.Sprint(prefix, "-1-", i), path: "/again/" + prefix, body: prefix + "-1", sent: t, ended: t, status: 502}
		h.requests[q.id] = q
		h.runs = append(h.runs, run{id: q.id, worker: "w", path: q.path, body: q.body, organisation: "o", at: t})
	}
}

// addSignal adds a signal that the worker's answer carried to a gateway.
func addSignal(h *history, g signal, seconds float64) {
	h.received = append(h.received, receivedSignal{signal: g, worker: "w", at: at(seconds)})
}

// addArrivals adds a signal of the worker, n-1 requests that reach it every 0.1 s after the case's
// own request at 10.05 s, and a last announcement of its limit at 30 s.
func addArrivals(h *history, g signal, seconds float64, n int) {
	addSignal(h, g, seconds)
	for i := range n - 1 {
		addServed(h, fmt.Sprint("more", i), 10.1+float64(i)/10)
	}
	addSignal(h, signal{limit: g.limit}, 30)
}

// TestPlantedBreaches guards against a check that finds nothing, or too much: each case adds one
// violation, or one allowed deviation, to a history without violations.
func TestPlantedBreaches(t *testing.T) {
	for _, c := range []struct {
		name  string
		plant func(h *history, q *request)
		want  string // prefix of the one expected report; empty if no violation is expected
	}{
		{"none", func(*history, *request) {}, ""},
		{"no signature", func(_ *history, q *request) { q.signed = false }, "MIXED"},
		{"another's answer", func(_ *history, q *request) { q.answer = "answer to x" }, "MIXED"},
		{"short and looks whole", func(_ *history, q *request) { q.answer = "answer" }, "MIXED"},
		{"short and cut", func(_ *history, q *request) { q.answer, q.complete, q.err = "answer", false, "EOF" }, ""},
		{"wrong before the cut", func(_ *history, q *request) { q.answer, q.complete, q.err = "answex", false, "EOF" }, "ORDER"},
		{"ran twice", func(h *history, _ *request) { h.runs = append(h.runs, h.runs[0]) }, "TWICE"},
		{"refused once before it ran", func(h *history, _ *request) {
			h.runs = append(h.runs, h.runs[0])
			h.runs[0].refused = true
		}, ""},
		{"called not run", func(_ *history, q *request) { q.status = 503 }, "REFUSED"},
		{"called unknown", func(_ *history, q *request) { q.status = 502 }, ""},
		{"nobody asked", func(h *history, q *request) { delete(h.requests, q.id) }, "UNASKED"},
		{"changed path", func(h *history, _ *request) { h.runs[0].path = "/once/y" }, "UNASKED"},
		{"changed body", func(h *history, _ *request) { h.runs[0].body = "" }, "UNASKED"},
		{"another organisation", func(h *history, _ *request) { h.runs[0].organisation = "p" }, "UNASKED"},
		{"key handed on", func(h *history, _ *request) { h.runs[0].keyForwarded = true }, "UNASKED"},
		{"key revoked long before", func(h *history, _ *request) { h.revoked["k"] = at(10 - 5.1) }, "CONFIG"},
		{"key revoked just before", func(h *history, _ *request) { h.revoked["k"] = at(10 - 4.9) }, ""},
		{"worker left long before", func(h *history, _ *request) { h.leavingSince["w"] = at(10 - 2.1) }, "DRAIN"},
		{"worker left just before", func(h *history, _ *request) { h.leavingSince["w"] = at(10 - 1.8) }, ""},
		{"worker left long before, disturbed", func(h *history, _ *request) {
			h.leavingSince["w"] = at(10 - 2.1)
			h.spans = []span{{kind: silenceStore, from: at(4), to: at(6)}}
		}, ""},
		{"route gone again", func(h *history, q *request) {
			q.probedRoute = "/once/"
			p := *q
			p.id, p.status, p.sent, p.ended = "late", 404, at(11), at(11.1)
			h.requests[p.id] = &p
		}, "CONFIG"},
		{"route gone in another life", func(h *history, q *request) {
			q.probedRoute = "/once/"
			p := *q
			p.id, p.status, p.sent, p.ended, p.instance = "late", 404, at(11), at(11.1), 2
			h.requests[p.id] = &p
		}, ""},
		{"route not in force", func(h *history, q *request) {
			q.probedRoute, q.status = "/added/", 404
			h.runs = nil
			h.added["/added/"] = at(10 - 2.1)
		}, "CONFIG"},
		{"cut by a planned stop", func(h *history, q *request) {
			q.status, q.complete, q.err = 0, false, "EOF"
			h.spans = []span{{kind: stopGateway, from: at(9), to: at(15)}}
		}, "LOST"},
		{"cut by a kill", func(h *history, q *request) {
			q.status, q.complete, q.err = 0, false, "EOF"
			h.spans = []span{{kind: stopGateway, from: at(9), to: at(15)}, {kind: killGateway, from: at(10), to: at(11)}}
		}, ""},
		{"too many repeats", func(h *history, q *request) {
			q.atMostOnce = false
			for range 30 {
				h.runs = append(h.runs, h.runs[0])
			}
		}, "BUDGET"},
		{"harmful and sent on", func(h *history, _ *request) { addHarmful(h, 3, 4) }, "BUDGET"},
		{"harmful and sent on three times", func(h *history, _ *request) { addHarmful(h, 3, 3) }, ""},
		{"harmful and sent on at once", func(h *history, _ *request) { addHarmful(h, 20, 0) }, ""},
		{"harmful and sent on while the store is silent", func(h *history, _ *request) {
			addHarmful(h, 3, 4)
			h.spans = []span{{kind: silenceStore, from: at(12), to: at(14)}}
		}, ""},
		{"a harmful part and sent on", func(h *history, _ *request) { addHarmfulPart(h, 5, 4) }, "BUDGET"},
		{"a harmful part and sent on three times", func(h *history, _ *request) { addHarmfulPart(h, 5, 3) }, ""},
		{"a harmful part and sent on without end", func(h *history, _ *request) { addHarmfulPart(h, 50, 0) }, "BUDGET"},
		{"harmful and sent on without end", func(h *history, _ *request) { addHarmful(h, 30, 0) }, "BUDGET"},
		{"left by its word long before", func(h *history, _ *request) { addSignal(h, signal{leaving: true}, 10.05-2.1) }, "DRAIN"},
		{"left by its word just before", func(h *history, _ *request) { addSignal(h, signal{leaving: true}, 10.05-1.9) }, ""},
		{"left by its word to another life", func(h *history, _ *request) {
			addSignal(h, signal{leaving: true}, 10.05-2.1)
			h.received[0].instance++
		}, ""},
		{"left by its word, the store away since", func(h *history, _ *request) {
			addSignal(h, signal{leaving: true}, 10.05-2.1)
			h.spans = []span{{kind: awayStore, from: at(8), to: at(11)}}
		}, "DRAIN"},
		{"left by its word, the gateway stood still", func(h *history, _ *request) {
			addSignal(h, signal{leaving: true}, 10.05-2.1)
			h.spans = []span{{kind: pauseGateway, from: at(8), to: at(9)}}
		}, ""},
		{"rests and gets three", func(h *history, _ *request) { addArrivals(h, signal{retryLater: true}, 9, 3) }, "BUDGET"},
		{"rests and gets two", func(h *history, _ *request) { addArrivals(h, signal{retryLater: true}, 9, 2) }, ""},
		{"rests and gets three at once", func(h *history, _ *request) { addArrivals(h, signal{retryLater: true}, 10.1, 3) }, ""},
		{"rests and gets three after it", func(h *history, _ *request) { addArrivals(h, signal{retryLater: true}, 7, 3) }, ""},
		{"named a limit and got more", func(h *history, _ *request) { addArrivals(h, signal{limit: 1}, 6, 12) }, "LIMIT"},
		{"named a limit and got as much", func(h *history, _ *request) { addArrivals(h, signal{limit: 1}, 6, 11) }, ""},
		{"named a limit just now", func(h *history, _ *request) { addArrivals(h, signal{limit: 1}, 8.5, 12) }, ""},
		{"long prompt that ends late", func(h *history, q *request) { makeLong(h, q, 200, 5.6, awayStore) }, "WAIT"},
		{"long prompt that ends in time", func(h *history, q *request) { makeLong(h, q, 200, 5.4) }, ""},
		{"long prompt that ends late, its gateway stood still", func(h *history, q *request) { makeLong(h, q, 0, 5.6, pauseGateway) }, ""},
		{"long prompt that ends late, another gateway stood still", func(h *history, q *request) {
			makeLong(h, q, 200, 5.6, pauseGateway)
			h.spans[0].gateway++
		}, "WAIT"},
		{"long prompt without an answer", func(h *history, q *request) { makeLong(h, q, 0, 2) }, "WAIT"},
		{"long prompt cut by a kill", func(h *history, q *request) { makeLong(h, q, 0, 2, killGateway) }, ""},
		{"long prompt that waits and is cut by a planned stop", func(h *history, q *request) {
			makeLong(h, q, 0, 2, stopGateway)
			h.runs = nil
		}, "WAIT"},
		{"long prompt that a stopping gateway does not accept", func(h *history, q *request) {
			makeLong(h, q, 0, 0.1, stopGateway)
			h.runs = nil
		}, ""},
		{"long prompt refused without a time", func(h *history, q *request) {
			makeLong(h, q, 503, 2)
			h.runs, q.retryAfter = nil, false
		}, "REFUSED"},
		{"long prompt refused", func(h *history, q *request) {
			makeLong(h, q, 503, 2)
			h.runs = nil
		}, ""},
		{"long prompt refused, and it ran", func(h *history, q *request) { makeLong(h, q, 503, 2) }, "REFUSED"},
		{"at a worker that there is not", func(h *history, _ *request) { h.runs[0].worker = "strange-1" }, "ENTRIES"},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHistory()
			c.plant(h, addServed(h, "q", 10))
			bs := h.check()
			if c.want == "" {
				require.Empty(t, bs)
				return
			}
			require.Len(t, bs, 1)
			require.True(t, strings.HasPrefix(bs[0], c.want), bs[0])
		})
	}
}

func TestPlanIsThatOfItsSeed(t *testing.T) {
	require.Equal(t, newPlan(7, time.Minute), newPlan(7, time.Minute))
	require.NotEqual(t, newPlan(7, time.Minute), newPlan(8, time.Minute))
	seen := map[kind]bool{}
	for seed := range uint64(20) {
		for _, s := range newPlan(seed, time.Minute) {
			seen[s.kind] = true
		}
	}
	require.Len(t, seen, len(kindNames), "each kind occurs")
}
