package core

import (
	"slices"
	"time"
)

// minPartTime is the least time for which a part of a prompt that another engine answers counts as
// occupying an engine, because the engine keeps its part until all parts of the prompt are prefilled.
// Otherwise many short parts would fill its slots, and it would refuse the next.
const minPartTime = 400 * time.Millisecond

// addPart records that an engine got a part of a prompt that another engine answers, whose first
// event is predicted after first, 0 if not known. The lock is held.
func (m *member) addPart(now time.Time, first time.Duration) {
	end := now.Add(max(minPartTime, first))
	if m.busyUntil.After(end) {
		end = m.busyUntil
	}
	m.partsUntil = append(slices.DeleteFunc(m.partsUntil, func(t time.Time) bool { return !now.Before(t) }), end)
}

// partCount returns how many such parts the engine is thought to hold. The lock is held.
func (m *member) partCount(now time.Time) (n int) {
	for _, t := range m.partsUntil {
		if now.Before(t) {
			n++
		}
	}
	return n
}

// maxPeerAvoidShare is the share of a service's upstreams up to which reports of peers make this
// process avoid one more. Most of the engines that are named as at fault are full for a moment only,
// and the fewer are left, the more of those become full: without a bound 20 to 46 of 150 engines
// were avoided at a time during bursts.
const maxPeerAvoidShare = 0.3

// mayAvoidForPeer reports whether one more upstream of a service may be avoided because a peer
// reports it. The lock is held.
func (f *Fleet) mayAvoidForPeer(service string, now time.Time) bool {
	ms := f.membersOf(service)
	avoided := 0
	for _, m := range ms {
		if now.Before(m.avoidUntil) {
			avoided++
		}
	}
	return float64(avoided) < maxPeerAvoidShare*float64(len(ms))
}
