// Package soak runs gateways as real processes among stand-ins of the users'
// platform, breaks things from outside, and checks what callers and workers see
// against what gateways promise. It has tests only; docs/SOAK.md says how to run
// it, and has the seeds that failed.
package soak
