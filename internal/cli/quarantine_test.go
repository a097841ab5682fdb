package cli

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/internal/node"
)

const (
	someFingerprint = "14d3233db8aeb9edd5e73e5f4b553f9a"
	somePart        = "part:5c1e07a2@draft-llm"
)

// startOperatorsServer starts a fake of a gateway's operators' listener, which has one blocked
// request if held is set, and counts the requests to lift it.
func startOperatorsServer(t *testing.T, held bool) (address string, lifted *int) {
	t.Helper()
	lifted = new(int)
	m := http.NewServeMux()
	m.HandleFunc("GET "+node.QuarantinePath, func(w http.ResponseWriter, _ *http.Request) {
		hs := []node.HeldRequest{}
		if held {
			hs = append(hs, node.HeldRequest{Fingerprint: someFingerprint, Organisation: "club-2", Route: "captions", Since: time.Unix(0, 0), Until: time.Unix(600, 0),
				Losses: 3, Odds: 1e-9, Upstreams: []hollowgrade.Instance{"i-1", "i-2"}, By: "box-1"})
			hs = append(hs, node.HeldRequest{Kind: "part", Fingerprint: somePart, With: []string{"a1"}, Organisation: "club-3", Route: "captions", Since: time.Unix(0, 0), Until: time.Unix(600, 0),
				Losses: 3, Odds: 1e-9, By: "box-1"})
		}
		_ = writeJSON(w, hs)
	})
	m.HandleFunc("DELETE "+node.QuarantinePath+"/"+someFingerprint, func(w http.ResponseWriter, _ *http.Request) {
		if !held {
			http.Error(w, "no such request is held", http.StatusNotFound)
			return
		}
		*lifted++
		w.WriteHeader(http.StatusNoContent)
	})
	m.HandleFunc("DELETE "+node.QuarantinePath+"/"+somePart, func(w http.ResponseWriter, _ *http.Request) {
		*lifted++
		w.WriteHeader(http.StatusNoContent)
	})
	s := httptest.NewServer(m)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), lifted
}

func runCommandLine(args ...string) (code int, out, messages string) {
	var o, m bytes.Buffer
	code = Run(context.Background(), nil, args, &o, &m)
	return code, o.String(), m.String()
}

func TestQuarantineCommand(t *testing.T) {
	knows, lifted := startOperatorsServer(t, true)
	empty, _ := startOperatorsServer(t, false)
	t.Run("lists and lifts parts of prompts", func(t *testing.T) {
		box, lifted := startOperatorsServer(t, true)
		_, out, _ := runCommandLine("quarantine", "list", "--box", box)
		require.Regexp(t, somePart+" +a1 +club-3", out)
		code, _, _ := runCommandLine("quarantine", "lift", "--box", box, somePart)
		require.Equal(t, exitOK, code)
		require.Equal(t, 1, *lifted)
	})
	t.Run("lists what any box knows, once", func(t *testing.T) {
		code, out, _ := runCommandLine("quarantine", "list", "--box", knows, "--box", empty, "--box", knows)
		require.Equal(t, exitOK, code)
		require.Equal(t, 1, strings.Count(out, someFingerprint))
		for _, part := range []string{"club-2", "captions", "box-1", "i-1 i-2"} {
			require.Contains(t, out, part)
		}
	})
	t.Run("leaves out a box that does not answer", func(t *testing.T) {
		code, out, messages := runCommandLine("quarantine", "list", "--box", "127.0.0.1:1", "--box", knows, "--json")
		require.Equal(t, exitOK, code)
		require.Contains(t, messages, "left out")
		require.Contains(t, out, `"fingerprint"`)
	})
	t.Run("lifts at the first box that has it", func(t *testing.T) {
		code, out, _ := runCommandLine("quarantine", "lift", "--box", empty, "--box", knows, someFingerprint)
		require.Equal(t, exitOK, code)
		require.Equal(t, 1, *lifted)
		require.Contains(t, out, knows)
	})
	t.Run("says what is wrong in one line", func(t *testing.T) {
		for _, args := range [][]string{{"quarantine", "list"}, {"quarantine", "lift", someFingerprint}, {"quarantine", "lift", "--box", empty, someFingerprint}} {
			code, _, messages := runCommandLine(args...)
			require.Equal(t, exitFailure, code)
			require.Equal(t, 1, strings.Count(messages, "\n"), messages)
		}
	})
}
