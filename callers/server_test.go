package callers

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/kernel"
)

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

func start(t *testing.T, h http.HandlerFunc, os ...Option) (s *Server, address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return startOn(t, l, h, os...)
}

func startOn(t *testing.T, l net.Listener, h http.HandlerFunc, os ...Option) (s *Server, address string) {
	t.Helper()
	s = New(l, h, append([]Option{WithLogger(log.New(io.Discard))}, os...)...)
	require.NoError(t, s.Start(context.Background(), kernel.New()))
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.Stop(ctx)
	})
	return s, l.Addr().String()
}

// dial opens a connection and returns it with a reader of its answers.
func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c, bufio.NewReader(c)
}

func exchange(t *testing.T, c net.Conn, in *bufio.Reader) *http.Response {
	t.Helper()
	return send(t, c, in, request)
}

// send sends a request and waits for its answer.
func send(t *testing.T, c net.Conn, in *bufio.Reader, request string) *http.Response {
	t.Helper()
	fmt.Fprint(c, request)
	r, err := http.ReadResponse(in, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, r.Body)
	require.NoError(t, err)
	return r
}

// requireEnd waits until the server ends the connection.
func requireEnd(t *testing.T, in *bufio.Reader) {
	t.Helper()
	_, err := in.ReadByte()
	require.Error(t, err)
}

// requireTimeout waits until the server refuses a request whose head is incomplete.
func requireTimeout(t *testing.T, in *bufio.Reader) {
	t.Helper()
	r, err := http.ReadResponse(in, nil)
	require.NoError(t, err)
	require.NoError(t, r.Body.Close())
	require.Equal(t, http.StatusRequestTimeout, r.StatusCode)
	requireEnd(t, in)
}

func ok(http.ResponseWriter, *http.Request) {}

// closeTime is how long after its limit a connection is closed at the latest.
const closeTime = time.Second

func TestLimitsChangeWhileItRuns(t *testing.T) {
	var l atomic.Pointer[Limits]
	l.Store(&Limits{HeaderTimeout: time.Hour, IdleTimeout: time.Hour})
	_, a := start(t, ok, WithLimits(func() Limits { return *l.Load() }))
	told, toldIn := dial(t, a)
	require.Equal(t, "timeout=3600", exchange(t, told, toldIn).Header.Get("Keep-Alive"))
	slow, slowIn := dial(t, a)
	fmt.Fprint(slow, "GET / HT")
	exchange(t, told, toldIn)
	l.Store(&Limits{HeaderTimeout: time.Millisecond, IdleTimeout: time.Millisecond})
	started := time.Now()
	idle, idleIn := dial(t, a)
	require.Empty(t, exchange(t, idle, idleIn).Header.Get("Keep-Alive"), "a time under a second")
	requireEnd(t, idleIn)
	requireTimeout(t, slowIn)
	require.Less(t, time.Since(started), closeTime)
	time.Sleep(closeTime)
	exchange(t, told, toldIn)
	requireEnd(t, toldIn)
}

func TestIdleLimitThatGetsLonger(t *testing.T) {
	var limit atomic.Int64
	limit.Store(int64(time.Second))
	_, a := start(t, ok, WithLimits(func() Limits { return Limits{IdleTimeout: time.Duration(limit.Load())} }))
	c, in := dial(t, a)
	exchange(t, c, in)
	limit.Store(int64(3 * time.Second))
	time.Sleep(2500 * time.Millisecond)
	exchange(t, c, in)
}

func TestScarceConnectionsAreClosedByTheShorterLimit(t *testing.T) {
	const most = 8
	var limit atomic.Int64
	limit.Store(int64(time.Hour))
	_, a := start(t, ok, WithMaxConnections(most), WithLimits(func() Limits { return Limits{IdleTimeout: time.Duration(limit.Load())} }))
	for range most {
		c, in := dial(t, a)
		exchange(t, c, in)
	}
	limit.Store(int64(time.Millisecond))
	started := time.Now()
	c, in := dial(t, a)
	exchange(t, c, in)
	require.Less(t, time.Since(started), closeTime)
}

func TestStopWhileAllConnectionsAreTaken(t *testing.T) {
	s, a := start(t, ok, WithMaxConnections(1))
	c, in := dial(t, a)
	exchange(t, c, in)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	require.NoError(t, s.Stop(ctx))
	requireEnd(t, in)
}

