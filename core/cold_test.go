package core

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/placement"
)

// The users' rule: in any second a cold upstream may get coldFactor times the rate that it bears, and
// coldExtra requests more, from all gateways together.
const (
	coldWindow = time.Second
	coldFactor = 1.5
	coldExtra  = 5
)

// coldUpstream returns an entry of an upstream of the service s that stays cold for d.
func coldUpstream(id string, d time.Duration) hollowgrade.Upstream {
	return hollowgrade.Upstream{ID: id, Service: "s", Address: id + ":1", Slots: 4, ColdFor: d}
}

// newColdFleet returns a table whose service accepts perSecond requests at cold upstreams.
func newColdFleet(perSecond float64) *Fleet {
	f := newSignalFleet()
	f.SetColdRules(map[string]ColdRule{"s": {PerSecond: perSecond, Time: 3 * time.Second}})
	return f
}

// requirePicks checks how many calls in a row find an upstream.
func requirePicks(t *testing.T, f *Fleet, n int) {
	t.Helper()
	for i := range n {
		require.NotNil(t, pickForCall(f), "call %d of %d", i+1, n)
	}
	require.Nil(t, pickForCall(f), "one more than %d", n)
}

func TestColdUpstream(t *testing.T) {
	t.Run("takes some calls", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newColdFleet(1)
			f.Put(coldUpstream("u", 5*time.Second))
			time.Sleep(1200 * time.Millisecond)
			requirePicks(t, f, 1)
			require.Equal(t, 1, f.Cold())
		})
	})
	t.Run("is warm once its entry says so", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newColdFleet(1)
			f.Put(coldUpstream("u", 5*time.Second))
			f.Put(coldUpstream("u", 0))
			for range 20 {
				require.NotNil(t, pickForCall(f))
			}
		})
	})
	t.Run("is not warm by this process's clock alone", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newColdFleet(1)
			f.Put(coldUpstream("u", 2*time.Second))
			time.Sleep(2500 * time.Millisecond)
			require.Equal(t, 1, f.Cold())
			time.Sleep(coldConfirmTime)
			require.Zero(t, f.Cold(), "its entry is not read any more, or never written")
			for range 20 {
				require.NotNil(t, pickForCall(f))
			}
		})
	})
	t.Run("becomes cold at any moment", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newColdFleet(1)
			f.Put(coldUpstream("u", 0))
			require.NotNil(t, pickForCall(f))
			f.Put(coldUpstream("u", 5*time.Second))
			require.Nil(t, pickForCall(f))
		})
	})
	t.Run("is cold when it reports that it has started again", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newColdFleet(1)
			u := coldUpstream("u", 0)
			u.StartMillis = 1000
			f.Put(u)
			f.InstanceStarted("u", 2000)
			require.Equal(t, 1, f.Cold())
		})
	})
	t.Run("is bounded once the configuration is known", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newSignalFleet()
			f.Put(coldUpstream("u", 5*time.Second))
			require.NotNil(t, pickForCall(f))
			f.SetColdRules(map[string]ColdRule{"s": {PerSecond: 1}})
			require.Nil(t, pickForCall(f))
		})
	})
	t.Run("that also names a limit keeps the smaller one", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newColdFleet(1)
			f.Put(coldUpstream("u", 5*time.Second))
			receiveAnswer(f, "u", time.Now(), hollowgrade.Head{Status: 200, Signals: hollowgrade.Signals{Limited: true, Limit: 30}})
			time.Sleep(1200 * time.Millisecond)
			requirePicks(t, f, 1)
		})
	})
}

// coldScenario simulates processes before upstreams that return cold together. All calls of a
// service prefer the same upstreams, so that without a bound the first of them would get most.
type coldScenario struct {
	processes, cold, warm int
	perSecond             float64 // that a cold upstream bears
	callsPerSecond        float64 // of all processes
	updateDelay           time.Duration
	entryDelay            time.Duration // largest delay until a process has read an entry
}

