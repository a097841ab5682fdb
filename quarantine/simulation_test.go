package quarantine

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	step             = 5 * time.Millisecond
	exchangeInterval = 25 * time.Millisecond // between two exchanges of updates by gateways
	downTime         = 1500 * time.Millisecond
	crashDelay       = 100 * time.Millisecond // until a harmful request crashes its upstream
)

// stream is requests that are sent at a rate.
type stream struct {
	rate        float64 // a second
	subject     func() Request
	harmful     bool
	crashAfter  time.Duration // until a harmful run crashes its upstream, [crashDelay] if 0
	maxAttempts int           // attempts per call

	calls, sent, lost, served, refused, blocked int

	crashed, sentAt []time.Time // of a harmful stream: when its runs crashed upstreams, and when they were sent
}

// lateSends returns how many runs of a harmful stream were sent later than d after its n-th crash.
func (s *stream) lateSends(n int, d time.Duration) (late int) {
	if len(s.crashed) == 0 {
		return 0
	}
	known := s.crashed[min(n, len(s.crashed))-1].Add(d)
	for _, t := range s.sentAt {
		if t.After(known) {
			late++
		}
	}
	return late
}

// servedShare returns the part of the calls that were served.
func (s *stream) servedShare() float64 {
	return float64(s.served) / float64(max(s.calls, 1))
}

// run is an attempt that is running, or that waits to be retried.
type run struct {
	stream    *stream
	subject   Request
	gateway   *Table
	admission Admission
	upstream  int // index of the upstream
	sent      time.Time
	endsAt    time.Time
	attempt   int
}

// simulation simulates a pool of upstreams with its gateways and callers in steps of time.
type simulation struct {
	*cluster
	random       *rand.Rand
	streams      []*stream
	runs         []*run
	retries      []*run              // attempts to be retried
	upAt         [poolSize]time.Time // when upstreams that crashed are up again
	crashCounts  [poolSize]int
	crashTimes   []time.Time
	lastExchange time.Time
	crashPattern crashPattern
	downFor      time.Duration // of an upstream that crashed, [downTime] if 0
	retryPauses  bool          // the same gateway retries a call after a pause
	reroutes     bool          // an attempt that finds its upstream down goes to another one at once
	relays       bool          // a relay in front of an upstream goes on accepting after a crash; the upstream's next instance shows the crash
	probed       bool          // the same, but the second probe that is closed shows the crash
	undetected   []undetectedLoss
}

// undetectedLoss is a loss that isn't detected yet.
type undetectedLoss struct {
	Loss
	gateway    *Table
	detectedAt time.Time
}

// entryReadSpread is the time after an upstream is up again within which all gateways read its
// entry.
const entryReadSpread = 400 * time.Millisecond

// probeDelay is how long after a crash the second probe of its upstream is closed, and probeSpread
// is by how much that varies.
const (
	probeDelay  = 250 * time.Millisecond
	probeSpread = 50 * time.Millisecond
)

// reportLoss reports a loss to a gateway, at once or when its crash is detected.
func (p *simulation) reportLoss(b *Table, l Loss) {
	var after time.Duration
	switch {
	case p.probed:
		after = probeDelay + time.Duration(p.random.Int64N(int64(probeSpread)))
	case p.relays:
		after = downTime + time.Duration(p.random.Int64N(int64(entryReadSpread)))
	default:
		b.RecordLoss(l)
		return
	}
	b.RecordUnconfirmed(l)
	p.undetected = append(p.undetected, undetectedLoss{l, b, l.Lost.Add(after)})
}

// reportDetected reports the losses that are detected by now.
func (p *simulation) reportDetected(now time.Time) {
	p.undetected = slices.DeleteFunc(p.undetected, func(u undetectedLoss) bool {
		if now.Before(u.detectedAt) {
			return false
		}
		u.gateway.RecordLoss(u.Loss)
		return true
	})
}

func newSimulation(t *testing.T, seed uint64, crash crashPattern, ss ...*stream) *simulation {
	return &simulation{cluster: newCluster(t, 5), random: rand.New(rand.NewPCG(seed, 1)), streams: ss, crashPattern: crash}
}

