package sched

import (
	"slices"
	"time"
)

// Preparation is what one box does for an event: load a model at a given time.
type Preparation struct {
	Model string
	At    time.Time
}

// Prepare returns what a box does for an event that starts at the given time. No leader is needed:
// boxes with the same member list agree. Ordered by rendezvous rank for the event, they take its
// models in turn and start one after another within the first half of the lead time; the other half
// is for retries. It returns false for a box that isn't a member or an event without models.
func Prepare(event string, start time.Time, lead time.Duration, models, members []string, box string) (p Preparation, ok bool) {
	if len(models) == 0 {
		return p, false
	}
	ms := slices.Clone(members)
	slices.SortFunc(ms, func(a, b string) int {
		ra, rb := Rank(event, a), Rank(event, b)
		switch {
		case ra > rb || ra == rb && a < b:
			return -1
		default:
			return 1
		}
	})
	i := slices.Index(ms, box)
	if i < 0 {
		return p, false
	}
	return Preparation{
		Model: models[i%len(models)],
		At:    start.Add(-lead + time.Duration(i)*(lead/2)/time.Duration(len(ms))),
	}, true
}
