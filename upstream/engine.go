// Package upstream implements the interfaces to model engines and to plain services over their HTTP
// protocols.
//
// The engine's protocol is the completions interface that engines commonly offer, with server-sent
// events, and plain JSON calls for operations that engines offer in different ways: cancel,
// holdings, reservations, export, orders and load. docs/operators/agent.md lists them.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/internal/answer"
	"github.com/hollowgrade/hollowgrade/internal/errs"
	"github.com/hollowgrade/hollowgrade/internal/jsonlist"
)

// The paths of the engine's protocol.
const (
	PathCompletions = "/v1/completions"
	PathCancel      = "/v1/cancel"
	PathLoad        = "/v1/load"
	PathHoldings    = "/v1/holdings"
	PathReserve     = "/v1/reserve"
	PathExport      = "/v1/export"
	PathRelease     = "/v1/release"
	PathOrders      = "/v1/orders"
)

// GenerateCall is the body of a call to [PathCompletions].
type GenerateCall struct {
	RequestID   string   `json:"request_id"`
	Model       string   `json:"model"`
	Prompt      string   `json:"prompt"`
	MaxTokens   int      `json:"max_tokens"`
	Stream      bool     `json:"stream"`
	Priority    int      `json:"priority"`
	Prefix      []string `json:"prefix,omitempty"`
	Handles     []string `json:"handles,omitempty"`
	HoldOnly    bool     `json:"hold_only,omitempty"`
	Reservation string   `json:"reservation,omitempty"`
}

// TokenEvent is one event of an answer.
type TokenEvent struct {
	Offset int    `json:"offset"`
	Text   string `json:"text"`
	Error  string `json:"error,omitempty"`
}

// HoldingCall is the body of the calls about a single holding.
type HoldingCall struct {
	ID        string `json:"id"`
	Tokens    int    `json:"tokens,omitempty"`
	TTLMillis int64  `json:"ttl_ms,omitempty"`
}

// HandleReply is the reply to a call of [PathExport].
type HandleReply struct {
	Handle string `json:"handle"`
}

// LoadReply is the reply to a call of [PathLoad].
type LoadReply struct {
	Running     int       `json:"running"`
	Waiting     int       `json:"waiting"`
	UsedTokens  int       `json:"used_tokens"`
	TotalTokens int       `json:"total_tokens"`
	AsOf        time.Time `json:"as_of"`
	Models      []string  `json:"models"`
}

// Done is the data of the event that ends a complete answer.
const Done = "[DONE]"

const (
	maxEventBytes = 1 << 20
	maxReplyBytes = 16 << 20
	maxIdleConns  = 512
)

// maxHeadBytes bounds the head of an answer.
const maxHeadBytes = 32 << 10

// Transport returns an HTTP transport that keeps enough idle connections to one upstream. A nil
// dial function stands for the default one.
func Transport(d DialFunc) *http.Transport {
	return &http.Transport{
		DialContext:            answer.Dial(d),
		MaxIdleConns:           maxIdleConns,
		MaxIdleConnsPerHost:    maxIdleConns,
		MaxResponseHeaderBytes: maxHeadBytes,
		DisableCompression:     true,
	}
}

// Engine implements [hollowgrade.Engine] over HTTP.
type Engine struct {
	base   string
	client *http.Client
}

// NewEngine returns a client for the engine at the given base URL.
func NewEngine(base string, t http.RoundTripper) *Engine {
	return &Engine{base: base, client: &http.Client{Transport: t}}
}

// Generate implements [hollowgrade.Engine].
func (e *Engine) Generate(ctx context.Context, g hollowgrade.Generation) (s hollowgrade.TokenStream, err error) {
	defer errs.Annotate(&err, "generate %s", g.ID)
	ctx, cancel := context.WithCancel(ctx)
	res, err := e.post(ctx, PathCompletions, //nolint:bodyclose // The stream closes it.
		GenerateCall{
			RequestID:   g.ID,
			Model:       g.Model,
			Prompt:      g.Prompt,
			MaxTokens:   g.MaxTokens,
			Stream:      true,
			Priority:    g.Priority,
			Prefix:      g.Prefix,
			Handles:     g.Handles,
			HoldOnly:    g.PrefillOnly,
			Reservation: g.Reservation,
		})
	if err != nil {
		cancel()
		return nil, err
	}
	b := bufio.NewScanner(res.Body)
	b.Buffer(nil, maxEventBytes)
	return &eventStream{body: res.Body, lines: b, cancel: cancel}, nil
}

// Cancel implements [hollowgrade.Engine].
func (e *Engine) Cancel(ctx context.Context, id string) error {
	return e.call(ctx, PathCancel, HoldingCall{ID: id}, nil)
}

