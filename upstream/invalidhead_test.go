package upstream_test

import (
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

// requireNoAnswer checks that neither a service's nor an engine's client takes an answer for one after it was
// changed.
func requireNoAnswer(t *testing.T, change func(answer string) string) {
	t.Helper()
	r := standin.NewRaw()
	t.Cleanup(r.Close)
	e := upstream.NewEngine(r.URL(), upstream.Transport(nil))
	s, err := upstream.NewService(r.URL(), upstream.ServiceTransport(nil))
	require.NoError(t, err)
	for name, k := range map[string]struct {
		body string
		call func() error
	}{
		"a service": {"receipt", func() error {
			q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "/x", strings.NewReader("body"))
			require.NoError(t, err)
			a, err := s.Do(q)
			if err != nil {
				return err
			}
			defer a.Body.Close()
			_, err = io.Copy(io.Discard, a.Body)
			return err
		}},
		"an engine": {`{"handle":"h"}`, func() error {
			_, err := e.Export(t.Context(), "a")
			return err
		}},
		"events of an engine": {"data: " + upstream.Done + "\n\n", func() error {
			g, err := e.Generate(t.Context(), hollowgrade.Generation{ID: "a"})
			if err != nil {
				return err
			}
			return g.Close()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: %d\r\n\r\n%s", len(k.body), k.body)
			r.Set(answer, false)
			require.NoError(t, k.call())
			r.Set(change(answer), false)
			require.Error(t, k.call())
		})
	}
}

// Guards against a status that is none and that an entry could not send.
func TestAnswerWithAnInvalidStatusIsNone(t *testing.T) {
	for _, s := range standin.InvalidStatuses() {
		t.Run(s, func(t *testing.T) {
			requireNoAnswer(t, func(answer string) string { return standin.WithStatus(answer, s) })
		})
	}
}

// Guards against a field whose name is none.
func TestAnswerWithAnInvalidFieldIsNone(t *testing.T) {
	for _, l := range standin.InvalidFields() {
		t.Run(l, func(t *testing.T) {
			requireNoAnswer(t, func(answer string) string { return standin.WithField(answer, l) })
		})
	}
}
