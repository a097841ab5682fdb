package hollowgrade

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// Engine is a model engine as used by an agent.
type Engine interface {
	// Generate starts a sequence. The stream ends with io.EOF after the last token, when the engine
	// has freed the sequence's memory. Cancelling ctx cancels the sequence at the engine.
	Generate(ctx context.Context, g Generation) (TokenStream, error)
	// Cancel ends the sequence with the given id and frees its memory. An unknown id is no error.
	Cancel(ctx context.Context, id string) error
	// Load returns the engine's own load report, which may be out of date.
	Load(ctx context.Context) (EngineLoad, error)
	// Holdings lists all allocations of memory on the engine. With an error that wraps [ErrUnusedEntries]
	// it returns those that can be used.
	Holdings(ctx context.Context) ([]Allocation, error)
	// Reserve reserves memory under an id for ttl.
	Reserve(ctx context.Context, id string, tokens int, ttl time.Duration) error
	// Export returns a handle by which other engines attach to a part of a prompt that was
	// prefilled with PrefillOnly.
	Export(ctx context.Context, id string) (handle string, err error)
	// Release frees a reservation or an exported part of a prompt.
	Release(ctx context.Context, id string) error
	// Order makes the engine load or unload a model. The engine refuses a fencing token lower than
	// one that it has seen.
	Order(ctx context.Context, o Order) error
}

// Generation is one call of [Engine.Generate].
type Generation struct {
	ID        string
	Model     string
	Prompt    string
	Prefix    []string // tokens of the answer that the caller has already received
	MaxTokens int
	Priority  int
	// Handles are exported parts of the prompt on other engines, in order. They precede Prompt.
	Handles []string
	// PrefillOnly asks for prefill without decode. The result stays in memory under ID for Export.
	PrefillOnly bool
	// Reservation is the id of reserved memory that this call uses up, empty if there is none.
	Reservation string
}

// TokenStream reads the tokens of one answer.
type TokenStream interface {
	// Next returns the next token. It returns io.EOF after the last one of a complete answer, and
	// another error if the answer is cut off.
	Next() (Token, error)
	// Close closes the stream and cancels the sequence if it is still running.
	io.Closer
}

// Token is one token of an answer.
type Token struct {
	Offset int // index in the whole answer, counting the tokens of Prefix
	Text   string
}

// EngineLoad is an engine's report of its load.
type EngineLoad struct {
	Running     int
	Waiting     int
	UsedTokens  int
	TotalTokens int
	AsOf        time.Time // when the engine measured it
	Models      []string
}

// AllocationKind is the purpose of an allocation.
type AllocationKind string

// The kinds of allocations.
const (
	SequenceAllocation    AllocationKind = "sequence"
	ExportAllocation      AllocationKind = "export"
	ReservationAllocation AllocationKind = "reservation"
)

// ErrUnusedEntries means that a list had entries that cannot be used and were left out.
var ErrUnusedEntries = errors.New("entries of the list cannot be used")

// Allocation is memory that an engine has allocated under an id.
type Allocation struct {
	ID     string         `json:"id"`
	Kind   AllocationKind `json:"kind"`
	Tokens int            `json:"tokens"`
}

// Order is a fenced instruction to an engine.
type Order struct {
	Fence  int64  `json:"fence"` // fencing token: the order's offset in the platform's log
	Action string `json:"action"`
	Model  string `json:"model"`
}

// The actions of an [Order].
const (
	LoadModel   = "load_model"
	UnloadModel = "unload_model"
)

// Service is a plain service as used by an agent.
type Service interface {
	// Do forwards a call and returns the answer. The caller closes its body.
	Do(r *http.Request) (*http.Response, error)
}
