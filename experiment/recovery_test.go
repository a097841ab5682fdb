package experiment

import (
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/config"
	"github.com/hollowgrade/hollowgrade/core"
)

const (
	returnsAfter = 700 * time.Millisecond // outage before the first gateway serves again
	returnSpread = 300 * time.Millisecond // until the last gateway serves
	// answerTime is about how long an answer takes. The answers that were in progress are resumed.
	answerTime = 2 * time.Second
	// placeMargin is the least time that a call needs from its placement to its first event: with less
	// left it cannot be in time.
	placeMargin = 150 * time.Millisecond
)

// returnOfAll is the load right after all gateways were lost.
type returnOfAll struct {
	*simulation
	serves     []time.Duration // when each gateway begins to serve
	recovering []bool          // whether it found that the others have started together with it
	urgent     map[*job]bool   // short calls that can be in time if they are placed first
}

// newReturnOfAll returns the simulation of an outage of all gateways, with the callers that resume
// their streams and with new ones.
func newReturnOfAll(f File, recovering bool) *returnOfAll {
	p := &returnOfAll{simulation: newSimulation(f, Variant{Name: "gateway", Decisions: Worth}), urgent: map[*job]bool{}}
	for i := range p.gateways {
		at := returnsAfter + time.Duration(p.loadRandom.Float64()*float64(returnSpread))
		p.serves = append(p.serves, at)
		if recovering {
			p.schedule(at, func() { p.recovering = append(p.recovering, p.fleet(i).BeginServing(i, len(p.gateways))) })
		}
	}
	for i := range f.Kinds {
		k := &f.Kinds[i]
		for range int(k.Rate * answerTime.Seconds()) {
			p.arrive(p.newJob(k, 0), true)
		}
		for at := p.gap(k); at < f.Duration.Std(); at += p.gap(k) {
			p.arrive(p.newJob(k, at), false)
		}
	}
	return p
}

func (p *returnOfAll) fleet(i int) *core.Fleet {
	return p.gateways[i].(*gateway).fleet
}

// gap draws the time until the next request of a kind.
func (p *returnOfAll) gap(k *Kind) time.Duration {
	return time.Duration(p.loadRandom.ExpFloat64() / k.Rate * float64(time.Second))
}

func (p *returnOfAll) newJob(k *Kind, at time.Duration) *job {
	return &job{kind: k, promptTokens: p.drawPrompt(k), answerTokens: p.drawSize(k.Answer, answerSpread, 0), arrived: at}
}

// arrive lets a request reach a gateway, which reads it once it serves.
func (p *returnOfAll) arrive(j *job, resumed bool) {
	i := p.loadRandom.IntN(len(p.gateways))
	read := max(j.arrived, p.serves[i])
	if !resumed && j.kind.Name == "brief" && read-j.arrived+placeMargin <= j.kind.Goal.Std() {
		p.urgent[j] = true
	}
	p.schedule(read, func() { p.schedule(p.delay(j, i, resumed), func() { p.placeRequestAt(j, i) }) })
}

// delay returns how long a gateway delays a request.
func (p *returnOfAll) delay(j *job, i int, resumed bool) time.Duration {
	left := j.kind.Allowed.Std() - (p.now - j.arrived)
	c := hollowgrade.Call{PromptTokens: j.promptTokens, MaxTokens: j.answerTokens, Patience: left}
	if resumed {
		c.LastEventID = "1"
	}
	r := core.Route{Goal: j.kind.Goal.Std(), PauseGoal: j.kind.Pause.Std(), Timeout: j.kind.Allowed.Std()}
	return p.fleet(i).RecoveryDelay(p.gateways[i].(*gateway).service, r, c, left)
}

// inTime is how many of the requests of some kind were in time.
type inTime struct{ urgent, urgentServed, long, longServed int }

func (n inTime) plus(o inTime) inTime {
	return inTime{n.urgent + o.urgent, n.urgentServed + o.urgentServed, n.long + o.long, n.longServed + o.longServed}
}

// outcome runs the simulation and counts the urgent calls and the new long prompts.
func (p *returnOfAll) outcome() (n inTime) {
	for _, r := range p.finish() {
		if r.Kind != "brief" && r.Arrived > 0 {
			n.long++
			if r.Earned >= r.Owed {
				n.longServed++
			}
		}
	}
	for j := range p.urgent {
		n.urgent++
		if j.firstEvent > 0 && j.firstEvent-j.arrived <= j.kind.Goal.Std() && j.longestPause <= j.kind.Pause.Std() {
			n.urgentServed++
		}
	}
	return n
}

// Guards against late answers to new callers after all gateways were lost: those that return start
// without knowledge of each other, and callers of cut streams come to all of them at once. Counts are
// sums over some seeds: a long prompt in the first moments decides a single run.
func TestNewCallsGoFirstAfterALossOfAllGateways(t *testing.T) {
	f, err := Read(filepath.Join(examplesDir, "sixty-gateways.toml"))
	require.NoError(t, err)
	f.Duration = config.Duration(returnsAfter + returnSpread + 500*time.Millisecond)
	f.Gateways = 24
	var recovering, without inTime
	for seed := range uint64(4) {
		f.Seed = seed + 1
		var a, b inTime
		var g sync.WaitGroup
		p := newReturnOfAll(f, true)
		g.Go(func() { a = p.outcome() })
		g.Go(func() { b = newReturnOfAll(f, false).outcome() })
		g.Wait()
		require.NotContains(t, p.recovering, false)
		t.Logf("seed %d, in time: %+v, without recovery %+v", f.Seed, a, b)
		recovering, without = recovering.plus(a), without.plus(b)
	}
	require.Greater(t, 2*recovering.urgentServed, recovering.urgent, "most of the calls that can be in time are not")
	require.Greater(t, recovering.urgentServed, without.urgentServed)
	require.GreaterOrEqual(t, recovering.longServed, without.longServed, "long prompts lose by it")
}
