package main

import (
	"bufio"
	"bytes"
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
)

// binaries are built once for all tests of this package.
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

// process is a child process whose lines can be waited for.
type process struct {
	*exec.Cmd
	lines chan string
}

func start(t *testing.T, path string, args ...string) *process {
	t.Helper()
	p := &process{Cmd: exec.Command(path, args...), lines: make(chan string, 4096)}
	out, err := p.StdoutPipe()
	require.NoError(t, err)
	p.Stderr = p.Stdout
	require.NoError(t, p.Start())
	go func() {
		defer close(p.lines)
		for s := bufio.NewScanner(out); s.Scan(); {
			p.lines <- s.Text()
		}
	}()
	t.Cleanup(func() {
		_ = p.Process.Kill()
		_ = p.Wait()
	})
	return p
}

// await returns the first line that holds the text.
func (p *process) await(t *testing.T, text string) string {
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
func field(t *testing.T, line, name string) string {
	t.Helper()
	var m map[string]any
	require.NoError(t, json.Unmarshal([]byte(line), &m))
	return fmt.Sprint(m[name])
}

// fleet is the smallest whole fleet, each part a process of its own.
type fleet struct {
	platform string
	entry    *process
	agent    *process
	engine   *process
	callers  string
	peers    string
}

func startFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{}
	f.platform = start(t, binaries.standin, "platform").await(t, "http://")
	f.engine = start(t, binaries.standin, "engine")
	engine := f.engine.await(t, "http://")
	f.agent = start(t, binaries.hollowgrade, "agent", "--box", "worker-1", "--hall", "hall-1", "--peers", "127.0.0.1:0",
		"--platform-log", f.platform, "--platform-list", f.platform, "--engine", engine, "--models", "copy-1", "--log-poll", "50ms")
	f.peers = field(t, f.agent.await(t, "agent starts"), "peers")
	put(t, f.platform, hollowgrade.Box{Name: "worker-1", Role: hollowgrade.AgentRole, Hall: "hall-1", Peer: f.peers, State: hollowgrade.BoxLive})
	f.publish(t)
	f.entry = start(t, binaries.hollowgrade, "entry", "--box", "entry-1", "--hall", "hall-1", "--callers", "127.0.0.1:0",
		"--platform-log", f.platform, "--platform-list", f.platform, "--log-poll", "50ms")
	f.callers = "http://" + field(t, f.entry.await(t, "entry starts"), "callers")
	f.awaitReady(t)
	return f
}

func put(t *testing.T, platform string, b hollowgrade.Box) {
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

// publish publishes the example policy and an organisation by the operators'
// commands.
func (f *fleet) publish(t *testing.T) {
	t.Helper()
	run(t, "policy", "publish", "--platform-log", f.platform, "default", "../../examples/policies/korrigan.expr")
	run(t, "config", "publish", "--platform-log", f.platform, "../../examples/local/fleet.toml")
}

func run(t *testing.T, args ...string) string {
	t.Helper()
	out, err := exec.Command(binaries.hollowgrade, args...).CombinedOutput()
	require.NoError(t, err, string(out))
	return string(out)
}

// awaitReady asks the readiness path until the entry is connected. Each answer
// is awaited, so the loop is bounded by the entry's own progress.
func (f *fleet) awaitReady(t *testing.T) {
	t.Helper()
	for {
		res, err := http.Get(f.callers + "/healthz/ready")
		require.NoError(t, err)
		require.NoError(t, res.Body.Close())
		if res.StatusCode == http.StatusOK {
			return
		}
	}
}

func (f *fleet) complete(t *testing.T, prompt string, tokens int) *http.Response {
	t.Helper()
	b := fmt.Sprintf(`{"model":"copy-1","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, tokens)
	r, err := http.NewRequest(http.MethodPost, f.callers+"/v1/completions", strings.NewReader(b))
	require.NoError(t, err)
	r.Header.Set("Authorization", "Bearer demo-key-club-1")
	r.Header.Set("Hollowgrade-Kind", "caption")
	res, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	return res
}

// text reads a stream to its end and returns its text.
func text(t *testing.T, r io.Reader) string {
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

func TestProcesses(t *testing.T) {
	f := startFleet(t)

	t.Run("a stream passes through entry, agent and engine", func(t *testing.T) {
		res := f.complete(t, "Who scored?", 12)
		defer res.Body.Close()
		require.Equal(t, standin.Answer("Who scored?", 12), text(t, res.Body))
	})

	t.Run("a planned stop of the entry cuts off no stream", func(t *testing.T) {
		res := f.complete(t, "Final whistle", 60)
		defer res.Body.Close()
		require.NoError(t, f.entry.Process.Signal(syscall.SIGTERM))
		require.Equal(t, standin.Answer("Final whistle", 60), text(t, res.Body))
		f.entry.await(t, `"msg":"stopped"`)
	})
}
