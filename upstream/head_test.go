package upstream

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against upstreams that fill the memory of an agent with the head of an answer.
func TestLargeHeadOfAnAnswerIsNotReadOn(t *testing.T) {
	for name, c := range map[string]struct {
		bytes int
		want  bool
	}{
		"within the limit": {maxHeadBytes / 2, true},
		"beyond it":        {4 * maxHeadBytes, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("X-Long", strings.Repeat("y", c.bytes))
				_, _ = w.Write([]byte(`[]`))
			}))
			t.Cleanup(s.Close)
			_, err := NewEngine(s.URL, Transport(nil)).Holdings(context.Background())
			require.Equal(t, c.want, err == nil, err)
		})
	}
}
