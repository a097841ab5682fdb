package core

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/fault"
)

// attempt is one exchange for a flow.
type attempt struct {
	flow             *flow
	runner           *runner
	pick             *pick
	number           int // of the attempt, counted from 1
	reservation      *reservation
	heldBack         time.Duration // how long the sending was held back
	sent             time.Time
	answerBegan      bool // whether the answer has begun
	begunAt          time.Time
	progressRecorded bool   // see recordProgress
	comments         []byte // since the last event
	head             hollowgrade.Head
	stopOverdueTimer func() bool // stops the timer of an overdue first event
}

func (a *attempt) sending() hollowgrade.Sending {
	f := a.flow
	a.sent = f.core.clock.Now()
	left := f.deadline.Sub(a.sent)
	f.logSent(a, left)
	return hollowgrade.Sending{
		Call:         f.call,
		Upstream:     a.pick.upstream(),
		Organisation: f.organisation.Name,
		TimeLeft:     left,
		LastEventID:  f.lastEventID,
		Helpers:      a.reservation.helpersOf(a.pick),
	}
}

// run opens the exchange and passes its answer on.
func (a *attempt) run(ctx context.Context) error {
	s, stall := a.sending(), a.stallTimeout()
	sent := a.sent
	w := newWatchdog(a.flow.core.clock, stall, func() bool {
		a.flow.handleSilence(a, sent, silentStalls*stall)
		return false
	})
	defer w.stop()
	a.stopOverdueTimer = a.startOverdueTimer()
	defer a.stopOverdueTimer()
	x, err := a.flow.core.exchanger.Open(ctx, s)
	if err != nil {
		return cause(ctx, err)
	}
	defer x.Close()
	a.head = x.Head()
	a.flow.core.fleet.recordAnswer(a.pick.member, a.flow.call.ID, a.flow.service.Engine != nil, a.sent, a.head)
	if a.head.Stream && a.head.Success() {
		return cause(ctx, a.passStream(x, w))
	}
	return cause(ctx, a.passWhole(x, w))
}

// startOverdueTimer starts a timer that asks the engines of the attempt for their speed if the answer
// is overdue. The returned function stops it.
func (a *attempt) startOverdueTimer() (stop func() bool) {
	f := a.flow
	if f.service.Engine == nil {
		return func() bool { return false }
	}
	return f.core.clock.AfterFunc(Overdue(a.pick.FirstEvent), func() { f.core.requestPaces(f.core.fleet.suspects(a.pick), f.call.ID) }).Stop
}

// cause adds the reason for which the context was cancelled to an error that only reports the
// cancellation.
func cause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); err != nil && c != nil && !errors.Is(err, errSink) {
		return errors.Join(c, err)
	}
	return err
}

// fault returns the error that a failed attempt is reported as.
func (a *attempt) fault(err error) *fault.Error {
	id := a.pick.upstream().ID
	var x *fault.Error
	switch {
	case errors.As(err, &x):
		return x
	case errors.Is(err, errSink):
		return fault.New(fault.CallerGone, "the caller went away").WithOutcome(hollowgrade.Failed)
	case errors.Is(err, hollowgrade.ErrNotSent):
		return a.notSentFault(err)
	case errors.Is(err, hollowgrade.ErrStopping):
		return fault.New(fault.Draining, "this box is being stopped, and upstream %s has not answered", id).WithOutcome(hollowgrade.Unknown)
	case errors.Is(err, errUnresponsive):
		return fault.New(fault.UpstreamLost, "upstream %s is silent, and no other one took the call", id).WithOutcome(hollowgrade.Unknown)
	case errors.Is(err, errOvertaken):
		return fault.New(fault.UpstreamLost, "another upstream answered before %s", id).WithOutcome(hollowgrade.Unknown)
	case errors.Is(err, errOutOfTime):
		return fault.New(fault.DeadlinePassed, "the allowed time passed").WithOutcome(hollowgrade.Unknown)
	case errors.Is(err, context.Canceled):
		return fault.New(fault.CallerGone, "the caller went away").WithOutcome(hollowgrade.Unknown)
	case a.answerBegan:
		return fault.New(fault.AnswerCut, "the answer of upstream %s was cut", id).WithOutcome(hollowgrade.Failed)
	default:
		return fault.New(fault.UpstreamLost, "upstream %s was lost", id).WithOutcome(hollowgrade.Unknown)
	}
}

