// Package standin has small stand-ins for the systems around hollowgrade: a model engine, a plain
// service, the network, and the platform's log, box list and weight store. The demo, the examples and
// the tests use them; no role does.
package standin

import (
	"container/list"
	"context"
	"errors"
	"io"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hollowgrade/hollowgrade"
)

// BytesPerToken is the length of a token in the stand-in engine's tokenizer.
const BytesPerToken = 4

// The errors that an engine returns.
var (
	ErrEngineDown  = errors.New("engine is down")
	ErrNoMemory    = errors.New("not enough memory")
	ErrNoSuchModel = errors.New("model is not loaded")
	ErrNoHolding   = errors.New("no such holding")
	ErrCancelled   = errors.New("sequence was cancelled")
	ErrStaleFence  = errors.New("order has a stale fence")
	ErrDuplicateID = errors.New("id is in use")
)

// EngineConfig is the size and the speed of a stand-in engine.
type EngineConfig struct {
	Models       []string
	MemoryTokens int           // capacity of the memory
	StepTokens   int           // token budget of a step
	PrefillRate  float64       // prompt tokens a second
	StepBase     time.Duration // time of a step without prefill
	MaxRunning   int           // most sequences in a batch
	LoadLag      time.Duration // age of the load that Load returns
}

// DefaultEngine returns the configuration that the demo uses. The longest prompts, of a million
// tokens, need more than twice its memory.
func DefaultEngine(models ...string) EngineConfig {
	return EngineConfig{
		Models:       models,
		MemoryTokens: 400_000,
		StepTokens:   1024,
		PrefillRate:  60_000,
		StepBase:     8 * time.Millisecond,
		MaxRunning:   128,
		LoadLag:      500 * time.Millisecond,
	}
}

// Engine is a stand-in for a model engine with continuous batching. Each step decodes one token for
// each decoding sequence, and spends the rest of its budget on prefills in the order of their
// admission: a long prefill delays later ones, as in real engines.
type Engine struct {
	config EngineConfig
	clock  hollowgrade.Clock

	mu       sync.Mutex
	down     bool
	frozen   bool
	wake     chan struct{}
	stopped  chan struct{}
	waiting  []*sequence
	running  []*sequence
	holdings map[string]*holding
	cache    prefixCache
	used     int
	fence    int64
	models   []string
	loads    []hollowgrade.EngineLoad // history, for the lag
	runs     []Run
}

// Run is one entry of the engine's record of the sequences that it accepted, which fault tests
// compare with the answers that callers received.
type Run struct {
	ID     string
	At     time.Time // when the engine accepted it
	Tokens int       // tokens generated
	Ended  bool
}

type holding struct {
	hollowgrade.Allocation
	digest  xxhash.Digest
	hash    uint64 // chained hash of the last block, for the prefix cache
	expires time.Time
}

type sequence struct {
	hollowgrade.Generation
	digest    xxhash.Digest
	hash      uint64
	blocks    []uint64
	prompt    int // tokens to prefill, with those of Prefix
	prefilled int
	generated int // tokens of the answer, with those of Prefix
	need      int // tokens of memory
	run       int // index into Engine.runs
	out       chan hollowgrade.Token
	err       error // why out was closed; set before that
}

// NewEngine returns an engine with its loop running.
func NewEngine(c EngineConfig, k hollowgrade.Clock) *Engine {
	e := &Engine{
		config:   c,
		clock:    k,
		wake:     make(chan struct{}, 1),
		stopped:  make(chan struct{}),
		holdings: map[string]*holding{},
		models:   slices.Clone(c.Models),
	}
	e.cache.init()
	go e.loop()
	return e
}

// Stop ends the engine's loop for good.
func (e *Engine) Stop() {
	e.Kill()
	close(e.stopped)
}

// Kill simulates a crash: the engine loses its sequences, holdings and cache, and refuses calls until
// Restart.
func (e *Engine) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = true
	for _, s := range slices.Concat(e.running, e.waiting) {
		e.end(s, ErrEngineDown)
	}
	e.running, e.waiting = nil, nil
	e.holdings = map[string]*holding{}
	e.used = 0
	e.cache.init()
}

// Restart makes an engine accept calls again after Kill.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = false
}

// Freeze stops or resumes the engine's steps.
func (e *Engine) Freeze(on bool) {
	e.mu.Lock()
	e.frozen = on
	e.mu.Unlock()
	e.notify()
}

// Runs returns the record of all accepted sequences.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.runs)
}

