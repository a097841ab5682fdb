package upstream_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/internal/standin"
	"github.com/hollowgrade/hollowgrade/upstream"
)

// The bounds of docs/design/received-bytes.md, and what a buffer may take beyond them.
const (
	maxHeadBytes  = 32 << 10
	maxEventBytes = 1 << 20
	maxReplyBytes = 16 << 20
	bufferBytes   = 64 << 10
)

// Guards against a service or an engine that sends bytes without end, all of which an agent reads.
func TestAnswerWithoutEndIsReadToItsBoundOnly(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	service := func(d upstream.DialFunc) error {
		s, err := upstream.NewService("http://service", upstream.ServiceTransport(d))
		require.NoError(t, err)
		q, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "/x", http.NoBody)
		require.NoError(t, err)
		a, err := s.Do(q)
		if err != nil {
			return err
		}
		return a.Body.Close()
	}
	export := func(d upstream.DialFunc) error {
		_, err := upstream.NewEngine("http://engine", upstream.Transport(d)).Export(t.Context(), "a")
		return err
	}
	generate := func(d upstream.DialFunc) error {
		s, err := upstream.NewEngine("http://engine", upstream.Transport(d)).Generate(t.Context(), hollowgrade.Generation{ID: "a"})
		if err != nil {
			return err
		}
		defer s.Close()
		_, err = s.Next()
		return err
	}
	for name, k := range map[string]struct {
		start, piece string
		call         func(upstream.DialFunc) error
		bound        int
	}{
		"a field of a service":        {ok + "A: ", "a", service, maxHeadBytes},
		"fields of a service":         {ok, "A: a\r\n", service, maxHeadBytes},
		"interim answers":             {"", "HTTP/1.1 102 Processing\r\n\r\n", service, maxHeadBytes},
		"a status line of an engine":  {"HTTP/1.1 200 ", "a", export, maxHeadBytes},
		"a reply of an engine":        {ok + "\r\n", "a", export, maxReplyBytes},
		"a failed reply of an engine": {"HTTP/1.1 500 x\r\n\r\n", "a", export, bufferBytes},
		"an event of an engine":       {ok + "\r\ndata: ", "a", generate, maxEventBytes},
	} {
		t.Run(name, func(t *testing.T) {
			var read atomic.Int64
			piece := strings.Repeat(k.piece, bufferBytes/len(k.piece))
			require.Error(t, k.call(standin.EndlessDial(k.start, piece, &read)))
			require.LessOrEqual(t, read.Load(), int64(k.bound+bufferBytes))
		})
	}
}
