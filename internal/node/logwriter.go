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

// LogWriter passes lines on to an output without ever blocking. Lines are dropped while the output
// does not keep up or cannot be written, and a later line reports how many.
type LogWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64 // not yet reported
	total   atomic.Int64
	cut     bool // the output ends within a line
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewLogWriter returns a writer for the output. Close ends it.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{out: out, lines: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements [io.Writer] for one line. After Close it has no effect.
func (w *LogWriter) Write(b []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), b...):
	default:
		w.drop()
	}
	return len(b), nil
}

func (w *LogWriter) drop() {
	w.dropped.Add(1)
	w.total.Add(1)
}

// Dropped returns how many lines were dropped in all.
func (w *LogWriter) Dropped() int64 {
	return w.total.Load()
}

func (w *LogWriter) run() {
	defer close(w.done)
	for {
		select {
		case l := <-w.lines:
			w.writeLine(l)
		case <-w.stop:
			w.writeQueued()
			return
		}
	}
}

// writeQueued writes the lines that wait at this moment.
func (w *LogWriter) writeQueued() {
	for range len(w.lines) {
		w.writeLine(<-w.lines)
	}
}

// writeLine writes a line, and before it how many were dropped.
func (w *LogWriter) writeLine(l []byte) {
	if n := w.dropped.Swap(0); n > 0 && !w.output(fmt.Appendf(nil, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n)) {
		w.dropped.Add(n)
		w.drop()
		return
	}
	if !w.output(l) {
		w.drop()
	}
}

// output writes a line and reports whether it has been written as a whole.
func (w *LogWriter) output(l []byte) bool {
	if w.cut {
		l = append([]byte("\n"), l...)
	}
	n, err := w.out.Write(l)
	if n > 0 {
		w.cut = n < len(l)
	}
	return err == nil
}

// Close waits up to flushTimeout for lines that are not yet written.
func (w *LogWriter) Close() error {
	w.once.Do(func() { close(w.stop) })
	select {
	case <-w.done:
	case <-time.After(flushTimeout):
	}
	return nil
}