// notSentFault returns the error that an attempt is reported as of which nothing was sent.
func (a *attempt) notSentFault(err error) *fault.Error {
	switch {
	case errors.Is(err, hollowgrade.ErrStopping):
		return fault.New(fault.Draining, "this box is being stopped").WithOutcome(hollowgrade.NotRun).WithRetryAfter(shortRetryAfter)
	case errors.Is(err, context.Canceled):
		return fault.New(fault.CallerGone, "the caller went away").WithOutcome(hollowgrade.NotRun)
	case errors.Is(err, errOutOfTime):
		return fault.New(fault.DeadlinePassed, "the allowed time passed before the call could be sent").WithOutcome(hollowgrade.NotRun)
	default:
		return fault.New(fault.UpstreamLost, "upstream %s could not be reached", a.pick.upstream().ID).WithOutcome(hollowgrade.NotRun).WithRetryAfter(shortRetryAfter)
	}
}

// passWhole reads and passes on an answer that is not a stream.
func (a *attempt) passWhole(x hollowgrade.Exchange, d *watchdog) error {
	f := a.flow
	if a.head.NotRun {
		a.markAtFault()
		return fault.New(fault.Overloaded, "upstream %s did not take the call, status %d", a.pick.upstream().ID, a.head.Status).
			WithOutcome(hollowgrade.NotRun).WithRetryAfter(shortRetryAfter)
	}
	w := &answer{head: a.head}
	for size := 0; ; {
		p, err := x.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		if a.head.Success() {
			f.core.fleet.recordActivity(a.pick.member)
			d.reset(a.stallTimeout())
		}
		w.body = append(w.body, p.Data)
		size += len(p.Data)
		if !a.head.Success() && size > f.core.maxFailureBytes {
			return &hollowgrade.OversizeError{Place: hollowgrade.AnswerFailure, Limit: f.core.maxFailureBytes}
		}
		if a.head.Success() && size > maxBufferedBytes {
			return a.passLong(x, w, d)
		}
	}
	a.recordAnswerStart()
	d.stop() // silence of the caller is not the upstream's
	if a.head.Success() {
		return a.passWon(w)
	}
	failed := fault.New(fault.UpstreamFailed, "upstream %s answered with status %d", a.pick.upstream().ID, a.head.Status)
	switch {
	case f.Repeatable():
		f.keepFailure(w)
		return failed
	case a.head.ImpliesNotRun: // but the upstream does not say so
		return failed.WithOutcome(hollowgrade.Unknown)
	default:
		return a.passWon(w)
	}
}

// passWon passes on a buffered answer that has come before those of other upstreams.
func (a *attempt) passWon(w *answer) error {
	if err := a.flow.race.win(a.runner); err != nil {
		return err
	}
	return a.flow.passAnswer(w)
}

// markAtFault makes later calls avoid the upstream that the answer names as the reason why the call
// was refused: the one that answered, or a helper that is gone, draining or full.
func (a *attempt) markAtFault() {
	for m, u := range a.pick.entries {
		if a.head.AtFault == u.ID || a.head.AtFault == u.Address {
			a.flow.core.fleet.markAtFault(m, a.flow.call.ID, fmt.Sprintf("named by %s as at fault for status %d", a.pick.upstream().ID, a.head.Status))
		}
	}
}

// passLong passes on an answer that is too long to be buffered.
func (a *attempt) passLong(x hollowgrade.Exchange, w *answer, d *watchdog) error {
	a.recordAnswerStart()
	d.stop() // an answer of which the caller has a part can't be replaced
	if err := a.passWon(w); err != nil {
		return passError(err)
	}
	for {
		p, err := x.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err = a.flow.sink.Part(p.Data); err != nil {
			return errors.Join(errSink, err)
		}
	}
}

