package sched

import "github.com/cespare/xxhash/v2"

// Rank returns the rendezvous hash weight of a member for a subject. Processes with the same member
// list agree on the member with the highest weight, and a member that leaves moves only its own
// subjects.
func Rank(subject, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(subject)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(member)
	return d.Sum64()
}

// HighestRanked returns the member with the highest rank for the subject, or "" without members.
func HighestRanked(subject string, members []string) (best string) {
	var top uint64
	for _, m := range members {
		if r := Rank(subject, m); best == "" || r > top || r == top && m < best {
			best, top = m, r
		}
	}
	return best
}
