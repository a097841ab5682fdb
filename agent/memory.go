package agent

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/fault"
	"github.com/hollowgrade/hollowgrade/internal/wire"
	"github.com/hollowgrade/hollowgrade/ledger"
	"github.com/hollowgrade/hollowgrade/peer"
)

// callTimeout bounds a short call to the engine, to the log, or to another agent.
const callTimeout = 2 * time.Second

// leasePiece enters a lease for a piece that the engine keeps for the job. Its memory is part of
// the job's lease or of the group's reservation already, so this lease has no tokens. A piece of a
// group expires with the reservation.
func (a *Agent) leasePiece(j *job, id string) {
	j.pieces = append(j.pieces, id)
	a.mu.Lock()
	defer a.mu.Unlock()
	l := ledger.Lease{ID: id, Owner: j.id, Kind: hollowgrade.ExportAllocation}
	if r, ok := a.memory.Get(j.submit.Reservation); ok {
		l.Owner, l.Expires = r.ID, r.Expires
	}
	a.memory.Grant(l)
}

// releasePieces releases the pieces of a job that has ended. The sweep retries failed releases,
// since the pieces have no lease any more. The pieces of a group stay until the entry releases the
// reservation, or it expires.
func (a *Agent) releasePieces(j *job) {
	if j.submit.Reservation != "" {
		return
	}
	for _, id := range j.pieces {
		a.releaseHolding(id)
	}
}

func (a *Agent) releaseHolding(id string) {
	a.mu.Lock()
	a.releaseLease(id)
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(a.ctx), callTimeout)
	defer cancel()
	if err := a.engine.Release(ctx, id); err != nil {
		a.log.Debug("release failed, the sweep will repeat it", "id", id, "err", err)
	}
}

// releaseReservation releases a reservation and the pieces that were made under it.
func (a *Agent) releaseReservation(id string) {
	a.mu.Lock()
	ls := a.memory.OwnedBy(id)
	a.mu.Unlock()
	for _, l := range ls {
		a.releaseHolding(l.ID)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.grantSteps()
}

// serveReserve reserves memory for a group that spans several engines. The reservation queues like
// any request: otherwise small requests would take each piece of memory as it is freed. When the
// entry ends the exchange, or crashes, all of the group's memory here is released; the expiry
// covers entries that stop responding.
func (a *Agent) serveReserve(ctx context.Context, s *peer.Stream, m *wire.Reserve) error {
	done := a.trackExchange()
	defer done()
	ttl := time.Duration(m.TtlMicros) * time.Microsecond
	ctx, stop := clockwork.WithTimeout(ctx, a.clock, ttl)
	defer stop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		_, _ = s.Receive()
		cancel(errCallerGone)
	}()
	f := &wire.Final{Outcome: string(hollowgrade.Finished)}
	err := a.reserve(ctx, m)
	if err != nil {
		e := fault.As(err, hollowgrade.NotRun)
		f.Outcome, f.Code, f.Message = string(hollowgrade.NotRun), string(e.Code), e.Message
		return s.Send(&wire.Frame{Body: &wire.Frame_Final{Final: f}})
	}
	defer a.releaseReservation(m.Id)
	if err = s.Send(&wire.Frame{Body: &wire.Frame_Final{Final: f}}); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

func (a *Agent) reserve(ctx context.Context, m *wire.Reserve) error {
	if a.engine == nil {
		return fault.New(fault.GroupBusy, "%s has no engine", a.box.Name)
	}
	ttl := time.Duration(m.TtlMicros) * time.Microsecond
	j := newJob(&wire.Submit{
		Id:              m.Id,
		Organisation:    m.Organisation,
		Class:           m.Class,
		MayWait:         true,
		PromptTokens:    m.Tokens,
		RemainingMicros: m.TtlMicros,
	}, nil, a.clock.Now())
	j.id, j.reserveOnly = m.Id, true
	if err := a.admit(j); err != nil {
		return err
	}
	defer a.removeJob(j)
	if err := a.awaitGrant(ctx, j); err != nil {
		return fault.New(fault.GroupBusy, "%s had no room for %d tokens in time", a.box.Name, m.Tokens)
	}
	defer a.stepDone()
	a.prefilled(a.cost(j))
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := a.engine.Reserve(ctx, m.Id, int(m.Tokens), ttl); err != nil {
		a.releaseHolding(m.Id)
		_ = a.engineError(ctx, err)
		return fault.New(fault.GroupBusy, "the engine of %s reserved nothing: %v", a.box.Name, err)
	}
	return nil
}

// sweepLoop compares the ledger with the holdings of the engine at an interval. It also detects
// that the engine stopped answering, and that it answers again. Holdings that a former process left
// behind are not adopted: they are orphans and are released.
func (a *Agent) sweepLoop() {
	for {
		if err := a.sweep(); err != nil && a.ctx.Err() == nil {
			a.log.Warn("engine does not answer", "err", err)
		}
		t := a.clock.NewTimer(a.limits.Sweep)
		select {
		case <-t.Chan():
		case <-a.probe:
			t.Stop()
		case <-a.ctx.Done():
			t.Stop()
			return
		}
	}
}

// markUnreachable treats an engine whose call failed as gone until a sweep, which it requests at
// once, has reached it. Otherwise the agent would attract requests to a crashed engine until the
// next regular sweep.
func (a *Agent) markUnreachable() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reachable {
		a.reachable = false
		a.notify()
	}
	select {
	case a.probe <- struct{}{}:
	default:
	}
}

