package feed

import "time"

const (
	// viewBound is the age of views that the times below are made for. They let a change be
	// known everywhere well within the two seconds that are promised.
	viewBound = 4200 * time.Millisecond
	// The shares of that bound; [Timing.oldest] adds them up.
	mostWait   = 1500 * time.Millisecond
	mostLate   = 200 * time.Millisecond
	mostAsk    = 400 * time.Millisecond
	mostUrgent = 100 * time.Millisecond
	mostTurn   = 125 * time.Millisecond
	// leastShare of these times is the least that is worth its asks: ten a second.
	leastShare = 4
	// LeastBound is the least age of views that can be held.
	LeastBound = viewBound / leastShare
	// driftShare is how much faster the store's steady clock may run than that of a
	// process, as one part in so many. A read that has waited for all of its wait says
	// what was there at the end of it, by the store's clock.
	driftShare = 16
)

// Timing is how the time for which a view may be trusted is divided: all of it
// follows from one bound, so that what is asked for as a whole is held by the sum.
type Timing struct {
	Wait   time.Duration // for which one read waits at the store for a record
	Late   time.Duration // beyond that after which a reader is taken as turned away
	Ask    time.Duration // between the asks of a process that is told
	Urgent time.Duration // between those of one that is not
	Turn   time.Duration // between a group of processes that stand in and the next
}

// NewTiming returns the times by which views get no older than the bound, however the store
// turns processes away as long as it serves some. Below [LeastBound] they do not shrink.
func NewTiming(bound time.Duration) Timing {
	whole := float64(max(bound, LeastBound)) / float64(viewBound)
	part := min(whole, 1)
	share := func(d time.Duration, of float64) time.Duration { return time.Duration(float64(d) * of) }
	return Timing{
		Wait:   share(mostWait, whole),
		Late:   share(mostLate, part),
		Ask:    share(mostAsk, part),
		Urgent: share(mostUrgent, part),
		Turn:   share(mostTurn, part),
	}
}

// due is the age of a view, read with so long a wait, when its next answer is due.
func (t Timing) due(wait time.Duration) time.Duration {
	return wait + wait/driftShare + t.Late
}

// stale is the age from which a view, read with so long a wait by others, is older than
// readers that the store serves let it get.
func (t Timing) stale(wait time.Duration) time.Duration {
	return t.due(wait) + 2*t.Late + t.Ask
}

// oldest is the age that a view, read with so long a wait, gets at the most while the store turns away
// all readers and those that stand in before a turn: until a reader's answer is due, and overdue; until
// the reader is asked and says so, and with it all others; until who has its turn looks, and is asked. At
// 4.2 s that is 2.59 s for the readers alone (2.58 s measured, 103 gateways in virtual time) and 2.97 s
// for all but three (2.88 s); it was 3.8 to 5.0 s when each waited for its view to seem stale.
func (t Timing) oldest(wait time.Duration, turn int) time.Duration {
	return t.due(wait) + t.Late + t.Ask + 2*t.Urgent + time.Duration(turn)*t.Turn
}

// untold is how long a process that asks goes without word of a reader that the store serves
// before it asks all readers; one that gets an answer from each asks them at once.
func (t Timing) untold() time.Duration {
	return t.Ask + t.Urgent/2
}

// wordFor is how long the word of a peer counts for whether the store serves it: each
// reader is asked about that often.
func (t Timing) wordFor() time.Duration {
	return 4 * t.Ask
}
