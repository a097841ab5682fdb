package experiment

import (
	"cmp"
	"container/heap"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/core"
	"github.com/hollowgrade/hollowgrade/placement"
)

// service is the name of the pool in decisions.
const service = "engines"

// event is something that happens at a moment.
type event struct {
	at  time.Duration
	seq int // keeps events of one moment in order
	do  func()
}

// events is a heap by time.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements [heap.Interface].
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements [heap.Interface].
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// simulation is one run of one variant.
type simulation struct {
	file           File
	variant        Variant
	loadRandom     *rand.Rand // draws the load, which is the same for all variants
	decisionRandom *rand.Rand // draws what depends on decisions
	now            time.Duration
	seq            int
	events         events
	updates        int // words of load so far
	clock          *clockwork.FakeClock
	engines        map[string]*simulatedEngine
	gateways       []decider
	open           map[*job]bool
	results        []Result
}

// Result is one request that has ended.
type Result struct {
	Kind    string        `json:"kind"`
	Prompt  int           `json:"prompt"`
	Arrived time.Duration `json:"arrived"`
	First   time.Duration `json:"first"` // zero if none came
	Pause   time.Duration `json:"pause"`
	Refused bool          `json:"refused"`
	Tries   int           `json:"tries"`
	Owed    float64       `json:"owed"`
	Earned  float64       `json:"earned"`
}

// schedule lets something happen later.
func (p *simulation) schedule(d time.Duration, do func()) {
	p.seq++
	heap.Push(&p.events, event{p.now + d, p.seq, do})
}

// Simulate plays one variant. The same file gives the same result.
func Simulate(f File, v Variant) []Result {
	p := &simulation{
		file:           f,
		variant:        v,
		loadRandom:     rand.New(rand.NewPCG(f.Seed, f.Seed)),
		decisionRandom: rand.New(rand.NewPCG(f.Seed, f.Seed+1)),
		clock:          clockwork.NewFakeClock(),
		engines:        map[string]*simulatedEngine{},
		open:           map[*job]bool{},
	}
	ids := make([]string, f.Engines.Count)
	for i := range ids {
		ids[i] = fmt.Sprintf("engine-%03d", i)
		p.engines[ids[i]] = &simulatedEngine{id: ids[i], figures: f.Engines.figures(), sim: p, pace: 1}
	}
	for i := range f.gateways(v) {
		p.gateways = append(p.gateways, p.newDecider(uint64(i), ids))
	}
	for i := range f.Kinds {
		p.scheduleArrivals(&f.Kinds[i])
	}
	for _, s := range f.Slow {
		p.scheduleSlowdown(s, ids)
	}
	if f.View > 0 && !v.Alone {
		p.schedule(f.View.Std(), p.sendUpdates)
	}
	p.run()
	for j := range p.open {
		p.results = append(p.results, j.result(math.MaxInt64))
	}
	slices.SortStableFunc(p.results, func(a, b Result) int { return cmp.Compare(a.Arrived, b.Arrived) })
	return p.results
}

// drainTime is how much longer than the arrivals a run lasts at the most.
const drainTime = 30 * time.Second

func (p *simulation) run() {
	for len(p.events) > 0 {
		e := heap.Pop(&p.events).(event)
		if e.at > p.file.Duration.Std()+drainTime {
			return
		}
		p.clock.Advance(e.at - p.now)
		p.now = e.at
		e.do()
	}
}

// scheduleArrivals lets the requests of a kind scheduleArrivals, one after the other.
func (p *simulation) scheduleArrivals(k *Kind) {
	rate := k.Rate
	for _, b := range p.file.Bursts {
		if b.Kind == k.Name && p.now >= b.At.Std() && p.now < (b.At+b.For).Std() {
			rate *= b.X
		}
	}
	if rate <= 0 {
		p.schedule(time.Second, func() { p.scheduleArrivals(k) })
		return
	}
	gap := time.Duration(p.loadRandom.ExpFloat64() / rate * float64(time.Second))
	// Rates change with bursts, so a long gap is drawn anew.
	if gap > time.Second {
		p.schedule(time.Second, func() { p.scheduleArrivals(k) })
		return
	}
	p.schedule(gap, func() {
		if p.now > p.file.Duration.Std() {
			return
		}
		p.startRequest(k)
		p.scheduleArrivals(k)
	})
}

