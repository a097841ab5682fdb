package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/internal/standin"
	"github.com/hollowgrade/hollowgrade/upstream"
)

// binaries holds the paths of the commands, which are built once for all tests of this package.
var binaries struct {
	hollowgrade, standin string
}

func TestMain(m *testing.M) {
	d, err := os.MkdirTemp("", "hollowgrade")
	if err != nil {
		panic(err)
	}
	binaries.hollowgrade = filepath.Join(d, "hollowgrade")
	binaries.standin = filepath.Join(d, "hollowgrade-standin")
	for _, b := range []string{binaries.hollowgrade, binaries.standin} {
		c := exec.Command("go", "build", "-o", b, "../"+filepath.Base(b))
		if out, err := c.CombinedOutput(); err != nil {
			panic(fmt.Sprintf("%v: %s", err, out))
		}
	}
	code := m.Run()
	_ = os.RemoveAll(d)
	os.Exit(code)
}

// process is a child process whose output can be awaited line by line.
type process struct {
	*exec.Cmd
	lines chan string
	out   io.Closer // the reader of its output
}

func start(t testing.TB, path string, args ...string) *process {
	t.Helper()
	p := &process{Cmd: exec.Command(path, args...), lines: make(chan string, 4096)}
	out, err := p.StdoutPipe()
	require.NoError(t, err)
	p.out = out
	p.Stderr = p.Stdout
	require.NoError(t, p.Start())
	go func() {
		defer close(p.lines)
		for s := bufio.NewScanner(out); s.Scan(); {
			select {
			case p.lines <- s.Text():
			default: // drop the line: a full buffer must not block the process
			}
		}
	}()
	t.Cleanup(func() {
		_ = p.Process.Kill()
		_ = p.Wait()
		if t.Failed() {
			p.logLines(t)
		}
	})
	return p
}

// logLines logs the lines of the process that nobody has awaited.
func (p *process) logLines(t testing.TB) {
	t.Helper()
	for l := range p.lines {
		t.Logf("%d: %s", p.Process.Pid, l)
	}
}

// await returns the first line that contains the text.
func (p *process) await(t testing.TB, text string) string {
	t.Helper()
	for l := range p.lines {
		if strings.Contains(l, text) {
			return l
		}
	}
	require.Fail(t, "process ended before its line", "%s: %s", p.Path, text)
	return ""
}

// field returns a field of a JSON line.
func field(t testing.TB, line, name string) string {
	t.Helper()
	var m map[string]any
	require.NoError(t, json.Unmarshal([]byte(line), &m))
	return fmt.Sprint(m[name])
}

// fleet is a whole fleet of which each part is a separate process.
type fleet struct {
	platform string
	entries  []*process
	agents   []*process
	engines  []*process
	urls     []string // of engines
	callers  []string // base URLs of entries
	killed   map[int]bool
}

// startFleet starts entries, and engines with an agent each.
func startFleet(t testing.TB, entries, engines int, step string) *fleet {
	t.Helper()
	f := newFleet(t)
	for i := range engines {
		f.addEngine(t, i, step)
	}
	f.publish(t)
	for i := range entries {
		f.addEntry(t, i)
	}
	f.awaitReady(t)
	return f
}

// newFleet starts the stand-in for the platform.
func newFleet(t testing.TB) *fleet {
	t.Helper()
	return &fleet{platform: start(t, binaries.standin, "platform").await(t, "http://"), killed: map[int]bool{}}
}

// addEntry starts an entry.
func (f *fleet) addEntry(t testing.TB, i int) {
	t.Helper()
	e := start(t, binaries.hollowgrade, "entry", "--box", fmt.Sprint("entry-", i), "--hall", "hall-1", "--callers", "127.0.0.1:0",
		"--platform-log", f.platform, "--platform-list", f.platform, "--log-poll", "50ms", "--linger", "1s")
	f.entries = append(f.entries, e)
	f.callers = append(f.callers, "http://"+field(t, e.await(t, "entry starts"), "callers"))
}

