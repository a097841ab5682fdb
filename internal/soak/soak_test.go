package soak

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	seeds  = flag.String("seeds", "1", "seeds to play, as numbers and ranges: 1,5,10-59")
	length = flag.Duration("length", 15*time.Second, "how long faults are made for each seed")
	// Of six gateways four read the store, and two get large values from them.
	gateways = flag.Int("gateways", 6, "gateways of each run")
	workers  = flag.Int("workers", 5, "workers of each run")
	callers  = flag.Int("callers", 10, "callers of each run")
)

// recoveryTimeout bounds the time from the end of all faults until each gateway serves requests.
const recoveryTimeout = 12 * time.Second

// checkInterval is the interval at which the history is checked during a run.
const checkInterval = time.Second

// buildBinary builds the tested program.
func buildBinary(t testing.TB) string {
	t.Helper()
	b := filepath.Join(t.TempDir(), "hollowgrade")
	out, err := exec.Command("go", "build", "-tags", "soak", "-o", b, "../../cmd/hollowgrade").CombinedOutput()
	require.NoError(t, err, string(out))
	return b
}

func parseSeeds(t testing.TB, s string) (ns []uint64) {
	t.Helper()
	for p := range strings.SplitSeq(s, ",") {
		a, b, isRange := strings.Cut(p, "-")
		if !isRange {
			b = a
		}
		from, err := strconv.ParseUint(a, 10, 64)
		require.NoError(t, err)
		to, err := strconv.ParseUint(b, 10, 64)
		require.NoError(t, err)
		for n := from; n <= to; n++ {
			ns = append(ns, n)
		}
	}
	return ns
}

func TestSoak(t *testing.T) {
	b := buildBinary(t)
	for _, s := range parseSeeds(t, *seeds) {
		t.Run(fmt.Sprint("seed ", s), func(t *testing.T) { runSeed(t, b, s) })
	}
}

// runSeed runs the plan of one seed under load and checks the history.
func runSeed(t *testing.T, binary string, seed uint64) {
	w := newWorld(t, binary, worldSize{*gateways, *workers, *callers, storeTellsNoEra(seed), logsArePiped(seed), answersWithoutEnd(seed), failuresAreBare(seed)})
	defer w.close()
	p := newPlan(seed, *length)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.awaitServing(t, "at the start")
	start := time.Now()
	var cs, fs sync.WaitGroup
	for i := range *callers {
		cs.Go(func() { w.runCaller(ctx, seed, i) })
	}
	cs.Go(func() { w.runLongCaller(ctx, seed) })
	for i := range *gateways * keptCallersPerGateway {
		cs.Go(func() { w.runKeptCaller(ctx, seed, i) })
	}
	if hasCrowd(seed) {
		qs := crowdRequests()
		for i := range crowdCallers {
			cs.Go(func() { w.runCrowdCaller(ctx, qs, seed, i) })
		}
	}
	for _, s := range p {
		fs.Go(func() {
			time.Sleep(s.at - time.Since(start))
			w.apply(s)
		})
	}
	bs := w.watch(&fs)
	if len(bs) == 0 {
		w.resumeGateways()
		w.awaitServing(t, "after the last fault")
	}
	bs = append(bs, w.overMemory()...)
	cancel()
	cs.Wait()
	w.report(t, seed, p, bs)
}

// watch checks the history until all steps are over, and returns the violations of the first check
// that finds some.
func (w *world) watch(fs *sync.WaitGroup) (bs []string) {
	over := make(chan struct{})
	go func() {
		fs.Wait()
		close(over)
	}()
	for {
		select {
		case <-over:
			return w.check()
		case <-time.After(checkInterval):
			if bs = w.check(); len(bs) > 0 {
				<-over // the steps still use the world
				return bs
			}
		}
	}
}

func (w *world) check() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.history.check()
}

// awaitServing waits until each gateway has answered a request.
func (w *world) awaitServing(t *testing.T, when string) {
	t.Helper()
	until := time.Now().Add(recoveryTimeout)
	for i := range w.gateways {
		for n := 0; ; n++ {
			if w.sendProbe(i, fmt.Sprintf("again-%d-%d-%s", i, n, when)) {
				break
			}
			if time.Now().After(until) {
				require.Fail(t, "RECOVER: a gateway does not serve", "%s, %s, logs in %s", w.gateways[i].name, when, w.logs)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// countLogged counts the matches of a pattern in the gateways' logs.
func (w *world) countLogged(pattern string) (n int) {
	p := regexp.MustCompile(pattern)
	for _, g := range w.gateways {
		b, err := os.ReadFile(filepath.Join(w.logs, g.name+".log"))
		if err != nil {
			w.t.Errorf("log of %s: %v", g.name, err)
		}
		n += len(p.FindAll(b, -1))
	}
	return n
}

// report logs the figures of a run and fails the test if there are violations, in which case the
// logs are kept.
func (w *world) report(t *testing.T, seed uint64, p []step, bs []string) {
	t.Helper()
	bs = append(bs, w.check()...)
	w.mu.Lock()
	defer w.mu.Unlock()
	ok, long, longOK, kept, crossed := 0, 0, 0, 0, 0
	for _, q := range w.history.requests {
		if q.promptTokens > 0 {
			long++
		}
		if q.kept {
			kept++
		}
		if q.kept && !q.ended.IsZero() && !q.complete {
			crossed++
		}
		if q.promptTokens > 0 && success(q) && q.complete {
			longOK++
		}
		if success(q) && q.complete {
			ok++
		}
	}
	t.Logf("seed %d: %d faults, %d requests, %d served, %d arrivals at workers, %d large values from peers, %d suspensions, %d of %d long prompts answered, %d sent and %d refused after a wait, %d on kept connections, %d of them without an answer, %d planned stops, %d processes ended before they worked, %d promises broken",
		seed, len(p), len(w.history.requests), ok, len(w.history.runs), w.countLogged("value received"), w.countLogged("machine was suspended"), longOK, long, w.countLogged(`"sent".*"turn_wait_ms":[1-9]`), w.countLogged(`"not sent".*"turn_wait_ms":[1-9]`), kept, crossed, len(w.history.stops), len(w.history.ownEnds), len(bs))
	if len(bs) == 0 && !t.Failed() {
		require.NoError(t, os.RemoveAll(w.logs))
		return
	}
	require.Empty(t, bs, "seed %d, logs in %s, plan:\n%s", seed, w.logs, formatPlan(p))
}
