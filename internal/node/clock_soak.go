//go:build soak

package node

import (
	"os"
	"time"

	"github.com/hollowgrade/hollowgrade"
)

// suspendedFile is the environment variable with the path of a file that holds the total time for
// which the machine was suspended, as a duration. A test that stops the process writes it before the
// process continues; the steady clock then excludes that time, as it does on a suspended machine.
const suspendedFile = "HOLLOWGRADE_SUSPENDED"

// worldClock returns the clock of a process in a build for the soak test.
func worldClock() *hollowgrade.WorldClock {
	return hollowgrade.NewWorldClock(hollowgrade.WithSteadyClock(shifted{hollowgrade.SystemClock()}))
}

// shifted is a steady clock that excludes the time for which its machine was suspended. Its timers
// include it.
type shifted struct {
	hollowgrade.Clock
}

// Now implements [hollowgrade.Clock].
func (s shifted) Now() time.Time {
	b, err := os.ReadFile(os.Getenv(suspendedFile))
	if err != nil {
		return s.Clock.Now() // it was never suspended
	}
	d, err := time.ParseDuration(string(b))
	if err != nil {
		panic(err) // a mistake of the soak test
	}
	return s.Clock.Now().Add(-d)
}

// Since implements [hollowgrade.Clock].
func (s shifted) Since(t time.Time) time.Duration {
	return s.Now().Sub(t)
}

// Until implements [hollowgrade.Clock].
func (s shifted) Until(t time.Time) time.Duration {
	return t.Sub(s.Now())
}
