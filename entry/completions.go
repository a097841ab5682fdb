package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/callers"
	"github.com/hollowgrade/hollowgrade/fault"
	"github.com/hollowgrade/hollowgrade/internal/wire"
	"github.com/hollowgrade/hollowgrade/sched"
)

const (
	defaultMaxTokens = 256
	maxTokensLimit   = 65_536
)

// completionCall is the body of a call to [CompletionsPath].
type completionCall struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens *int   `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// chatCall is the body of a call to [ChatPath].
type chatCall struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens *int      `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (e *Entry) completion(w http.ResponseWriter, r *http.Request, c caller) error {
	var b completionCall
	if err := e.readJSON(w, r, &b); err != nil {
		return err
	}
	if b.Prompt == "" {
		return fault.New(fault.MalformedBody, "prompt must be a string that is not empty")
	}
	return e.generate(w, r, c, b, textFormat)
}

func (e *Entry) chat(w http.ResponseWriter, r *http.Request, c caller) error {
	var b chatCall
	if err := e.readJSON(w, r, &b); err != nil {
		return err
	}
	if len(b.Messages) == 0 {
		return fault.New(fault.MalformedBody, "messages must hold one message at least")
	}
	p := completionCall{Model: b.Model, Prompt: chatPrompt(b.Messages), MaxTokens: b.MaxTokens, Stream: b.Stream}
	return e.generate(w, r, c, p, chatFormat)
}

// chatPrompt joins messages into one prompt. Conversations with the same beginning give prompts
// with the same beginning, so that prefix caches work.
func chatPrompt(ms []message) string {
	var b strings.Builder
	for _, m := range ms {
		fmt.Fprintf(&b, "%s: %s\n", m.Role, m.Content)
	}
	b.WriteString("assistant:")
	return b.String()
}

func (e *Entry) readJSON(w http.ResponseWriter, r *http.Request, v any) error {
	b, err := e.readBody(w, r)
	if err != nil {
		return err
	}
	err = json.Unmarshal(b, v)
	var t *json.UnmarshalTypeError
	var s *json.SyntaxError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &t):
		return fault.New(fault.MalformedBody, "%s must be a %s, not a %s", t.Field, t.Type, t.Value)
	case errors.As(err, &s):
		return fault.New(fault.MalformedBody, "the body is no JSON: %s at byte %d", s, s.Offset)
	default:
		return fault.New(fault.MalformedBody, "the body cannot be read: %v", err)
	}
}

// generate serves a call for a model.
func (e *Entry) generate(w http.ResponseWriter, r *http.Request, c caller, b completionCall, s answerFormat) error {
	if _, ok := c.config.Models[b.Model]; !ok {
		return fault.New(fault.UnknownModel, "there is no model %q", b.Model)
	}
	n := defaultMaxTokens
	if b.MaxTokens != nil {
		n = *b.MaxTokens
	}
	if n < 1 || n > maxTokensLimit {
		return fault.New(fault.MalformedBody, "max_tokens is %d, it must be from 1 to %d", n, maxTokensLimit)
	}
	q := &query{body: []byte(b.Prompt), arrived: e.clock.Now()}
	q.prefixes = sched.PrefixHashes(q.body)
	var err error
	q.request, err = e.applyPolicy(r, c, hollowgrade.Request{
		Model:        b.Model,
		PromptTokens: (len(b.Prompt) + bytesPerToken - 1) / bytesPerToken,
		MaxTokens:    n,
	})
	if err != nil {
		return err
	}
	defer callers.BoundWrites(w, q.request.Deadline)()
	a := &answer{w: w, id: c.id, model: b.Model, format: s, stream: b.Stream, prompt: q.request.PromptTokens}
	q.sink = a
	err = e.serve(r.Context(), q, c.organisation)
	if err != nil && !a.began {
		return err
	}
	return a.end(err)
}

// answerFormat is the JSON format of an answer: of a completion or of a chat.
type answerFormat struct {
	object, chunk string
	chat          bool
}

var (
	textFormat = answerFormat{object: "text_completion", chunk: "text_completion"}
	chatFormat = answerFormat{object: "chat.completion", chunk: "chat.completion.chunk", chat: true}
)

// answer is the sink of a model's answer, sent as a whole or as server-sent events.
type answer struct {
	w      http.ResponseWriter
	id     string
	model  string
	format answerFormat
	stream bool
	prompt int
	began  bool // whether a byte of the answer has been sent
	text   strings.Builder
	count  int
	buffer bytes.Buffer
}

// The types below are the JSON objects that completions and chats have in common.

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	Delta        *delta   `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content,omitempty"`
}

type tokenUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type completion struct {
	ID      string      `json:"id"`
	Object  string      `json:"object"`
	Model   string      `json:"model"`
	Choices []choice    `json:"choices"`
	Usage   *tokenUsage `json:"usage,omitempty"`
}

// Token implements [sink].
func (a *answer) Token(_ int, text string) error {
	a.count++
	if !a.stream {
		a.text.WriteString(text)
		return nil
	}
	if !a.began {
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.Header().Set("Cache-Control", "no-store")
		a.began = true
	}
	c := choice{Text: &text}
	if a.format.chat {
		c = choice{Delta: &delta{Content: text}}
	}
	return a.event(a.body(a.format.chunk, c))
}

// Head implements [sink].
func (a *answer) Head(*wire.ServiceHead) error {
	return errors.New("a model's answer has no head")
}

// Data implements [sink].
func (a *answer) Data([]byte) error {
	return errors.New("a model's answer has no data")
}

func (a *answer) body(object string, c choice) completion {
	return completion{ID: a.id, Object: object, Model: a.model, Choices: []choice{c}}
}

func (a *answer) event(v any) error {
	a.buffer.Reset()
	a.buffer.WriteString("data: ")
	if err := json.NewEncoder(&a.buffer).Encode(v); err != nil {
		return err
	}
	a.buffer.WriteByte('\n')
	if _, err := a.w.Write(a.buffer.Bytes()); err != nil {
		return err
	}
	return http.NewResponseController(a.w).Flush()
}

// end sends the rest of the answer. In a stream that has begun, a failure is the last event, and
// the event that marks a complete answer never follows it.
func (a *answer) end(err error) error {
	if err != nil {
		_ = a.event(errorBody(a.id, fault.As(err, hollowgrade.Unknown)))
		return nil
	}
	stop := "stop"
	u := &tokenUsage{PromptTokens: a.prompt, CompletionTokens: a.count, TotalTokens: a.prompt + a.count}
	if a.stream {
		last := a.body(a.format.chunk, choice{FinishReason: &stop})
		last.Usage = u
		if a.event(last) == nil {
			_, _ = io.WriteString(a.w, "data: [DONE]\n\n")
		}
		return nil
	}
	t := a.text.String()
	c := choice{Text: &t, FinishReason: &stop}
	if a.format.chat {
		c = choice{Message: &message{Role: "assistant", Content: t}, FinishReason: &stop}
	}
	b := a.body(a.format.object, c)
	b.Usage = u
	a.w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(a.w).Encode(b)
}
