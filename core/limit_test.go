package core

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/placement"
)

// The users' rule: in any window an upstream that names a limit may get limitFactor times the
// limit, and limitExtra requests more.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
	// limitSettleTime is the time after which all processes know the limits.
	limitSettleTime = 2 * time.Second
	// minLimitUse is the least part of the allowed requests that has to be served when there are more
	// calls.
	minLimitUse = 0.5
)

// limitScenario simulates processes that share upstreams, some of which name a limit.
type limitScenario struct {
	processes         int
	limited           int
	others            int
	limit             float64
	limitVariation    float64       // part of the limit by which answers vary it, up or down
	callsPerSecond    float64       // of all processes
	firstProcessShare float64       // part of the calls that reach the first process
	idleTime          time.Duration // without calls, in the middle
	updateDelay       time.Duration // until peers receive a change
	packetLoss        float64       // part of the packets that are lost; heartbeats repeat their content
	partitioned       bool          // two halves of the processes can't reach each other
	duration          time.Duration
}

// limitResult is the result of a simulation.
type limitResult struct {
	peak    float64 // requests of an upstream in a window, as a part of what the rule allows
	use     float64 // used part of what the limits allow
	refused float64 // part of the calls
	updates int     // sent to peers
}

// limitProcess is one of the simulated processes.
type limitProcess struct {
	fleet         *Fleet
	box           string
	nextHeartbeat time.Time // heartbeat
}

func newLimitProcess(p limitScenario, i int, r *rand.Rand) *limitProcess {
	f := NewFleet(hollowgrade.SystemClock(), discardLogger())
	f.SetRandom(r.Float64)
	f.SetPeers(func() int { return p.processes - 1 })
	for u := range p.limited + p.others {
		f.Put(hollowgrade.Upstream{ID: fmt.Sprintf("u%02d", u), Service: "s", Address: "u:1", Slots: 16})
	}
	h := Heartbeat(p.processes)
	return &limitProcess{f, fmt.Sprint("b", i), time.Now().Add(time.Duration(r.Float64() * float64(h)))}
}

// sendShares sends shares of a process to the others.
func (p limitScenario) sendShares(ps []*limitProcess, from int, cs map[hollowgrade.Instance]Share, whole bool, r *rand.Rand) (sent int) {
	seen := ps[from].fleet.UpstreamStates(cs)
	var to []*Fleet
	for i, o := range ps {
		if i == from || p.partitioned && (i < len(ps)/2) != (from < len(ps)/2) || !whole && r.Float64() < p.packetLoss {
			continue
		}
		to = append(to, o.fleet)
	}
	time.AfterFunc(p.updateDelay, func() {
		for _, f := range to {
			f.ReceiveView(ps[from].box, cs, whole)
			for l, s := range seen {
				if s.HasLimit {
					f.ReceiveLimit(ps[from].box, l, s.Limit)
				}
			}
		}
	})
	return len(to)
}

// run simulates calls that are answered after 15 ms.
func (p limitScenario) run(t *testing.T, seed uint64) (x limitResult) {
	synctest.Test(t, func(*testing.T) {
		r := rand.New(rand.NewPCG(seed, 42))
		var ps []*limitProcess
		for i := range p.processes {
			ps = append(ps, newLimitProcess(p, i, r))
		}
		for i, o := range ps {
			p.sendShares(ps, i, o.fleet.Shares(), true, r)
		}
		time.Sleep(time.Second)
		got := map[string][]time.Time{}
		refused, calls, begin := 0, 0, time.Now()
		for time.Since(begin) < p.duration {
			time.Sleep(time.Duration(r.ExpFloat64() / p.callsPerSecond * float64(time.Second)))
			i := r.IntN(len(ps))
			if r.Float64() < p.firstProcessShare {
				i = 0
			}
			if p.idleTime > 0 && time.Since(begin) > p.duration/2 {
				p.idle(ps, r)
				p.duration, p.idleTime = p.duration+p.idleTime, 0
			}
			calls++
			f := ps[i].fleet
			k := f.pick("s", placement.Request{TimeLeft: time.Second}, nil)
			if k == nil {
				refused++
			} else {
				u := k.member.ID
				got[u] = append(got[u], time.Now())
				sent, signals := time.Now(), p.signals(u, r)
				time.AfterFunc(15*time.Millisecond, func() {
					f.recordAnswer(k.member, "r", false, sent, hollowgrade.Head{Status: 200, Signals: signals})
					f.release(k, true)
				})
				x.updates += p.sendShares(ps, i, f.Changes(false), false, r)
			}
			for j, o := range ps {
				if !time.Now().Before(o.nextHeartbeat) {
					o.nextHeartbeat = o.nextHeartbeat.Add(Heartbeat(p.processes))
					x.updates += p.sendShares(ps, j, o.fleet.Shares(), true, r)
				}
			}
		}
		x.refused = float64(refused) / float64(calls)
		used := 0
		for u := range p.limited {
			at := got[fmt.Sprintf("u%02d", u)]
			known := begin.Add(limitSettleTime)
			at = slices.DeleteFunc(at, func(t time.Time) bool { return t.Before(known) })
			used += len(at)
			x.peak = max(x.peak, float64(maxInWindow(at, known))/(limitFactor*p.limit*limitWindow.Seconds()+limitExtra))
		}
		x.use = float64(used) / (p.limit * float64(p.limited) * (p.duration - limitSettleTime).Seconds())
		time.Sleep(10 * time.Second) // answers and updates in flight
	})
	return x
}

