package feed

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
)

// lostAnswers is a topic with one key whose drop is read by the first call on a new connection. Until then no
// read that waits is answered.
type lostAnswers struct {
	hollowgrade.Topic
	delay time.Duration // until the call on the new connection is answered
	fresh atomic.Bool
}

func (t *lostAnswers) redial() { t.fresh.Store(true) }

func (t *lostAnswers) Newest(context.Context, time.Duration) (hollowgrade.KeyedPage, error) {
	return hollowgrade.KeyedPage{Records: []hollowgrade.KeyedRecord{{Key: "a", Value: []byte("ready")}}, Next: 1, End: 1}, nil
}

func (t *lostAnswers) Wait(ctx context.Context, from int64, d, patience time.Duration) (p hollowgrade.KeyedPage, err error) {
	p.Next, p.End = max(from, 2), 2
	switch {
	case !t.fresh.Load():
		hollowgrade.Sleep(ctx, hollowgrade.SystemClock(), d+patience)
		return p, errDown
	case from < p.End:
		hollowgrade.Sleep(ctx, hollowgrade.SystemClock(), t.delay)
		p.Records = []hollowgrade.KeyedRecord{{Key: "a", Position: hollowgrade.Position{Offset: 1}}}
		return p, nil
	default:
		hollowgrade.Sleep(ctx, hollowgrade.SystemClock(), d)
		return p, ctx.Err()
	}
}

// run follows the topic, together with more feeds of the process, and returns the drop and when it was read.
func (t *lostAnswers) run(test *testing.T, wait time.Duration, more ...*Feed) (drop Change, after time.Duration) {
	test.Helper()
	quiet := log.New(io.Discard)
	f := New("f", t, WithLogger(quiet), WithWait(wait), WithRedial(t.redial))
	r := NewRelay("self:1", func() []string { return nil }, WithRelayLogger(quiet))
	r.Add(append(more, f)...)
	began := time.Now()
	f.Watch(func(cs []Change) {
		if cs[0].Dropped() {
			drop, after = cs[0], time.Since(began)
		}
	})
	ctx, cancel := context.WithTimeout(test.Context(), 10*time.Second)
	defer cancel()
	for _, o := range more {
		go o.Run(ctx)
	}
	f.Run(ctx)
	require.NotZero(test, after, "the drop was never read")
	return drop, after
}

// Guards against entries that are kept since a connection fell silent, as if the store had been away.
func TestDropReadAfterAConnectionFellSilentCarriesNoDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		drop, after := (&lostAnswers{}).run(t, time.Second)
		require.Zero(t, drop.UncertainUntil)
		require.Less(t, after, defaultMinReadInterval+time.Second+nominalAnswerGrace)
	})
}

// Guards against entries that are given up though the answers were lost with the store, which has just returned.
func TestDropReadWhileTheStoreReturnsCarriesDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		drop, _ := (&lostAnswers{delay: 2 * nominalAnswerGrace}).run(t, time.Second)
		require.NotZero(t, drop.UncertainUntil)
	})
}

// Guards against a silent connection that is found by its own long wait only.
func TestSilentConnectionMakesTheOtherFeedsAskAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &lostAnswers{}
		other := New("other", s, WithLogger(log.New(io.Discard)), WithWait(time.Second), WithRedial(s.redial))
		_, after := s.run(t, 5*time.Second, other)
		require.Less(t, after, defaultMinReadInterval+time.Second+nominalAnswerGrace)
	})
}

// longAnswer is a topic whose read is answered at once and received for long, as over a narrow link.
type longAnswer struct {
	lostAnswers
	reads atomic.Int32
}

func (t *longAnswer) Wait(ctx context.Context, from int64, d, _ time.Duration) (p hollowgrade.KeyedPage, err error) {
	p.Next, p.End = max(from, 2), 2
	if from >= p.End {
		hollowgrade.Sleep(ctx, hollowgrade.SystemClock(), d)
		return p, ctx.Err()
	}
	t.reads.Add(1)
	hollowgrade.AnswerBegun(ctx)
	hollowgrade.Sleep(ctx, hollowgrade.SystemClock(), d+time.Second)
	p.Records = []hollowgrade.KeyedRecord{{Key: "a", Value: []byte("gone")}}
	return p, ctx.Err()
}

// Guards against a long answer that is asked for again while it is received.
func TestAnswerThatIsBeingReceivedIsNotAskedForAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &longAnswer{}
		f := New("f", s, WithLogger(log.New(io.Discard)), WithWait(time.Second), WithRedial(s.redial))
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		f.Run(ctx)
		require.Equal(t, int32(1), s.reads.Load())
		require.False(t, s.fresh.Load(), "no connection is given up")
	})
}
