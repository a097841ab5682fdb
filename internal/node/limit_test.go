package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/platform/platformtest"
)

// The users' rule: in any window an upstream that names a limit may get limitFactor times the
// limit, and limitExtra requests more.
const (
	limitWindow     = 4 * time.Second
	limitFactor     = 1.5
	limitExtra      = 5
	limitSettleTime = 3 * time.Second // after the limit is first named, until the rule is checked
	limitNoticed    = 500 * time.Millisecond
	// minLimitUse is the least part of the allowed requests that has to be served when there are more
	// calls.
	minLimitUse = 0.5
)

// gatewayHeader is the header by which callers name the gateway that they call.
const gatewayHeader = "X-Through"

// recordingUpstream is an upstream that may name a limit, and records the requests that reach it.
type recordingUpstream struct {
	*platformtest.Worker

	mu          sync.Mutex
	limit       float64
	announcedAt time.Time            // when it first named a limit or reported that it leaves
	informedAt  map[string]time.Time // when each gateway first got an answer after that
	arrivals    []arrival
}

// serviceTime is the time that it takes to serve a request.
const serviceTime = 15 * time.Millisecond

// arrival is a request that reached an upstream.
type arrival struct {
	at      time.Time
	gateway string
}

func newRecordingUpstream(t *testing.T, id string, work time.Duration) *recordingUpstream {
	m := &recordingUpstream{informedAt: map[string]time.Time{}}
	m.Worker = platformtest.NewWorker(id, m.serve(work))
	t.Cleanup(m.Close)
	return m
}

// serve records a request and answers it after the given time.
func (m *recordingUpstream) serve(work time.Duration) platformtest.Behaviour {
	return func(w *platformtest.Worker, c net.Conn, r *http.Request) {
		g := r.Header.Get(gatewayHeader)
		m.mu.Lock()
		m.arrivals = append(m.arrivals, arrival{time.Now(), g})
		m.mu.Unlock()
		time.Sleep(work)
		m.recordAnswer(g)
		platformtest.Answer(http.StatusOK, w.ID)(w, c, r)
	}
}

// recordAnswer records that a gateway is about to get an answer.
func (m *recordingUpstream) recordAnswer(gateway string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.informedAt[gateway]; !ok && !m.announcedAt.IsZero() {
		m.informedAt[gateway] = time.Now()
	}
}

// setLimit sets the limit that all answers name from now on.
func (m *recordingUpstream) setLimit(limit float64) {
	m.SetHeaders(http.Header{"Server-Limit": {strconv.FormatFloat(limit, 'f', -1, 64)}})
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limit = limit
	if m.announcedAt.IsZero() {
		m.announcedAt = time.Now()
	}
}

// peakRequests returns the most requests that reached it within a window from gateways that knew
// its limit, and its requests per second since it first named the limit.
func (m *recordingUpstream) peakRequests() (n int, perSecond float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	since := 0
	for i, a := range m.arrivals {
		if a.at.After(m.announcedAt) {
			since++
		}
		if a.at.Sub(m.announcedAt) < limitSettleTime {
			continue
		}
		in := 0
		for _, b := range m.arrivals[:i+1] {
			if t, ok := m.informedAt[b.gateway]; ok && a.at.Sub(t) >= limitNoticed && a.at.Sub(b.at) < limitWindow {
				in++
			}
		}
		n = max(n, in)
	}
	return n, float64(since) / time.Since(m.announcedAt).Seconds()
}

// requireLimitKept checks that an upstream got no more than its limit allows, and at
// least minLimitUse of it.
func requireLimitKept(t *testing.T, m *recordingUpstream) {
	t.Helper()
	n, rate := m.peakRequests()
	t.Logf("%s: %d in %s at a limit of %g a second, %.2f a second since it was named", m.ID, n, limitWindow, m.limit, rate)
	require.LessOrEqual(t, float64(n), limitFactor*m.limit*limitWindow.Seconds()+limitExtra)
	require.GreaterOrEqual(t, rate, minLimitUse*m.limit)
}

// recordingFleet has the upstreams of one service, some gateways and their callers.
type recordingFleet struct {
	fixture   *fixture
	upstreams []*recordingUpstream
	callers   *callerGroup
	ids       atomic.Int64

	mu                sync.Mutex
	statuses          map[int]int
	slowestRefusal    time.Duration // time until it is answered
	withoutRetryAfter int           // refusals without a retry delay
}

func newRecordingFleet(t *testing.T, upstreams, gateways int) *recordingFleet {
	var ms []*recordingUpstream
	for i := range upstreams {
		ms = append(ms, newRecordingUpstream(t, fmt.Sprintf("i-%d", i), serviceTime))
	}
	return newFleetWith(t, gateways, ms)
}

// newFleetWith starts gateways with the given upstreams.
func newFleetWith(t *testing.T, gateways int, ms []*recordingUpstream) *recordingFleet {
	f := &recordingFleet{fixture: newFixture(t), statuses: map[int]int{}, upstreams: ms}
	for _, m := range ms {
		f.fixture.store.PutJSON("keyed.servers", m.ID, m.Record("s", "ready"))
	}
	f.callers = newCallerGroup(t, f.fixture.store, gateways)
	for _, g := range f.callers.gateways {
		require.Eventually(t, func() bool { return g.Core.Fleet().Size() == len(ms) }, 20*time.Second, 5*time.Millisecond)
	}
	return f
}

