package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/agent"
	"github.com/hollowgrade/hollowgrade/peer"
)

// countingConn counts the bytes received on a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements [net.Conn].
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// idleService is an upstream that is never called.
type idleService struct{}

// Do implements [hollowgrade.Service].
func (idleService) Do(*http.Request) (*http.Response, error) { return nil, io.EOF }

// startAgents starts n agents on loopback and returns their boxes.
func startAgents(b *testing.B, n int, g *log.Logger) (bs []hollowgrade.Box) {
	b.Helper()
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		x := hollowgrade.Box{Name: fmt.Sprint("a", i), Role: hollowgrade.AgentRole, Hall: "h", Peer: l.Addr().String(), State: hollowgrade.BoxLive}
		limits := agent.DefaultLimits()
		limits.Linger = 0
		a := agent.New(x, "i", l, agent.WithLogger(g), agent.WithLimits(limits), agent.WithService("s", idleService{}))
		require.NoError(b, a.Start(context.Background(), nil))
		b.Cleanup(func() { _ = a.Stop(context.Background()) })
		bs = append(bs, x)
	}
	return bs
}

func cpu(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heapInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

const measureTime = 5 * time.Second

// BenchmarkLinks measures the cost of being connected to n agents: the bytes of their reports, and
// processor time and memory of both ends of the links, which share this process.
func BenchmarkLinks(b *testing.B) {
	for _, n := range []int{18, 60, 180, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g := log.New(io.Discard)
			bs := startAgents(b, n, g)
			before := heapInUse()
			var bytes atomic.Int64
			dial := func(ctx context.Context, address string) (net.Conn, error) {
				c, err := peer.TCP()(ctx, address)
				return countingConn{c, &bytes}, err
			}
			e := New(hollowgrade.Box{Name: "e", Hall: "h"}, "i", nil, func(context.Context) []hollowgrade.Box { return bs },
				WithLogger(g), WithDialer(dial))
			e.group.Go(e.linkLoop)
			defer func() {
				e.cancel()
				e.group.Wait()
			}()
			for e.connectedAgents() < n {
				runtime.Gosched()
			}
			for range b.N {
				at, spent, had := time.Now(), cpu(b), bytes.Load()
				time.Sleep(measureTime)
				seconds := time.Since(at).Seconds()
				b.ReportMetric(float64(bytes.Load()-had)/seconds, "B/s")
				b.ReportMetric(100*(cpu(b)-spent).Seconds()/seconds, "%core")
			}
			b.ReportMetric(heapInUse()-before, "mem-B")
		})
	}
}

func (e *Entry) connectedAgents() (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.order {
		if l.conn != nil {
			n++
		}
	}
	return n
}
