package quarantine

import (
	"slices"
	"time"

	"github.com/hollowgrade/hollowgrade"
)

// mostEnds bounds the ends of upstreams that are kept of one service. Of 600 upstreams each may end
// within the window.
const mostEnds = 1024

// end is the end of an upstream, as far as gateways have seen it.
type end struct {
	upstream hollowgrade.Life
	at       time.Time
	under    []under // requests that were lost with it
}

// under is a run that was lost with an upstream.
type under struct {
	fingerprint hollowgrade.Fingerprint
	sent        time.Time
}

// of returns the run of a request that was lost with the upstream.
func (e *end) of(f hollowgrade.Fingerprint) (u under, ok bool) {
	for _, u = range e.under {
		if u.fingerprint == f {
			return u, true
		}
	}
	return under{}, false
}

// mostUnder bounds the requests that are kept of one end; one that is not kept counts as not
// having been there, which speaks for it.
const mostUnder = 64

// background is how upstreams of a service end without a request.
type background struct {
	upstreams int // there are
	ends      int // without the request, within [rateWindow] before the loss
	atOnce    int // others within [together] of its end; those under the request only if both runs were under way at a time
}

// ends keeps the ends of the upstreams of one service.
type ends struct {
	list []end // by time of arrival here
}

// add notes that a request was lost with an upstream.
func (e *ends) add(l Loss) {
	e.list = slices.DeleteFunc(e.list, func(x end) bool { return l.Lost.Sub(x.at) > 2*rateWindow })
	for i := range e.list {
		x := &e.list[i]
		if x.upstream != l.Upstream || l.Lost.Sub(x.at).Abs() > rateWindow {
			continue
		}
		if _, ok := x.of(l.Fingerprint); !ok && len(x.under) < mostUnder {
			x.under = append(x.under, under{l.Fingerprint, l.Sent})
		}
		return
	}
	if len(e.list) >= mostEnds {
		e.list = e.list[1:]
	}
	e.list = append(e.list, end{upstream: l.Upstream, at: l.Lost, under: []under{{l.Fingerprint, l.Sent}}})
}

// around returns how upstreams ended around a loss. Those that ended under another request which is held
// are explained by that one.
func (e *ends) around(l Loss, held func(hollowgrade.Fingerprint) bool) (b background) {
	explained := func(u under) bool { return held(u.fingerprint) }
	for i := range e.list {
		x := &e.list[i]
		before := l.Lost.Sub(x.at)
		if before > rateWindow || before < -together || x.upstream == l.Upstream || slices.ContainsFunc(x.under, explained) {
			continue
		}
		own, with := x.of(l.Fingerprint)
		if !with {
			b.ends++
		}
		if before > together {
			continue
		}
		// One run after another ends upstreams at no one moment, however short they are. One without
		// the request may have ended just before it was sent into the same event.
		if !with || x.at.After(l.Sent) && own.sent.Before(l.Lost) {
			b.atOnce++
		}
	}
	return b
}