// drawSize draws a drawSize with the given mean and spread.
func (p *simulation) drawSize(mean, spread, most float64) int {
	s2 := math.Log(1 + spread*spread)
	n := mean * math.Exp(math.Sqrt(s2)*p.loadRandom.NormFloat64()-s2/2)
	if most > 0 {
		n = min(n, most)
	}
	return max(int(n), 1)
}

// answerSpread is the spread of the length of answers.
const answerSpread = 0.6

// drawPrompt draws the length of a drawPrompt.
func (p *simulation) drawPrompt(k *Kind) int {
	mean := k.Prompt
	if k.Tail > 0 && p.loadRandom.Float64() < k.Tail {
		mean *= max(k.TailX, 1)
	}
	return p.drawSize(mean, k.Spread, k.PromptMax)
}

func (p *simulation) startRequest(k *Kind) {
	j := &job{
		kind:    k,
		prompt:  p.drawPrompt(k),
		answer:  p.drawSize(k.Answer, answerSpread, 0),
		arrived: p.now,
	}
	p.place(j)
}

// owed is the worth of a request by its size, as users count it.
func (j *job) owed() float64 {
	size := float64(j.prompt+10*j.answer) / (j.kind.Prompt + 10*j.kind.Answer)
	return min(j.kind.Worth*(0.3+0.7*size), 4*j.kind.Worth)
}

// maxRetryDelayShare is the part of the time that a caller has left for which it waits at
// the most before it comes back.
const maxRetryDelayShare = 1.0 / 3

// retry lets the caller of a refused request come back as it was told, if it
// still means to.
func (p *simulation) retry(j *job, after time.Duration) {
	left := j.kind.Allowed.Std() - (p.now - j.arrived)
	if j.tries > j.kind.Retries {
		p.results = append(p.results, j.refused())
		return
	}
	p.schedule(min(after, time.Duration(maxRetryDelayShare*float64(left))), func() { p.place(j) })
}

// refusedRetryPenalty is the part of its worth that a request costs whose caller came back for nothing.
const refusedRetryPenalty = 0.3

// refused returns what a request came to that was refused for good.
func (j *job) refused() Result {
	r := Result{Kind: j.kind.Name, Prompt: j.prompt, Arrived: j.arrived, Refused: true, Tries: j.tries, Owed: j.owed()}
	if j.tries > 1 {
		r.Earned = -refusedRetryPenalty * r.Owed
	}
	return r
}

func (p *simulation) place(j *job) {
	j.decider = p.decisionRandom.IntN(len(p.gateways))
	g := p.gateways[j.decider]
	j.tries++
	d, ok := g.decide(j, j.kind.Allowed.Std()-(p.now-j.arrived))
	if !ok || d.Refused {
		p.retry(j, d.RetryAfter)
		return
	}
	p.open[j] = true
	j.onFirstEvent = func() { g.began(d) }
	j.onDone = func(now time.Duration) {
		delete(p.open, j)
		g.done(d)
		p.releaseMemory(j, d)
		p.results = append(p.results, j.result(now))
	}
	p.schedule(d.Hold, func() { p.send(j, d) })
	p.schedule(d.Hold+core.Overdue(d.PredictedFirst), func() {
		if p.open[j] && j.first == 0 {
			p.requestOverduePaces(g, d)
		}
	})
}

// paceRequestTime is how long an engine takes to say how fast it is.
const paceRequestTime = 5 * time.Millisecond

// requestOverduePaces lets a gateway ask the engines of a call whose first event is overdue how fast they
// are.
func (p *simulation) requestOverduePaces(g decider, d core.Plan) {
	if p.variant.Unasked {
		return
	}
	for _, id := range g.suspects(d) {
		p.requestPace(g, id)
	}
}

