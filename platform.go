package hollowgrade

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// ErrTrimmed is returned by [Log.Read] and [Topic.Wait] if records at the requested offset have been
// deleted.
var ErrTrimmed = errors.New("offset is no longer kept")

// TrimmedError is the [ErrTrimmed] that [Topic.Wait] returns.
type TrimmedError struct {
	Era   int64 // of the store; 0 if unknown
	First int64 // first offset that the topic keeps
}

// Error implements error.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("%v: era %d, the first one is %d", ErrTrimmed, e.Era, e.First)
}

// Unwrap returns [ErrTrimmed].
func (e *TrimmedError) Unwrap() error {
	return ErrTrimmed
}

// Log is the platform's append-only log. An append that returns an error may still have taken effect,
// which can only be determined by reading the log.
type Log interface {
	// Append adds a record and returns its offset.
	Append(ctx context.Context, body []byte) (offset int64, err error)
	// Read returns up to limit records from an offset on, and the range of offsets that the log keeps.
	// It returns [ErrTrimmed], with the range, if the offset has been deleted.
	Read(ctx context.Context, from int64, limit int) (Page, error)
}

// Page is the result of [Log.Read].
type Page struct {
	Records  []Record `json:"records"`
	Earliest int64    `json:"earliest"` // oldest offset kept
	Next     int64    `json:"next"`     // offset that the next append will get
}

// Record is one entry of the log.
type Record struct {
	Offset int64     `json:"offset"`
	Time   time.Time `json:"time"` // when it was appended, on the log's clock
	Body   []byte    `json:"body"`
}

// Boxes is the platform's list of boxes, which may be out of date.
type Boxes interface {
	List(ctx context.Context) ([]Box, error)
}

// BoxState is the state of a box according to the platform.
type BoxState string

// The states of a box on the platform's list.
const (
	BoxLive    BoxState = "live"
	BoxLeaving BoxState = "leaving"
)

// Role is the role of a process.
type Role string

// The roles of long-running processes.
const (
	EntryRole   Role = "entry"
	AgentRole   Role = "agent"
	GatewayRole Role = "gateway"
)

// Box is one machine on the platform's list.
type Box struct {
	Name      string   `json:"name"`
	Role      Role     `json:"role"`
	Hall      string   `json:"hall"` // data hall
	Peer      string   `json:"peer"` // address for the other processes of the serving layer
	Operators string   `json:"operators"`
	State     BoxState `json:"state"`
}

// WeightStore grants boxes permission to fetch model weights. It is rate-limited.
type WeightStore interface {
	// Fetch returns when the box has fetched the weights of the model, or returns an error with a
	// retry delay.
	Fetch(ctx context.Context, box, model string) error
}
