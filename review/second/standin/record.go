package standin

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the record of a case: what was sent, answered and run, and when.
type Record struct {
	begun time.Time
	mu    sync.Mutex
	file  *os.File
}

// NewRecord creates the record in a file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{begun: time.Now(), file: f}, nil
}

// Add adds a line.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// Say adds a line and prints it.
func (r *Record) Say(format string, args ...any) {
	r.Add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Time returns a time as the record shows it.
func (r *Record) Time(t time.Time) string {
	return fmt.Sprintf("%.3f", t.Sub(r.begun).Seconds())
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
