package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/platform/platformtest"
)

const (
	signalsConfig = `{"version":1,"routes":[
 {"name":"stream","host":"h","pathPrefix":"/stream/","kind":"streaming","resumable":true,"timeoutMs":9000,"goalLatencyMs":300,"gap_aim_ms":200,"maxAttempts":3,"service":"s"},
 {"name":"once","host":"h","pathPrefix":"/once/","kind":"unsafe","timeoutMs":9000,"goalLatencyMs":300,"maxAttempts":1,"service":"s"}],
 "services":[{"name":"s"}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"o","apiKeys":["k1"]}]}`
	signalsEvents = 60
	signalsPause  = 30 * time.Millisecond // before each event of an answer
	signalGap     = 20 * time.Millisecond // between two signals of a series
)

// drainSeries are orders in which signals arrive while requests are open. Each has one that begins a
// planned stop.
var drainSeries = [][]syscall.Signal{
	{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM},
	{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP},
	{syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGINT},
	{syscall.SIGINT, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP},
}

// stopSignals begin a planned stop. No other signal in otherSignals has an effect on requests.
var (
	stopSignals  = []syscall.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGQUIT, syscall.SIGABRT}
	otherSignals = []syscall.Signal{
		syscall.SIGHUP, syscall.SIGPIPE, syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGALRM, syscall.SIGVTALRM, syscall.SIGXCPU, syscall.SIGXFSZ,
		syscall.SIGCHLD, syscall.SIGURG, syscall.SIGWINCH, syscall.SIGIO, syscall.SIGPWR, syscall.SIGCONT,
	}
)

func seriesName(ss []syscall.Signal) string {
	return strings.ReplaceAll(strings.Trim(fmt.Sprint(ss), "[]"), " ", ", ")
}

// signalGateway is a gateway process with its settings file, and stand-ins for store and upstream.
type signalGateway struct {
	*process
	settings  string
	callers   string
	readiness string
	held      *os.File // a settings file that the process waits for
	path      string
}

// startHeld starts a gateway that waits for its settings until release is called: its settings file
// is a pipe.
func startHeld(t *testing.T) *signalGateway {
	t.Helper()
	s := platformtest.NewStore()
	t.Cleanup(s.Close)
	w := platformtest.NewWorker("i-0", platformtest.PacedStream(signalsEvents, signalsPause))
	t.Cleanup(w.Close)
	s.PutJSON("keyed.servers", w.ID, w.Record("s", "ready"))
	s.Put("keyed.op", "config", []byte(signalsConfig))
	g := &signalGateway{callers: platformtest.FreeAddress(t), readiness: platformtest.FreeAddress(t), path: filepath.Join(t.TempDir(), "gateway.toml")}
	g.settings = fmt.Sprintf("role = \"gateway\"\nbox = \"b\"\nhall = \"z\"\ncallers = %q\nreadiness = %q\nstore = %q\nlinger = \"200ms\"\n", g.callers, g.readiness, s.Address())
	require.NoError(t, syscall.Mkfifo(g.path, 0o600))
	g.process = start(t, binaries.hollowgrade, "gateway", "--config", g.path)
	var err error
	g.held, err = os.OpenFile(g.path, os.O_WRONLY, 0) // returns once the process reads
	require.NoError(t, err)
	t.Cleanup(func() { _ = g.held.Close() })
	return g
}

// layOut replaces the settings file by a plain one with further lines.
func (g *signalGateway) layOut(t *testing.T, more string) {
	t.Helper()
	next := g.path + ".next"
	require.NoError(t, os.WriteFile(next, []byte(g.settings+more), 0o600))
	require.NoError(t, os.Rename(next, g.path))
}

// release gives the process its settings, with further lines. Later readers find a plain file.
func (g *signalGateway) release(t *testing.T, more string) {
	t.Helper()
	g.layOut(t, more)
	g.releaseOnly(t, more)
}

// releaseOnly gives the process its settings and leaves the file as it is.
func (g *signalGateway) releaseOnly(t *testing.T, more string) {
	t.Helper()
	_, err := io.WriteString(g.held, g.settings+more)
	require.NoError(t, err)
	require.NoError(t, g.held.Close())
}

func (g *signalGateway) awaitReady(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool {
		res, err := http.Get("http://" + g.readiness + "/v1/readyz")
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		return res.StatusCode == http.StatusOK
	}, 20*time.Second, 10*time.Millisecond)
}

// send sends a request and returns its answer after the headers.
func (g *signalGateway) send(t *testing.T, path, id string) *http.Response {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+g.callers+path, strings.NewReader("hello"))
	require.NoError(t, err)
	r.Host = "h"
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", "8000")
	r.Header.Set("Authorization", "Bearer k1")
	res, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, res.StatusCode)
	return res
}

// sendSignals sends a series of signals, one shortly after the other.
func (p *process) sendSignals(t *testing.T, ss ...syscall.Signal) {
	t.Helper()
	for _, s := range ss {
		require.NoError(t, p.Process.Signal(s))
		time.Sleep(signalGap)
	}
}

// requireExit waits for the end of the process, which must come by itself with status 0.
func (p *process) requireExit(t *testing.T) {
	t.Helper()
	require.NoError(t, p.awaitExit(t))
}

