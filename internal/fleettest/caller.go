package fleettest

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/entry"
	"github.com/hollowgrade/hollowgrade/internal/load"
	"github.com/hollowgrade/hollowgrade/internal/standin"
)

// Call is a request as sent by a caller.
type Call struct {
	Entry        int
	Organisation string
	Kind         string
	Prompt       string // of a model request, or the body of a service request
	Tokens       int
	Service      bool
	Key          string
	Allowed      time.Duration
}

// Answer is the response that a caller received, with its times.
type Answer struct {
	Call       Call
	RequestID  string
	Outcome    hollowgrade.Outcome // empty if the connection broke before an outcome was received
	Code       string
	Message    string
	Status     int
	RetryAfter float64
	Text       string
	Sent       time.Time
	First      time.Time
	Ended      time.Time
	Revision   string
	Replayed   bool
}

// Took returns how long the caller waited.
func (a Answer) Took() time.Duration {
	return a.Ended.Sub(a.Sent)
}

// ExpectedText returns the text of the complete answer to a model's request.
func (c Call) ExpectedText() string {
	return standin.Answer(c.Prompt, c.Tokens)
}

func (f *Fleet) request(ctx context.Context, c Call) *http.Request {
	url := fmt.Sprintf("http://%s:80", EntryName(c.Entry))
	body := c.Prompt
	if c.Service {
		url += entry.ServicesPath + Service + "/x"
	} else {
		url += entry.CompletionsPath
		b, _ := json.Marshal(load.CompletionCall{Model: Model, Prompt: c.Prompt, MaxTokens: c.Tokens, Stream: true})
		body = string(b)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Header.Set("Authorization", "Bearer "+Bearer+c.Organisation)
	r.Header.Set(entry.KindHeader, c.Kind)
	if c.Key != "" {
		r.Header.Set(entry.KeyHeader, c.Key)
	}
	if c.Allowed > 0 {
		r.Header.Set(entry.AllowedHeader, c.Allowed.String())
	}
	return r
}

// Do sends a call and reads the whole response.
func (f *Fleet) Do(ctx context.Context, c Call) (a Answer) {
	a.Call, a.Sent = c, time.Now()
	defer func() { a.Ended = time.Now() }()
	res, err := f.client.Do(f.request(ctx, c))
	if err != nil {
		a.Code = err.Error()
		return a
	}
	defer res.Body.Close()
	a.Status, a.RequestID = res.StatusCode, res.Header.Get(entry.RequestHeader)
	a.Revision, a.Replayed = res.Header.Get(entry.RevisionHeader), res.Header.Get(entry.ReplayHeader) != ""
	switch {
	case res.StatusCode != http.StatusOK:
		a.readRefusal(res.Body)
	case c.Service:
		a.readService(res.Body)
	default:
		a.readStream(res.Body)
	}
	return a
}

// Mint requests an idempotency key from an entry.
func (f *Fleet) Mint(i int, organisation string) string {
	url := fmt.Sprintf("http://%s:80%s", EntryName(i), entry.KeysPath)
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, http.NoBody)
	if err != nil {
		panic(err)
	}
	r.Header.Set("Authorization", "Bearer "+Bearer+organisation)
	res, err := f.client.Do(r)
	if err != nil {
		panic(err)
	}
	defer res.Body.Close()
	var m entry.MintReply
	if err = json.NewDecoder(res.Body).Decode(&m); err != nil {
		panic(err)
	}
	return m.Key
}

func (a *Answer) readRefusal(b io.Reader) {
	var e entry.ErrorBody
	if err := json.NewDecoder(b).Decode(&e); err != nil {
		a.Code = "unreadable refusal"
		return
	}
	a.setFailure(e)
}

func (a *Answer) setFailure(e entry.ErrorBody) {
	a.Outcome, a.Code, a.Message, a.RetryAfter = e.Error.Outcome, string(e.Error.Code), e.Error.Message, e.Error.RetryAfter
}

func (a *Answer) readService(b io.Reader) {
	v, err := io.ReadAll(b)
	if err != nil {
		a.Code = err.Error()
		return
	}
	var e standin.Echo
	if err = json.Unmarshal(v, &e); err != nil {
		a.Code = "unreadable answer"
		return
	}
	a.Text, a.Outcome = e.Body, hollowgrade.Finished
}

func (a *Answer) readStream(b io.Reader) {
	v := load.ReadStream(b)
	a.Text, a.First = v.Text, v.First
	switch {
	case v.Complete:
		a.Outcome = hollowgrade.Finished
	case v.Failure.Outcome != "":
		a.setFailure(entry.ErrorBody{Error: v.Failure})
	default:
		a.Code = v.BreakReason
	}
}
