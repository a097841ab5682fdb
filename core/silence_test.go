package core

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
)

// steadyExchange sends a plain answer of n parts, one each interval.
type steadyExchange struct {
	fakeExchange
	n        int
	interval time.Duration
	part     []byte
}

func (x *steadyExchange) Next() (p hollowgrade.Part, err error) {
	if x.n == 0 {
		return p, io.EOF
	}
	x.n--
	select {
	case <-x.ctx.Done():
		return p, x.ctx.Err()
	case <-time.After(x.interval):
	}
	return hollowgrade.Part{Data: x.part}, nil
}

func steady(n int, interval time.Duration, size int) reply {
	return func(ctx context.Context, s hollowgrade.Sending) (hollowgrade.Exchange, error) {
		h := hollowgrade.Head{Status: 200, Header: http.Header{"From": {s.Upstream.ID}}, Signed: true}
		return &steadyExchange{fakeExchange{ctx: ctx, head: h}, n, interval, make([]byte, size)}, nil
	}
}

func TestPlainAnswerThatArrivesSlowlyIsNotSilent(t *testing.T) {
	for n, size := range map[string]int{"long": 32 << 10, "short": 1 << 10} {
		t.Run(n, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := steady(40, 50*time.Millisecond, size) // 2 s
				s, f, x := serve(t, "/again/", r, r, r)
				require.Nil(t, x)
				require.Len(t, f.sentCalls(), 1)
				require.Equal(t, 40*size, s.body.Len())
			})
		})
	}
}

// slowSink takes its time over one part.
type slowSink struct {
	fakeSink
	n int
	d time.Duration
}

func (s *slowSink) Part(b []byte) error {
	if s.n++; s.n == 3 {
		time.Sleep(s.d)
	}
	return s.fakeSink.Part(b)
}

// eventsExchange sends an event each 100 ms.
type eventsExchange struct {
	fakeExchange
	at, to int
}

func (x *eventsExchange) Next() (p hollowgrade.Part, err error) {
	if x.at == x.to {
		return p, io.EOF
	}
	if err = x.ctx.Err(); err != nil {
		return p, err
	}
	time.Sleep(100 * time.Millisecond)
	x.at++
	return hollowgrade.Part{Data: []byte(fmt.Sprint(x.at, ",")), Event: fmt.Sprint(x.at)}, nil
}

func TestCallerThatDoesNotReadIsNotTakenForASilentUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := func(ctx context.Context, s hollowgrade.Sending) (hollowgrade.Exchange, error) {
			h := hollowgrade.Head{Status: 200, Header: http.Header{"From": {s.Upstream.ID}}, Signed: true, Stream: true}
			return &eventsExchange{fakeExchange{ctx: ctx, head: h}, 0, 10}, nil
		}
		f := &fakeUpstreams{replies: []reply{r, r, r}}
		s := &slowSink{d: 1300 * time.Millisecond}
		err := newCore(f).Serve(context.Background(), call("/resume/"), s)
		require.NoError(t, err)
		require.Len(t, f.sentCalls(), 1)
	})
}

// afterSilence returns a reply that comes later than another one by d.
func afterSilence(d time.Duration, r reply) reply {
	return func(ctx context.Context, s hollowgrade.Sending) (hollowgrade.Exchange, error) {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(d):
		}
		return r(ctx, s)
	}
}

func TestSilentUpstreamIsKeptIfAPlannedStopLeavesNoTimeForAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const calls = 12
		takes3s := steady(30, 100*time.Millisecond, 1)
		replies := append(slices.Repeat([]reply{takes3s}, calls), afterSilence(1200*time.Millisecond, steady(18, 100*time.Millisecond, 1)), takes3s)
		f := &fakeUpstreams{replies: replies}
		end := time.Now().Add(time.Hour)
		c := newCore(f, WithPlannedStop(func() (hollowgrade.PlannedStop, bool) {
			return hollowgrade.PlannedStop{Left: time.Until(end), Accepting: true}, true
		}))
		for range calls {
			require.NoError(t, c.Serve(context.Background(), call("/again/"), &fakeSink{}))
		}
		end = time.Now().Add(3500 * time.Millisecond)
		require.NoError(t, c.Serve(context.Background(), call("/again/"), &fakeSink{}))
		require.Len(t, f.sentCalls(), calls+1)
	})
}
