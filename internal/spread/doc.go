// Package spread holds the tests of how values of all sizes spread among gateways
// behind links of different rates, in virtual time.
//
// They are apart from package feed since yamux keeps timers for all its sessions in one
// pool, and a timer of virtual time must not leave its bubble: all sessions of this
// package's tests are in bubbles, and the pool is emptied between two of them.
package spread
