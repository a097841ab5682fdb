package core

import (
	"context"
	"errors"
	"math"
	"sync/atomic"
	"time"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/fault"
	"github.com/hollowgrade/hollowgrade/placement"
	"github.com/hollowgrade/hollowgrade/retry"
)

// maxBufferedBytes is the size up to which the body of a plain answer is buffered before any of it
// is passed on, so that a broken answer can still be replaced by that of another attempt.
const maxBufferedBytes = 256 << 10

const (
	// maxCommentBytes bounds the comments of a stream between two events. Short ones cost much more
	// processor time than their bytes suggest.
	maxCommentBytes = 4 << 10
	// DefaultMaxFailureBytes bounds the body of an answer that is no success.
	DefaultMaxFailureBytes = 64 << 10
)

// defaultAllowed bounds a call if neither its caller nor its route sets a time.
const defaultAllowed = 30 * time.Second

// waitForEngines waits until the picked engines have nearly finished their backlog, and returns how
// long that took.
func (f *flow) waitForEngines(ctx context.Context, p *pick) time.Duration {
	if p.SendDelay <= 0 {
		return 0
	}
	begin := f.core.clock.Now()
	hollowgrade.Sleep(ctx, f.core.clock, p.SendDelay)
	return f.core.clock.Since(begin)
}

// maxMemoryTries bounds the attempts that fail for want of free memory: each costs a reservation
// request to every engine involved.
const maxMemoryTries = 2

var (
	errOutOfTime = errors.New("the allowed time has passed")
	errSink      = errors.New("caller is gone")
)

// flow is one call in progress. It implements [Work].
type flow struct {
	core         *Core
	call         hollowgrade.Call
	sink         hollowgrade.Sink
	catalog      *Catalog
	age          time.Duration // of the configuration when the call was admitted
	route        Route
	organisation Organisation
	fingerprint  hollowgrade.Fingerprint // zero until the call is admitted
	service      Service
	budget       *retry.Window
	deadline     time.Time
	race         *race // of the current attempt

	noMemory     int                           // attempts that failed for want of free memory
	mayHaveRun   atomic.Bool                   // whether an upstream may have run the call
	retryPaid    atomic.Bool                   // whether the next retry is already taken out of the budget
	tried        map[hollowgrade.Instance]bool // instances that were picked for the call
	upstreams    []string                      // the same, in order
	headSent     bool                          // whether the caller has received a head
	lastEventID  string                        // id of the last event that the caller has received
	events       int
	first        time.Duration // until the first part
	lastEventAt  time.Time     // when the last event arrived
	longestPause time.Duration // longest between two events
	predicted    time.Duration // the prediction of first for the first attempt
	turn         TurnResult    // of the last attempt that had to wait for its turn
	turnWait     time.Duration // for that turn
	failure      *answer       // an upstream's error answer, kept while another attempt may succeed
	oversized    []Oversize    // answers of which a part was larger than its bound
}

// answer is a complete, buffered answer.
type answer struct {
	head hollowgrade.Head
	body [][]byte
}

// allowed returns how long the call may take, counted from its arrival.
func (f *flow) allowed() time.Duration {
	d := defaultAllowed
	if f.call.Patience > 0 {
		d = f.call.Patience
	}
	if f.route.Timeout > 0 {
		d = min(d, f.route.Timeout)
	}
	return d
}

// Repeatable implements [Work].
func (f *flow) Repeatable() bool {
	switch f.route.Repeat {
	case Resume:
		return !f.headSent || f.lastEventID != ""
	case Again:
		return !f.headSent
	default:
		return false
	}
}

// Spend implements [Work].
func (f *flow) Spend() bool {
	if f.retryPaid.CompareAndSwap(true, false) {
		return true
	}
	return f.budget.Spend(f.core.clock.Now())
}

// furtherAttempt is the number of all attempts after the first one of a call, where no other is known.
const furtherAttempt = 2

// try makes one attempt, the n-th of the call.
func (f *flow) try(u *runner, n int) Try {
	if err := f.checkStop(n, 0); err != nil {
		return Try{Err: err}
	}
	r := f.request()
	var p *pick
	if f.waitsForTurn(n, r) {
		var err error
		if p, err = f.takeTurn(u.ctx, r); err != nil {
			return Try{Err: err}
		}
	}
	l := f.core.quarantine.Begin(f.identity())
	if !l.Granted {
		if p != nil {
			f.dropPick(p)
		}
		return Try{Err: f.quarantinedError(l)}
	}
	defer f.core.quarantine.End(l)
	a, err := f.newAttempt(u, n, r, p)
	if err != nil {
		return Try{Err: err}
	}
	return f.send(a, n)
}