// call sends a request to the gateways in turn.
func (f *recordingFleet) call() {
	n := int(f.ids.Add(1))
	g := f.callers.gateways[n%len(f.callers.gateways)]
	r, err := http.NewRequest(http.MethodPost, "http://"+g.callersAddress+"/once/x", strings.NewReader("hello"))
	if err != nil {
		return
	}
	r.Host = "h"
	for k, v := range map[string]string{"Attempt-Id": fmt.Sprint("m", n), "Deadline-Ms": "4000", "Authorization": "Bearer k1", gatewayHeader: g.callersAddress} {
		r.Header.Set(k, v)
	}
	begin := time.Now()
	a, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		return
	}
	defer a.Body.Close()
	_, _ = io.Copy(io.Discard, a.Body) // the upstream's id
	f.recordAnswer(a, time.Since(begin))
}

func (f *recordingFleet) recordAnswer(a *http.Response, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.statuses[a.StatusCode]++
	if a.StatusCode == http.StatusOK {
		return
	}
	f.slowestRefusal = max(f.slowestRefusal, took)
	if d, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64); err != nil || d <= 0 {
		f.withoutRetryAfter++
	}
}

// servedRatio returns the ratio of the calls that were served.
func (f *recordingFleet) servedRatio() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := 0
	for _, n := range f.statuses {
		all += n
	}
	return float64(f.statuses[http.StatusOK]) / float64(max(all, 1))
}

// Guards against a limit that gateways ignore or apply each for itself: two of six engines named
// 1.4 requests a second and got 5 and 6 from five gateways.
func TestALimitOfAnUpstreamHoldsForAllGatewaysTogether(t *testing.T) {
	const callEvery = 20 * time.Millisecond
	t.Run("two of six upstreams name one", func(t *testing.T) {
		t.Parallel()
		f := newRecordingFleet(t, 6, 5)
		f.upstreams[0].setLimit(1.4)
		f.upstreams[1].setLimit(1.4)
		f.callers.runEvery(9*time.Second, callEvery, f.call)
		f.callers.group.Wait()
		requireLimitKept(t, f.upstreams[0])
		requireLimitKept(t, f.upstreams[1])
		require.GreaterOrEqual(t, f.servedRatio(), 0.99, "the others have room: %v", f.statuses)
	})
	t.Run("all upstreams name one, of less than the gateways are", func(t *testing.T) {
		t.Parallel()
		f := newRecordingFleet(t, 3, 5)
		for _, m := range f.upstreams {
			m.setLimit(1.4)
		}
		f.callers.runEvery(9*time.Second, callEvery, f.call)
		f.callers.group.Wait()
		for _, m := range f.upstreams {
			requireLimitKept(t, m)
		}
		t.Logf("statuses %v, slowest refusal %s", f.statuses, f.slowestRefusal)
		require.Zero(t, f.withoutRetryAfter, "all refusals have a retry delay")
		require.Less(t, f.slowestRefusal, 500*time.Millisecond, "calls that can't be served are refused at once")
	})
	t.Run("a gateway that starts later knows it", func(t *testing.T) {
		t.Parallel()
		f := newRecordingFleet(t, 1, 2)
		f.upstreams[0].setLimit(0.5)
		f.callers.runEvery(4*time.Second, callEvery, f.call)
		f.callers.group.Wait()
		f.callers.gateways = append(f.callers.gateways, startGateway(t, f.fixture.store.Address(), nil))
		g := f.callers.gateways[2]
		g.waitReady(t)
		require.Eventually(t, func() bool { return g.Core.Fleet().SyncedPeers() == 2 }, 20*time.Second, 5*time.Millisecond)
		f.callers.gateways = []*gateway{g}
		f.callers.runEvery(4*time.Second, callEvery, f.call)
		f.callers.group.Wait()
		m := f.upstreams[0]
		m.recordAnswer(g.callersAddress)
		m.informedAt[g.callersAddress] = m.announcedAt // it has to know the limit without an answer
		requireLimitKept(t, m)
	})
	t.Run("it holds until answers name it no longer", func(t *testing.T) {
		t.Parallel()
		f := newRecordingFleet(t, 2, 3)
		f.upstreams[0].setLimit(0)
		f.callers.runEvery(3*time.Second, callEvery, f.call)
		f.callers.group.Wait()
		f.upstreams[0].SetHeaders(nil)
		before := len(f.upstreams[0].Requests())
		f.callers.runEvery(15*time.Second, callEvery, f.call)
		f.callers.group.Wait()
		after := len(f.upstreams[0].Requests()) - before
		t.Logf("%d calls at a limit of none, %d in 15 s after", before, after)
		require.LessOrEqual(t, before, limitExtra+len(f.callers.gateways))
		require.Greater(t, after, 50, "its half of the calls is 375")
	})
}