// run runs the simulation for some time.
func (p *simulation) run(d time.Duration) {
	for end := p.clock.Now().Add(d); p.clock.Now().Before(end); p.clock.Advance(step) {
		now := p.clock.Now()
		for _, i := range p.crashPattern(p) {
			p.crashUpstream(i)
		}
		for _, s := range p.streams {
			for n := s.rate * step.Seconds(); n > 0 && p.random.Float64() < n; n-- {
				p.send(s, s.subject(), 1)
			}
		}
		p.finish(now)
		p.retry(now)
		p.reportDetected(now)
		if now.Sub(p.lastExchange) >= exchangeInterval {
			p.exchange()
			p.lastExchange = now
		}
	}
}

// send sends a request to an upstream by a random gateway.
func (p *simulation) send(s *stream, subject Request, attempt int) {
	p.sendBy(p.gateways[p.random.IntN(len(p.gateways))], s, subject, attempt)
}

// sendBy sends a request to a random upstream by one gateway.
func (p *simulation) sendBy(b *Table, s *stream, subject Request, attempt int) {
	now := p.clock.Now()
	if attempt == 1 {
		s.calls++
	}
	l := b.Begin(subject)
	if !l.Granted {
		s.refused++
		if !l.Block.Since.IsZero() {
			s.blocked++
		}
		return
	}
	at := p.random.IntN(poolSize)
	for p.reroutes && now.Before(p.upAt[at]) && slices.ContainsFunc(p.upAt[:], func(t time.Time) bool { return !now.Before(t) }) {
		at = p.random.IntN(poolSize)
	}
	if now.Before(p.upAt[at]) {
		b.End(l) // the upstream is down and nothing was sent
		return
	}
	s.sent++
	took := 200*time.Millisecond + time.Duration(p.random.IntN(1000))*time.Millisecond
	if s.harmful {
		took = cmp.Or(s.crashAfter, crashDelay)
		s.sentAt = append(s.sentAt, now)
	}
	p.runs = append(p.runs, &run{s, subject, b, l, at, now, now.Add(took), attempt})
}

// finish ends the runs whose time is over, and crashes the upstreams of those that are harmful.
func (p *simulation) finish(now time.Time) {
	for _, r := range slices.Clone(p.runs) {
		if r.stream.harmful && !now.Before(r.endsAt) && !now.Before(p.upAt[r.upstream]) {
			r.stream.crashed = append(r.stream.crashed, now)
			p.crashUpstream(r.upstream)
		}
	}
	p.runs = slices.DeleteFunc(p.runs, func(r *run) bool {
		if now.Before(r.endsAt) {
			return false
		}
		r.stream.served++
		r.gateway.RecordAnswer(r.subject, true)
		r.gateway.End(r.admission)
		return true
	})
}

// crashUpstream crashes an upstream with all runs there.
func (p *simulation) crashUpstream(at int) {
	now := p.clock.Now()
	if now.Before(p.upAt[at]) {
		return
	}
	p.upAt[at] = now.Add(cmp.Or(p.downFor, downTime))
	p.crashCounts[at]++
	p.crashTimes = append(p.crashTimes, now)
	rs := p.runs
	p.runs = nil
	var retries []*run
	for _, r := range rs {
		if r.upstream != at {
			p.runs = append(p.runs, r)
			continue
		}
		r.stream.lost++
		p.reportLoss(r.gateway, Loss{Request: r.subject, Upstream: instance("u", at, ".", p.crashCounts[at]), Engines: 1, Sent: r.sent, Lost: now})
		r.gateway.End(r.admission)
		if r.attempt < r.stream.maxAttempts {
			retries = append(retries, r)
		}
	}
	for _, r := range retries {
		if p.retryPauses {
			r.endsAt = now.Add(retryPause)
			p.retries = append(p.retries, r)
			continue
		}
		p.send(r.stream, r.subject, r.attempt+1)
	}
}

// retryPause is the pause before the same gateway retries a call.
const retryPause = 20 * time.Millisecond

// retry retries calls whose pause is over.
func (p *simulation) retry(now time.Time) {
	rs := p.retries
	p.retries = nil
	for _, r := range rs {
		if now.Before(r.endsAt) {
			p.retries = append(p.retries, r)
			continue
		}
		p.sendBy(r.gateway, r.stream, r.subject, r.attempt+1)
	}
}

// distinctRequests returns a source of requests that all differ.
func distinctRequests() func() Request {
	n := 1000
	return func() Request { n++; return request(n) }
}

// sameRequest returns a source of one request.
func sameRequest(n int) func() Request {
	return func() Request { return request(n) }
}

// crashPattern returns the upstreams that crash by themselves in a step.
type crashPattern func(p *simulation) (at []int)

// noCrashes crashes no upstream.
func noCrashes(*simulation) []int { return nil }

