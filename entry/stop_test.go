package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/agent"
	"github.com/hollowgrade/hollowgrade/config"
	"github.com/hollowgrade/hollowgrade/fault"
	"github.com/hollowgrade/hollowgrade/fold"
	"github.com/hollowgrade/hollowgrade/internal/standin"
)

// slowService answers each call after a time.
type slowService struct {
	took  time.Duration
	calls chan string // receives the path of each call
}

// Do implements [hollowgrade.Service].
func (s slowService) Do(r *http.Request) (*http.Response, error) {
	s.calls <- r.URL.Path
	select {
	case <-time.After(s.took):
		return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("done"))}, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// compiledConfig returns a configuration with a service "s" and a key "k", whose calls may be repeated and take
// ten seconds.
func compiledConfig(t *testing.T) *config.Config {
	t.Helper()
	l := standin.NewLog(0, hollowgrade.SystemClock())
	put := func(kind, name string, body any) {
		_, err := config.Publish(t.Context(), l, kind, name, body, config.CurrentRevision)
		require.NoError(t, err)
	}
	put(config.OrganisationKind, "o", config.Organisation{Name: "o", Keys: []string{config.KeyDigest("k")}})
	put(config.ServiceKind, "s", config.Service{Name: "s"})
	put(config.PolicyKind, config.DefaultPolicy, config.Policy{
		Name: config.DefaultPolicy,
		Text: `{class: "instant", priority: 0, allowed: duration("10s"), may_wait: true, repeatable: true, share: 1.0}`,
	})
	s, err := fold.Load(t.Context(), l)
	require.NoError(t, err)
	c, es := config.Compile(s, nil)
	require.Empty(t, es)
	return c
}

// startEntry starts an entry in front of an agent with a service, and returns its base URL for callers.
func startEntry(t *testing.T, s hollowgrade.Service, lingers time.Duration) (e *Entry, url string) {
	t.Helper()
	g := WithLogger(log.New(io.Discard))
	al, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b := hollowgrade.Box{Name: "a", Role: hollowgrade.AgentRole, Hall: "h", Peer: al.Addr().String(), State: hollowgrade.BoxLive}
	als := agent.DefaultLimits()
	als.Linger = 0
	a := agent.New(b, "i", al, agent.WithLogger(log.New(io.Discard)), agent.WithLimits(als), agent.WithService("s", s))
	require.NoError(t, a.Start(t.Context(), nil))
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = a.Stop(ctx) // a call may be open still
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	limits := DefaultLimits()
	limits.Linger = lingers
	agents := func(context.Context) []hollowgrade.Box { return []hollowgrade.Box{b} }
	e = New(hollowgrade.Box{Name: "e", Hall: "h"}, "i", l, agents, g, WithLimits(limits))
	e.SetConfig(compiledConfig(t))
	require.NoError(t, e.Start(t.Context(), nil))
	require.Eventually(t, func() bool { ok, _ := e.Ready(); return ok }, 10*time.Second, time.Millisecond)
	return e, "http://" + l.Addr().String()
}

// callEntry calls the service through the entry and returns the status and the body.
func callEntry(t *testing.T, url, path string) (status int, body string, err error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url+ServicesPath+"s"+path, nil)
	require.NoError(t, err)
	r.Header.Set("Authorization", "Bearer k")
	a, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0, "", err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return a.StatusCode, string(b), err
}

// stopEntry stops an entry within a grace, in the background.
func stopEntry(e *Entry, grace time.Duration) (stopped chan error) {
	stopped = make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), grace)
		defer cancel()
		stopped <- e.Stop(ctx)
	}()
	return stopped
}

// Guards against requests that an entry takes during the linger of a planned stop, and that the stop cuts.
func TestRequestTakenDuringTheLingerOfAnEntryIsNotCut(t *testing.T) {
	const took, lingers, grace = time.Second, 400 * time.Millisecond, 900 * time.Millisecond
	s := slowService{took, make(chan string, 10)}
	e, url := startEntry(t, s, lingers)
	st, body, err := callEntry(t, url, "/before")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, st, body)
	stopped := stopEntry(e, grace)
	require.Eventually(t, func() bool { ok, _ := e.Ready(); return !ok }, lingers/2, time.Millisecond)
	st, body, err = callEntry(t, url, "/during")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, st, body)
	require.Contains(t, body, fault.Draining)
	require.Contains(t, body, hollowgrade.NotRun)
	require.NoError(t, <-stopped)
	require.Equal(t, "/before", <-s.calls)
	require.Empty(t, s.calls)
}

// Guards against requests that are open at the end of a planned stop of an entry and get no answer.
func TestRequestThatIsOpenAtTheEndOfAStopOfAnEntryIsAnswered(t *testing.T) {
	const grace = 900 * time.Millisecond
	s := slowService{10 * grace, make(chan string, 10)}
	e, url := startEntry(t, s, grace/10)
	type answer struct {
		status int
		body   string
		err    error
	}
	got := make(chan answer, 1)
	go func() {
		st, body, err := callEntry(t, url, "/open")
		got <- answer{st, body, err}
	}()
	require.Equal(t, "/open", <-s.calls)
	require.NoError(t, <-stopEntry(e, grace))
	a := <-got
	require.NoError(t, a.err)
	require.Equal(t, http.StatusBadGateway, a.status, a.body)
	require.NotContains(t, a.body, hollowgrade.NotRun, "the service may run it")
}
