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

// play is one run of one variant.
type play struct {
	file     File
	variant  Variant
	random   *rand.Rand // draws the load, which is the same for all variants
	chance   *rand.Rand // draws what depends on decisions
	now      time.Duration
	seq      int
	events   events
	spreads  int // words of load so far
	clock    *clockwork.FakeClock
	engines  map[string]*pool
	deciders []decider
	open     map[*job]bool
	results  []Result
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

// after lets something happen later.
func (p *play) after(d time.Duration, do func()) {
	p.seq++
	heap.Push(&p.events, event{p.now + d, p.seq, do})
}

// Play plays one variant. The same file gives the same result.
func Play(f File, v Variant) []Result {
	p := &play{
		file:    f,
		variant: v,
		random:  rand.New(rand.NewPCG(f.Seed, f.Seed)),
		chance:  rand.New(rand.NewPCG(f.Seed, f.Seed+1)),
		clock:   clockwork.NewFakeClock(),
		engines: map[string]*pool{},
		open:    map[*job]bool{},
	}
	ids := make([]string, f.Engines.Count)
	for i := range ids {
		ids[i] = fmt.Sprintf("engine-%03d", i)
		p.engines[ids[i]] = &pool{id: ids[i], figures: f.Engines.figures(), play: p, slow: 1}
	}
	for i := range f.gateways(v) {
		p.deciders = append(p.deciders, p.newDecider(uint64(i), ids))
	}
	for i := range f.Kinds {
		p.arrive(&f.Kinds[i])
	}
	for _, s := range f.Slow {
		p.slowDown(s, ids)
	}
	if f.View > 0 && !v.Alone {
		p.after(f.View.Std(), p.spread)
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

func (p *play) run() {
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

// arrive lets the requests of a kind arrive, one after the other.
func (p *play) arrive(k *Kind) {
	rate := k.Rate
	for _, b := range p.file.Bursts {
		if b.Kind == k.Name && p.now >= b.At.Std() && p.now < (b.At+b.For).Std() {
			rate *= b.X
		}
	}
	if rate <= 0 {
		p.after(time.Second, func() { p.arrive(k) })
		return
	}
	gap := time.Duration(p.random.ExpFloat64() / rate * float64(time.Second))
	// Rates change with bursts, so a long gap is drawn anew.
	if gap > time.Second {
		p.after(time.Second, func() { p.arrive(k) })
		return
	}
	p.after(gap, func() {
		if p.now > p.file.Duration.Std() {
			return
		}
		p.request(k)
		p.arrive(k)
	})
}

// size draws a size with the given mean and spread.
func (p *play) size(mean, spread, most float64) int {
	s2 := math.Log(1 + spread*spread)
	n := mean * math.Exp(math.Sqrt(s2)*p.random.NormFloat64()-s2/2)
	if most > 0 {
		n = min(n, most)
	}
	return max(int(n), 1)
}

// answerSpread is the spread of the length of answers.
const answerSpread = 0.6

// prompt draws the length of a prompt.
func (p *play) prompt(k *Kind) int {
	mean := k.Prompt
	if k.Tail > 0 && p.random.Float64() < k.Tail {
		mean *= max(k.TailX, 1)
	}
	return p.size(mean, k.Spread, k.PromptMax)
}

func (p *play) request(k *Kind) {
	j := &job{
		kind:    k,
		prompt:  p.prompt(k),
		answer:  p.size(k.Answer, answerSpread, 0),
		arrived: p.now,
	}
	p.place(j)
}

// owed is the worth of a request by its size, as users count it.
func (j *job) owed() float64 {
	size := float64(j.prompt+10*j.answer) / (j.kind.Prompt + 10*j.kind.Answer)
	return min(j.kind.Worth*(0.3+0.7*size), 4*j.kind.Worth)
}

// heedShare is the part of the time that a caller has left for which it waits at
// the most before it comes back.
const heedShare = 1.0 / 3

// comeBack lets the caller of a refused request come back as it was told, if it
// still means to.
func (p *play) comeBack(j *job, after time.Duration) {
	left := j.kind.Allowed.Std() - (p.now - j.arrived)
	if j.tries > j.kind.Retries {
		p.results = append(p.results, j.refused())
		return
	}
	p.after(min(after, time.Duration(heedShare*float64(left))), func() { p.place(j) })
}

// refusedAgain is the part of its worth that a request costs whose caller came back for nothing.
const refusedAgain = 0.3

// refused returns what a request came to that was refused for good.
func (j *job) refused() Result {
	r := Result{Kind: j.kind.Name, Prompt: j.prompt, Arrived: j.arrived, Refused: true, Tries: j.tries, Owed: j.owed()}
	if j.tries > 1 {
		r.Earned = -refusedAgain * r.Owed
	}
	return r
}

func (p *play) place(j *job) {
	j.decider = p.chance.IntN(len(p.deciders))
	g := p.deciders[j.decider]
	j.tries++
	d, ok := g.decide(j, j.kind.Allowed.Std()-(p.now-j.arrived))
	if !ok || d.Refused {
		p.comeBack(j, d.RetryAfter)
		return
	}
	p.open[j] = true
	j.began = func() { g.began(d) }
	j.done = func(now time.Duration) {
		delete(p.open, j)
		g.done(d)
		p.free(j, d)
		p.results = append(p.results, j.result(now))
	}
	p.after(d.Hold, func() { p.send(j, d) })
	p.after(d.Hold+core.Overdue(d.PredictedFirst), func() {
		if p.open[j] && j.first == 0 {
			p.suspect(g, d)
		}
	})
}

// askTime is how long an engine takes to say how fast it is.
const askTime = 5 * time.Millisecond

// suspect lets a gateway ask the engines of a call whose first event is overdue how fast they
// are.
func (p *play) suspect(g decider, d core.Plan) {
	if p.variant.Unasked {
		return
	}
	for _, id := range g.suspects(d) {
		p.ask(g, id)
	}
}

// ask lets a gateway ask an engine how fast it is, tell the others, and ask again while it is
// slow.
func (p *play) ask(g decider, id string) {
	p.after(askTime, func() {
		pace := p.engines[id].slow
		if !g.takePace(id, pace, 0, "") {
			return
		}
		p.after(p.file.View.Std(), func() { p.tellPace(g, id, pace) })
		p.after(core.PaceRecheckInterval, func() {
			if g.stillSlow(id) {
				p.ask(g, id)
			}
		})
	})
}

// tellPace lets the other gateways hear how fast an engine said that it is.
func (p *play) tellPace(from decider, id string, pace float64) {
	for _, g := range p.deciders {
		if g != from && !p.variant.Alone {
			g.takePace(id, pace, p.file.View.Std(), "another")
		}
	}
}

// send gives a call to its engine, unless memory that it needs at others is not free:
// its caller comes back then.
func (p *play) send(j *job, d core.Plan) {
	j.kept, j.keepers = d.Kept, nil
	for _, k := range d.Keepers {
		if !p.engines[k].fits(d.Kept) {
			p.turnAway(j, d)
			return
		}
	}
	for _, k := range d.Keepers {
		p.engines[k].used += d.Kept
		j.keepers = append(j.keepers, p.engines[k])
	}
	home := p.engines[d.Upstream]
	home.arrive(j, func() { p.read(j, d, home) })
}

// turnAway ends an attempt of which nothing has run.
func (p *play) turnAway(j *job, d core.Plan) {
	delete(p.open, j)
	p.deciders[j.decider].done(d)
	p.comeBack(j, time.Second)
}

// free gives back what a call that has ended held.
func (p *play) free(j *job, d core.Plan) {
	p.engines[d.Upstream].free(j.own())
	for _, k := range j.keepers {
		k.free(j.kept)
	}
}

// read lets the engines of a plan read a prompt.
func (p *play) read(j *job, d core.Plan, home *pool) {
	j.parts = 1 + len(d.Helpers)
	j.split = len(d.Helpers) > 0
	work := home.figures.Reading(j.prompt, j.parts)
	home.read(part{j, work, home})
	for _, h := range d.Helpers {
		p.engines[h].read(part{j, work, home})
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

func (p *play) slowDown(s Slow, ids []string) {
	set := func(x float64) func() {
		return func() {
			for _, id := range ids[:min(s.Engines, len(ids))] {
				p.engines[id].slow = x
			}
		}
	}
	p.after(s.At.Std(), set(s.X))
	p.after((s.At + s.For).Std(), set(1))
}

// wholeEvery is how many words of a gateway tell all that it has given, so that
// what it said does not expire.
const wholeEvery = 20

// spread lets gateways hear of each other's load: of what changed, and now and
// then of all.
func (p *play) spread() {
	whole := p.spreads%wholeEvery == 0
	p.spreads++
	for i, a := range p.deciders {
		cs := a.changes(whole)
		if len(cs) == 0 && !whole {
			continue
		}
		for j, b := range p.deciders {
			if i != j {
				b.hear(fmt.Sprint(i), cs, whole)
			}
		}
	}
	if p.now < p.file.Duration.Std()+drainTime {
		p.after(p.file.View.Std(), p.spread)
	}
}

// decider decides for one gateway.
type decider interface {
	decide(j *job, left time.Duration) (core.Plan, bool)
	began(d core.Plan)
	done(d core.Plan)
	changes(whole bool) map[hollowgrade.Instance]core.Share
	hear(from string, cs map[hollowgrade.Instance]core.Share, whole bool)
	// suspects returns the engines of a plan that are to be asked how fast they are.
	suspects(d core.Plan) []string
	// takePace takes an engine's word on that, and reports whether others are to be told.
	takePace(id string, pace float64, age time.Duration, box string) (tell bool)
	stillSlow(id string) bool
}

func (p *play) newDecider(number uint64, ids []string) decider {
	if p.variant.Decisions != Worth {
		return &naive{way: p.variant.Decisions, ids: ids, open: map[string]int{}, reading: map[string]time.Duration{}, figures: p.file.Engines.figures()}
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
			p.ask(g, u.ID)
		}
	})
	return g
}

// policy returns what the variant decides by.
func (p *play) policy() *placement.Policy {
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

func (g *gateway) changes(whole bool) map[hollowgrade.Instance]core.Share {
	return g.fleet.Changes(whole)
}

func (g *gateway) suspects(d core.Plan) (ids []string) {
	for _, u := range g.fleet.Suspects(d) {
		ids = append(ids, u.ID)
	}
	slices.Sort(ids)
	return ids
}

func (g *gateway) takePace(id string, pace float64, age time.Duration, box string) (tell bool) {
	was := g.stillSlow(id)
	g.fleet.ReceivePace(hollowgrade.Instance(id), pace, age, box, "")
	return was || g.stillSlow(id)
}

func (g *gateway) stillSlow(id string) bool {
	return g.fleet.StillSlow(hollowgrade.Instance(id))
}

func (g *gateway) hear(from string, cs map[hollowgrade.Instance]core.Share, whole bool) {
	g.fleet.ReceiveView(from, cs, whole)
}
