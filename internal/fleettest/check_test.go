package fleettest

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
)

var t0 = time.Date(2026, 12, 5, 19, 0, 0, 0, time.UTC)

// goodAnswer returns an answer that violates no guarantee.
func goodAnswer() Answer {
	c := Call{Prompt: "p", Tokens: 3, Allowed: time.Second}
	return Answer{Call: c, RequestID: "r", Outcome: hollowgrade.Finished, Text: c.ExpectedText(), Sent: t0, Ended: t0.Add(time.Second / 2)}
}

func requireViolation(t *testing.T, p Guarantee, e Evidence) {
	t.Helper()
	bs := e.Violations()
	require.NotEmpty(t, bs)
	for _, b := range bs {
		require.Equal(t, p, b.Guarantee, b.Text)
	}
}

func answersWith(change func(*Answer)) []Answer {
	a := goodAnswer()
	change(&a)
	return []Answer{a}
}

// Guards against checks that miss a violation or report another one: each guarantee is violated on
// purpose at least once.
func TestCheckerCatchesPlantedBreaches(t *testing.T) {
	t.Run("nothing broken", func(t *testing.T) {
		require.Empty(t, Evidence{Answers: []Answer{goodAnswer()}, Planned: true}.Violations())
	})
	t.Run("late", func(t *testing.T) {
		requireViolation(t, InTime, Evidence{Answers: answersWith(func(a *Answer) { a.Ended = t0.Add(2 * time.Second) })})
	})
	t.Run("memory held", func(t *testing.T) {
		requireViolation(t, NoMemoryLost, Evidence{Used: map[string]int{"engine-0": 1}})
	})
	t.Run("memory without a lease", func(t *testing.T) {
		requireViolation(t, NoMemoryLost, Evidence{Lost: map[string]int{"engine-0": 1}})
	})
	t.Run("cut short", func(t *testing.T) {
		requireViolation(t, WholeAnswer, Evidence{Answers: answersWith(func(a *Answer) { a.Text = a.Text[:4] })})
	})
	t.Run("another's answer", func(t *testing.T) {
		requireViolation(t, WholeAnswer, Evidence{Answers: answersWith(func(a *Answer) { a.Text = Call{Prompt: "q", Tokens: 3}.ExpectedText() })})
	})
	t.Run("token twice", func(t *testing.T) {
		requireViolation(t, WholeAnswer, Evidence{Answers: answersWith(func(a *Answer) { a.Text += a.Text[len(a.Text)-4:] })})
	})
	t.Run("not run, yet it ran", func(t *testing.T) {
		as := answersWith(func(a *Answer) { a.Outcome, a.Text = hollowgrade.NotRun, "" })
		requireViolation(t, NotRunIsTrue, Evidence{Answers: as, Runs: []Run{{Request: "r", Attempt: "1", At: t0}}})
	})
	t.Run("not run, yet an earlier one with its key ran", func(t *testing.T) {
		a, b := goodAnswer(), goodAnswer()
		a.Call.Key, b.Call.Key = "k", "k"
		b.RequestID, b.Outcome, b.Text = "s", hollowgrade.NotRun, ""
		requireViolation(t, NotRunIsTrue, Evidence{Answers: []Answer{a, b}, Runs: []Run{{Request: "r", Attempt: "1", At: t0}}})
	})
	t.Run("run twice under one key", func(t *testing.T) {
		as := answersWith(func(a *Answer) { a.Call.Key = "k" })
		requireViolation(t, AtMostOnce, Evidence{Answers: as, Runs: []Run{{Request: "r", Attempt: "1"}, {Request: "r", Attempt: "2"}}})
	})
	t.Run("new work while leaving", func(t *testing.T) {
		e := Evidence{Answers: []Answer{goodAnswer()}, LeavingSince: map[string]time.Time{"engine-0": t0.Add(-3 * time.Second)}}
		e.Runs = []Run{{Request: "r", Box: "engine-0", At: t0}}
		requireViolation(t, NoNewWork, e)
	})
	t.Run("cut off by a planned stop", func(t *testing.T) {
		as := answersWith(func(a *Answer) { a.Outcome, a.Text = hollowgrade.Failed, "" })
		requireViolation(t, NothingCut, Evidence{Answers: as, Planned: true})
	})
	t.Run("configuration reverted", func(t *testing.T) {
		requireViolation(t, NeverReverts, Evidence{Revisions: map[string][]int64{"entry-0": {1, 3, 2}}})
	})
	t.Run("configuration not in force", func(t *testing.T) {
		requireViolation(t, NeverReverts, Evidence{LateRevisions: []string{"entry-0"}})
	})
}
