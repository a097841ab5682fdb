package core

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
)

// pausedSink measures the longest pause between parts, the first counted from the call's arrival.
type pausedSink struct {
	fakeSink
	last    time.Time
	longest time.Duration
}

func (s *pausedSink) Part(b []byte) error {
	now := time.Now()
	s.longest, s.last = max(s.longest, now.Sub(s.last)), now
	return s.fakeSink.Part(b)
}

// A twentieth of the upstreams hangs for good; streams whose callers do not give up count as served in time.
func TestCallsAreServedInTimeWhileATwentiethOfTheUpstreamsHang(t *testing.T) {
	for _, path := range []string{"/resume/", "/again/"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const upstreams, hanging, calls = 40, 2, 3000
				begin := time.Now()
				hang := func(s hollowgrade.Sending) bool {
					n := 0
					fmt.Sscanf(s.Upstream.ID, "u%d", &n)
					return n < hanging && time.Since(begin) > 5*time.Second
				}
				f := &fakeUpstreams{replies: []reply{func(ctx context.Context, s hollowgrade.Sending) (hollowgrade.Exchange, error) {
					h := hollowgrade.Head{Status: 200, Signed: true, Stream: path == "/resume/"}
					return &hangingExchange{fakeExchange: fakeExchange{ctx: ctx, head: h}, hang: func() bool { return hang(s) }}, nil
				}}}
				c := newCore(f)
				for i := range upstreams {
					c.Fleet().Put(hollowgrade.Upstream{ID: fmt.Sprint("u", i), Service: "s", Address: fmt.Sprint("u", i, ":1"), Slots: 16})
				}
				var mu sync.Mutex
				var g sync.WaitGroup
				inTime := 0
				for i := range calls {
					g.Go(func() {
						s := &pausedSink{last: time.Now()}
						k := call(path)
						k.ID = fmt.Sprint("c", i)
						err := c.Serve(context.Background(), k, s)
						mu.Lock()
						defer mu.Unlock()
						if err == nil && s.longest < callerGap {
							inTime++
						}
					})
					time.Sleep(10 * time.Millisecond)
				}
				g.Wait()
				t.Logf("%d of %d in time, %d sent", inTime, calls, len(f.sentCalls()))
				require.GreaterOrEqual(t, float64(inTime), 0.99*calls)
			})
		})
	}
}

// hangingExchange sends ten events, one each 50 ms, until it hangs.
type hangingExchange struct {
	fakeExchange
	hang func() bool
	sent int
}

func (x *hangingExchange) Next() (p hollowgrade.Part, err error) {
	const parts = 10
	if x.sent == parts {
		return p, io.EOF
	}
	pause := time.After(50 * time.Millisecond)
	if x.hang() {
		pause = nil
	}
	select {
	case <-x.ctx.Done():
		return p, x.ctx.Err()
	case <-pause:
	}
	x.sent++
	return hollowgrade.Part{Data: []byte("x"), Event: fmt.Sprint(x.sent)}, nil
}