// requireFailure waits for the end of the process, which must come by itself with another status than 0.
func (p *process) requireFailure(t *testing.T) {
	t.Helper()
	var e *exec.ExitError
	require.ErrorAs(t, p.awaitExit(t), &e)
	require.True(t, e.Exited(), e)
}

func (p *process) awaitExit(t *testing.T) (err error) {
	t.Helper()
	end := make(chan error, 1)
	go func() { end <- p.Wait() }()
	select {
	case err = <-end:
	case <-time.After(20 * time.Second):
		require.Fail(t, "process runs on")
	}
	return err
}

func requireWholeStream(t *testing.T, res *http.Response) {
	t.Helper()
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.Contains(t, string(b), platformtest.Event(signalsEvents))
}

// Guards against requests that are cut since a signal ends the process by its default action.
func TestSignalsInSeriesCutNoRequest(t *testing.T) {
	for _, ss := range drainSeries {
		t.Run("gateway: "+seriesName(ss), func(t *testing.T) {
			t.Parallel()
			g := startHeld(t)
			g.sendSignals(t, syscall.SIGHUP, syscall.SIGHUP) // at the start
			g.release(t, "")
			g.sendSignals(t, syscall.SIGHUP)
			g.awaitReady(t)
			stream, once := g.send(t, "/stream/x", "a1"), g.send(t, "/once/x", "a2")
			g.sendSignals(t, syscall.SIGHUP, syscall.SIGHUP) // while serving
			g.sendSignals(t, ss...)
			requireWholeStream(t, stream)
			requireWholeStream(t, once)
			g.requireExit(t)
		})
	}
	t.Run("gateway: a stop during the start", func(t *testing.T) {
		t.Parallel()
		g := startHeld(t)
		g.sendSignals(t, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM)
		g.release(t, "")
		g.requireExit(t)
	})
	for i, role := range []string{"entry", "agent"} {
		t.Run(role, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, 1, 1+i, step)
			res := f.complete(t, 0, "Extra time", longAnswerTokens)
			p := f.entries[0]
			if role == "agent" {
				p = f.agents[f.servingEngine(t)]
			}
			p.sendSignals(t, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP)
			requireAnswer(t, "Extra time", longAnswerTokens, res)
			p.requireExit(t)
		})
	}
}

// Guards against requests that are cut since the default action of a signal other than SIGKILL ends a
// process, from its start to its exit.
func TestDefaultActionOfNoSignalEndsAProcessThatServes(t *testing.T) {
	for _, stop := range stopSignals {
		t.Run("gateway: "+stop.String(), func(t *testing.T) {
			t.Parallel()
			g := startHeld(t)
			g.sendSignals(t, otherSignals...) // at the start
			g.release(t, "")
			g.awaitReady(t)
			g.sendSignals(t, otherSignals...) // while serving
			stream, once := g.send(t, "/stream/x", "a1"), g.send(t, "/once/x", "a2")
			g.sendSignals(t, stop)
			g.sendSignals(t, otherSignals...) // during the stop
			g.sendSignals(t, stopSignals...)
			requireWholeStream(t, stream)
			requireWholeStream(t, once)
			g.requireExit(t)
		})
		for i, role := range []string{"entry", "agent"} {
			t.Run(role+": "+stop.String(), func(t *testing.T) {
				t.Parallel()
				f := startFleet(t, 1, 1+i, step)
				res := f.complete(t, 0, "Extra time", longAnswerTokens)
				p := f.entries[0]
				if role == "agent" {
					p = f.agents[f.servingEngine(t)]
				}
				p.sendSignals(t, otherSignals...)
				p.sendSignals(t, stop)
				p.sendSignals(t, stopSignals...)
				p.sendSignals(t, syscall.SIGHUP, syscall.SIGPIPE)
				requireAnswer(t, "Extra time", longAnswerTokens, res)
				p.requireExit(t)
			})
		}
	}
}

// Guards against a planned stop that is as short as the settings said earlier.
func TestStopHasTheGraceOfTheChangedFile(t *testing.T) {
	t.Parallel()
	for name, signals := range map[string][]syscall.Signal{
		"without a signal":   {syscall.SIGTERM},
		"with a late signal": {syscall.SIGTERM, syscall.SIGHUP},
		"with a signal":      {syscall.SIGHUP, syscall.SIGTERM},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startHeld(t)
			g.release(t, "grace = \"2s\"\n") // shorter than the stream
			g.awaitReady(t)
			stream, once := g.send(t, "/stream/x", "a1"), g.send(t, "/once/x", "a2")
			g.layOut(t, "grace = \"8s\"\n")
			g.sendSignals(t, signals...)
			requireWholeStream(t, stream)
			requireWholeStream(t, once)
			g.requireExit(t)
		})
	}
}

// Guards against a changed file that is never read since it changed between the reading of the
// settings at the start and the first check for changes.
func TestSettingsThatChangeDuringTheStartAreReloaded(t *testing.T) {
	t.Parallel()
	g := startHeld(t)
	g.layOut(t, "key_freshness = \"7s\"\n")
	g.releaseOnly(t, "key_freshness = \"5s\"\n")
	defer time.AfterFunc(10*time.Second, func() { _ = g.Process.Kill() }).Stop()
	require.Equal(t, "7000", field(t, g.await(t, "settings reloaded"), "key_freshness_ms"))
}
