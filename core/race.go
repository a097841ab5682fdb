package core

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/fault"
)

// A silent upstream may go on at any moment, and another one may refuse the call, so what runs is ended
// only when something better has come. A race is one attempt and those that were started beside it:
// each is a runner, and the first runner that has something for the caller ends the others.

var (
	// errOvertaken is why the runners that lost are ended.
	errOvertaken = errors.New("another upstream answered first")
	// errUnresponsive is why the last runner is ended although no other one has an answer.
	errUnresponsive = errors.New("the upstream is silent, and no other one takes the call")
)

// silentStalls is after how many stall timeouts without a sign of life an upstream is not waited for any longer
// if no other one takes the call. A sound one may be silent for longer than one of them.
const silentStalls = 2

// race is the attempts of a flow that run at the same time. Its lock also guards what attempts change in
// their flow before they have won.
type race struct {
	ctx   context.Context // of the flow
	group sync.WaitGroup  // runners that were started beside the first

	mu       sync.Mutex
	runners  []*runner // in the order of their start
	left     int       // attempts that may still be sent
	results  []result  // in the order of their ends
	panicked any       // value of a panic in a runner beside the first
}

// runner makes attempts one after the other until one is answered or another one would not help.
type runner struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	ended  chan struct{}
	lost   bool // whether another runner has won; guarded by the race's lock
}

// result is how an attempt ended.
type result struct {
	Try
	lost bool
}

// sent reports whether the attempt counts.
func (t Try) sent() bool {
	return t.Placed && !t.Free
}

// begin adds a runner, for which an attempt is taken. The lock is held.
func (r *race) begin() *runner {
	u := &runner{ended: make(chan struct{})}
	u.ctx, u.cancel = context.WithCancelCause(r.ctx)
	r.left--
	r.runners = append(r.runners, u)
	return u
}

// end removes a runner whose accounting is done.
func (r *race) end(u *runner) {
	u.cancel(nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runners = slices.DeleteFunc(r.runners, func(o *runner) bool { return o == u })
	close(u.ended)
}

// win ends all other runners and waits until they have ended. It returns an error if another one has won
// before.
func (r *race) win(u *runner) error {
	others, err := r.outrun(u)
	for _, o := range others {
		o.cancel(errOvertaken)
	}
	for _, o := range others {
		<-o.ended
	}
	return err
}

// outrun makes a runner the only one that has not lost, and returns the others.
func (r *race) outrun(u *runner) (others []*runner, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u.lost {
		return nil, errOvertaken
	}
	if len(r.runners) == 1 {
		return nil, nil
	}
	for _, o := range r.runners {
		if o != u {
			o.lost = true
			others = append(others, o)
		}
	}
	r.runners = []*runner{u}
	return others, nil
}

// abort ends all runners and waits for them.
func (r *race) abort() {
	r.mu.Lock()
	us := slices.Clone(r.runners)
	r.mu.Unlock()
	for _, u := range us {
		u.cancel(context.Canceled)
	}
	r.group.Wait()
}

// record keeps the result of an attempt, and returns what was taken for one that was not sent.
func (r *race) record(u *runner, t Try) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !t.sent() {
		r.left++
	}
	r.results = append(r.results, result{t, u.lost})
}

// result returns the result of all attempts: a success if there is one, otherwise the last failure, with
// the worst outcome of all.
func (r *race) result(first Try) Try {
	t, sent, worst := first, 0, hollowgrade.NotRun
	for _, o := range r.results {
		if !o.sent() {
			continue
		}
		sent++
		if o.Err != nil {
			worst = worst.Combine(fault.As(o.Err, hollowgrade.Unknown).Outcome)
		}
		if !o.lost {
			t = o.Try
		}
	}
	if sent == 0 || t.Err == nil {
		return t
	}
	t.Err = fault.As(t.Err, hollowgrade.Unknown).WithOutcome(worst)
	t.Beside = sent - 1
	return t
}

