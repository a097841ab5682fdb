package sched

import "github.com/cespare/xxhash/v2"

// Rank returns the rendezvous weight of a member for a subject. All who know
// the same members agree on who has the highest weight, and a member that goes
// moves only what was its own.
func Rank(subject, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(subject)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(member)
	return d.Sum64()
}

// First returns the member with the highest rank for the subject, or "".
func First(subject string, members []string) (best string) {
	var top uint64
	for _, m := range members {
		if r := Rank(subject, m); best == "" || r > top || r == top && m < best {
			best, top = m, r
		}
	}
	return best
}
