// Package errs annotates errors in deferred functions, so that each function
// says once what it was doing.
package errs

import "fmt"

// Annotate prefixes the error that err points to, if there is one. It is meant
// for a deferred call with a named result.
func Annotate(err *error, format string, args ...any) {
	if *err != nil {
		*err = fmt.Errorf("%s: %w", fmt.Sprintf(format, args...), *err)
	}
}