// addEngine starts an engine with an agent and returns the agent's peer address.
func (f *fleet) addEngine(t testing.TB, i int, step string) (peers string) {
	t.Helper()
	e := start(t, binaries.standin, "engine", "--step", step)
	u := e.await(t, "http://")
	box := fmt.Sprint("worker-", i)
	a := start(t, binaries.hollowgrade, "agent", "--box", box, "--hall", "hall-1", "--peers", "127.0.0.1:0", "--max-running", "128",
		"--platform-log", f.platform, "--platform-list", f.platform, "--engine", u, "--models", "copy-1", "--log-poll", "50ms")
	f.engines, f.agents, f.urls = append(f.engines, e), append(f.agents, a), append(f.urls, u)
	peers = field(t, a.await(t, "agent starts"), "peers")
	registerBox(t, f.platform, hollowgrade.Box{Name: box, Role: hollowgrade.AgentRole, Hall: "hall-1", Peer: peers, State: hollowgrade.BoxLive})
	return peers
}

func registerBox(t testing.TB, platform string, b hollowgrade.Box) {
	t.Helper()
	j, err := json.Marshal(b)
	require.NoError(t, err)
	r, err := http.NewRequest(http.MethodPut, platform+"/boxes", bytes.NewReader(j))
	require.NoError(t, err)
	res, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	require.Equal(t, http.StatusOK, res.StatusCode)
}

// publish publishes the example policy and an organisation with the operators' commands.
func (f *fleet) publish(t testing.TB) {
	t.Helper()
	runCommand(t, "policy", "publish", "--platform-log", f.platform, "default", "../../examples/policies/korrigan.expr")
	runCommand(t, "config", "publish", "--platform-log", f.platform, "../../examples/local/fleet.toml")
}

func runCommand(t testing.TB, args ...string) string {
	t.Helper()
	out, err := exec.Command(binaries.hollowgrade, args...).CombinedOutput()
	require.NoError(t, err, string(out))
	return string(out)
}

// awaitReady polls the readiness path until each entry is connected. Each response is awaited, so
// the rate of the loop is bounded.
func (f *fleet) awaitReady(t testing.TB) {
	t.Helper()
	for _, c := range f.callers {
		for !ready(t, c) {
			continue
		}
	}
}

func ready(t testing.TB, callers string) bool {
	t.Helper()
	res, err := http.Get(callers + "/healthz/ready")
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	return res.StatusCode == http.StatusOK
}

// servingEngine polls the engines until one holds a sequence, and returns its number.
func (f *fleet) servingEngine(t testing.TB) int {
	t.Helper()
	for {
		for i, u := range f.urls {
			if f.killed[i] {
				continue
			}
			hs, err := upstream.NewEngine(u, http.DefaultTransport).Holdings(context.Background())
			require.NoError(t, err)
			if len(hs) > 0 {
				return i
			}
		}
	}
}

