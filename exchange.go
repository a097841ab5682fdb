package hollowgrade

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Call is a caller's request, which is forwarded to an upstream unchanged. It is immutable.
type Call struct {
	ID     string // set by the caller, a new one for each of its attempts
	Host   string
	Path   string // without the query
	Method string
	Target string // path and query as the caller sent them
	Header http.Header
	Body   []byte
	// HasBody distinguishes an empty body from none.
	HasBody     bool
	Key         string // API key, empty if the caller sent none
	LastEventID string // id of the last event of the answer that the caller already has
	Model       string
	// Parts are the parts of the prompt that other prompts may share, without duplicates: all but the
	// last, and [MaxParts] at most, the first ones.
	Parts []PartID
	// PromptTokens and MaxTokens are zero for calls that generate nothing.
	PromptTokens int
	MaxTokens    int
	Arrived      time.Time     // when the head of the call had been read, on the monotonic clock
	Patience     time.Duration // how long the caller waits, counted from Arrived; 0 if unknown
}

// MaxParts bounds [Call.Parts].
const MaxParts = 16

// Upstream is one instance of a back end, as listed in the platform's registry.
type Upstream struct {
	ID          string // may stay the same when the upstream restarts
	StartMillis int64  // start time of this instance in Unix ms, 0 if not reported
	Service     string
	Address     string
	Hall        string // data hall
	Slots       int    // number of requests that it serves at a time
	Draining    bool   // it is shutting down and must get no new calls
	// ColdFor is how much longer it can take only a part of its usual calls, 0 if it is warm.
	ColdFor time.Duration
}

// Sending is one attempt at a call, sent to one upstream.
type Sending struct {
	Call         Call
	Upstream     Upstream
	Organisation string
	TimeLeft     time.Duration // the upstream aborts the call after that
	LastEventID  string        // id of the last event that the caller has received
	Helpers      []Helper      // upstreams that prefill parts of the prompt
	Priority     int           // 0 is the highest
}

// Helper is an upstream that prefills a part of a prompt for another one.
type Helper struct {
	Address string
	// ReservationID is the id of the memory reserved there for its part; empty if it doesn't keep the
	// part in memory.
	ReservationID string
}

// ErrNoMemory is wrapped by the error of [Reserver.Reserve] if the upstream doesn't have enough free
// memory.
var ErrNoMemory = errors.New("memory is not free")

// Reserver reserves memory at upstreams.
type Reserver interface {
	// Reserve reserves memory under an id for a limited time, or renews a reservation. After an
	// error other than [ErrNoMemory] the upstream may have reserved it, or may do so later.
	Reserve(ctx context.Context, u Upstream, id string, tokens int, hold time.Duration) error
	// Release frees the reserved memory. An unknown id is no error.
	Release(ctx context.Context, u Upstream, id string) error
}

// UpstreamReport is an upstream's report about itself, sent on request.
type UpstreamReport struct {
	Pace        float64 // time that its work takes, as a multiple of the published times
	StartMillis int64   // start time of the reporting instance in Unix ms, 0 if not reported
	// Signals are those in the answer's headers. They are set even if the answer has no valid report.
	Signals Signals
}

// Reporter requests reports from upstreams.
type Reporter interface {
	// Report requests a report from an upstream. It may be some hundred milliseconds old.
	Report(ctx context.Context, u Upstream) (UpstreamReport, error)
}

// Presence is the result of a probe of an upstream's address.
type Presence int

// The results of a probe.
const (
	// Absent means that the connection is refused or times out.
	Absent Presence = iota
	// Closing means that the connection is accepted and closed without any data, by the upstream or by
	// a proxy in front of it.
	Closing
	// Present means that the connection is accepted and stays open.
	Present
)

// String implements [fmt.Stringer].
func (p Presence) String() string {
	switch p {
	case Closing:
		return "closing"
	case Present:
		return "present"
	default:
		return "absent"
	}
}

// Prober checks whether upstreams are running.
type Prober interface {
	// Probe opens a connection to the upstream, sends nothing, and returns what happens to it. With
	// [Absent] it may return the reason as an error, such as a timeout.
	Probe(ctx context.Context, u Upstream) (Presence, error)
}

// ErrStopping is the cancellation cause of calls that are still open shortly before the end of a
// graceful shutdown. It differs from a caller that has gone: the caller still waits for an answer.
var ErrStopping = errors.New("the box is being stopped")

