package core

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/fault"
)

// stopIn returns an option that makes a planned stop cancel calls after d.
func stopIn(d time.Duration, accepting bool) Option {
	end := time.Now().Add(d)
	return WithPlannedStop(func() (hollowgrade.PlannedStop, bool) {
		return hollowgrade.PlannedStop{Left: time.Until(end), Accepting: accepting}, true
	})
}

// answersAfter returns a reply that takes d.
func answersAfter(d time.Duration) reply {
	return func(ctx context.Context, s hollowgrade.Sending) (hollowgrade.Exchange, error) {
		time.Sleep(d)
		return status(200, "hello")(ctx, s)
	}
}

func TestCallsThatAPlannedStopWouldCutAreRefused(t *testing.T) {
	run := func(name string, do func(t *testing.T)) {
		t.Run(name, func(t *testing.T) { synctest.Test(t, do) })
	}
	// serveOn serves a call that waits for the given time.
	serveOn := func(c *Core, patience time.Duration) error {
		r := call("/once/")
		r.Patience = patience
		return c.Serve(context.Background(), r, &fakeSink{})
	}
	requireRefused := func(t *testing.T, err error, f *fakeUpstreams, sent int) {
		t.Helper()
		requireFault(t, fault.As(err, hollowgrade.Unknown), fault.Draining, hollowgrade.NotRun)
		require.Len(t, f.sentCalls(), sent)
	}
	run("no longer accepting, if they may outlast it", func(t *testing.T) {
		f := &fakeUpstreams{replies: []reply{status(200, "hello")}}
		requireRefused(t, serveOn(newCore(f, stopIn(2*time.Second, false)), 5*time.Second), f, 0)
	})
	run("no longer accepting, not if they end in time", func(t *testing.T) {
		f := &fakeUpstreams{replies: []reply{status(200, "hello")}}
		require.NoError(t, serveOn(newCore(f, stopIn(2*time.Second, false)), time.Second))
	})
	run("accepting, not if nothing is known of how long they take", func(t *testing.T) {
		f := &fakeUpstreams{replies: []reply{status(200, "hello")}}
		require.NoError(t, serveOn(newCore(f, stopIn(2*time.Second, true)), 5*time.Second))
	})
	run("accepting, if others of their route take longer", func(t *testing.T) {
		f := &fakeUpstreams{replies: []reply{answersAfter(3 * time.Second)}}
		stopping := false
		c := newCore(f, WithPlannedStop(func() (hollowgrade.PlannedStop, bool) {
			return hollowgrade.PlannedStop{Left: 2 * time.Second, Accepting: true}, stopping
		}))
		require.NoError(t, serveOn(c, 5*time.Second))
		stopping = true
		requireRefused(t, serveOn(c, 5*time.Second), f, 1)
	})
	run("a second attempt is made while there is time", func(t *testing.T) {
		f := &fakeUpstreams{replies: []reply{shed, status(200, "hello")}}
		require.NoError(t, serveOn(newCore(f, stopIn(2*time.Second, true)), 5*time.Second))
		require.Len(t, f.sentCalls(), 2)
	})
	run("what may have run is not called not run", func(t *testing.T) {
		cutLate := func(ctx context.Context, _ hollowgrade.Sending) (hollowgrade.Exchange, error) {
			time.Sleep(plainStall - time.Millisecond) // no other attempt is made before
			return &fakeExchange{ctx: ctx, head: hollowgrade.Head{Status: 200, Signed: true}, end: io.ErrUnexpectedEOF}, nil
		}
		f := &fakeUpstreams{replies: []reply{cutLate, status(200, "hello")}}
		r := call("/again/")
		err := newCore(f, stopIn(plainStall/2, true)).Serve(context.Background(), r, &fakeSink{})
		x := fault.As(err, hollowgrade.NotRun)
		require.Equal(t, fault.Draining, x.Code)
		require.NotEqual(t, hollowgrade.NotRun, x.Outcome)
	})
}
