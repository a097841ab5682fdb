// Package core routes requests to upstreams, whichever front received them and whichever kind of
// upstream serves them. It decides whether a request is admitted, which upstream it is sent to and
// whether it is retried, and determines its outcome. Fronts decode callers' requests for it; it
// opens upstreams through interfaces of the root package.
package core

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/fault"
)

// The bounds of the pause between attempts if the last one may have run. Pauses are short compared
// with the time in which an answer is useful, and long enough for the loss of an upstream to become
// known.
const (
	minRetryPause   = 20 * time.Millisecond
	maxRetryPause   = time.Second
	shortRetryAfter = time.Second // retry-after of refusals that pass quickly
)

// Work is a request for which attempts are made.
type Work interface {
	// Try makes the n-th attempt, counted from 1. Left is how many may still be sent, including this
	// one.
	Try(ctx context.Context, n, left int) Try
	// Repeatable reports whether another run would do no harm, given what the caller has received so
	// far.
	Repeatable() bool
	// Spend takes a retry out of the budgets, or reports that none is left.
	Spend() bool
}

// Try is the result of one attempt.
type Try struct {
	Err    error // nil if the request succeeded
	Placed bool  // an upstream was picked for the attempt
	Free   bool  // nothing was sent to the upstream, so the attempt doesn't count
	Beside int   // further attempts that were sent while this one ran
}

// Attempts bounds the attempts at one request.
type Attempts struct {
	Clock    hollowgrade.Clock
	Max      int
	Deadline time.Time
}

// Run makes attempts until one ends the request. The outcome of the error is the worst of all
// attempts, so that a request that may have run is never reported as not run.
func (a Attempts) Run(ctx context.Context, w Work) error {
	worst := hollowgrade.NotRun
	p := backoff.NewExponentialBackOff()
	p.InitialInterval = minRetryPause
	p.MaxInterval = maxRetryPause
	for n, left := 1, a.Max; ; n++ {
		t := w.Try(ctx, n, left)
		if t.Err == nil {
			return nil
		}
		if !t.Free {
			left--
		}
		left -= t.Beside
		f := fault.As(t.Err, hollowgrade.Unknown)
		worst = worst.Combine(f.Outcome)
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

// MayRepeat reports whether another attempt could help and does no harm. Repeatable says whether a
// second run is harmless. A request that did not run may always be tried elsewhere.
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
		WithOutcome(f.Outcome).WithRetryAfter(shortRetryAfter)
}

// pause waits before the next attempt. It returns false without waiting if that would exceed the
// deadline.
func (a Attempts) pause(ctx context.Context, d time.Duration) bool {
	return a.Deadline.Sub(a.Clock.Now()) > d && hollowgrade.Sleep(ctx, a.Clock, d)
}
