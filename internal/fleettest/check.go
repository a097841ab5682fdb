package fleettest

import (
	"fmt"
	"strings"
	"time"

	"github.com/hollowgrade/hollowgrade"
)

// Guarantee is one of the eight properties that hold in every run.
type Guarantee string

// The guarantees.
const (
	InTime       Guarantee = "ends within its allowed time"
	NoMemoryLost Guarantee = "no engine loses memory for good"
	WholeAnswer  Guarantee = "each caller gets the whole answer to its own request"
	NotRunIsTrue Guarantee = "what is told 'not run' did not run"
	AtMostOnce   Guarantee = "what may not be repeated runs at most once"
	NoNewWork    Guarantee = "an upstream that is leaving receives no new work"
	NothingCut   Guarantee = "a planned stop cuts off no request"
	NeverReverts Guarantee = "an accepted configuration is in force everywhere and never reverts"
)

// Run is one start of a request at an upstream.
type Run struct {
	Request string // id assigned by the entry
	Attempt string // distinguishes the attempts of one request
	Box     string
	Body    string // of a request to a plain service
	At      time.Time
}

// Evidence is what the callers received and what the upstreams ran. The checks use nothing else.
type Evidence struct {
	Answers       []Answer
	Runs          []Run
	Used          map[string]int       // tokens that each live engine has reserved at the end
	Lost          map[string]int       // reserved tokens at the end that no ledger has a lease for
	LeavingSince  map[string]time.Time // when a box began to leave
	Planned       bool                 // whether all faults were planned stops
	Revisions     map[string][]int64   // revisions in force by box, in order of time
	LateRevisions []string             // messages on boxes where an accepted revision was late
	Excused       map[string]bool      // requests by prompt whose entry could not reply in time
}

// Violation is a guarantee that was violated, with details.
type Violation struct {
	Guarantee Guarantee
	Text      string
}

// String implements [fmt.Stringer].
func (b Violation) String() string {
	return fmt.Sprintf("%s: %s", b.Guarantee, b.Text)
}

const (
	replySlack   = 50 * time.Millisecond // for the response to reach the caller
	leavingSlack = 2 * time.Second
)

// Violations returns every guarantee that the evidence shows violated.
func (e Evidence) Violations() (bs []Violation) {
	for _, a := range e.Answers {
		bs = append(bs, e.checkAnswer(a)...)
	}
	bs = append(bs, e.checkKeys()...)
	bs = append(bs, e.checkMemory()...)
	bs = append(bs, e.checkLeaving()...)
	return append(bs, e.checkRevisions()...)
}

func (e Evidence) checkAnswer(a Answer) (bs []Violation) {
	if a.Took() > a.Call.Allowed+replySlack && !e.Excused[a.Call.Prompt] {
		bs = append(bs, Violation{InTime, fmt.Sprintf("%q took %s, allowed are %s", answerName(a), a.Took(), a.Call.Allowed)})
	}
	if a.Outcome == hollowgrade.Finished && !isWhole(a) {
		bs = append(bs, Violation{WholeAnswer, fmt.Sprintf("%q finished with %d bytes that are not its answer", answerName(a), len(a.Text))})
	}
	if a.Outcome == hollowgrade.NotRun {
		for _, r := range e.runsOf(a) {
			if r.At.Before(a.Ended) {
				bs = append(bs, Violation{NotRunIsTrue, fmt.Sprintf("%q (%s) ran on %s", answerName(a), a.Code, r.Box)})
			}
		}
	}
	if e.Planned && a.Outcome != hollowgrade.Finished {
		bs = append(bs, Violation{NothingCut, fmt.Sprintf("%q ended as %q with %s %s", answerName(a), a.Outcome, a.Code, a.Message)})
	}
	return bs
}

func answerName(a Answer) string {
	return strings.TrimSpace(a.Call.Prompt[:min(len(a.Call.Prompt), 24)])
}

// isWhole reports whether a finished answer is correct. A finished request whose answer is no longer
// stored has a code and no text.
func isWhole(a Answer) bool {
	switch {
	case a.Code != "":
		return a.Text == ""
	case a.Call.Service:
		return a.Text == a.Call.Prompt
	default:
		return a.Text == a.Call.ExpectedText()
	}
}

