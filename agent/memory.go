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

// engineTimeout bounds the short calls to the engine.
const engineTimeout = 2 * time.Second

// hold notes a piece that the engine keeps for the job. Its memory is part of
// the job's lease or of the group's reservation already, so its own lease
// counts nothing. A piece of a group ends with the reservation.
func (a *Agent) hold(j *job, id string) {
	j.held = append(j.held, id)
	a.mu.Lock()
	defer a.mu.Unlock()
	l := ledger.Lease{ID: id, Owner: j.id, Kind: hollowgrade.ExportAllocation}
	if r, ok := a.memory.Get(j.submit.Reservation); ok {
		l.Owner, l.Expires = r.ID, r.Expires
	}
	a.memory.Grant(l)
}

// releasePieces frees the pieces of a job that has ended. What cannot be freed
// now, the sweep will free: no lease answers for it any longer. The pieces of
// a group stay until the entry releases the reservation, or it expires.
func (a *Agent) releasePieces(j *job) {
	if j.submit.Reservation != "" {
		return
	}
	for _, id := range j.held {
		a.free(id)
	}
}

func (a *Agent) free(id string) {
	a.mu.Lock()
	a.releaseLease(id)
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(a.ctx), engineTimeout)
	defer cancel()
	if err := a.engine.Release(ctx, id); err != nil {
		a.log.Debug("release failed, the sweep will repeat it", "id", id, "err", err)
	}
}

// freeOwned frees a reservation and the pieces that were made under it.
func (a *Agent) freeOwned(id string) {
	a.mu.Lock()
	ls := a.memory.OwnedBy(id)
	a.mu.Unlock()
	for _, l := range ls {
		a.free(l.ID)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pump()
}

// serveReserve sets memory aside for a group that spans several engines. The
// reservation waits its turn in the queue like any request: otherwise small
// requests would take each piece of memory that comes free. It stands as long
// as its exchange: when the entry ends that, or dies, all of the group's memory
// here is freed. The expiry is for entries that fall silent.
func (a *Agent) serveReserve(ctx context.Context, s *peer.Stream, m *wire.Reserve) error {
	done := a.receives()
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
	defer a.freeOwned(m.Id)
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
	j.id, j.reserves = m.Id, true
	if err := a.admit(j); err != nil {
		return err
	}
	defer a.leave(j)
	if err := a.await(ctx, j); err != nil {
		return fault.New(fault.GroupBusy, "%s had no room for %d tokens in time", a.box.Name, m.Tokens)
	}
	defer a.stepDone()
	a.prefilled(a.cost(j))
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	if err := a.engine.Reserve(ctx, m.Id, int(m.Tokens), ttl); err != nil {
		a.free(m.Id)
		_ = a.engineError(ctx, err)
		return fault.New(fault.GroupBusy, "the engine of %s reserved nothing: %v", a.box.Name, err)
	}
	return nil
}

// sweepLoop compares the ledger with what the engine holds. It is also the
// probe that finds the engine gone and back, and it adopts nothing: what a
// former process left behind is an orphan, and is freed.
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

// suspectEngine takes an engine that broke off as gone until the next sweep,
// which it asks for at once, has found it there. Without this the agent would
// draw requests to a dead engine until the sweep's turn came.
func (a *Agent) suspectEngine() {
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
	ctx, cancel := context.WithTimeout(a.ctx, engineTimeout)
	defer cancel()
	load, err := a.engine.Load(ctx)
	if err == nil {
		var held []hollowgrade.Allocation
		held, err = a.engine.Holdings(ctx)
		if err == nil {
			a.reclaim(ctx, load, held)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.probed = true
	if err != nil {
		a.bounce()
	}
	if a.reachable != (err == nil) {
		a.reachable = err == nil
		a.notify()
		a.pump()
	}
	return err
}

// orphanSweeps is how many sweeps in a row must find a holding without a lease
// before it is freed: a holding can be seen before its lease, or after.
const orphanSweeps = 2

// reclaim frees what no lease answers for, and what expired leases held.
func (a *Agent) reclaim(ctx context.Context, l hollowgrade.EngineLoad, held []hollowgrade.Allocation) {
	for _, h := range a.orphans(l, held) {
		if err := errors.Join(a.engine.Cancel(ctx, h.ID), a.engine.Release(ctx, h.ID)); err != nil {
			a.log.Warn("orphan not freed", "id", h.ID, "err", err)
			continue
		}
		a.log.Info("orphan freed", "id", h.ID, "kind", h.Kind, "tokens", h.Tokens)
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
	a.lost = 0
	for _, h := range a.memory.Orphans(held) {
		if _, ok := a.jobs[h.ID]; ok {
			continue
		}
		seen[h.ID] = a.suspects[h.ID] + 1
		if seen[h.ID] >= orphanSweeps {
			a.lost += h.Tokens
			os = append(os, h)
		}
	}
	a.suspects = seen
	return os
}

// Lost returns how many tokens the engine held at the last two sweeps that no
// lease answered for.
func (a *Agent) Lost() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lost
}
