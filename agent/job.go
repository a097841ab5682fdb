package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/fault"
	"github.com/hollowgrade/hollowgrade/internal/wire"
	"github.com/hollowgrade/hollowgrade/peer"
	"github.com/hollowgrade/hollowgrade/sched"
)

// job is one attempt at a request, from its arrival at the agent to the final frame.
type job struct {
	submit      *wire.Submit
	request     hollowgrade.Request
	id          string // at the engine
	body        []byte
	arrived     time.Time
	lease       time.Time // end of the claim on the key; zero without a key
	stream      *peer.Stream
	grant       chan struct{}
	rejected    chan struct{} // closed when the queue is emptied because the upstream does not answer
	started     atomic.Bool
	waited      time.Duration
	reserveOnly bool // reserves memory for a group and runs nothing
	next        int  // bytes of the prompt that earlier pieces prefilled
	handles     []string
	pieces      []string // ids of the prefilled pieces kept on the engine
	count       int      // tokens of a model, or bytes of a service, sent to the entry
}

// Causes that end a job's context, besides its deadline.
var (
	errCallerGone = errors.New("the entry ended the exchange")
	errStopped    = errors.New("the agent was stopped")
)

func newJob(m *wire.Submit, s *peer.Stream, now time.Time) *job {
	j := &job{
		submit:  m,
		stream:  s,
		arrived: now,
		id:      fmt.Sprintf("%s.%d", m.Id, m.Attempt),
		handles: m.Handles,
		request: hollowgrade.Request{
			ID:           m.Id,
			Attempt:      int(m.Attempt),
			Organisation: m.Organisation,
			Event:        m.Event,
			Kind:         m.Kind,
			Model:        m.Model,
			Service:      m.Service,
			Key:          m.Key,
			PromptTokens: int(m.PromptTokens),
			MaxTokens:    int(m.MaxTokens),
			Deadline:     now.Add(time.Duration(m.RemainingMicros) * time.Microsecond),
			Decision: hollowgrade.Decision{
				Class:      hollowgrade.Class(min(max(m.Class, 0), int32(hollowgrade.Classes)-1)),
				Priority:   int(m.Priority),
				MayWait:    m.MayWait,
				Repeatable: m.Repeatable,
				Share:      m.Share,
			},
		},
	}
	if m.Key != "" {
		j.lease = now.Add(time.Duration(m.LeaseMicros) * time.Microsecond)
	}
	return j
}

// serveSubmit receives a request, runs it, and sends the final frame.
func (a *Agent) serveSubmit(ctx context.Context, s *peer.Stream, m *wire.Submit) error {
	j := newJob(m, s, a.clock.Now())
	done := a.trackExchange()
	defer done()
	if err := a.receiveBody(j); err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ctx, stop := clockwork.WithDeadline(ctx, a.clock, j.request.Deadline)
	defer stop()
	go func() {
		// Any frame here, or the end of the exchange, means that the entry no longer wants the
		// answer. A run under a key that has started goes on: its effects would otherwise be left
		// half done.
		_, _ = s.Receive()
		if j.request.Key == "" || !j.started.Load() {
			cancel(errCallerGone)
		}
	}()
	err := a.run(ctx, j)
	a.finish(j, err)
	return s.Send(a.final(j, err))
}

// trackExchange counts an exchange until it is answered, since a planned stop waits for it.
func (a *Agent) trackExchange() (done func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.exchanges++
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.exchanges--
		a.closeIfIdle()
	}
}

// receiveBody reads the prompt or body. The job cannot run before the last frame has arrived, so an
// entry that fails to send that frame may report "not run".
func (a *Agent) receiveBody(j *job) error {
	for {
		f, err := j.stream.Receive()
		if err != nil {
			return err
		}
		c := f.GetChunk()
		if c == nil || int64(len(j.body)+len(c.Data)) > a.limits.MaxBodyBytes {
			return fmt.Errorf("%w: body of %s", peer.ErrBroken, j.request.ID)
		}
		j.body = append(j.body, c.Data...)
		if c.Last {
			return nil
		}
	}
}

