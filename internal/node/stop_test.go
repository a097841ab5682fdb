package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/callers"
	"github.com/hollowgrade/hollowgrade/platform/platformtest"
	"github.com/hollowgrade/hollowgrade/setting"
)

// Guards against calls whose connections are closed without an answer when a gateway is stopped. A
// stopping gateway still takes callers for one second; a call of that time whose upstream didn't
// answer had a deadline 0.35 s after the end of the stop, got no signal that it was given up, and was
// logged as caller_gone although its caller still waited.
func TestCallsThatAreOpenAtTheEndOfAStopAreAnswered(t *testing.T) {
	const drain = time.Second
	type answer struct {
		status int
		body   string
		err    error
		at     time.Time
	}
	// stopWith stops a gateway with one open call, and returns the call's answer and when the stop
	// began.
	stopWith := func(t *testing.T, path string, b platformtest.Behaviour) (a answer, begun time.Time) {
		t.Helper()
		s := newFixture(t)
		w := platformtest.NewWorker("i-0", b)
		t.Cleanup(w.Close)
		s.store.PutJSON("keyed.servers", w.ID, w.Record("s", "ready"))
		g := startGatewayToStop(t, s.store.Address(), nil)
		g.waitReady(t)
		as := make(chan answer, 1)
		go func() {
			st, body, err := g.post(path, "open", "k1", "hello")
			as <- answer{st, body, err, time.Now()}
		}()
		require.Eventually(t, func() bool { return len(w.Requests()) > 0 }, 20*time.Second, time.Millisecond)
		begun = time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), drain)
		defer cancel()
		require.NoError(t, g.Stop(ctx))
		return <-as, begun
	}
	t.Run("one that its upstream does not answer", func(t *testing.T) {
		a, begun := stopWith(t, "/once/x", platformtest.Hang)
		require.NoError(t, a.err)
		require.Equal(t, http.StatusBadGateway, a.status, "it may have run")
		require.Contains(t, a.body, "HG2005")
		require.Less(t, a.at.Sub(begun), drain)
	})
	t.Run("one that is answered meanwhile", func(t *testing.T) {
		a, _ := stopWith(t, "/once/x", func(w *platformtest.Worker, c net.Conn, r *http.Request) {
			time.Sleep(drain / 2)
			platformtest.Echo(w, c, r)
		})
		require.NoError(t, a.err)
		require.Equal(t, http.StatusOK, a.status)
	})
}

// A planned stop ended with an error while a caller had not sent its body.
func TestPlannedStopEndsCallsWhoseBodyHasNotCome(t *testing.T) {
	const drain = 3 * time.Second
	for name, length := range map[string]int{"a short body": 50, "a long body": 1 << 20} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t)
			w := platformtest.NewWorker("i-0", platformtest.Echo)
			t.Cleanup(w.Close)
			s.store.PutJSON("keyed.servers", w.ID, w.Record("s", "ready"))
			g, err := setUpGateway(t, s.store.Address(), nil)
			require.NoError(t, err)
			require.NoError(t, g.Start(context.Background()))
			g.waitReady(t)
			c, err := net.Dial("tcp", g.callersAddress)
			require.NoError(t, err)
			t.Cleanup(func() { _ = c.Close() })
			fmt.Fprintf(c, "POST /once/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: open\r\nDeadline-Ms: 60000\r\nAuthorization: Bearer k1\r\nContent-Length: %d\r\n\r\nhel", length)
			require.Eventually(t, func() bool { return g.callers.Active() == 1 }, 10*time.Second, time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), drain)
			defer cancel()
			require.NoError(t, g.Stop(ctx))
			r, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			b, err := io.ReadAll(r.Body)
			require.NoError(t, err)
			require.Equal(t, http.StatusRequestTimeout, r.StatusCode)
			require.True(t, r.Close)
			require.Contains(t, string(b), "HG1010")
			require.Empty(t, w.Requests())
		})
	}
}

