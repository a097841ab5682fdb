// Package stand holds stand-ins of the users' platform, its workers and its clients for the cases of
// the review, and starts gateways as separate processes. It follows PROTOCOL.md and DEPLOY.md and
// uses the standard library only.
package stand

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run, one line an event.
type Record struct {
	start time.Time

	mu  sync.Mutex
	out *bufio.Writer
	to  *os.File
}

// NewRecord creates the file at the path.
func NewRecord(path string) (r *Record, err error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), out: bufio.NewWriter(f), to: f}, nil
}

// Add writes an event with the seconds since the start.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// Close writes what is buffered.
func (r *Record) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		return err
	}
	return r.to.Close()
}
