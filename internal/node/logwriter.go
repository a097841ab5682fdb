package node

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is how many lines may wait for the output: under 1 MB at 200 bytes a line.
	maxQueuedLines = 4096
	// flushTimeout bounds how long Close waits for the output.
	flushTimeout = 500 * time.Millisecond
)

// LogWriter passes lines on to an output without ever blocking: when the output does not keep up,
// lines are dropped, and a later line reports how many.
type LogWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	total   atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewLogWriter returns a writer for the output. Close ends it.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements [io.Writer] for one line.
func (w *LogWriter) Write(b []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), b...):
	default:
		w.dropped.Add(1)
		w.total.Add(1)
	}
	return len(b), nil
}

// Dropped returns how many lines were dropped in all.
func (w *LogWriter) Dropped() int64 {
	return w.total.Load()
}

func (w *LogWriter) run() {
	defer close(w.done)
	for l := range w.lines {
		if n := w.dropped.Swap(0); n > 0 {
			fmt.Fprintf(w.out, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n)
		}
		// An error of the log's output cannot be reported anywhere.
		_, _ = w.out.Write(l)
	}
}

// Close waits up to flushTimeout for lines that are not yet written. Write must not be called
// afterwards.
func (w *LogWriter) Close() error {
	w.once.Do(func() { close(w.lines) })
	select {
	case <-w.done:
	case <-time.After(flushTimeout):
	}
	return nil
}
