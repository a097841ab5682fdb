//go:build race

package spread

// raceDetector reports whether the race detector runs.
const raceDetector = true

// many is how many gateways a large fleet has. The race detector keeps half a megabyte for each
// goroutine: 103 gateways took 12 GB with it. CI plays all of them without it.
const many = 28
