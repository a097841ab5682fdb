package callers

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
)

const (
	// shortStop is how long a planned stop with a grace of 2 s may take.
	shortStop = 1833 * time.Millisecond
	// longLinger leaves less than a second of it.
	longLinger = time.Second
	// longStop leaves the most time for final answers.
	longStop = 3 * time.Second
)

// stopWithin stops the server in a planned stop that may take d.
func stopWithin(s *Server, d time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	return s.Stop(ctx)
}

// sendHead sends the head of a request that does not end, one byte at an interval, until the connection
// ends.
func sendHead(c net.Conn, interval time.Duration) {
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\nX: ")
	for {
		time.Sleep(interval)
		if _, err := fmt.Fprint(c, "x"); err != nil {
			return
		}
	}
}

func linger(d time.Duration) Option {
	return WithLinger(func() time.Duration { return d })
}

// Guards against a planned stop that ends with connections open for the sake of heads that are
// incomplete.
func TestPlannedStopEndsIncompleteHeadsInTime(t *testing.T) {
	t.Run("that has stopped arriving", func(t *testing.T) {
		s, a := start(t, ok, linger(longLinger))
		c, in := dial(t, a)
		fmt.Fprint(c, "GET / HT")
		require.NoError(t, stopWithin(s, shortStop))
		requireTimeout(t, in)
	})
	t.Run("that arrives slowly", func(t *testing.T) {
		for _, interval := range []time.Duration{time.Millisecond, 15 * time.Millisecond} {
			s, a := start(t, ok, linger(longLinger))
			c, _ := dial(t, a)
			go sendHead(c, interval)
			require.NoError(t, stopWithin(s, shortStop), "a byte each %s", interval)
		}
	})
	t.Run("of many kept connections", func(t *testing.T) {
		l := watch(t)
		s, _ := startOn(t, l, ok, linger(longLinger))
		cs := keep(t, l, 100)
		for _, c := range cs {
			fmt.Fprint(c, "GET / HT")
		}
		require.NoError(t, stopWithin(s, shortStop))
		for _, c := range cs {
			requireTimeout(t, c.in)
		}
	})
	t.Run("but answers one that is completed before", func(t *testing.T) {
		s, a := start(t, ok, linger(longLinger))
		c, in := dial(t, a)
		fmt.Fprint(c, request[:len(request)-2])
		stopped := make(chan error, 1)
		go func() { stopped <- stopWithin(s, shortStop) }()
		require.Eventually(t, func() bool { return s.draining() != nil }, shortStop, time.Millisecond)
		time.Sleep(50 * time.Millisecond)
		fmt.Fprint(c, request[len(request)-2:])
		r, err := http.ReadResponse(in, nil)
		require.NoError(t, err)
		require.NoError(t, r.Body.Close())
		require.Equal(t, http.StatusOK, r.StatusCode)
		require.NoError(t, <-stopped)
	})
}

// Guards against a planned stop whose linger leaves no time to close connections that rest, nor to
// answer requests.
func TestLingerLeavesTimeToCloseConnections(t *testing.T) {
	t.Run("that rest", func(t *testing.T) {
		l := watch(t)
		s, _ := startOn(t, l, ok, linger(time.Hour))
		cs := keep(t, l, 100)
		require.NoError(t, stopWithin(s, shortStop))
		for _, c := range cs {
			requireEnd(t, c.in)
		}
	})
	t.Run("with heads that are incomplete", func(t *testing.T) {
		s, a := start(t, ok, linger(time.Hour))
		slow, slowIn := dial(t, a)
		fmt.Fprint(slow, "GET / HT")
		trickling, _ := dial(t, a)
		go sendHead(trickling, time.Millisecond)
		require.NoError(t, stopWithin(s, shortStop))
		_, err := io.Copy(io.Discard, slowIn)
		require.NoError(t, err)
	})
	t.Run("with requests that end when they are cancelled", func(t *testing.T) {
		s, a := start(t, func(w http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			w.WriteHeader(http.StatusServiceUnavailable)
		}, linger(time.Hour))
		c, in := dial(t, a)
		fmt.Fprint(c, request)
		require.NoError(t, stopWithin(s, longStop))
		r, err := http.ReadResponse(in, nil)
		require.NoError(t, err)
		require.NoError(t, r.Body.Close())
		require.Equal(t, http.StatusServiceUnavailable, r.StatusCode)
	})
}

