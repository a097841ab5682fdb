package loadview

import (
	"context"
	"fmt"
	"io"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/core"
)

// cpu returns the processor time used by this process.
func cpu(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkTell measures the processor time of one change per peer, for sender and receiver
// together; docs/CAPACITY.md has results.
func BenchmarkTell(b *testing.B) {
	for _, n := range []int{4, 27, 83} {
		b.Run(fmt.Sprintf("streams/%d", n), func(b *testing.B) { benchmarkSend(b, n) })
		b.Run(fmt.Sprintf("packets/%d", n), func(b *testing.B) { benchmarkSend(b, n, WithPackets(packets(b, "127.0.0.1:0"))) })
	}
}

func benchmarkSend(b *testing.B, n int, os ...Option) {
	b.Helper()
	a := newFleet()
	var fs []*core.Fleet
	var as []string
	for range n {
		f := newFleet()
		fs = append(fs, f)
		as = append(as, startReceiver(b, f))
	}
	ctx, cancel := context.WithCancel(context.Background())
	var g sync.WaitGroup
	s := New("a", a, func() []string { return as }, append(os, WithLogger(log.New(io.Discard)))...)
	g.Go(func() { s.Run(ctx) })
	wait := func(open int) {
		for _, f := range fs {
			for f.PeerShare("u").Open != open {
				time.Sleep(time.Millisecond)
			}
		}
	}
	for _, f := range fs {
		for f.PeerShare("u").Open == 0 {
			p := plan(b, a)
			a.Done(p, true)
			q := plan(b, a)
			time.Sleep(5 * time.Millisecond)
			a.Done(q, true)
		}
	}
	wait(0)
	begin := cpu(b)
	changes := 0
	for b.Loop() {
		p := plan(b, a)
		wait(1)
		a.Done(p, true)
		wait(0)
		changes += 2
	}
	b.ReportMetric(float64((cpu(b)-begin).Microseconds())/float64(changes*n), "us/message")
	cancel()
	g.Wait()
}
