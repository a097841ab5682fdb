package main

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/platform/platformtest"
)

// lostLines matches the metric of lost log lines unless it is zero.
var lostLines = regexp.MustCompile(`(?m)^hollowgrade_log_dropped\{.*\} [1-9]`)

// requireMetric waits until a line of the metrics at an operators' address matches.
func requireMetric(t *testing.T, operators string, r *regexp.Regexp) {
	t.Helper()
	require.Eventually(t, func() bool {
		res, err := http.Get("http://" + operators + "/metrics")
		if err != nil {
			return false
		}
		defer res.Body.Close()
		b, err := io.ReadAll(res.Body)
		return err == nil && r.Match(b)
	}, 20*time.Second, 50*time.Millisecond)
}

// fullPipe returns the writing end of a pipe that is full and never read.
func fullPipe(t *testing.T) *os.File {
	t.Helper()
	var fds [2]int
	require.NoError(t, syscall.Pipe2(fds[:], syscall.O_CLOEXEC))
	require.NoError(t, syscall.SetNonblock(fds[1], true))
	for b := make([]byte, 1); ; {
		if _, err := syscall.Write(fds[1], b); err != nil {
			require.ErrorIs(t, err, syscall.EAGAIN)
			break
		}
	}
	require.NoError(t, syscall.SetNonblock(fds[1], false))
	r, w := os.NewFile(uintptr(fds[0]), "reader"), os.NewFile(uintptr(fds[1]), "writer")
	t.Cleanup(func() { _ = errors.Join(r.Close(), w.Close()) })
	return w
}

// startWithOutput starts a process whose standard output and standard error are a file.
func startWithOutput(t *testing.T, out *os.File, args ...string) *process {
	t.Helper()
	p := &process{Cmd: exec.Command(binaries.hollowgrade, args...)}
	p.Stdout, p.Stderr = out, out
	require.NoError(t, p.Start())
	t.Cleanup(func() {
		_ = p.Process.Kill()
		_ = p.Wait()
	})
	return p
}

// Guards against a process that SIGPIPE ends, with all requests under way, when the reader of its log ends.
func TestEndOfALogReaderCutsNoRequest(t *testing.T) {
	t.Run("gateway", func(t *testing.T) {
		t.Parallel()
		g := startHeld(t)
		g.release(t, "")
		g.awaitReady(t)
		stream, once := g.send(t, "/stream/x", "a1"), g.send(t, "/once/x", "a2")
		require.NoError(t, g.out.Close())
		requireWholeStream(t, stream)
		requireWholeStream(t, once)
		requireWholeStream(t, g.send(t, "/stream/x", "a3"))
		g.sendSignals(t, syscall.SIGTERM)
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
			require.NoError(t, p.out.Close())
			p.sendSignals(t, syscall.SIGHUP, syscall.SIGTERM) // a line for each
			requireAnswer(t, "Extra time", longAnswerTokens, res)
			p.requireExit(t)
		})
	}
}

// Guards against lost log lines that nobody is told of.
func TestLogReaderThatComesBackLearnsWhatWasLost(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "log")
	require.NoError(t, syscall.Mkfifo(path, 0o600))
	reader, err := os.OpenFile(path, os.O_RDONLY|syscall.O_NONBLOCK, 0)
	require.NoError(t, err)
	writer, err := os.OpenFile(path, os.O_WRONLY, 0)
	require.NoError(t, err)
	operators := platformtest.FreeAddress(t)
	g := startWithOutput(t, writer, "gateway", "--box", "b", "--hall", "z", "--callers", "127.0.0.1:0", "--readiness", "127.0.0.1:0",
		"--store", "127.0.0.1:1", "--operators", operators)
	require.NoError(t, writer.Close())
	_, err = bufio.NewReader(reader).ReadString('\n')
	require.NoError(t, err)
	require.NoError(t, reader.Close())
	requireMetric(t, operators, lostLines) // the store does not answer: a line for that
	reader, err = os.OpenFile(path, os.O_RDONLY, 0)
	require.NoError(t, err)
	defer time.AfterFunc(20*time.Second, func() { _ = reader.Close() }).Stop()
	g.sendSignals(t, syscall.SIGTERM)
	in := bufio.NewScanner(reader)
	for in.Scan() && !strings.Contains(in.Text(), "log lines dropped") {
	}
	require.Regexp(t, `"lines":[1-9]`, in.Text())
	_, err = io.Copy(io.Discard, reader)
	require.NoError(t, err)
	g.requireExit(t)
}

// Guards against a process that waits for the reader of its log.
func TestLogThatNobodyReadsBlocksNoProcess(t *testing.T) {
	platform := start(t, binaries.standin, "platform").await(t, "http://")
	for role, args := range map[string][]string{
		"gateway": {"--callers", "127.0.0.1:0", "--readiness", "127.0.0.1:0", "--store", "127.0.0.1:1"},
		"entry":   {"--callers", "127.0.0.1:0", "--platform-log", platform, "--platform-list", platform},
		"agent":   {"--peers", "127.0.0.1:0", "--platform-log", platform, "--platform-list", platform, "--engine", "http://127.0.0.1:1", "--models", "m"},
	} {
		t.Run(role, func(t *testing.T) {
			t.Parallel()
			operators := platformtest.FreeAddress(t)
			p := startWithOutput(t, fullPipe(t), append([]string{role, "--box", "b", "--hall", "z", "--operators", operators}, args...)...)
			requireMetric(t, operators, regexp.MustCompile(`(?m)^hollowgrade_log_dropped\{`))
			p.sendSignals(t, syscall.SIGTERM)
			p.requireExit(t)
		})
		t.Run(role+" that does not start", func(t *testing.T) {
			t.Parallel()
			p := startWithOutput(t, fullPipe(t), append([]string{role, "--box", "b", "--hall", "z", "--operators", "nowhere"}, args...)...)
			p.requireFailure(t)
		})
		t.Run(role+" with wrong settings", func(t *testing.T) {
			t.Parallel()
			p := startWithOutput(t, fullPipe(t), append([]string{role, "--unknown"}, args...)...)
			p.requireFailure(t)
		})
	}
}

// Guards against operators' commands that complain or run on without the reader of their output.
func TestOperatorsCommandsEndWithTheirPipe(t *testing.T) {
	for _, args := range [][]string{{"explain", "gateway"}, {"--help"}, {"gateway", "--help"}} {
		t.Run(strings.Join(args, " "), func(t *testing.T) {
			t.Parallel()
			r, w, err := os.Pipe()
			require.NoError(t, err)
			require.NoError(t, r.Close())
			var messages strings.Builder
			c := exec.Command(binaries.hollowgrade, args...)
			c.Stdout, c.Stderr = w, &messages
			require.Error(t, c.Run())
			require.NoError(t, w.Close())
			require.Equal(t, syscall.SIGPIPE, c.ProcessState.Sys().(syscall.WaitStatus).Signal())
			require.Empty(t, messages.String())
		})
	}
}
