package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// kind is a kind of fault.
type kind int

const (
	killGateway kind = iota // SIGKILL, restarted after a while
	pauseGateway
	stopGateway // SIGTERM, restarted after its exit
	reloadGateway
	silenceStore // stalls one gateway's link to the store
	resetStore   // resets one gateway's connections to the store
	busyStore
	awayStore
	loseAnswers // the store executes calls and drops its answers
	compactStore
	delayWorker
	resetWorker
	silenceWorker
	deafenWorker // stalls answers, requests arrive
	crashWorker  // a new worker replaces it
	drainWorker  // the same, announced in the registry
	revokeKey
	addRoute
	growConfig   // adds many routes
	silencePeers // stalls the link on which other gateways reach one
	resetPeers
	delayPeers
	harmfulRequest // repeats a request that crashes the workers which run it
	strangeEntries // another writer adds invalid entries to the registry and the gateway list
	suspendGateway // suspends its machine: its monotonic clock stops
	turnAway       // stalls the links of all gateways but two to the store, one after another
	nameLimit      // a worker announces a limit of requests a second in its answers
	leaveInAnswers // a worker announces in its answers only, not in the registry, that it leaves
	askForRest     // a worker refuses requests with a Retry-After header
	kinds          // of the steps that are drawn among each other

	restoreStore   = kinds            // the store comes back from an older copy
	changeLimits   = restoreStore + 1 // configurations in quick series, each with other limits
	signalSeries   = restoreStore + 2 // SIGTERM with SIGHUP and SIGTERM again, and SIGHUP after the new start
	pausedSeries   = restoreStore + 3 // the same with SIGSTOP and SIGCONT
	changeGrace    = restoreStore + 4 // a planned stop, with another grace in the settings file
	squeezeGateway = restoreStore + 5 // a small share of a processor, beside configurations with other limits
	isolateGateway = restoreStore + 6 // no link to store and peers, while the peers restart and a worker's entry goes
	loseLog        = restoreStore + 7 // a gateway's log has no reader, or one that reads nothing

	stopUnderStreams   = restoreStore + 8  // a planned stop while streams end late in it, whose callers send the next ones
	silenceSound       = restoreStore + 9  // a sound worker sends nothing for about a second, while the others are full
	silenceConnections = restoreStore + 10 // open connections to the store fall silent for good, beside an entry that goes
	loseEntry          = restoreStore + 11 // a worker's entry goes without a word, and it serves on
	allKinds           = loseEntry + 1
)

var kindNames = [allKinds]string{
	"kill gateway", "pause gateway", "stop gateway", "reload gateway", "silence store", "reset store", "store busy", "store away",
	"store loses answers", "store forgets", "delay worker", "reset worker", "silence worker", "deafen worker", "crash worker",
	"drain worker", "revoke key", "add route", "grow configuration", "silence peers", "reset peers", "delay peers",
	"harmful request", "strange entries", "suspend gateway", "turn readers away",
	"name limit", "leave in answers", "ask for rest",
	"restore store",
	"change limits", "signals in series", "signals and standstills in series", "change grace", "squeeze gateway", "isolate gateway", "lose log",
	"stop under streams", "silence sound worker", "silence connections", "lose entry",
}

func (k kind) String() string {
	return kindNames[k]
}

// plannedWork has the kinds during which all guarantees hold; the others suspend those that are
// bounded in time.
var plannedWork = []kind{stopGateway, reloadGateway, drainWorker, revokeKey, addRoute, growConfig, nameLimit, leaveInAnswers, askForRest}

// plannedSeries has the kinds of newSeries that are planned work.
var plannedSeries = []kind{changeLimits, signalSeries, changeGrace, loseLog, stopUnderStreams, silenceSound, loseEntry}

func (k kind) planned() bool {
	return slices.Contains(plannedWork, k) || slices.Contains(plannedSeries, k)
}

// step is one fault of a plan.
type step struct {
	at       time.Duration
	duration time.Duration
	kind     kind
	target   int // index of a gateway, worker or key, modulo their number
}

func (s step) String() string {
	return fmt.Sprintf("%5.2f s to %5.2f s  %s %d", s.at.Seconds(), (s.at + s.duration).Seconds(), s.kind, s.target)
}

const (
	// Gaps between steps are shorter than most faults, so that faults overlap.
	minStepGap, maxStepGap     = 50 * time.Millisecond, 900 * time.Millisecond
	minFaultTime, maxFaultTime = 300 * time.Millisecond, 3 * time.Second
	// After every drawsPerCalm draws a calm period has one step of planned work only, so that the
	// bounds in time are tested as well.
	drawsPerCalm = 12
	calmPause    = 5 * time.Second
	maxSeries    = 3 // maximum of steps of one kind in a row
)

// newPlan generates the steps of a seed.
func newPlan(seed uint64, length time.Duration) (ss []step) {
	r := rand.New(rand.NewPCG(seed, 0))
	span := func(least, most time.Duration) time.Duration {
		return least + time.Duration(r.Int64N(int64(most-least)))
	}
	for at, n := span(minStepGap, maxStepGap), 0; at < length; n++ {
		k := kind(r.IntN(int(kinds)))
		for range 1 + r.IntN(maxSeries)*r.IntN(2) {
			ss = append(ss, step{at: at, duration: span(minFaultTime, maxFaultTime), kind: k, target: r.IntN(1000)})
			at += span(minStepGap, maxStepGap)
		}
		if n%drawsPerCalm == drawsPerCalm-1 {
			at += calmPause
			ss = append(ss, step{at: at, duration: minFaultTime, kind: plannedWork[r.IntN(len(plannedWork))], target: r.IntN(1000)})
			at += calmPause
		}
	}
	entries := newEntryLosses(seed, length, ss)
	ss = append(ss, newSeries(seed, length, ss)...)
	ss = append(ss, newLogLosses(seed, length)...)
	ss = append(ss, entries...)
	if storeTellsNoEra(seed) {
		return append(ss, newIsolation(seed, ss))
	}
	ss = append(ss, newRestores(seed, length)...)
	return append(ss, newFinale(seed, ss))
}

func formatPlan(ss []step) string {
	var b strings.Builder
	for _, s := range ss {
		fmt.Fprintln(&b, s)
	}
	return b.String()
}
