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
	callTimeout   = 30 * time.Second
)

type client struct {
	base string
	http *http.Client
}

func newClient(base string, t http.RoundTripper) client {
	return client{base: base, http: &http.Client{Transport: t, Timeout: callTimeout}}
}

func (c client) call(ctx context.Context, method, path string, body []byte, reply any) (status int, err error) {
	defer errs.Annotate(&err, "call %s", path)
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	res, err := c.http.Do(r)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK && res.StatusCode != http.StatusGone {
		return res.StatusCode, fmt.Errorf("status %d", res.StatusCode)
	}
	return res.StatusCode, json.NewDecoder(io.LimitReader(res.Body, maxReplyBytes)).Decode(reply)
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
	_, err = l.client.call(ctx, http.MethodPost, PathAppend, body, &r)
	return r.Offset, err
}

// Read implements [hollowgrade.Log].
func (l *Log) Read(ctx context.Context, from int64, limit int) (p hollowgrade.Page, err error) {
	v := url.Values{"from": {strconv.FormatInt(from, 10)}, "limit": {strconv.Itoa(limit)}}
	s, err := l.client.call(ctx, http.MethodGet, PathRead+"?"+v.Encode(), nil, &p)
	if err == nil && s == http.StatusGone {
		err = hollowgrade.ErrTrimmed
	}
	return p, err
}

// Boxes implements [hollowgrade.Boxes].
type Boxes struct {
	client client
}

// NewBoxes returns a client for the box list at the base URL. A nil transport stands for the
// default one.
func NewBoxes(base string, t http.RoundTripper) *Boxes {
	return &Boxes{client: newClient(base, t)}
}

// List implements [hollowgrade.Boxes].
func (b *Boxes) List(ctx context.Context) (bs []hollowgrade.Box, err error) {
	_, err = b.client.call(ctx, http.MethodGet, PathBoxes, nil, &bs)
	return bs, err
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
	_, err = w.client.call(ctx, http.MethodPost, PathFetch, b, &struct{}{})
	return err
}
