// Package standalone implements the interfaces to an append-only log, a box list and a weight store
// over HTTP with JSON, for the demo and the stand-ins. Deployments on the users' platform use
// package platform instead.
package standalone

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/internal/answer"
	"github.com/hollowgrade/hollowgrade/internal/errs"
)

// The paths of the platform's services.
const (
	PathAppend = "/append"
	PathRead   = "/read"
	PathBoxes  = "/boxes"
	PathFetch  = "/fetch"
)

// AppendReply is the reply to an append.
type AppendReply struct {
	Offset int64 `json:"offset"`
}

// FetchCall requests a model from the weight store.
type FetchCall struct {
	Box   string `json:"box"`
	Model string `json:"model"`
}

const (
	maxReplyBytes = 64 << 20
	maxHeadBytes  = 32 << 10 // of an answer
	callTimeout   = 30 * time.Second
)

type client struct {
	base string
	http *http.Client
}

// newClient returns a client. A nil transport stands for net/http's default one with the bound of heads.
func newClient(base string, t http.RoundTripper) client {
	if t == nil {
		d := http.DefaultTransport.(*http.Transport).Clone()
		d.MaxResponseHeaderBytes = maxHeadBytes
		d.DialContext = answer.Dial(d.DialContext)
		t = d
	}
	return client{base: base, http: &http.Client{Transport: t, Timeout: callTimeout}}
}

// call makes a call, and decodes the reply unless the status says that there is none.
func (c client) call(ctx context.Context, method, path string, body []byte, decode func(doc []byte) error) (status int, err error) {
	defer errs.Annotate(&err, "call %s", path)
	r, err := http.NewRequestWithContext(answer.WithTrace(ctx), method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	res, err := c.http.Do(r)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	if err = answer.CheckHead(res); err != nil {
		return 0, err
	}
	if res.StatusCode != http.StatusOK && res.StatusCode != http.StatusGone {
		return res.StatusCode, fmt.Errorf("status %d", res.StatusCode)
	}
	doc, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes+1))
	switch {
	case err != nil:
		return res.StatusCode, err
	case len(doc) > maxReplyBytes:
		return res.StatusCode, fmt.Errorf("over %d bytes", maxReplyBytes)
	default:
		return res.StatusCode, decode(doc)
	}
}

// into returns a decoder of a whole document into v.
func into(v any) func(doc []byte) error {
	return func(doc []byte) error { return json.Unmarshal(doc, v) }
}

// Log implements [hollowgrade.Log].
type Log struct {
	client client
}

// NewLog returns a client for the log at the base URL. A nil transport stands for the default one.
func NewLog(base string, t http.RoundTripper) *Log {
	return &Log{client: newClient(base, t)}
}

// Append implements [hollowgrade.Log].
func (l *Log) Append(ctx context.Context, body []byte) (offset int64, err error) {
	var r AppendReply
	_, err = l.client.call(ctx, http.MethodPost, PathAppend, body, into(&r))
	return r.Offset, err
}

// Read implements [hollowgrade.Log].
func (l *Log) Read(ctx context.Context, from int64, limit int) (p hollowgrade.Page, err error) {
	v := url.Values{"from": {strconv.FormatInt(from, 10)}, "limit": {strconv.Itoa(limit)}}
	decode := func(doc []byte) (err error) {
		p, err = decodePage(doc, from)
		return err
	}
	s, err := l.client.call(ctx, http.MethodGet, PathRead+"?"+v.Encode(), nil, decode)
	if err == nil && s == http.StatusGone {
		err = hollowgrade.ErrTrimmed
	}
	return p, err
}

// Weights implements [hollowgrade.WeightStore].
type Weights struct {
	client client
}

// NewWeights returns a client for the weight store at the base URL. A nil transport stands for the
// default one.
func NewWeights(base string, t http.RoundTripper) *Weights {
	return &Weights{client: newClient(base, t)}
}

// Fetch implements [hollowgrade.WeightStore].
func (w *Weights) Fetch(ctx context.Context, box, model string) error {
	b, err := json.Marshal(FetchCall{Box: box, Model: model})
	if err != nil {
		return err
	}
	_, err = w.client.call(ctx, http.MethodPost, PathFetch, b, into(&struct{}{}))
	return err
}
