package callers

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/fault"
	"github.com/hollowgrade/hollowgrade/memory"
)

// BoundBody bounds the time until the body of a request has arrived, also while net/http discards
// the rest of it after the handler has returned. The bound ends with the body: net/http removes it
// to wait for what follows.
func BoundBody(w http.ResponseWriter, r *http.Request, by time.Time) {
	if r.Body == http.NoBody {
		return
	}
	// The error is ignored: a closed connection ends the request by itself.
	_ = http.NewResponseController(w).SetReadDeadline(by)
}

// ReadBody reads a body of at most limit bytes, 0 for no bound, that has to arrive by the given time. The
// error is a [fault.Error] of a request that has not run.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, by time.Time) (b []byte, err error) {
	in := io.Reader(r.Body)
	if limit > 0 {
		in = http.MaxBytesReader(w, r.Body, limit)
	}
	b, err = io.ReadAll(in)
	c := connOf(r)
	var tooLarge *http.MaxBytesError
	switch {
	case c != nil && !c.claim.Advance(memory.Working):
		return nil, NoMemory()
	case err == nil:
		return b, nil
	case errors.As(err, &tooLarge):
		return nil, fault.New(fault.BodyTooLarge, "the body has more than %d bytes", limit)
	case errors.Is(context.Cause(r.Context()), hollowgrade.ErrStopping):
		return nil, fault.New(fault.SlowBody, "the body had not arrived when the box was stopped")
	case errors.Is(err, os.ErrDeadlineExceeded), time.Now().After(by): // net/http hides a time-out within the end of a body in chunks
		return nil, fault.New(fault.SlowBody, "the body had not arrived in time")
	default:
		return nil, fault.New(fault.MalformedBody, "the body could not be read: %v", err)
	}
}

// NoMemory returns the error of a request that has not run, since the budget has no room for it.
func NoMemory() error {
	return fault.New(fault.Overloaded, "open requests take all the memory that they may").WithRetryAfter(time.Second)
}

// Claim returns the claim of a request, on which its body is counted. If another server than [Server] serves it,
// that is one of the given budget, which may be nil for no bound.
func Claim(r *http.Request, b *memory.Budget) *memory.Claim {
	if c := connOf(r); c != nil {
		return c.claim
	}
	return cmp.Or(b, memory.NewBudget(0)).NewClaim(nil)
}

// ClaimBody adds what the body of a request may take to its claim: its length, or as much as the limit allows
// where that is not given. It reports false if there is no room. A limit of 0 is no bound.
func ClaimBody(c *memory.Claim, r *http.Request, limit int64) bool {
	n := r.ContentLength
	if n < 0 || limit > 0 && n > limit { // no more is read
		n = limit
	}
	return c.Add(n, memory.Waiting)
}

// IsRevoked reports whether a request has to end since its memory was given to others. Reads of its body
// fail.
func IsRevoked(r *http.Request) bool {
	c := connOf(r)
	return c != nil && c.isRevoked()
}

// IsSlowBody reports whether a request is refused since its body did not arrive in time.
func IsSlowBody(err error) bool {
	return fault.As(err, hollowgrade.Unknown).Code == fault.SlowBody
}

const (
	// bodyGrace is how long a refusal waits for a body that is just arriving, so that its connection
	// can be kept.
	bodyGrace = 20 * time.Millisecond
	// maxUnreadBody is how much of a refused request's body is read; net/http reads as much.
	maxUnreadBody = 256 << 10
)

// RefuseBody prepares the refusal of a request whose body was not read, or not as a whole, and whose rest
// may come until the given time. Otherwise net/http would send the refusal only once the body had come.
func RefuseBody(w http.ResponseWriter, r *http.Request, by time.Time) {
	if r.Body != http.NoBody && !discardBody(w, r) {
		closeAfter(w.Header())
		BoundBody(w, r, by)
	}
}

// discardBody reads what has arrived of a body and reports whether that was all of it, so that the
// connection can be kept. It leaves alone a body in chunks, whose reader fails for good after a
// time-out, one that the caller sends only when asked to, and a connection from which a read failed.
func discardBody(w http.ResponseWriter, r *http.Request) bool {
	if r.ContentLength < 0 || r.Header.Get("Expect") != "" || r.Context().Err() != nil {
		return false
	}
	BoundBody(w, r, time.Now().Add(bodyGrace))
	_, err := io.CopyN(io.Discard, r.Body, maxUnreadBody)
	return errors.Is(err, io.EOF)
}

// closeAfter makes an answer the last one on its connection.
func closeAfter(h http.Header) {
	h.Set("Connection", "close")
	h.Del("Keep-Alive")
}
