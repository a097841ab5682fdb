package hollowgrade

import (
	"context"
	"errors"
	"time"
)

// ErrTrimmed is returned by [Log.Read] when the offset asked for is older than
// what the log keeps.
var ErrTrimmed = errors.New("offset is no longer kept")

// Log is the platform's append-only log. An append that returns an error may
// still have taken effect; only reading back tells.
type Log interface {
	// Append adds a record and returns its offset.
	Append(ctx context.Context, body []byte) (offset int64, err error)
	// Read returns up to limit records from the given offset on, and the
	// bounds of what the log keeps. It returns [ErrTrimmed], with the bounds,
	// when the offset has gone.
	Read(ctx context.Context, from int64, limit int) (Page, error)
}

// Page is one answer of [Log.Read].
type Page struct {
	Records  []Record `json:"records"`
	Earliest int64    `json:"earliest"` // oldest offset kept
	Next     int64    `json:"next"`     // offset that the next append will get
}

// Record is one entry of the log.
type Record struct {
	Offset int64     `json:"offset"`
	Time   time.Time `json:"time"` // when the log took it, on the log's clock
	Body   []byte    `json:"body"`
}

// Boxes is the platform's list of boxes. It lags.
type Boxes interface {
	List(ctx context.Context) ([]Box, error)
}

// BoxState is what the platform says of a box.
type BoxState string

// The states of a box on the platform's list.
const (
	BoxLive    BoxState = "live"
	BoxLeaving BoxState = "leaving"
)

// Role is the part that a process plays.
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
	Peer      string   `json:"peer"` // address for other processes of ours
	Operators string   `json:"operators"`
	State     BoxState `json:"state"`
}

// WeightStore hands out the right to fetch weights. It is rate-limited.
type WeightStore interface {
	// Fetch returns once the weights of the model have been fetched by the
	// box, or with an error that says when to ask again.
	Fetch(ctx context.Context, box, model string) error
}
