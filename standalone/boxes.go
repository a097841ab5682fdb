package standalone

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"

	"github.com/charmbracelet/log"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/internal/jsonlist"
)

// Option configures [Boxes] and a [Directory].
type Option func(*options)

type options struct {
	log *log.Logger
}

// WithLogger sets the logger.
func WithLogger(l *log.Logger) Option {
	return func(o *options) { o.log = l }
}

func newOptions(os []Option) options {
	o := options{log: log.Default()}
	for _, f := range os {
		f(&o)
	}
	return o
}

// Boxes implements [hollowgrade.Boxes].
type Boxes struct {
	options
	client client
	unused changes
}

// NewBoxes returns a client for the box list at the base URL. A nil transport stands for the
// default one.
func NewBoxes(base string, t http.RoundTripper, os ...Option) *Boxes {
	return &Boxes{options: newOptions(os), client: newClient(base, t)}
}

// List implements [hollowgrade.Boxes]. Others than the platform may write entries: one that cannot be used
// is left out and logged.
func (b *Boxes) List(ctx context.Context) (bs []hollowgrade.Box, err error) {
	var unused error
	decode := func(doc []byte) (err error) {
		bs, unused, err = decodeBoxes(doc)
		return err
	}
	if _, err = b.client.call(ctx, http.MethodGet, PathBoxes, nil, decode); err != nil {
		return nil, err
	}
	if b.unused.note(unused) && unused != nil {
		b.log.Error("boxes not used", "used", len(bs), "err", unused)
	}
	return bs, nil
}

// decodeBoxes decodes the list. If some entries cannot be used, unused says how many and why the first one
// cannot.
func decodeBoxes(doc []byte) (bs []hollowgrade.Box, unused, err error) {
	n := 0
	var first error
	err = jsonlist.Each(doc, func(e json.RawMessage) {
		b, err := decodeBox(e)
		if err == nil {
			bs = append(bs, b)
			return
		}
		if n++; first == nil {
			first = fmt.Errorf("entry %.64q: %w", e, err)
		}
	})
	if n > 0 {
		unused = fmt.Errorf("%w: %d, the first one: %w", hollowgrade.ErrUnusedEntries, n, first)
	}
	return bs, unused, err
}

func decodeBox(entry json.RawMessage) (b hollowgrade.Box, err error) {
	if err = json.Unmarshal(entry, &b); err != nil {
		return b, err
	}
	switch {
	case b.Name == "" || b.Role == "":
		return b, errors.New("it has no name or no role")
	case b.State != hollowgrade.BoxLive && b.State != hollowgrade.BoxLeaving:
		return b, fmt.Errorf("its state %.32q is unknown", b.State)
	case b.Peer != "" && !hollowgrade.IsAddress(b.Peer):
		return b, fmt.Errorf("%.64q is no address", b.Peer)
	case b.Operators != "" && !hollowgrade.IsAddress(b.Operators):
		return b, fmt.Errorf("%.64q is no address", b.Operators)
	case b.Peer == "" && b.Role == hollowgrade.AgentRole:
		return b, errors.New("it has no address for peers")
	default:
		return b, nil
	}
}

// changes remembers an error that is found again and again, so that it is logged once. It is safe for
// concurrent use.
type changes struct {
	mu   sync.Mutex
	last string
}

// note reports whether the error, or nil for none, differs from the last one.
func (c *changes) note(err error) bool {
	s := ""
	if err != nil {
		s = err.Error()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == c.last {
		return false
	}
	c.last = s
	return true
}
