package core

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hollowgrade/hollowgrade"
)

// discardLogger returns a logger that discards its output.
func discardLogger() *log.Logger {
	return log.New(io.Discard)
}

// reply answers one call that is sent to a fake upstream.
type reply func(ctx context.Context, s hollowgrade.Sending) (hollowgrade.Exchange, error)

// fakeUpstreams implements [hollowgrade.Exchanger]. It uses its replies in order and repeats the
// last one.
type fakeUpstreams struct {
	mu          sync.Mutex
	replies     []reply
	sent        []hollowgrade.Sending
	memory      map[string]map[string]int // reserved tokens, by upstream and id
	full        map[string]bool           // upstreams without free memory
	memoryCalls int                       // calls of Reserve and Release
}

// Reserve implements [hollowgrade.Reserver].
func (f *fakeUpstreams) Reserve(_ context.Context, u hollowgrade.Upstream, id string, tokens int, _ time.Duration) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.memoryCalls++
	if f.full[u.ID] {
		return hollowgrade.ErrNoMemory
	}
	if f.memory == nil {
		f.memory = map[string]map[string]int{}
	}
	if f.memory[u.ID] == nil {
		f.memory[u.ID] = map[string]int{}
	}
	f.memory[u.ID][id] = tokens
	return nil
}

// Release implements [hollowgrade.Reserver].
func (f *fakeUpstreams) Release(_ context.Context, u hollowgrade.Upstream, id string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.memoryCalls++
	delete(f.memory[u.ID], id)
	return nil
}

// reservedTokens returns the sum of the tokens reserved at all upstreams.
func (f *fakeUpstreams) reservedTokens() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.memory {
		for _, t := range m {
			n += t
		}
	}
	return n
}

func (f *fakeUpstreams) Open(ctx context.Context, s hollowgrade.Sending) (hollowgrade.Exchange, error) {
	f.mu.Lock()
	f.sent = append(f.sent, s)
	r := f.replies[min(len(f.sent), len(f.replies))-1]
	f.mu.Unlock()
	return r(ctx, s)
}

func (f *fakeUpstreams) sentCalls() []hollowgrade.Sending {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]hollowgrade.Sending(nil), f.sent...)
}

// fakeExchange returns its parts and then an error.
type fakeExchange struct {
	ctx   context.Context
	head  hollowgrade.Head
	parts []hollowgrade.Part
	end   error // io.EOF for a complete answer; errSilent blocks until ctx ends
}

var (
	errSilent = errors.New("silent")
	errBroken = errors.New("connection reset")
)

func (x *fakeExchange) Head() hollowgrade.Head {
	return x.head
}

func (x *fakeExchange) Next() (p hollowgrade.Part, err error) {
	if len(x.parts) > 0 {
		p, x.parts = x.parts[0], x.parts[1:]
		return p, nil
	}
	if errors.Is(x.end, errSilent) {
		<-x.ctx.Done()
		return p, x.ctx.Err()
	}
	return p, x.end
}

func (x *fakeExchange) Close() error {
	return nil
}

func status(code int, body string) reply {
	return func(ctx context.Context, s hollowgrade.Sending) (hollowgrade.Exchange, error) {
		return &fakeExchange{
			ctx:   ctx,
			head:  hollowgrade.Head{Status: code, Header: http.Header{"From": {s.Upstream.ID}}, Signed: true},
			parts: []hollowgrade.Part{{Data: []byte(body)}},
			end:   io.EOF,
		}, nil
	}
}

func shed(ctx context.Context, _ hollowgrade.Sending) (hollowgrade.Exchange, error) {
	return &fakeExchange{ctx: ctx, head: hollowgrade.Head{Status: 503, NotRun: true}, end: io.EOF}, nil
}

func unreachable(context.Context, hollowgrade.Sending) (hollowgrade.Exchange, error) {
	return nil, fmt.Errorf("%w: refused", hollowgrade.ErrNotSent)
}

func broken(context.Context, hollowgrade.Sending) (hollowgrade.Exchange, error) {
	return nil, errBroken
}

func unresponsive(ctx context.Context, _ hollowgrade.Sending) (hollowgrade.Exchange, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// events replies with the events from through to, then ends with err. An upstream that resumes a
// stream omits the events that the caller has.
func events(from, to int, err error) reply {
	return func(ctx context.Context, s hollowgrade.Sending) (hollowgrade.Exchange, error) {
		x := &fakeExchange{ctx: ctx, head: hollowgrade.Head{Status: 200, Header: http.Header{"From": {s.Upstream.ID}}, Signed: true, Stream: true}, end: err}
		for i := from; i <= to; i++ {
			x.parts = append(x.parts, hollowgrade.Part{Data: []byte(fmt.Sprintf("%d,", i)), Event: fmt.Sprint(i)})
		}
		return x, nil
	}
}

// endlessExchange sends an event each 100 ms until its caller leaves.
type endlessExchange struct {
	fakeExchange
	sent int
}

func (x *endlessExchange) Next() (p hollowgrade.Part, err error) {
	select {
	case <-x.ctx.Done():
		return p, x.ctx.Err()
	case <-time.After(100 * time.Millisecond):
	}
	x.sent++
	return hollowgrade.Part{Data: []byte("e"), Event: fmt.Sprint(x.sent)}, nil
}

// endless replies with a stream that doesn't end.
func endless(ctx context.Context, s hollowgrade.Sending) (hollowgrade.Exchange, error) {
	head := hollowgrade.Head{Status: 200, Header: http.Header{"From": {s.Upstream.ID}}, Signed: true, Stream: true}
	return &endlessExchange{fakeExchange: fakeExchange{ctx: ctx, head: head}}, nil
}

// fakeSink implements [hollowgrade.Sink].
type fakeSink struct {
	head *hollowgrade.Head
	body strings.Builder
	gone bool
}

func (s *fakeSink) Head(h hollowgrade.Head) error {
	if s.gone {
		return io.ErrClosedPipe
	}
	s.head = &h
	return nil
}

func (s *fakeSink) Part(b []byte) error {
	if s.gone {
		return io.ErrClosedPipe
	}
	s.body.Write(b)
	return nil
}
