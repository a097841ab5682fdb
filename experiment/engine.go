package experiment

import (
	"time"

	"github.com/hollowgrade/hollowgrade/engine"
)

// job is one request in progress.
type job struct {
	kind          *Kind
	number        int           // in the order of arrival
	placedAt      time.Duration // when its present attempt arrived
	promptTokens  int
	answerTokens  int
	arrived       time.Duration
	partsLeft     int // of its prompt that are not prefilled yet
	split         bool
	keptTokens    int // tokens of its prompt in memory at each keeper
	keepers       []*simulatedEngine
	tries         int // placement attempts
	gateway       int // index of the gateway that placed it last
	writtenTokens int
	firstEvent    time.Duration // time of the first event
	lastEvent     time.Duration // time of the last event
	longestPause  time.Duration // longest time between two events
	onFirstEvent  func()
	onDone        func(now time.Duration)
}

// part is a part of a prompt that one engine prefills.
type part struct {
	job      *job
	work     time.Duration
	upstream *simulatedEngine // engine that decodes the answer
}

// simulatedEngine is one engine. It runs in passes, each of which includes all pending prefill.
type simulatedEngine struct {
	id          string
	figures     *engine.Figures
	sim         *simulation
	prefills    []part
	decoding    []*job
	slotQueue   []*job    // prefilled, waiting for a slot
	memoryQueue []arrival // calls that wait for memory
	usedTokens  int       // memory in use by calls
	busy        bool
	pace        float64
}

// arrival is a call that waits for admission, with the function that starts its prefill.
type arrival struct {
	job          *job
	startPrefill func()
}

// enqueue admits a call once its memory is free. Its prefill starts then, also at its helpers.
func (p *simulatedEngine) enqueue(j *job, startPrefill func()) {
	p.memoryQueue = append(p.memoryQueue, arrival{j, startPrefill})
	p.admit()
}

// admit admits waiting calls in order while memory suffices.
func (p *simulatedEngine) admit() {
	for len(p.memoryQueue) > 0 && p.hasMemory(p.memoryQueue[0].job.ownTokens()) {
		a := p.memoryQueue[0]
		p.memoryQueue = p.memoryQueue[1:]
		p.usedTokens += a.job.ownTokens()
		a.startPrefill()
	}
}

// hasMemory reports whether the engine has memory for the given number of tokens.
func (p *simulatedEngine) hasMemory(tokens int) bool {
	return p.usedTokens == 0 || p.figures.Capacity <= 0 || p.usedTokens+tokens <= p.figures.Capacity
}

// releaseMemory releases memory and admits waiting calls.
func (p *simulatedEngine) releaseMemory(tokens int) {
	p.usedTokens -= tokens
	p.admit()
}

// ownTokens returns how many tokens of a call are kept in memory at the engine that answers it.
func (j *job) ownTokens() int {
	return j.promptTokens - j.keptTokens*len(j.keepers) + j.answerTokens
}

// addPrefill adds a part of a prompt to the engine's pending prefill.
func (p *simulatedEngine) addPrefill(x part) {
	p.prefills = append(p.prefills, x)
	p.startPass()
}

// startPass starts a pass unless one is running.
func (p *simulatedEngine) startPass() {
	if p.busy {
		return
	}
	for len(p.slotQueue) > 0 && len(p.decoding) < p.figures.Slots {
		p.decoding = append(p.decoding, p.slotQueue[0])
		p.slotQueue = p.slotQueue[1:]
	}
	if len(p.prefills) == 0 && len(p.decoding) == 0 {
		return
	}
	p.busy = true
	prefills := p.prefills
	p.prefills = nil
	rest := p.startDecoding(prefills)
	decoding := p.decoding
	p.sim.engineTime.addPass(p.sim.now, p.prefillTime(prefills), p.passTime(prefills, decoding))
	if len(rest) > 0 {
		p.sim.schedule(p.prefillTime(prefills), func() { p.finishPrefill(rest) })
	}
	p.sim.schedule(p.passTime(prefills, decoding), func() { p.endPass(decoding) })
}

// startDecoding lets requests whose whole prompt is prefilled in this pass decode in it too, while
// slots are free, and returns the other parts.
func (p *simulatedEngine) startDecoding(prefills []part) (rest []part) {
	for _, x := range prefills {
		if x.upstream != p || x.job.partsLeft > 1 || len(p.slotQueue) > 0 || len(p.decoding) >= p.figures.Slots {
			rest = append(rest, x)
			continue
		}
		x.job.partsLeft = 0
		p.decoding = append(p.decoding, x.job)
	}
	return rest
}

// finishPrefill records that parts are prefilled. A request with none left decodes from its
// engine's next pass on.
func (p *simulatedEngine) finishPrefill(parts []part) {
	for _, x := range parts {
		if x.job.partsLeft--; x.job.partsLeft == 0 {
			x.upstream.slotQueue = append(x.upstream.slotQueue, x.job)
			x.upstream.startPass()
		}
	}
}

// prefillTime returns how long the prefill of parts takes.
func (p *simulatedEngine) prefillTime(prefills []part) (d time.Duration) {
	for _, x := range prefills {
		d += x.work
	}
	return time.Duration(p.pace * float64(d))
}

// passTime returns the duration of a pass.
func (p *simulatedEngine) passTime(prefills []part, decoding []*job) (d time.Duration) {
	if len(decoding) > 0 {
		s := engine.State{Decoding: len(decoding)}
		for _, j := range decoding {
			s.Context += j.promptTokens + j.writtenTokens
			if j.split {
				d += p.figures.HopTime(p.figures.Stride)
			}
		}
		d += p.figures.PassTime(s)
	}
	return p.prefillTime(prefills) + time.Duration(p.pace*float64(d))
}

// endPass ends a pass: each request that decodes has another event. The engine stays busy until its
// lists are updated, so that no callback starts a pass before.
func (p *simulatedEngine) endPass(decoding []*job) {
	now := p.sim.now
	p.decoding = nil
	for _, j := range decoding {
		if p.recordEvent(j, now); j.writtenTokens < j.answerTokens {
			p.decoding = append(p.decoding, j)
		} else {
			j.onDone(now)
		}
	}
	p.busy = false
	p.startPass()
}

// recordEvent records an event of a request.
func (p *simulatedEngine) recordEvent(j *job, now time.Duration) {
	j.writtenTokens += p.figures.Stride
	if j.firstEvent == 0 {
		j.firstEvent = now
		j.onFirstEvent()
	} else {
		j.longestPause = max(j.longestPause, now-j.lastEvent)
	}
	j.lastEvent = now
}
