package experiment

import (
	"time"

	"github.com/hollowgrade/hollowgrade/engine"
)

// job is one request on its way.
type job struct {
	kind         *Kind
	prompt       int
	answer       int // tokens
	arrived      time.Duration
	partsLeft    int // of its prompt that are not read yet
	split        bool
	keptTokens   int // tokens of its prompt that other engines keep
	keepers      []*simulatedEngine
	tries        int // at getting it placed
	decider      int // that placed it last
	written      int
	first        time.Duration // when its first event came
	last         time.Duration // when its last event came
	pause        time.Duration // longest between two events
	onFirstEvent func()
	onDone       func(now time.Duration)
}

// part is a piece of a prompt that an engine has to read.
type part struct {
	job      *job
	work     time.Duration
	upstream *simulatedEngine // engine that writes the answer
}

// simulatedEngine is one engine: it plays passes, each over all that waits.
type simulatedEngine struct {
	id          string
	figures     *engine.Figures
	sim         *simulation
	prefills    []part
	decoding    []*job
	slotQueue   []*job    // read, waiting for a slot
	memoryQueue []arrival // that wait for memory
	usedTokens  int       // tokens of memory that calls hold
	busy        bool
	pace        float64
}

// arrival is a call that waits to be let in, and what lets its prompt be read.
type arrival struct {
	job          *job
	startPrefill func()
}

// enqueue lets a call in once its memory is free. Its prompt is read from then on, by
// helpers as well.
func (p *simulatedEngine) enqueue(j *job, startPrefill func()) {
	p.memoryQueue = append(p.memoryQueue, arrival{j, startPrefill})
	p.admit()
}

// admit lets those in that wait, as far as memory goes.
func (p *simulatedEngine) admit() {
	for len(p.memoryQueue) > 0 && p.hasMemory(p.memoryQueue[0].job.ownTokens()) {
		a := p.memoryQueue[0]
		p.memoryQueue = p.memoryQueue[1:]
		p.usedTokens += a.job.ownTokens()
		a.startPrefill()
	}
}

// hasMemory reports whether the engine has memory for some more tokens.
func (p *simulatedEngine) hasMemory(tokens int) bool {
	return p.usedTokens == 0 || p.figures.Capacity <= 0 || p.usedTokens+tokens <= p.figures.Capacity
}

// releaseMemory gives memory back.
func (p *simulatedEngine) releaseMemory(tokens int) {
	p.usedTokens -= tokens
	p.admit()
}

// ownTokens returns how many tokens of a call are kept at the engine that answers it.
func (j *job) ownTokens() int {
	return j.prompt - j.keptTokens*len(j.keepers) + j.answer
}

// addPrefill gives a part of a prompt to the engine.
func (p *simulatedEngine) addPrefill(x part) {
	p.prefills = append(p.prefills, x)
	p.startPass()
}

// startPass begins a pass if none is under way.
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
	if len(rest) > 0 {
		p.sim.schedule(p.prefillTime(prefills), func() { p.finishPrefill(rest) })
	}
	p.sim.schedule(p.passTime(prefills, decoding), func() { p.endPass(decoding) })
}

// startDecoding lets those write in the pass that begins whose prompts are read by it alone,
// as far as there are slots, and returns the other parts.
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

// finishPrefill notes that parts are read. Who has none left writes from the next pass
// of its engine on.
func (p *simulatedEngine) finishPrefill(parts []part) {
	for _, x := range parts {
		if x.job.partsLeft--; x.job.partsLeft == 0 {
			x.upstream.slotQueue = append(x.upstream.slotQueue, x.job)
			x.upstream.startPass()
		}
	}
}

// prefillTime returns how long the reading of parts takes.
func (p *simulatedEngine) prefillTime(prefills []part) (d time.Duration) {
	for _, x := range prefills {
		d += x.work
	}
	return time.Duration(p.pace * float64(d))
}

// passTime returns how long a passTime takes.
func (p *simulatedEngine) passTime(prefills []part, decoding []*job) (d time.Duration) {
	if len(decoding) > 0 {
		s := engine.State{Decoding: len(decoding)}
		for _, j := range decoding {
			s.Context += j.prompt + j.written
			if j.split {
				d += p.figures.HopTime(p.figures.Stride)
			}
		}
		d += p.figures.PassTime(s)
	}
	return p.prefillTime(prefills) + time.Duration(p.pace*float64(d))
}

// endPass ends a pass: each request that writes has an event more. The engine counts
// as busy until its own lists are in order again.
func (p *simulatedEngine) endPass(decoding []*job) {
	now := p.sim.now
	p.decoding = nil
	for _, j := range decoding {
		if p.recordEvent(j, now); j.written < j.answer {
			p.decoding = append(p.decoding, j)
		} else {
			j.onDone(now)
		}
	}
	p.busy = false
	p.startPass()
}

// recordEvent notes an recordEvent of a request.
func (p *simulatedEngine) recordEvent(j *job, now time.Duration) {
	j.written += p.figures.Stride
	if j.first == 0 {
		j.first = now
		j.onFirstEvent()
	} else {
		j.pause = max(j.pause, now-j.last)
	}
	j.last = now
}
