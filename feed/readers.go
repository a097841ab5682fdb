package feed

import (
	"cmp"
	"slices"

	"github.com/hollowgrade/hollowgrade/sched"
)

const (
	// fewestReaders read the store, however few processes there are, and one in
	// perReader beyond, up to enoughReaders. A third of all processes may be cut off from
	// the store at once, and the others have to learn of a change within two seconds: there
	// have to be so many readers that hardly ever all of them are among those. Of seven,
	// all are among them once in 2,000 times. One in five of 103 gateways made 18 calls a
	// second at rest, seven make 7 (BenchmarkCalls of internal/spread).
	fewestReaders = 4
	perReader     = 5
	enoughReaders = 7
	// askersOfReader is how many processes ask one reader at the most: more would make more
	// than 150 asks a second of it.
	askersOfReader = 20
	// mostOfLarge readers read a topic with large records, however many processes
	// there are: each read gives a whole record, and the store's reads share 80 MB a
	// second. Sixteen copies of 4 MB take it 0.8 s, the 84 of a fifth of 420 would
	// take it 4.2 s. The other readers ask these.
	mostOfLarge = 16
	// rankedFor is for how long the readers are not worked out anew. Each feed asks for them
	// ten times a second: 0.05 ms each time where there are 103 processes, 0.24 ms where
	// there are 420 (BenchmarkReaders; 0.0004 and 0.0012 ms when they are known).
	rankedFor = followPause
	// readersSubject is what processes are ranked for.
	readersSubject = "store"
)

// Place says where a process is.
type Place struct {
	Hall string
	Link float64 // Mbit/s of its box's link, 0 if not known
}

// ranked is a process and what decides about its rank as a reader.
type ranked struct {
	address string
	place   Place
	rank    uint64
	turn    int // place among the processes of its hall
}

// readers returns the processes that read the store, first those that read topics
// with large records, the same for all that know the same members. Halls have
// readers by turns, so that few have none and have to ask beyond; within a hall
// wide links go first, since a reader tells the others.
func (r *Relay) readers() []string {
	order, n := r.order()
	return slices.Clone(order[:n])
}

// better returns the processes of a better rank than this one. They must not be changed.
func (r *Relay) better() []string {
	order, _ := r.order()
	return order[:max(slices.Index(order, r.self), 0)]
}

// order returns all processes by rank, and how many of them read the store for the others. They
// must not be changed.
func (r *Relay) order() (as []string, readers int) {
	r.rankedMu.Lock()
	defer r.rankedMu.Unlock()
	if now := r.clock.Now(); r.ranked == nil || now.Sub(r.rankedAt) >= rankedFor {
		r.ranked, r.rankedAt = r.rank(), now
	}
	return r.ranked, readerCount(len(r.ranked))
}

// rank works out the order.
func (r *Relay) rank() (as []string) {
	all := append(r.peers(), r.self)
	slices.Sort(all)
	all = slices.Compact(all)
	rs := make([]ranked, len(all))
	for i, a := range all {
		rs[i] = ranked{address: a, place: r.places(a), rank: sched.Rank(readersSubject, a)}
	}
	slices.SortFunc(rs, byLink)
	turns := map[string]int{}
	for i := range rs {
		rs[i].turn = turns[rs[i].place.Hall]
		turns[rs[i].place.Hall]++
	}
	slices.SortStableFunc(rs, func(a, b ranked) int { return cmp.Compare(a.turn, b.turn) })
	for _, x := range rs {
		as = append(as, x.address)
	}
	return as
}

// readerCount returns how many of n processes read the store.
func readerCount(n int) int {
	share := min(ceilDiv(n, perReader), enoughReaders)
	return min(max(fewestReaders, share, ceilDiv(n, askersOfReader)), n)
}

func ceilDiv(a, b int) int {
	return (a + b - 1) / b
}

func byLink(a, b ranked) int {
	return cmp.Or(cmp.Compare(b.place.Link, a.place.Link), cmp.Compare(b.rank, a.rank), cmp.Compare(a.address, b.address))
}

// readersOfLarge returns those of the readers that read topics with large records.
func readersOfLarge(rs []string) []string {
	return rs[:min(mostOfLarge, len(rs))]
}
