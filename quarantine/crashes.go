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
}

// lostRun is a run that was lost in a crash.
type lostRun struct {
	fingerprint hollowgrade.Fingerprint
	sent        time.Time
}

// find returns the run of a request that was lost in the crash.
func (e *crash) find(f hollowgrade.Fingerprint) (u lostRun, ok bool) {
	for _, u = range e.lostRuns {
		if u.fingerprint == f {
			return u, true
		}
	}
	return lostRun{}, false
}

// maxLossesPerCrash bounds the lost runs kept per crash. A request beyond it counts as not having
// run there, which is in its favour.
const maxLossesPerCrash = 64

// background is the crashes of a service's upstreams that a request doesn't explain.
type background struct {
	upstreamCount int // number of upstreams of the service
	crashes       int // without the request, within [crashRateWindow] before the loss
	simultaneous  int // of other upstreams within [sameEventWindow] of the loss; with the request only if both runs overlapped
}

// crashHistory keeps the crashes of the upstreams of one service.
type crashHistory struct {
	list []crash // in order of arrival here
}

// add records a lost run with the crash of its upstream.
func (e *crashHistory) add(l Loss) {
	e.list = slices.DeleteFunc(e.list, func(x crash) bool { return l.Lost.Sub(x.at) > 2*crashRateWindow })
	if x := e.crashOf(l); x != nil {
		if _, ok := x.find(l.Fingerprint); !ok && len(x.lostRuns) < maxLossesPerCrash {
			x.lostRuns = append(x.lostRuns, lostRun{l.Fingerprint, l.Sent})
		}
		return
	}
	if len(e.list) >= maxCrashesPerService {
		e.list = e.list[1:]
	}
	e.list = append(e.list, crash{upstream: l.Upstream, at: l.Lost, lostRuns: []lostRun{{l.Fingerprint, l.Sent}}})
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
		own, with := x.find(l.Fingerprint)
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
