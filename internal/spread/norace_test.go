//go:build !race

package spread

// raceDetector reports whether the race detector runs.
const raceDetector = false

// many is how many gateways a large fleet has.
const many = 103
