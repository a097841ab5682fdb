package standalone_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/internal/standin"
	"github.com/hollowgrade/hollowgrade/standalone"
)

// Guards against a platform that sends bytes without end, all of which an entry or an agent reads.
func TestAnswerWithoutEndIsReadToItsBoundOnly(t *testing.T) {
	const (
		maxHeadBytes  = 32 << 10
		maxReplyBytes = 64 << 20
		bufferBytes   = 64 << 10
	)
	for name, k := range map[string]struct {
		start, piece string
		bound        int
	}{
		"a field":         {"HTTP/1.1 200 OK\r\nA: ", "a", maxHeadBytes},
		"fields":          {"HTTP/1.1 200 OK\r\n", "A: a\r\n", maxHeadBytes},
		"a reply":         {"HTTP/1.1 200 OK\r\n\r\n", "a", maxReplyBytes},
		"a failed reply":  {"HTTP/1.1 500 x\r\n\r\n", "a", bufferBytes},
		"interim answers": {"", "HTTP/1.1 102 Processing\r\n\r\n", maxHeadBytes},
	} {
		t.Run(name, func(t *testing.T) {
			var read atomic.Int64
			piece := strings.Repeat(k.piece, bufferBytes/len(k.piece))
			dialDefault(t, standin.EndlessDial(k.start, piece, &read))
			_, err := standalone.NewBoxes("http://platform", nil).List(t.Context())
			require.Error(t, err)
			require.LessOrEqual(t, read.Load(), int64(k.bound+bufferBytes))
		})
	}
}

// dialDefault makes clients that a test creates open connections with d.
func dialDefault(t *testing.T, d func(ctx context.Context, network, address string) (net.Conn, error)) {
	t.Helper()
	f := http.DefaultTransport.(*http.Transport) // which clients copy
	before := f.DialContext
	f.DialContext = d
	t.Cleanup(func() { f.DialContext = before })
}
