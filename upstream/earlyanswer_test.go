package upstream_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/internal/standin"
	"github.com/hollowgrade/hollowgrade/upstream"
)

// uploadBytes is more than the kernel buffers of a connection at both ends.
const uploadBytes = 16 << 20

const unframedHead = "HTTP/1.1 200 OK\r\nA: b\r\n\r\n"

// upload calls a service with a long body and returns the body of the answer.
func upload(t *testing.T, base string, d upstream.DialFunc) (body string, err error) {
	t.Helper()
	s, err := upstream.NewService(base, upstream.ServiceTransport(d))
	require.NoError(t, err)
	q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "/x", strings.NewReader(strings.Repeat("a", uploadBytes)))
	require.NoError(t, err)
	a, err := s.Do(q)
	if err != nil {
		return "", err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return string(b), err
}

// Guards against a part of an answer that is taken for whole since the upstream reset the connection while the
// call was being written: the write got the reset, and the read after it the end of the connection.
func TestAnswerThatIsResetDuringTheUploadIsNotWhole(t *testing.T) {
	t.Run("of a service", func(t *testing.T) {
		for _, part := range []string{"", "hello"} {
			b, err := upload(t, "http://service", standin.ResetDial(unframedHead+part))
			require.Error(t, err, "%q taken for whole", b)
		}
	})
	t.Run("of an engine", func(t *testing.T) {
		e := upstream.NewEngine("http://engine", upstream.Transport(standin.ResetDial(unframedHead+`{"handle":"h"}`)))
		_, err := e.Export(t.Context(), strings.Repeat("a", uploadBytes))
		require.Error(t, err)
	})
	t.Run("of an engine, events", func(t *testing.T) {
		e := upstream.NewEngine("http://engine", upstream.Transport(standin.ResetDial(unframedHead+"data: "+`{"offset":0,"text":"hi"}`+"\n\n")))
		s, err := e.Generate(t.Context(), hollowgrade.Generation{ID: "a", Prompt: strings.Repeat("a", uploadBytes)})
		require.NoError(t, err)
		defer s.Close()
		_, err = s.Next()
		require.NoError(t, err)
		_, err = s.Next()
		require.Error(t, err)
		require.NotErrorIs(t, err, io.EOF)
	})
}

// Guards against a whole answer that is lost since it came before the end of the upload.
func TestEarlyAnswerThatIsWholeIsPassedOn(t *testing.T) {
	const plays = 20
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			q, err := http.ReadRequest(bufio.NewReader(c))
			if err == nil {
				_, _ = io.WriteString(c, unframedHead+"hello")
				_ = c.(*net.TCPConn).CloseWrite()
				_, _ = io.Copy(io.Discard, q.Body) // ends when the client closes
			}
			_ = c.Close()
		}
	}()
	for range plays {
		b, err := upload(t, "http://"+l.Addr().String(), nil)
		require.NoError(t, err)
		require.Equal(t, "hello", b)
	}
}
