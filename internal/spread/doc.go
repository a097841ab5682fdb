// Package spread tests in virtual time how records of all sizes propagate among gateways whose
// links have different rates.
//
// The tests are separate from package feed because yamux pools the timers of all its sessions, and
// a timer of virtual time must not leave its bubble: here all sessions run in bubbles, and the pool
// is emptied between two of them.
package spread
