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

// cutKept breaks off a request on a kept connection some time after its last byte, beside a configuration.
// Of the configurations the first one is beside the case's own request.
func cutKept(h *history, q *request, seconds float64, passedOn bool) {
	q.status, q.complete, q.answer, q.err, q.raw, q.kept = 0, false, "", "EOF", true, true
	q.lastByte, q.ended = q.sent, q.sent.Add(time.Duration(seconds*float64(time.Second)))
	h.configs = append(h.configs, q.sent.Add(-time.Second))
	if !passedOn {
		h.runs = nil
	}
}

// cutOften breaks off requests at other times than beside a configuration.
func cutOften(h *history, n int) {
	for i := range n {
		cutKept(h, addServed(h, fmt.Sprint("cut", i), 20+float64(i)), 0.1, true)
	}
	h.configs = nil
}

// cutInStop breaks off a request some time after the SIGTERM of a stop with a grace of 4 s.
func cutInStop(h *history, q *request, seconds float64) {
	q.complete, q.raw, q.answer, q.want, q.err, q.ended = false, true, "id", "id: 1", "EOF", at(9+seconds)
	h.stops = []*plannedStop{{kind: changeGrace, from: at(9), ended: at(13), least: 4 * time.Second, end: "exit status 0", clean: true}}
}

// sendInStop breaks off a request that was sent some time after the SIGTERM of a stop with a grace of 4 s, in
// the last sixth of that.
func sendInStop(h *history, q *request, seconds float64) {
	cutInStop(h, q, 3.8)
	q.sent = at(9 + seconds)
}

// cutInSilence breaks off a paced stream some time after its worker fell silent for a second.
func cutInSilence(h *history, q *request, seconds float64) {
	delete(h.requests, q.id)
	q.id = pacedPrefix + "-1"
	q.path = "/paced/" + q.id
	h.requests[q.id], h.runs[0].id, h.runs[0].path = q, q.id, q.path
	q.complete, q.raw, q.kept, q.answer, q.err = false, true, true, "", "EOF"
	q.lastByte, q.ended = q.sent, at(10.5+seconds)
	h.quiet = []quietTime{{"w", at(10.5), at(11.5)}}
}

// endStop adds a planned stop.
func endStop(h *history, end string, clean bool) {
	h.stops = []*plannedStop{{kind: signalSeries, from: at(10), ended: at(14), least: 4 * time.Second, end: end, clean: clean}}
}

