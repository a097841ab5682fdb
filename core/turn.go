package core

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/fault"
	"github.com/hollowgrade/hollowgrade/placement"
)

// takeTurn waits until a long prompt has its turn and returns its pick. What admitted the call may have
// changed meanwhile.
func (f *flow) takeTurn(ctx context.Context, r placement.Request) (*pick, error) {
	p, err := f.awaitTurn(ctx, r)
	if err != nil {
		return nil, err
	}
	if p == nil {
		return nil, f.noUpstreamError()
	}
	if err = f.readmit(); err != nil {
		f.dropPick(p)
		return nil, err
	}
	return p, nil
}

// readmit checks whether a call that has waited would still be admitted for the same service.
func (f *flow) readmit() error {
	g := &flow{core: f.core, call: f.call}
	if err := f.core.admit(g); err != nil {
		return err
	}
	if !slices.ContainsFunc(g.route.Targets, func(t Target) bool { return t.Service == f.service.Name }) {
		return fault.New(fault.StaleConfig, "the route %s leads to other services now", g.route.Name).WithRetryAfter(shortRetryAfter)
	}
	return nil
}

// dropPick ends the accounting of a pick of which nothing was sent.
func (f *flow) dropPick(p *pick) {
	f.core.fleet.refundLimits(p)
	f.core.fleet.release(p, false)
}

// TurnResult is how the wait of a long prompt for its turn ended.
type TurnResult string

// The values of [TurnResult]. It is empty for calls that don't wait for a turn.
const (
	TurnCame    TurnResult = "came"
	TurnRefused TurnResult = "refused" // the engines have no time for the prompt
	TurnEnded   TurnResult = "ended"   // the call ended before its turn
)

// endTurn records how the wait for a turn ended.
func (f *flow) endTurn(r TurnResult, waited time.Duration) {
	f.turn, f.turnWait = r, waited
}

// awaitTurn waits until a long prompt has its turn and returns its pick, nil if there is no upstream
// for it.
func (f *flow) awaitTurn(ctx context.Context, r placement.Request) (*pick, error) {
	begin := f.core.clock.Now()
	r = f.sinceFirstArrival(r)
	w, retryAfter := f.core.fleet.wait(f.service.Name, r)
	if w == nil {
		return nil, f.noTime(r, 0, retryAfter)
	}
	defer f.core.fleet.leave(w)
	for {
		waited := f.core.clock.Since(begin)
		if a, blocked := f.core.quarantine.Blocked(f.identity()); blocked {
			f.endTurn(TurnEnded, waited)
			return nil, f.quarantinedError(a)
		}
		if err := f.checkStop(1, f.expectedTime(0, 0)); err != nil {
			f.endTurn(TurnEnded, waited)
			f.rememberWait(r, waited)
			return nil, err
		}
		p, state, again := f.core.fleet.start(w, after(r, waited), f.tried)
		switch state {
		case Started:
			f.endTurn(TurnCame, waited)
			return p, nil
		case Dropped:
			return nil, f.noTime(r, waited, again)
		}
		if !hollowgrade.Sleep(ctx, f.core.clock, again) {
			return nil, f.waitEnded(ctx, r, f.core.clock.Since(begin))
		}
	}
}

// rememberWait records that a prompt is refused which has waited, so that its wait counts when it comes back.
func (f *flow) rememberWait(r placement.Request, waited time.Duration) {
	f.core.fleet.recordRefusal(f.fingerprint, f.core.clock.Now().Add(-r.Waited-waited))
}

// noTime returns the error for a long prompt that the engines have no time for.
func (f *flow) noTime(r placement.Request, waited, retryAfter time.Duration) error {
	f.rememberWait(r, waited)
	f.endTurn(TurnRefused, waited)
	f.core.log.Info("not sent", "request", f.call.ID, "why", "the engines have no time for it", "prompt_tokens", f.call.PromptTokens,
		"goal_ms", f.route.Goal.Milliseconds(), "waited_ms", r.Waited.Milliseconds(), "turn_wait_ms", waited.Milliseconds(),
		"again", r.RefusedBefore, "worth", round(r.Worth()), "work_ms", r.Engine.PrefillTime(r.PromptTokens, 1).Milliseconds(),
		"come_back_ms", retryAfter.Milliseconds(), "peers_heard", f.core.fleet.SyncedPeers())
	return fault.New(fault.CannotMakeIt, "the engines have no time for %d tokens now", f.call.PromptTokens).WithRetryAfter(retryAfter)
}

// waitEnded returns the error for a call that ended while it waited for its turn.
func (f *flow) waitEnded(ctx context.Context, r placement.Request, waited time.Duration) error {
	f.endTurn(TurnEnded, waited)
	c := context.Cause(ctx)
	f.core.log.Info("not sent", "request", f.call.ID, "why", "it ended while it waited for its turn", "turn_wait_ms", waited.Milliseconds(), "cause", c)
	switch {
	case errors.Is(c, hollowgrade.ErrStopping):
		f.rememberWait(r, waited)
		return fault.New(fault.Draining, "this box is being stopped").WithOutcome(hollowgrade.NotRun).WithRetryAfter(shortRetryAfter)
	case errors.Is(c, errOutOfTime):
		return fault.New(fault.DeadlinePassed, "the allowed time passed before the call could be sent").WithOutcome(hollowgrade.NotRun)
	default:
		return fault.New(fault.CallerGone, "the caller went away").WithOutcome(hollowgrade.NotRun)
	}
}

// after returns the request as it is when it has waited for d.
func after(r placement.Request, d time.Duration) placement.Request {
	r.Waited += d
	r.TimeLeft -= d
	return r
}
