package core

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/fault"
)

const (
	// reservationTTL is the time after which memory is freed if its release was lost. It has to be
	// below the deployment's bound of 4 s after the end of the request.
	reservationTTL = 3500 * time.Millisecond
	// renewInterval is the interval of renewals. Two in a row may fail.
	renewInterval = 1200 * time.Millisecond
	// releaseTries bounds the attempts to release memory; a reservation that is not released
	// expires.
	releaseTries = 2
)

// reservation is memory reserved at several engines for one prompt.
type reservation struct {
	core    *Core
	id      string
	request string
	keepers []*member
	entries map[*member]hollowgrade.Upstream
	tokens  int // at each keeper
	cancel  context.CancelFunc
	group   sync.WaitGroup
}

// reserveMemory reserves memory at the keepers of a pick. It returns nil if the prompt needs none.
func (c *Core) reserveMemory(ctx context.Context, request string, n int, p *pick) (t *reservation, err error) {
	if len(p.keepers) == 0 {
		return nil, nil
	}
	t = &reservation{core: c, id: fmt.Sprintf("%s.%d", request, n), request: request, keepers: p.keepers, entries: p.entries, tokens: p.KeptTokens}
	es := t.each(func(m *member) error {
		return c.reserver.Reserve(ctx, p.entries[m], t.id, t.tokens, reservationTTL)
	})
	err = errors.Join(es...)
	c.log.Info("memory asked for", "request", request, "ticket", t.id, "engines", len(t.keepers), "upstreams", ids(t.keepers), "tokens", t.tokens, "err", err)
	r, cancel := context.WithCancel(context.WithoutCancel(ctx))
	t.cancel = cancel
	if err != nil {
		t.end()
		return nil, fault.New(fault.Overloaded, "memory for the prompt was not free at %d engines", len(t.keepers)).
			WithOutcome(hollowgrade.NotRun).WithRetryAfter(shortRetryAfter)
	}
	t.group.Go(func() { t.renew(r) })
	return t, nil
}

// each calls a function concurrently for each keeper.
func (t *reservation) each(f func(m *member) error) []error {
	es := make([]error, len(t.keepers))
	var g sync.WaitGroup
	for i, m := range t.keepers {
		g.Go(func() { es[i] = f(m) })
	}
	g.Wait()
	return es
}

// renew renews the reservation until ctx ends.
func (t *reservation) renew(ctx context.Context) {
	for hollowgrade.Sleep(ctx, t.core.clock, renewInterval) {
		es := t.each(func(m *member) error {
			return t.core.reserver.Reserve(ctx, t.entries[m], t.id, t.tokens, reservationTTL)
		})
		if err := errors.Join(es...); err != nil && ctx.Err() == nil {
			t.core.log.Warn("memory not renewed", "request", t.request, "ticket", t.id, "err", err)
		}
	}
}

// end stops the renewals and releases the memory without waiting for that.
func (t *reservation) end() {
	if t == nil {
		return
	}
	t.cancel()
	go func() {
		t.group.Wait() // a renewal in progress would reserve it again
		t.release()
	}()
}

// release releases the memory. What cannot be released expires.
func (t *reservation) release() {
	es := t.each(func(m *member) (err error) {
		for range releaseTries {
			if err = t.core.reserver.Release(context.Background(), t.entries[m], t.id); err == nil {
				return nil
			}
		}
		return err
	})
	t.core.log.Info("memory freed", "request", t.request, "ticket", t.id, "engines", len(t.keepers), "err", errors.Join(es...))
}

// helpersOf lists the engines that prefill parts for a pick, first those that keep parts.
func (t *reservation) helpersOf(p *pick) (hs []hollowgrade.Helper) {
	kept := map[*member]bool{}
	if t != nil {
		for _, m := range t.keepers {
			kept[m] = true
			hs = append(hs, hollowgrade.Helper{Address: p.entries[m].Address, ReservationID: t.id})
		}
	}
	for _, m := range p.helpers {
		if !kept[m] {
			hs = append(hs, hollowgrade.Helper{Address: p.entries[m].Address})
		}
	}
	return hs
}
