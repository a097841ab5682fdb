package upstream_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/internal/standin"
	"github.com/hollowgrade/hollowgrade/upstream"
)

// framings are the ways in which the end of a body is told, but for the end of the connection.
func framings(body string) map[string]string {
	half := len(body) / 2
	return map[string]string{
		"with a length": fmt.Sprintf("HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		"in chunks": fmt.Sprintf("HTTP/1.1 200 OK\r\nA: b\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n",
			half, body[:half], len(body)-half, body[half:]),
	}
}

// requireWholeOnly checks that a call succeeds with a whole answer, and with none that ends early, by a close
// or a reset.
func requireWholeOnly(t *testing.T, r *standin.Raw, body string, call func(context.Context) error) {
	t.Helper()
	for name, answer := range framings(body) {
		for n := range len(answer) {
			r.Set(answer[:n], n%2 == 1)
			require.Error(t, call(t.Context()), "%s, %d of %d bytes taken for whole", name, n, len(answer))
		}
		r.Set(answer, false)
		require.NoError(t, call(t.Context()), name)
	}
}

// Guards against an answer of an engine or a service that ends early, in its head or its body, and is taken
// for whole.
func TestAnswerThatEndsEarlyIsNotWhole(t *testing.T) {
	r := standin.NewRaw()
	t.Cleanup(r.Close)
	e := upstream.NewEngine(r.URL(), upstream.Transport(nil))
	for name, k := range map[string]struct {
		body string
		call func(context.Context) error
	}{
		"load": {`{"running":1,"waiting":2}`, func(ctx context.Context) error {
			_, err := e.Load(ctx)
			return err
		}},
		"holdings": {`[{"id":"a","kind":"export","tokens":4}]`, func(ctx context.Context) error {
			_, err := e.Holdings(ctx)
			return err
		}},
		"export": {`{"handle":"h"}`, func(ctx context.Context) error {
			_, err := e.Export(ctx, "a")
			return err
		}},
		"an order": {`{}`, func(ctx context.Context) error { return e.Release(ctx, "a") }},
		"a service": {`receipt`, func(ctx context.Context) error {
			s, err := upstream.NewService(r.URL(), upstream.ServiceTransport(nil))
			require.NoError(t, err)
			q, err := http.NewRequestWithContext(ctx, http.MethodPost, "/x", strings.NewReader("body"))
			require.NoError(t, err)
			a, err := s.Do(q)
			if err != nil {
				return err
			}
			defer a.Body.Close()
			_, err = io.Copy(io.Discard, a.Body)
			return err
		}},
	} {
		t.Run(name, func(t *testing.T) { requireWholeOnly(t, r, k.body, k.call) })
	}
}

// Guards against a generation that ends early and is taken for whole, also without a length: its last event
// says that it is.
func TestGenerationThatEndsEarlyIsNotWhole(t *testing.T) {
	r := standin.NewRaw()
	t.Cleanup(r.Close)
	e := upstream.NewEngine(r.URL(), upstream.Transport(nil))
	generate := func() error {
		s, err := e.Generate(t.Context(), hollowgrade.Generation{ID: "a"})
		if err != nil {
			return err
		}
		defer s.Close()
		for {
			if _, err = s.Next(); errors.Is(err, io.EOF) {
				return nil
			}
			if err != nil {
				return err
			}
		}
	}
	const (
		head   = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
		events = `data: {"offset":0,"text":"hi"}` + "\n\n" + "data: " + upstream.Done
	)
	for n := range len(head + events) {
		r.Set((head + events)[:n], n%2 == 1)
		require.Error(t, generate(), "%d bytes taken for whole", n)
	}
	r.Set(head+events+"\n\n", false)
	require.NoError(t, generate())
}