// PlannedStop is a graceful shutdown of this box, as far as it concerns requests.
type PlannedStop struct {
	// Left is the time until the requests that are still open are cancelled with [ErrStopping]. It is
	// negative after that.
	Left time.Duration
	// Accepting means that new connections are still accepted, until callers are sent elsewhere.
	Accepting bool
}

// ErrNotSent is wrapped by the error of [Exchanger.Open] if no part of the call was sent, so that the
// upstream cannot have run it.
var ErrNotSent = errors.New("nothing was sent")

// ErrNotAnAnswer is wrapped by an error if the upstream sent data that is no valid answer to the call.
var ErrNotAnAnswer = errors.New("not an answer to this call")

// AnswerPlace is a part of an answer whose size is bounded.
type AnswerPlace string

// The bounded parts of an answer.
const (
	AnswerHead     AnswerPlace = "head"     // with all interim ones before it
	AnswerEvent    AnswerPlace = "event"    // of a stream
	AnswerComments AnswerPlace = "comments" // of a stream, between two events
	AnswerFailure  AnswerPlace = "failure"  // the body of an answer that is no success
)

// OversizeError is the error for a part of an answer that is larger than its bound, such as one that
// never ends. It wraps [ErrNotAnAnswer].
type OversizeError struct {
	Place AnswerPlace
	Limit int // in bytes, or in lines if Lines is set
	Lines bool
}

// Error implements error.
func (e *OversizeError) Error() string {
	unit := "bytes"
	if e.Lines {
		unit = "lines"
	}
	return fmt.Sprintf("%s of more than %d %s", e.Place, e.Limit, unit)
}

// Unwrap returns [ErrNotAnAnswer].
func (e *OversizeError) Unwrap() error {
	return ErrNotAnAnswer
}

// Exchanger sends calls to upstreams.
type Exchanger interface {
	// Open sends the call and returns when the head of the answer has arrived. Cancelling ctx, even
	// after Open has returned, ends the exchange and cancels the work at the upstream.
	Open(ctx context.Context, s Sending) (Exchange, error)
}

// Exchange is an upstream's answer while it is being received.
type Exchange interface {
	// Head returns the head of the answer.
	Head() Head
	// Next returns the next part: a whole event of a stream, or some bytes of another body. It returns
	// io.EOF after the last part of a complete answer, and another error if the answer is cut off.
	Next() (Part, error)
	// Close aborts the exchange. The upstream notices that and ends its work.
	io.Closer
}

// Head is the head of an answer.
type Head struct {
	Status int
	Header http.Header // headers to pass on to the caller
	NotRun bool        // the upstream states that it has not run the call
	// ImpliesNotRun means that callers take the status to mean that the call has not run and never will.
	ImpliesNotRun bool
	Signed        bool // it carries the upstream's signature
	Stream        bool // the body is a stream of events
	Load          UpstreamLoad
	HasLoad       bool
	Signals       Signals
	// AtFault is the id or address of the upstream, possibly a helper, because of which the call was
	// refused; empty if the answer doesn't name one.
	AtFault string
}

// Signals is what an upstream reports about itself in the headers of an answer, besides its load.
type Signals struct {
	// Foreign means that the answer may come from another upstream than the one that was addressed,
	// so that its signals are ignored.
	Foreign bool
	Limited bool    // it reports a rate limit
	Limit   float64 // requests per second that it accepts from all processes together
	// Leaving means that this instance ends soon and accepts no new calls.
	Leaving bool
	// RetryAfter is how long a refusing upstream asks this process to send it no calls; 0 if it
	// doesn't ask.
	RetryAfter     time.Duration
	InvalidHeaders []string // headers with invalid values
}

// Success reports whether the status is 2xx.
func (h Head) Success() bool {
	return h.Status >= http.StatusOK && h.Status < http.StatusMultipleChoices
}

// UpstreamLoad is the load that an upstream reports in the head of an answer.
type UpstreamLoad struct {
	Running int
	Waiting int
	Slots   int
}

// Part is a part of the body of an answer.
type Part struct {
	Data  []byte
	Event string // id of the event, empty if it has none
	// Comment means that the part is no event but comments or empty lines between events.
	Comment bool
}

// Sink sends an answer to the caller. An error of a method means that the caller has gone.
type Sink interface {
	// Head sends the head of the answer.
	Head(h Head) error
	// Part sends a part of the body.
	Part(b []byte) error
}