// Try implements [Work]. It ends when the attempt has ended and all those that were started beside it.
func (f *flow) Try(ctx context.Context, n, left int) Try {
	f.race = &race{ctx: ctx, left: left}
	u := f.race.begin()
	defer f.race.abort() // after a panic
	t := f.runFirst(u, n)
	f.race.group.Wait()
	if f.race.panicked != nil {
		panic(f.race.panicked)
	}
	return f.race.result(t)
}

// runFirst makes the attempt beside which others may be started.
func (f *flow) runFirst(u *runner, n int) Try {
	defer f.race.end(u)
	t := f.try(u, n)
	f.race.record(u, t)
	return t
}

// handleSilence makes another attempt beside a silent one, or ends the call if no other upstream takes it and
// this one has sent nothing to any call for the given time since it was sent this one: its caller can then ask
// again in the time that is left.
func (f *flow) handleSilence(a *attempt, sent time.Time, limit time.Duration) {
	r := f.race
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case a.runner.lost || r.runners[len(r.runners)-1] != a.runner:
	case f.takeAttempt():
		f.startBeside(a)
	case f.refusedElsewhere() && f.silentFor(a.pick.upstream(), sent) >= limit:
		f.core.log.Info("given up", "request", f.call.ID, "upstream", a.pick.upstream().ID, "why", "it is silent, and no other one took the call")
		a.runner.lost = true // what comes now is not passed on
		a.runner.cancel(errUnresponsive)
	}
}

// startBeside starts a runner beside a silent one, for which an attempt was taken. The lock is held.
func (f *flow) startBeside(a *attempt) {
	f.core.fleet.recordFailure(a.pick.member, f.call.ID, "silent")
	u := f.race.begin()
	f.race.group.Go(func() { f.runBeside(u) })
}

// refusedElsewhere reports whether only one runner is left, no attempt is, others have failed, and the caller
// has nothing yet. The lock is held.
func (f *flow) refusedElsewhere() bool {
	r := f.race
	if f.first > 0 || len(r.runners) > 1 || r.left > 0 && f.core.fleet.hasUntried(f.service.Name, f.tried) {
		return false
	}
	return slices.ContainsFunc(r.results, func(o result) bool { return o.sent() })
}

// silentFor returns for how long an upstream that was sent a call has sent nothing to any call.
func (f *flow) silentFor(u hollowgrade.Upstream, sent time.Time) time.Duration {
	return f.core.clock.Since(hollowgrade.Later(sent, f.core.fleet.lastActivity(u.Instance())))
}

// takeAttempt reports whether another attempt is possible, and takes a retry out of the budget for it. The
// lock is held.
func (f *flow) takeAttempt() bool {
	return f.race.left > 0 && f.core.fleet.hasUntried(f.service.Name, f.tried) && f.Spend()
}

// runBeside makes attempts until one is answered or another one would not help. The caller waits while
// another upstream is silent, so the next attempt does not wait for more of that.
func (f *flow) runBeside(u *runner) {
	r := f.race
	defer r.end(u)
	defer func() {
		if v := recover(); v != nil {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.panicked = v
		}
	}()
	for {
		t := f.try(u, furtherAttempt)
		r.record(u, t)
		if !t.sent() {
			f.retryPaid.Store(true)
		}
		if t.Err == nil || !t.Placed || !f.mayFollow(u, fault.As(t.Err, hollowgrade.Unknown)) || !f.tryNext() {
			return
		}
	}
}

// mayFollow reports whether another attempt may follow one that failed, after a pause if that may have run.
func (f *flow) mayFollow(u *runner, x *fault.Error) bool {
	if u.ctx.Err() != nil || !MayRepeat(x, f.Repeatable()) {
		return false
	}
	return x.Outcome == hollowgrade.NotRun || hollowgrade.Sleep(u.ctx, f.core.clock, minRetryPause)
}

// tryNext is takeAttempt for a runner that goes on after a failure.
func (f *flow) tryNext() bool {
	f.race.mu.Lock()
	defer f.race.mu.Unlock()
	if !f.takeAttempt() {
		return false
	}
	f.race.left--
	return true
}
