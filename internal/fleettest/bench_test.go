package fleettest

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/internal/standin"
	"github.com/hollowgrade/hollowgrade/measure"
	"github.com/hollowgrade/hollowgrade/sched"
)

// workload describes the network and the load of one of two deployments.
type workload struct {
	name                   string
	hallDelay, callerDelay time.Duration // one-way delays
	promptTokens           []int         // lengths of prompts
	promptWeights          []float64
	organisationWeights    []float64 // a few are large
	serviceShare           float64
	answerTokens           int // length of an answer
}

// One prompt in fifty has more than 100,000 tokens; these are most of the work.
var workloads = []workload{
	{
		name: "sao-bien", hallDelay: 1500 * time.Microsecond, callerDelay: time.Millisecond,
		promptTokens: []int{1_000, 4_000, 16_000, 64_000, 256_000, 1_000_000}, promptWeights: []float64{44, 25, 21, 8, 1.5, 0.5},
		organisationWeights: []float64{30, 20, 15, 8, 7, 6, 5, 4, 3, 2}, serviceShare: 0.15, answerTokens: 48,
	},
	{
		name: "korrigan", hallDelay: 500 * time.Microsecond, callerDelay: 3 * time.Millisecond,
		promptTokens: []int{1_000, 4_000, 16_000, 64_000, 256_000, 1_000_000}, promptWeights: []float64{50, 32, 8, 8, 1.7, 0.3},
		organisationWeights: []float64{25, 25, 20, 6, 5, 5, 4, 4, 3, 3}, serviceShare: 0.15, answerTokens: 32,
	},
}

// strategy is a combination of policy, queue and placement.
type strategy struct {
	name  string
	apply func(*Config)
}

// plainPolicy doesn't distinguish requests, except for the allowed time of long prompts.
const plainPolicy = `{class: "normal", priority: 0, allowed: prompt_tokens > 100000 ? duration("3m") : duration("20s"), may_wait: true, repeatable: true, share: 1.0}`

const ownPolicy = `prompt_tokens > 100000
  ? {class: "background", priority: 0, allowed: duration("3m"), may_wait: true, repeatable: true, share: 0.5}
: prompt_tokens > 5000
  ? {class: "normal", priority: 0, allowed: duration("20s"), may_wait: true, repeatable: true, share: 1.0}
  : {class: "instant", priority: 0, allowed: duration("20s"), may_wait: true, repeatable: true, share: 1.0}`

// baseline sends each request to the upstream at once in order of arrival, as a load balancer in
// front of engines does.
func baseline(c *Config) {
	c.Policy = plainPolicy
	c.Queue = func() sched.Queue { return sched.NewFIFO() }
	c.Limits.PrefillWindow = math.MaxInt
	c.Limits.Piece = 0
	c.Limits.MaxRunning = 128
}

var strategies = []strategy{
	{"naive", func(c *Config) {
		baseline(c)
		c.Placement = func() sched.Placement { return sched.NewRoundRobin() }
	}},
	{"least-loaded", func(c *Config) {
		baseline(c)
		c.Placement = func() sched.Placement { return sched.NewLeastLoaded() }
	}},
	{"ours", func(c *Config) { c.Policy = ownPolicy }},
}

func benchConfig(u workload, m strategy) Config {
	c := Small()
	c.Entries, c.Engines, c.Services = 3, 18, 3
	c.Engine = standin.DefaultEngine(Model)
	c.Limits.LongTokens, c.Limits.Heartbeat, c.Limits.Sweep = 100_000, 500*time.Millisecond, time.Second
	c.HallDelay, c.CallerDelay = u.hallDelay, u.callerDelay
	c.Entry.MaxBodyBytes = 16 << 20
	m.apply(&c)
	return c
}

// engineRate is the number of prompt tokens per second that one stand-in engine prefills with full
// steps.
func engineRate(c standin.EngineConfig) float64 {
	step := c.StepBase.Seconds() + float64(c.StepTokens)/c.PrefillRate
	return float64(c.StepTokens) / step
}

type arrival struct {
	at   time.Duration
	call Call
	size int // tokens of the prompt
	org  int
}

const (
	loadDuration     = 40 * time.Second
	longPromptTokens = 100_000
)

// drawLoad draws the load of a workload at a fraction of the fleet's capacity.
func drawLoad(u workload, part float64, seed uint64) (as []arrival) {
	r := rand.New(rand.NewPCG(seed, 7))
	mean := 0.0
	total := 0.0
	for i, w := range u.promptWeights {
		mean += w * float64(u.promptTokens[i])
		total += w
	}
	perSecond := part * 18 * engineRate(standin.DefaultEngine()) / (mean / total)
	n := int(perSecond * loadDuration.Seconds())
	for i := range n {
		size := u.promptTokens[pickWeighted(r, u.promptWeights)]
		org := pickWeighted(r, u.organisationWeights)
		a := arrival{at: time.Duration(r.Float64() * float64(loadDuration)), size: size, org: org}
		a.call = Call{
			Entry: i % 3, Organisation: fmt.Sprintf("o%d", org), Tokens: u.answerTokens,
			Prompt: fmt.Sprintf("%08d", i) + strings.Repeat(fmt.Sprintf("%04d", i%10000), size-2),
		}
		if r.Float64() < u.serviceShare/(1-u.serviceShare) {
			s := arrival{at: a.at, org: org, call: Call{Entry: i % 3, Organisation: a.call.Organisation, Service: true, Prompt: fmt.Sprint("lookup ", i)}}
			as = append(as, s)
		}
		as = append(as, a)
	}
	slices.SortStableFunc(as, func(a, b arrival) int { return int(a.at - b.at) })
	return as
}

