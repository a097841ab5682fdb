// Package errs annotates errors in deferred calls, so that a function names its operation only
// once.
package errs

import "fmt"

// Annotate prefixes the error that err points to, if it is not nil. It is meant for a deferred call
// with a named result.
func Annotate(err *error, format string, args ...any) {
	if *err != nil {
		*err = fmt.Errorf("%s: %w", fmt.Sprintf(format, args...), *err)
	}
}
