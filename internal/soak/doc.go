// Package soak is a fault-injection test: it runs gateways as real processes against stand-ins of
// the users' platform, injects faults from outside, and checks what callers and workers observe
// against the gateways' guarantees. It has tests only; docs/SOAK.md describes how to run it and
// lists the seeds that failed.
package soak
