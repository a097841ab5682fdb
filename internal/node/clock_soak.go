//go:build soak

package node

import (
	"os"
	"time"

	"github.com/hollowgrade/hollowgrade"
)

// suspendedFile names a file with how long the machine was suspended in all, as a duration. Who stops
// the process for a while writes it before it goes on; the steady clock then leaves that time
// out, as it does on a machine that is suspended.
const suspendedFile = "HOLLOWGRADE_SUSPENDED"

// worldClock returns the clock of a process in a build for the soak.
func worldClock() *hollowgrade.WorldClock {
	return hollowgrade.NewWorldClock(hollowgrade.WithSteadyClock(shifted{hollowgrade.SystemClock()}))
}

// shifted is a steady clock without the time for which its machine was suspended. Its timers run on.
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
		panic(err) // the soak's own mistake
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
