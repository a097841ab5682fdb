package callers

import (
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/hollowgrade/hollowgrade"
)

const (
	// writeSlack is how long after the request's deadline, or after the end of its handler if that is
	// later, its last bytes may still be written to the caller.
	writeSlack = time.Second
	// maxWriteBytes is the size of one write. Each renews the bound on stalls, so a caller that reads
	// slowly without stopping is not cut off.
	maxWriteBytes = 4 << 10
)

// BoundWrites ensures that a caller who does not read cannot keep its request open much beyond its
// deadline. The returned function is called when the handler ends. It bounds the last bytes, which
// net/http sends after that; net/http removes the bound before the next request on the connection.
func BoundWrites(w http.ResponseWriter, deadline time.Time) (end func()) {
	c := http.NewResponseController(w)
	// The errors are ignored: a closed connection ends the request by itself.
	_ = c.SetWriteDeadline(deadline.Add(writeSlack))
	return func() { _ = c.SetWriteDeadline(hollowgrade.Later(deadline, time.Now()).Add(writeSlack)) }
}

// Writer writes an answer to a caller and fails once the caller has stopped reading. It buffers
// nothing itself: a slow caller slows down whoever writes.
type Writer struct {
	http.ResponseWriter
	control  *http.ResponseController
	deadline time.Time // of all writes
	stall    time.Duration
	stalled  bool
}

// NewWriter returns a writer for an answer that has to be written by the deadline, with a short
// slack. A write that makes no progress for stall fails; 0 means no such bound.
func NewWriter(w http.ResponseWriter, deadline time.Time, stall time.Duration) *Writer {
	return &Writer{ResponseWriter: w, control: http.NewResponseController(w), deadline: deadline.Add(writeSlack), stall: stall}
}

// Write implements [io.Writer].
func (w *Writer) Write(b []byte) (n int, err error) {
	for n < len(b) && err == nil {
		w.renew()
		var k int
		k, err = w.ResponseWriter.Write(b[n:min(n+maxWriteBytes, len(b))])
		n += k
	}
	w.note(err)
	return n, err
}

// FlushError sends what the server has buffered.
func (w *Writer) FlushError() error {
	w.renew()
	err := w.control.Flush()
	w.note(err)
	return err
}

// Stalled reports whether a write failed since the caller had stopped reading.
func (w *Writer) Stalled() bool {
	return w.stalled
}

// renew sets the deadline of the next write.
func (w *Writer) renew() {
	d := w.deadline
	if s := time.Now().Add(w.stall); w.stall > 0 && s.Before(d) {
		d = s
	}
	_ = w.control.SetWriteDeadline(d) // a closed connection ends the request by itself
}

// note records an error that means that the caller has stopped reading.
func (w *Writer) note(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) && w.stall > 0 && time.Now().Before(w.deadline) {
		w.stalled = true
	}
}
