//go:build !race

package spread

// raceDetector reports whether the race detector is on.
const raceDetector = false

// many is the number of gateways of a large fleet.
const many = 103

// large is the number of gateways of the largest fleet.
const large = 420

// some is the number of gateways of a smaller fleet, and courses the number of random sequences of
// phases for each size of fleet.
const (
	some    = 21
	courses = 6
)
