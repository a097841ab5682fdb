package fleettest

import (
	"os"
	"runtime"
	"testing"
)

// TestMain limits the package's tests to one processor. The runtime keeps one race context for all
// timers of a bubble, so that with the race detector Go 1.26.8 sometimes crashes (SIGSEGV in
// runtime.unlockAndRun) when two threads run timers of one bubble at once. The detector analyses the
// order of events and finds races on one processor too; the matrix runs several processes.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
