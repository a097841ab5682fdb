package core

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/fault"
)

// suspendable simulates a machine that can be suspended, in virtual time.
type suspendable struct {
	started   time.Time
	suspended atomic.Int64
	*hollowgrade.WorldClock
}

func newSuspendable() *suspendable {
	s := &suspendable{started: time.Now()}
	s.WorldClock = hollowgrade.NewWorldClock(hollowgrade.WithBootClock(func() (time.Duration, error) {
		return time.Since(s.started) + time.Duration(s.suspended.Load()), nil
	}))
	return s
}

// suspend suspends the machine: no time passes on its monotonic clock.
func (s *suspendable) suspend(d time.Duration) {
	s.suspended.Add(int64(d))
}

// core returns a core on the machine, whose configuration was confirmed just now.
func (s *suspendable) core(f *fakeUpstreams) *Core {
	confirmed := s.Now()
	c := newCore(f, WithClock(s.WorldClock), WithAge(func() (time.Duration, bool) { return s.Since(confirmed), true }))
	s.OnSuspension(func(time.Duration) { c.Resume() })
	return c
}

func (s *suspendable) call(path string) hollowgrade.Call {
	k := call(path)
	k.Arrived = s.Now()
	return k
}

func TestMachineThatIsSuspended(t *testing.T) {
	t.Run("takes no key for good that may have been revoked meanwhile", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s, f := newSuspendable(), &fakeUpstreams{replies: []reply{status(200, "yes")}}
			c := s.core(f)
			require.NoError(t, c.Serve(context.Background(), s.call("/again/"), &fakeSink{}))
			s.suspend(10 * time.Second)
			err := c.Serve(context.Background(), s.call("/again/"), &fakeSink{})
			requireFault(t, fault.As(err, hollowgrade.Unknown), fault.StaleConfig, hollowgrade.NotRun)
			require.Len(t, f.sentCalls(), 1)
		})
	})
	t.Run("ends calls whose time has passed meanwhile", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s, f := newSuspendable(), &fakeUpstreams{replies: []reply{unresponsive}}
			c := s.core(f)
			begin := time.Now()
			go func() {
				time.Sleep(time.Second)
				s.suspend(10 * time.Second)
				hollowgrade.CheckSuspension(s.WorldClock)
			}()
			err := c.Serve(context.Background(), s.call("/single/"), &fakeSink{})
			requireFault(t, fault.As(err, hollowgrade.Unknown), fault.DeadlinePassed, hollowgrade.Unknown)
			require.Less(t, time.Since(begin), 1500*time.Millisecond, "on the steady clock; for its caller 5 s have passed")
			require.Empty(t, c.flows)
		})
	})
	t.Run("ends others in time, no later than they would have", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s, f := newSuspendable(), &fakeUpstreams{replies: []reply{unresponsive}}
			c := s.core(f)
			begin := s.Now()
			go func() {
				time.Sleep(time.Second)
				s.suspend(2 * time.Second)
				hollowgrade.CheckSuspension(s.WorldClock)
			}()
			err := c.Serve(context.Background(), s.call("/single/"), &fakeSink{})
			requireFault(t, fault.As(err, hollowgrade.Unknown), fault.DeadlinePassed, hollowgrade.Unknown)
			require.InDelta(t, 5, s.Since(begin).Seconds(), 0.2)
		})
	})
	t.Run("trusts no load that others told before", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s, f := newSuspendable(), &fakeUpstreams{replies: []reply{status(200, "yes")}}
			c := s.core(f)
			c.Fleet().ReceiveView("b", map[hollowgrade.Instance]Share{"u1": {Open: 5}}, true)
			s.suspend(10 * time.Second)
			hollowgrade.CheckSuspension(s.WorldClock)
			_ = c.Serve(context.Background(), s.call("/public/"), &fakeSink{})
			require.Zero(t, c.Fleet().SyncedPeers())
		})
	})
}

// Guards against callbacks of the clock that wait for the lock of the core on the stack of the caller that
// holds it: a gateway hung there for good.
func TestSuspensionThatIsFoundWithTheLockHeld(t *testing.T) {
	u := hollowgrade.Upstream{ID: "unlisted"}
	for name, f := range map[string]func(c *Core, suspend func()){
		"by a probe": func(c *Core, suspend func()) {
			suspend()
			c.probeOf(u.Instance(), time.Time{})
		},
		"at the end of a watch": func(c *Core, suspend func()) {
			c.keepWatch(u, "c", probeResult{}, suspend) // it ends at once, since the upstream is not listed
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSuspendable()
			c := s.core(&fakeUpstreams{})
			done, resumed := make(chan struct{}), make(chan struct{})
			s.OnSuspension(func(time.Duration) { close(resumed) })
			go func() {
				defer close(done)
				f(c, func() {
					s.suspend(10 * time.Second)
					time.Sleep(50 * time.Millisecond) // until the clock checks again
				})
			}()
			requireCloses(t, done)
			requireCloses(t, resumed)
		})
	}
}

// requireCloses checks that a channel is closed within some seconds.
func requireCloses(t *testing.T, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(5 * time.Second):
		require.FailNow(t, "it hangs")
	}
}
