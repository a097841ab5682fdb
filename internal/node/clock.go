//go:build !soak

package node

import "github.com/hollowgrade/hollowgrade"

// worldClock returns the clock of a process.
func worldClock() *hollowgrade.WorldClock {
	return hollowgrade.NewWorldClock()
}