// newAttempt returns an attempt with a pick, which is made if it is nil.
func (f *flow) newAttempt(u *runner, n int, r placement.Request, p *pick) (*attempt, error) {
	f.race.mu.Lock()
	defer f.race.mu.Unlock()
	if p == nil {
		p = f.core.fleet.pick(f.service.Name, r, f.tried)
	}
	if p == nil {
		return nil, f.noUpstreamError()
	}
	if p.Refused {
		return nil, f.refuse(p)
	}
	f.tried[p.upstream().Instance()] = true
	f.upstreams = append(f.upstreams, p.upstream().ID)
	if n == 1 {
		f.predicted = f.turnWait + p.FirstEvent
	}
	return &attempt{flow: f, runner: u, pick: p, number: len(f.upstreams)}, nil
}

// request returns the placement request of the next attempt.
func (f *flow) request() placement.Request {
	now := f.core.clock.Now()
	r := newRequest(f.service, f.route, f.call, f.deadline.Sub(now), now.Sub(f.call.Arrived))
	r.StreamStarted = f.headSent
	r.Scheduled = f.turn == TurnCame
	return r
}

// waitsForTurn reports whether an attempt waits for its turn. Later ones have had theirs, and requests
// that may end upstreams are refused or sent alone without one.
func (f *flow) waitsForTurn(n int, r placement.Request) bool {
	return n == 1 && !f.core.quarantine.Suspected(f.identity()) && f.core.fleet.schedules(r) && f.core.fleet.hasUntried(f.service.Name, f.tried)
}

// send sends an attempt and passes its answer on.
func (f *flow) send(a *attempt, n int) Try {
	ctx, p := a.runner.ctx, a.pick
	if err := f.checkStop(n, f.expectedTime(p.SendDelay, p.FirstEvent)); err != nil {
		f.dropPick(p)
		return Try{Err: err}
	}
	noMemory, err := f.prepare(ctx, a)
	defer a.reservation.end()
	if err != nil {
		f.dropPick(p)
		return Try{Err: err, Placed: noMemory < maxMemoryTries, Free: true}
	}
	if err = f.checkStop(n, f.expectedTime(0, p.FirstEvent-a.heldBack)); err != nil {
		f.dropPick(p)
		return Try{Err: err}
	}
	continues := f.headSent || f.call.LastEventID != ""
	err = a.run(ctx)
	f.core.fleet.release(p, a.answerBegan)
	f.recordOutcome(ctx, a, err)
	if err == nil {
		if a.head.Success() && !continues {
			f.recordDuration(a)
		}
		return Try{Placed: true}
	}
	return f.classifyFailure(a, err)
}

// recordDuration records how long an attempt took that brought a whole answer.
func (f *flow) recordDuration(a *attempt) {
	now, tokens := f.core.clock.Now(), 0
	if a.head.Stream && a.answerBegan {
		tokens = f.call.MaxTokens
	}
	f.core.durations.Record(f.route.Name, now.Sub(a.sent), now.Sub(a.begunAt), tokens)
}

// prepare waits for the engines and reserves memory between the pick of an attempt and its sending.
// It fails if an upstream has begun to leave meanwhile. NoMemory is how many attempts of the call have failed
// for want of memory.
func (f *flow) prepare(ctx context.Context, a *attempt) (noMemory int, err error) {
	p := a.pick
	a.heldBack = f.waitForEngines(ctx, p)
	a.reservation, err = f.core.reserveMemory(ctx, f.call.ID, a.number, p)
	noMemory = f.countNoMemory(err)
	if err != nil {
		return noMemory, err
	}
	if !f.core.fleet.stillUsable(p) {
		f.core.log.Info("not sent", "request", f.call.ID, "attempt", a.number, "upstream", p.upstream().ID, "why", "it or a helper began to leave or names a limit")
		return noMemory, fault.New(fault.Draining, "upstream %s or a helper began to leave or named a limit before the call was sent", p.upstream().ID)
	}
	return noMemory, nil
}

