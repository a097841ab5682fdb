package node

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/platform/platformtest"
	"github.com/hollowgrade/hollowgrade/setting"
)

// openCall opens a connection to a gateway and sends a call on it.
func openCall(t *testing.T, g *gateway, path, id string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", g.callersAddress)
	require.NoError(t, err)
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\nDeadline-Ms: 10000\r\nAuthorization: Bearer k1\r\nContent-Length: 5\r\n\r\nhello", path, id)
	require.NoError(t, err)
	return c
}

// The users' rule: half a second after a caller has closed its connection no upstream works for it, and
// nothing more is sent.
func TestCallerThatClosesItsConnectionFreesTheUpstream(t *testing.T) {
	for _, path := range []string{"/once/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t, platformtest.Hang, platformtest.Hang)
			c := openCall(t, s.gateway, path, "gone")
			sent := func() int { return len(s.workers[0].Requests()) + len(s.workers[1].Requests()) }
			require.Eventually(t, func() bool { return sent() == 1 }, 10*time.Second, time.Millisecond)
			require.NoError(t, c.Close())
			closed := time.Now()
			require.Eventually(t, func() bool { return s.workers[0].Disconnects()+s.workers[1].Disconnects() == 1 }, 10*time.Second, time.Millisecond)
			require.Less(t, time.Since(closed), goneTime)
			time.Sleep(2 * goneTime)
			require.Equal(t, 1, sent())
		})
	}
}

// The users' rule: a box that says that it is ready takes new connections.
func TestBoxThatTakesNoConnectionIsNotReady(t *testing.T) {
	t.Parallel()
	const most = 2
	s := newFixture(t, platformtest.Hang)
	g := startGateway(t, s.store.Address(), func(c *setting.Gateway) { c.MaxConnections = most })
	g.waitReady(t)
	ready := func() int {
		r, err := http.Get("http://" + g.ready + "/v1/readyz")
		require.NoError(t, err)
		defer r.Body.Close()
		return r.StatusCode
	}
	require.Equal(t, http.StatusOK, ready())
	var cs []net.Conn
	for i := range most {
		cs = append(cs, openCall(t, g, "/once/x", fmt.Sprint("c", i)))
	}
	require.Eventually(t, func() bool { return ready() == http.StatusServiceUnavailable }, 10*time.Second, 5*time.Millisecond)
	require.NoError(t, cs[0].Close())
	require.Eventually(t, func() bool { return ready() == http.StatusOK }, 10*time.Second, 5*time.Millisecond)
	require.NoError(t, cs[1].Close())
}
