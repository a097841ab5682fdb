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
	"strings"

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

// neverAnswer sends nothing, or in some seeds an answer without end, until the gateway closes the
// connection.
func (w *world) neverAnswer(k *platformtest.Worker, c net.Conn, r *http.Request) {
	if !w.endless {
		platformtest.Hang(k, c, r)
		return
	}
	id, bs := r.Header.Get("Attempt-Id"), platformtest.EndlessAnswers()
	if !strings.HasPrefix(id, "stream") {
		maps.DeleteFunc(bs, func(name string, _ platformtest.Behaviour) bool { return strings.HasSuffix(name, "after an event") })
	}
	names := slices.Sorted(maps.Keys(bs))
	bs[names[hash(id)%uint64(len(names))]](k, c, r)
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