// idle lets time pass with heartbeats and without calls.
func (p limitScenario) idle(ps []*limitProcess, r *rand.Rand) {
	for end := time.Now().Add(p.idleTime); time.Now().Before(end); {
		time.Sleep(Heartbeat(p.processes))
		for i, o := range ps {
			p.sendShares(ps, i, o.fleet.Shares(), true, r)
		}
	}
}

func (p limitScenario) signals(u string, r *rand.Rand) (s hollowgrade.Signals) {
	if u < fmt.Sprintf("u%02d", p.limited) {
		s.Limited, s.Limit = true, p.limit*(1+p.limitVariation*(2*r.Float64()-1))
	}
	return s
}

// maxInWindow returns the most times within any window that ends at from or later.
func maxInWindow(ts []time.Time, from time.Time) (n int) {
	for i, t := range ts {
		if t.Before(from) {
			continue
		}
		in := 0
		for _, o := range ts[:i+1] {
			if t.Sub(o) < limitWindow {
				in++
			}
		}
		n = max(n, in)
	}
	return n
}

func TestLimitsAreSharedByManyProcesses(t *testing.T) {
	for name, p := range map[string]limitScenario{
		"0.2 before 5":                        {processes: 5, limited: 2, others: 4, limit: 0.2, callsPerSecond: 50},
		"1.4 before 5":                        {processes: 5, limited: 2, others: 4, limit: 1.4, callsPerSecond: 50},
		"1.4 of all before 5":                 {processes: 5, limited: 3, limit: 1.4, callsPerSecond: 50},
		"1.4 before 5, uneven":                {processes: 5, limited: 2, others: 4, limit: 1.4, callsPerSecond: 50, firstProcessShare: 0.5},
		"1.4 of all, all calls to one of 28":  {processes: 28, limited: 6, limit: 1.4, callsPerSecond: 50, firstProcessShare: 1},
		"1.4 of all before 28, after a pause": {processes: 28, limited: 6, limit: 1.4, callsPerSecond: 300, idleTime: 30 * time.Second},
		"1.4 of all before 28":                {processes: 28, limited: 6, limit: 1.4, callsPerSecond: 300},
		"1.4 before 28, uneven":               {processes: 28, limited: 2, others: 4, limit: 1.4, callsPerSecond: 300, firstProcessShare: 0.5},
		"20 of all before 28":                 {processes: 28, limited: 6, limit: 20, callsPerSecond: 300},
		"1.4 of all before 28, lossy":         {processes: 28, limited: 6, limit: 1.4, callsPerSecond: 300, packetLoss: 0.1},
		"1.4 of all before 5, halves":         {processes: 5, limited: 3, limit: 1.4, callsPerSecond: 50, partitioned: true},
		"1.4 of all before 420":               {processes: 420, limited: 3, limit: 1.4, callsPerSecond: 700},
		"2 more or less before 5":             {processes: 5, limited: 2, others: 4, limit: 2, callsPerSecond: 50, limitVariation: 0.4},
		"20 of all before 420":                {processes: 420, limited: 3, limit: 20, callsPerSecond: 700},
	} {
		t.Run(name, func(t *testing.T) {
			p.updateDelay, p.duration = 40*time.Millisecond, 20*time.Second
			seeds := uint64(2)
			if p.processes > 100 {
				p.duration, seeds = 6*time.Second, 1 // each process sends its shares to all others every second
			}
			for seed := range seeds {
				x := p.run(t, seed)
				t.Logf("seed %d: most %.2f, use %.2f, refused %.2f, updates %d", seed, x.peak, x.use, x.refused, x.updates)
				require.LessOrEqual(t, x.peak, 1.0)
				if p.idleTime == 0 {
					require.GreaterOrEqual(t, x.use, minLimitUse)
				}
			}
		})
	}
}

// Guards against a limit that never expires: each hop makes a reported limit look younger by the
// time of the transfer, so that processes could renew it among each other after its upstream has
// ceased to name it.
func TestALimitThatProcessesTellEachOtherEndsWithItsUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := rand.New(rand.NewPCG(1, 42))
		p := limitScenario{processes: 5, limited: 1, others: 1, limit: 3, callsPerSecond: 50, updateDelay: 40 * time.Millisecond}
		var ps []*limitProcess
		for i := range p.processes {
			ps = append(ps, newLimitProcess(p, i, r))
			p.sendShares(ps, i, ps[i].fleet.Shares(), true, r)
		}
		begin := time.Now()
		const namedFor, after = 4 * time.Second, 6 * time.Second
		for time.Since(begin) < namedFor+after {
			time.Sleep(25 * time.Millisecond)
			for i, o := range ps {
				p.sendShares(ps, i, o.fleet.Shares(), true, r)
			}
			f := ps[r.IntN(len(ps))].fleet
			k := f.pick("s", placement.Request{TimeLeft: time.Second}, nil)
			if k == nil {
				continue
			}
			sent, signals := time.Now(), p.signals(k.member.ID, r)
			time.AfterFunc(60*time.Millisecond, func() {
				if time.Since(begin) > namedFor {
					signals = hollowgrade.Signals{}
				}
				f.recordAnswer(k.member, "r", false, sent, hollowgrade.Head{Status: 200, Signals: signals})
				f.release(k, true)
			})
		}
		for _, o := range ps {
			require.False(t, o.fleet.members["u00"].limit.named, "%s still has the limit", o.box)
		}
		time.Sleep(time.Second)
	})
}
