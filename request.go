package hollowgrade

import "time"

// Class is the coarse priority that a policy assigns to a request. Lower values are served first.
type Class int

// The classes, in the order in which they are served.
const (
	// Instant is for answers that are useless after some seconds.
	Instant Class = iota
	// Normal is for answers that a user waits for.
	Normal
	// Background is for answers that may be late, but must not be lost.
	Background
	// Classes is the number of classes.
	Classes
)

// String returns the name that policies use for the class.
func (c Class) String() string {
	switch c {
	case Instant:
		return "instant"
	case Normal:
		return "normal"
	case Background:
		return "background"
	default:
		return "invalid"
	}
}

// ParseClass returns the class with the given name, and false if there is none.
func ParseClass(s string) (c Class, ok bool) {
	for c = Instant; c < Classes; c++ {
		if c.String() == s {
			return c, true
		}
	}
	return 0, false
}

// Decision is the result of a policy for one request.
type Decision struct {
	Class      Class
	Priority   int           // within the class; higher values are served first
	Allowed    time.Duration // maximum time until the answer is complete
	MayWait    bool          // whether the request may queue behind others
	Repeatable bool          // whether running it twice is harmless
	Share      float64       // largest part of the fleet that such requests may occupy, 0 to 1
}

// Request describes a caller's request, without the prompt itself. It is immutable; the With methods
// return changed copies.
type Request struct {
	ID           string
	Attempt      int // counts from 1
	Organisation string
	Event        string
	Kind         string // set by the caller: draft, digest, caption or reel
	Model        string // empty for a plain service
	Service      string // empty for a model
	Key          string // idempotency key, empty if the request may be repeated
	PromptTokens int
	MaxTokens    int
	Decision     Decision
	Deadline     time.Time // on the local process's clock
}

// WithAttempt returns a copy of r for the given attempt.
func (r Request) WithAttempt(n int) Request {
	r.Attempt = n
	return r
}

// WithDecision returns a copy of r with the decision d and a deadline counted from now.
func (r Request) WithDecision(d Decision, now time.Time) Request {
	r.Decision = d
	r.Deadline = now.Add(d.Allowed)
	return r
}

// Tokens returns the engine memory, in tokens, that the request occupies when it ends.
func (r Request) Tokens() int {
	return r.PromptTokens + r.MaxTokens
}

// Remaining returns the time from now to the deadline, which is negative after the deadline.
func (r Request) Remaining(now time.Time) time.Duration {
	return r.Deadline.Sub(now)
}
