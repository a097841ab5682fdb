package core

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/placement"
)

// newSignalFleet returns a table with upstreams of one service.
func newSignalFleet(ids ...string) *Fleet {
	f := NewFleet(hollowgrade.SystemClock(), discardLogger(), func(f *Fleet) { f.random = func() float64 { return 0.999 } })
	for _, id := range ids {
		f.Put(hollowgrade.Upstream{ID: id, Service: "s", Address: id + ":1", Slots: 4})
	}
	return f
}

// pickForCall picks an upstream for a call; it returns nil if there is none.
func pickForCall(f *Fleet) *pick {
	return f.pick("s", placement.Request{TimeLeft: 10 * time.Second}, nil)
}

// receiveAnswer handles an upstream's answer to a call that was sent at a given time.
func receiveAnswer(f *Fleet, id hollowgrade.Instance, sent time.Time, h hollowgrade.Head) {
	f.recordAnswer(f.members[id], "r", false, sent, h)
}

// refusalWithRetryAfter is an answer with a retry delay.
func refusalWithRetryAfter(d time.Duration) hollowgrade.Head {
	return hollowgrade.Head{Status: 503, NotRun: true, Signals: hollowgrade.Signals{RetryAfter: d}}
}

var served = hollowgrade.Head{Status: 200}

func TestRestOfAnUpstream(t *testing.T) {
	const cooldown = 4 * time.Second
	longest := time.Duration((1 + cooldownJitter) * float64(cooldown))
	t.Run("ends after its time and not much later", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newSignalFleet("u")
			receiveAnswer(f, "u", time.Now(), refusalWithRetryAfter(cooldown))
			time.Sleep(cooldown - time.Millisecond)
			require.Nil(t, pickForCall(f))
			time.Sleep(longest - cooldown + time.Millisecond)
			require.NotNil(t, pickForCall(f))
		})
	})
	t.Run("is not cut by a shorter one", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newSignalFleet("u")
			receiveAnswer(f, "u", time.Now(), refusalWithRetryAfter(cooldown))
			receiveAnswer(f, "u", time.Now(), refusalWithRetryAfter(time.Second))
			time.Sleep(cooldown - time.Millisecond)
			require.Nil(t, pickForCall(f))
		})
	})
	t.Run("is not ended by the answer to a call of before", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newSignalFleet("u")
			sent := time.Now()
			receiveAnswer(f, "u", sent, refusalWithRetryAfter(cooldown))
			time.Sleep(time.Second)
			receiveAnswer(f, "u", sent, served)
			require.Nil(t, pickForCall(f))
		})
	})
	t.Run("is followed by one call, and by others once that is answered", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newSignalFleet("u")
			receiveAnswer(f, "u", time.Now(), refusalWithRetryAfter(cooldown))
			time.Sleep(longest)
			require.NotNil(t, pickForCall(f))
			require.Nil(t, pickForCall(f))
			sent := time.Now()
			time.Sleep(10 * time.Millisecond)
			receiveAnswer(f, "u", sent, served)
			require.NotNil(t, pickForCall(f))
			require.NotNil(t, pickForCall(f))
		})
	})
	t.Run("is followed by another call if the first gets no answer", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newSignalFleet("u")
			receiveAnswer(f, "u", time.Now(), refusalWithRetryAfter(cooldown))
			time.Sleep(longest)
			require.NotNil(t, pickForCall(f))
			time.Sleep(trialTimeout)
			require.NotNil(t, pickForCall(f))
		})
	})
	t.Run("holds also for a call that was held back for it", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newSignalFleet("u")
			p := pickForCall(f)
			receiveAnswer(f, "u", time.Now(), refusalWithRetryAfter(cooldown))
			require.False(t, f.stillUsable(p))
		})
	})
	t.Run("of all upstreams lets callers come back when the first ends", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newSignalFleet("u", "v")
			receiveAnswer(f, "u", time.Now(), refusalWithRetryAfter(cooldown))
			receiveAnswer(f, "v", time.Now(), refusalWithRetryAfter(10*time.Second))
			r := f.unavailability("s", nil)
			require.Equal(t, 2, r.coolingDown)
			require.GreaterOrEqual(t, r.retryAfter, cooldown)
			require.LessOrEqual(t, r.retryAfter, time.Duration((1+cooldownJitter)*float64(longest)))
		})
	})
	t.Run("is over with its life", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newSignalFleet()
			f.Put(upstreamStartedAt(0))
			receiveAnswer(f, upstreamStartedAt(0).Instance(), time.Now(), refusalWithRetryAfter(time.Hour))
			f.Put(upstreamStartedAt(5000))
			require.NotNil(t, pickForCall(f))
		})
	})
}