// Generate implements [hollowgrade.Engine].
func (e *Engine) Generate(ctx context.Context, g hollowgrade.Generation) (hollowgrade.TokenStream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, err := e.accept(g)
	if err != nil {
		return nil, err
	}
	i, _ := slices.BinarySearchFunc(e.waiting, s, func(a, b *sequence) int {
		if a.Priority >= b.Priority {
			return -1
		}
		return 1
	})
	e.waiting = slices.Insert(e.waiting, i, s)
	e.notify()
	stop := context.AfterFunc(ctx, func() { _ = e.Cancel(context.WithoutCancel(ctx), g.ID) })
	return &stream{engine: e, sequence: s, stop: stop}, nil
}

func (e *Engine) accept(g hollowgrade.Generation) (*sequence, error) {
	if e.down {
		return nil, ErrEngineDown
	}
	if !slices.Contains(e.models, g.Model) {
		return nil, ErrNoSuchModel
	}
	if e.find(g.ID) != nil {
		return nil, ErrDuplicateID
	}
	s := &sequence{Generation: g, out: make(chan hollowgrade.Token, g.MaxTokens+1)}
	s.digest.Reset()
	for _, h := range g.Handles {
		p, err := parseHandle(h)
		if err != nil {
			return nil, err
		}
		s.digest, s.hash = p.digest, p.hash
	}
	_, _ = s.digest.WriteString(g.Prompt)
	s.blocks, s.hash = chain(s.hash, g.Prompt)
	s.prompt = Tokens(g.Prompt) + len(g.Prefix)
	s.generated = len(g.Prefix)
	s.need = s.prompt + g.MaxTokens - len(g.Prefix)
	if g.PrefillOnly {
		s.need = s.prompt
	}
	if s.need > e.config.MemoryTokens {
		return nil, ErrNoMemory
	}
	s.run = len(e.runs)
	e.runs = append(e.runs, Run{ID: g.ID, At: e.clock.Now()})
	return s, nil
}

// Tokens returns the length of a prompt in tokens.
func Tokens(prompt string) int {
	return (len(prompt) + BytesPerToken - 1) / BytesPerToken
}

func (e *Engine) find(id string) *sequence {
	for _, s := range slices.Concat(e.running, e.waiting) {
		if s.ID == id {
			return s
		}
	}
	return nil
}

// Cancel implements [hollowgrade.Engine].
func (e *Engine) Cancel(_ context.Context, id string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return ErrEngineDown
	}
	if i := slices.IndexFunc(e.waiting, func(s *sequence) bool { return s.ID == id }); i >= 0 {
		e.end(e.waiting[i], ErrCancelled)
		e.waiting = slices.Delete(e.waiting, i, i+1)
	}
	if i := slices.IndexFunc(e.running, func(s *sequence) bool { return s.ID == id }); i >= 0 {
		e.used -= e.running[i].need
		e.end(e.running[i], ErrCancelled)
		e.running = slices.Delete(e.running, i, i+1)
	}
	e.notify()
	return nil
}

func (e *Engine) end(s *sequence, err error) {
	s.err = err
	e.runs[s.run].Ended = true
	close(s.out)
}

func (e *Engine) notify() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) loop() {
	for {
		d, ok := e.plan()
		if !ok {
			select {
			case <-e.wake:
				continue
			case <-e.stopped:
				return
			}
		}
		t := e.clock.NewTimer(d)
		select {
		case <-t.Chan():
		case <-e.stopped:
			t.Stop()
			return
		}
		e.deliver()
	}
}

// plan admits the sequences that fit, assigns the step's budget and returns the step's time. It
// returns false if there is nothing to do.
func (e *Engine) plan() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down || e.frozen {
		return 0, false
	}
	e.expire()
	e.admit()
	if len(e.running) == 0 {
		return 0, false
	}
	budget := e.config.StepTokens
	for _, s := range e.running {
		if s.prefilled == s.prompt {
			budget--
		}
	}
	total := 0
	for _, s := range e.running {
		n := min(s.prompt-s.prefilled, max(budget-total, 0))
		s.prefilled += n
		total += n
	}
	return e.config.StepBase + time.Duration(float64(total)/e.config.PrefillRate*float64(time.Second)), true
}

