package quarantine

import (
	"math"
	"time"
)

const (
	// lossesToHold is after how many losses in a row a request is held. One loss is any crash, and each
	// call that was under way at the upstream has it; two in a row are met by one harmless call in
	// some hundred while an upstream of eighteen ends twice a second.
	lossesToHold = 3
	// lossesToTry is after how many it is let through once at a time. A harmless call that is
	// repeated is served by that, a harmful one ends one upstream at a time.
	lossesToTry = 2
	// momentsToTry is after how many moments at which upstreams ended under it the same holds, however few of
	// the losses came one after another: many copies that are under way end many upstreams. A
	// rack or a service that is lost is one moment.
	momentsToTry = 3
	// tryOdds is how unlikely the losses have to be for that. Where all of a service is lost each 2.5 s a
	// request that comes fifty times a second has odds of nearly one; with trials it would be refused four times in
	// five (TestPopularRequestsAreNotHeld).
	tryOdds = 0.2

	// sureOdds is how unlikely the losses have to be for a harmless request to be held for
	// longHold. At a thousand calls a second that are lost once each, of which one in ten is lost again, a
	// hundred thousandth of them is one in seventeen minutes.
	sureOdds = 1e-5
	// fairOdds is the same for a hold of firstHold, which doubles with each loss after it. So a wrong
	// verdict takes seconds, and one harmless run ends it; and a harmful request gets through three more times in
	// 35 s, 4 times in 75 s.
	fairOdds  = 1e-2
	firstHold = 5 * time.Second
	longHold  = 10 * time.Minute

	// restRate is how often an upstream is taken to end by itself at the least, a second. Of a thousand
	// boxes 270 are lost or restarted a day on the users' sheet of sizes, 3 in a million a second; more than
	// that allows for what this process doesn't see.
	restRate = 1e-3
	// rateWindow is over what time ends are counted for the rate at which upstreams end by themselves.
	rateWindow = 10 * time.Second
	// together is within which time ends count as one moment, as when a rack is lost: the part of the
	// upstreams that ended in it is the chance of a harmless call to be among them, also where copies of
	// the request were under way at the others.
	together = 250 * time.Millisecond
	// settle is how long after a loss it is judged: what else ended at that moment other gateways tell within
	// 25 ms and the time of a packet. A request that is lost with all of a service looked as if it had ended a
	// third of it.
	settle = 100 * time.Millisecond
	// lateShare is which part of the time that a loss took to show its judgement waits for: what ended at the same
	// moment shows as late, in entries that are read 0.4 s apart after 1.5 s or by probes 50 ms apart after 250 ms. A
	// request that was lost with all of a service had odds of 0.003 and 0.13 after 4 of 18 ends, 1 after all.
	lateShare = 3
	// leastRun is the shortest time for which a run counts: a request is not the more suspect for a
	// connection that broke at once.
	leastRun = 10 * time.Millisecond
)

// mark is a loss that is kept of a request.
type mark struct {
	Loss
	known time.Time // when this process heard of it
	odds  float64   // of a harmless run to be lost so
	sure  bool      // the odds were worked out once the loss had settled
}

// settled reports whether what else ended at the moment of the loss is known by now.
func (m mark) settled(now time.Time) bool {
	return now.Sub(m.known) >= max(settle, m.known.Sub(m.Lost)/lateShare)
}

// inRow returns the marks in a row since a moment: each of a run that was sent after the loss before
// it. Marks are in the order in which they were lost.
func inRow(ms []mark, since time.Time) (row []mark) {
	last := since
	for _, m := range ms {
		if m.Sent.After(last) {
			row = append(row, m)
			last = m.Lost
		}
	}
	return row
}

// moments returns at how many moments upstreams ended.
func moments(ms []mark) (n int) {
	var last time.Time
	for _, m := range ms {
		if n == 0 || m.Lost.Sub(last) > together {
			n, last = n+1, m.Lost
		}
	}
	return n
}

// all returns the chance of all marks together.
func all(ms []mark) float64 {
	chance := 1.0
	for _, m := range ms {
		chance *= m.odds
	}
	return chance
}

// odds returns the chance of a harmless run to be lost: at the rate at which upstreams end without
// the request, over the time of the run and for each engine that had a part in it, or with
// others that ended at the same moment.
func odds(l Loss, b background) float64 {
	n := float64(max(b.upstreams, 1))
	rate := math.Max(float64(b.ends)/(n*rateWindow.Seconds()), restRate)
	took := max(l.Lost.Sub(l.Sent), leastRun).Seconds() * float64(max(l.Engines, 1))
	return math.Min(math.Max(1-math.Exp(-rate*took), float64(b.atOnce)/n), 1)
}

// judge returns for how long a request is held after some losses in a row, with these odds all in
// all; 0 if it is not.
func judge(losses int, odds float64) time.Duration {
	switch {
	case losses < lossesToHold || odds > fairOdds:
		return 0
	case odds <= sureOdds:
		return longHold
	default:
		return min(firstHold<<min(losses-lossesToHold, 10), longHold)
	}
}