// runsOf returns the runs of a request, and if it has a key those of all requests with that key.
func (e Evidence) runsOf(a Answer) (rs []Run) {
	ids := map[string]bool{a.RequestID: a.RequestID != ""}
	for _, o := range e.Answers {
		if a.Call.Key != "" && o.Call.Key == a.Call.Key && o.RequestID != "" {
			ids[o.RequestID] = true
		}
	}
	for _, r := range e.Runs {
		if ids[r.Request] || a.Call.Key != "" && a.Call.Service && r.Body == a.Call.Prompt {
			rs = append(rs, r)
		}
	}
	return rs
}

// checkKeys counts the runs under each key. The pieces of one attempt count as one run.
func (e Evidence) checkKeys() (bs []Violation) {
	seen := map[string]bool{}
	for _, a := range e.Answers {
		if a.Call.Key == "" || seen[a.Call.Key] {
			continue
		}
		seen[a.Call.Key] = true
		starts := map[string]bool{}
		for _, r := range e.runsOf(a) {
			starts[r.Request+"/"+r.Attempt] = true
		}
		if len(starts) > 1 {
			bs = append(bs, Violation{AtMostOnce, fmt.Sprintf("key %s ran %d times", a.Call.Key, len(starts))})
		}
	}
	return bs
}

func (e Evidence) checkMemory() (bs []Violation) {
	for b, n := range e.Used {
		if n != 0 {
			bs = append(bs, Violation{NoMemoryLost, fmt.Sprintf("%s still has %d tokens reserved", b, n)})
		}
	}
	for b, n := range e.Lost {
		if n != 0 {
			bs = append(bs, Violation{NoMemoryLost, fmt.Sprintf("no lease covers %d tokens on %s", n, b)})
		}
	}
	return bs
}

func (e Evidence) checkLeaving() (bs []Violation) {
	sent := map[string]time.Time{}
	for _, a := range e.Answers {
		sent[a.RequestID] = a.Sent
	}
	for _, r := range e.Runs {
		left, ok := e.LeavingSince[r.Box]
		if ok && sent[r.Request].After(left.Add(leavingSlack)) {
			bs = append(bs, Violation{NoNewWork, fmt.Sprintf("%s received a request %s after it began to leave", r.Box, r.At.Sub(left))})
		}
	}
	return bs
}

func (e Evidence) checkRevisions() (bs []Violation) {
	for b, rs := range e.Revisions {
		for i := 1; i < len(rs); i++ {
			if rs[i] < rs[i-1] {
				bs = append(bs, Violation{NeverReverts, fmt.Sprintf("%s went from revision %d to %d", b, rs[i-1], rs[i])})
			}
		}
	}
	for _, l := range e.LateRevisions {
		bs = append(bs, Violation{NeverReverts, l})
	}
	return bs
}

// Collect returns the evidence of a fleet's upstreams at the end of a test.
func (f *Fleet) Collect() Evidence {
	e := Evidence{Used: map[string]int{}, Lost: map[string]int{}}
	for _, a := range f.Agents {
		if !a.replaced {
			e.Runs = append(e.Runs, a.runs()...)
		}
		if a.Engine != nil && !a.killed && !a.replaced {
			e.Used[a.Name] = a.Engine.Used()
			if !a.stopped {
				// A stopped agent no longer sweeps, so its last figure is out of date.
				e.Lost[a.Name] = a.OrphanTokens()
			}
		}
	}
	return e
}

// runs returns what the agent's upstream ran. An engine records the agent's id of the work: request,
// attempt and, for a piece of a prompt, its number.
func (a *AgentBox) runs() (ss []Run) {
	if a.Engine == nil {
		for _, r := range a.Service.Runs() {
			ss = append(ss, Run{Request: r.RequestID, Attempt: r.At.String(), Box: a.Name, Body: r.Body, At: r.At})
		}
		return ss
	}
	for _, r := range a.Engine.Runs() {
		id, attempt, _ := strings.Cut(r.ID, ".")
		attempt, _, _ = strings.Cut(attempt, "/")
		ss = append(ss, Run{Request: id, Attempt: attempt, Box: a.Name, At: r.At})
	}
	return ss
}
