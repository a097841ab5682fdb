package core

import (
	"time"

	"github.com/hollowgrade/hollowgrade/engine"
)

// backlog is what an engine has to read, as it reads it: a pass reads all that waits when it
// begins, and plays the steps of those that write. What is given during a pass waits for its end. With an
// account that ran off from the moment at which reading was given, engines in the midst of a
// long prompt's part looked idle: of short calls that were late at the end of a burst of long prompts
// most had gone to an engine with 0.2 to 0.5 s left of a pass, of which 5 to 40 ms were known.
type backlog struct {
	end     time.Time     // of the pass that reads, as far as is known
	waiting time.Duration // reading that came since it began
}

// at returns the backlog at a later moment, where passes take as long as write without
// reading.
func (b backlog) at(now time.Time, write time.Duration) backlog {
	if b.waiting > 0 && !now.Before(b.end) {
		b.end = b.end.Add(b.waiting + write)
		b.waiting = 0
	}
	return b
}

// plus returns the backlog with more reading, or less where d is negative.
func (b backlog) plus(now time.Time, d, write time.Duration) backlog {
	b = b.at(now, write)
	switch {
	case d < 0:
		x := min(b.waiting, -d)
		b.waiting -= x
		b.end = b.end.Add(d + x)
		if b.waiting == 0 && b.end.Sub(now) <= write*3/2 {
			b.end = now // nothing is left to read but steps of those that write
		}
	case now.Before(b.end):
		b.waiting += d
	case d > 0: // those that write end their steps first
		b.end = now.Add(write/2 + d + write)
	}
	return b
}

// left returns how long it takes until all is read.
func (b backlog) left(now time.Time) time.Duration {
	return max(b.end.Sub(now), 0) + b.waiting
}

// times returns the backlog where all that is left takes x times as long.
func (b backlog) times(now time.Time, x float64) backlog {
	if now.Before(b.end) {
		b.end = now.Add(time.Duration(x * float64(b.end.Sub(now))))
	}
	b.waiting = time.Duration(x * float64(b.waiting))
	return b
}

// give adds reading, as long as it takes by the published figures, to what the upstream has to do.
func (m *member) give(now time.Time, d time.Duration) {
	m.backlog = m.backlog.plus(now, time.Duration(m.pace(now)*float64(d)), m.writing(now))
}

// reading returns how long the upstream takes until it has read all that it was given, and how much
// of that the pass under way does not read.
func (m *member) reading(now time.Time) (all, waiting time.Duration) {
	b := m.backlog.at(now, m.writing(now))
	return b.left(now), b.waiting
}

// writing returns how long a pass of the upstream takes that reads nothing.
func (m *member) writing(now time.Time) time.Duration {
	t := m.total()
	if m.figures == nil || t.Open <= 0 {
		return 0
	}
	return m.figures.Pass(engine.State{Writers: t.Open, Context: t.Tokens, Pace: m.pace(now)})
}