func TestSlowAnswersAreNotCut(t *testing.T) {
	release := make(chan struct{})
	_, a := start(t, func(http.ResponseWriter, *http.Request) { <-release },
		WithLimits(func() Limits { return Limits{HeaderTimeout: time.Millisecond, IdleTimeout: time.Millisecond} }))
	c, in := dial(t, a)
	fmt.Fprint(c, request)
	time.AfterFunc(closeTime, func() { close(release) })
	r, err := http.ReadResponse(in, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, r.StatusCode)
}

// Guards against a linger that is changed while the server runs and not in force.
func TestLingerIsThatOfTheTimeOfTheStop(t *testing.T) {
	var linger atomic.Int64
	linger.Store(int64(time.Hour))
	s, _ := start(t, func(http.ResponseWriter, *http.Request) {}, WithLinger(func() time.Duration { return time.Duration(linger.Load()) }))
	linger.Store(0)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	require.NoError(t, s.Stop(ctx))
	require.NoError(t, ctx.Err())
}

func TestPlannedStop(t *testing.T) {
	release := make(chan struct{})
	entered := make(chan struct{})
	s, a := start(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			close(entered)
			<-release
		}
	}, WithLinger(func() time.Duration { return time.Second }))
	kept, keptIn := dial(t, a)
	require.False(t, exchange(t, kept, keptIn).Close)
	long, longIn := dial(t, a)
	fmt.Fprint(long, "GET /long HTTP/1.1\r\nHost: h\r\n\r\n")
	<-entered
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(context.Background()) }()
	require.Eventually(t, s.Stopping, 10*time.Second, time.Millisecond)
	require.True(t, exchange(t, kept, keptIn).Close, "a kept connection is told to close")
	late, lateIn := dial(t, a)
	exchange(t, late, lateIn)
	require.Equal(t, 1, s.Active())
	close(release)
	r, err := http.ReadResponse(longIn, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, r.StatusCode)
	require.NoError(t, <-stopped)
	_, err = net.Dial("tcp", a)
	require.Error(t, err)
}

func TestStopGivesUpInTime(t *testing.T) {
	block := make(chan struct{})
	entered := make(chan struct{})
	s, a := start(t, func(http.ResponseWriter, *http.Request) { close(entered); <-block })
	c, _ := dial(t, a)
	fmt.Fprint(c, request)
	<-entered
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, s.Stop(ctx), context.DeadlineExceeded)
	close(block)
}

// slowListener accepts connections whose writes are delayed while slow is set.
type slowListener struct {
	net.Listener
	slow atomic.Bool
}

func (l *slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &slowConn{Conn: c, slow: &l.slow}, err
}

type slowConn struct {
	net.Conn
	slow *atomic.Bool
}

func (c *slowConn) Write(b []byte) (int, error) {
	if c.slow.Load() {
		time.Sleep(200 * time.Millisecond)
	}
	return c.Conn.Write(b)
}

// The end of an answer is written after its handler has returned. A stop that waits only for
// handlers closes the connection before that, and the caller receives an incomplete answer.
func TestPlannedStopWaitsForTheLastBytes(t *testing.T) {
	release := make(chan struct{})
	entered := make(chan struct{})
	n, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &slowListener{Listener: n}
	s, a := startOn(t, l, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "begun")
		_ = http.NewResponseController(w).Flush()
		close(entered)
		<-release
		l.slow.Store(true)
	}, WithLinger(func() time.Duration { return 0 }))
	c, in := dial(t, a)
	fmt.Fprint(c, request)
	<-entered
	over := make(chan error)
	go func() { over <- s.Stop(context.Background()) }()
	close(release)
	r, err := http.ReadResponse(in, nil)
	require.NoError(t, err)
	b, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	require.Equal(t, "begun", string(b))
	require.NoError(t, <-over)
}

// A kept connection whose answer began before the stop was not asked to close. It must be closed
// after that answer: otherwise it could bring in a request that the stopping server cannot finish.
func TestNothingIsTakenOnceThePlannedStopWaits(t *testing.T) {
	release := make(chan struct{})
	entered := make(chan struct{})
	s, a := start(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/stream" {
			return
		}
		fmt.Fprint(w, "begun")
		require.NoError(t, http.NewResponseController(w).Flush())
		close(entered)
		<-release
	}, WithLinger(func() time.Duration { return 0 }))
	c, in := dial(t, a)
	fmt.Fprint(c, "GET /stream HTTP/1.1\r\nHost: h\r\n\r\n")
	<-entered
	unused, unusedIn := dial(t, a)
	require.Eventually(t, func() bool { s.mu.Lock(); defer s.mu.Unlock(); return len(s.conns) == 2 }, 10*time.Second, time.Millisecond)
	other := make(chan struct{})
	go func() { _ = s.Stop(context.Background()); close(other) }()
	require.Eventually(t, func() bool { _, err := net.Dial("tcp", a); return err != nil }, 10*time.Second, time.Millisecond)
	requireEnd(t, unusedIn)
	_ = unused
	close(release)
	r, err := http.ReadResponse(in, nil)
	require.NoError(t, err)
	b, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	require.Equal(t, "begun", string(b))
	requireEnd(t, in)
	<-other
}

