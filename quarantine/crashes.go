package quarantine

import (
	"slices"
	"time"

	"github.com/hollowgrade/hollowgrade"
)

// maxCrashesPerService bounds the crashes kept per service. Each of up to 600 upstreams may crash
// within the window.
const maxCrashesPerService = 1024

// crash is a crash of an upstream, as reported by gateways.
type crash struct {
	upstream hollowgrade.Instance
	at       time.Time
	lostRuns []lostRun // runs that were lost in it

	explanations []*record // of what was blocked and lost in it, see [Table.explanations]
	explainedAt  int       // [Table.blockChanges] when they were found
}

// lostRun is a run that was lost in a crash. It has no organisation and no route.
type lostRun struct {
	Request
	sent time.Time
}

func newLostRun(l Loss) lostRun {
	s := Subject{Fingerprint: l.Fingerprint, Service: l.Service}
	return lostRun{Request{s, l.Parts}, l.Sent}
}

// has reports whether it is a run with a suspect.
func (u lostRun) has(s Suspect) bool {
	if s.Kind == KindRequest {
		return u.Fingerprint == s.Fingerprint
	}
	return slices.Contains(u.Parts, hollowgrade.PartID(s.Fingerprint))
}

// find returns the run with a suspect that was lost in the crash, the one sent last if there are
// several.
func (e *crash) find(s Suspect) (found lostRun, ok bool) {
	for _, u := range e.lostRuns {
		if u.has(s) && (!ok || u.sent.After(found.sent)) {
			found, ok = u, true
		}
	}
	return found, ok
}

// maxLossesPerCrash bounds the lost runs kept per crash. A request beyond it counts as not having
// run there, which is in its favour.
const maxLossesPerCrash = 64

// background is the crashes of a service's upstreams that a suspect doesn't explain.
type background struct {
	upstreamCount int // number of upstreams of the service
	crashes       int // without the suspect, within [crashRateWindow] before the loss
	simultaneous  int // of other upstreams within [sameEventWindow] of the loss; with the suspect only if both runs overlapped
}

// crashHistory keeps the crashes of the upstreams of one service.
type crashHistory struct {
	list []crash // in order of arrival here
}

// unaccounted returns in how many of some crashes runs with a part were lost that neither a single
// request nor a rarer part accounts for.
func unaccounted(xs []*crash, part Suspect) (n int) {
	runs, crashes := map[Suspect]int{}, map[Suspect]int{}
	for _, x := range xs {
		seen := map[Suspect]bool{}
		for _, u := range x.lostRuns {
			for s := range u.suspects() {
				runs[s]++
				if !seen[s] {
					seen[s] = true
					crashes[s]++
				}
			}
		}
	}
	accounted := 0
	for s, n := range crashes {
		if s.Kind == KindRequest || runs[s] < runs[part] {
			accounted = max(accounted, n)
		}
	}
	return crashes[part] - accounted
}

// commonParts returns the parts that all runs with a part that were lost in some crashes have beside it.
func commonParts(xs []*crash, part Suspect) (ps []hollowgrade.PartID) {
	first := true
	for _, x := range xs {
		for _, u := range x.lostRuns {
			switch {
			case !u.has(part):
			case first:
				first = false
				ps = slices.DeleteFunc(slices.Clone(u.Parts), func(p hollowgrade.PartID) bool { return p == hollowgrade.PartID(part.Fingerprint) })
			default:
				ps = slices.DeleteFunc(ps, func(p hollowgrade.PartID) bool { return !slices.Contains(u.Parts, p) })
			}
		}
	}
	return ps
}

// add records a lost run with the crash of its upstream.
func (e *crashHistory) add(l Loss) {
	e.list = slices.DeleteFunc(e.list, func(x crash) bool { return l.Lost.Sub(x.at) > 2*crashRateWindow })
	if x := e.crashOf(l); x != nil {
		if _, ok := x.find(l.Suspect()); !ok && len(x.lostRuns) < maxLossesPerCrash {
			x.lostRuns = append(x.lostRuns, newLostRun(l))
			x.explainedAt = 0
		}
		return
	}
	if len(e.list) >= maxCrashesPerService {
		e.list = e.list[1:]
	}
	e.list = append(e.list, crash{upstream: l.Upstream, at: l.Lost, lostRuns: []lostRun{newLostRun(l)}})
}

// crashOf returns the crash in which a run was lost, or nil if it is no longer kept.
func (e *crashHistory) crashOf(l Loss) *crash {
	for i := range e.list {
		if x := &e.list[i]; x.upstream == l.Upstream && l.Lost.Sub(x.at).Abs() <= crashRateWindow {
			return x
		}
	}
	return nil
}

// backgroundOf counts the crashes around a loss that nothing explains.
func (e *crashHistory) backgroundOf(l Loss, explained func(x *crash) bool) (b background) {
	for i := range e.list {
		x := &e.list[i]
		before := l.Lost.Sub(x.at)
		if before > crashRateWindow || before < -sameEventWindow || x.upstream == l.Upstream || explained(x) {
			continue
		}
		own, with := x.find(l.Suspect())
		if !with {
			b.crashes++
		}
		if before > sameEventWindow {
			continue
		}
		// Consecutive runs of the request, however short, don't crash upstreams at the same time. A
		// crash without the request counts even if it came just before this run was sent: both may
		// be one event.
		if !with || x.at.After(l.Sent) && own.sent.Before(l.Lost) {
			b.simultaneous++
		}
	}
	return b
}
