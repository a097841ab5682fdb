package quarantine

import (
	"math"
	"time"
)

const (
	// lossesToBlock is the number of consecutive losses after which a request is blocked. One loss
	// happens to every call in flight at a crash; two in a row happen to one harmless call in some
	// hundred while eighteen upstreams have two crashes a second.
	lossesToBlock = 3
	// lossesForTrials is the number of consecutive losses after which one run is admitted at a time.
	// This still serves a harmless call that is repeated, and a harmful one crashes one upstream at
	// a time.
	lossesForTrials = 2
	// eventsForTrials is the number of separate crash events after which the same applies, even if
	// few of the losses are consecutive: many copies in flight crash many upstreams. The loss of a
	// rack or a service is one event.
	eventsForTrials = 3
	// maxTrialOdds is the largest probability of the losses at which one run is admitted at a time.
	// While all of a service is lost every 2.5 s, the losses of a request sent 50 times a second
	// have a probability of nearly 1; trials would refuse four in five of its calls
	// (TestPopularRequestsAreNotHeld).
	maxTrialOdds = 0.2

	// maxLongBlockOdds is the largest probability of the losses at which a request is blocked for
	// [longBlockTime]. If 1000 calls a second are lost once and one in ten of these again, 1e-5 of
	// them is one call in 17 minutes.
	maxLongBlockOdds = 1e-5
	// maxShortBlockOdds is the same for [shortBlockTime], which doubles with each further loss. A
	// wrong block thus lasts seconds and ends with one answered run, and a harmful request runs
	// only three more times in 35 s, four times in 75 s.
	maxShortBlockOdds = 1e-2
	shortBlockTime    = 5 * time.Second
	longBlockTime     = 10 * time.Minute
	// maxBlockWithoutAnswers bounds the block on a part while the service answers nothing. All of its
	// requests may share the part, and are refused for as long once the upstreams are well again.
	maxBlockWithoutAnswers = time.Minute

	// minCrashesPerSecond is the lowest crash rate assumed per upstream. 270 crashes and restarts a
	// day on 1000 boxes, as in the users' sizing sheet, are 3e-6 a second; the rest allows for
	// crashes that this process doesn't see.
	minCrashesPerSecond = 1e-3
	// crashRateWindow is the period over which crashes are counted for the crash rate.
	crashRateWindow = 10 * time.Second
	// sameEventWindow is the period within which crashes count as one event, such as the loss of a
	// rack. The share of upstreams that crash in it is the probability that a harmless call is
	// among the lost, also if copies of the request ran on the others.
	sameEventWindow = 250 * time.Millisecond
	// settleTime is how long after a loss was learned it is evaluated: other gateways report
	// crashes of the same event within 25 ms plus the network delay. Evaluated at once, the loss of
	// all of a service would look like that of a third of it.
	settleTime = 100 * time.Millisecond
	// detectionDelayDivisor divides the detection delay of a loss to give how long its evaluation
	// waits at least, since crashes of one event aren't detected together: entries show them 1.5 to
	// 1.9 s later, probes 250 to 300 ms. With 4 of 18 crashes known, the loss of all of a service
	// would have a probability of 0.003 or 0.13 instead of 1.
	detectionDelayDivisor = 3
	// minRunTime is the shortest run time assumed: a connection that broke at once doesn't make the
	// request more suspect.
	minRunTime = 10 * time.Millisecond
)

// keptLoss is a loss kept in the record of a request.
type keptLoss struct {
	Loss
	learnedAt time.Time // when this process learned of it
	odds      float64   // probability that a harmless run is lost like this
	oddsFinal bool      // the odds were computed after the loss had settled
	explained bool      // the crash is attributed to another suspect, which is or was blocked
}

// settled reports whether other crashes of the same event are known by now.
func (m keptLoss) settled(now time.Time) bool {
	return now.Sub(m.learnedAt) >= max(settleTime, m.learnedAt.Sub(m.Lost)/detectionDelayDivisor)
}

// consecutiveLosses returns the consecutive losses since a time: each run was sent after the loss
// before it. The losses are ordered by the time of the loss. Those that are explained are left out.
func consecutiveLosses(ms []keptLoss, since time.Time) (consecutive []keptLoss) {
	last := since
	for _, m := range ms {
		if !m.explained && m.Sent.After(last) {
			consecutive = append(consecutive, m)
			last = m.Lost
		}
	}
	return consecutive
}

// countConsecutive returns the number of consecutive losses, whatever explains them.
func countConsecutive(ms []keptLoss, since time.Time) (n int) {
	last := since
	for i := range ms {
		if ms[i].Sent.After(last) {
			n, last = n+1, ms[i].Lost
		}
	}
	return n
}

// crashEvents returns the number of separate crash events that nothing else explains.
func crashEvents(ms []keptLoss) (n int) {
	var last time.Time
	for _, m := range ms {
		if !m.explained && (n == 0 || m.Lost.Sub(last) > sameEventWindow) {
			n, last = n+1, m.Lost
		}
	}
	return n
}

// jointOdds returns the joint probability of the losses.
func jointOdds(ms []keptLoss) float64 {
	odds := 1.0
	for _, m := range ms {
		odds *= m.odds
	}
	return odds
}

// lossOdds returns the probability that a harmless run is lost: from the background crash rate over
// the run time of all engines that took part, or the share of upstreams that crashed at the same
// time, whichever is larger.
func lossOdds(l Loss, b background) float64 {
	n := float64(max(b.upstreamCount, 1))
	rate := math.Max(float64(b.crashes)/(n*crashRateWindow.Seconds()), minCrashesPerSecond)
	took := max(l.Lost.Sub(l.Sent), minRunTime).Seconds() * float64(max(l.Engines, 1))
	return math.Min(math.Max(1-math.Exp(-rate*took), float64(b.simultaneous)/n), 1)
}

// blockTime returns how long a request is blocked after some consecutive losses with this joint
// probability; 0 if it isn't.
func blockTime(losses int, odds float64) time.Duration {
	switch {
	case losses < lossesToBlock || odds > maxShortBlockOdds:
		return 0
	case odds <= maxLongBlockOdds:
		return longBlockTime
	default:
		return min(shortBlockTime<<min(losses-lossesToBlock, 10), longBlockTime)
	}
}