// Reserve implements [hollowgrade.Engine].
func (e *Engine) Reserve(ctx context.Context, id string, tokens int, ttl time.Duration) error {
	return e.call(ctx, PathReserve, HoldingCall{ID: id, Tokens: tokens, TTLMillis: ttl.Milliseconds()}, nil)
}

// Export implements [hollowgrade.Engine].
func (e *Engine) Export(ctx context.Context, id string) (handle string, err error) {
	var r HandleReply
	err = e.call(ctx, PathExport, HoldingCall{ID: id}, &r)
	return r.Handle, err
}

// Release implements [hollowgrade.Engine].
func (e *Engine) Release(ctx context.Context, id string) error {
	return e.call(ctx, PathRelease, HoldingCall{ID: id}, nil)
}

// Order implements [hollowgrade.Engine].
func (e *Engine) Order(ctx context.Context, o hollowgrade.Order) error {
	return e.call(ctx, PathOrders, o, nil)
}

// Load implements [hollowgrade.Engine].
func (e *Engine) Load(ctx context.Context) (l hollowgrade.EngineLoad, err error) {
	var r LoadReply
	err = e.call(ctx, PathLoad, struct{}{}, &r)
	return hollowgrade.EngineLoad(r), err
}

// Holdings implements [hollowgrade.Engine]. The engine may serve others beside the agent, whose allocations
// need not be of our form.
func (e *Engine) Holdings(ctx context.Context) (hs []hollowgrade.Allocation, err error) {
	doc, err := e.callForReply(ctx, PathHoldings, struct{}{})
	if err != nil {
		return nil, err
	}
	unused := 0
	err = jsonlist.Each(doc, func(b json.RawMessage) {
		var h hollowgrade.Allocation
		if json.Unmarshal(b, &h) != nil || h.ID == "" {
			unused++
			return
		}
		hs = append(hs, h)
	})
	switch {
	case err != nil:
		return nil, fmt.Errorf("decode holdings: %w", err)
	case unused > 0:
		return hs, fmt.Errorf("%w: %d of %d", hollowgrade.ErrUnusedEntries, unused, unused+len(hs))
	default:
		return hs, nil
	}
}

// call makes a call and decodes its reply, if reply is not nil.
func (e *Engine) call(ctx context.Context, path string, body, reply any) error {
	doc, err := e.callForReply(ctx, path, body)
	if err != nil || reply == nil {
		return err
	}
	return json.Unmarshal(doc, reply)
}

// callForReply makes a call and returns its whole reply.
func (e *Engine) callForReply(ctx context.Context, path string, body any) (doc []byte, err error) {
	defer errs.Annotate(&err, "engine call %s", path)
	res, err := e.post(ctx, path, body)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	doc, err = io.ReadAll(io.LimitReader(res.Body, maxReplyBytes+1))
	if err == nil && len(doc) > maxReplyBytes {
		err = fmt.Errorf("reply of over %d bytes", maxReplyBytes)
	}
	return doc, err
}

func (e *Engine) post(ctx context.Context, path string, body any) (res *http.Response, err error) {
	b, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(answer.WithTrace(ctx), http.MethodPost, e.base+path, bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	res, err = checkHead(e.client.Do(r))
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		defer res.Body.Close()
		return nil, refusal(res)
	}
	return res, nil
}

// RefusedError reports that the engine replied with a status other than 200.
type RefusedError struct {
	Status  int
	Message string
}

// Error implements the error interface.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused with status %d: %s", e.Status, e.Message)
}

const maxMessageBytes = 512

func refusal(res *http.Response) error {
	b, err := io.ReadAll(io.LimitReader(res.Body, maxMessageBytes))
	if err != nil {
		return err
	}
	return &RefusedError{Status: res.StatusCode, Message: string(bytes.TrimSpace(b))}
}

type eventStream struct {
	body   io.ReadCloser
	lines  *bufio.Scanner
	cancel context.CancelFunc
}

// Next implements [hollowgrade.TokenStream]. An answer without its closing event is incomplete,
// even if the transport reports no error.
func (e *eventStream) Next() (t hollowgrade.Token, err error) {
	for e.lines.Scan() {
		d, ok := bytes.CutPrefix(e.lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(d) == Done {
			return t, io.EOF
		}
		var v TokenEvent
		if err = json.Unmarshal(d, &v); err != nil {
			return t, fmt.Errorf("malformed event: %w", err)
		}
		if v.Error != "" {
			return t, fmt.Errorf("engine failed: %s", v.Error)
		}
		return hollowgrade.Token{Offset: v.Offset, Text: v.Text}, nil
	}
	if err = e.lines.Err(); err == nil {
		err = io.ErrUnexpectedEOF
	}
	return t, err
}

// Close implements [hollowgrade.TokenStream].
func (e *eventStream) Close() error {
	e.cancel()
	return e.body.Close()
}
