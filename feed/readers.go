package feed

import (
	"cmp"
	"slices"
	"time"

	"github.com/hollowgrade/hollowgrade/sched"
)

const (
	// At least minReaders processes read the store, and one in processesPerReader up to maxReaders. A
	// third of all processes may lose the store at once while the others still have to learn of a
	// change within two seconds, so it must be rare that all readers are among them: once in 2,000
	// times with seven readers. More readers cost calls, and their number must not grow with the
	// fleet.
	minReaders         = 4
	processesPerReader = 5
	maxReaders         = 7
	// maxClientsPerSource is how many processes poll one source at the most: more would make more than
	// 150 polls a second. Fleets with more clients than the readers may have get further sources,
	// which poll the readers.
	maxClientsPerSource = 20
	// rankingTTL is how long the ranking is used without a look at the list of processes. Each feed
	// needs it ten times a second.
	rankingTTL = followCheckInterval
	// placesTTL is how long the ranking of an unchanged list is used. A process that starts again on
	// another box may have the address of an earlier one.
	placesTTL = 5 * time.Second
	// readersSubject is the subject for which processes are ranked.
	readersSubject = "store"
)

// Place is the location of a process.
type Place struct {
	Hall string
	Link float64 // Mbit/s of its box's link, 0 if unknown
}

// candidate is a process with the properties that determine its rank as a reader.
type candidate struct {
	address   string
	place     Place
	rank      uint64
	hallIndex int // position among the processes of its hall
}

// readers returns the processes that read the store. All processes with the same member list get the
// same result. Halls alternate, so that few halls have no reader and have to poll others; within a
// hall wide links come first, since a reader serves the others.
func (r *Relay) readers() []string {
	order, n := r.rankedProcesses()
	return slices.Clone(order[:n])
}

// sources returns the processes that the others poll: the readers, and in large fleets further ones,
// the next by rank, which poll the readers.
func (r *Relay) sources() []string {
	order, _ := r.rankedProcesses()
	return slices.Clone(order[:sourceCount(len(order))])
}

// higherRanked returns the processes of a higher rank than this one. The caller must not change
// them.
func (r *Relay) higherRanked() []string {
	order, _ := r.rankedProcesses()
	return order[:max(slices.Index(order, r.self), 0)]
}

// rankedProcesses returns all processes by rank, and how many of them read the store for the
// others. The caller must not change them.
func (r *Relay) rankedProcesses() (as []string, readers int) {
	r.rankedMu.Lock()
	defer r.rankedMu.Unlock()
	now := r.clock.Now()
	if r.ranked != nil && now.Sub(r.listedAt) < rankingTTL {
		return r.ranked, readerCount(len(r.ranked))
	}
	r.rankedList = r.listed() // before the list, which may grow meanwhile
	all := append(r.peers(), r.self)
	slices.Sort(all)
	all = slices.Compact(all)
	r.listedAt = now
	if r.ranked == nil || !slices.Equal(all, r.rankedOf) || now.Sub(r.rankedAt) >= placesTTL {
		r.ranked, r.rankedOf, r.rankedAt = r.rank(all), all, now
	}
	return r.ranked, readerCount(len(r.ranked))
}

// ranksList reports whether the ranking is of the whole list of processes.
func (r *Relay) ranksList() bool {
	r.rankedProcesses()
	r.rankedMu.Lock()
	defer r.rankedMu.Unlock()
	return r.rankedList
}

// rank computes the ranking of all processes.
func (r *Relay) rank(all []string) (as []string) {
	rs := make([]candidate, len(all))
	for i, a := range all {
		rs[i] = candidate{address: a, place: r.placeOf(a), rank: sched.Rank(readersSubject, a)}
	}
	slices.SortFunc(rs, compareCandidates)
	hallCounts := map[string]int{}
	for i := range rs {
		rs[i].hallIndex = hallCounts[rs[i].place.Hall]
		hallCounts[rs[i].place.Hall]++
	}
	slices.SortStableFunc(rs, func(a, b candidate) int { return cmp.Compare(a.hallIndex, b.hallIndex) })
	for _, x := range rs {
		as = append(as, x.address)
	}
	return as
}

// readerCount returns how many of n processes read the store.
func readerCount(n int) int {
	return min(max(minReaders, min(ceilDiv(n, processesPerReader), maxReaders)), n)
}

// sourceCount returns how many of n processes the others poll.
func sourceCount(n int) int {
	return max(readerCount(n), ceilDiv(n, maxClientsPerSource))
}

func ceilDiv(a, b int) int {
	return (a + b - 1) / b
}

func compareCandidates(a, b candidate) int {
	return cmp.Or(cmp.Compare(b.place.Link, a.place.Link), cmp.Compare(b.rank, a.rank), cmp.Compare(a.address, b.address))
}
