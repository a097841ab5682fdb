package placement

import (
	"math"
	"time"
)

// Pauses are told apart by classes, each a fifth longer than the one before.
const (
	shortestPause   = 50 * time.Millisecond
	classesToDouble = 4
	pauseClassCount = 6*classesToDouble + 1 // up to 3.2 s
)

// pauseClasses are the pauses by which calls are told apart: one belongs to the
// longest that is no longer than its pause goal.
var pauseClasses = newPauseClasses()

func newPauseClasses() (cs [pauseClassCount]time.Duration) {
	for i := range cs {
		cs[i] = time.Duration(float64(shortestPause) * math.Pow(2, float64(i)/classesToDouble))
	}
	return cs
}

// Stakes is the worth of calls by their class of pauses, in thousandths.
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

// stakeUnit is the worth of one thousandth.
const stakeUnit = 1000

// Stakes returns what is at stake in one call.
func (r Request) Stakes() (s Stakes) {
	if r.Pause <= 0 {
		return s
	}
	at := 0
	for i, c := range pauseClasses {
		if c <= r.Pause {
			at = i
		}
	}
	s[at] = int(r.Worth() * stakeUnit)
	return s
}

// bearsNoMoreThan reports whether a call is at stake that bears a pause no longer
// than the given one.
func (s *Stakes) bearsNoMoreThan(pause time.Duration) bool {
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

// Calls that bear short pauses are sent elsewhere, or given up by their
// callers, when a pause lasts much longer still: then the rest of their worth is
// lost, and their prompt is read again.
const (
	resentAfter = time.Second
	resentClass = 400 * time.Millisecond // those that bear longer pauses wait longer
	resentShare = 0.5
)

// A pause is predicted from what is known to be read, and more may come meanwhile, so
// what is at stake is lost little by little.
const (
	surelyBorne  = 0.7 // of the pause goal
	surelyTooFar = 1.1
)

// tooLong estimates the chance that a pause is too long for a call with the goal.
func tooLong(pause, goal time.Duration) float64 {
	x := float64(pause) / float64(goal)
	return min(max((x-surelyBorne)/(surelyTooFar-surelyBorne), 0), 1)
}

// Lost returns the worth of the calls that is lost by a pause of after where they
// had one of before.
func (s *Stakes) Lost(before, after time.Duration) (worth float64) {
	for i, c := range pauseClasses {
		if s[i] == 0 {
			continue
		}
		worth += (tooLong(after, c) - tooLong(before, c)) * float64(s[i]) / stakeUnit
		if c <= resentClass && before <= resentAfter && after > resentAfter {
			worth += resentShare * float64(s[i]) / stakeUnit
		}
	}
	return worth
}
