package quarantine

import (
	"slices"
	"time"

	"github.com/hollowgrade/hollowgrade"
)

// Admission is the decision whether a request may be sent to an upstream.
type Admission struct {
	Granted    bool
	Trial      bool          // whether it is the only run of a suspect admitted at the time
	Block      Block         // that refuses the request, the one that ends last; zero if another trial is running
	RetryAfter time.Duration // retry delay if the request is refused

	trials []Suspect
}

// refuse refuses a request that is blocked, until the last of its blocks ends.
func (a *Admission) refuse(b Block, now time.Time) {
	if left := b.Until.Sub(now); left > a.RetryAfter {
		a.Block, a.RetryAfter = b, left
	}
}

// Begin decides whether a request may be sent to an upstream. [Table.End] ends the run.
func (t *Table) Begin(q Request) (a Admission) {
	if t.size.Load() == 0 {
		return Admission{Granted: true}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	if now.Sub(t.lastEvaluation) >= evaluationInterval || t.evaluationDue(q, now) {
		t.evaluateSettled(now)
	}
	var rs []*record
	for r := range t.recordsOf(q) {
		rs = append(rs, r)
	}
	slices.SortFunc(rs, compareForEvaluation) // a block may explain the losses of the others
	for _, r := range rs {
		t.evaluate(r, now)
	}
	var suspects []*record
	for _, r := range rs {
		_, losses := r.consecutive()
		switch {
		case r.blocks(q, now):
			a.refuse(r.block, now)
		case !r.suspect():
		case r.trialRunning(now), losses >= lossesToBlock && !r.settled(now):
			a.RetryAfter = max(a.RetryAfter, trialRetryAfter)
		default:
			suspects = append(suspects, r)
		}
	}
	if a.RetryAfter > 0 {
		return a
	}
	return t.admit(suspects, now)
}

// evaluationDue reports whether a suspect of a request has new losses that have settled. They are
// evaluated with all others, since the order decides which of several suspects is blocked. The lock is
// held.
func (t *Table) evaluationDue(q Request, now time.Time) bool {
	for r := range t.recordsOf(q) {
		if t.unevaluated[r.subject.Suspect()] && r.settled(now) {
			return true
		}
	}
	return false
}

// Blocked returns the refusal of a request that is blocked, and false if it isn't.
func (t *Table) Blocked(q Request) (a Admission, blocked bool) {
	if t.size.Load() == 0 {
		return a, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for r := range t.recordsOf(q) {
		if r.blocks(q, now) {
			a.refuse(r.block, now)
		}
	}
	return a, a.RetryAfter > 0
}

// admit admits a run, alone if its request has suspects. The lock is held.
func (t *Table) admit(suspects []*record, now time.Time) Admission {
	a := Admission{Granted: true, Trial: len(suspects) > 0}
	for _, r := range suspects {
		s := r.subject.Suspect()
		r.trialStart, r.localTrial = now, true
		a.trials = append(a.trials, s)
		t.pending.add(Update{Trials: []Trial{{Suspect: s, At: now}}})
	}
	return a
}

// End ends a run that was admitted.
func (t *Table) End(a Admission) {
	if !a.Trial {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range a.trials {
		if r := t.records[s]; r != nil {
			t.endTrial(r)
		}
	}
}

// endTrial ends the trial of a suspect, unless its outcome is not known yet. The lock is held.
func (t *Table) endTrial(r *record) {
	undecided := r.undecided
	r.localTrial, r.undecided = false, false
	if undecided {
		return
	}
	r.trialStart = time.Time{}
	t.pending.add(Update{Trials: []Trial{{Suspect: r.subject.Suspect(), At: t.clock.Now(), Over: true}}})
}

// RecordUnconfirmed records a lost run of this process of which it isn't known yet whether its upstream
// crashed. If it was a trial, the next one waits until that is known, [trialTimeout] at most.
func (t *Table) RecordUnconfirmed(l Loss) {
	if t.size.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for r := range t.recordsOf(l.Request) {
		if r.localTrial && !l.Sent.Before(r.trialStart) {
			r.undecided = true
		}
	}
}

// Suspected reports whether a request was lost before, or one of its parts is suspected of crashing
// upstreams.
func (t *Table) Suspected(q Request) bool {
	if t.size.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for r := range t.recordsOf(q) {
		if r.subject.Kind == KindRequest || r.blocks(q, now) || r.suspect() {
			return true
		}
	}
	return false
}

// receiveTrial applies a trial of another gateway. The lock is held.
func (t *Table) receiveTrial(x Trial) {
	r := t.records[x.Suspect]
	switch {
	case r == nil || r.localTrial:
	case !x.Over && slices.ContainsFunc(r.losses, func(m keptLoss) bool { return m.Sent.After(x.At) }): // already decided
	case !x.Over:
		r.trialStart = hollowgrade.Later(r.trialStart, x.At)
	case !r.trialStart.After(x.At):
		r.trialStart = time.Time{}
	}
}
