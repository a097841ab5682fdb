// Package hollowgrade holds the interfaces and the values that every part of
// the serving layer shares: what a request is, how it can end, and what the
// systems around it (model engines, plain services, the platform's log, box
// list and weight store) are asked for.
//
// Implementations live in the packages below this one; this package imports
// none of them.
package hollowgrade
