package agent

import (
	"context"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/fault"
	"github.com/hollowgrade/hollowgrade/ledger"
	"github.com/hollowgrade/hollowgrade/sched"
)

// await queues the job's next step and returns once it may be given to the
// upstream. An error means that the step was taken out of the queue and will
// not be started.
func (a *Agent) await(ctx context.Context, j *job) error {
	a.mu.Lock()
	j.grant, j.bounced = make(chan struct{}), make(chan struct{})
	i := a.item(j)
	a.queue.Push(i)
	a.waiting[i] = j
	a.queued[i.Class] += i.Cost
	a.pump()
	a.mu.Unlock()
	select {
	case <-j.grant:
		return a.checkDeadline(ctx, i)
	case <-j.bounced:
		return a.upstreamGone()
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.queue.Remove(i):
		a.dequeued(i)
	case closed(j.grant):
		a.returnGrant(i)
	}
	return context.Cause(ctx)
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// bounce gives back everything that waits. The lock is held.
func (a *Agent) bounce() {
	for i, j := range a.waiting {
		if a.queue.Remove(i) {
			a.dequeued(i)
			close(j.bounced)
		}
	}
}

// checkDeadline gives the grant back if the deadline passed together with it.
func (a *Agent) checkDeadline(ctx context.Context, i *sched.Item) error {
	if ctx.Err() == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.returnGrant(i)
	return context.Cause(ctx)
}

func (a *Agent) returnGrant(i *sched.Item) {
	a.running--
	a.prefill -= i.Cost
	a.pump()
}

func (a *Agent) dequeued(i *sched.Item) {
	delete(a.waiting, i)
	a.queued[i.Class] -= i.Cost
}

// pump grants as many steps as the upstream has room for. The lock is held.
func (a *Agent) pump() {
	for {
		i := a.queue.Pop(a.clock.Now(), a.fits)
		if i == nil {
			return
		}
		j := a.waiting[i]
		a.dequeued(i)
		a.take(j)
		a.running++
		a.prefill += i.Cost
		close(j.grant)
	}
}

// fits reports whether the upstream has room for the step. Once a job holds
// its memory, its later pieces need none.
func (a *Agent) fits(i *sched.Item) bool {
	j := a.waiting[i]
	if a.running >= a.limits.MaxRunning || !a.reachable {
		return false
	}
	if a.engine == nil {
		return true
	}
	if a.prefill > 0 && a.prefill+i.Cost > a.limits.PrefillWindow {
		return false
	}
	if _, ok := a.memory.Get(j.id); ok || j.submit.Reservation != "" {
		return true
	}
	n := j.request.Tokens()
	if a.long(n) && a.longHeld > 0 && float64(a.longHeld+n) > a.longShare(j)*float64(a.memory.Total()) {
		return false
	}
	return a.memory.Fits(n)
}

// longShare is the part of the memory that long requests may hold together for
// the job to join them: the agent's own limit, or the policy's if that is less.
// A single long request is let in whatever its size.
func (a *Agent) longShare(j *job) float64 {
	if s := j.request.Decision.Share; s > 0 {
		return min(s, a.limits.LongShare)
	}
	return a.limits.LongShare
}

// take enters the job's memory into the ledger when its first step is granted.
func (a *Agent) take(j *job) {
	if a.engine == nil || j.submit.Reservation != "" {
		return
	}
	n := j.request.Tokens()
	l := ledger.Lease{ID: j.id, Owner: j.request.ID, Kind: hollowgrade.SequenceAllocation, Tokens: n}
	if j.reserves {
		l.Kind, l.Expires = hollowgrade.ReservationAllocation, j.request.Deadline
	}
	if a.memory.Grant(l) && a.long(n) {
		a.longHeld += n
	}
}

// prefilled tells the dispatcher that the engine has worked off the tokens of
// a step, so that the next one may be given to it.
func (a *Agent) prefilled(tokens int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.prefill -= tokens
	a.pump()
}

// stepDone tells the dispatcher that a step has left the upstream.
func (a *Agent) stepDone() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running--
	a.pump()
}

// mayStart is the very last check before anything goes to the upstream: the
// claim on the key must still hold by this process's own monotonic clock, and
// no higher epoch may be known. A process that was paused after its grant
// stops here.
//
// The window that remains: the check and the write of the first byte are two
// steps, and a process can be paused between them. An upstream that checks no
// fence can then be given a request whose key has a new owner; the new owner
// answers "unknown" for that key, so a second run cannot come from it.
func (a *Agent) mayStart(j *job) error {
	if j.request.Key == "" {
		return nil
	}
	hollowgrade.CheckSuspension(a.clock) // or a lease that lapsed while the machine was suspended would seem to hold
	if !a.clock.Now().Before(j.lease) {
		return fault.New(fault.ClaimLapsed, "the claim on the key lapsed before the start").WithRetryAfter(minRetryAfter)
	}
	if a.keys != nil && a.keys.Fenced(j.request.Organisation, j.request.Key, j.submit.Epoch) {
		return fault.New(fault.ClaimLapsed, "the key has a new owner since epoch %d", j.submit.Epoch).WithRetryAfter(minRetryAfter)
	}
	return nil
}
