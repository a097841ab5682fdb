package hollowgrade

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// Call is one request of a caller that an upstream gets unchanged, whatever it
// asks for. It is immutable.
type Call struct {
	ID     string // the caller's own, one for each of its attempts
	Host   string
	Path   string // without the query
	Method string
	Target string // path and query as the caller sent them
	Header http.Header
	Body   []byte
	// HasBody tells a body of no bytes from none.
	HasBody     bool
	Key         string // API key, empty if the caller sent none
	LastEventID string // id of the last event of the answer that the caller already has
	Model       string
	// PromptTokens and MaxTokens are zero for calls that generate nothing.
	PromptTokens int
	MaxTokens    int
	Arrived      time.Time     // when the call had been read, on the steady clock
	Patience     time.Duration // how long the caller waits from Arrived on; 0 if it did not say
}

// Upstream is one back end as the platform's registry lists it.
type Upstream struct {
	ID          string // may be that of an earlier life, before a restart
	StartMillis int64  // Unix ms of the start of this life, 0 if it does not tell that
	Service     string
	Address     string
	Hall        string // data hall
	Slots       int    // requests that it works on at a time
	Draining    bool   // it is about to leave and must get no new work
}

// Sending is one attempt at a call, addressed to one upstream.
type Sending struct {
	Call         Call
	Upstream     Upstream
	Organisation string
	TimeLeft     time.Duration // the upstream ends work after it
	LastEventID  string        // id of the last event that the caller has
	Helpers      []Helper      // upstreams that read parts of the prompt
	Priority     int           // 0 is let in first
}

// Helper is an upstream that reads a part of a prompt for another.
type Helper struct {
	Address       string
	ReservationID string // id of memory set aside there for a part of the prompt; empty if it only reads
}

// ErrNoMemory is in the chain of the error of [Reserver.Reserve] when the
// upstream has not as much memory free.
var ErrNoMemory = errors.New("memory is not free")

// Reserver sets memory of upstreams aside.
type Reserver interface {
	// Reserve sets memory aside under an id for a while, or renews it. After an
	// error other than [ErrNoMemory] it may have been set aside, or may be later.
	Reserve(ctx context.Context, u Upstream, id string, tokens int, hold time.Duration) error
	// Release frees the memory. It is no error if there is none under the id.
	Release(ctx context.Context, u Upstream, id string) error
}

// UpstreamReport is what an upstream says of itself when it is asked.
type UpstreamReport struct {
	Pace        float64 // how many times as long as published it takes for what it does
	StartMillis int64   // start of the life that says so, Unix ms, 0 if it does not tell that
	// Signals is what the answer says beside the report, also if it is none.
	Signals Signals
}

// Reporter asks upstreams about themselves.
type Reporter interface {
	// Report asks an upstream. What it says may be some hundred milliseconds old.
	Report(ctx context.Context, u Upstream) (UpstreamReport, error)
}

// Presence is what a probe finds at the address of an upstream.
type Presence int

// What a probe finds.
const (
	Absent  Presence = iota // connections are refused, or nothing answers
	Closing                 // a connection is taken and ended without a word, by the upstream or by something in front of it
	Present                 // a connection is taken and kept
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

// Prober tells whether upstreams are there.
type Prober interface {
	// Probe opens a connection to the upstream, sends nothing, and tells what becomes of it. An error
	// comes with [Absent] and says why, as when nothing answers.
	Probe(ctx context.Context, u Upstream) (Presence, error)
}

// ErrStopping is the cause with which the context of a call ends that is still open when the time of a planned stop
// is nearly over. Its caller is there and waits for an answer.
var ErrStopping = errors.New("the box is being stopped")

// ErrNotSent is in the chain of the error of [Exchanger.Open] when nothing of
// the call has left, so that the upstream cannot have run it.
var ErrNotSent = errors.New("nothing was sent")

// ErrNotAnAnswer is in the chain of an error when the upstream sent bytes that
// do not answer the call.
var ErrNotAnAnswer = errors.New("not an answer to this call")

// Exchanger sends calls to upstreams.
type Exchanger interface {
	// Open sends the call and returns once the head of its answer has come.
	// Ending ctx ends the exchange, also later, and so cancels the work.
	Open(ctx context.Context, s Sending) (Exchange, error)
}

// Exchange is the answer of an upstream on its way.
type Exchange interface {
	// Head returns the head of the answer.
	Head() Head
	// Next returns the next part: a whole event of a stream, or some bytes of
	// any other body. It returns io.EOF after the last part of a whole answer
	// and any other error when the answer is cut.
	Next() (Part, error)
	// Close gives the answer up; the upstream notices and ends its work.
	io.Closer
}

// Head is the head of an answer.
type Head struct {
	Status  int
	Header  http.Header // those that the caller is to get
	NotRun  bool        // the upstream says that it has not run the call
	Signed  bool        // it carries the upstream's signature
	Stream  bool        // the body is a series of events
	Load    UpstreamLoad
	HasLoad bool
	Signals Signals
	// AtFault is the id or the address of the upstream for whose sake the call was
	// not taken, which may be a helper; empty if the answer does not name it.
	AtFault string
}

// Signals is what an upstream says of itself in an answer, beside its load.
type Signals struct {
	// Foreign says that the answer is not known to come from the upstream that was asked, so that it tells nothing of it.
	Foreign bool
	Limited bool    // it names a limit
	Limit   float64 // requests a second that it takes from all processes together
	// Leaving says that this life of it ends soon, and takes no new work.
	Leaving bool
	// RetryAfter is for how long it wants nothing from this process, since it turned the request away; 0 if it does not say.
	RetryAfter     time.Duration
	InvalidHeaders []string // headers whose values cannot be used
}

// Success reports whether the answer is one that the caller asked for.
func (h Head) Success() bool {
	return h.Status >= http.StatusOK && h.Status < http.StatusMultipleChoices
}

// UpstreamLoad is what an upstream says of itself in the head of an answer.
type UpstreamLoad struct {
	Running int
	Waiting int
	Slots   int
}

// Part is a part of the body of an answer.
type Part struct {
	Data  []byte
	Event string // id of the event, empty if it has none
}

// Sink takes an answer on its way to the caller. An error of a method means
// that the caller is gone.
type Sink interface {
	// Head passes the head of the answer on.
	Head(h Head) error
	// Part passes a part of its body on.
	Part(b []byte) error
}
