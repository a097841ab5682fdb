package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/fault"
	"github.com/hollowgrade/hollowgrade/internal/wire"
	"github.com/hollowgrade/hollowgrade/ledger"
	"github.com/hollowgrade/hollowgrade/peer"
)

// claim is the right to run a request once under its key.
type claim struct {
	epoch int64
	lease time.Time // until then the keeper's right to grant certainly lasts
	body  *recorder // records the answer of a plain service, for the keeper
}

func (c *claim) fill(m *wire.Submit, now time.Time) {
	if m.Key == "" {
		return
	}
	m.Epoch = c.epoch
	m.LeaseMicros = c.lease.Sub(now).Microseconds()
}

const (
	claimTimeout     = time.Second
	maxClaimTime     = 5 * time.Second // for a claim, while the range moves to another keeper
	claimRetryDelay  = 100 * time.Millisecond
	holdMargin       = 10 * time.Second // beyond the allowed time, for the outcome to be reported
	settleAttempts   = 20
	settleRetryDelay = 500 * time.Millisecond
)

// claimKey claims the right to run from the keeper of the key. Replayed reports that the answer of
// an earlier run was sent instead.
//
// The claim comes before every other refusal: a request with a key may be refused as "not run" only
// once it is certain that no earlier one with that key has run.
func (e *Entry) claimKey(ctx context.Context, q *query) (replayed bool, err error) {
	r := q.request
	var sent time.Time
	var m *wire.ClaimReply
	for {
		sent = e.clock.Now()
		m, err = e.claimOnce(ctx, q, sent)
		decided := err == nil && ledger.Verdict(m.GetVerdict()) != ledger.NotMine
		if decided || e.clock.Since(q.arrived) > min(maxClaimTime, r.Decision.Allowed/2) || !e.sleepWithinDeadline(ctx, q, claimRetryDelay) {
			break
		}
	}
	if err != nil {
		return false, err
	}
	q.claim.epoch = m.GetEpoch()
	q.claim.lease = sent.Add(time.Duration(m.GetLeaseMicros()) * time.Microsecond)
	switch ledger.Verdict(m.GetVerdict()) {
	case ledger.Granted:
		if q.head != nil {
			q.claim.body = &recorder{sink: q.sink}
			q.sink = q.claim.body
		}
		return false, nil
	case ledger.Settled:
		return e.replay(q, m)
	case ledger.Running:
		return false, fault.New(fault.KeyRunning, "a request with this key is running").WithRetryAfter(shortRetryAfter)
	case ledger.Reused:
		return false, fault.New(fault.KeyReused, "the key was used before with another body")
	case ledger.NotKnown:
		return false, fault.New(fault.KeyUnknown, "the record of this key was lost with its keeper").WithRetryAfter(time.Minute)
	default:
		return false, fault.New(fault.KeyOwnerAway, "the keeper of this key does not decide now").WithRetryAfter(shortRetryAfter)
	}
}

func (e *Entry) claimOnce(ctx context.Context, q *query, now time.Time) (*wire.ClaimReply, error) {
	r := q.request
	a, err := e.callKeeper(ctx, r, &wire.Frame{Body: &wire.Frame_Claim{Claim: &wire.Claim{
		Key:          r.Key,
		Organisation: r.Organisation,
		Digest:       q.digest(),
		Id:           r.ID,
		HoldMicros:   (r.Remaining(now) + holdMargin).Microseconds(),
	}}})
	return a.GetClaimReply(), err
}

// digest distinguishes different requests with the same key.
func (q *query) digest() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(q.request.Model + "\x00" + q.request.Service + "\x00")
	if q.head != nil {
		_, _ = d.WriteString(q.head.Method + "\x00" + q.head.Path + "\x00")
	}
	_, _ = d.Write(q.body)
	return d.Sum64()
}

// replay sends the answer of an earlier run, or returns a fault with its outcome.
func (e *Entry) replay(q *query, m *wire.ClaimReply) (bool, error) {
	o := hollowgrade.Outcome(m.Outcome)
	a := m.GetAnswer()
	switch {
	case o == hollowgrade.Unknown:
		return false, fault.New(fault.KeyUnknown, "an earlier request with this key may have run").WithRetryAfter(time.Minute)
	case o != hollowgrade.Finished:
		return false, fault.New(fault.UpstreamLost, "the request with this key was run and failed").WithOutcome(o)
	case a == nil:
		return false, fault.New(fault.KeyFinished, "the request with this key has finished, its answer is no longer kept")
	}
	if a.Head != nil {
		h := &wire.ServiceHead{Status: a.Head.Status, Headers: append(a.Head.Headers, &wire.Header{Name: ReplayHeader, Value: "true"})}
		if err := q.sink.Head(h); err != nil {
			return false, attemptError(err)
		}
		return true, q.sink.Data(a.Body)
	}
	for i, t := range a.Tokens {
		if err := q.sink.Token(i, t); err != nil {
			return false, fault.New(fault.CallerGone, "%v", err).WithOutcome(o)
		}
	}
	return true, nil
}

