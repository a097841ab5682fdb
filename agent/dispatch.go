package agent

import (
	"context"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/fault"
	"github.com/hollowgrade/hollowgrade/ledger"
	"github.com/hollowgrade/hollowgrade/sched"
)

// awaitGrant queues the job's next step and returns once it may be sent to the upstream. An error
// means that the step was removed from the queue and will not be started.
func (a *Agent) awaitGrant(ctx context.Context, j *job) error {
	a.mu.Lock()
	j.grant, j.rejected = make(chan struct{}), make(chan struct{})
	i := a.item(j)
	a.queue.Push(i)
	a.waiting[i] = j
	a.queued[i.Class] += i.Cost
	a.grantSteps()
	a.mu.Unlock()
	select {
	case <-j.grant:
		return a.checkDeadline(ctx, i)
	case <-j.rejected:
		return a.upstreamGone()
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.queue.Remove(i):
		a.dequeued(i)
	case isClosed(j.grant):
		a.returnGrant(i)
	}
	return context.Cause(ctx)
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// rejectQueued rejects all queued steps. The lock must be held.
func (a *Agent) rejectQueued() {
	for i, j := range a.waiting {
		if a.queue.Remove(i) {
			a.dequeued(i)
			close(j.rejected)
		}
	}
}

// checkDeadline gives the grant back and returns an error if ctx ended at the same time.
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
	a.pendingPrefill -= i.Cost
	a.grantSteps()
}

func (a *Agent) dequeued(i *sched.Item) {
	delete(a.waiting, i)
	a.queued[i.Class] -= i.Cost
}

// grantSteps grants as many steps as the upstream has room for. The lock must be held.
func (a *Agent) grantSteps() {
	for {
		i := a.queue.Pop(a.clock.Now(), a.fits)
		if i == nil {
			return
		}
		j := a.waiting[i]
		a.dequeued(i)
		a.leaseMemory(j)
		a.running++
		a.pendingPrefill += i.Cost
		close(j.grant)
	}
}

// fits reports whether the upstream has room for the step. The later pieces of a job need no more
// memory than its lease.
func (a *Agent) fits(i *sched.Item) bool {
	j := a.waiting[i]
	if a.running >= a.limits.MaxRunning || !a.reachable {
		return false
	}
	if a.engine == nil {
		return true
	}
	if a.pendingPrefill > 0 && a.pendingPrefill+i.Cost > a.limits.PrefillWindow {
		return false
	}
	if _, ok := a.memory.Get(j.id); ok || j.submit.Reservation != "" {
		return true
	}
	n := j.request.Tokens()
	if a.isLong(n) && a.longLeased > 0 && float64(a.longLeased+n) > a.longShare(j)*float64(a.memory.Total()) {
		return false
	}
	return a.memory.Fits(n)
}

// longShare is the share of the memory that long requests may hold together, with this job: the
// agent's own limit, or the policy's if that is lower. A single long request is admitted whatever
// its size.
func (a *Agent) longShare(j *job) float64 {
	if s := j.request.Decision.Share; s > 0 {
		return min(s, a.limits.LongShare)
	}
	return a.limits.LongShare
}

// leaseMemory enters the job's memory into the ledger when its first step is granted.
func (a *Agent) leaseMemory(j *job) {
	if a.engine == nil || j.submit.Reservation != "" {
		return
	}
	n := j.request.Tokens()
	l := ledger.Lease{ID: j.id, Owner: j.request.ID, Kind: hollowgrade.SequenceAllocation, Tokens: n}
	if j.reserveOnly {
		l.Kind, l.Expires = hollowgrade.ReservationAllocation, j.request.Deadline
	}
	if a.memory.Grant(l) && a.isLong(n) {
		a.longLeased += n
	}
}

// prefilled records that the engine has prefilled the tokens of a step, so that the next step may
// be granted.
func (a *Agent) prefilled(tokens int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pendingPrefill -= tokens
	a.grantSteps()
}

// stepDone records that a step has left the upstream.
func (a *Agent) stepDone() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running--
	a.grantSteps()
}

// mayStart is the last check before anything is sent to the upstream: the claim on the key must
// still hold by this process's own monotonic clock, and no higher epoch may be known. It stops a
// process that was paused after its grant. A pause between this check and the write of the first
// byte is not detected: an upstream that checks no fence may then run a request whose key has a new
// owner. The new owner answers "unknown" for that key, so it never starts a second run.
func (a *Agent) mayStart(j *job) error {
	if j.request.Key == "" {
		return nil
	}
	hollowgrade.CheckSuspension(a.clock) // otherwise a lease that expired during a suspension would seem valid
	if !a.clock.Now().Before(j.lease) {
		return fault.New(fault.ClaimLapsed, "the claim on the key lapsed before the start").WithRetryAfter(minRetryAfter)
	}
	if a.keys != nil && a.keys.Fenced(j.request.Organisation, j.request.Key, j.submit.Epoch) {
		return fault.New(fault.ClaimLapsed, "the key has a new owner since epoch %d", j.submit.Epoch).WithRetryAfter(minRetryAfter)
	}
	return nil
}
