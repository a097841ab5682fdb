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
	"github.com/hollowgrade/hollowgrade/calendar"
	"github.com/hollowgrade/hollowgrade/core"
	"github.com/hollowgrade/hollowgrade/placement"
)

// serviceName is the name of the engines' service in decisions.
const serviceName = "engines"

// event is a function that runs at a point in virtual time.
type event struct {
	at  time.Duration
	seq int // keeps simultaneous events in order
	run func()
}

// eventHeap is a heap of events ordered by time.
type eventHeap []event

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements [heap.Interface].
func (e *eventHeap) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements [heap.Interface].
func (e *eventHeap) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// simulation is one run of one variant.
type simulation struct {
	file           File
	variant        Variant
	loadRandom     *rand.Rand // for the load, which is the same for all variants
	decisionRandom *rand.Rand // for draws that depend on decisions
	now            time.Duration
	seq            int
	events         eventHeap
	updates        int // load updates sent so far
	clock          *clockwork.FakeClock
	engines        map[string]*simulatedEngine
	gateways       []decider
	cells          []int // of the gateways
	openJobs       map[*job]bool
	jobs           int // requests that have arrived
	results        []Result
	engineTime     *engineTime
}

// Result is the outcome of one request.
type Result struct {
	Kind    string        `json:"kind"`
	Prompt  int           `json:"prompt"`
	Arrived time.Duration `json:"arrived"`
	First   time.Duration `json:"first"` // time to the first event; zero if there was none
	Pause   time.Duration `json:"pause"`
	Refused bool          `json:"refused"`
	Tries   int           `json:"tries"`
	Owed    float64       `json:"owed"`
	Earned  float64       `json:"earned"`
}

// schedule runs a function after a period of virtual time.
func (p *simulation) schedule(d time.Duration, run func()) {
	p.seq++
	heap.Push(&p.events, event{p.now + d, p.seq, run})
}

// Simulate simulates one variant. It is deterministic: the same file gives the same result.
func Simulate(f File, v Variant) []Result {
	rs, _ := simulate(f, v)
	return rs
}

