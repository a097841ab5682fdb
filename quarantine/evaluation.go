package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/hollowgrade/hollowgrade"
)

// evaluate blocks a suspect if its losses call for it and have settled. The lock is held.
func (t *Table) evaluate(r *record, now time.Time) {
	if len(r.losses) == 0 {
		return
	}
	t.updateOdds(r, now)
	if r.blocked(now) {
		t.widenByLosses(r)
		return
	}
	ms, n := r.consecutive()
	odds := r.odds(ms)
	d := blockTime(n, odds)
	if r.subject.Kind == KindPart && !t.answersOthers(r) {
		d = min(d, maxBlockWithoutAnswers)
	}
	if d == 0 || !r.settled(now) || !r.block.Until.Before(r.losses[len(r.losses)-1].Lost) || !r.implicated(crashesToBlockPart) {
		return
	}
	h := Block{Subject: r.subject, With: t.inseparable(r), Since: now, Until: now.Add(d), Losses: n, Odds: odds, Upstreams: r.namedUpstreams(), By: t.box}
	t.setBlock(r, h)
	t.scheduleStore(r, now, 0)
	b := t.backgroundOf(r, r.losses[len(r.losses)-1].Loss)
	t.log.Warn("request held", "kind", h.Kind, "suspect", h.Suspect(), "with", h.With, "organisation", h.Organisation, "route", h.Route, "service", h.Service,
		"losses", n, "upstreams", h.Upstreams, "odds", odds, "unaccounted", r.unaccounted, "upstreams_in_all", b.upstreamCount, "ends_without_it", b.crashes,
		"at_once", b.simultaneous, "by", t.box, "for_ms", d.Milliseconds())
	t.pending.add(Update{Blocks: []Block{h}})
	t.releaseExplained(r, now)
}

// answersOthers reports whether upstreams of the service have answered any run since the first loss of a
// suspect. If none has, they may crash for reasons of their own. The lock is held.
func (t *Table) answersOthers(r *record) bool {
	return t.answeredAt[r.subject.Service].After(r.losses[0].Lost)
}

// inseparable returns the parts that all lost runs with a part have beside it, and that no run was
// answered with since the first of them was lost. The lock is held.
func (t *Table) inseparable(r *record) []hollowgrade.PartID {
	if r.subject.Kind == KindRequest {
		return nil
	}
	first := r.losses[0].Lost
	return slices.DeleteFunc(commonParts(t.crashesOf(r.losses), r.subject.Suspect()), func(p hollowgrade.PartID) bool {
		o := t.records[Suspect{KindPart, hollowgrade.Fingerprint(p), r.subject.Service}]
		return o == nil || o.clearedAt.After(first)
	})
}

// widenByLosses drops the parts beside a blocked one without which runs with it were lost. The lock is
// held.
func (t *Table) widenByLosses(r *record) {
	xs := t.crashesOf(r.losses)
	if len(r.block.With) == 0 || len(xs) == 0 {
		return
	}
	common := commonParts(xs, r.subject.Suspect())
	t.widen(r, func(p hollowgrade.PartID) bool { return !slices.Contains(common, p) }, "")
}

// crashesOf returns the crashes of those losses that nothing explains, as far as they are kept. The
// lock is held.
func (t *Table) crashesOf(ms []keptLoss) (xs []*crash) {
	for _, m := range ms {
		if x := t.crashes[m.Service].crashOf(m.Loss); x != nil && !m.explained {
			xs = append(xs, x)
		}
	}
	return xs
}

// compareForEvaluation orders suspects for their evaluation: parts first, among them those with fewer
// losses, and among these the later ones in their prompts, which fewer prompts share.
func compareForEvaluation(a, b *record) int {
	return cmp.Or(cmp.Compare(b.subject.Kind, a.subject.Kind), cmp.Compare(len(a.losses), len(b.losses)), cmp.Compare(b.position, a.position),
		slices.Compare(a.subject.Fingerprint[:], b.subject.Fingerprint[:]))
}

