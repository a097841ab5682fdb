package node

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/platform/platformtest"
)

// At most maxRequestsInRetryAfter requests of a gateway may reach an upstream from retryAfterNoticed
// after a refusal until the end of its retry delay.
const (
	retryAfterNoticed       = 500 * time.Millisecond
	maxRequestsInRetryAfter = 2
)

// overloaded is an upstream that refuses requests with a retry delay while it is overloaded.
type overloaded struct {
	*recordingUpstream

	from, until atomic.Int64 // Unix ms
	retryAfter  time.Duration
	refusals    map[string][]time.Time // times of refusals, by gateway
}

// newOverloaded returns an upstream for a fleet that isn't started yet.
func newOverloaded(t *testing.T, id string, retryAfter time.Duration) *overloaded {
	s := &overloaded{retryAfter: retryAfter, refusals: map[string][]time.Time{}}
	s.recordingUpstream = newRecordingUpstream(t, id, serviceTime)
	calm := s.serve(serviceTime)
	s.SetBehaviour(func(w *platformtest.Worker, c net.Conn, r *http.Request) {
		if now := time.Now().UnixMilli(); now < s.from.Load() || now >= s.until.Load() {
			calm(w, c, r)
			return
		}
		s.refuse(c, r)
	})
	return s
}

func (s *overloaded) refuse(c net.Conn, r *http.Request) {
	now, gateway := time.Now(), r.Header.Get(gatewayHeader)
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{now, gateway})
	s.refusals[gateway] = append(s.refusals[gateway], now)
	s.mu.Unlock()
	fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nRetry-After: %s\r\nContent-Length: 0\r\n\r\n",
		r.Header.Get("Attempt-Id"), strconv.FormatFloat(s.retryAfter.Seconds(), 'f', -1, 64))
}

// overloadFor makes the upstream overloaded for some time.
func (s *overloaded) overloadFor(d time.Duration) {
	s.from.Store(time.Now().UnixMilli())
	s.until.Store(time.Now().Add(d).UnixMilli())
}

// peakInRetryAfter returns the most requests of one gateway that reached it within a retry delay.
func (s *overloaded) peakInRetryAfter() (most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for g, rs := range s.refusals {
		for _, at := range rs {
			most = max(most, s.countArrivals(g, at.Add(retryAfterNoticed), at.Add(s.retryAfter)))
		}
	}
	return most
}

// countArrivals counts the requests of a gateway between two times. The caller holds s.mu.
func (s *overloaded) countArrivals(gateway string, from, to time.Time) (n int) {
	for _, a := range s.arrivals {
		if a.gateway == gateway && a.at.After(from) && a.at.Before(to) {
			n++
		}
	}
	return n
}

// countAfter returns how many requests reached it within d after from.
func (s *overloaded) countAfter(from time.Time, d time.Duration) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.arrivals {
		if a.at.After(from) && a.at.Before(from.Add(d)) {
			n++
		}
	}
	return n
}

func newOverloadedFleet(t *testing.T, upstreams, gateways int, retryAfter time.Duration) (f *recordingFleet, ts []*overloaded) {
	var ms []*recordingUpstream
	for i := range upstreams {
		s := newOverloaded(t, fmt.Sprintf("i-%d", i), retryAfter)
		ts, ms = append(ts, s), append(ms, s.recordingUpstream)
	}
	return newFleetWith(t, gateways, ms), ts
}

// Guards against upstreams that attract calls by refusing them: an engine that refused calls with a
// retry delay of 3 s got nine calls a second, and had got none before.
func TestAnUpstreamThatAsksForRestIsLeftAlone(t *testing.T) {
	t.Run("one of four", func(t *testing.T) {
		t.Parallel()
		f, ts := newOverloadedFleet(t, 4, 3, 2500*time.Millisecond)
		ts[0].overloadFor(4 * time.Second)
		f.callers.runEvery(8*time.Second, 12500*time.Microsecond, f.call)
		f.callers.group.Wait()
		t.Logf("%d requests of one gateway within the retry delay, %.3f served, %v", ts[0].peakInRetryAfter(), f.servedRatio(), f.statuses)
		require.NotEmpty(t, ts[0].refusals)
		require.LessOrEqual(t, ts[0].peakInRetryAfter(), maxRequestsInRetryAfter)
		require.Positive(t, ts[0].countAfter(time.UnixMilli(ts[0].until.Load()), 4*time.Second), "it is used again")
		require.GreaterOrEqual(t, f.servedRatio(), 0.97, "a call has one attempt, and each gateway needs some refusals to learn of the delay")
	})
	t.Run("all of a service", func(t *testing.T) {
		t.Parallel()
		f, ts := newOverloadedFleet(t, 3, 3, 2*time.Second)
		for _, s := range ts {
			s.overloadFor(1900 * time.Millisecond)
		}
		begin := time.Now()
		f.callers.runEvery(5*time.Second, 12500*time.Microsecond, f.call)
		f.callers.group.Wait()
		t.Logf("%v, slowest refusal %s, %d without a retry delay", f.statuses, f.slowestRefusal, f.withoutRetryAfter)
		for _, s := range ts {
			require.LessOrEqual(t, s.peakInRetryAfter(), maxRequestsInRetryAfter)
		}
		require.Zero(t, f.withoutRetryAfter)
		require.Less(t, f.slowestRefusal, 500*time.Millisecond)
		served := 0
		for _, s := range ts {
			served += s.countAfter(begin.Add(2*time.Second), 3*time.Second)
		}
		require.GreaterOrEqual(t, served, 120, "half of the calls after the retry delay")
	})
}
