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

// startUpload calls a service with a long body.
func startUpload(t *testing.T, base string, d upstream.DialFunc) (*http.Response, error) {
	t.Helper()
	s, err := upstream.NewService(base, upstream.ServiceTransport(d))
	require.NoError(t, err)
	q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "/x", strings.NewReader(strings.Repeat("a", uploadBytes)))
	require.NoError(t, err)
	return s.Do(q)
}

// upload calls a service with a long body and returns the body of the answer.
func upload(t *testing.T, base string, d upstream.DialFunc) (body string, err error) {
	t.Helper()
	a, err := startUpload(t, base, d)
	if err != nil {
		return "", err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return string(b), err
}

// serveEarly starts a service that answers each request before it has read the body, ends its side of the
// connection, and closes once then has returned.
func serveEarly(t *testing.T, then func(q *http.Request)) (base string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if q, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, unframedHead+"hello")
				_ = c.(*net.TCPConn).CloseWrite()
				then(q)
			}
			_ = c.Close()
		}
	}()
	return "http://" + l.Addr().String()
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

// Guards against a part of an answer that is taken for whole since the service closed the connection before it
// had read the call, and reset it when the rest arrived: reads get the end of the connection only.
func TestAnswerThatEndsBeforeTheCallIsReadIsNotWhole(t *testing.T) {
	read := make(chan struct{}, 1)
	a, err := startUpload(t, serveEarly(t, func(*http.Request) { <-read }), nil)
	if err != nil {
		close(read)
	}
	require.NoError(t, err)
	defer a.Body.Close()
	_, err = io.ReadFull(a.Body, make([]byte, len("hello")))
	close(read) // so that the service closes with bytes unread, which resets
	require.NoError(t, err)
	_, err = io.ReadAll(a.Body)
	require.Error(t, err)
}

// Guards against a whole answer that is lost since it came before the end of the upload.
func TestEarlyAnswerThatIsWholeIsPassedOn(t *testing.T) {
	const plays = 20
	base := serveEarly(t, func(q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body) // ends when the client closes
	})
	for range plays {
		b, err := upload(t, base, nil)
		require.NoError(t, err)
		require.Equal(t, "hello", b)
	}
}
