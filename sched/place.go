package sched

import (
	"math"
	"time"

	"github.com/hollowgrade/hollowgrade"
)

// Load is what an entry knows of an upstream. All of it is approximate: reports are delayed, and
// other entries send work as well.
type Load struct {
	QueuedTokens  [hollowgrade.Classes]int // tokens of work in the agent's queue
	Running       int                      // sequences
	QueuedItems   int
	HeldTokens    int
	TotalTokens   int
	PrefillRate   float64       // tokens a second
	Step          time.Duration // between two tokens of an answer
	OneWayLatency time.Duration // one way between the data halls
	SentTokens    int           // tokens of work that this entry has sent since the report
	SentItems     int
	Draining      bool
	Suspect       bool // failed recently, and not yet probed
	CachedTokens  int  // known cached tokens of the prompt to be placed
}

// Work has the properties of a request that placement depends on.
type Work struct {
	Class        hollowgrade.Class
	PromptTokens int
	MaxTokens    int
}

// Speed assumed for an upstream that has not reported yet.
const (
	assumedPrefillRate = 20_000.0
	assumedStep        = 30 * time.Millisecond
)

// Prediction is the predicted time of a request at an upstream.
type Prediction struct {
	Wait  time.Duration // until it starts
	First time.Duration // until the first token, including Wait
	Total time.Duration // until the last token, including Wait
}

// shortMemoryWait is the wait assumed where memory is short: about the time of a medium-length
// prompt.
const shortMemoryWait = 2 * time.Second

// Predict computes a [Prediction] from the load.
func Predict(l *Load, w Work) (p Prediction) {
	rate, step := l.PrefillRate, l.Step
	if rate <= 0 {
		rate = assumedPrefillRate
	}
	if step <= 0 {
		step = assumedStep
	}
	ahead := l.SentTokens
	for c := hollowgrade.Instant; c <= w.Class; c++ {
		ahead += l.QueuedTokens[c]
	}
	p.Wait = seconds(float64(ahead) / rate)
	if short := l.HeldTokens + w.PromptTokens + w.MaxTokens - l.TotalTokens; l.TotalTokens > 0 && short > 0 {
		// Memory is released only when running answers end, which can't be predicted.
		p.Wait += shortMemoryWait
	}
	fresh := max(w.PromptTokens-l.CachedTokens, 0)
	p.First = p.Wait + 2*l.OneWayLatency + seconds(float64(fresh)/rate) + step
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

// RoundRobin picks the upstreams in turn. It is the naive baseline.
type RoundRobin struct {
	next int
}

// NewRoundRobin returns a placement that starts with the first upstream.
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

// LeastLoaded picks the upstream with the fewest requests, as common load balancers do.
type LeastLoaded struct{}

// NewLeastLoaded returns a [LeastLoaded].
func NewLeastLoaded() LeastLoaded {
	return LeastLoaded{}
}

// Pick implements [Placement].
func (LeastLoaded) Pick(_ Work, ls []*Load) int {
	return least(ls, func(l *Load) float64 {
		return float64(l.Running + l.QueuedItems + l.SentItems)
	})
}

// Quickest picks the upstream with the earliest predicted first token, which weighs the cached
// prefix against the wait.
type Quickest struct{}

// NewQuickest returns a [Quickest].
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

// suspectPenalty ranks an upstream that failed recently behind all others, but keeps it usable when
// there is no other.
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