// evaluateSettled evaluates the suspects whose new losses have settled. The lock is held.
func (t *Table) evaluateSettled(now time.Time) {
	t.lastEvaluation = now
	var rs []*record
	for s := range t.unevaluated {
		r := t.records[s]
		if r != nil && !r.settled(now) {
			continue
		}
		delete(t.unevaluated, s)
		if r != nil {
			rs = append(rs, r)
		}
	}
	slices.SortFunc(rs, compareForEvaluation)
	for _, r := range rs {
		t.evaluate(r, now)
	}
}

// updateOdds updates the odds of the losses of a suspect while crashes around them are kept: of those
// that are new or haven't settled, and of all after a change of blocks or of the number of its losses.
// The lock is held.
func (t *Table) updateOdds(r *record, now time.Time) {
	losses := r.allConsecutive()
	all := r.judgedBlocks != t.blockChanges || r.judgedLosses != losses
	changed := false
	for i := range r.losses {
		m := &r.losses[i]
		switch {
		case m.oddsFinal && !all:
		case now.Sub(m.Lost) <= crashRateWindow:
			m.odds, m.oddsFinal = lossOdds(m.Loss, t.backgroundOf(r, m.Loss)), m.settled(now)
			m.explained = t.explained(t.crashes[m.Service].crashOf(m.Loss), r, losses)
			changed = true
		case !m.oddsFinal:
			m.odds, m.oddsFinal = 1, true // crashes around it are no longer kept
		}
	}
	r.judgedBlocks, r.judgedLosses = t.blockChanges, losses
	if ms, n := r.consecutive(); changed && n >= lossesForTrials && r.subject.Kind == KindPart && r.block.Since.IsZero() {
		r.unaccounted = unaccounted(t.crashesOf(ms), r.subject.Suspect())
	}
}

// backgroundOf returns the crashes around a loss of a suspect. The lock is held.
func (t *Table) backgroundOf(r *record, l Loss) background {
	losses := r.allConsecutive()
	b := t.crashes[l.Service].backgroundOf(l, func(x *crash) bool { return t.explained(x, r, losses) })
	b.upstreamCount = t.upstreams(l.Service)
	return b
}

// explained reports whether a crash is attributed to another suspect than that of a record with some
// consecutive losses. The lock is held.
func (t *Table) explained(x *crash, r *record, losses int) bool {
	return x != nil && slices.ContainsFunc(t.explanations(x), func(o *record) bool {
		return o != r && o.subject.Kind >= r.subject.Kind && o.explains(x.at, losses)
	})
}

// explanations returns the records of what is or was blocked and was lost in a crash. The lock is held.
func (t *Table) explanations(x *crash) []*record {
	if x.explainedAt == t.blockChanges {
		return x.explanations
	}
	x.explainedAt, x.explanations = t.blockChanges, nil
	for _, u := range x.lostRuns {
		for o := range t.recordsOf(u.Request) {
			if !o.block.Since.IsZero() && u.hasAll(o.block.With) && !slices.Contains(x.explanations, o) {
				x.explanations = append(x.explanations, o)
			}
		}
	}
	return x.explanations
}

// releaseExplained ends the blocks on suspects whose losses the block on another one explains. The lock
// is held.
func (t *Table) releaseExplained(by *record, now time.Time) {
	for _, r := range t.records {
		if r == by || !r.blocked(now) || r.reportedLosses > 0 || len(r.losses) == 0 {
			continue
		}
		t.updateOdds(r, now)
		if ms, n := r.consecutive(); blockTime(n, r.odds(ms)) == 0 {
			t.clear(r, now, "the crashes are explained", "")
		}
	}
}

// widen removes parts from those that a blocked request has beside the blocked part. The lock is held.
func (t *Table) widen(r *record, harmless func(p hollowgrade.PartID) bool, peer string) {
	b := r.block
	b.With = slices.DeleteFunc(slices.Clone(b.With), harmless)
	if len(b.With) == len(r.block.With) {
		return
	}
	t.setBlock(r, b)
	r.storedUntil = time.Time{}
	t.scheduleStore(r, t.clock.Now(), storeDelay(peer))
	t.log.Info("request held by fewer parts", "suspect", r.subject.Suspect(), "with", b.With)
}
