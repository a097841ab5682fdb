package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/platform/platformtest"
)

const (
	endlessConfig = `{"version":1,"routes":[
 {"name":"bad","host":"h","pathPrefix":"/bad/","kind":"streaming","resumable":true,"timeoutMs":4000,"goalLatencyMs":300,"gap_aim_ms":200,"maxAttempts":2,"service":"bad"},
 {"name":"good","host":"h","pathPrefix":"/good/","kind":"streaming","resumable":true,"timeoutMs":4000,"goalLatencyMs":300,"gap_aim_ms":200,"maxAttempts":2,"service":"good"}],
 "services":[{"name":"bad"},{"name":"good"}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"o","apiKeys":["k1"]}]}`
	endlessCallers = 300
	boxMemoryMB    = 284
	maxPeakMB      = 120
	soundCalls     = 100
	soundGoal      = 300 * time.Millisecond
	minSoundShare  = 0.99
)

// postAs sends a request with a deadline and returns the answer's status and body.
func postAs(address, path, id string) (status int, body string, err error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader("hello"))
	if err != nil {
		return 0, "", err
	}
	r.Host = "h"
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", "4000")
	r.Header.Set("Authorization", "Bearer k1")
	res, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return res.StatusCode, string(b), err
}

// inGoal makes a call through a gateway and the same call at its worker, and reports whether the first was
// answered within the goal and twice the time of the second. A loaded machine delays both, and the first has
// two hops.
func inGoal(gateway, worker, id string) bool {
	direct := make(chan time.Duration, 1)
	begin := time.Now()
	go func() {
		_, _, _ = postAs(worker, "/good/x", id+"-direct")
		direct <- time.Since(begin)
	}()
	st, body, err := postAs(gateway, "/good/x", id)
	took := time.Since(begin)
	return err == nil && st == http.StatusOK && strings.HasSuffix(body, platformtest.Event(3)) && took < soundGoal+2*<-direct
}

// peakMB returns the largest memory that a process has had.
func peakMB(t *testing.T, pid int) int {
	t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err)
	m := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(b)
	require.NotNil(t, m)
	kb, err := strconv.Atoi(string(m[1]))
	require.NoError(t, err)
	return kb >> 10
}

// cpuTime returns the processor time that a process has used.
func cpuTime(t *testing.T, pid int) time.Duration {
	t.Helper()
	const tick = 10 * time.Millisecond // of all architectures that are served
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	require.NoError(t, err)
	fs := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	user, err := strconv.Atoi(fs[11])
	require.NoError(t, err)
	system, err := strconv.Atoi(fs[12])
	require.NoError(t, err)
	return time.Duration(user+system) * tick
}

// Guards against upstreams that fill the memory of a gateway with bytes without end, and hold up calls to others.
func TestAnswersWithoutEndDoNotFillTheMemory(t *testing.T) {
	for _, name := range []string{"a header line", "header lines", "a body of a failed answer", "comments", "an event", "a head, byte by byte"} {
		t.Run(name, func(t *testing.T) {
			b := platformtest.EndlessAnswers()[name]
			s := platformtest.NewStore()
			t.Cleanup(s.Close)
			sound := platformtest.NewWorker("i-2", platformtest.Stream(3, 0))
			for i, w := range []*platformtest.Worker{platformtest.NewWorker("i-0", b), platformtest.NewWorker("i-1", b), sound} {
				t.Cleanup(w.Close)
				s.PutJSON("keyed.servers", w.ID, w.Record([]string{"bad", "bad", "good"}[i], "ready"))
			}
			s.Put("keyed.op", "config", []byte(endlessConfig))
			g := &signalGateway{callers: platformtest.FreeAddress(t), readiness: platformtest.FreeAddress(t)}
			g.process = start(t, binaries.hollowgrade, "gateway", "--box", "b", "--hall", "z", "--callers", g.callers, "--readiness", g.readiness,
				"--store", s.Address(), "--memory-mb", fmt.Sprint(boxMemoryMB), "--linger", "200ms")
			g.awaitReady(t)
			var group sync.WaitGroup
			for i := range endlessCallers {
				group.Go(func() {
					if st, _, err := postAs(g.callers, "/bad/x", fmt.Sprint("b", i)); err == nil && st == http.StatusOK {
						t.Errorf("call %d was answered", i)
					}
				})
			}
			var inTime atomic.Int64
			for i := range soundCalls {
				time.Sleep(10 * time.Millisecond)
				group.Go(func() {
					if inGoal(g.callers, sound.Address(), fmt.Sprint("g", i)) {
						inTime.Add(1)
					}
				})
			}
			group.Wait()
			peak := peakMB(t, g.Process.Pid)
			t.Logf("peak memory %d MB, processor time %s, %d of %d calls to the sound service in time", peak, cpuTime(t, g.Process.Pid), inTime.Load(), soundCalls)
			require.Less(t, peak, maxPeakMB)
			require.GreaterOrEqual(t, float64(inTime.Load()), minSoundShare*soundCalls)
			g.sendSignals(t, syscall.SIGTERM)
			g.requireExit(t)
		})
	}
}
