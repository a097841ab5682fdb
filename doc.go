// Package hollowgrade declares the types that all packages of the serving layer share: requests,
// their outcomes, and the interfaces to model engines, plain services, and the platform's log, box
// list and weight store.
//
// Packages below this one implement the interfaces. This package imports none of them.
package hollowgrade
