package experiment

import (
	"fmt"
	"time"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/calendar"
	"github.com/hollowgrade/hollowgrade/core"
)

// timeLeft returns how long the caller of a request still waits.
func (p *simulation) timeLeft(j *job) time.Duration {
	return j.kind.Allowed.Std() - (p.now - j.arrived)
}

// awaitTurn lets a request wait for its turn at a gateway.
func (p *simulation) awaitTurn(g decider, j *job, w *core.Wait) {
	d, state, again := g.start(j, w, p.timeLeft(j), p.now-j.placedAt)
	switch state {
	case core.Started:
		p.start(g, j, d, !d.Refused)
	case core.Dropped:
		g.leave(w)
		p.retry(j, again)
	default:
		p.schedule(again, func() { p.awaitTurn(g, j, w) })
	}
}

func (g *gateway) wait(j *job, left time.Duration) (*core.Wait, core.Plan) {
	return g.fleet.Wait(g.service, j.route(), j.call(left), left)
}

func (g *gateway) start(j *job, w *core.Wait, left, waited time.Duration) (core.Plan, core.WaitState, time.Duration) {
	return g.fleet.Start(w, g.service, j.route(), j.call(left+waited), left, waited)
}

func (g *gateway) leave(w *core.Wait) {
	g.fleet.Leave(w)
}

func (g *gateway) waits() (es []calendar.Entry, changed bool) {
	es, _ = g.fleet.Waits()
	return es, g.fleet.TakeWaitsChanged()
}

func (g *gateway) receiveWaits(from string, es []calendar.Entry) {
	g.fleet.ReceiveWaits(from, es)
}

// route returns the configuration of the request's kind.
func (j *job) route() core.Route {
	return core.Route{Goal: j.kind.Goal.Std(), PauseGoal: j.kind.Pause.Std(), Timeout: j.kind.Allowed.Std()}
}

// call returns the attempt that is being placed, of a caller that still waits for left.
func (j *job) call(left time.Duration) hollowgrade.Call {
	return hollowgrade.Call{ID: fmt.Sprint(j.number, "/", j.tries), PromptTokens: j.promptTokens, MaxTokens: j.answerTokens, Patience: left}
}
