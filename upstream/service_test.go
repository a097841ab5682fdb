package upstream

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a second run of a call whose connection ends before its answer: net/http sends calls
// with an idempotency key, and those without a body, again where the connection was used before.
func TestCallsThatAServiceMayHaveRunAreNotSentAgain(t *testing.T) {
	for name, k := range map[string]struct {
		method string
		body   string
		header http.Header
	}{
		"with a key":     {http.MethodPost, "receipt", http.Header{"Idempotency-Key": {"k1"}}},
		"without a body": {http.MethodGet, "", http.Header{}},
	} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			h := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/run" {
					runs.Add(1)
					panic(http.ErrAbortHandler) // closes the connection without an answer
				}
			}))
			t.Cleanup(h.Close)
			s, err := NewService(h.URL, ServiceTransport(nil))
			require.NoError(t, err)
			do := func(path string) error {
				r, err := http.NewRequestWithContext(t.Context(), k.method, path, strings.NewReader(k.body))
				require.NoError(t, err)
				r.Header = k.header
				res, err := s.Do(r)
				if err != nil {
					return err
				}
				return res.Body.Close()
			}
			require.NoError(t, do("/before"))
			require.Error(t, do("/run"))
			require.EqualValues(t, 1, runs.Load())
		})
	}
}
