package core

import (
	"maps"
	"time"

	"github.com/hollowgrade/hollowgrade"
)

// The heartbeat slows with the number of peers, so that a process receives a hundred a second at the
// most.
const (
	shortestHeartbeat = 500 * time.Millisecond
	longestHeartbeat  = time.Second
	heartbeatPerPeer  = 10 * time.Millisecond
	// viewTTLMargin is added to two heartbeats for the time that a peer's report is valid.
	viewTTLMargin = 500 * time.Millisecond
)

// Heartbeat returns how often a process sends a report to each of its peers, so that its last one
// doesn't expire.
func Heartbeat(others int) time.Duration {
	return min(max(time.Duration(others)*heartbeatPerPeer, shortestHeartbeat), longestHeartbeat)
}

// viewTTL returns how long a peer's report is valid without being repeated, given the number of
// peers. The load of a process that died is dropped after that.
func viewTTL(others int) time.Duration {
	return 2*Heartbeat(others) + viewTTLMargin
}

// view is the load that one peer has assigned to upstreams, as it reports.
type view struct {
	shares        map[hollowgrade.Instance]Share
	receivedAt    time.Time
	recentPrefill peerPrefill
	complete      bool // whether a complete report was received, so that upstreams that appear later are new
	startedIdle   bool // whether the first complete report had no load
}

// Changed returns a channel that receives a value when this process's own shares have changed.
func (f *Fleet) Changed() <-chan struct{} {
	return f.notify
}

// Changes returns the own shares that changed since the last call, and with all also those that
// [Fleet.Shares] returns.
func (f *Fleet) Changes(all bool) map[hollowgrade.Instance]Share {
	f.mu.Lock()
	defer f.mu.Unlock()
	cs := map[hollowgrade.Instance]Share{}
	if all {
		cs = f.shares()
	}
	for id := range f.changed {
		if m := f.members[id]; m != nil {
			cs[id] = m.ownShare
		}
	}
	clear(f.changed)
	return cs
}

// Shares returns the own shares that are not zero, and those of upstreams with something else to
// report: they were named as at fault, are slow, have a limit, or leave.
func (f *Fleet) Shares() map[hollowgrade.Instance]Share {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.shares()
}

func (f *Fleet) shares() map[hollowgrade.Instance]Share {
	now := f.clock.Now()
	cs := map[hollowgrade.Instance]Share{}
	for id, m := range f.members {
		if m.ownShare != (Share{}) || now.Before(m.publishAvoidUntil) || m.knownPace.own && m.slow(now) || m.limit.reportable(now) || m.leaving {
			cs[id] = m.ownShare
		}
	}
	return cs
}

// add adds to the own share of an upstream. The lock is held.
func (f *Fleet) add(m *member, s Share) {
	m.ownShare = m.ownShare.Plus(s)
	f.markChanged(m)
}

// markChanged marks the share of an upstream to be reported to peers. The lock is held.
func (f *Fleet) markChanged(m *member) {
	if f.members[m.instance] != m {
		return // an earlier instance
	}
	f.changed[m.instance] = true
	select {
	case f.notify <- struct{}{}:
	default:
	}
}

// ReceiveView applies a peer's report of the load that it has assigned to upstreams. A complete one
// replaces all earlier ones. Box identifies one instance of the peer, because its counters start
// again with each.
func (f *Fleet) ReceiveView(box string, shares map[hollowgrade.Instance]Share, complete bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.views[box]
	if v == nil {
		v = &view{shares: map[hollowgrade.Instance]Share{}}
		f.views[box] = v
	}
	v.receivedAt = f.clock.Now()
	if complete {
		v.startedIdle = v.startedIdle || !v.complete && idle(shares)
		for id := range v.shares {
			if _, ok := shares[id]; !ok {
				f.dropShare(v, id)
			}
		}
	}
	for id, s := range shares {
		f.setViewShare(v, id, s)
	}
	v.complete = v.complete || complete
}

