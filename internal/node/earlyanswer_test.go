package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/platform/platformtest"
)

const (
	// uploadBytes is more than the kernel buffers of a connection at both ends.
	uploadBytes = 16 << 20
	// longPartBytes is more than a gateway buffers of a plain answer before it passes the answer on.
	longPartBytes = 300_000
	earlyPlays    = 10
)

const unframedHead = "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nResponse-Seal: s\r\n"

// newUploadFixture starts a gateway that takes long bodies, and workers that leave bodies to their behaviours.
func newUploadFixture(t *testing.T, bs ...platformtest.Behaviour) *fixture {
	t.Helper()
	s := newFixture(t)
	c := strings.Replace(gatewayConfig, `"maxBodyBytes":1000`, fmt.Sprintf(`"maxBodyBytes":%d`, uploadBytes), 1)
	s.store.Put("keyed.op", "config", fmt.Appendf(nil, c, 2, 5000, `"k1"`))
	s.addWorkers(t, bs...)
	for _, w := range s.workers {
		w.LeaveBodies()
	}
	s.gateway = startGateway(t, s.store.Address(), nil)
	s.gateway.waitReady(t)
	return s
}

// upload sends a request with a long body, calls begun once the first bytes of the answer's body have come,
// and reads the rest.
func (g *gateway) upload(path, id string, begun func()) (status int, body string, err error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+g.callersAddress+path, strings.NewReader(strings.Repeat("a", uploadBytes)))
	if err != nil {
		return 0, "", err
	}
	r.Host = "h"
	r.Header = http.Header{"Attempt-Id": {id}, "Deadline-Ms": {"4000"}, "Authorization": {"Bearer k1"}}
	res, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		begun()
		return 0, "", err
	}
	defer res.Body.Close()
	in := bufio.NewReader(res.Body)
	_, _ = in.Peek(1) // what follows tells how the answer ended
	begun()
	b, err := io.ReadAll(in)
	return res.StatusCode, string(b), err
}

// partThenReset sends a part of an answer, and resets the connection once the caller has some of it, while the
// upload is being written.
func partThenReset(part string, begun <-chan struct{}) platformtest.Behaviour {
	return func(w *platformtest.Worker, c net.Conn, r *http.Request) {
		platformtest.Raw(part)(w, c, r)
		<-begun // closing with bytes of the upload unread resets
	}
}

// Guards against a part of an answer that its caller gets as the whole, since the worker reset the connection
// while the upload was being written.
func TestAnswerThatIsResetDuringTheUploadIsBrokenOff(t *testing.T) {
	const streamHead = unframedHead + "Content-Type: text/event-stream\r\n\r\n"
	long := strings.Repeat("0123456789", longPartBytes/10)
	for name, k := range map[string]struct{ path, answer, part string }{
		"a plain answer": {"/once/x", unframedHead + "\r\n" + long, long},
		"a stream":       {"/stream/x", streamHead + stream(2), stream(2)},
	} {
		t.Run(name, func(t *testing.T) {
			begun := make(chan struct{}, earlyPlays)
			s := newUploadFixture(t, partThenReset(k.answer, begun))
			for i := range earlyPlays {
				_, b, err := s.gateway.upload(k.path, fmt.Sprint("u", i), func() { begun <- struct{}{} })
				require.Error(t, err, "%d bytes passed on as the whole", len(b))
				require.True(t, strings.HasPrefix(k.part, b))
			}
		})
	}
	t.Run("a stream goes on at another upstream", func(t *testing.T) {
		begun := make(chan struct{}, 1)
		cut := partThenReset(streamHead+stream(2), begun)
		b := func(w *platformtest.Worker, c net.Conn, r *http.Request) {
			if r.Header.Get("Last-Event-Id") == "" {
				cut(w, c, r)
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			platformtest.Stream(eventCount, 0)(w, c, r)
		}
		s := newUploadFixture(t, b, b)
		st, got, err := s.gateway.upload("/stream/x", "u", func() { begun <- struct{}{} })
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, st)
		require.Equal(t, stream(eventCount), got)
	})
}

// Guards against a whole answer that is lost since it came before the end of the upload.
func TestEarlyAnswerThatIsWholeReachesTheCaller(t *testing.T) {
	s := newUploadFixture(t, func(w *platformtest.Worker, c net.Conn, r *http.Request) {
		platformtest.Raw(unframedHead+"\r\nhello")(w, c, r)
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, r.Body)
	})
	for i := range earlyPlays {
		st, b, err := s.gateway.upload("/once/x", fmt.Sprint("u", i), func() {})
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, st)
		require.Equal(t, "hello", b)
	}
}