// countNoMemory counts an attempt that failed for want of memory, and returns how many there were.
func (f *flow) countNoMemory(err error) int {
	f.race.mu.Lock()
	defer f.race.mu.Unlock()
	if err != nil {
		f.noMemory++
	}
	return f.noMemory
}

// logSent logs that an attempt is sent.
func (f *flow) logSent(a *attempt, left time.Duration) {
	p := a.pick
	f.core.log.Info("sent", "request", f.call.ID, "fingerprint", f.fingerprint, "attempt", a.number, "upstream", p.upstream().ID, "service", f.service.Name,
		"helpers", ids(p.helpers), "reading_ms", p.PrefillTime.Milliseconds(), "predicted_ms", p.FirstEvent.Milliseconds(),
		"times_slower", round(p.slowest), "turn", p.CallsAhead, "held_ms", a.heldBack.Milliseconds(), "turn_wait_ms", f.turnWait.Milliseconds(), "after", f.lastEventID, "left_ms", left.Milliseconds(),
		"version", f.catalog.Version, "age_ms", f.age.Milliseconds())
}

// ids returns the ids of members for logs.
func ids(ms []*member) (s []string) {
	for _, m := range ms {
		s = append(s, m.ID)
	}
	return s
}

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 8

// loggedParts returns the shared parts of a prompt for logs.
func loggedParts(ps []hollowgrade.PartID) (s []string) {
	for _, p := range ps[:min(len(ps), maxLoggedParts)] {
		s = append(s, p.String())
	}
	return s
}

// refuse returns the error for a long prompt that would cost other calls more than it is worth, or
// for which no engine has memory.
func (f *flow) refuse(p *pick) error {
	f.core.log.Info("not sent", "request", f.call.ID, "prompt_tokens", f.call.PromptTokens, "predicted_ms", p.FirstEvent.Milliseconds(),
		"goal_ms", f.route.Goal.Milliseconds(), "engines", 1+len(p.helpers), "waited_ms", p.request.Waited.Milliseconds(),
		"again", p.request.RefusedBefore, "worth", round(p.request.Worth()), "cost", round(p.Cost), "displaced", round(p.Displaced), "asked", round(p.DemandShare), "asked_known", round(p.DemandKnown),
		"work_ms", f.service.Engine.PrefillTime(f.call.PromptTokens, 1).Milliseconds(), "backlog_ms", p.MeanBacklog.Milliseconds(),
		"slots_taken", round(p.SlotShare), "full", p.OutOfMemory, "come_back_ms", p.RetryAfter.Milliseconds(), "peers_heard", f.core.fleet.SyncedPeers())
	if p.OutOfMemory {
		return fault.New(fault.CannotMakeIt, "no engine has memory for %d tokens now", f.call.PromptTokens).WithRetryAfter(p.RetryAfter)
	}
	return fault.New(fault.CannotMakeIt, "the first event would come after %s, and the engines are needed for others", p.FirstEvent.Round(time.Millisecond)).
		WithRetryAfter(p.RetryAfter)
}

// noUpstreamError returns the error for a call without an upstream: none is listed or untried, or
// those that are take no call now.
func (f *flow) noUpstreamError() error {
	r := f.core.fleet.unavailability(f.service.Name, f.tried)
	if r.limited+r.coolingDown == 0 && r.evacuated > 0 {
		f.core.log.Info("not sent", "request", f.call.ID, "why", "its upstreams are being evacuated", "evacuated", r.evacuated, "come_back_ms", r.retryAfter.Milliseconds())
		return fault.New(fault.Evacuated, "all %d upstreams of service %s are in data halls that operators are evacuating", r.evacuated, f.service.Name).
			WithRetryAfter(r.retryAfter)
	}
	if r.limited+r.coolingDown == 0 {
		return fault.New(fault.NoUpstream, "no upstream of service %s can be tried, %d were", f.service.Name, len(f.tried)).
			WithRetryAfter(shortRetryAfter)
	}
	f.core.log.Info("not sent", "request", f.call.ID, "why", "upstreams ask for rest or name limits", "limited", r.limited,
		"per_second", round(r.perSecond), "resting", r.coolingDown, "come_back_ms", r.retryAfter.Milliseconds())
	return fault.New(fault.Overloaded, "of service %s %d upstreams take %.3g requests a second together, and %d asked for rest",
		f.service.Name, r.limited, r.perSecond, r.coolingDown).WithRetryAfter(r.retryAfter)
}