// requestPace lets a gateway requestPace an engine how fast it is, tell the others, and requestPace again while it is
// slow.
func (p *simulation) requestPace(g decider, id string) {
	p.schedule(paceRequestTime, func() {
		pace := p.engines[id].pace
		if !g.receivePace(id, pace, 0, "") {
			return
		}
		p.schedule(p.file.View.Std(), func() { p.sendPace(g, id, pace) })
		p.schedule(core.PaceRecheckInterval, func() {
			if g.stillSlow(id) {
				p.requestPace(g, id)
			}
		})
	})
}

// sendPace lets the other gateways hear how fast an engine said that it is.
func (p *simulation) sendPace(from decider, id string, pace float64) {
	for _, g := range p.gateways {
		if g != from && !p.variant.Alone {
			g.receivePace(id, pace, p.file.View.Std(), "another")
		}
	}
}

// send gives a call to its engine, unless memory that it needs at others is not free:
// its caller comes back then.
func (p *simulation) send(j *job, d core.Plan) {
	j.keptTokens, j.keepers = d.Kept, nil
	for _, k := range d.Keepers {
		if !p.engines[k].hasMemory(d.Kept) {
			p.rejectAttempt(j, d)
			return
		}
	}
	for _, k := range d.Keepers {
		p.engines[k].usedTokens += d.Kept
		j.keepers = append(j.keepers, p.engines[k])
	}
	upstream := p.engines[d.Upstream]
	upstream.enqueue(j, func() { p.prefill(j, d, upstream) })
}

// rejectAttempt ends an attempt of which nothing has run.
func (p *simulation) rejectAttempt(j *job, d core.Plan) {
	delete(p.open, j)
	p.gateways[j.decider].done(d)
	p.retry(j, time.Second)
}

// releaseMemory gives back what a call that has ended held.
func (p *simulation) releaseMemory(j *job, d core.Plan) {
	p.engines[d.Upstream].releaseMemory(j.ownTokens())
	for _, k := range j.keepers {
		k.releaseMemory(j.keptTokens)
	}
}

// prefill lets the engines of a plan prefill a prompt.
func (p *simulation) prefill(j *job, d core.Plan, upstream *simulatedEngine) {
	j.partsLeft = 1 + len(d.Helpers)
	j.split = len(d.Helpers) > 0
	work := upstream.figures.PrefillTime(j.prompt, j.partsLeft)
	upstream.addPrefill(part{j, work, upstream})
	for _, h := range d.Helpers {
		p.engines[h].addPrefill(part{j, work, upstream})
	}
}

// result judges a request that has ended.
func (j *job) result(now time.Duration) Result {
	r := Result{Kind: j.kind.Name, Prompt: j.prompt, Arrived: j.arrived, First: max(j.first-j.arrived, 0), Pause: j.pause, Tries: j.tries, Owed: j.owed()}
	switch {
	case now-j.arrived > j.kind.Allowed.Std():
	case r.First <= j.kind.Goal.Std() && j.pause <= j.kind.Pause.Std():
		r.Earned = r.Owed
	default:
		r.Earned = r.Owed * j.kind.Late / j.kind.Worth
	}
	return r
}

func (p *simulation) scheduleSlowdown(s Slow, ids []string) {
	set := func(x float64) func() {
		return func() {
			for _, id := range ids[:min(s.Engines, len(ids))] {
				p.engines[id].pace = x
			}
		}
	}
	p.schedule(s.At.Std(), set(s.X))
	p.schedule((s.At + s.For).Std(), set(1))
}

// completeUpdateEvery is how many words of a gateway tell all that it has given, so that
// what it said does not expire.
const completeUpdateEvery = 20

