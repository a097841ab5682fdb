package peer

import (
	"context"
	"net"
	"runtime"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/internal/wire"
)

// memoryOf returns how many bytes of heap and stacks both ends of a connection with one open
// exchange use.
func memoryOf(t testing.TB, connections int) (bytes int64) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var open sync.WaitGroup
	s := NewServer(func(_ context.Context, s *Stream, _ *wire.Frame) error {
		open.Done()
		_, err := s.Receive()
		return err
	}, func(net.Addr, error) {})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var g sync.WaitGroup
	g.Go(func() { _ = s.Serve(ctx, l) })
	before := memoryInUse()
	var cs []*Conn
	for range connections {
		c, err := Dial(ctx, TCP(), l.Addr().String())
		require.NoError(t, err)
		cs = append(cs, c)
		open.Add(1)
		_, err = c.Open(&wire.Frame{Body: &wire.Frame_LoadView{LoadView: &wire.LoadView{Box: "b"}}})
		require.NoError(t, err)
	}
	open.Wait()
	bytes = (memoryInUse() - before) / int64(connections)
	for _, c := range cs {
		require.NoError(t, c.Close())
	}
	cancel()
	require.NoError(t, l.Close())
	s.Close()
	g.Wait()
	return bytes
}

// memoryInUse returns the bytes of heap and stacks in use.
func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// Guards against connections that use up the memory of a box: in a fleet of 103, a gateway has some
// 300 connections to others. With buffers for 4,096 exchanges both ends of one used 121 KB, and
// gateways 110 to 180 MB of the 184 MB that small boxes have.
func TestMemoryOfAConnection(t *testing.T) {
	require.Less(t, memoryOf(t, 200), int64(80_000))
}

func BenchmarkMemoryOfAConnection(b *testing.B) {
	for b.Loop() {
		b.ReportMetric(float64(memoryOf(b, 200)), "B/conn")
	}
}
