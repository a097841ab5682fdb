package hollowgrade

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Engine is one model engine as an agent sees it.
type Engine interface {
	// Generate starts a sequence. The stream ends with io.EOF after the last
	// token, and the engine has let go of the sequence's memory by then.
	// Ending ctx cancels the sequence at the engine.
	Generate(ctx context.Context, g Generation) (TokenStream, error)
	// Cancel ends the sequence with the given id and frees its memory. It is
	// no error if there is none.
	Cancel(ctx context.Context, id string) error
	// Load returns the engine's own report, which lags.
	Load(ctx context.Context) (EngineLoad, error)
	// Holdings lists all that holds memory on the engine.
	Holdings(ctx context.Context) ([]Allocation, error)
	// Reserve sets memory aside under id until ttl has passed.
	Reserve(ctx context.Context, id string, tokens int, ttl time.Duration) error
	// Export turns the memory of a held prompt piece into a handle which
	// other engines can attach to.
	Export(ctx context.Context, id string) (handle string, err error)
	// Release frees a reservation or an exported piece.
	Release(ctx context.Context, id string) error
	// Order tells the engine to load a model or change its role. The engine
	// refuses a fence lower than one that it has seen.
	Order(ctx context.Context, o Order) error
}

// Generation is one call of [Engine.Generate].
type Generation struct {
	ID        string
	Model     string
	Prompt    string
	Prefix    []string // tokens of the answer that the caller already has
	MaxTokens int
	Priority  int
	// Handles are exported pieces of the prompt on other engines, in order,
	// which stand before Prompt.
	Handles []string
	// PrefillOnly asks for the prefill alone: the piece stays in memory under ID
	// for Export.
	PrefillOnly bool
	// Reservation, if set, is memory set aside before that this call uses up.
	Reservation string
}

// TokenStream yields the tokens of one answer.
type TokenStream interface {
	// Next returns the next token. It returns io.EOF after the last one of a
	// whole answer, and any other error when the answer is cut.
	Next() (Token, error)
	// Close gives the stream up and cancels the sequence if it still runs.
	io.Closer
}

// Token is one piece of an answer.
type Token struct {
	Offset int // counts from 0 over the whole answer, with what came in Prefix
	Text   string
}

// EngineLoad is what an engine says of itself.
type EngineLoad struct {
	Running     int
	Waiting     int
	UsedTokens  int
	TotalTokens int
	AsOf        time.Time // when the figures were taken
	Models      []string
}

// AllocationKind says what a piece of held memory is for.
type AllocationKind string

// The kinds of memory an engine can hold.
const (
	SequenceAllocation    AllocationKind = "sequence"
	ExportAllocation      AllocationKind = "export"
	ReservationAllocation AllocationKind = "reservation"
)

// Allocation is memory that an engine holds under an id.
type Allocation struct {
	ID     string         `json:"id"`
	Kind   AllocationKind `json:"kind"`
	Tokens int            `json:"tokens"`
}

// Order is a fenced instruction to an engine.
type Order struct {
	Fence  int64  `json:"fence"` // offset in the platform's log
	Action string `json:"action"`
	Model  string `json:"model"`
}

// The actions of an [Order].
const (
	LoadModel   = "load_model"
	UnloadModel = "unload_model"
)

// Service is one plain service upstream as an agent sees it.
type Service interface {
	// Do sends the call on and returns the answer, whose body the caller
	// closes.
	Do(r *http.Request) (*http.Response, error)
}
