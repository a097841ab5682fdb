//go:build race

package spread

// raceDetector reports whether the race detector runs.
const raceDetector = true

// many is how many gateways a large fleet has. The race detector keeps half a megabyte for each
// goroutine: 103 gateways took 12 GB with it. CI plays all of them without it.
const many = 28

// some is how many gateways a smaller fleet has, and courses how many courses of each are played: each leaves its
// memory to the race detector, 11 GB after 18 of 5 to 40 gateways beside all else.
const (
	some    = 12
	courses = 2
)
