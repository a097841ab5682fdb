package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/platform/platformtest"
	"github.com/hollowgrade/hollowgrade/setting"
)

const (
	smallestBoxMB = 184 // memory of the smallest class of boxes
	stalledCount  = 300
	// goneTime is the users' bound on how long an upstream may go on working for a caller that has
	// gone.
	goneTime = 500 * time.Millisecond
)

// largeAnswer is a behaviour that sends an answer of 16 MB, and records how many it is sending.
type largeAnswer struct {
	mu      sync.Mutex
	sending int
	most    int
}

func (a *largeAnswer) add(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sending += n
	a.most = max(a.most, a.sending)
}

func (a *largeAnswer) counts() (sending, most int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sending, a.most
}

func (a *largeAnswer) answer(w *platformtest.Worker, c net.Conn, r *http.Request) {
	const size = 16 << 20
	a.add(1)
	defer a.add(-1)
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: %s%s\r\nContent-Length: %d\r\n\r\n", r.Header.Get("Attempt-Id"), platformtest.Seal, w.ID, size)
	for b := make([]byte, 32<<10); err == nil; {
		_, err = c.Write(b)
	}
}

// stallingCaller sends a request and reads nothing of the answer.
func stallingCaller(t *testing.T, g *gateway, id string) {
	t.Helper()
	c, err := net.Dial("tcp", g.callersAddress)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.(*net.TCPConn).SetReadBuffer(4<<10))
	_, err = fmt.Fprintf(c, "POST /once/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\nDeadline-Ms: 30000\r\nAuthorization: Bearer k1\r\nContent-Length: 5\r\n\r\nhello", id)
	require.NoError(t, err)
}

// Guards against callers that stop reading their answers: each kept an upstream busy until its
// deadline.
func TestStalledReaders(t *testing.T) {
	t.Parallel()
	a := &largeAnswer{}
	s := newFixture(t)
	s.configure(2, 30_000, "k1")
	w := platformtest.NewWorker("i-0", a.answer)
	t.Cleanup(w.Close)
	r := w.Record("s", "ready")
	r["slots"] = 2 * stalledCount
	s.store.PutJSON("keyed.servers", w.ID, r)
	const stall = 1500 * time.Millisecond
	g := startGateway(t, s.store.Address(), func(c *setting.Gateway) { c.CallerStall, c.MemoryMB = stall, smallestBoxMB })
	g.waitReady(t)
	for i := range stalledCount {
		stallingCaller(t, g, fmt.Sprint("stalled", i))
	}
	require.Eventually(t, func() bool { _, most := a.counts(); return most > 0 }, 10*time.Second, time.Millisecond)
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	t.Logf("%d MB on the heap", m.HeapAlloc/megabyte)
	require.Less(t, float64(m.HeapAlloc), memoryLimitShare*smallestBoxMB*megabyte)
	require.Eventually(t, func() bool { sending, most := a.counts(); return sending == 0 && most > 0 }, stall+goneTime+20*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool { return g.callers.Active() == 0 }, 10*time.Second, 10*time.Millisecond)
	require.Zero(t, g.bodies.Held())
	require.Contains(t, g.log.String(), "it has stopped reading")
}

func TestSlowReaderThatGoesOnIsWaitedFor(t *testing.T) {
	t.Parallel()
	const size = 384 << 10
	s := newFixture(t, platformtest.Answer(http.StatusOK, string(make([]byte, size))))
	s.configure(2, 30_000, "k1")
	g := startGateway(t, s.store.Address(), func(c *setting.Gateway) { c.CallerStall = 300 * time.Millisecond })
	g.waitReady(t)
	c, err := net.Dial("tcp", g.callersAddress)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.(*net.TCPConn).SetReadBuffer(8<<10))
	_, err = fmt.Fprintf(c, "POST /once/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: slow\r\nDeadline-Ms: 30000\r\nAuthorization: Bearer k1\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello")
	require.NoError(t, err)
	n := 0
	for b := make([]byte, size/16); err == nil; time.Sleep(50 * time.Millisecond) {
		var k int
		k, err = io.ReadFull(c, b)
		n += k
	}
	require.Greater(t, n, size, "the whole answer and its head")
}

func TestBodiesOfOpenCallsAreBounded(t *testing.T) {
	t.Parallel()
	s := newFixture(t)
	g := startGateway(t, s.store.Address(), func(c *setting.Gateway) { c.MemoryMB = smallestBoxMB })
	require.True(t, g.bodies.Take(int64(requestMemoryShare*smallestBoxMB*megabyte)))
	st, body, err := g.call(t, "/once/x", "c1", "k1")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, st)
	require.Contains(t, body, "HG2001")
}
