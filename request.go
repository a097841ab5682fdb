package hollowgrade

import "time"

// Class is the coarse priority that a policy gives to a request. A lower value
// goes first.
type Class int

// The classes, in the order in which they are served.
const (
	// Instant is for answers that lose their worth within seconds.
	Instant Class = iota
	// Normal is for answers that somebody waits for.
	Normal
	// Background is for answers that may wait, but must not be lost.
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

// Decision is what a policy says about one request.
type Decision struct {
	Class      Class
	Priority   int           // within the class, higher goes first
	Allowed    time.Duration // longest time until the final answer
	MayWait    bool          // whether the request may queue behind others
	Repeatable bool          // whether a second run does no harm
	Share      float64       // largest part of the fleet that such requests may hold, 0 to 1
}

// Request describes one request of a caller. It is immutable; the With methods
// return changed copies. The prompt itself travels apart from it.
type Request struct {
	ID           string
	Attempt      int // counts from 1
	Organisation string
	Event        string
	Kind         string // what the caller says it is: draft, digest, caption, reel
	Model        string // empty for a plain service
	Service      string // empty for a model
	Key          string // idempotency key, empty if the request may be repeated
	PromptTokens int
	MaxTokens    int
	Decision     Decision
	Deadline     time.Time // on the clock of the process that holds the value
}

// WithAttempt returns a copy of r for the given attempt.
func (r Request) WithAttempt(n int) Request {
	r.Attempt = n
	return r
}

// WithDecision returns a copy of r that is bound by d, counted from now.
func (r Request) WithDecision(d Decision, now time.Time) Request {
	r.Decision = d
	r.Deadline = now.Add(d.Allowed)
	return r
}

// Tokens returns the number of tokens of engine memory that the request holds
// at its end.
func (r Request) Tokens() int {
	return r.PromptTokens + r.MaxTokens
}

// Remaining returns the time that is left at now; it is negative once the
// deadline has passed.
func (r Request) Remaining(now time.Time) time.Duration {
	return r.Deadline.Sub(now)
}
