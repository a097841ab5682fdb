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
	killGateway kind = iota // SIGKILL, started again after a while
	pauseGateway
	stopGateway // SIGTERM, started again after its end
	reloadGateway
	silenceStore // for one gateway
	resetStore   // for one gateway
	busyStore
	awayStore
	loseAnswers // of the store
	compactStore
	delayWorker
	resetWorker
	silenceWorker
	deafenWorker // requests arrive, answers do not
	crashWorker  // another one takes its place
	drainWorker  // the same, announced
	revokeKey
	addRoute
	growConfig   // by routes that make it large
	silencePeers // of one gateway, as others reach it
	resetPeers
	delayPeers
	harmfulRequest // that ends the workers which run it comes again and again
	strangeEntries // of another writer, in the registry and among gateways
	suspendGateway // with its machine: its steady clock stands still
	turnAway       // all gateways but two are silent towards the store, one after another
	nameLimit      // a worker names in its answers how many requests a second it takes
	leaveInAnswers // a worker says there that it leaves, and the registry does not
	askForRest     // a worker turns requests away and asks for rest
	kinds
)

var kindNames = [kinds]string{
	"kill gateway", "pause gateway", "stop gateway", "reload gateway", "silence store", "reset store", "store busy", "store away",
	"store loses answers", "store forgets", "delay worker", "reset worker", "silence worker", "deafen worker", "crash worker",
	"drain worker", "revoke key", "add route", "grow configuration", "silence peers", "reset peers", "delay peers",
	"harmful request", "strange entries", "suspend gateway", "turn readers away",
	"name limit", "leave in answers", "ask for rest",
}

func (k kind) String() string {
	return kindNames[k]
}

// plannedWork disturbs no promise; everything else does.
var plannedWork = []kind{stopGateway, reloadGateway, drainWorker, revokeKey, addRoute, growConfig, nameLimit, leaveInAnswers, askForRest}

func (k kind) planned() bool {
	return slices.Contains(plannedWork, k)
}

// step is one fault of a plan.
type step struct {
	at       time.Duration
	duration time.Duration
	kind     kind
	target   int // gateway, worker or key, taken modulo their number
}

func (s step) String() string {
	return fmt.Sprintf("%5.2f s to %5.2f s  %s %d", s.at.Seconds(), (s.at + s.duration).Seconds(), s.kind, s.target)
}

const (
	// The pauses between steps are shorter than most faults last, so that these
	// overlap.
	minStepGap, maxStepGap     = 50 * time.Millisecond, 900 * time.Millisecond
	minFaultTime, maxFaultTime = 300 * time.Millisecond, 3 * time.Second
	// After some faults nothing is disturbed for a while but by one piece of planned
	// work, so that promises for calm times are tested as well.
	drawsPerCalm = 12
	calmPause    = 5 * time.Second
	maxSeries    = 3 // steps of one kind in a row, now and then
)

// newPlan returns the steps that a seed stands for.
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
	return ss
}

func formatPlan(ss []step) string {
	var b strings.Builder
	for _, s := range ss {
		fmt.Fprintln(&b, s)
	}
	return b.String()
}
