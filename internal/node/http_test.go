package node

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// serveSide serves a handler as the readiness and operators' listeners do, and returns its address.
func serveSide(t *testing.T, h http.HandlerFunc) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := newSideServer(h)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// Guards against clients that take the connections of the readiness listener, so that a balancer gets no answer.
func TestConnectionsWithoutARequestKeepNobodyOut(t *testing.T) {
	a := serveSide(t, func(http.ResponseWriter, *http.Request) {})
	var cs []net.Conn
	for range 3 * sideConnections {
		c, err := net.Dial("tcp", a)
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		cs = append(cs, c)
	}
	res, err := (&http.Client{Timeout: sideHeadTimeout}).Get("http://" + a)
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	require.Equal(t, http.StatusOK, res.StatusCode)
	require.NoError(t, cs[0].SetReadDeadline(time.Now().Add(sideHeadTimeout)))
	_, err = bufio.NewReader(cs[0]).ReadByte()
	require.Error(t, err, "the oldest connection")
}

func TestRequestsThatAreOpenAreNotClosedForNewConnections(t *testing.T) {
	release := make(chan struct{})
	entered := make(chan struct{})
	a := serveSide(t, func(http.ResponseWriter, *http.Request) {
		entered <- struct{}{}
		<-release
	})
	status := make(chan int, 1)
	go func() {
		res, err := http.Get("http://" + a)
		if err != nil {
			status <- 0
			return
		}
		_ = res.Body.Close()
		status <- res.StatusCode
	}()
	<-entered
	for range 2 * sideConnections {
		c, err := net.Dial("tcp", a)
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
	}
	close(release)
	require.Equal(t, http.StatusOK, <-status)
}
