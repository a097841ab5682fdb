package core

import (
	"context"
	"io"
	"net/http"
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
