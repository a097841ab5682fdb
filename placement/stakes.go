package placement

import "time"

// pauseClasses are the pauses by which calls are told apart: one belongs to
// the longest that is no longer than its pause goal.
var pauseClasses = [...]time.Duration{
	100 * time.Millisecond,
	200 * time.Millisecond,
	400 * time.Millisecond,
	800 * time.Millisecond,
	1600 * time.Millisecond,
}

// Stakes is the worth of calls by their class of pauses, in thousandths.
type Stakes [len(pauseClasses)]int

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

// Calls that bear short pauses are sent elsewhere, or given up by their
// callers, when a pause lasts much longer still: then the rest of their worth is
// lost, and their prompt is read again.
const (
	resentAfter = time.Second
	resentClass = 400 * time.Millisecond // those that bear longer pauses wait longer
	resentShare = 0.5
)

// Lost returns the worth of the calls that bear a pause of before and none of
// after.
func (s Stakes) Lost(before, after time.Duration) (worth float64) {
	for i, c := range pauseClasses {
		if before <= c && after > c {
			worth += float64(s[i]) / stakeUnit
		}
		if c <= resentClass && before <= resentAfter && after > resentAfter {
			worth += resentShare * float64(s[i]) / stakeUnit
		}
	}
	return worth
}