// Guards against a planned stop that fails for the sake of connections without an open request.
func TestPlannedStopThatCutsNobodySucceeds(t *testing.T) {
	t.Run("while closing takes long", func(t *testing.T) {
		l := watch(t)
		s, a := startOn(t, l, ok)
		cs := keep(t, l, 3)
		slow, slowIn := dial(t, a)
		fmt.Fprint(slow, "GET / HT")
		require.Eventually(t, func() bool { return l.bytesRead(slow) > 0 }, 10*time.Second, time.Millisecond)
		open := l.closes.close()
		time.AfterFunc(shortStop+time.Second, open)
		require.NoError(t, stopWithin(s, shortStop))
		requireTimeout(t, slowIn)
		for _, c := range cs {
			requireEnd(t, c.in)
		}
	})
	t.Run("while the rest of a body that is refused is awaited", func(t *testing.T) {
		s, a := start(t, func(w http.ResponseWriter, r *http.Request) {
			if _, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 10)); err != nil {
				w.WriteHeader(http.StatusRequestEntityTooLarge)
			}
		})
		c, in := dial(t, a)
		fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\nmore than ten bytes")
		r, err := http.ReadResponse(in, nil)
		require.NoError(t, err)
		require.NoError(t, r.Body.Close())
		require.Equal(t, http.StatusRequestEntityTooLarge, r.StatusCode)
		require.NoError(t, stopWithin(s, 200*time.Millisecond))
	})
	t.Run("but one that cuts a request fails", func(t *testing.T) {
		block := make(chan struct{})
		defer close(block)
		entered := make(chan struct{})
		s, a := start(t, func(http.ResponseWriter, *http.Request) { close(entered); <-block })
		idle, idleIn := dial(t, a)
		_ = idle
		c, _ := dial(t, a)
		fmt.Fprint(c, request)
		<-entered
		require.ErrorIs(t, stopWithin(s, 200*time.Millisecond), context.DeadlineExceeded)
		requireEnd(t, idleIn)
	})
}

// Guards against a planned stop that waits for its next look at connections that are all closed.
func TestPlannedStopEndsWithTheLastConnection(t *testing.T) {
	release := make(chan struct{})
	entered := make(chan struct{})
	s, a := start(t, func(http.ResponseWriter, *http.Request) { close(entered); <-release }, WithClock(clockwork.NewFakeClock()))
	c, in := dial(t, a)
	fmt.Fprint(c, request)
	<-entered
	stopped := make(chan error, 1)
	go func() { stopped <- stopWithin(s, longStop) }()
	require.Eventually(t, func() bool { return s.draining() != nil }, longStop, time.Millisecond)
	begun := time.Now()
	close(release)
	require.NoError(t, readAnswer(c, in))
	require.NoError(t, <-stopped)
	require.Less(t, time.Since(begun), longStop/2, "no timer of the server's clock ends")
}

// Guards against a planned stop that outlasts its time for a last read of connections whose requests it
// has cancelled.
func TestConnectionsAreNotReadFromOnceRequestsAreCancelled(t *testing.T) {
	s, _ := start(t, ok)
	now := s.clock.Now()
	c := &conn{server: s, since: now}
	s.drain.Store(&drainTimes{headsUntil: now, cancelAt: now.Add(time.Second)})
	_, again := c.extend(now, lastReadTime)
	require.True(t, again, "before that")
	s.drain.Store(&drainTimes{headsUntil: now, cancelAt: now})
	_, again = (&conn{server: s, since: now}).extend(now.Add(time.Millisecond), lastReadTime)
	require.False(t, again)
}

// Guards against a planned stop that counts on time which has passed while its machine was suspended: the
// platform ends the process before its open requests have their final answers.
func TestPlannedStopOfAMachineThatIsSuspended(t *testing.T) {
	for name, lingers := range map[string]time.Duration{"while it lingers": longLinger, "while it waits": 0} {
		t.Run(name, func(t *testing.T) {
			begun, lost := time.Now(), atomic.Int64{}
			k := hollowgrade.NewWorldClock(hollowgrade.WithBootClock(func() (time.Duration, error) {
				return time.Since(begun) + time.Duration(lost.Load()), nil
			}))
			s, a := start(t, func(w http.ResponseWriter, r *http.Request) {
				<-r.Context().Done()
				if errors.Is(context.Cause(r.Context()), hollowgrade.ErrStopping) {
					w.WriteHeader(http.StatusServiceUnavailable)
				}
			}, linger(lingers), WithClock(k))
			c, in := dial(t, a)
			fmt.Fprint(c, request)
			require.Eventually(t, func() bool { return s.Active() == 1 }, longStop, time.Millisecond)
			stopped := make(chan error, 1)
			go func() { stopped <- stopWithin(s, longStop) }()
			time.Sleep(longStop / 10)
			lost.Store(int64(longStop))
			resumed := time.Now()
			require.Eventually(t, func() bool {
				p, ok := s.PlannedStop()
				return ok && p.Left < 0
			}, longStop/10, time.Millisecond)
			r, err := http.ReadResponse(in, nil)
			require.NoError(t, err)
			require.NoError(t, r.Body.Close())
			require.Equal(t, http.StatusServiceUnavailable, r.StatusCode)
			require.NoError(t, <-stopped)
			require.Less(t, time.Since(resumed), longStop/10)
		})
	}
}
