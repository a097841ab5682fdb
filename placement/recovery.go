package placement

import (
	"slices"
	"time"
)

// Recovery is a gateway's position among gateways that have started together after all had ended.
// Callers that waited for a gateway reach all of them in the same moments, before any gateway knows
// what the others place: in the common order, all would pick the same first engines. The zero value
// means that the gateways have not started together.
type Recovery struct {
	Index int // of the gateway among those that use the same upstreams
	Count int // of these gateways
}

// Active reports whether the gateways have started together.
func (v Recovery) Active() bool {
	return v.Count > 0
}

const (
	// minResumedDelay is the longest delay of a resumed stream with a short goal. Its caller may have
	// waited for a second until its connection was read, and may give up after two seconds without an
	// event.
	minResumedDelay = 500 * time.Millisecond
	// resumedDelayFloor is the part of the longest delay that each resumed stream is delayed by. In
	// that time the callers that are new are placed.
	resumedDelayFloor = 0.3
	// maxLongDelay is the longest delay of a long prompt that can be in time: by then the short calls
	// that were placed at once are known to all gateways.
	maxLongDelay = 100 * time.Millisecond
	// maxDelayShare bounds a delay as a share of the time that the call has.
	maxDelayShare = 0.125
)

// Delay returns the shortest and the longest delay before a call is placed in recovery, so that
// calls with little time are placed first. Resumed is whether the caller resumes a stream, which is
// late already: its pause began when the gateway that served it ended.
func (v Recovery) Delay(r Request, resumed bool) (shortest, longest time.Duration) {
	switch {
	case !v.Active() || r.Engine == nil:
		return 0, 0
	case resumed:
		longest = min(max(minResumedDelay, r.Goal), share(maxDelayShare, r.TimeLeft))
		return share(resumedDelayFloor, longest), longest
	case r.Long() && r.Goal > 0:
		return 0, min(maxLongDelay, share(maxDelayShare, r.Goal))
	default:
		return 0, 0
	}
}

// share returns a part of a duration.
func share(part float64, d time.Duration) time.Duration {
	return time.Duration(part * float64(max(d, 0)))
}

// placeInRecovery places a short call as if the common order began at this gateway's part of the
// engines, where no other gateway places one unless its own part is full. Since no gateway has
// refused a call yet, the time that a caller has left says nothing about earlier attempts.
func (p *Policy) placeInRecovery(s Snapshot, r Request) (l Plan, ok bool) {
	n := len(s.Candidates)
	first := s.Recovery.Index * n / s.Recovery.Count
	s.Candidates = slices.Concat(s.Candidates[first:], s.Candidates[:first])
	s.Peers, s.UncountedCalls = 0, 0
	r.Waited, r.RefusedBefore = 0, false
	l, ok = p.placeShort(s, r)
	if ok {
		l.Target = (l.Target + first) % n
	}
	return l, ok
}