func (f *fleet) complete(t testing.TB, entry int, prompt string, tokens int) *http.Response {
	t.Helper()
	b := fmt.Sprintf(`{"model":"copy-1","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, tokens)
	r, err := http.NewRequest(http.MethodPost, f.callers[entry]+"/v1/completions", strings.NewReader(b))
	require.NoError(t, err)
	r.Header.Set("Authorization", "Bearer demo-key-club-1")
	r.Header.Set("Hollowgrade-Kind", "segment")
	res, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	return res
}

// readText reads a stream to its end and returns its text.
func readText(t *testing.T, r io.Reader) string {
	t.Helper()
	var b strings.Builder
	for s := bufio.NewScanner(r); s.Scan(); {
		d, ok := strings.CutPrefix(s.Text(), "data: ")
		if !ok {
			continue
		}
		if d == "[DONE]" {
			return b.String()
		}
		var e struct {
			Choices []struct{ Text string }
		}
		require.NoError(t, json.Unmarshal([]byte(d), &e), d)
		require.Len(t, e.Choices, 1, d)
		b.WriteString(e.Choices[0].Text)
	}
	require.Fail(t, "the stream ended without its mark", b.String())
	return ""
}

func requireAnswer(t *testing.T, prompt string, tokens int, res *http.Response) {
	t.Helper()
	defer res.Body.Close()
	require.Equal(t, http.StatusOK, res.StatusCode)
	require.Equal(t, standin.Answer(prompt, tokens), readText(t, res.Body))
}

// firstEvent waits for the first event, so that the stream is in progress afterwards.
func firstEvent(t *testing.T, res *http.Response) io.Reader {
	t.Helper()
	b := bufio.NewReader(res.Body)
	_, err := b.Peek(1)
	require.NoError(t, err)
	return b
}

const (
	step             = "8ms"
	longAnswerTokens = 300 // tokens of an answer that is still running when a signal arrives
	killRounds       = 3
)

func TestProcesses(t *testing.T) {
	t.Run("a stream passes through entry, agent and engine", func(t *testing.T) {
		f := startFleet(t, 1, 1, step)
		requireAnswer(t, "Who scored?", 12, f.complete(t, 0, "Who scored?", 12))
	})
	t.Run("SIGTERM of an entry cuts off no stream", func(t *testing.T) {
		f := startFleet(t, 1, 1, step)
		res := f.complete(t, 0, "Final whistle", longAnswerTokens)
		require.NoError(t, f.entries[0].Process.Signal(syscall.SIGTERM))
		requireAnswer(t, "Final whistle", longAnswerTokens, res)
		f.entries[0].await(t, "stopped")
	})
	t.Run("SIGTERM of an agent cuts off no stream", func(t *testing.T) {
		f := startFleet(t, 1, 2, step)
		res := f.complete(t, 0, "Second half", longAnswerTokens)
		n := f.servingEngine(t)
		require.NoError(t, f.agents[n].Process.Signal(syscall.SIGTERM))
		requireAnswer(t, "Second half", longAnswerTokens, res)
		f.agents[n].await(t, "stopped")
	})
	for _, victim := range []string{"agent", "engine"} {
		t.Run("SIGKILL of the "+victim+" that serves, three times, in the middle of a stream", func(t *testing.T) {
			f := startFleet(t, 1, killRounds+1, step)
			for i := range killRounds {
				prompt := fmt.Sprint("Round ", i)
				res := f.complete(t, 0, prompt, longAnswerTokens)
				require.Equal(t, http.StatusOK, res.StatusCode)
				b := firstEvent(t, res)
				n := f.servingEngine(t)
				p := f.agents[n]
				if victim == "engine" {
					p = f.engines[n]
				}
				require.NoError(t, p.Process.Kill())
				f.killed[n] = true
				require.Equal(t, standin.Answer(prompt, longAnswerTokens), readText(t, b))
				require.NoError(t, res.Body.Close())
			}
		})
	}
	t.Run("SIGSTOP of an agent, and SIGCONT", func(t *testing.T) {
		f := startFleet(t, 1, 2, step)
		res := f.complete(t, 0, "Half time", longAnswerTokens)
		b := firstEvent(t, res)
		n := f.servingEngine(t)
		require.NoError(t, f.agents[n].Process.Signal(syscall.SIGSTOP))
		// The stream continues elsewhere or waits for the agent; either way it
		// is complete. A new one is answered meanwhile.
		requireAnswer(t, "Meanwhile", 12, f.complete(t, 0, "Meanwhile", 12))
		require.NoError(t, f.agents[n].Process.Signal(syscall.SIGCONT))
		require.Equal(t, standin.Answer("Half time", longAnswerTokens), readText(t, b))
		require.NoError(t, res.Body.Close())
	})
	t.Run("SIGKILL of an entry loses its streams, and the other entry serves on", func(t *testing.T) {
		f := startFleet(t, 2, 1, step)
		res := f.complete(t, 0, "Kick-off", longAnswerTokens)
		b := firstEvent(t, res)
		require.NoError(t, f.entries[0].Process.Kill())
		all, _ := io.ReadAll(b)
		require.NotContains(t, string(all), "[DONE]")
		requireAnswer(t, "Replay", 12, f.complete(t, 1, "Replay", 12))
	})
}
