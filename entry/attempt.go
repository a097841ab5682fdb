package entry

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/fault"
	"github.com/hollowgrade/hollowgrade/internal/wire"
	"github.com/hollowgrade/hollowgrade/peer"
)

// query is one request of a caller while it is being served.
type query struct {
	request  hollowgrade.Request
	body     []byte // prompt, or body of a call to a plain service
	head     *wire.ServiceHead
	prefixes []uint64
	sink     sink
	arrived  time.Time
	first    time.Duration // until the first token
	ideal    time.Duration // the same, as predicted without queueing
	tokens   []string      // of the answer, as sent to the caller
	began    bool          // whether the head of a plain service's answer was sent to the caller
	claim    claim         // for requests that may run once only
	group    group         // for prompts that need several engines
}

// sink receives the answer and sends it to the caller.
type sink interface {
	// Token sends the next token. An error means that the caller is gone.
	Token(offset int, text string) error
	// Head sends the head of a plain service's answer.
	Head(h *wire.ServiceHead) error
	// Data sends a part of a plain service's answer.
	Data(b []byte) error
}

// agentMargin is subtracted from the allowed time for the agent, so that its final frame arrives
// before the entry's own deadline.
func agentMargin(left time.Duration) time.Duration {
	const least, most = 10 * time.Millisecond, 250 * time.Millisecond
	return min(max(left/50, least), most)
}

// errCallerGone marks an error in sending the answer to the caller.
var errCallerGone = errors.New("caller is gone")

// attempt sends the request to one agent and forwards its answer. The error is a [fault.Error] with
// the outcome of this attempt.
func (e *Entry) attempt(ctx context.Context, l *link, c *peer.Conn, q *query) error {
	left := q.request.Remaining(e.clock.Now())
	s, err := c.Open(&wire.Frame{Body: &wire.Frame_Submit{Submit: e.submit(q, left-agentMargin(left))}})
	if err != nil {
		return fault.New(fault.UpstreamLost, "agent %s went away before the request was sent", l.box.Name).WithOutcome(hollowgrade.NotRun)
	}
	defer s.Abort()
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	if sent, err := e.sendBody(s, q); err != nil {
		return e.connectionError(ctx, l, q, sent, false)
	}
	return e.receive(ctx, l, s, q)
}

// sendBody sends the body. Sent reports whether the last frame may have been sent: the agent starts
// nothing before that frame arrives.
func (e *Entry) sendBody(s *peer.Stream, q *query) (sent bool, err error) {
	b := q.group.part(q.body)
	n := max((len(b)-1)/peer.MaxChunk, 0) * peer.MaxChunk
	for i := 0; i < n; i += peer.MaxChunk {
		if err = s.Send(peer.Chunk(b[i:i+peer.MaxChunk], false)); err != nil {
			return false, err
		}
	}
	return true, s.SendBody(bytes.NewReader(b[n:]))
}

func (e *Entry) submit(q *query, left time.Duration) *wire.Submit {
	r := q.request
	m := &wire.Submit{
		Id:              r.ID,
		Attempt:         int32(r.Attempt),
		Organisation:    r.Organisation,
		Event:           r.Event,
		Kind:            r.Kind,
		Model:           r.Model,
		Service:         r.Service,
		Key:             r.Key,
		PromptTokens:    int64(r.PromptTokens),
		MaxTokens:       int64(r.MaxTokens),
		Class:           int32(r.Decision.Class),
		Priority:        int32(r.Decision.Priority),
		MayWait:         r.Decision.MayWait,
		Repeatable:      r.Decision.Repeatable,
		Share:           r.Decision.Share,
		RemainingMicros: left.Microseconds(),
		Prefix:          q.tokens,
		Head:            q.head,
	}
	q.claim.fill(m, e.clock.Now())
	q.group.fill(m)
	return m
}

