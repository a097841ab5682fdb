package placement

import (
	"math"
	"time"
)

// Pause goals are grouped into classes, each about a fifth longer than the one before.
const (
	shortestPauseClass      = 50 * time.Millisecond
	pauseClassesPerDoubling = 4
	pauseClassCount         = 6*pauseClassesPerDoubling + 1 // up to 3.2 s
)

// pauseClasses are the pauses of the classes. A call belongs to the longest that doesn't exceed its
// pause goal.
var pauseClasses = newPauseClasses()

func newPauseClasses() (cs [pauseClassCount]time.Duration) {
	for i := range cs {
		cs[i] = time.Duration(float64(shortestPauseClass) * math.Pow(2, float64(i)/pauseClassesPerDoubling))
	}
	return cs
}

// Stakes is the worth of open calls by pause class, in thousandths.
type Stakes [pauseClassCount]int

// Plus returns the sum of two stakes.
func (s Stakes) Plus(o Stakes) Stakes {
	for i := range s {
		s[i] += o[i]
	}
	return s
}

// Minus returns s without o.
func (s Stakes) Minus(o Stakes) Stakes {
	for i := range s {
		s[i] -= o[i]
	}
	return s
}

// stakesPerWorth is the unit of Stakes: thousandths of worth.
const stakesPerWorth = 1000

// Stakes returns the worth of one call in its pause class.
func (r Request) Stakes() (s Stakes) {
	if r.PauseGoal <= 0 {
		return s
	}
	at := 0
	for i, c := range pauseClasses {
		if c <= r.PauseGoal {
			at = i
		}
	}
	s[at] = int(r.Worth() * stakesPerWorth)
	return s
}

// hasGoalUpTo reports whether any of the calls has a pause class no longer than the given pause.
func (s *Stakes) hasGoalUpTo(pause time.Duration) bool {
	for i, c := range pauseClasses {
		if c > pause {
			break
		}
		if s[i] > 0 {
			return true
		}
	}
	return false
}

// Calls with short pause goals are retried elsewhere, or cancelled by their callers, when a pause
// is much longer than the goal: more of their worth is lost, and their prompt is prefilled again.
const (
	abandonedPause     = time.Second
	abandonedMaxGoal   = 400 * time.Millisecond // calls with longer pause goals wait longer
	abandonedLossShare = 0.5
)

// A pause is predicted from the known backlog, and more prefill may arrive meanwhile, so the loss
// rises linearly between these parts of the pause goal.
const (
	pauseMetBelow    = 0.7
	pauseMissedAbove = 1.1
)

// pauseMissChance estimates the chance that a pause misses a goal.
func pauseMissChance(pause, goal time.Duration) float64 {
	x := float64(pause) / float64(goal)
	return min(max((x-pauseMetBelow)/(pauseMissedAbove-pauseMetBelow), 0), 1)
}

// Loss returns the worth that the calls lose when their longest pause grows from before to after.
func (s *Stakes) Loss(before, after time.Duration) (worth float64) {
	for i, c := range pauseClasses {
		if s[i] == 0 {
			continue
		}
		worth += (pauseMissChance(after, c) - pauseMissChance(before, c)) * float64(s[i]) / stakesPerWorth
		if c <= abandonedMaxGoal && before <= abandonedPause && after > abandonedPause {
			worth += abandonedLossShare * float64(s[i]) / stakesPerWorth
		}
	}
	return worth
}
