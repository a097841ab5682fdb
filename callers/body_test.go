package callers

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
)

// A planned stop waited to the end of its time for a body that did not come, and ended with an error.
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