func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.config.MaxRunning {
		s := e.waiting[0]
		if r, ok := e.holdings[s.Reservation]; ok && s.Reservation != "" {
			e.drop(r)
		}
		if e.used+s.need > e.config.MemoryTokens {
			return
		}
		e.used += s.need
		s.prefilled = min(e.cache.hit(s.blocks)*blockTokens, s.prompt-1)
		e.cache.shrink(e.config.MemoryTokens - e.used)
		e.running = append(e.running, s)
		e.waiting = e.waiting[1:]
	}
}

// deliver sends the tokens of the step that has ended, and releases finished sequences.
func (e *Engine) deliver() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordLoad()
	kept := e.running[:0]
	for _, s := range e.running {
		if s.prefilled < s.prompt || !e.advance(s) {
			kept = append(kept, s)
			continue
		}
		e.used -= s.need
		e.cache.add(s.blocks, e.config.MemoryTokens-e.used)
		e.holdExport(s)
		e.end(s, io.EOF)
	}
	clear(e.running[len(kept):])
	e.running = kept
}

// advance generates one token and reports whether the sequence is finished.
func (e *Engine) advance(s *sequence) bool {
	if s.PrefillOnly {
		return true
	}
	if s.generated < s.MaxTokens {
		s.out <- hollowgrade.Token{Offset: s.generated, Text: AnswerToken(s.digest.Sum64(), s.generated)}
		s.generated++
		e.runs[s.run].Tokens++
	}
	return s.generated >= s.MaxTokens
}

func (e *Engine) holdExport(s *sequence) {
	if !s.PrefillOnly {
		return
	}
	e.used += s.need
	e.holdings[s.ID] = &holding{
		Allocation: hollowgrade.Allocation{ID: s.ID, Kind: hollowgrade.ExportAllocation, Tokens: s.need},
		digest:     s.digest,
		hash:       s.hash,
	}
}

// AnswerToken returns the token at an offset of the answer to the prompt with the given xxhash.
// Tokens depend on both, so that tests can verify that an answer is complete and belongs to its
// prompt.
func AnswerToken(digest uint64, offset int) string {
	var b [16]byte
	for i := range 8 {
		b[i] = byte(digest >> (8 * i))
		b[8+i] = byte(offset >> (8 * i))
	}
	return strconv.FormatUint(xxhash.Sum64(b[:])&0xffffff, 36) + " "
}

// Answer returns the complete answer to a prompt.
func Answer(prompt string, tokens int) string {
	h := xxhash.Sum64String(prompt)
	var b []byte
	for i := range tokens {
		b = append(b, AnswerToken(h, i)...)
	}
	return string(b)
}

type stream struct {
	engine   *Engine
	sequence *sequence
	stop     func() bool
}

// Next implements [hollowgrade.TokenStream].
func (s *stream) Next() (hollowgrade.Token, error) {
	t, ok := <-s.sequence.out
	if !ok {
		s.stop()
		return t, s.sequence.err
	}
	return t, nil
}

// Close implements [hollowgrade.TokenStream].
func (s *stream) Close() error {
	s.stop()
	return s.engine.Cancel(context.Background(), s.sequence.ID)
}

const blockTokens = 256 // block size of the prefix cache

// chain returns the chained hashes of the full blocks of a prompt that follows a prefix with the
// chained hash h, and the last hash (h if there is no full block).
func chain(h uint64, prompt string) (bs []uint64, last uint64) {
	const size = blockTokens * BytesPerToken
	for ; len(prompt) >= size; prompt = prompt[size:] {
		h = h*0x9e3779b97f4a7c15 + xxhash.Sum64String(prompt[:size])
		bs = append(bs, h)
	}
	return bs, h
}

// prefixCache is a least-recently-used set of prompt blocks.
type prefixCache struct {
	order *list.List
	at    map[uint64]*list.Element
}

func (c *prefixCache) init() {
	c.order = list.New()
	c.at = map[uint64]*list.Element{}
}

// hit returns the number of leading blocks that are cached.
func (c *prefixCache) hit(bs []uint64) int {
	for i, b := range bs {
		l, ok := c.at[b]
		if !ok {
			return i
		}
		c.order.MoveToFront(l)
	}
	return len(bs)
}

func (c *prefixCache) add(bs []uint64, room int) {
	for _, b := range bs {
		if _, ok := c.at[b]; !ok {
			c.at[b] = c.order.PushFront(b)
		}
	}
	c.shrink(room)
}

func (c *prefixCache) shrink(room int) {
	for c.order.Len()*blockTokens > room {
		l := c.order.Back()
		delete(c.at, l.Value.(uint64))
		c.order.Remove(l)
	}
}