// sendUpdates lets gateways hear of each other's load: of what changed, and now and
// then of all.
func (p *simulation) sendUpdates() {
	complete := p.updates%completeUpdateEvery == 0
	p.updates++
	for i, a := range p.gateways {
		cs := a.changes(complete)
		if len(cs) == 0 && !complete {
			continue
		}
		for j, b := range p.gateways {
			if i != j {
				b.receiveView(fmt.Sprint(i), cs, complete)
			}
		}
	}
	if p.now < p.file.Duration.Std()+drainTime {
		p.schedule(p.file.View.Std(), p.sendUpdates)
	}
}

// decider decides for one gateway.
type decider interface {
	decide(j *job, left time.Duration) (core.Plan, bool)
	began(d core.Plan)
	done(d core.Plan)
	changes(whole bool) map[hollowgrade.Life]core.Share
	receiveView(from string, cs map[hollowgrade.Life]core.Share, whole bool)
	// suspects returns the engines of a plan that are to be asked how fast they are.
	suspects(d core.Plan) []string
	// receivePace takes an engine's word on that, and reports whether others are to be told.
	receivePace(id string, pace float64, age time.Duration, box string) (tell bool)
	stillSlow(id string) bool
}

func (p *simulation) newDecider(number uint64, ids []string) decider {
	if p.variant.Decisions != Worth {
		return &baseline{decisions: p.variant.Decisions, ids: ids, open: map[string]int{}, prefill: map[string]time.Duration{}, figures: p.file.Engines.figures()}
	}
	f := core.NewFleet(p.clock, log.New(io.Discard), core.WithPolicy(p.policy()))
	f.SetRandom(rand.New(rand.NewPCG(p.file.Seed, number)).Float64)
	f.SetPeers(func() int { return p.file.gateways(p.variant) - 1 })
	for _, id := range ids {
		f.Put(hollowgrade.Upstream{ID: id, Service: service, Slots: p.file.Engines.Slots})
	}
	g := &gateway{fleet: f, service: core.Service{Name: service, Engine: p.file.Engines.figures()}}
	f.SetPaceRequester(func(us []hollowgrade.Upstream, _ string) {
		for _, u := range us {
			p.requestPace(g, u.ID)
		}
	})
	return g
}

// policy returns what the variant decides by.
func (p *simulation) policy() *placement.Policy {
	ms := make([]placement.Mechanism, 0, len(p.variant.Without))
	for _, m := range p.variant.Without {
		ms = append(ms, placement.Mechanism(m))
	}
	os := []placement.Option{placement.Without(ms...)}
	if p.variant.Pricing != "" {
		os = append(os, placement.WithPricing(p.variant.Pricing))
	}
	return placement.New(os...)
}

// gateway decides as gateways do.
type gateway struct {
	fleet   *core.Fleet
	service core.Service
}

func (g *gateway) decide(j *job, left time.Duration) (core.Plan, bool) {
	r := core.Route{Goal: j.kind.Goal.Std(), PauseGoal: j.kind.Pause.Std(), Timeout: j.kind.Allowed.Std()}
	c := hollowgrade.Call{PromptTokens: j.prompt, MaxTokens: j.answer, Patience: left}
	return g.fleet.Plan(g.service, r, c, left)
}

func (g *gateway) began(core.Plan) {}

func (g *gateway) done(d core.Plan) {
	g.fleet.Done(d, true)
}

func (g *gateway) changes(complete bool) map[hollowgrade.Life]core.Share {
	return g.fleet.Changes(complete)
}

func (g *gateway) suspects(d core.Plan) (ids []string) {
	for _, u := range g.fleet.Suspects(d) {
		ids = append(ids, u.ID)
	}
	slices.Sort(ids)
	return ids
}

func (g *gateway) receivePace(id string, pace float64, age time.Duration, box string) (report bool) {
	was := g.stillSlow(id)
	g.fleet.ReceivePace(hollowgrade.Life(id), pace, age, box, "")
	return was || g.stillSlow(id)
}

func (g *gateway) stillSlow(id string) bool {
	return g.fleet.StillSlow(hollowgrade.Life(id))
}

func (g *gateway) receiveView(from string, cs map[hollowgrade.Life]core.Share, complete bool) {
	g.fleet.ReceiveView(from, cs, complete)
}
