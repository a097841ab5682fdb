package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/fault"
	"github.com/hollowgrade/hollowgrade/internal/wire"
	"github.com/hollowgrade/hollowgrade/upstream"
)

// runEngine prefills the prompt, in pieces if it is long, and then streams the answer. Between two
// pieces the job returns to the queue, so that a short request waits for one piece at most.
func (a *Agent) runEngine(ctx context.Context, j *job) error {
	for {
		if err := a.awaitGrant(ctx, j); err != nil {
			return correctOutcome(j, err)
		}
		last, err := a.step(ctx, j)
		if err != nil || last {
			return err
		}
	}
}

// correctOutcome changes the outcome "not run" to "failed" for a job of which earlier pieces have
// run.
func correctOutcome(j *job, err error) error {
	var f *fault.Error
	if errors.As(err, &f) && f.Outcome == hollowgrade.NotRun && j.started.Load() {
		return f.WithOutcome(hollowgrade.Failed)
	}
	return err
}

// step sends one granted piece of the prompt to the engine, or the rest of the prompt and streams
// the answer. It reports whether it was the last step.
func (a *Agent) step(ctx context.Context, j *job) (last bool, err error) {
	defer a.stepDone()
	n := a.cost(j)
	done := false
	prefilled := func() {
		if !done {
			done = true
			a.prefilled(n)
		}
	}
	defer prefilled()
	if err = a.mayStart(j); err != nil && !j.started.Load() {
		return false, err
	}
	if err = a.sendStarted(j); err != nil {
		return false, err
	}
	end := min(j.next+n*bytesPerToken, len(j.body))
	if end < len(j.body) || j.submit.HoldOnly {
		err = a.prefillPiece(ctx, j, end)
		return err == nil && j.next == len(j.body), err
	}
	return true, a.streamAnswer(ctx, j, prefilled)
}

// sendStarted reports to the entry that the request counts as run from here on.
func (a *Agent) sendStarted(j *job) error {
	if j.started.Load() {
		return nil
	}
	j.waited = a.clock.Since(j.arrived)
	m := &wire.Started{WaitedMicros: j.waited.Microseconds()}
	if err := j.stream.Send(&wire.Frame{Body: &wire.Frame_Started{Started: m}}); err != nil {
		return errCallerGone
	}
	j.started.Store(true)
	return nil
}

// prefillPiece prefills the prompt up to end and keeps the piece on the engine.
func (a *Agent) prefillPiece(ctx context.Context, j *job, end int) (err error) {
	id := fmt.Sprintf("%s/%d", j.id, len(j.pieces))
	at := a.clock.Now()
	a.leasePiece(j, id)
	s, err := a.engine.Generate(ctx, hollowgrade.Generation{
		ID:          id,
		Model:       j.request.Model,
		Prompt:      string(j.body[j.next:end]),
		Priority:    enginePriority(j.request),
		Handles:     lastOf(j.handles),
		PrefillOnly: true,
		Reservation: j.submit.Reservation,
	})
	if err != nil {
		return a.engineError(ctx, err)
	}
	defer s.Close()
	if _, err = s.Next(); !errors.Is(err, io.EOF) {
		return a.engineError(ctx, err)
	}
	h, err := a.engine.Export(ctx, id)
	if err != nil {
		return a.engineError(ctx, err)
	}
	a.updateSpeed(func(v *speed) { v.addPrefill((end-j.next)/bytesPerToken, a.clock.Since(at)) })
	j.handles = append(j.handles, h)
	j.next = end
	return nil
}

// lastOf returns the last handle, which includes all pieces before it.
func lastOf(hs []string) []string {
	if len(hs) == 0 {
		return nil
	}
	return hs[len(hs)-1:]
}

// streamAnswer prefills the rest of the prompt and sends the tokens to the entry.
func (a *Agent) streamAnswer(ctx context.Context, j *job, prefilled func()) (err error) {
	at := a.clock.Now()
	s, err := a.engine.Generate(ctx, hollowgrade.Generation{
		ID:          j.id,
		Model:       j.request.Model,
		Prompt:      string(j.body[j.next:]),
		Prefix:      j.submit.Prefix,
		MaxTokens:   j.request.MaxTokens,
		Priority:    enginePriority(j.request),
		Handles:     lastOf(j.handles),
		Reservation: j.submit.Reservation,
	})
	if err != nil {
		return a.engineError(ctx, err)
	}
	defer s.Close()
	j.count = len(j.submit.Prefix)
	for {
		t, err := s.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return a.engineError(ctx, err)
		}
		prefilled()
		at = a.measureToken(j, at)
		if err = a.sendToken(j, t); err != nil {
			return err
		}
	}
}

func (a *Agent) measureToken(j *job, at time.Time) time.Time {
	now := a.clock.Now()
	first := j.count == len(j.submit.Prefix)
	a.updateSpeed(func(v *speed) {
		if first {
			v.addPrefill((len(j.body)-j.next)/bytesPerToken, now.Sub(at))
		} else {
			v.addStep(now.Sub(at))
		}
	})
	return now
}

// sendToken sends one token to the entry. A gap or a repetition in the offsets fails the answer,
// and later tokens are not trusted.
func (a *Agent) sendToken(j *job, t hollowgrade.Token) error {
	if t.Offset != j.count {
		return fault.New(fault.AnswerCut, "the engine sent token %d where %d was due", t.Offset, j.count)
	}
	m := &wire.Tokens{Attempt: int32(j.request.Attempt), Offset: int64(t.Offset), Text: []string{t.Text}}
	if err := j.stream.Send(&wire.Frame{Body: &wire.Frame_Tokens{Tokens: m}}); err != nil && j.request.Key == "" {
		return errCallerGone
	}
	j.count++
	return nil
}

func (a *Agent) updateSpeed(f func(*speed)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f(&a.speed)
}

// enginePriority maps class and priority to the engine's single number.
func enginePriority(r hollowgrade.Request) int {
	const band = 1000
	return int(hollowgrade.Classes-r.Decision.Class)*band + r.Decision.Priority
}

// engineError distinguishes a refusal by the engine from its loss, and both from the end of the
// job's context.
func (a *Agent) engineError(ctx context.Context, err error) error {
	var r *upstream.RefusedError
	switch {
	case ctx.Err() != nil:
		return context.Cause(ctx)
	case errors.As(err, &r):
		return fault.New(fault.UpstreamRefused, "the engine refused: %s", r.Message)
	default:
		a.markUnreachable()
		return err
	}
}
