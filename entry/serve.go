package entry

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/config"
	"github.com/hollowgrade/hollowgrade/core"
	"github.com/hollowgrade/hollowgrade/fault"
	"github.com/hollowgrade/hollowgrade/peer"
	"github.com/hollowgrade/hollowgrade/sched"
)

// serve processes a request until it ends in an answer or an error. It returns within the allowed
// time, and at once when nothing more can be done.
func (e *Entry) serve(ctx context.Context, q *query, o config.Organisation) (err error) {
	if q.request.Key != "" {
		// A run under a key goes on without its caller, so that the keeper learns its outcome and
		// can reply to a repeated request with the key.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, stop := clockwork.WithDeadline(ctx, e.clock, q.request.Deadline)
	defer stop()
	defer func() { e.recordEnd(q, err) }()
	if q.request.Key != "" {
		var replayed bool
		if replayed, err = e.claimKey(ctx, q); err != nil || replayed {
			return err
		}
		defer func() { e.settleKey(q, err) }()
	}
	release, err := e.admit(q.request, o)
	if err != nil {
		return err
	}
	defer release()
	err = e.runAttempts(ctx, q)
	return err
}

// runAttempts makes attempts until one ends the request.
func (e *Entry) runAttempts(ctx context.Context, q *query) error {
	a := core.Attempts{Clock: e.clock, Max: e.limits.MaxAttempts, Deadline: q.request.Deadline}
	return a.Run(ctx, &attempts{entry: e, query: q, tried: map[*link]bool{}})
}

// attempts implements [core.Work] for a request that goes through agents.
type attempts struct {
	entry *Entry
	query *query
	tried map[*link]bool
	last  *link // of the last attempt
}

// Try implements [core.Work].
func (a *attempts) Try(ctx context.Context, n, _ int) core.Try {
	a.query.request = a.query.request.WithAttempt(n)
	l, err := a.entry.attemptOnce(ctx, a.query, a.tried)
	if l != nil {
		a.tried[l] = true
		a.last = l
	}
	return core.Try{Err: err, Placed: l != nil}
}

// Repeatable implements [core.Work]. A request may be repeated if the policy allows it and the
// answer can be continued from what the caller has received.
func (a *attempts) Repeatable() bool {
	return a.query.request.Decision.Repeatable && !a.query.began
}

// Spend implements [core.Work].
func (a *attempts) Spend() bool {
	return a.entry.spendRetry(a.query, a.last)
}

// attemptOnce selects an upstream and makes one attempt. The link is that of the upstream, or nil
// if the request was sent to none.
func (e *Entry) attemptOnce(ctx context.Context, q *query, tried map[*link]bool) (l *link, err error) {
	if q.request.Service == "" && e.needsGroup(q.request) {
		return e.timed(q, "group for ", func() (*link, error) { return e.serveGroup(ctx, q) })
	}
	if q.request.Service != "" {
		return e.timed(q, "", func() (*link, error) { return e.attemptPlaced(ctx, q, tried) })
	}
	return e.attemptPlaced(ctx, q, tried)
}

// timed makes an attempt whose duration cannot be predicted from its request: what is expected of it is what
// others with the same target took.
func (e *Entry) timed(q *query, kind string, attempt func() (*link, error)) (l *link, err error) {
	key := kind + target(q.request)
	if err = e.checkStop(q, e.durations.Expected(key)); err != nil {
		return nil, err
	}
	sent := e.clock.Now()
	if l, err = attempt(); err == nil {
		e.durations.Record(key, e.clock.Since(sent), 0, 0)
	}
	return l, err
}

// attemptPlaced is attemptOnce for a request that one upstream serves.
func (e *Entry) attemptPlaced(ctx context.Context, q *query, tried map[*link]bool) (l *link, err error) {
	l, c, err := e.place(q, tried)
	if err != nil {
		return nil, err
	}
	err = e.attempt(ctx, l, c, q)
	e.removeSent(l, q.request.ID)
	e.recordResult(l, err)
	return l, err
}

// recordResult reports the result of an attempt to the link's breaker.
func (e *Entry) recordResult(l *link, err error) {
	var f *fault.Error
	switch {
	case err == nil:
		l.breaker.Succeed()
	case errors.As(err, &f) && (f.Code == fault.UpstreamLost || f.Code == fault.AnswerCut):
		l.breaker.Fail(e.clock.Now())
	}
}

// spendRetry takes a retry from the budgets of the organisation and of the upstream.
func (e *Entry) spendRetry(q *query, l *link) bool {
	e.mu.Lock()
	u := e.usageOf(q.request.Organisation)
	e.mu.Unlock()
	if !u.budget.Spend() {
		return false
	}
	if !l.budget.Spend() {
		u.budget.Refund()
		return false
	}
	return true
}

// sleepWithinDeadline waits before the keeper is called again. It returns false if the deadline
// would pass or ctx ends.
func (e *Entry) sleepWithinDeadline(ctx context.Context, q *query, d time.Duration) bool {
	return q.request.Remaining(e.clock.Now()) > d && hollowgrade.Sleep(ctx, e.clock, d)
}

// place selects an agent that has not been tried, and refuses the request at once if none could
// answer in time.
func (e *Entry) place(q *query, tried map[*link]bool) (*link, *peer.Conn, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ls, loads := e.candidates(q, tried)
	if len(ls) == 0 {
		return nil, nil, noUpstream(q.request, len(tried))
	}
	w := work(q.request)
	i := e.placement.Pick(w, loads)
	if i < 0 {
		return nil, nil, fault.New(fault.NoUpstream, "each upstream for %s is leaving or cut off", target(q.request)).WithRetryAfter(shortRetryAfter)
	}
	if err := e.checkEstimate(q, loads[i], w); err != nil {
		return nil, nil, err
	}
	l := ls[i]
	now := e.clock.Now()
	l.breaker.Allow(now)
	l.addSent(q.request.ID, max(w.PromptTokens-l.load.CachedTokens, 1), now)
	l.budget.Deposit()
	e.prefixes.Add(q.prefixes, l.box.Peer)
	return l, l.conn, nil
}

func work(r hollowgrade.Request) sched.Work {
	return sched.Work{Class: r.Decision.Class, PromptTokens: r.PromptTokens, MaxTokens: r.MaxTokens}
}

func target(r hollowgrade.Request) string {
	if r.Service != "" {
		return "service " + r.Service
	}
	return "model " + r.Model
}

func noUpstream(r hollowgrade.Request, tried int) error {
	if tried > 0 {
		return fault.New(fault.Overloaded, "each of the %d upstreams for %s refused", tried, target(r)).WithRetryAfter(shortRetryAfter)
	}
	return fault.New(fault.NoUpstream, "no upstream for %s is connected", target(r)).WithRetryAfter(shortRetryAfter)
}

// maxCandidates bounds the upstreams that one placement compares. If more serve the request,
// placements take this many in rotation, and those that hold the prefix.
const maxCandidates = 32

// candidates returns agents that serve the request, with their loads.
func (e *Entry) candidates(q *query, tried map[*link]bool) (ls []*link, loads []*sched.Load) {
	now := e.clock.Now()
	all := e.serving(target(q.request))
	holders := e.prefixes.Holders(q.prefixes)
	ls = make([]*link, 0, maxCandidates+len(holders))
	loads = make([]*sched.Load, 0, maxCandidates+len(holders))
	add := func(l *link) {
		l.load.Suspect = l.breaker.Open(now)
		l.load.CachedTokens = 0
		ls = append(ls, l)
		loads = append(loads, &l.load)
	}
	n := min(len(all), maxCandidates)
	e.candidateOffset += n
	for i := range n {
		if l := all[(e.candidateOffset+i)%len(all)]; !tried[l] {
			add(l)
		}
	}
	for _, h := range holders {
		l := e.links[h.Upstream]
		if l == nil || tried[l] || !l.serves(q.request) {
			continue
		}
		if !slices.Contains(ls, l) {
			add(l)
		}
		l.load.CachedTokens = h.Bytes / bytesPerToken
	}
	return ls, loads
}

// serving returns the connected agents that serve a target. The lists are rebuilt only after an
// agent connected, disconnected, or changed what it serves.
func (e *Entry) serving(target string) []*link {
	if e.targets == nil {
		e.targets = map[string][]*link{}
		for _, l := range e.order {
			for _, t := range l.targets() {
				e.targets[t] = append(e.targets[t], l)
			}
		}
	}
	return e.targets[target]
}

// checkEstimate refuses a request whose estimated time exceeds its remaining time, or that of a planned stop.
func (e *Entry) checkEstimate(q *query, l *sched.Load, w sched.Work) error {
	if q.request.Service != "" {
		return nil
	}
	w.MaxTokens -= len(q.tokens)
	p := sched.Predict(l, w)
	if q.ideal == 0 {
		q.ideal = p.First - p.Wait
	}
	left := q.request.Remaining(e.clock.Now())
	if p.Total <= left {
		return e.checkStop(q, p.Total)
	}
	f := fault.New(fault.CannotMakeIt, "the answer would take %s at the best upstream, allowed are %s",
		p.Total.Round(time.Millisecond), left.Round(time.Millisecond))
	if p.Wait > 0 && p.Total-p.Wait <= left {
		f = f.WithRetryAfter(max(p.Total-left, minRetryAfter))
	}
	return f
}

const minRetryAfter = 100 * time.Millisecond

// recordEnd logs and counts a request.
func (e *Entry) recordEnd(q *query, err error) {
	o := Observation{
		Organisation: q.request.Organisation,
		Kind:         q.request.Kind,
		Model:        q.request.Model,
		Service:      q.request.Service,
		Outcome:      hollowgrade.Finished,
		PromptTokens: q.request.PromptTokens,
		FirstToken:   q.first,
		Ideal:        q.ideal,
		Took:         e.clock.Since(q.arrived),
		Attempts:     q.request.Attempt,
		Tokens:       len(q.tokens),
	}
	if err != nil {
		f := fault.As(err, hollowgrade.Unknown)
		o.Outcome, o.Code = f.Outcome, f.Code
	}
	e.log.Info("request ended",
		"request", q.request.ID, "organisation", o.Organisation, "kind", o.Kind, "outcome", o.Outcome, "code", o.Code,
		"attempts", o.Attempts, "tokens", o.Tokens, "first_token_ms", o.FirstToken.Milliseconds(), "took_ms", o.Took.Milliseconds())
	e.observe(o)
}