// crashOne crashes a random upstream at a mean interval.
func crashOne(d time.Duration) crashPattern {
	return func(p *simulation) []int {
		if p.random.Float64() < step.Seconds()/d.Seconds() {
			return []int{p.random.IntN(poolSize)}
		}
		return nil
	}
}

// crashMany crashes some upstreams at the same time, at an interval.
func crashMany(n int, d time.Duration) crashPattern {
	var last time.Time
	return func(p *simulation) []int {
		if p.clock.Now().Sub(last) < d {
			return nil
		}
		last = p.clock.Now()
		return p.random.Perm(poolSize)[:n]
	}
}

// A popular request runs at many crashes and could be blocked for crashes that it didn't cause; the
// runs that are answered have to clear it. Trials may refuse few of its calls: at most about one in
// twenty-five, while all of a service is lost every 2.5 s and three in four runs with it.
func TestPopularRequestsAreNotHeld(t *testing.T) {
	for name, c := range map[string]func() crashPattern{
		"one upstream each 0.4 s":       func() crashPattern { return crashOne(400 * time.Millisecond) },
		"a rack each 5 s":               func() crashPattern { return crashMany(5, 5*time.Second) },
		"a data hall each 10 s":         func() crashPattern { return crashMany(6, 10*time.Second) },
		"all of a service each 10 s":    func() crashPattern { return crashMany(poolSize, 10*time.Second) },
		"all of a service each 2.5 s":   func() crashPattern { return crashMany(poolSize, 2500*time.Millisecond) },
		"a third of a service each 2 s": func() crashPattern { return crashMany(poolSize/3, 2*time.Second) },
	} {
		for _, rate := range []float64{0.5, 2, 10, 50} {
			for how, change := range map[string]func(p *simulation){
				"known at once":         func(*simulation) {},
				"behind relays":         func(p *simulation) { p.relays = true },
				"behind relays, probed": func(p *simulation) { p.probed = true },
			} {
				t.Run(fmt.Sprintf("%s, %.1f a second, %s", name, rate, how), func(t *testing.T) {
					popular := &stream{rate: rate, subject: sameRequest(1), maxAttempts: 2}
					p := newSimulation(t, uint64(10*rate), c(), popular, &stream{rate: 40, subject: distinctRequests(), maxAttempts: 2})
					change(p)
					p.run(120 * time.Second)
					t.Logf("sent %d, lost %d, served %d, refused %d, %d of these by a block", popular.sent, popular.lost, popular.served, popular.refused, popular.blocked)
					require.Zero(t, popular.blocked)
					require.LessOrEqual(t, float64(popular.refused), 0.05*float64(popular.sent)+5)
				})
			}
		}
	}
}

// A popular request may still be blocked wrongly, if rarely: it happened in one of 600 simulations
// like those above, for ten calls, and in one of 600 behind relays, for fourteen. These are their
// seeds; in both, all of a service is lost every 2.5 s.
func TestPopularRequestsInRarePlays(t *testing.T) {
	for _, x := range []struct {
		rate   float64
		seed   uint64
		relays bool
	}{{0.5, 15_005, false}, {2, 21_020, true}} {
		t.Run(fmt.Sprint("seed ", x.seed), func(t *testing.T) {
			popular := &stream{rate: x.rate, subject: sameRequest(1), maxAttempts: 2}
			p := newSimulation(t, x.seed, crashMany(poolSize, 2500*time.Millisecond), popular, &stream{rate: 40, subject: distinctRequests(), maxAttempts: 2})
			p.relays = x.relays
			p.run(120 * time.Second)
			require.Zero(t, popular.blocked)
		})
	}
}

// A harmful request has to be blocked after few runs, whatever else crashes meanwhile: five to ten
// in a minute, and at 50 calls a second with two attempts each those that run before the first
// crash is known.
func TestHarmfulRequestsAreHeld(t *testing.T) {
	for name, c := range map[string]func() crashPattern{
		"alone":                               func() crashPattern { return noCrashes },
		"while one upstream ends each 0.8 s":  func() crashPattern { return crashOne(800 * time.Millisecond) },
		"while a rack is lost each 5 s":       func() crashPattern { return crashMany(5, 5*time.Second) },
		"while a service is lost each 10 s":   func() crashPattern { return crashMany(poolSize, 10*time.Second) },
		"while one upstream ends each 0.25 s": func() crashPattern { return crashOne(250 * time.Millisecond) },
	} {
		for _, rate := range []float64{1, 10, 50} {
			t.Run(fmt.Sprintf("%s, %.0f a second", name, rate), func(t *testing.T) {
				harmful := &stream{rate: rate, subject: sameRequest(1), maxAttempts: 2, harmful: true}
				others := &stream{rate: 40, subject: distinctRequests(), maxAttempts: 2}
				p := newSimulation(t, uint64(rate), c(), harmful, others)
				p.run(60 * time.Second)
				t.Logf("sent %d, lost %d; of the others %d lost, %d served", harmful.sent, harmful.lost, others.lost, others.served)
				require.LessOrEqual(t, harmful.sent, 10+int(0.4*rate))
				require.Zero(t, others.blocked)
			})
		}
	}
}

