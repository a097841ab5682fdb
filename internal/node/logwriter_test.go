package node

import (
	"bufio"
	"io"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// blockedWriter is an output whose writes block.
type blockedWriter struct {
	release chan struct{}
}

func (s blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

func TestLogNeverBlocks(t *testing.T) {
	out := blockedWriter{make(chan struct{})}
	w := NewLogWriter(out)
	g, err := Logger(w, "info")
	require.NoError(t, err)
	const extra = 100
	for i := range maxQueuedLines + extra {
		g.Info("x", "i", i)
	}
	require.GreaterOrEqual(t, w.Dropped(), int64(extra-1))
	close(out.release)
	require.NoError(t, w.Close())
}

func TestLogSaysWhatItDropped(t *testing.T) {
	r, p := io.Pipe()
	w := NewLogWriter(p)
	for range maxQueuedLines + 10 {
		_, err := w.Write([]byte("x\n"))
		require.NoError(t, err)
	}
	in := bufio.NewScanner(r)
	for in.Scan() {
		if strings.Contains(in.Text(), "log lines dropped") {
			break
		}
	}
	require.Contains(t, in.Text(), `"lines":`)
	go func() { _, _ = io.Copy(io.Discard, r) }()
	require.NoError(t, w.Close())
}

// brokenWriter is an output that fails until it is mended, and writes part of a line then if it is told to.
type brokenWriter struct {
	mended  bool
	partial int
	text    strings.Builder
}

func (s *brokenWriter) Write(b []byte) (int, error) {
	if s.mended {
		return s.text.Write(b)
	}
	n, _ := s.text.Write(b[:min(s.partial, len(b))])
	return n, syscall.EPIPE
}

// Guards against lines that are lost without a trace since the output cannot be written.
func TestLogSaysWhatItCouldNotWrite(t *testing.T) {
	for name, c := range map[string]struct {
		partial int
		want    string
	}{
		"nothing written":       {want: `{"level":"warn","msg":"log lines dropped","lines":2}` + "\nthird\n"},
		"part of lines written": {partial: 3, want: "fir\n{\"\n" + `{"level":"warn","msg":"log lines dropped","lines":2}` + "\nthird\n"},
	} {
		t.Run(name, func(t *testing.T) {
			out := &brokenWriter{partial: c.partial}
			w := &LogWriter{out: out}
			w.writeLine([]byte("first\n"))
			w.writeLine([]byte("second\n"))
			require.Equal(t, int64(2), w.Dropped())
			out.mended = true
			w.writeLine([]byte("third\n"))
			require.Equal(t, c.want, out.text.String())
			require.Equal(t, int64(2), w.Dropped())
		})
	}
}

// Guards against a process that a line ends while it exits.
func TestLogLineAfterCloseHasNoEffect(t *testing.T) {
	w := NewLogWriter(io.Discard)
	require.NoError(t, w.Close())
	for range 2 * maxQueuedLines {
		_, err := w.Write([]byte("late\n"))
		require.NoError(t, err)
	}
	require.NoError(t, w.Close())
}
