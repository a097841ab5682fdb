package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/internal/load"
	"github.com/hollowgrade/hollowgrade/upstream"
)

const (
	manyStreams     = 2000
	manyEngines     = 18
	manyStreamsStep = "34ms" // time between two tokens of an answer
	latencyProbes   = 300    // requests that measure the added latency
)

func streamsMix(tokens int) load.Mix {
	return load.Mix{
		Organisations: []load.Organisation{{Name: "club-1", Key: "demo-key-club-1", Weight: 1}},
		Kinds:         []load.Kind{{Name: "segment", Weight: 1, Model: "copy-1", Prompt: []int{200}, MaxTokens: tokens}},
	}
}

// rss returns the resident memory of a process in bytes.
func rss(b *testing.B, p *process) float64 {
	b.Helper()
	s, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Process.Pid))
	require.NoError(b, err)
	for l := range strings.Lines(string(s)) {
		if v, ok := strings.CutPrefix(l, "VmRSS:"); ok {
			n, err := strconv.Atoi(strings.Fields(v)[0])
			require.NoError(b, err)
			return float64(n) * 1024
		}
	}
	return 0
}

// generateDirectly calls an engine without hollowgrade and returns the total time.
func generateDirectly(b *testing.B, url string, i int) time.Duration {
	b.Helper()
	at := time.Now()
	s, err := upstream.NewEngine(url, upstream.Transport(nil)).Generate(context.Background(), hollowgrade.Generation{
		ID: fmt.Sprint("direct-", i), Model: "copy-1", Prompt: strings.Repeat("abcd", 200), MaxTokens: 4,
	})
	require.NoError(b, err)
	defer s.Close()
	for err == nil {
		_, err = s.Next()
	}
	return time.Since(at)
}

func quantile(ds []time.Duration, q float64) float64 {
	slices.Sort(ds)
	return float64(ds[int(q*float64(len(ds)-1))].Microseconds()) / 1000
}

// BenchmarkStreams opens 2,000 streams at once through one entry in front of 18 agents and engines,
// each a separate process on this machine, and checks each answer.
func BenchmarkStreams(b *testing.B) {
	f := startFleet(b, 1, manyEngines, manyStreamsStep)
	r := load.NewRunner(f.callers, true)
	var proxied, direct []time.Duration
	for i := range latencyProbes {
		v := r.Run(context.Background(), streamsMix(4).Draw(1, time.Nanosecond, load.Surge{}, uint64(i)))[0]
		require.Empty(b, v.Wrong)
		proxied = append(proxied, v.Took)
		direct = append(direct, generateDirectly(b, f.urls[i%len(f.urls)], i))
	}
	idle := rss(b, f.entries[0])
	for range b.N {
		began := time.Now()
		peak := make(chan float64)
		go func() {
			time.Sleep(4 * time.Second)
			peak <- rss(b, f.entries[0])
		}()
		rs := r.Run(context.Background(), streamsMix(200).Draw(manyStreams, time.Second, load.Surge{}, 1))
		took := time.Since(began)
		s, err := load.Summarise(rs)
		require.NoError(b, err)
		require.Zero(b, s.Wrong, "%v", s.Samples)
		b.ReportMetric(float64(s.Report.Finished()), "whole-answers")
		b.ReportMetric(float64(s.Report.Finished()*200)/took.Seconds(), "tokens/s")
		b.ReportMetric((<-peak-idle)/manyStreams, "B/stream")
	}
	b.ReportMetric(quantile(proxied, 0.5)-quantile(direct, 0.5), "added-p50-ms")
	b.ReportMetric(quantile(proxied, 0.99)-quantile(direct, 0.99), "added-p99-ms")
}