func TestWordsOfPeersOnUpstreamsThatAreNotListedYet(t *testing.T) {
	for name, report := range map[string]func(f *Fleet){
		"that it leaves":            func(f *Fleet) { f.ReceiveLeaving("b", "u") },
		"that it takes no requests": func(f *Fleet) { f.ReceiveLimit("b", "u", RateLimit{Named: true}) },
		"both, one after the other": func(f *Fleet) { f.ReceiveLimit("b", "u", RateLimit{Named: true}); f.ReceiveLeaving("b", "u") },
		"and an older one after it": func(f *Fleet) { f.ReceiveLeaving("b", "u"); f.ReceiveLimit("b", "u", RateLimit{Age: time.Hour}) },
		"of a limit, told by two": func(f *Fleet) {
			f.ReceiveLimit("b", "u", RateLimit{Named: true})
			f.ReceiveLimit("c", "u", RateLimit{Named: true})
		},
		"of a limit, after some time": func(f *Fleet) { f.ReceiveLimit("b", "u", RateLimit{Named: true}); time.Sleep(5 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSignalFleet()
				report(f)
				f.Put(hollowgrade.Upstream{ID: "u", Service: "s", Address: "u:1", Slots: 4})
				require.Nil(t, pickForCall(f))
			})
		})
	}
}

func TestAReportTellsThatAnEngineLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSignalFleet("u")
		f.applyReport("u", "r", time.Now(), hollowgrade.Signals{Leaving: true})
		require.Nil(t, pickForCall(f))
		f.applyReport("another", "r", time.Now(), hollowgrade.Signals{Leaving: true})
	})
}

func TestTheLoadOfAnotherAtTheAddressIsNotTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSignalFleet("u")
		receiveAnswer(f, "u", time.Now(), hollowgrade.Head{Status: 421, NotRun: true, HasLoad: true,
			Load: hollowgrade.UpstreamLoad{Running: 3}, Signals: hollowgrade.Signals{Foreign: true}})
		require.Zero(t, f.members["u"].load)
	})
}

func TestWordsOnALimit(t *testing.T) {
	named := hollowgrade.Head{Status: 200, Signals: hollowgrade.Signals{Limited: true, Limit: 2}}
	t.Run("an answer to a call of before does not end it", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newSignalFleet("u")
			sent := time.Now()
			time.Sleep(time.Millisecond)
			receiveAnswer(f, "u", sent, named)
			time.Sleep(time.Millisecond)
			receiveAnswer(f, "u", sent, served)
			require.True(t, f.members["u"].limit.named)
		})
	})
	t.Run("an answer without it to a later call ends it", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newSignalFleet("u")
			time.Sleep(time.Millisecond)
			receiveAnswer(f, "u", time.Now(), named)
			time.Sleep(time.Millisecond)
			sent := time.Now()
			time.Sleep(time.Millisecond)
			receiveAnswer(f, "u", sent, served)
			require.NotNil(t, pickForCall(f))
			require.False(t, f.members["u"].limit.named)
		})
	})
	t.Run("an answer of another at its address says nothing", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newSignalFleet("u")
			time.Sleep(time.Millisecond)
			receiveAnswer(f, "u", time.Now(), named)
			time.Sleep(time.Second)
			receiveAnswer(f, "u", time.Now(), hollowgrade.Head{Status: 421, NotRun: true, Signals: hollowgrade.Signals{Foreign: true}})
			require.True(t, f.members["u"].limit.named)
		})
	})
	t.Run("an older word of a peer does not replace a newer one", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newSignalFleet("u")
			time.Sleep(time.Minute)
			receiveAnswer(f, "u", time.Now(), named)
			f.ReceiveLimit("b", "u", RateLimit{Age: time.Second})
			require.True(t, f.members["u"].limit.named)
			time.Sleep(2 * time.Second)
			f.ReceiveLimit("b", "u", RateLimit{Age: time.Second})
			require.False(t, f.members["u"].limit.named)
		})
	})
	t.Run("what was not sent is given back", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newSignalFleet("u")
			receiveAnswer(f, "u", time.Now(), named)
			time.Sleep(time.Minute)
			p := pickForCall(f)
			require.NotNil(t, p)
			f.refundLimits(p)
			require.Zero(t, f.members["u"].ownShare.Sent)
			require.NotNil(t, pickForCall(f))
		})
	})
	t.Run("callers get places one after another", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newSignalFleet("u")
			receiveAnswer(f, "u", time.Now(), named)
			apart := time.Duration(float64(time.Second) / f.members["u"].limit.rate())
			first := f.unavailability("s", nil).retryAfter
			require.InDelta(t, float64(first+apart), float64(f.unavailability("s", nil).retryAfter), float64(time.Microsecond))
			for range 100 {
				require.LessOrEqual(t, f.unavailability("s", nil).retryAfter, maxRetryAfter)
			}
		})
	})
}
