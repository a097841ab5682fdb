package sched

import (
	"math"
	"time"

	"github.com/hollowgrade/hollowgrade"
)

// Load is what an entry knows of an upstream. All of it is a hint: it is old,
// and other entries send work as well.
type Load struct {
	Queued       [hollowgrade.Classes]int // tokens of work in the agent's queue
	Running      int                      // sequences
	QueuedItems  int
	HeldTokens   int
	TotalTokens  int
	PrefillRate  float64       // tokens a second
	Step         time.Duration // between two tokens of an answer
	Distance     time.Duration // one way between the data halls
	Sent         int           // tokens of own work sent since the report
	SentItems    int
	Draining     bool
	Suspect      bool // failed lately, and not yet probed
	CachedTokens int  // of the prompt at hand, as far as known
}

// Work is the part of a request that placement looks at.
type Work struct {
	Class        hollowgrade.Class
	PromptTokens int
	MaxTokens    int
}

// What is assumed of an upstream that has not reported yet.
const (
	assumedPrefillRate = 20_000.0
	assumedStep        = 30 * time.Millisecond
)

// Prediction says how long a request would take at an upstream.
type Prediction struct {
	Wait  time.Duration // until it starts
	First time.Duration // until the first token, with Wait
	Total time.Duration // until the last token, with Wait
}

// memoryWait is the wait that is assumed where memory is short: about the time
// of a prompt of middling length.
const memoryWait = 2 * time.Second

// Predict works out a [Prediction] from the load.
func Predict(l *Load, w Work) (p Prediction) {
	rate, step := l.PrefillRate, l.Step
	if rate <= 0 {
		rate = assumedPrefillRate
	}
	if step <= 0 {
		step = assumedStep
	}
	ahead := l.Sent
	for c := hollowgrade.Instant; c <= w.Class; c++ {
		ahead += l.Queued[c]
	}
	p.Wait = seconds(float64(ahead) / rate)
	if short := l.HeldTokens + w.PromptTokens + w.MaxTokens - l.TotalTokens; l.TotalTokens > 0 && short > 0 {
		// Memory comes free only as running answers end, and nobody knows when.
		p.Wait += memoryWait
	}
	fresh := max(w.PromptTokens-l.CachedTokens, 0)
	p.First = p.Wait + 2*l.Distance + seconds(float64(fresh)/rate) + step
	p.Total = p.First + time.Duration(w.MaxTokens)*step
	return p
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// Placement picks an upstream.
type Placement interface {
	// Pick returns the index of the load to use, or -1 if none may be used.
	Pick(w Work, ls []*Load) int
}

// RoundRobin takes the upstreams in turn. It is the naive baseline.
type RoundRobin struct {
	next int
}

// NewRoundRobin returns a placement that begins with the first upstream.
func NewRoundRobin() *RoundRobin {
	return &RoundRobin{}
}

// Pick implements [Placement].
func (r *RoundRobin) Pick(_ Work, ls []*Load) int {
	for range ls {
		i := r.next % len(ls)
		r.next++
		if usable(ls[i]) {
			return i
		}
	}
	return -1
}

// LeastLoaded takes the upstream with the fewest requests, as a common
// balancer does.
type LeastLoaded struct{}

// NewLeastLoaded returns the placement.
func NewLeastLoaded() LeastLoaded {
	return LeastLoaded{}
}

// Pick implements [Placement].
func (LeastLoaded) Pick(_ Work, ls []*Load) int {
	return least(ls, func(l *Load) float64 {
		return float64(l.Running + l.QueuedItems + l.SentItems)
	})
}

// Quickest takes the upstream at which the first token is predicted soonest,
// which weighs the cached prefix against the wait.
type Quickest struct{}

// NewQuickest returns the placement.
func NewQuickest() Quickest {
	return Quickest{}
}

// Pick implements [Placement].
func (Quickest) Pick(w Work, ls []*Load) int {
	return least(ls, func(l *Load) float64 {
		p := Predict(l, w)
		return float64(p.First)
	})
}

// suspectPenalty keeps an upstream that failed lately behind all others, yet
// usable when there is no other.
const suspectPenalty = float64(time.Hour)

func least(ls []*Load, cost func(*Load) float64) int {
	best, at := math.Inf(1), -1
	for i, l := range ls {
		if !usable(l) {
			continue
		}
		c := cost(l)
		if l.Suspect {
			c += suspectPenalty
		}
		if c < best {
			best, at = c, i
		}
	}
	return at
}

func usable(l *Load) bool {
	return !l.Draining
}
