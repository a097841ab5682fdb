package feed

import (
	"cmp"
	"slices"

	"github.com/hollowgrade/hollowgrade/sched"
)

const (
	// At least minReaders processes read the store, and one in processesPerReader up to
	// targetReaders. A third of all processes may lose the store at once while the others still
	// have to learn of a change within two seconds, so it must be rare that all readers are among
	// them: once in 2,000 times with seven readers. More readers cost calls: one in five of 103
	// gateways makes 18 calls a second at rest, seven make 7 (BenchmarkCalls of internal/spread).
	minReaders         = 4
	processesPerReader = 5
	targetReaders      = 7
	// maxClientsPerReader is how many processes poll one reader at the most: more would make more
	// than 150 polls a second.
	maxClientsPerReader = 20
	// maxLargeReaders is how many processes read a topic with large records: each read returns a
	// whole record, and all reads share the store's 80 MB a second. Sixteen copies of 4 MB take 0.8
	// s, the 84 of one in five of 420 processes would take 4.2 s. The other readers poll these.
	maxLargeReaders = 16
	// rankingTTL is how long the ranking is cached. Each feed needs it ten times a second, and
	// computing it takes 0.05 ms for 103 processes and 0.24 ms for 420 (BenchmarkReaders).
	rankingTTL = followCheckInterval
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

// readers returns the processes that read the store, those that read topics with large records
// first. All processes with the same member list get the same result. Halls alternate, so that few
// halls have no reader and have to poll others; within a hall wide links come first, since a reader
// serves the others.
func (r *Relay) readers() []string {
	order, n := r.rankedProcesses()
	return slices.Clone(order[:n])
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
	if now := r.clock.Now(); r.ranked == nil || now.Sub(r.rankedAt) >= rankingTTL {
		r.ranked, r.rankedAt = r.rank(), now
	}
	return r.ranked, readerCount(len(r.ranked))
}

// rank computes the ranking.
func (r *Relay) rank() (as []string) {
	all := append(r.peers(), r.self)
	slices.Sort(all)
	all = slices.Compact(all)
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
	share := min(ceilDiv(n, processesPerReader), targetReaders)
	return min(max(minReaders, share, ceilDiv(n, maxClientsPerReader)), n)
}

func ceilDiv(a, b int) int {
	return (a + b - 1) / b
}

func compareCandidates(a, b candidate) int {
	return cmp.Or(cmp.Compare(b.place.Link, a.place.Link), cmp.Compare(b.rank, a.rank), cmp.Compare(a.address, b.address))
}

// largeReaders returns those of the readers that read topics with large records.
func largeReaders(rs []string) []string {
	return rs[:min(maxLargeReaders, len(rs))]
}
