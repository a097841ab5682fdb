package main

import (
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

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
