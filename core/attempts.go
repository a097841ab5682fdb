// Package core is the path of a request, whoever sent it and whatever serves
// it: whether it is taken, where it goes, whether it goes there again, and how
// it ends. Fronts decode callers' calls for it, and upstreams are opened
// through interfaces of the root package.
package core

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/fault"
)

// The pauses between attempts at one request when the last one may have run.
// They are short beside the time in which an answer is of use, and long enough
// for an upstream that was just lost to be known as such.
const (
	firstPause = 20 * time.Millisecond
	lastPause  = time.Second
	shortRetry = time.Second // when to come back after a refusal that passes quickly
)

// Work is a request that attempts are made at.
type Work interface {
	// Try makes the n-th attempt, counted from 1. Left is how many may still be
	// sent, this one among them.
	Try(ctx context.Context, n, left int) Try
	// Repeatable reports whether a further run would do no harm, given what the
	// caller has received so far.
	Repeatable() bool
	// Spend takes a retry out of the budgets that bound it, or reports that
	// there is none.
	Spend() bool
}

// Try is what one attempt came to.
type Try struct {
	Err    error // nil when the request has ended well
	Placed bool  // an upstream was picked for the attempt
	Free   bool  // nothing left for the upstream, so the attempt counts for nothing
}

// Attempts bounds the attempts at one request.
type Attempts struct {
	Clock    hollowgrade.Clock
	Max      int
	Deadline time.Time
}

// Run makes attempts until one ends the request. The outcome of the error is
// the worst of all attempts: what one of them may have run is never reported as
// not run.
func (a Attempts) Run(ctx context.Context, w Work) error {
	worst := hollowgrade.NotRun
	p := backoff.NewExponentialBackOff()
	p.InitialInterval = firstPause
	p.MaxInterval = lastPause
	for n, left := 1, a.Max; ; n++ {
		t := w.Try(ctx, n, left)
		if t.Err == nil {
			return nil
		}
		if !t.Free {
			left--
		}
		f := fault.As(t.Err, hollowgrade.Unknown)
		worst = worst.Worse(f.Outcome)
		f = f.WithOutcome(worst)
		if left <= 0 || ctx.Err() != nil || !MayRepeat(f, w.Repeatable()) || !t.Placed && f.Code != fault.GroupBusy {
			return f
		}
		if t.Placed && !t.Free && !w.Spend() {
			return spent(f)
		}
		if t.Placed && f.Outcome == hollowgrade.NotRun {
			continue // another upstream can take it now
		}
		if !a.pause(ctx, p.NextBackOff()) {
			return f
		}
	}
}

// MayRepeat reports whether another attempt could help and does no harm.
// Repeatable says whether a second run would do none. What did not run may
// always be tried elsewhere.
func MayRepeat(f *fault.Error, repeatable bool) bool {
	switch f.Code {
	case fault.UpstreamLost, fault.AnswerCut, fault.UpstreamFailed, fault.Overloaded, fault.Draining, fault.MayNotWait, fault.GroupBusy:
		return f.Outcome == hollowgrade.NotRun || repeatable
	default:
		return false
	}
}

func spent(f *fault.Error) error {
	return fault.New(fault.RetriesSpent, "%s; not tried again: the retry budget is spent", f.Message).
		WithOutcome(f.Outcome).WithRetryAfter(shortRetry)
}

// pause waits before the next attempt. It returns false when that would go
// beyond the deadline.
func (a Attempts) pause(ctx context.Context, d time.Duration) bool {
	return a.Deadline.Sub(a.Clock.Now()) > d && hollowgrade.Sleep(ctx, a.Clock, d)
}