// simulate simulates one variant and returns the engines' time by second too.
func simulate(f File, v Variant) ([]Result, []EngineSecond) {
	if v.Decisions == KnownFuture {
		return simulateKnownFuture(f)
	}
	p := &simulation{
		file:           f,
		variant:        v,
		loadRandom:     rand.New(rand.NewPCG(f.Seed, f.Seed)),
		decisionRandom: rand.New(rand.NewPCG(f.Seed, f.Seed+1)),
		clock:          clockwork.NewFakeClock(),
		engines:        map[string]*simulatedEngine{},
		openJobs:       map[*job]bool{},
		engineTime:     newEngineTime(f),
	}
	ids := make([]string, f.Engines.Count)
	for i := range ids {
		ids[i] = fmt.Sprintf("engine-%03d", i)
		p.engines[ids[i]] = &simulatedEngine{id: ids[i], figures: f.Engines.figures(), sim: p, pace: 1}
	}
	p.cells = p.divideGateways()
	for i := range f.gateways(v) {
		p.gateways = append(p.gateways, p.newDecider(i, ids))
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
	for j := range p.openJobs {
		p.results = append(p.results, j.result(math.MaxInt64))
	}
	slices.SortStableFunc(p.results, func(a, b Result) int { return cmp.Compare(a.Arrived, b.Arrived) })
	return p.results, p.engineTime.complete(f.Kinds, p.results)
}

// drainTime is the maximum time that a run continues after the last arrival.
const drainTime = 30 * time.Second

func (p *simulation) run() {
	for len(p.events) > 0 {
		e := heap.Pop(&p.events).(event)
		if e.at > p.file.Duration.Std()+drainTime {
			return
		}
		p.clock.Advance(e.at - p.now)
		p.now = e.at
		e.run()
	}
}

// scheduleArrivals schedules the next request of a kind, which schedules the one after it.
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
	// Bursts change the rate, so a long gap is drawn again.
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

// drawSize draws a log-normal size with the given mean and relative standard deviation.
func (p *simulation) drawSize(mean, spread, limit float64) int {
	s2 := math.Log(1 + spread*spread)
	n := mean * math.Exp(math.Sqrt(s2)*p.loadRandom.NormFloat64()-s2/2)
	if limit > 0 {
		n = min(n, limit)
	}
	return max(int(n), 1)
}

// answerSpread is the standard deviation of answer lengths divided by their mean.
const answerSpread = 0.6

// drawPrompt draws the length of a prompt.
func (p *simulation) drawPrompt(k *Kind) int {
	mean := k.Prompt
	if k.Tail > 0 && p.loadRandom.Float64() < k.Tail {
		mean *= max(k.TailX, 1)
	}
	return p.drawSize(mean, k.Spread, k.PromptMax)
}

func (p *simulation) startRequest(k *Kind) {
	j := &job{
		kind:         k,
		promptTokens: p.drawPrompt(k),
		answerTokens: p.drawSize(k.Answer, answerSpread, 0),
		arrived:      p.now,
		number:       p.jobs,
	}
	p.jobs++
	p.placeRequest(j)
}

// worth returns the worth of a request, which grows with its size as in the users' measurement.
func (j *job) worth() float64 {
	size := float64(j.promptTokens+10*j.answerTokens) / (j.kind.Prompt + 10*j.kind.Answer)
	return min(j.kind.Worth*(0.3+0.7*size), 4*j.kind.Worth)
}

// maxRetryDelayShare is the maximum delay of a retry as a share of the time that the caller has
// left.
const maxRetryDelayShare = 1.0 / 3

// retry schedules the retry of a refused request after the given delay, unless the caller has no
// retries left.
func (p *simulation) retry(j *job, delay time.Duration) {
	p.engineTime.addRefused(p.now, j.promptTokens)
	left := j.kind.Allowed.Std() - (p.now - j.arrived)
	if j.tries > j.kind.Retries {
		p.results = append(p.results, j.refusedResult())
		return
	}
	p.schedule(min(delay, time.Duration(maxRetryDelayShare*float64(left))), func() { p.placeRequest(j) })
}

// refusedRetryPenalty is the share of its worth that a request costs if it is refused after a
// retry.
const refusedRetryPenalty = 0.3

// refusedResult returns the result of a request that was refused and isn't retried.
func (j *job) refusedResult() Result {
	r := Result{Kind: j.kind.Name, Prompt: j.promptTokens, Arrived: j.arrived, Refused: true, Tries: j.tries, Owed: j.worth()}
	if j.tries > 1 {
		r.Earned = -refusedRetryPenalty * r.Owed
	}
	return r
}

func (p *simulation) placeRequest(j *job) {
	j.gateway = p.decisionRandom.IntN(len(p.gateways))
	g := p.gateways[j.gateway]
	j.tries++
	j.placedAt = p.now
	if w, d := g.wait(j, p.timeLeft(j)); w != nil {
		p.awaitTurn(g, j, w)
		return
	} else if d.Refused {
		p.retry(j, d.RetryAfter)
		return
	}
	d, ok := g.decide(j, p.timeLeft(j))
	p.start(g, j, d, ok)
}

// start carries out a decision.
func (p *simulation) start(g decider, j *job, d core.Plan, ok bool) {
	if !ok || d.Refused {
		p.retry(j, d.RetryAfter)
		return
	}
	p.openJobs[j] = true
	j.onFirstEvent = func() { g.began(d) }
	j.onDone = func(now time.Duration) {
		delete(p.openJobs, j)
		g.done(d)
		p.releaseMemory(j, d)
		p.results = append(p.results, j.result(now))
	}
	p.schedule(d.Hold, func() { p.send(j, d) })
	p.schedule(d.Hold+core.Overdue(d.PredictedFirst), func() {
		if p.openJobs[j] && j.firstEvent == 0 {
			p.requestOverduePaces(g, d)
		}
	})
}

// paceRequestTime is how long an engine takes to report its pace.
const paceRequestTime = 5 * time.Millisecond

// requestOverduePaces lets a gateway request the paces of the engines of a call whose first event
// is overdue.
func (p *simulation) requestOverduePaces(g decider, d core.Plan) {
	if p.variant.Unasked {
		return
	}
	for _, id := range g.suspects(d) {
		p.requestPace(g, id)
	}
}

// requestPace lets a gateway request an engine's pace, report it to the other gateways, and request
// it again while the engine is slow.
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

// sendPace reports an engine's pace to the other gateways.
func (p *simulation) sendPace(sender decider, id string, pace float64) {
	for _, g := range p.gateways {
		if g != sender && !p.variant.Alone {
			g.receivePace(id, pace, p.file.View.Std(), "another")
		}
	}
}

// send sends a call to its engine. If other engines lack the memory that it needs there, the
// attempt is rejected and its caller retries.
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

// rejectAttempt ends an attempt that has not started on any engine.
func (p *simulation) rejectAttempt(j *job, d core.Plan) {
	delete(p.openJobs, j)
	p.gateways[j.gateway].done(d)
	p.retry(j, time.Second)
}

// releaseMemory releases the memory of a call that has ended.
func (p *simulation) releaseMemory(j *job, d core.Plan) {
	p.engines[d.Upstream].releaseMemory(j.ownTokens())
	for _, k := range j.keepers {
		k.releaseMemory(j.keptTokens)
	}
}

// prefill starts the prefill of a prompt on the engines of a plan.
func (p *simulation) prefill(j *job, d core.Plan, upstream *simulatedEngine) {
	j.partsLeft = 1 + len(d.Helpers)
	j.split = len(d.Helpers) > 0
	work := upstream.figures.PrefillTime(j.promptTokens, j.partsLeft)
	upstream.addPrefill(part{j, work, upstream})
	for _, h := range d.Helpers {
		p.engines[h].addPrefill(part{j, work, upstream})
	}
}

// result rates a request that has ended.
func (j *job) result(now time.Duration) Result {
	r := Result{Kind: j.kind.Name, Prompt: j.promptTokens, Arrived: j.arrived, First: max(j.firstEvent-j.arrived, 0), Pause: j.longestPause, Tries: j.tries, Owed: j.worth()}
	switch {
	case now-j.arrived > j.kind.Allowed.Std():
	case r.First <= j.kind.Goal.Std() && j.longestPause <= j.kind.Pause.Std():
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

// completeUpdateEvery is the number of load updates of which one is complete, so that a gateway's
// reports don't expire at its peers.
const completeUpdateEvery = 20

// sendUpdates sends each gateway's load to the others: the changes, or all of it in a complete
// update.
func (p *simulation) sendUpdates() {
	complete := p.updates%completeUpdateEvery == 0
	p.updates++
	for i, a := range p.gateways {
		cs := a.changes(complete)
		es, waitsChanged := a.waits()
		if len(cs) == 0 && !complete && !waitsChanged {
			continue
		}
		for j, b := range p.gateways {
			if i != j && p.cells[i] == p.cells[j] {
				b.receiveView(fmt.Sprint(i), cs, complete)
				b.receiveWaits(fmt.Sprint(i), es)
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
	// wait makes a request wait for its turn. It returns nil if it doesn't have to.
	wait(j *job, left time.Duration) (*core.Wait, core.Plan)
	start(j *job, w *core.Wait, left, waited time.Duration) (core.Plan, core.WaitState, time.Duration)
	leave(w *core.Wait)
	waits() (es []calendar.Entry, changed bool)
	receiveWaits(from string, es []calendar.Entry)
	began(d core.Plan)
	done(d core.Plan)
	changes(whole bool) map[hollowgrade.Instance]core.Share
	receiveView(from string, cs map[hollowgrade.Instance]core.Share, whole bool)
	// suspects returns the engines of a plan that should be asked for their pace.
	suspects(d core.Plan) []string
	// receivePace applies an engine's pace and returns whether to report it to other gateways.
	receivePace(id string, pace float64, age time.Duration, box string) (tell bool)
	stillSlow(id string) bool
}

func (p *simulation) newDecider(number int, ids []string) decider {
	if p.variant.Decisions != Worth {
		return &baseline{decisions: p.variant.Decisions, ids: ids, openRequests: map[string]int{}, prefill: map[string]time.Duration{}, figures: p.file.Engines.figures()}
	}
	f := core.NewFleet(p.clock, log.New(io.Discard), core.WithPolicy(p.policy()))
	f.SetCalendar(p.variant.Calendar)
	f.SetRandom(rand.New(rand.NewPCG(p.file.Seed, uint64(number))).Float64)
	peers := p.cellSize(number) - 1
	f.SetPeers(func() int { return peers })
	f.SetCell(core.Cell{Index: p.cells[number], Count: p.variant.Cells})
	for _, id := range p.subset(number, ids) {
		f.Put(hollowgrade.Upstream{ID: id, Service: serviceName, Slots: p.file.Engines.Slots})
	}
	g := &gateway{fleet: f, service: core.Service{Name: serviceName, Engine: p.file.Engines.figures()}}
	f.SetPaceRequester(func(us []hollowgrade.Upstream, _ string) {
		for _, u := range us {
			p.requestPace(g, u.ID)
		}
	})
	return g
}

// policy returns the placement policy of the variant.
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

// gateway decides with the gateways' own code.
type gateway struct {
	fleet   *core.Fleet
	service core.Service
}

func (g *gateway) decide(j *job, left time.Duration) (core.Plan, bool) {
	return g.fleet.Plan(g.service, j.route(), j.call(left), left)
}

func (g *gateway) began(core.Plan) {}

func (g *gateway) done(d core.Plan) {
	g.fleet.Done(d, true)
}

func (g *gateway) changes(complete bool) map[hollowgrade.Instance]core.Share {
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
	g.fleet.ReceivePace(hollowgrade.Instance(id), pace, age, box, "")
	return was || g.stillSlow(id)
}

func (g *gateway) stillSlow(id string) bool {
	return g.fleet.StillSlow(hollowgrade.Instance(id))
}

func (g *gateway) receiveView(from string, cs map[hollowgrade.Instance]core.Share, complete bool) {
	g.fleet.ReceiveView(from, cs, complete)
}