// run passes the job through the queue and to the upstream.
func (a *Agent) run(ctx context.Context, j *job) (err error) {
	if err = a.admit(j); err != nil {
		return err
	}
	defer a.removeJob(j)
	if a.service != nil {
		return a.runService(ctx, j)
	}
	return a.runEngine(ctx, j)
}

// admit checks whether the job may queue here, and registers it.
func (a *Agent) admit(j *job) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining {
		return fault.New(fault.Draining, "agent %s is leaving", a.box.Name)
	}
	if _, ok := a.jobs[j.id]; ok {
		return fault.New(fault.Internal, "attempt %s is here already", j.id).WithOutcome(hollowgrade.Unknown)
	}
	if a.probed && !a.reachable {
		return a.upstreamGone()
	}
	if a.queue.Len() >= a.limits.MaxQueued {
		return fault.New(fault.Overloaded, "the queue of %s is full", a.box.Name).WithRetryAfter(a.drainTime())
	}
	if a.engine != nil && j.request.Tokens() > a.memory.Total() && len(j.handles) == 0 {
		return fault.New(fault.PromptTooLong, "%d tokens do not fit into the engine's %d", j.request.Tokens(), a.memory.Total())
	}
	if !j.request.Decision.MayWait && a.queue.Len() > 0 {
		return fault.New(fault.MayNotWait, "%s has %d requests waiting", a.box.Name, a.queue.Len()).WithRetryAfter(a.drainTime())
	}
	a.jobs[j.id] = j
	return nil
}

// upstreamGone returns the fault for a job that has not started while the upstream does not answer.
// Its outcome is "not run", so that the entry can send the request elsewhere.
func (a *Agent) upstreamGone() error {
	return fault.New(fault.UpstreamLost, "the upstream of %s does not answer", a.box.Name).WithOutcome(hollowgrade.NotRun)
}

const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// drainTime estimates how long it takes until everything that is queued now has been started.
func (a *Agent) drainTime() time.Duration {
	r := a.speed.prefillRate
	if r <= 0 {
		return time.Second
	}
	t := a.pendingPrefill
	for _, n := range a.queued {
		t += n
	}
	d := time.Duration(float64(t) / r * float64(time.Second))
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// removeJob removes an ended job and releases its memory.
func (a *Agent) removeJob(j *job) {
	a.releasePieces(j)
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.jobs, j.id)
	if !j.reserveOnly {
		a.releaseLease(j.id)
	}
	a.grantSteps()
	a.closeIfIdle()
}

// releaseLease ends a lease and updates the tokens leased to long requests.
func (a *Agent) releaseLease(id string) {
	if l, ok := a.memory.Release(id); ok && a.isLong(l.Tokens) {
		a.longLeased -= l.Tokens
	}
}

// finish logs and counts the end of a job.
func (a *Agent) finish(j *job, err error) {
	o := hollowgrade.Finished
	c := fault.Code("")
	if err != nil {
		f := a.faultOf(j, err)
		o, c = f.Outcome, f.Code
	}
	took := a.clock.Since(j.arrived)
	a.log.Info("attempt ended",
		"request", j.request.ID, "attempt", j.request.Attempt, "organisation", j.request.Organisation,
		"outcome", o, "code", c, "tokens", j.count, "waited_ms", j.waited.Milliseconds(), "took_ms", took.Milliseconds())
	a.observe(Observation{
		Organisation: j.request.Organisation,
		Kind:         j.request.Kind,
		Outcome:      o,
		Waited:       j.waited,
		Took:         took,
		PromptTokens: j.request.PromptTokens,
	})
}

