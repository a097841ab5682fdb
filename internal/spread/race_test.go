//go:build race

package spread

// raceDetector reports whether the race detector is on.
const raceDetector = true

// many is the number of gateways of a large fleet. The race detector keeps half a megabyte for each
// goroutine, 12 GB for 103 gateways; CI runs these without it.
const many = 28

// large is the number of gateways of the largest fleet.
const large = 40

// some is the number of gateways of a smaller fleet, and courses the number of random sequences of
// phases for each size of fleet. The race detector keeps the memory of each sequence: 11 GB after 18
// of 5 to 40 gateways, besides the other tests.
const (
	some    = 12
	courses = 2
)
