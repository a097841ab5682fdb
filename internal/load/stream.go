package load

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/hollowgrade/hollowgrade/entry"
)

// CompletionCall is the body of a request for a model.
type CompletionCall struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// Stream is the part of a streamed answer that a caller received.
type Stream struct {
	Text        string
	Tokens      int
	First       time.Time         // when the first token arrived
	Complete    bool              // whether the end marker arrived
	Failure     entry.ErrorDetail // of the last event, if it was a failure
	BreakReason string            // why it ended without end marker and failure
}

// event is any event of a stream.
type event struct {
	entry.ErrorBody
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

const maxEventBytes = 1 << 20

// ReadStream reads server-sent events up to the one that ends the answer.
func ReadStream(r io.Reader) (s Stream) {
	var text strings.Builder
	defer func() { s.Text = text.String() }()
	l := bufio.NewScanner(r)
	l.Buffer(nil, maxEventBytes)
	for l.Scan() {
		d, ok := strings.CutPrefix(l.Text(), "data: ")
		if !ok {
			continue
		}
		if d == "[DONE]" {
			s.Complete = true
			return s
		}
		var e event
		if err := json.Unmarshal([]byte(d), &e); err != nil {
			s.BreakReason = "an event cannot be read"
			return s
		}
		if e.Error.Outcome != "" {
			s.Failure = e.Error
			return s
		}
		if s.First.IsZero() {
			s.First = time.Now()
		}
		if len(e.Choices) > 0 && e.Choices[0].FinishReason == nil {
			text.WriteString(e.Choices[0].Text)
			s.Tokens++
		}
	}
	s.BreakReason = "the stream broke off"
	return s
}