func TestConnectionsWaitUntilTheServerOpens(t *testing.T) {
	open := make(chan struct{})
	_, address := start(t, func(http.ResponseWriter, *http.Request) {}, WithAcceptGate(func(ctx context.Context) {
		select {
		case <-open:
		case <-ctx.Done():
		}
	}))
	c, in := dial(t, address)
	fmt.Fprint(c, request)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
	_, err := in.Peek(1)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	close(open)
	require.NoError(t, c.SetReadDeadline(time.Time{}))
	r, err := http.ReadResponse(in, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, r.StatusCode)
	require.NoError(t, r.Body.Close())
}

const postRequest = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"

// Guards against kept connections that count as slow for an empty line after a body.
func TestEmptyLinesBeforeARequestDoNotBeginIt(t *testing.T) {
	limits := WithLimits(func() Limits {
		return Limits{HeaderTimeout: 100 * time.Millisecond, IdleTimeout: 2 * time.Second}
	})
	for _, lines := range []string{"\r\n", "\n", "\r\n\r\n", "\r"} {
		t.Run(fmt.Sprintf("the connection is kept after %q", lines), func(t *testing.T) {
			_, a := start(t, ok, limits)
			c, in := dial(t, a)
			send(t, c, in, postRequest)
			time.Sleep(100 * time.Millisecond)
			fmt.Fprint(c, lines)
			time.Sleep(time.Second)
			require.Equal(t, http.StatusOK, send(t, c, in, postRequest).StatusCode)
		})
	}
	t.Run("the connection is closed at its idle limit", func(t *testing.T) {
		_, a := start(t, ok, limits)
		c, in := dial(t, a)
		answered := time.Now()
		send(t, c, in, postRequest)
		for range 2 {
			time.Sleep(500 * time.Millisecond)
			fmt.Fprint(c, "\r\n")
		}
		_, err := http.ReadResponse(in, nil)
		require.Error(t, err, "without an answer")
		require.Greater(t, time.Since(answered), 2*time.Second)
		require.Less(t, time.Since(answered), 2*time.Second+idleGrace+closeTime)
	})
	t.Run("a head that follows is one from its first byte on", func(t *testing.T) {
		_, a := start(t, ok, limits)
		c, in := dial(t, a)
		send(t, c, in, postRequest)
		fmt.Fprint(c, "\r\n")
		time.Sleep(100 * time.Millisecond)
		fmt.Fprint(c, "\r\nGET / HT")
		begun := time.Now()
		requireTimeout(t, in)
		require.Less(t, time.Since(begun), closeTime)
	})
}

// Guards against callers that hold all connections without a request, so that others get no answer.
func TestConnectionsWithoutARequestGiveWay(t *testing.T) {
	const most = 8
	s, a := start(t, ok, WithMaxConnections(most), WithLimits(func() Limits { return Limits{HeaderTimeout: time.Hour, IdleTimeout: time.Hour} }))
	used, usedIn := dial(t, a)
	exchange(t, used, usedIn)
	var ins []*bufio.Reader
	for i := range 4 * most {
		c, in := dial(t, a)
		if i%2 == 0 {
			fmt.Fprint(c, "GET / HT")
		}
		ins = append(ins, in)
	}
	c, in := dial(t, a)
	exchange(t, c, in)
	requireStatusOrEnd(t, ins[0])
	exchange(t, used, usedIn)
	require.LessOrEqual(t, s.Connections(), most)
	require.False(t, s.Full())
}

// requireStatusOrEnd requires that a request without a whole head is refused as not run, or its connection
// closed.
func requireStatusOrEnd(t *testing.T, in *bufio.Reader) {
	t.Helper()
	r, err := http.ReadResponse(in, nil)
	if err != nil {
		return
	}
	require.NoError(t, r.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, r.StatusCode)
}