// setViewShare replaces one share of a view. Prefill added since the last report counts from now on;
// a decrease means that some was cancelled. Prefill assigned before the peer's first complete report
// is ignored, because it is unknown how much of it is still pending. The lock is held.
func (f *Fleet) setViewShare(v *view, id hollowgrade.Instance, s Share) {
	old, known := v.shares[id]
	if m := f.members[id]; m != nil {
		m.peerShare = m.peerShare.Plus(s).Minus(old)
		if n := s.Open - old.Open; (known || v.complete) && n > 0 {
			f.recordPeerCalls(m.Service, n)
		}
		if m.limit.inForce() && (known || v.complete) {
			f.recordPeerSends(m, s.Sent-old.Sent, s.Wanted-old.Wanted)
		}
		if more := s.Prefill - old.Prefill; (known || v.complete) && more != 0 {
			m.addPrefill(f.clock.Now(), more)
			f.recordPeerPrefill(v, m.Service, max(more, 0))
			if more > 0 && s.Open <= old.Open {
				m.addPart(f.clock.Now(), 0)
			}
		}
	}
	v.shares[id] = s
}

// dropShare removes one share of a view. Its prefill stays in the backlog. The lock is held.
func (f *Fleet) dropShare(v *view, id hollowgrade.Instance) {
	if m := f.members[id]; m != nil {
		m.peerShare = m.peerShare.Minus(v.shares[id])
	}
	delete(v.shares, id)
}

// sumPeerShares adds up the load that peers have assigned to a new member. The lock is held.
func (f *Fleet) sumPeerShares(m *member, id hollowgrade.Instance) {
	for _, v := range f.views {
		m.peerShare = m.peerShare.Plus(v.shares[id])
	}
}

// PrefillBacklogs returns how much prefill each upstream has still to do for all processes, without
// those that have none.
func (f *Fleet) PrefillBacklogs() map[hollowgrade.Instance]time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	rs := map[hollowgrade.Instance]time.Duration{}
	for id, m := range f.members {
		if d := m.prefillBacklog(now); d > 0 {
			rs[id] = d
		}
	}
	return rs
}

// ReceivePrefillBacklogs applies a peer's report of the prefill that upstreams have still to do. A
// process that has just started cannot derive this from shares, and would assign more to engines that
// are busy.
func (f *Fleet) ReceivePrefillBacklogs(box string, rs map[hollowgrade.Instance]time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	maps.DeleteFunc(f.unlistedBusyUntil, func(_ hollowgrade.Instance, until time.Time) bool { return !now.Before(until) })
	learned := 0
	for id, d := range rs {
		until := now.Add(d)
		if m := f.members[id]; m == nil {
			f.unlistedBusyUntil[id] = until
		} else if m.busyUntil.Before(until) {
			m.busyUntil = until
			learned++
		}
	}
	f.log.Info("prefill backlogs received from a peer", "peer", box, "told", len(rs), "new", learned)
}

// SyncedPeers returns the number of peers whose complete load has been received.
func (f *Fleet) SyncedPeers() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range f.views {
		if v.complete {
			n++
		}
	}
	return n
}

// PeerShare returns the load that peers have assigned to an upstream, as they report it.
func (f *Fleet) PeerShare(id hollowgrade.Instance) Share {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[id]; m != nil {
		return m.peerShare
	}
	return Share{}
}

// DropView removes the reports of a process that is gone.
func (f *Fleet) DropView(box string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropView(box)
}

func (f *Fleet) dropView(box string) {
	v := f.views[box]
	if v == nil {
		return
	}
	for id := range v.shares {
		f.dropShare(v, id)
	}
	delete(f.views, box)
}

// expireViews removes the views that were not renewed. The lock is held.
func (f *Fleet) expireViews(now time.Time) {
	longest := viewTTL(f.peers())
	for box, v := range f.views {
		if now.Sub(v.receivedAt) > longest {
			f.log.Info("load report of a peer expired", "peer", box, "age_ms", now.Sub(v.receivedAt).Milliseconds())
			f.dropView(box)
		}
	}
}
