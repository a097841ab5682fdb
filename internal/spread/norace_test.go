//go:build !race

package spread

// raceDetector reports whether the race detector runs.
const raceDetector = false
