package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/platform/platformtest"
	"github.com/hollowgrade/hollowgrade/setting"
)

// keptConn is a caller's connection that is kept between requests.
type keptConn struct {
	net.Conn
	in *bufio.Reader
}

// dialKept opens a connection to a gateway.
func dialKept(t *testing.T, g *gateway) *keptConn {
	t.Helper()
	c, err := net.Dial("tcp", g.callersAddress)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return &keptConn{Conn: c, in: bufio.NewReader(c)}
}

// send sends a request that waits for the given time.
func (c *keptConn) send(id string, patience time.Duration) {
	fmt.Fprintf(c, "POST /once/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer k1\r\nContent-Length: 5\r\n\r\nhello", id, patience.Milliseconds())
}

// receive returns the answer to a request, or an error if the connection ends without one.
func (c *keptConn) receive() (*http.Response, error) {
	r, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r, err
}

func TestRequestTakenLateInAPlannedStopIsNotCut(t *testing.T) {
	const grace = 4 * time.Second
	// stopBeside stops a gateway while a request is open. Once new connections are refused it sends another
	// one on the same connection, lets the first one be answered, and returns the answer to the other.
	stopBeside := func(t *testing.T, id string, patience time.Duration) (s *fixture, next *http.Response) {
		t.Helper()
		s = newFixture(t)
		answer := make(chan struct{})
		w := platformtest.NewWorker("i-0", func(w *platformtest.Worker, c net.Conn, r *http.Request) {
			if r.Header.Get("Attempt-Id") == "late" {
				platformtest.Hang(w, c, r)
				return
			}
			<-answer
			platformtest.Echo(w, c, r)
		})
		t.Cleanup(w.Close)
		s.workers = append(s.workers, w)
		s.store.PutJSON("keyed.servers", w.ID, w.Record("s", "ready"))
		g := startGatewayToStop(t, s.store.Address(), func(c *setting.Gateway) { c.Grace, c.Linger = grace, 100*time.Millisecond })
		g.waitReady(t)
		c := dialKept(t, g)
		c.send("open", grace)
		require.Eventually(t, func() bool { return len(w.Requests()) > 0 }, 20*time.Second, time.Millisecond)
		stopped := make(chan error, 1)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), g.Grace())
			defer cancel()
			stopped <- g.Stop(ctx)
		}()
		require.Eventually(t, func() bool {
			n, err := net.Dial("tcp", g.callersAddress)
			if err == nil {
				_ = n.Close()
			}
			return err != nil
		}, grace, time.Millisecond)
		c.send(id, patience)
		close(answer)
		r, err := c.receive()
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, r.StatusCode)
		require.False(t, r.Close, "it began before the stop")
		next, err = c.receive()
		require.NoError(t, err)
		require.True(t, next.Close)
		require.NoError(t, <-stopped)
		return s, next
	}
	t.Run("one that may outlast the stop is refused", func(t *testing.T) {
		s, r := stopBeside(t, "late", time.Minute)
		require.Equal(t, http.StatusServiceUnavailable, r.StatusCode)
		after, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.Less(t, after, 1.0, "other gateways take it now")
		require.Len(t, s.workers[0].Requests(), 1)
	})
	t.Run("one that ends before the stop does is answered", func(t *testing.T) {
		_, r := stopBeside(t, "short", time.Second)
		require.Equal(t, http.StatusOK, r.StatusCode)
	})
}

func TestRefusalOfARequestThatBeganBeforeAPlannedStopClosesItsConnection(t *testing.T) {
	const grace = 3 * time.Second
	s := newFixture(t, platformtest.Echo)
	g := startGatewayToStop(t, s.store.Address(), func(c *setting.Gateway) { c.Grace, c.Linger = grace, 100*time.Millisecond })
	g.waitReady(t)
	c := dialKept(t, g)
	fmt.Fprint(c, "POST /once/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer k1\r\nContent-Length: 5\r\n\r\n")
	require.Eventually(t, func() bool { return g.callers.Active() > 0 }, grace, time.Millisecond)
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), g.Grace())
		defer cancel()
		stopped <- g.Stop(ctx)
	}()
	require.Eventually(t, func() bool {
		p, stopping := g.plannedStop()
		return stopping && !p.Accepting
	}, grace, time.Millisecond)
	fmt.Fprint(c, "hello")
	r, err := c.receive()
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, r.StatusCode)
	require.True(t, r.Close)
	require.Empty(t, r.Header.Get("Keep-Alive"))
	require.NoError(t, <-stopped)
}

// Guards against requests that may not run twice and that a planned stop, in calm, takes late in its grace, passes
// on and cuts: connections become free at all moments of the stop, and each sends its next request at once.
func TestRequestsThatComeThroughoutAPlannedStopAreNotCut(t *testing.T) {
	const (
		grace    = 4 * time.Second
		callers  = 36
		work     = 500 * time.Millisecond // of the requests that come late
		patience = work + time.Second
		interval = 100 * time.Millisecond // between the ends of the first ones
	)
	s := newFixture(t)
	w := platformtest.NewWorker("i-0", func(w *platformtest.Worker, c net.Conn, r *http.Request) {
		d, err := time.ParseDuration(r.Header.Get("Work"))
		if err != nil {
			return
		}
		time.Sleep(d)
		platformtest.Echo(w, c, r)
	})
	t.Cleanup(w.Close)
	record := w.Record("s", "ready")
	record["slots"] = 2 * callers
	s.store.PutJSON("keyed.servers", w.ID, record)
	g := startGatewayToStop(t, s.store.Address(), func(c *setting.Gateway) { c.Grace, c.Linger = grace, 100*time.Millisecond })
	g.waitReady(t)
	send := func(c *keptConn, id string, d, patience time.Duration) {
		fmt.Fprintf(c, "POST /once/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\nWork: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer k1\r\nContent-Length: 5\r\n\r\nhello", id, d, patience.Milliseconds())
	}
	var group sync.WaitGroup
	statuses := make([]int, callers) // of the answers to the late requests, 0 for none
	for i := range callers {
		c := dialKept(t, g)
		first := time.Duration(i) * interval
		send(c, fmt.Sprint("first", i), first, 2*grace)
		group.Go(func() {
			if r, err := c.receive(); err != nil || r.Close {
				return // the last ones begin or end with the stop
			}
			send(c, fmt.Sprint("late", i), work, []time.Duration{patience, time.Minute}[i%2])
			if r, err := c.receive(); err == nil {
				statuses[i] = r.StatusCode
			}
		})
	}
	require.Eventually(t, func() bool { return len(w.Requests()) >= callers }, 10*time.Second, time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), g.Grace())
	defer cancel()
	require.NoError(t, g.Stop(ctx))
	group.Wait()
	late := 0
	for _, r := range w.Requests() {
		var i int
		if _, err := fmt.Sscanf(r.Header.Get("Attempt-Id"), "late%d", &i); err == nil {
			late++
			require.Equal(t, http.StatusOK, statuses[i], "request %d was passed on and cut", i)
		}
	}
	require.Positive(t, late)
}