// receive forwards frames until the final one.
func (e *Entry) receive(ctx context.Context, l *link, s *peer.Stream, q *query) error {
	started := false
	for {
		f, err := s.Receive()
		if err != nil {
			return e.connectionError(ctx, l, q, true, started)
		}
		switch b := f.Body.(type) {
		case *wire.Frame_Started:
			started = true
		case *wire.Frame_Tokens:
			e.removeSent(l, q.request.ID)
			err = e.forwardTokens(q, b.Tokens)
		case *wire.Frame_ServiceHead:
			e.removeSent(l, q.request.ID)
			err = e.forwardHead(q, b.ServiceHead)
		case *wire.Frame_Chunk:
			err = q.callerError(q.sink.Data(b.Chunk.Data))
		case *wire.Frame_Final:
			return finalError(q, b.Final)
		default:
			err = fault.New(fault.AnswerCut, "agent %s sent a frame that is not due", l.box.Name)
		}
		if err != nil {
			return attemptError(err)
		}
	}
}

func attemptError(err error) error {
	if errors.Is(err, errCallerGone) {
		return fault.New(fault.CallerGone, "%v", err)
	}
	return fault.As(err, hollowgrade.Failed)
}

// forwardTokens forwards exactly the next token of the current attempt. Late tokens of an earlier
// attempt are dropped, and a gap ends the attempt.
func (e *Entry) forwardTokens(q *query, m *wire.Tokens) error {
	if int(m.Attempt) != q.request.Attempt {
		return nil
	}
	for i, t := range m.Text {
		o := int(m.Offset) + i
		if o < len(q.tokens) {
			continue
		}
		if o > len(q.tokens) {
			return fault.New(fault.AnswerCut, "token %d came where %d was due", o, len(q.tokens))
		}
		if len(q.tokens) == 0 {
			q.first = e.clock.Since(q.arrived)
		}
		if err := q.callerError(q.sink.Token(o, t)); err != nil {
			return err
		}
		q.tokens = append(q.tokens, t)
	}
	return nil
}

func (e *Entry) forwardHead(q *query, h *wire.ServiceHead) error {
	q.began = true
	q.first = e.clock.Since(q.arrived)
	return q.callerError(q.sink.Head(h))
}

// callerError marks an error in sending the answer to the caller. A run under a key does not end
// because its caller is gone, so the error is dropped then.
func (q *query) callerError(err error) error {
	if err == nil || q.request.Key != "" {
		return nil
	}
	return errors.Join(errCallerGone, err)
}

// finalError checks the final frame. A count that differs from the tokens received is a failure,
// never a short success.
func finalError(q *query, m *wire.Final) error {
	o := hollowgrade.Outcome(m.Outcome)
	if o == hollowgrade.Finished {
		if q.request.Service == "" && !q.group.holdOnly && int(m.Count) != len(q.tokens) {
			return fault.New(fault.AnswerCut, "the answer has %d tokens, %d were received", m.Count, len(q.tokens))
		}
		q.group.addHandle(m.Handle)
		return nil
	}
	c := fault.Code(m.Code)
	if !fault.Known(c) {
		c = fault.Internal
	}
	f := fault.New(c, "%s", m.Message).WithOutcome(o)
	return f.WithRetryAfter(time.Duration(m.RetryAfterMicros) * time.Microsecond)
}

// connectionError returns the fault of an exchange that ended without a final frame. An agent
// cancels what was started for an entry that is gone, unless it runs under a key; a plain service
// may have done its work all the same.
func (e *Entry) connectionError(ctx context.Context, l *link, q *query, sent, started bool) error {
	o := hollowgrade.Unknown
	switch {
	case !sent:
		o = hollowgrade.NotRun
	case started && q.request.Key == "" && q.request.Service == "":
		o = hollowgrade.Failed
	}
	switch {
	case errors.Is(context.Cause(ctx), hollowgrade.ErrStopping) && o == hollowgrade.NotRun:
		return fault.New(fault.Draining, "entry %s is being stopped", e.box.Name).WithRetryAfter(shortRetryAfter)
	case errors.Is(context.Cause(ctx), hollowgrade.ErrStopping):
		return fault.New(fault.UpstreamLost, "entry %s is being stopped, and agent %s has not answered", e.box.Name, l.box.Name).WithOutcome(o)
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return fault.New(fault.DeadlinePassed, "the allowed time passed").WithOutcome(o)
	case ctx.Err() != nil:
		return fault.New(fault.CallerGone, "the caller went away").WithOutcome(o)
	default:
		return fault.New(fault.UpstreamLost, "agent %s was lost", l.box.Name).WithOutcome(o)
	}
}
