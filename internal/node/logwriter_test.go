package node

import (
	"bufio"
	"io"
	"strings"
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
