package entry

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/config"
	"github.com/hollowgrade/hollowgrade/peer"
)

// The refusal of a body that did not come was not sent, since net/http waited for the rest of it.
func TestBodyThatDoesNotComeIsRefused(t *testing.T) {
	e := &Entry{limits: Limits{BodyTimeout: 300 * time.Millisecond, MaxBodyBytes: 1000}}
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := e.readBody(w, r); err != nil {
			e.refuse(w, "", err)
			return
		}
		time.Sleep(2 * e.limits.BodyTimeout)
		require.NoError(t, r.Context().Err())
	}))
	t.Cleanup(h.Close)
	for name, c := range map[string]struct {
		sent string
		want int
	}{
		"with a length":  {"Content-Length: 50\r\n\r\nabc", http.StatusRequestTimeout},
		"in chunks":      {"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", http.StatusRequestTimeout},
		"no body":        {"\r\n", http.StatusOK},
		"one that comes": {"Content-Length: 3\r\n\r\nabc", http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			k, err := net.Dial("tcp", h.Listener.Addr().String())
			require.NoError(t, err)
			t.Cleanup(func() { _ = k.Close() })
			fmt.Fprint(k, "POST / HTTP/1.1\r\nHost: h\r\n"+c.sent)
			require.NoError(t, k.SetReadDeadline(time.Now().Add(3*time.Second)))
			r, err := http.ReadResponse(bufio.NewReader(k), nil)
			require.NoError(t, err)
			require.NoError(t, r.Body.Close())
			require.Equal(t, c.want, r.StatusCode)
			require.Equal(t, c.want != http.StatusOK, r.Close)
		})
	}
}

// Guards against a refusal that is not sent since the body, which it does not need, does not come.
func TestRefusalBeforeTheBodyIsSentAtOnce(t *testing.T) {
	const bodyTimeout = 20 * time.Second
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := New(hollowgrade.Box{Name: "b"}, "i", l, func(context.Context) []hollowgrade.Box { return nil }, WithLimits(Limits{BodyTimeout: bodyTimeout, MaxBodyBytes: 1000}))
	e.SetConfig(&config.Config{Revision: 1})
	e.order = append(e.order, &link{conn: &peer.Conn{}}) // one that is not ready closes connections anyway
	h := httptest.NewServer(e.router())
	t.Cleanup(h.Close)
	for name, sent := range map[string]string{
		"with a length":   "Content-Length: 50\r\n\r\nabc",
		"a large one":     "Content-Length: 5000000\r\n\r\nabc",
		"in chunks":       "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"with a go-ahead": "Expect: 100-continue\r\nContent-Length: 50\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			k, err := net.Dial("tcp", h.Listener.Addr().String())
			require.NoError(t, err)
			t.Cleanup(func() { _ = k.Close() })
			fmt.Fprint(k, "POST /v1/completions HTTP/1.1\r\nHost: h\r\n"+sent)
			require.NoError(t, k.SetReadDeadline(time.Now().Add(5*time.Second)))
			r, err := http.ReadResponse(bufio.NewReader(k), nil)
			require.NoError(t, err)
			require.NoError(t, r.Body.Close())
			require.Equal(t, http.StatusUnauthorized, r.StatusCode)
			require.True(t, r.Close)
		})
	}
}
