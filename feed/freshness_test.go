package feed

import (
	"context"
	"io"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
)

// farTopic is a topic with delays of requests and answers, whose store has a clock that runs at
// another speed than the reader's.
type farTopic struct {
	*fakeTopic
	requestDelay, answerDelay func() time.Duration
	speed                     float64
}

func (t *farTopic) Wait(ctx context.Context, from int64, d, patience time.Duration) (p hollowgrade.KeyedPage, err error) {
	time.Sleep(t.requestDelay())
	p, err = t.fakeTopic.Wait(ctx, from, time.Duration(float64(d)/t.speed), patience)
	time.Sleep(t.answerDelay())
	return p, err
}

// answerDue returns when the answer to the current read is overdue.
func (f *Feed) answerDue() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nextAnswerDue
}

// A revoked key must not pass as valid for longer than allowed, so a view may be older than
// reported but never younger: it has all that was written before the time as of which it is
// reported complete. The test varies delays, the speed of the store's clock and the times of
// writes, including the end of a read's wait.
func TestViewsAreNeverYoungerThanTold(t *testing.T) {
	// With the race detector, the runtime crashes if two threads run expired timers of a bubble at once.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for _, speed := range []float64{0.95, 1, 1.05} {
		for seed := range uint64(40) {
			synctest.Test(t, func(t *testing.T) {
				r := rand.New(rand.NewPCG(seed, uint64(speed*100)))
				delay := func() time.Duration { return time.Duration(r.ExpFloat64() * float64(20*time.Millisecond)) }
				if seed%4 == 0 {
					delay = func() time.Duration { return time.Duration(r.IntN(700)) * time.Millisecond }
				}
				k := &farTopic{fakeTopic: newTopic(), requestDelay: delay, answerDelay: delay, speed: speed}
				f := New("f", k, WithLogger(log.New(io.Discard)), WithWait(time.Second))
				ctx, cancel := context.WithCancel(context.Background())
				var g sync.WaitGroup
				g.Go(func() { f.Run(ctx) })
				var written []time.Time
				q := rand.New(rand.NewPCG(seed, 7))
				for range 300 {
					time.Sleep(time.Duration(q.ExpFloat64() * float64(time.Second)))
					if q.IntN(2) == 0 {
						time.Sleep(time.Until(f.answerDue())) // when the current read is about to be answered
					}
					require.NoError(t, k.Put(ctx, "a", []byte{byte(len(written))}))
					written = append(written, time.Now())
					time.Sleep(time.Duration(q.IntN(300)) * time.Millisecond)
					fresh, next := f.Fresh(), f.Next()
					for o, at := range written {
						if !fresh.Before(at) && int64(o) >= next {
							t.Fatalf("speed %v, seed %d: reported complete as of %s without a record written %s before", speed, seed, fresh, fresh.Sub(at))
						}
					}
				}
				cancel()
				g.Wait()
			})
		}
	}
}