// final returns the last frame of the exchange.
func (a *Agent) final(j *job, err error) *wire.Frame {
	m := &wire.Final{
		Attempt: int32(j.request.Attempt),
		Outcome: string(hollowgrade.Finished),
		Count:   int64(j.count),
	}
	if err == nil && j.request.Model != "" && j.submit.HoldOnly {
		m.Handle = j.handles[len(j.handles)-1]
	}
	if err != nil {
		f := a.faultOf(j, err)
		m.Outcome, m.Code, m.Message = string(f.Outcome), string(f.Code), f.Message
		m.RetryAfterMicros = f.RetryAfter.Microseconds()
	}
	return &wire.Frame{Body: &wire.Frame_Final{Final: m}}
}

// faultOf returns the fault to report for an error. A job that was never started has not run: it
// has left the queue, and only the agent could have started it.
func (a *Agent) faultOf(j *job, err error) (f *fault.Error) {
	var known *fault.Error
	switch {
	case errors.As(err, &known):
		return known
	case errors.Is(err, errCallerGone), errors.Is(err, errStopped):
		f = fault.New(fault.CallerGone, "%v", err)
	case errors.Is(err, context.DeadlineExceeded):
		f = fault.New(fault.DeadlinePassed, "the allowed time passed after %d tokens", j.count)
	case errors.Is(err, io.ErrUnexpectedEOF):
		f = fault.New(fault.UpstreamLost, "the upstream of %s broke off after %d tokens", a.box.Name, j.count)
	default:
		f = fault.New(fault.UpstreamLost, "the upstream of %s failed: %v", a.box.Name, err)
	}
	switch {
	case !j.started.Load():
		return f.WithOutcome(hollowgrade.NotRun)
	case a.service != nil:
		// A plain service may have done all of the work before the connection ended.
		return f.WithOutcome(hollowgrade.Unknown)
	default:
		return f.WithOutcome(hollowgrade.Failed)
	}
}

// cost is the work of the job's next step in tokens; a call to a service counts as 1.
func (a *Agent) cost(j *job) int {
	if a.service != nil {
		return 1
	}
	rest := (len(j.body)-j.next)/bytesPerToken + 1
	if a.limits.Piece > 0 {
		return min(rest, a.limits.Piece)
	}
	return rest
}

// bytesPerToken is the assumed size of a token, used to estimate work before the engine has
// tokenised a prompt.
const bytesPerToken = 4

func (a *Agent) isLong(tokens int) bool {
	return tokens > a.limits.LongTokens
}

// item returns the queue item of the job's next step.
func (a *Agent) item(j *job) *sched.Item {
	now := a.clock.Now()
	return &sched.Item{
		ID:           j.id,
		Organisation: j.request.Organisation,
		Class:        j.request.Decision.Class,
		Priority:     j.request.Decision.Priority,
		Cost:         a.cost(j),
		Charge:       a.charge(j),
		Resumes:      j.next > 0 || j.submit.Reservation != "",
		LatestStart:  j.request.Deadline.Add(-a.serviceTime(j)),
		Due:          now.Add(a.patience(j, now)),
	}
}

// charge is the work counted against the organisation's share. The whole prompt is charged with its
// first piece; later pieces resume the request and are not charged.
func (a *Agent) charge(j *job) int {
	if j.reserveOnly {
		return j.request.PromptTokens
	}
	return len(j.body) / bytesPerToken
}

// patience is how long the job may queue before it is overdue: the agent's limit, or half of its
// remaining time if that is less.
func (a *Agent) patience(j *job, now time.Time) time.Duration {
	return min(a.limits.Patience, j.request.Remaining(now)/2)
}

func (a *Agent) serviceTime(j *job) time.Duration {
	l := sched.Load{PrefillRate: a.speed.prefillRate, Step: a.speed.step}
	w := sched.Work{PromptTokens: (len(j.body) - j.next) / bytesPerToken, MaxTokens: j.request.MaxTokens}
	return sched.Predict(&l, w).Total
}