// passError marks an error in passing on an answer that won.
func passError(err error) error {
	if errors.Is(err, errOvertaken) {
		return err
	}
	return errors.Join(errSink, err)
}

// recordAnswerStart records that the answer has begun.
func (a *attempt) recordAnswerStart() {
	if a.answerBegan {
		return
	}
	a.answerBegan, a.begunAt = true, a.flow.core.clock.Now()
	a.stopOverdueTimer()
	a.flow.recordFirst()
}

// recordFirst records when the first part of an answer came.
func (f *flow) recordFirst() {
	f.race.mu.Lock()
	defer f.race.mu.Unlock()
	if f.first == 0 {
		f.first = f.core.clock.Since(f.call.Arrived)
	}
}

// passStream passes on the events of a stream. If the caller has received a head from an earlier
// attempt, it continues after the last event.
func (a *attempt) passStream(x hollowgrade.Exchange, w *watchdog) error {
	f := a.flow
	for {
		p, err := x.Next()
		if errors.Is(err, io.EOF) {
			w.stop()
			return a.passEnd()
		}
		if err != nil {
			return err
		}
		if p.Comment {
			if err = a.keepComment(p.Data); err != nil {
				return err
			}
			continue
		}
		w.reset(0) // silence of the caller is not the upstream's
		f.core.fleet.recordActivity(a.pick.member)
		a.recordAnswerStart()
		a.recordProgress()
		if err = a.passEvent(p); err != nil {
			return err
		}
		w.reset(a.stallTimeout())
	}
}

// passEvent passes on an event that the caller has not received, if no other upstream has spoken before.
func (a *attempt) passEvent(p hollowgrade.Part) error {
	f := a.flow
	if !newer(p.Event, f.lastEventID) {
		a.comments = nil
		return nil
	}
	if err := f.race.win(a.runner); err != nil {
		return err
	}
	f.recordEvent()
	if err := a.passComments(); err != nil {
		return err
	}
	if err := f.sink.Part(p.Data); err != nil {
		return errors.Join(errSink, err)
	}
	f.events++
	if p.Event != "" {
		f.lastEventID = p.Event
	}
	return nil
}

// passEnd passes on the end of a stream. A stream without any event is complete too.
func (a *attempt) passEnd() error {
	if err := a.flow.race.win(a.runner); err != nil {
		return err
	}
	return a.passComments()
}

// recordEvent updates the longest pause between two events of all attempts.
func (f *flow) recordEvent() {
	now := f.core.clock.Now()
	if !f.lastEventAt.IsZero() {
		f.longestPause = max(f.longestPause, now.Sub(f.lastEventAt))
	}
	f.lastEventAt = now
}

func (f *flow) passHead(h hollowgrade.Head) error {
	if f.headSent {
		return nil
	}
	f.headSent = true
	if err := f.sink.Head(h); err != nil {
		return errors.Join(errSink, err)
	}
	return nil
}

// keepComment keeps comments of a stream. They are no progress of the answer, so they are passed on with
// the next event or at the end: until then another attempt can replace this one.
func (a *attempt) keepComment(b []byte) error {
	if len(a.comments)+len(b) > maxCommentBytes {
		return &hollowgrade.OversizeError{Place: hollowgrade.AnswerComments, Limit: maxCommentBytes}
	}
	a.comments = append(a.comments, b...)
	return nil
}

// passComments passes on the comments since the last event, after the head.
func (a *attempt) passComments() error {
	if err := a.flow.passHead(a.head); err != nil || len(a.comments) == 0 {
		return err
	}
	b := a.comments
	a.comments = nil
	if err := a.flow.sink.Part(b); err != nil {
		return errors.Join(errSink, err)
	}
	return nil
}

// newer reports whether an event comes after the last one that the caller has received. Ids that are
// not numbers cannot be compared and count as newer.
func newer(id, last string) bool {
	i, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return true
	}
	l, err := strconv.ParseInt(last, 10, 64)
	return err != nil || i > l
}