func pickWeighted(r *rand.Rand, ws []float64) int {
	total := 0.0
	for _, w := range ws {
		total += w
	}
	x := r.Float64() * total
	for i, w := range ws {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(ws) - 1
}

func withoutLong(as []arrival) []arrival {
	return slices.DeleteFunc(slices.Clone(as), func(a arrival) bool { return a.size > longPromptTokens })
}

type outcome struct {
	arrival
	answer Answer
}

// runLoad sends the load to a fleet in virtual time and returns the outcomes.
func runLoad(b *testing.B, c Config, as []arrival) (outs []outcome) {
	b.Helper()
	defer runtime.GC()
	defer runtime.GC()
	outs = make([]outcome, len(as))
	runInBubble(b, func() {
		f := New(c)
		defer f.Stop()
		var names []string
		for i := range 10 {
			names = append(names, fmt.Sprintf("o%d", i))
		}
		if err := f.Prepare(names...); err != nil {
			panic(err)
		}
		began := time.Now()
		var g sync.WaitGroup
		for i, a := range as {
			g.Go(func() {
				time.Sleep(time.Until(began.Add(a.at)))
				outs[i] = outcome{a, f.Do(context.Background(), a.call)}
			})
		}
		g.Wait()
	})
	return outs
}

// runInBubble runs f in a bubble of virtual time, which only a test can create.
func runInBubble(b *testing.B, f func()) {
	b.Helper()
	ok := testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{
		Name: "bubble",
		F: func(t *testing.T) {
			synctest.Test(t, func(*testing.T) { f() })
		},
	}})
	require.True(b, ok)
}

func (o outcome) timeToFirstToken() time.Duration {
	return o.answer.First.Sub(o.answer.Sent)
}

func finished(o outcome) bool {
	return o.answer.Outcome == hollowgrade.Finished
}

func quantile(ds []time.Duration, q float64) time.Duration {
	if len(ds) == 0 {
		return 0
	}
	slices.Sort(ds)
	return ds[min(int(q*float64(len(ds))), len(ds)-1)]
}

// firstTokenTimes returns the times to first token of the finished model requests that match.
func firstTokenTimes(os []outcome, match func(outcome) bool) (ds []time.Duration) {
	for _, o := range os {
		if finished(o) && !o.call.Service && match(o) {
			ds = append(ds, o.timeToFirstToken())
		}
	}
	return ds
}

func isShort(o outcome) bool { return o.size <= measure.MaxShortPromptTokens }

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// reportMetrics reports the metrics of a run with long requests and of one without.
func reportMetrics(b *testing.B, outs, alone []outcome) {
	b.Helper()
	for _, n := range workloads[0].promptTokens {
		ds := firstTokenTimes(outs, func(o outcome) bool { return o.size == n })
		b.ReportMetric(ms(quantile(ds, 0.95)), fmt.Sprintf("ttft-p95-%s-ms", measure.Bucket(n)))
	}
	with, without := quantile(firstTokenTimes(outs, isShort), 0.95), quantile(firstTokenTimes(alone, isShort), 0.95)
	b.ReportMetric(float64(with)/float64(without), "short-slowdown-p95")
	b.ReportMetric(ms(without), "short-alone-p95-ms")
	long, done, refused, good := 0, 0, 0, 0
	for _, o := range outs {
		if o.size > longPromptTokens {
			long++
			if finished(o) {
				done++
			}
		}
		if finished(o) {
			good++
		}
		if o.answer.Outcome == hollowgrade.NotRun {
			refused++
		}
	}
	b.ReportMetric(float64(done)/float64(max(long, 1)), "long-finished-share")
	b.ReportMetric(float64(good)/float64(len(outs)), "finished-share")
	b.ReportMetric(float64(refused)/float64(len(outs)), "refused-share")
	b.ReportMetric(goodput(outs), "goodput")
	b.ReportMetric(worstOrganisation(outs), "worst-org-ratio")
}

// goodput is the number of finished requests per second of the load.
func goodput(os []outcome) float64 {
	n := 0
	for _, o := range os {
		if finished(o) {
			n++
		}
	}
	return float64(n) / loadDuration.Seconds()
}

// worstOrganisation returns the ratio of the worst organisation's 95th percentile of the time to
// first token of short requests to that of the median one.
func worstOrganisation(os []outcome) float64 {
	var ps []time.Duration
	for i := range 10 {
		if ds := firstTokenTimes(os, func(o outcome) bool { return o.org == i && isShort(o) }); len(ds) > 0 {
			ps = append(ps, quantile(ds, 0.95))
		}
	}
	if len(ps) == 0 {
		return 0
	}
	return float64(slices.Max(ps)) / float64(quantile(ps, 0.5))
}

// BenchmarkFleet compares the strategies, two of which are usual load balancing. Time is virtual:
// the same seed gives the same load, and the figures don't depend on the machine.
func BenchmarkFleet(b *testing.B) {
	for _, u := range workloads {
		for _, part := range []float64{0.5, 0.8, 0.95, 2} {
			for seed := range uint64(3) {
				for _, m := range strategies {
					b.Run(fmt.Sprintf("%s/load=%v/seed=%d/%s", u.name, part, seed+1, m.name), func(b *testing.B) {
						as := drawLoad(u, part, seed+1)
						var with, alone []outcome
						for range b.N {
							with = runLoad(b, benchConfig(u, m), as)
							alone = runLoad(b, benchConfig(u, m), withoutLong(as))
						}
						reportMetrics(b, with, alone)
					})
				}
			}
		}
	}
}