// endSilently adds ends of gateways' processes that had not begun to work.
func endSilently(h *history, gateways ...int) {
	for _, g := range gateways {
		h.ownEnds = append(h.ownEnds, ownEnd{g, at(9), "signal: hangup", true})
	}
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
		{"called too early", func(_ *history, q *request) { q.status = 425 }, "REFUSED"},
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
		{"cut beside a configuration", func(h *history, q *request) { cutKept(h, q, 0.1, true) }, "LOST"},
		{"cut beside a configuration, never passed on", func(h *history, q *request) { cutKept(h, q, 0.3, false) }, "LOST"},
		{"crosses the close beside a configuration", func(h *history, q *request) { cutKept(h, q, 0.1, false) }, ""},
		{"cut beside a configuration, the gateway was killed", func(h *history, q *request) {
			cutKept(h, q, 0.3, true)
			h.spans = []span{{kind: killGateway, from: at(6), to: at(7.5)}}
		}, ""},
		{"cut beside a configuration, another gateway was killed", func(h *history, q *request) {
			cutKept(h, q, 0.3, true)
			h.spans = []span{{kind: killGateway, gateway: 1, from: at(6), to: at(7.5)}}
		}, "LOST"},
		{"cut beside a configuration, the gateway squeezed", func(h *history, q *request) {
			cutKept(h, q, 0.3, true)
			h.spans = []span{{kind: squeezeGateway, from: at(9), to: at(12)}}
		}, "LOST"},
		{"cut beside a configuration, most of its time gone", func(h *history, q *request) { cutKept(h, q, 2.5, true) }, ""},
		{"cut as often beside a configuration as else", func(h *history, q *request) {
			cutKept(h, q, 0.1, true)
			cutKept(h, addServed(h, "else", 20), 0.1, true)
			cutKept(h, addServed(h, "again", 21), 0.1, true)
			h.configs = h.configs[:1]
		}, ""},
		{"cut on kept connections three times, passed on", func(h *history, _ *request) { cutOften(h, 3) }, ""},
		{"cut on kept connections four times, passed on", func(h *history, _ *request) { cutOften(h, 4) }, "LOST"},
		{"cut beside a SIGHUP", func(h *history, q *request) {
			cutKept(h, q, 0.1, true)
			h.configs, h.reloads = nil, []reload{{0, at(9)}}
		}, "LOST"},
		{"cut by a stop before the last sixth", func(h *history, q *request) { cutInStop(h, q, 3.2) }, "LOST"},
		{"cut by a stop, its worker had just ended", func(h *history, q *request) {
			cutInStop(h, q, 3.2)
			h.workerEnds = []workerEnd{{"w", at(12)}}
		}, ""},
		{"cut by a stop, its worker had ended long before", func(h *history, q *request) {
			cutInStop(h, q, 3.2)
			h.workerEnds = []workerEnd{{"w", at(11)}}
		}, "LOST"},
		{"cut by a stop, another worker had just ended", func(h *history, q *request) {
			cutInStop(h, q, 3.2)
			h.workerEnds = []workerEnd{{"v", at(12)}}
		}, "LOST"},
		{"cut by a stop in the last sixth", func(h *history, q *request) { cutInStop(h, q, 3.4) }, ""},
		{"sent late in a stop and cut in its last sixth", func(h *history, q *request) { sendInStop(h, q, 3.1) }, "LOST"},
		{"sent less late in a stop and cut in its last sixth", func(h *history, q *request) { sendInStop(h, q, 2.9) }, ""},
		{"sent late in a stop and never passed on", func(h *history, q *request) {
			sendInStop(h, q, 3.1)
			h.runs = nil
		}, ""},
		{"cut after its worker was silent", func(h *history, q *request) { cutInSilence(h, q, 1.3) }, "LOST"},
		{"cut before its worker was silent", func(h *history, q *request) { cutInSilence(h, q, -0.1) }, ""},
		{"cut while another worker was silent", func(h *history, q *request) {
			cutInSilence(h, q, 1.3)
			h.quiet[0].worker = "v"
		}, ""},
		{"cut after its worker was silent, the gateway was killed", func(h *history, q *request) {
			cutInSilence(h, q, 1.3)
			h.spans = []span{{kind: killGateway, from: at(8), to: at(9)}}
		}, ""},
		{"cut by a stop after its worker was silent", func(h *history, q *request) {
			cutInSilence(h, q, 1.3)
			h.stops = []*plannedStop{{kind: changeGrace, from: at(9), ended: at(13), least: 4 * time.Second, end: "exit status 0", clean: true}}
		}, "LOST"},
		{"stop that ends by a signal", func(h *history, _ *request) { endStop(h, "signal: hangup", false) }, "STOP"},
		{"stop that ends with a status", func(h *history, _ *request) { endStop(h, "exit status 1", false) }, "STOP"},
		{"stop that ends by itself", func(h *history, _ *request) { endStop(h, "exit status 0", true) }, ""},
		{"stop that does not end, the process stood still", func(h *history, _ *request) {
			endStop(h, "killed after 4s", false)
			h.spans = []span{{kind: pauseGateway, from: at(11), to: at(13)}}
		}, ""},
		{"stop with standstills that does not end", func(h *history, _ *request) {
			endStop(h, "killed after 5s", false)
			h.stops[0].kind = pausedSeries
			h.spans = []span{{kind: pausedSeries, from: at(9), to: at(16)}}
		}, "STOP"},
		{"ended by itself", func(h *history, _ *request) { h.ownEnds = []ownEnd{{0, at(9), "signal: hangup", false}} }, "ENDED"},
		{"ended before it worked", func(h *history, _ *request) { endSilently(h, 0, 1) }, ""},
		{"ended before it worked, each another", func(h *history, _ *request) { endSilently(h, 0, 1, 2) }, ""},
		{"ended before it worked again and again", func(h *history, _ *request) { endSilently(h, 0, 0, 0) }, "ENDED"},
		{"worker's entry went long before", func(h *history, _ *request) {
			h.goneSince["w"] = at(1)
			h.spans = []span{{kind: isolateGateway, from: at(0), to: at(7)}}
		}, "DRAIN"},
		{"worker's entry went long before, the gateway just isolated", func(h *history, _ *request) {
			h.goneSince["w"] = at(1)
			h.spans = []span{{kind: isolateGateway, from: at(0), to: at(7.5)}}
		}, ""},
		{"worker's entry went long before, connections silent since", func(h *history, _ *request) {
			h.goneSince["w"] = at(7.5)
			h.spans = []span{{kind: silenceConnections, from: at(7), to: at(7)}}
		}, "DRAIN"},
		{"worker's entry went long before, connections just silent", func(h *history, _ *request) {
			h.goneSince["w"] = at(7.5)
			h.spans = []span{{kind: silenceConnections, from: at(7.2), to: at(7.2)}}
		}, ""},
		{"worker's entry went long before, in calm times", func(h *history, _ *request) {
			h.goneSince["w"] = at(8)
			h.spans = []span{{kind: loseEntry, from: at(8), to: at(10)}}
		}, "DRAIN"},
		{"worker's entry went long before, another gateway was killed", func(h *history, _ *request) {
			h.goneSince["w"] = at(8)
			h.spans = []span{{kind: killGateway, gateway: 1, from: at(7), to: at(9)}}
		}, "DRAIN"},
		{"worker's entry went long before, the gateway was killed", func(h *history, _ *request) {
			h.goneSince["w"] = at(8)
			h.spans = []span{{kind: killGateway, from: at(7), to: at(9)}}
		}, ""},
		{"worker's entry went long before, the gateway was stopped", func(h *history, _ *request) {
			h.goneSince["w"] = at(8)
			h.spans = []span{{kind: killGateway, gateway: 1, from: at(7), to: at(9)}}
			endStop(h, "exit status 0", true)
			h.stops[0].from, h.stops[0].ended = at(5), at(8)
		}, ""},
		{"worker's entry went while the store was away", func(h *history, _ *request) {
			h.goneSince["w"] = at(4)
			h.spans = []span{{kind: awayStore, from: at(3), to: at(6)}, {kind: killGateway, gateway: 1, from: at(8), to: at(10)}}
		}, ""},
		{"worker's entry went long before, its links were silent", func(h *history, _ *request) {
			h.goneSince["w"] = at(7)
			h.spans = []span{{kind: silenceWorker, from: at(8), to: at(9)}}
			h.linkFaults["w"] = h.spans
		}, ""},
		{"worker's entry went long before, another's links were silent", func(h *history, _ *request) {
			h.goneSince["w"] = at(7)
			h.spans = []span{{kind: silenceWorker, from: at(8), to: at(9)}}
			h.linkFaults["v"] = h.spans
		}, "DRAIN"},
		{"worker's entry went just before", func(h *history, _ *request) {
			h.goneSince["w"] = at(8.1)
			h.spans = []span{{kind: loseEntry, from: at(8.1), to: at(10)}}
		}, ""},
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
