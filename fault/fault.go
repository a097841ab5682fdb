// Package fault defines a stable code for each refusal and each failure, with its documentation as
// data, which the answers to callers, the logs, the command line and the operators' pages use.
package fault

import (
	"errors"
	"fmt"
	"time"

	"github.com/hollowgrade/hollowgrade"
)

// Code names one refusal or failure. Codes are never given a new meaning.
type Code string

// Severity says who has to act on a code.
type Severity string

// The severities.
const (
	// Caller means that the caller can fix it by changing the request.
	Caller Severity = "caller"
	// Transient means that it passes without intervention.
	Transient Severity = "transient"
	// Operator means that an operator should investigate.
	Operator Severity = "operator"
)

// Doc documents a code.
type Doc struct {
	Code     Code
	Title    string
	Text     string
	Since    string
	Severity Severity
	Outcome  hollowgrade.Outcome // outcome unless the error sets another
	Status   int                 // HTTP status if no byte of an answer has been sent
}

// Error is a refusal or failure on its way to the caller. It is immutable.
type Error struct {
	Code       Code
	Message    string
	Outcome    hollowgrade.Outcome
	RetryAfter time.Duration // zero if a retry does not help
}

// New returns an error with the documented outcome of c.
func New(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Message: fmt.Sprintf(format, args...), Outcome: Lookup(c).Outcome}
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s (%s)", e.Code, e.Message, e.Outcome)
}

// WithOutcome returns a copy of e with another outcome.
func (e *Error) WithOutcome(o hollowgrade.Outcome) *Error {
	c := *e
	c.Outcome = o
	return &c
}

// WithRetryAfter returns a copy of e with the delay after which the caller should retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Status returns the HTTP status of e.
func (e *Error) Status() int {
	return Lookup(e.Code).Status
}

// As returns the fault in err's chain. An error without one is reported as
// [Internal], with the outcome given.
func As(err error, o hollowgrade.Outcome) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "internal error").WithOutcome(o)
}

// Lookup returns the documentation of c, or that of [Internal] if c is not registered, such as a
// code from a newer peer.
func Lookup(c Code) Doc {
	if d, ok := byCode[c]; ok {
		return d
	}
	return byCode[Internal]
}

// Known reports whether c is registered.
func Known(c Code) bool {
	_, ok := byCode[c]
	return ok
}

var byCode = index(Registry)

func index(ds []Doc) map[Code]Doc {
	m := make(map[Code]Doc, len(ds))
	for _, d := range ds {
		m[d.Code] = d
	}
	return m
}