// Harmful requests that are sent at the same time must not hide each other: the crashes of one
// count as background of the others until one is blocked.
func TestManyHarmfulRequestsAreHeld(t *testing.T) {
	var ss []*stream
	for i := range 20 {
		ss = append(ss, &stream{rate: 1, subject: sameRequest(i), maxAttempts: 2, harmful: true})
	}
	others := &stream{rate: 40, subject: distinctRequests(), maxAttempts: 2}
	p := newSimulation(t, 1, noCrashes, append(ss, others)...)
	p.run(60 * time.Second)
	sent := 0
	for _, s := range ss {
		sent += s.sent
	}
	t.Logf("20 requests sent %d times; of the others %d lost, %d served", sent, others.lost, others.served)
	require.LessOrEqual(t, sent, 20*8)
	require.Zero(t, others.blocked)
}

// Copies of a harmful request that arrive together at all gateways crash their upstreams before any
// crash is known, and so do their second attempts. From then on one may run at a time: the 18
// upstreams crash 18 to 23 times in all.
func TestManyCopiesAtOnce(t *testing.T) {
	for _, copies := range []int{5, 20, 200} {
		t.Run(fmt.Sprint(copies), func(t *testing.T) {
			harmful := &stream{rate: 20, subject: sameRequest(1), maxAttempts: 2, harmful: true}
			others := &stream{rate: 40, subject: distinctRequests(), maxAttempts: 2}
			p := newSimulation(t, uint64(copies), noCrashes, others)
			p.run(time.Second)
			for range copies {
				p.send(harmful, harmful.subject(), 1)
			}
			atOnce := harmful.sent
			p.streams = append(p.streams, harmful)
			p.run(30 * time.Second)
			t.Logf("%d sent at once, %d later; %d upstream crashes; of the others %d lost, %d served", atOnce, harmful.sent-atOnce, len(p.crashTimes), others.lost, others.served)
			require.LessOrEqual(t, harmful.sent-atOnce, copies+25, "with the second attempt of each call")
			require.LessOrEqual(t, len(p.crashTimes), poolSize+7)
		})
	}
}

// Harmless calls that were running at an upstream when it crashed must not be blocked or refused
// with the harmful request: they are served by their second attempt or a retry of their caller.
func TestNeighboursAreServed(t *testing.T) {
	for _, rate := range []float64{1, 10} {
		t.Run(fmt.Sprintf("%.0f a second", rate), func(t *testing.T) {
			harmful := &stream{rate: rate, subject: sameRequest(1), maxAttempts: 2, harmful: true}
			others := &stream{rate: 150, subject: distinctRequests(), maxAttempts: 4}
			p := newSimulation(t, uint64(rate), noCrashes, harmful, others)
			p.run(20 * time.Second)
			t.Logf("%d upstream crashes, %d calls lost in them, %d served, %d refused, %d of these by a block", len(p.crashTimes), others.lost, others.served, others.refused, others.blocked)
			require.Zero(t, others.blocked)
			require.LessOrEqual(t, float64(others.refused), 0.01*float64(others.served))
		})
	}
}

// BenchmarkTable measures the cost of one loss for a gateway while a thousand harmful requests a
// minute crash three upstreams each: 80 us and 1.2 KB, 0.4% of a core at 50 losses a second.
func BenchmarkTable(b *testing.B) {
	w := newCluster(nil, 1)
	t := w.gateways[0]
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		s := request(i / 3 % maxRecords)
		now := w.clock.Now()
		t.RecordLoss(Loss{Request: s, Upstream: instance("u", i%600), Engines: 1, Sent: now.Add(-crashDelay), Lost: now})
		t.Begin(s)
		t.NextUpdate()
		w.clock.Advance(20 * time.Millisecond)
	}
}