// settleKey reports the outcome of the run to the keeper in the background, so that the caller
// doesn't wait. If the report fails, the keeper ends the key as "unknown".
func (e *Entry) settleKey(q *query, err error) {
	m := &wire.Settle{
		Key:          q.request.Key,
		Organisation: q.request.Organisation,
		Id:           q.request.ID,
		Outcome:      string(hollowgrade.Finished),
		Answer:       &wire.StoredAnswer{Tokens: q.tokens},
	}
	if err != nil {
		m.Outcome = string(fault.As(err, hollowgrade.Unknown).Outcome)
		m.Answer = nil
	} else if q.claim.body != nil {
		m.Answer = q.claim.body.answer()
	}
	e.mu.Lock()
	e.addOpen()
	e.mu.Unlock()
	e.group.Go(func() {
		e.settle(q.request, m)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.removeOpen()
	})
}

// settle retries until the keeper has replied. Meanwhile the range may move to another keeper,
// together with the record.
func (e *Entry) settle(r hollowgrade.Request, m *wire.Settle) {
	for range settleAttempts {
		_, err := e.callKeeper(e.ctx, r, &wire.Frame{Body: &wire.Frame_Settle{Settle: m}})
		if err == nil || e.ctx.Err() != nil {
			return
		}
		hollowgrade.Sleep(e.ctx, e.clock, settleRetryDelay)
	}
	e.log.Warn("cannot report the outcome of a key to its keeper", "request", r.ID)
}

// callKeeper sends a frame to the keeper of the request's key and returns the reply.
func (e *Entry) callKeeper(ctx context.Context, r hollowgrade.Request, f *wire.Frame) (*wire.Frame, error) {
	c := e.keeper(r)
	if c == nil {
		return nil, fault.New(fault.KeyOwnerAway, "the keeper of this key is not connected").WithRetryAfter(shortRetryAfter)
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	a, err := e.roundTrip(ctx, c, f)
	if err != nil {
		return nil, fault.New(fault.KeyOwnerAway, "the keeper of this key does not answer").WithRetryAfter(shortRetryAfter)
	}
	return a, nil
}

// keeper returns the connection to the one agent that decides about the key: the one named in a
// minted key, or the one to which the log assigns the range.
func (e *Entry) keeper(r hollowgrade.Request) *peer.Conn {
	box, incarnation, _, ok := ledger.ParseMinted(r.Key)
	if !ok {
		id := ledger.KeyID{Organisation: r.Organisation, Key: r.Key}
		k := e.config.Load().KeyRanges[ledger.RangeName(id.Range())]
		box, incarnation = k.Owner, k.Incarnation
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.order {
		if l.status != nil && l.status.Box == box && l.status.Incarnation == incarnation {
			return l.conn
		}
	}
	return nil
}

// MintReply is the reply to a call of [KeysPath].
type MintReply struct {
	Key string `json:"key"`
}

// mintKey returns an idempotency key whose keeper never changes, so that it works during outages of
// the log and needs no waiting when another agent crashes.
func (e *Entry) mintKey(w http.ResponseWriter, r *http.Request, _ caller) error {
	ctx, cancel := context.WithTimeout(r.Context(), claimTimeout)
	defer cancel()
	for _, c := range e.minters() {
		a, err := e.roundTrip(ctx, c, &wire.Frame{Body: &wire.Frame_Mint{Mint: &wire.Mint{}}})
		if err == nil && a.GetClaimReply().GetKey() != "" {
			w.Header().Set("Content-Type", "application/json")
			return json.NewEncoder(w).Encode(MintReply{Key: a.GetClaimReply().GetKey()})
		}
	}
	return fault.New(fault.NoUpstream, "no agent could make a key").WithRetryAfter(shortRetryAfter)
}

// minters returns the agents that can mint a key, starting with another one each time.
func (e *Entry) minters() (cs []*peer.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mintOffset++
	for i := range e.order {
		l := e.order[(i+e.mintOffset)%len(e.order)]
		if l.conn != nil && !l.load.Draining {
			cs = append(cs, l.conn)
		}
	}
	return cs
}

// recorder keeps a copy of a plain service's answer while it is sent to the caller.
type recorder struct {
	sink
	head     *wire.ServiceHead
	body     []byte
	overflow bool
}

// maxRecordedBytes bounds the body of an answer that is sent to the keeper.
const maxRecordedBytes = 16 << 10

// Head implements [sink].
func (r *recorder) Head(h *wire.ServiceHead) error {
	r.head = h
	return r.sink.Head(h)
}

// Data implements [sink].
func (r *recorder) Data(b []byte) error {
	if len(r.body)+len(b) <= maxRecordedBytes {
		r.body = append(r.body, b...)
	} else {
		r.overflow = true
	}
	return r.sink.Data(b)
}

func (r *recorder) answer() *wire.StoredAnswer {
	if r.overflow || r.head == nil {
		return nil
	}
	return &wire.StoredAnswer{Head: r.head, Body: r.body}
}
