package core

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/fault"
	"github.com/hollowgrade/hollowgrade/quarantine"
)

// The bounds on attempts and retries don't protect from a request that crashes the upstreams which
// run it and is sent again by its caller, nor from requests that share a part of their prompts which
// does. So each attempt asks the quarantine for admission by the request's fingerprint and parts, and
// reports its outcome.

// Only crashes of upstreams count, since connections break for other reasons as well (see
// probeOnce). A crash that a probe doesn't show at once is confirmed by the next instance (see
// unconfirmedLosses) or by continued closing of connections (see watch).

// quarantinedError returns the error of a call whose request is blocked, or is already running while
// only one run at a time is admitted.
func (f *flow) quarantinedError(l quarantine.Admission) *fault.Error {
	if l.Block.Since.IsZero() {
		return fault.New(fault.Quarantined, "upstreams ended under this request; one run of it at a time is let through, and one is under way").
			WithRetryAfter(l.RetryAfter)
	}
	return fault.New(fault.Quarantined, "%d upstreams ended one after another under %s, the last was %s; it is sent to none for another %s",
		l.Block.Losses, suspectName(l.Block), lastUpstream(l.Block.Upstreams), l.RetryAfter.Round(time.Second)).
		WithRetryAfter(l.RetryAfter)
}

// suspectName names what is blocked to callers.
func suspectName(b quarantine.Block) string {
	if b.Kind == quarantine.KindRequest {
		return "this request"
	}
	ids := []string{hollowgrade.PartID(b.Fingerprint).String()}
	for _, p := range b.With {
		ids = append(ids, p.String())
	}
	return "requests with part " + strings.Join(ids, " and ") + " in their prompts, as this one has"
}

func lastUpstream(us []hollowgrade.Instance) hollowgrade.Instance {
	if len(us) == 0 {
		return "not told"
	}
	return us[len(us)-1]
}

// identity identifies the call's request in the quarantine.
func (f *flow) identity() quarantine.Request {
	return quarantine.Request{
		Subject: quarantine.Subject{Fingerprint: f.fingerprint, Organisation: f.organisation.Name, Route: f.route.Name, Service: f.service.Name},
		Parts:   f.call.Parts,
	}
}

// recordOutcome reports to the quarantine that the upstream of a sent attempt answered, or was lost.
// Other outcomes, such as a caller that leaves or a silent upstream, are no evidence about the
// request.
func (f *flow) recordOutcome(ctx context.Context, a *attempt, err error) {
	var x *fault.Error
	switch {
	case err == nil, errors.As(err, &x) && x.Code == fault.UpstreamFailed:
		f.core.quarantine.RecordAnswer(f.identity(), err == nil && a.head.Success())
	case connectionLost(err):
		f.recordLoss(ctx, a, f.core.clock.Now())
	}
}

// minWritingTime is how long an upstream has to write an answer until that speaks for the parts of its
// prompt. What crashes an upstream as it begins to answer does so in a fraction of that.
const minWritingTime = 2 * time.Second

// recordProgress reports that an answer has been written for some time, whatever ends it later: its
// caller may leave, or another request may crash the upstream.
func (a *attempt) recordProgress() {
	f := a.flow
	if a.progressRecorded || f.core.clock.Since(a.begunAt) < minWritingTime {
		return
	}
	a.progressRecorded = true
	f.core.quarantine.RecordProgress(f.identity())
}

// recordLoss reports a lost run if its upstream has crashed. If the request is suspected already, it
// waits until that is known or ctx ends, so that no other run of the request begins meanwhile.
func (f *flow) recordLoss(ctx context.Context, a *attempt, at time.Time) {
	u := a.pick.upstream()
	l := quarantine.Loss{Request: f.identity(), Upstream: u.Instance(), Engines: 1 + len(a.pick.helpers), Sent: a.sent, Lost: at}
	noted := make(chan struct{})
	go func() {
		defer close(noted)
		f.core.recordLoss(u, l, f.call.ID)
	}()
	if !f.core.quarantine.Suspected(f.identity()) {
		return
	}
	select {
	case <-noted:
	case <-ctx.Done():
	}
}

// recordLoss reports a run that was lost at an upstream once a probe shows whether the upstream has
// crashed.
func (c *Core) recordLoss(u hollowgrade.Upstream, l quarantine.Loss, request string) {
	p := c.probeOnce(u, request, l.Lost)
	if p.presence == hollowgrade.Absent {
		c.quarantine.RecordLoss(l)
		return
	}
	c.unconfirmed.add(u, l)
	if p.presence == hollowgrade.Closing {
		c.quarantine.RecordUnconfirmed(l)
		<-c.watch(u, request, p)
	}
}

// connectionLost reports whether an attempt failed because the connection to its upstream broke, as
// it does when the upstream crashes.
func connectionLost(err error) bool {
	var x *fault.Error
	if errors.As(err, &x) {
		return false
	}
	for _, other := range []error{hollowgrade.ErrNotSent, hollowgrade.ErrNotAnAnswer, errOvertaken, errOutOfTime, errSink, hollowgrade.ErrStopping, context.Canceled} {
		if errors.Is(err, other) {
			return false
		}
	}
	return true
}
