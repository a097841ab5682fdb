package soak

import (
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"

	"github.com/hollowgrade/hollowgrade/platform/platformtest"
)

const (
	endlessEvery = 4   // one in so many seeds has answers without end
	maxPeakMB    = 284 // memory of a box by the users' sheets
)

// answersWithoutEnd reports whether the workers of a seed send answers without end.
func answersWithoutEnd(seed uint64) bool {
	return seed%endlessEvery == endlessEvery-1
}

// sendWithoutEnd sends an answer that never ends, until the gateway closes the connection.
func (w *world) sendWithoutEnd(k *platformtest.Worker, c net.Conn, r *http.Request) {
	bs := platformtest.EndlessAnswers()
	names := slices.Sorted(maps.Keys(bs))
	bs[names[hash(r.Header.Get("Attempt-Id"))%uint64(len(names))]](k, c, r)
}

var peakPattern = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// overMemory finds gateways that have had more memory than their box.
func (w *world) overMemory() (bs []string) {
	for _, g := range w.gateways {
		g.mu.Lock()
		runs, cmd := g.running(), g.cmd
		g.mu.Unlock()
		if !runs {
			continue
		}
		b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
		m := peakPattern.FindSubmatch(b)
		if err != nil || m == nil {
			continue // it has ended just now
		}
		if kb, err := strconv.Atoi(string(m[1])); err == nil && kb > maxPeakMB<<10 {
			bs = append(bs, fmt.Sprintf("memory, %s has had %d MB", g.name, kb>>10))
		}
	}
	return bs
}