func (a *Agent) sweep() (err error) {
	ctx, cancel := context.WithTimeout(a.ctx, callTimeout)
	defer cancel()
	load, err := a.engine.Load(ctx)
	if err == nil {
		var held []hollowgrade.Allocation
		held, err = a.engine.Holdings(ctx)
		if errors.Is(err, hollowgrade.ErrUnusedEntries) {
			a.log.Warn("holdings of the engine not used", "err", err)
			err = nil
		}
		if err == nil {
			a.reclaim(ctx, load, held)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.probed = true
	if err != nil {
		a.rejectQueued()
	}
	if a.reachable != (err == nil) {
		a.reachable = err == nil
		a.notify()
		a.grantSteps()
	}
	return err
}

// orphanSweeps is how many sweeps in a row must find a holding without a lease before it is
// released: a holding can be seen before its lease is entered, or after it has ended.
const orphanSweeps = 2

// reclaim releases the holdings without a lease, including those of expired leases.
func (a *Agent) reclaim(ctx context.Context, l hollowgrade.EngineLoad, held []hollowgrade.Allocation) {
	for _, h := range a.orphans(l, held) {
		if err := errors.Join(a.engine.Cancel(ctx, h.ID), a.engine.Release(ctx, h.ID)); err != nil {
			a.log.Warn("cannot release engine memory that has no lease", "id", h.ID, "err", err)
			continue
		}
		a.log.Info("released engine memory that has no lease", "id", h.ID, "kind", h.Kind, "tokens", h.Tokens)
	}
}

func (a *Agent) orphans(l hollowgrade.EngineLoad, held []hollowgrade.Allocation) (os []hollowgrade.Allocation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.memory.SetTotal(l.TotalTokens)
	if len(l.Models) > 0 && !slices.Equal(l.Models, a.models) {
		a.models = l.Models
		a.notify()
	}
	for _, e := range a.memory.Expired(a.clock.Now()) {
		a.releaseLease(e.ID)
	}
	seen := map[string]int{}
	a.orphanTokens = 0
	for _, h := range a.memory.Orphans(held) {
		if _, ok := a.jobs[h.ID]; ok {
			continue
		}
		seen[h.ID] = a.sweepsSeen[h.ID] + 1
		if seen[h.ID] >= orphanSweeps {
			a.orphanTokens += h.Tokens
			os = append(os, h)
		}
	}
	a.sweepsSeen = seen
	return os
}

// OrphanTokens returns the tokens of the holdings that the last two sweeps found without a lease.
func (a *Agent) OrphanTokens() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.orphanTokens
}
