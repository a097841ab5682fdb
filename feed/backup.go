package feed

import (
	"maps"
	"slices"
	"time"
)

const (
	// backupGroupSize is the size of the first group of backups, which read where the store serves
	// no reader, each in another data hall, by rank. Each later group has backupGroupGrowth times
	// as many as all before it, plus backupGroupSize, so that the last of 420 processes are due
	// after half a second.
	backupGroupSize   = 3
	backupGroupGrowth = 4
	// minServedAbove is how many processes of a higher rank have to be served before a backup
	// stops. With only one, its loss would leave all processes without a served peer at once.
	minServedAbove = 2
	// maxPeerStatuses is the number of peer statuses above which expired ones are removed: more
	// than the readers that one of 420 processes polls.
	maxPeerStatuses = 64
)

// backupGroup returns the group of the backup at a position after the readers.
func backupGroup(position int) (group int) {
	for end := backupGroupSize; position >= end; end = backupGroupSize + end*backupGroupGrowth {
		group++
	}
	return group
}

// backupsUpTo returns how many of all processes belong to a group or an earlier one.
func backupsUpTo(group, all int) (n int) {
	for ; group >= 0 && n < all; group-- {
		n = backupGroupSize + n*backupGroupGrowth
	}
	return min(n, all)
}

// standing is a process's connection to the store.
type standing int

// The values of [standing], in ascending order.
const (
	unservedPeer   standing = iota // it knows no more than any other
	forwardingPeer                 // it passes on what processes reply that the store serves
	servedPeer                     // it reads all topics, and the store answers these reads in time
)

// peerStatus is what a peer last reported.
type peerStatus struct {
	standing standing
	at       time.Time
}

// noteReply records that a peer replied to a poll sent at the given time, and its standing. A source does
// not rely on others that forward, since these may rely on it.
func (r *Relay) noteReply(address string, s standing, sent time.Time) {
	r.contact.heard()
	failed := slices.ContainsFunc(r.feeds, (*Feed).fails)
	least := servedPeer
	if !slices.Contains(r.sources(), r.self) {
		least = forwardingPeer
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastReply = r.clock.Now()
	r.setStatus(address, s)
	if s < least {
		r.noteUnserved()
		if failed && r.noneServed {
			r.contact.noteStoreAway(sent)
		}
		return
	}
	r.contact.noteStoreServes(sent)
	r.outstanding, r.noneServed, r.lastServedReply = 0, false, r.lastReply
}

// noteNoReply records that a peer did not reply.
func (r *Relay) noteNoReply(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setStatus(address, unservedPeer)
	r.noteUnserved()
}

// noteUnserved records that the store does not serve a peer of the last round. If it was the last
// of a round without a served peer, others are polled at once, but not if the round before was one
// as well. The caller holds the lock.
func (r *Relay) noteUnserved() {
	r.outstanding--
	if r.outstanding != 0 || r.noneServed {
		return
	}
	r.noneServed = true
	select {
	case r.pollNow <- struct{}{}:
	default: // a poll is due already
	}
}

// setStatus records the status of a peer, and removes expired ones. The caller holds the lock.
func (r *Relay) setStatus(address string, s standing) {
	if len(r.peerStatuses) > maxPeerStatuses {
		maps.DeleteFunc(r.peerStatuses, func(a string, _ peerStatus) bool {
			_, ok := r.status(a)
			return !ok
		})
	}
	r.peerStatuses[address] = peerStatus{s, r.clock.Now()}
}

// status returns the recent status of a peer, and false if there is none. The caller holds the
// lock.
func (r *Relay) status(address string) (s standing, ok bool) {
	p, ok := r.peerStatuses[address]
	return p.standing, ok && r.clock.Since(p.at) <= r.timing.statusTTL()
}

// preferServed leaves out the peers that the store does not serve by their status, unless none are
// left.
func (r *Relay) preferServed(as []string) []string {
	if hs := r.withoutUnserved(as); len(hs) > 0 {
		return hs
	}
	return as
}

// withoutUnserved returns the peers whose status does not say that the store does not serve them.
func (r *Relay) withoutUnserved(as []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(as), func(a string) bool {
		s, ok := r.status(a)
		return a == r.self || ok && s == unservedPeer
	})
}

// lacksServedReply reports whether no served process has replied within the expected time, or none
// of the last round was served. The caller holds the lock.
func (r *Relay) lacksServedReply() bool {
	return r.noneServed || r.clock.Since(r.lastServedReply) > r.timing.maxReplyGap()
}

// suspectsOutage reports whether the store seems to serve none of the readers. The caller holds the
// lock.
func (r *Relay) suspectsOutage(readers []string, stale bool) bool {
	if !r.lacksServedReply() {
		return false
	}
	return stale || r.clock.Since(r.lastServedReply) > servedReplyTimeout || !slices.ContainsFunc(readers, func(a string) bool {
		s, ok := r.status(a)
		return a != r.self && (!ok || s == servedPeer)
	})
}

// updateOutage records since when the store has seemed to serve no reader. A process that the store
// serves suspects no outage, and one that is starting waits for peers that may be starting as well. The
// caller holds the lock.
func (r *Relay) updateOutage(readers []string, served, stale, starting bool) {
	if served {
		r.lastServedReply, r.noneServed = r.clock.Now(), false
	}
	switch {
	case starting, !r.suspectsOutage(readers, stale):
		r.standsIn = r.standsIn && (served || r.outageSince.IsZero()) // otherwise the store serves a peer again
		r.outageSince = time.Time{}
	case r.outageSince.IsZero():
		r.outageSince = r.clock.Now()
	}
}

// actsAsBackup reports whether this process of a group of backups reads the store in place of the
// readers: from when its group is due in an outage until enough processes of a higher rank are
// served. The caller holds the lock.
func (r *Relay) actsAsBackup(group int, higherRanked []string, served bool) bool {
	if r.isBackup && served {
		r.standsIn = r.countServed(higherRanked) < min(minServedAbove, len(higherRanked))
		return r.standsIn
	}
	if r.outageSince.IsZero() {
		return false
	}
	now := r.clock.Now()
	alone := now.Sub(r.lastServedReply) > servedReplyTimeout && now.Sub(r.lastReply) > servedReplyTimeout
	return alone || now.Sub(r.outageSince) >= time.Duration(group)*r.timing.BackupDelay
}

// countServed returns how many of the processes are served by the store by their status. The caller
// holds the lock.
func (r *Relay) countServed(as []string) (n int) {
	for _, a := range as {
		if s, ok := r.status(a); ok && s == servedPeer && a != r.self {
			n++
		}
	}
	return n
}

// withServedPeers returns the peers and all others that the store serves by their status.
func (r *Relay) withServedPeers(as []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for a := range r.peerStatuses {
		if s, ok := r.status(a); ok && s == servedPeer && !slices.Contains(as, a) {
			as = append(as, a)
		}
	}
	return as
}

// dueBackups returns the backups that are due by now. The caller must not change them.
func (r *Relay) dueBackups() []string {
	order, readers := r.rankedProcesses()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outageSince.IsZero() {
		return nil
	}
	backups := order[readers:]
	return backups[:backupsUpTo(int(r.clock.Since(r.outageSince)/r.timing.BackupDelay), len(backups))]
}
