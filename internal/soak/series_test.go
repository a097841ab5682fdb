package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	seriesStream                 = 2 // of the random numbers of a seed, so that the other steps stay the same
	minSeriesGap, maxSeriesGap   = 400 * time.Millisecond, 2 * time.Second
	minSqueezeTime               = 4 * time.Second
	maxSqueezeTime               = 9 * time.Second
	pausedSeriesTime             = 2*stopGrace - settleTime // the longest stop with its standstills and the new start
	isolationEvery               = 3                        // one in so many seeds has a store without eras and ends with isolated gateways
	minIsolationTime, restOfPlan = 4500 * time.Millisecond, settleTime + calmPause
	maxIsolationTime             = 6 * time.Second
)

// newSeries generates the series of signals, limits and settings of a seed. Those that are no planned work
// stay out of the calm periods of the other steps.
func newSeries(seed uint64, length time.Duration, others []step) (ss []step) {
	r := rand.New(rand.NewPCG(seed, seriesStream))
	span := func(least, most time.Duration) time.Duration {
		return least + time.Duration(r.Int64N(int64(most-least)))
	}
	drawn := []kind{changeLimits, changeLimits, signalSeries, pausedSeries, changeGrace, squeezeGateway}
	for at := span(minSeriesGap, maxSeriesGap); at < length; at += span(minSeriesGap, maxSeriesGap) {
		s := step{at: at, duration: span(minFaultTime, maxFaultTime), kind: drawn[r.IntN(len(drawn))], target: r.IntN(1000)}
		switch s.kind {
		case squeezeGateway:
			s.duration = span(minSqueezeTime, maxSqueezeTime)
		case pausedSeries:
			s.duration = pausedSeriesTime
		}
		if s.kind.planned() || !touchesCalm(s, others) {
			ss = append(ss, s)
		}
	}
	return ss
}

// touchesCalm reports whether a step would disturb a calm period of the other steps.
func touchesCalm(s step, others []step) bool {
	at := []time.Duration{0}
	for _, o := range others {
		at = append(at, o.at)
	}
	slices.Sort(at)
	for i := range at[1:] {
		if at[i+1]-at[i] >= calmPause && s.at < at[i+1] && s.at+s.duration > at[i] {
			return true
		}
	}
	return false
}

// storeTellsNoEra reports whether the store of a seed tells no era and never returns from an older copy. Such
// a seed ends with the isolation of gateways.
func storeTellsNoEra(seed uint64) bool {
	return seed%isolationEvery == 0
}

// newIsolation generates the isolation of gateways, after all other steps.
func newIsolation(seed uint64, others []step) step {
	r := rand.New(rand.NewPCG(seed, seriesStream+1))
	end := time.Duration(0)
	for _, s := range others {
		end = max(end, s.at+s.duration)
	}
	d := minIsolationTime + time.Duration(r.Int64N(int64(maxIsolationTime-minIsolationTime)))
	return step{at: end + restOfPlan, duration: d, kind: isolateGateway, target: r.IntN(1000)}
}