// run returns the most requests of a cold upstream in a window as a part of what the rule allows, and
// the served part of the calls.
func (p coldScenario) run(t *testing.T, seed uint64) (peak, served float64) {
	const coldTime, rampTime = 4 * time.Second, 500 * time.Millisecond
	synctest.Test(t, func(*testing.T) {
		r := rand.New(rand.NewPCG(seed, 42))
		l := limitScenario{processes: p.processes, updateDelay: p.updateDelay}
		var ps []*limitProcess
		for i := range p.processes {
			o := newLimitProcess(l, i, r)
			o.fleet.SetColdRules(map[string]ColdRule{"s": {PerSecond: p.perSecond}})
			for u := range p.warm {
				o.fleet.Put(coldUpstream(fmt.Sprintf("w%02d", u), 0))
			}
			ps = append(ps, o)
		}
		for i, o := range ps {
			l.sendShares(ps, i, o.fleet.Shares(), true, r)
			time.AfterFunc(time.Second+time.Duration(r.Float64()*float64(p.entryDelay)), func() {
				for u := range p.cold {
					o.fleet.Put(coldUpstream(fmt.Sprintf("c%02d", u), coldTime))
				}
			})
		}
		time.Sleep(time.Second)
		got := map[string][]time.Time{}
		calls, refused, begin := 0, 0, time.Now()
		for time.Since(begin) < coldTime {
			time.Sleep(time.Duration(r.ExpFloat64() / p.callsPerSecond * float64(time.Second)))
			i := r.IntN(len(ps))
			f := ps[i].fleet
			k := f.pick("s", placement.Request{TimeLeft: time.Second}, nil)
			if settled := time.Since(begin) > p.entryDelay+rampTime; settled {
				calls++
				if k == nil {
					refused++
				}
			}
			if k == nil {
				continue
			}
			got[k.member.ID] = append(got[k.member.ID], time.Now())
			time.AfterFunc(15*time.Millisecond, func() { f.release(k, true) })
			l.sendShares(ps, i, f.Changes(false), false, r)
			for j, o := range ps {
				if !time.Now().Before(o.nextHeartbeat) {
					o.nextHeartbeat = o.nextHeartbeat.Add(Heartbeat(p.processes))
					l.sendShares(ps, j, o.fleet.Shares(), true, r)
				}
			}
		}
		for u := range p.cold {
			at := got[fmt.Sprintf("c%02d", u)]
			peak = max(peak, float64(maxInAnyWindow(at, coldWindow))/(coldFactor*p.perSecond+coldExtra))
		}
		served = 1 - float64(refused)/float64(max(calls, 1))
		time.Sleep(10 * time.Second) // updates in flight
	})
	return peak, served
}

// maxInAnyWindow returns the most times within any window.
func maxInAnyWindow(ts []time.Time, window time.Duration) (n int) {
	first := 0
	for i, t := range ts {
		for t.Sub(ts[first]) >= window {
			first++
		}
		n = max(n, i-first+1)
	}
	return n
}

func TestColdUpstreamsAreSharedByManyProcesses(t *testing.T) {
	for name, p := range map[string]coldScenario{
		"one of all before 30":      {processes: 30, cold: 1, perSecond: 26, callsPerSecond: 300},
		"one before 30":             {processes: 30, cold: 1, warm: 4, perSecond: 26, callsPerSecond: 300},
		"a hall before 30":          {processes: 30, cold: 20, warm: 20, perSecond: 26, callsPerSecond: 400},
		"a hall before 30, late":    {processes: 30, cold: 20, warm: 20, perSecond: 26, callsPerSecond: 400, entryDelay: 2 * time.Second},
		"a service before 30":       {processes: 30, cold: 20, perSecond: 26, callsPerSecond: 300},
		"a slow one before 30":      {processes: 30, cold: 4, warm: 4, perSecond: 3, callsPerSecond: 300},
		"a hall before 100":         {processes: 100, cold: 20, warm: 20, perSecond: 26, callsPerSecond: 400},
		"one of all before 5, busy": {processes: 5, cold: 1, perSecond: 26, callsPerSecond: 500},
	} {
		t.Run(name, func(t *testing.T) {
			p.updateDelay = 40 * time.Millisecond
			peak, served := p.run(t, 1)
			t.Logf("most %.2f, served %.2f", peak, served)
			require.LessOrEqual(t, peak, 1.0)
			capacity := min(1, float64(p.cold)*p.perSecond/p.callsPerSecond)
			if p.warm > 0 {
				capacity = 1
			}
			require.GreaterOrEqual(t, served, minLimitUse*capacity, "cold upstreams serve what they can")
		})
	}
}
