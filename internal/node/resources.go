package node

import (
	"math"
	"runtime/debug"
	"syscall"

	"github.com/charmbracelet/log"

	"github.com/hollowgrade/hollowgrade/memory"
	"github.com/hollowgrade/hollowgrade/setting"
)

const (
	megabyte = 1 << 20
	// memoryLimitShare is the runtime's memory limit as a share of the box's memory.
	memoryLimitShare = 0.8
	// requestMemoryShare is the part of the box's memory that heads and bodies of callers' requests may
	// take.
	requestMemoryShare = 0.25
	// frameMemoryShare is the part of the box's memory that frames of peers may take while they arrive.
	frameMemoryShare = 0.1
	// mainDescriptorShare is the part of the descriptors that connections of the main listener may take. The
	// rest is for upstreams, which need one for each call, the store and peers.
	mainDescriptorShare = 0.8
	// gcPercent is how much the heap may grow between collections, in percent, within the memory
	// limit. More saves processor time and costs memory.
	gcPercent = 150
)

// limitMemory sets the runtime's memory limit from the memory of the box, where the settings name it.
func limitMemory(mb int) {
	if mb > 0 {
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(mb) * megabyte))
	}
}

// memoryBudget returns a budget of a share of the box's memory.
func memoryBudget(c setting.Process, share float64) *memory.Budget {
	return memory.NewBudget(int64(share * float64(memoryBytes(c))))
}

// memoryBytes returns the memory of the box: that of the settings, or else that of the machine. It returns 0 if
// neither is known.
func memoryBytes(c setting.Process) uint64 {
	if c.MemoryMB > 0 {
		return uint64(c.MemoryMB) * megabyte
	}
	var i syscall.Sysinfo_t
	if syscall.Sysinfo(&i) != nil {
		return 0
	}
	return i.Totalram * uint64(i.Unit)
}

// maxConnections returns how many connections the main listener may have: as many as the settings allow, and at
// most their share of the process's descriptors.
func maxConnections(c setting.Process, g *log.Logger) int {
	d := c.MaxDescriptors
	var l syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l) == nil && (d == 0 || uint64(d) > l.Cur) {
		d = int(min(l.Cur, math.MaxInt32))
	}
	n := max(int(mainDescriptorShare*float64(d)), 1)
	if d == 0 || n >= c.MaxConnections {
		return c.MaxConnections
	}
	g.Info("callers' connections bounded by descriptors", "connections", n, "max_connections", c.MaxConnections)
	return n
}
