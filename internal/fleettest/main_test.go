package fleettest

import (
	"os"
	"runtime"
	"testing"
)

// TestMain keeps this package's tests on one processor. Under the race
// detector Go 1.26.8 crashes now and then (SIGSEGV in runtime.unlockAndRun)
// when two threads run timers of one bubble at once: the runtime keeps one race
// context for all timers of a bubble. The detector works by the order of events
// and finds races on one processor too; the matrix has a process for each core.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
