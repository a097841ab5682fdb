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
	// ticketHold is for how long memory is set aside at a time. Memory whose
	// release got lost is free again after it, and it has to be within the
	// deployment's bound, 4 s after the request is over.
	ticketHold = 3500 * time.Millisecond
	// ticketRenew is how often it is renewed: twice may fail.
	ticketRenew = 1200 * time.Millisecond
	// releaseTries bounds the tries to free memory; what fails lapses.
	releaseTries = 2
)

// tickets is memory that is set aside at several engines for one prompt.
type tickets struct {
	core    *Core
	id      string
	request string
	keepers []*member
	at      map[*member]hollowgrade.Upstream
	tokens  int // at each keeper
	cancel  context.CancelFunc
	group   sync.WaitGroup
}

// setAside sets memory aside at the keepers of a pick. It returns nil if the
// prompt needs none.
func (c *Core) setAside(ctx context.Context, request string, n int, p *pick) (t *tickets, err error) {
	if len(p.keepers) == 0 {
		return nil, nil
	}
	t = &tickets{core: c, id: fmt.Sprintf("%s.%d", request, n), request: request, keepers: p.keepers, at: p.at, tokens: p.KeptTokens}
	es := t.each(func(m *member) error {
		return c.reserver.Reserve(ctx, p.at[m], t.id, t.tokens, ticketHold)
	})
	err = errors.Join(es...)
	c.log.Info("memory asked for", "request", request, "ticket", t.id, "engines", len(t.keepers), "upstreams", ids(t.keepers), "tokens", t.tokens, "err", err)
	r, cancel := context.WithCancel(context.WithoutCancel(ctx))
	t.cancel = cancel
	if err != nil {
		t.end()
		return nil, fault.New(fault.Overloaded, "memory for the prompt was not free at %d engines", len(t.keepers)).
			WithOutcome(hollowgrade.NotRun).WithRetryAfter(shortRetry)
	}
	t.group.Go(func() { t.renew(r) })
	return t, nil
}

// each calls a function for each keeper at once.
func (t *tickets) each(f func(m *member) error) []error {
	es := make([]error, len(t.keepers))
	var g sync.WaitGroup
	for i, m := range t.keepers {
		g.Go(func() { es[i] = f(m) })
	}
	g.Wait()
	return es
}

// renew keeps the memory until ctx ends.
func (t *tickets) renew(ctx context.Context) {
	for hollowgrade.Sleep(ctx, t.core.clock, ticketRenew) {
		es := t.each(func(m *member) error {
			return t.core.reserver.Reserve(ctx, t.at[m], t.id, t.tokens, ticketHold)
		})
		if err := errors.Join(es...); err != nil && ctx.Err() == nil {
			t.core.log.Warn("memory not renewed", "request", t.request, "ticket", t.id, "err", err)
		}
	}
}

// end stops the renewals and frees the memory. It does not wait for that.
func (t *tickets) end() {
	if t == nil {
		return
	}
	t.cancel()
	go func() {
		t.group.Wait() // or a renewal under way would set it aside again
		t.free()
	}()
}

// free frees the memory. What cannot be freed lapses.
func (t *tickets) free() {
	es := t.each(func(m *member) (err error) {
		for range releaseTries {
			if err = t.core.reserver.Release(context.Background(), t.at[m], t.id); err == nil {
				return nil
			}
		}
		return err
	})
	t.core.log.Info("memory freed", "request", t.request, "ticket", t.id, "engines", len(t.keepers), "err", errors.Join(es...))
}

// helpersOf lists the engines that read parts for a pick, those that keep parts
// first.
func (t *tickets) helpersOf(p *pick) (hs []hollowgrade.Helper) {
	kept := map[*member]bool{}
	if t != nil {
		for _, m := range t.keepers {
			kept[m] = true
			hs = append(hs, hollowgrade.Helper{Address: p.at[m].Address, Ticket: t.id})
		}
	}
	for _, m := range p.helpers {
		if !kept[m] {
			hs = append(hs, hollowgrade.Helper{Address: p.at[m].Address})
		}
	}
	return hs
}