func TestOperatorsConnectionDoesNotDelayAPlannedStop(t *testing.T) {
	s := newFixture(t)
	w := platformtest.NewWorker("i-0", platformtest.Echo)
	t.Cleanup(w.Close)
	s.store.PutJSON("keyed.servers", w.ID, w.Record("s", "ready"))
	g := startGatewayToStop(t, s.store.Address(), nil)
	g.waitReady(t)
	c, err := net.Dial("tcp", g.Operators) // sends nothing, which net/http waits for
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	begun := time.Now()
	stopped := make(chan error, 1)
	go func() { stopped <- g.Stop(ctx) }()
	require.Eventually(t, func() bool { _, why := g.GatewayNode.ready(); return why == "stopping" }, time.Second, time.Millisecond)
	require.NoError(t, <-stopped)
	require.Less(t, time.Since(begun), 5*time.Second, "the linger, and half a second for the operators' connection")
}

func TestPlannedStopGivesUpInTheLastSixthOfItsGraceOnly(t *testing.T) {
	for _, grace := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second, 30 * time.Second} {
		stop := grace - exitMargin(grace)
		require.Greater(t, callers.FinalAnswersAfter(stop), grace-grace/6, "a grace of %s", grace)
	}
}

// Guards against a planned stop with a short grace that waits for the rest of a head until its time is
// over.
func TestIncompleteHeadDoesNotOutlastAPlannedStop(t *testing.T) {
	s := newFixture(t)
	w := platformtest.NewWorker("i-0", platformtest.Echo)
	t.Cleanup(w.Close)
	s.store.PutJSON("keyed.servers", w.ID, w.Record("s", "ready"))
	g := startGatewayToStop(t, s.store.Address(), func(c *setting.Gateway) {
		c.Grace, c.Linger = 2*time.Second, time.Second
	})
	g.waitReady(t)
	c, err := net.Dial("tcp", g.callersAddress)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	ctx, cancel := context.WithTimeout(context.Background(), g.Grace())
	defer cancel()
	time.AfterFunc(time.Second/2, func() { fmt.Fprint(c, "GET / HT") })
	require.NoError(t, g.Stop(ctx))
}

// Guards against gateways that stay in the list because their callers' stop took all the time, which
// costs the others failed connections.
func TestGatewayLeavesTheListWhenItsStopTakesAllItsTime(t *testing.T) {
	const drain = time.Second
	// stopWith stops a gateway beside a connection, after it has sent what it is given.
	stopWith := func(t *testing.T, address func(*gateway) string, sent string) (s *fixture, g *gateway) {
		t.Helper()
		s = newFixture(t)
		w := platformtest.NewWorker("i-0", platformtest.Hang)
		t.Cleanup(w.Close)
		s.store.PutJSON("keyed.servers", w.ID, w.Record("s", "ready"))
		g = startGatewayToStop(t, s.store.Address(), nil)
		g.waitReady(t)
		require.Eventually(t, func() bool { return s.store.Value("keyed.members", g.Box.Name) != "" }, 20*time.Second, time.Millisecond)
		c, err := net.Dial("tcp", address(g))
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		fmt.Fprint(c, sent)
		go func() { _, _, _ = g.post("/once/x", "open", "k1", "hello") }()
		require.Eventually(t, func() bool { return len(w.Requests()) > 0 }, 20*time.Second, time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), drain)
		defer cancel()
		begun := time.Now()
		err = g.Stop(ctx)
		t.Logf("stopped after %s: %v", time.Since(begun), err)
		return s, g
	}
	t.Run("beside a body that does not arrive", func(t *testing.T) {
		s, g := stopWith(t, func(g *gateway) string { return g.callersAddress },
			"POST /once/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k1\r\nContent-Length: 100\r\n\r\n")
		require.Empty(t, s.store.Value("keyed.members", g.Box.Name))
	})
	t.Run("beside a call that hangs and an operators' connection", func(t *testing.T) {
		s, g := stopWith(t, func(g *gateway) string { return g.Operators }, "")
		require.Empty(t, s.store.Value("keyed.members", g.Box.Name))
		require.NotContains(t, g.log.String(), "has another record")
	})
}
