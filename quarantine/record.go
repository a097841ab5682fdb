package quarantine

import (
	"slices"
	"time"

	"github.com/hollowgrade/hollowgrade"
)

// maxLossesPerRequest bounds the losses kept per request.
const maxLossesPerRequest = 32

// record is the state of one suspect of which runs were lost.
type record struct {
	subject        Subject
	position       int        // of a part in the prompt of the last request that was lost with it
	unaccounted    int        // crashes that no single request and no rarer part accounts for; of a part only
	losses         []keptLoss // since the last answered run, ordered by the time of the loss
	clearedAt      time.Time  // time up to which the suspect is cleared of losses
	reportedLosses int        // consecutive losses that a block reported and that aren't in losses
	block          Block      // the last one, also after its expiry
	updatedAt      time.Time  // last update

	judgedBlocks int // [Table.blockChanges] when the odds of all losses were last updated
	judgedLosses int // consecutive losses then

	localTrial bool      // whether this process runs a trial
	trialStart time.Time // start of a trial at any gateway; zero if none runs
	undecided  bool      // the trial of this process was lost, and whether by a crash isn't known yet

	storedUntil time.Time // expiry of the block in the store; zero if it has none
	storeDue    time.Time // from when on this process updates the store
}

// blocked reports whether the suspect is blocked.
func (r *record) blocked(now time.Time) bool {
	return now.Before(r.block.Until)
}

// blocks reports whether a request with the suspect is blocked.
func (r *record) blocks(q Request, now time.Time) bool {
	return r.blocked(now) && q.hasAll(r.block.With)
}

// The least number of crashes that only a part accounts for, with which it is blocked, and with which
// one run is admitted at a time. The parts of a single request that crashes upstreams are lost with it
// each time.
const (
	crashesToBlockPart   = 2
	crashesForPartTrials = 1
)

// implicated reports whether a suspect accounts for some crashes that nothing more specific does. What
// was blocked before has been found to.
func (r *record) implicated(crashes int) bool {
	return r.subject.Kind == KindRequest || !r.block.Since.IsZero() || r.unaccounted >= crashes
}

// consecutive returns the consecutive losses that are kept and that nothing else explains, and their
// number including reported ones.
func (r *record) consecutive() (ms []keptLoss, losses int) {
	ms = consecutiveLosses(r.losses, r.clearedAt)
	return ms, len(ms) + r.reportedLosses
}

// allConsecutive returns the number of consecutive losses, whatever explains them.
func (r *record) allConsecutive() int {
	return countConsecutive(r.losses, r.clearedAt) + r.reportedLosses
}

// explains reports whether a crash in which a run of the suspect was lost is attributed to it, rather
// than to another one that has some consecutive losses.
func (r *record) explains(at time.Time, losses int) bool {
	return !r.block.Since.IsZero() && at.Before(r.block.Until) &&
		(r.block.Losses >= losses || r.allConsecutive() >= losses)
}

// suspect reports whether runs are admitted one at a time.
func (r *record) suspect() bool {
	ms, n := r.consecutive()
	return r.implicated(crashesForPartTrials) && (n >= lossesForTrials || crashEvents(r.losses) >= eventsForTrials) && r.odds(ms) <= maxTrialOdds
}

// odds returns the joint probability of losses for a harmless request, including those that a block
// reported.
func (r *record) odds(ms []keptLoss) float64 {
	if r.reportedLosses > 0 {
		return r.block.Odds * jointOdds(ms)
	}
	return jointOdds(ms)
}

// settled reports whether all losses have settled.
func (r *record) settled(now time.Time) bool {
	return !slices.ContainsFunc(r.losses, func(m keptLoss) bool { return !m.settled(now) })
}

// trialRunning reports whether a trial is running.
func (r *record) trialRunning(now time.Time) bool {
	return r.localTrial || !r.trialStart.IsZero() && now.Sub(r.trialStart) < trialTimeout
}

// upstreams returns the upstreams that crashed under the suspect since it was last cleared.
func (r *record) upstreams() (us []hollowgrade.Instance) {
	for _, m := range r.losses {
		if !slices.Contains(us, m.Upstream) {
			us = append(us, m.Upstream)
		}
	}
	return us
}

// maxNamedUpstreams bounds the upstreams that a block names, the latest ones.
const maxNamedUpstreams = 8

// namedUpstreams returns the upstreams that a block names.
func (r *record) namedUpstreams() []hollowgrade.Instance {
	us := r.upstreams()
	return us[max(len(us)-maxNamedUpstreams, 0):]
}

// add adds a loss, unless it is known or the suspect was cleared after it. Of the losses of a part in
// one crash it keeps the one sent last.
func (r *record) add(l Loss, now time.Time) {
	if !l.Lost.After(r.clearedAt) || slices.ContainsFunc(r.losses, l.matches) {
		return
	}
	if r.subject.Kind == KindPart {
		i := slices.IndexFunc(r.losses, l.sameCrash)
		if i >= 0 && !l.Sent.After(r.losses[i].Sent) {
			return
		}
		if i >= 0 {
			now = r.losses[i].learnedAt
			r.losses = slices.Delete(r.losses, i, i+1)
		}
	}
	r.decideTrial(l)
	i, _ := slices.BinarySearchFunc(r.losses, l, func(m keptLoss, l Loss) int { return m.Lost.Compare(l.Lost) })
	r.losses = slices.Insert(r.losses, i, keptLoss{Loss: l, learnedAt: now, odds: 1})
	if len(r.losses) > maxLossesPerRequest {
		r.losses = slices.Delete(r.losses, 0, 1)
	}
}

// decideTrial ends a trial of another process that a loss decides. That of this process ends with its
// run.
func (r *record) decideTrial(l Loss) {
	switch {
	case !r.localTrial && l.Sent.After(r.trialStart.Add(-sameLossTolerance)):
		r.trialStart = time.Time{}
	case r.localTrial && !l.Sent.Before(r.trialStart):
		r.undecided = false
	}
}

// sameLossTolerance is the difference in time up to which two reports are of one loss: each is sent
// as an age, and takes a moment longer in a packet or on a stream.
const sameLossTolerance = 200 * time.Millisecond

// matches reports whether a kept loss is the same loss.
func (l Loss) matches(m keptLoss) bool {
	return m.Upstream == l.Upstream && m.Lost.Sub(l.Lost).Abs() < sameLossTolerance && m.Sent.Sub(l.Sent).Abs() < sameLossTolerance
}

// sameCrash reports whether a kept loss is of the same crash.
func (l Loss) sameCrash(m keptLoss) bool {
	return m.Upstream == l.Upstream && m.Lost.Sub(l.Lost).Abs() < sameEventWindow
}

// clear clears the suspect of losses up to a time, and reports whether that ends a block. Later
// losses stay.
func (r *record) clear(at time.Time) (ends bool) {
	r.clearedAt = hollowgrade.Later(r.clearedAt, at)
	r.losses = slices.DeleteFunc(r.losses, func(m keptLoss) bool { return !m.Lost.After(at) })
	if r.block.Since.IsZero() || r.block.Since.After(at) {
		return false
	}
	r.block, r.reportedLosses = Block{}, 0
	return true
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