// round rounds a figure to two decimals for logs.
func round(x float64) float64 {
	return math.Round(x*100) / 100
}

// classifyFailure returns the result of a failed attempt and updates the fleet.
func (f *flow) classifyFailure(a *attempt, err error) Try {
	t := Try{Placed: true, Free: errors.Is(err, hollowgrade.ErrNotSent)}
	x := a.fault(err)
	t.Err = x
	if x.Outcome != hollowgrade.NotRun {
		f.mayHaveRun.Store(true)
	}
	var o *hollowgrade.OversizeError
	if errors.As(err, &o) {
		f.recordOversize(Oversize{Upstream: a.pick.upstream().Instance(), Place: o.Place})
	}
	if t.Free {
		f.core.fleet.refundLimits(a.pick)
	}
	switch {
	case errors.Is(err, errOvertaken): // avoided since it was silent, if it was
	case x.Code == fault.UpstreamLost, x.Code == fault.AnswerCut:
		f.core.fleet.recordFailure(a.pick.member, f.call.ID, err.Error())
	}
	f.core.log.Info("attempt failed", "request", f.call.ID, "fingerprint", f.fingerprint, "parts", loggedParts(f.call.Parts), "upstream", a.pick.upstream().ID, "code", x.Code,
		"outcome", x.Outcome, "events", f.events, "after_ms", f.core.clock.Since(a.pick.chosenAt).Milliseconds(), "err", err)
	return t
}

func (f *flow) recordOversize(o Oversize) {
	f.race.mu.Lock()
	defer f.race.mu.Unlock()
	f.oversized = append(f.oversized, o)
}

// keepFailure keeps an upstream's error answer.
func (f *flow) keepFailure(w *answer) {
	f.race.mu.Lock()
	defer f.race.mu.Unlock()
	f.failure = w
}

// finish passes on an upstream's error answer if no attempt did better.
func (f *flow) finish(err error) error {
	if err == nil || f.failure == nil || f.headSent {
		return err
	}
	return f.passAnswer(f.failure)
}

// passAnswer sends a buffered answer to the caller.
func (f *flow) passAnswer(a *answer) error {
	f.headSent = true
	if err := f.sink.Head(a.head); err != nil {
		return fault.New(fault.CallerGone, "%v", err)
	}
	for _, b := range a.body {
		if err := f.sink.Part(b); err != nil {
			return fault.New(fault.CallerGone, "%v", err)
		}
	}
	return nil
}

// ended logs and counts a call.
func (f *flow) ended(err error) {
	o := Observation{
		Organisation: f.organisation.Name,
		Route:        f.route.Name,
		Service:      f.service.Name,
		Outcome:      hollowgrade.Finished,
		PromptTokens: f.call.PromptTokens,
		First:        f.first,
		Predicted:    f.predicted,
		Took:         f.core.clock.Since(f.call.Arrived),
		Attempts:     len(f.upstreams),
		Events:       f.events,
		Turn:         f.turn,
		TurnWait:     f.turnWait,
		Oversized:    f.oversized,
	}
	v := int64(0)
	if f.catalog != nil {
		v = f.catalog.Version
	}
	if err != nil {
		x := fault.As(err, hollowgrade.Unknown)
		o.Outcome, o.Code = x.Outcome, x.Code
	}
	f.core.log.Info("request ended", "request", f.call.ID, "fingerprint", f.fingerprint, "parts", loggedParts(f.call.Parts), "organisation", o.Organisation, "route", o.Route, "service", o.Service,
		"repeat", f.route.Repeat.String(), "outcome", o.Outcome, "code", o.Code, "attempts", o.Attempts, "upstreams", f.upstreams,
		"events", o.Events, "prompt_tokens", o.PromptTokens, "goal_ms", f.route.Goal.Milliseconds(), "first_ms", o.First.Milliseconds(),
		"pause_goal_ms", f.route.PauseGoal.Milliseconds(),
		"pause_ms", f.longestPause.Milliseconds(), "took_ms", o.Took.Milliseconds(),
		"version", v, "age_ms", f.age.Milliseconds(), "err", err)
	f.core.observe(o)
}
