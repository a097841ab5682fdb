package callers

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
)

// Guards against a planned stop that waits to its end for a body that does not come, and fails.
func TestPlannedStopEndsBodiesThatDoNotCome(t *testing.T) {
	for name, body := range map[string]string{
		"with a length": "Content-Length: 50\r\n\r\nabc",
		"a large one":   "Content-Length: 5000000\r\n\r\nabc",
		"in chunks":     "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
	} {
		for when, h := range map[string]http.HandlerFunc{
			"read by the handler": func(w http.ResponseWriter, r *http.Request) {
				_, err := io.ReadAll(r.Body)
				require.Error(t, err)
				require.ErrorIs(t, context.Cause(r.Context()), hollowgrade.ErrStopping)
				http.Error(w, "no body", http.StatusRequestTimeout)
			},
			"discarded after the answer": func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Connection", "close")
				http.Error(w, "not read", http.StatusBadRequest)
			},
			"with a deadline that is set late": func(w http.ResponseWriter, r *http.Request) {
				<-r.Context().Done()
				require.NoError(t, http.NewResponseController(w).SetReadDeadline(time.Now().Add(time.Hour)))
				_, err := io.ReadAll(r.Body)
				require.Error(t, err)
				http.Error(w, "no body", http.StatusRequestTimeout)
			},
		} {
			t.Run(name+", "+when, func(t *testing.T) {
				t.Parallel()
				s, a := start(t, h)
				c, in := dial(t, a)
				fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: h\r\n"+body)
				require.Eventually(t, func() bool { return s.Connections() == 1 }, 10*time.Second, time.Millisecond)
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				require.NoError(t, s.Stop(ctx))
				r, err := http.ReadResponse(in, nil)
				require.NoError(t, err)
				require.True(t, r.Close)
				require.GreaterOrEqual(t, r.StatusCode, 400)
			})
		}
	}
}

// Calls whose bodies have come are ended by their contexts, with time to answer.
func TestPlannedStopDoesNotCutAnswersOfCallsWhoseBodiesHaveCome(t *testing.T) {
	entered := make(chan struct{})
	s, a := start(t, func(w http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		require.NoError(t, err)
		close(entered)
		<-r.Context().Done()
		require.True(t, errors.Is(context.Cause(r.Context()), hollowgrade.ErrStopping))
		time.Sleep(50 * time.Millisecond)
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	})
	c, in := dial(t, a)
	fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
	<-entered
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	require.NoError(t, s.Stop(ctx))
	r, err := http.ReadResponse(in, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, r.StatusCode)
	b, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	require.Equal(t, "stopping\n", string(b))
}

// Guards against refusals of bodies that have arrived and that a process which was not scheduled has not
// read when their time is over.
func TestBodyThatHasArrivedIsReadAfterItsDeadline(t *testing.T) {
	const (
		size     = 100_000 // more than net/http reads with the head
		deadline = 50 * time.Millisecond
		maxLate  = 500 * time.Millisecond
	)
	type result struct {
		n    int
		err  error
		late time.Duration
	}
	// readLate reads a body with a deadline, beginning some time after that has passed.
	readLate := func(t *testing.T, send func(c net.Conn)) result {
		t.Helper()
		results := make(chan result, 1)
		_, a := start(t, func(w http.ResponseWriter, r *http.Request) {
			by := time.Now().Add(deadline)
			_ = http.NewResponseController(w).SetReadDeadline(by)
			time.Sleep(2 * deadline)
			n, err := io.Copy(io.Discard, r.Body)
			results <- result{int(n), err, time.Since(by)}
		})
		c, _ := dial(t, a)
		fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)
		go send(c)
		return <-results
	}
	t.Run("whole", func(t *testing.T) {
		r := readLate(t, func(c net.Conn) { _, _ = c.Write(make([]byte, size)) })
		require.NoError(t, r.err)
		require.Equal(t, size, r.n)
	})
	t.Run("but not waited for", func(t *testing.T) {
		r := readLate(t, func(net.Conn) {})
		require.ErrorIs(t, r.err, os.ErrDeadlineExceeded)
		require.Less(t, r.late, maxLate)
	})
	t.Run("nor for ever if it comes byte by byte", func(t *testing.T) {
		r := readLate(t, func(c net.Conn) {
			for _, err := c.Write([]byte("x")); err == nil; _, err = c.Write([]byte("x")) {
				time.Sleep(lastReadTime / 4)
			}
		})
		require.ErrorIs(t, r.err, os.ErrDeadlineExceeded)
		require.Less(t, r.late, maxLate)
	})
}
