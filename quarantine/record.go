package quarantine

import (
	"slices"
	"time"

	"github.com/hollowgrade/hollowgrade"
)

// mostMarks bounds the losses that are kept of one request.
const mostMarks = 32

// record is what is known of one request that was lost.
type record struct {
	subject  Subject
	marks    []mark    // since the last harmless run, by when they were lost
	harmless time.Time // when a run of it was answered last
	earlier  int       // losses in a row that a hold told of and that are not among the marks
	hold     Hold      // the last one, also when it is over
	touched  time.Time // when there was word of it

	running bool      // whether this process has a trial under way
	trial   time.Time // when a trial began that is under way anywhere; zero if none is

	stored time.Time // until when the store has it held; zero if it has nothing
	due    time.Time // from when on this process puts right what the store has
}

// held reports whether the request is held.
func (r *record) held(now time.Time) bool {
	return now.Before(r.hold.Until)
}

// row returns the marks in a row, and how many losses in a row that makes.
func (r *record) row() (ms []mark, losses int) {
	ms = inRow(r.marks, r.harmless)
	return ms, len(ms) + r.earlier
}

// suspect reports whether runs are let through one at a time.
func (r *record) suspect() bool {
	ms, n := r.row()
	return (n >= lossesToTry || moments(r.marks) >= momentsToTry) && r.odds(ms) <= tryOdds
}

// odds returns the chance of losses in a row for a harmless request, with those that a hold told of.
func (r *record) odds(ms []mark) float64 {
	if r.earlier > 0 {
		return r.hold.Odds * all(ms)
	}
	return all(ms)
}

// settled reports whether it is known how upstreams ended around its losses.
func (r *record) settled(now time.Time) bool {
	return !slices.ContainsFunc(r.marks, func(m mark) bool { return !m.settled(now) })
}

// trying reports whether a trial is under way.
func (r *record) trying(now time.Time) bool {
	return r.running || !r.trial.IsZero() && now.Sub(r.trial) < trialLasts
}

// upstreams returns those that ended under the request since it was harmless.
func (r *record) upstreams() (us []hollowgrade.Life) {
	for _, m := range r.marks {
		if !slices.Contains(us, m.Upstream) {
			us = append(us, m.Upstream)
		}
	}
	return us
}

// mostNamed bounds the upstreams that a hold names, the latest ones.
const mostNamed = 8

// named returns the upstreams that a hold names.
func (r *record) named() []hollowgrade.Life {
	us := r.upstreams()
	return us[max(len(us)-mostNamed, 0):]
}

// add keeps a loss, unless it is known or a harmless run came after it.
func (r *record) add(l Loss, now time.Time) {
	if !l.Lost.After(r.harmless) || slices.ContainsFunc(r.marks, l.is) {
		return
	}
	i, _ := slices.BinarySearchFunc(r.marks, l, func(m mark, l Loss) int { return m.Lost.Compare(l.Lost) })
	r.marks = slices.Insert(r.marks, i, mark{Loss: l, known: now, odds: 1})
	if len(r.marks) > mostMarks {
		r.marks = slices.Delete(r.marks, 0, 1)
	}
}

// sameLoss is by how much two words on one loss may differ in time: each is told with its age, and
// comes a moment later in a packet or on a stream.
const sameLoss = 200 * time.Millisecond

// is reports whether a mark is of this loss.
func (l Loss) is(m mark) bool {
	return m.Upstream == l.Upstream && m.Lost.Sub(l.Lost).Abs() < sameLoss && m.Sent.Sub(l.Sent).Abs() < sameLoss
}

// clear takes the request as harmless up to a moment, and reports whether that ends a hold. Losses
// after it stay.
func (r *record) clear(at time.Time) (ends bool) {
	r.harmless = hollowgrade.Later(r.harmless, at)
	r.marks = slices.DeleteFunc(r.marks, func(m mark) bool { return !m.Lost.After(at) })
	if r.hold.Since.IsZero() || r.hold.Since.After(at) {
		return false
	}
	r.hold, r.earlier = Hold{}, 0
	return true
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
