package core

import (
	"context"
	"errors"
	"time"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/fault"
	"github.com/hollowgrade/hollowgrade/quarantine"
)

// Attempts at one call are bounded, and so are all repeats together; neither bounds what a request
// does that ends the upstreams which run it and comes again. Each attempt therefore asks for leave by the
// request's fingerprint, and says how it ended. With three gateways before 24 upstreams, each of them down for
// 1.5 s, one such request ten times a second ended 100 of them in 8 s and left 0.520 of fifty other
// calls a second served (TestRequestThatEndsUpstreams).

// Only upstreams that ended count: connections break for other reasons as well (core/ending.go). What
// cannot be seen at once is seen by their next life (core/unproved.go), or as they go on closing connections (core/closing.go).

// held is the answer to a call whose request is held, or under way alone.
func (f *flow) held(l quarantine.Admission) *fault.Error {
	if l.Block.Since.IsZero() {
		return fault.New(fault.Quarantined, "upstreams ended under this request; one run of it at a time is let through, and one is under way").
			WithRetryAfter(l.RetryAfter)
	}
	return fault.New(fault.Quarantined, "%d upstreams ended one after another under this request, the last was %s; it is sent to none for another %s",
		l.Block.Losses, last(l.Block.Upstreams), l.RetryAfter.Round(time.Second)).
		WithRetryAfter(l.RetryAfter)
}

func last(us []hollowgrade.Life) hollowgrade.Life {
	if len(us) == 0 {
		return "not told"
	}
	return us[len(us)-1]
}

// subject returns what others are told of the call's request.
func (f *flow) subject() quarantine.Subject {
	return quarantine.Subject{Fingerprint: f.fingerprint, Organisation: f.organisation.Name, Route: f.route.Name, Service: f.service.Name}
}

// noteRun tells what an attempt that was sent says of its request: that its upstream was lost under
// it, or that the upstream answered. What ends otherwise, as by a caller that leaves or by
// an upstream that is silent, says nothing.
func (f *flow) noteRun(ctx context.Context, a *attempt, err error) {
	var x *fault.Error
	switch {
	case err == nil, errors.As(err, &x) && x.Code == fault.UpstreamFailed:
		f.core.lost.RecordAnswer(f.fingerprint)
	case connectionLost(err):
		f.noteLoss(ctx, a, f.core.clock.Now())
	}
}

// noteLoss tells that a run was lost if its upstream has ended. A request that was lost before waits for
// that, so that no further run of it begins meanwhile, unless the time of its caller runs out.
func (f *flow) noteLoss(ctx context.Context, a *attempt, at time.Time) {
	u := a.pick.upstream()
	l := quarantine.Loss{Subject: f.subject(), Upstream: u.Life(), Engines: 1 + len(a.pick.helpers), Sent: a.sent, Lost: at}
	noted := make(chan struct{})
	go func() {
		defer close(noted)
		f.core.noteLoss(u, l, f.call.ID)
	}()
	if !f.core.lost.Has(f.fingerprint) {
		return
	}
	select {
	case <-noted:
	case <-ctx.Done():
	}
}

// noteLoss notes a run that was lost at an upstream, once it is known what a look at that shows.
func (c *Core) noteLoss(u hollowgrade.Upstream, l quarantine.Loss, request string) {
	p := c.probeOnce(u, request)
	if p.presence == hollowgrade.Absent {
		c.lost.RecordLoss(l)
		return
	}
	c.unproved.add(u, l)
	if p.presence == hollowgrade.Closing {
		<-c.watch(u, request, p)
	}
}

// connectionLost reports whether an attempt ended since the connection to its upstream did, as when
// the upstream ends.
func connectionLost(err error) bool {
	var x *fault.Error
	if errors.As(err, &x) {
		return false
	}
	for _, other := range []error{hollowgrade.ErrNotSent, hollowgrade.ErrNotAnAnswer, errStalled, errOutOfTime, errSink, hollowgrade.ErrStopping, context.Canceled} {
		if errors.Is(err, other) {
			return false
		}
	}
	return true
}
