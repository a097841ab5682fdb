package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
)

// The promises on a part that crashes upstreams: how often requests with it may be sent later than
// some time after the fifth crash, and what part of the sound requests which share all but it are
// served at the first attempt from twice that time on.
const (
	allowedCrashes      = 5
	contactTime         = 3 * time.Second
	allowedLate         = 3
	minSoundServed      = 0.95
	soundPart      byte = 1
	badPart        byte = 2
)

// withParts returns a source of requests that all differ and share parts.
func withParts(from int, parts ...byte) func() Request {
	return func() Request {
		from++
		q := request(from)
		for _, p := range parts {
			q.Parts = append(q.Parts, hollowgrade.PartID{p})
		}
		return q
	}
}

// requireKnownPart runs requests with a bad part beside sound ones that share another part with them,
// and checks the promises.
func requireKnownPart(t *testing.T, p *simulation, bad, sound *stream) {
	t.Helper()
	p.run(10 * time.Second)
	p.streams = append(p.streams, bad)
	p.run(contactTime)
	for len(bad.crashed) < allowedCrashes && bad.calls < 1000 {
		p.run(100 * time.Millisecond)
	}
	p.run(2 * contactTime)
	before := *sound
	p.run(30 * time.Second)
	calls, refused := sound.calls-before.calls, sound.refused-before.refused
	late := bad.lateSends(allowedCrashes, contactTime)
	t.Logf("%d crashes, %d sent late; of %d sound calls %d refused then, %d before", len(bad.crashed), late, calls, refused, before.refused)
	require.LessOrEqual(t, late, allowedLate)
	require.LessOrEqual(t, float64(refused), (1-minSoundServed)*float64(calls))
}

// Guards against parts that crash upstreams being sent on at will, while other upstreams crash for
// reasons of their own, or crashes show only later.
func TestPartsAreHeld(t *testing.T) {
	for _, rate := range []float64{1, 4, 20} {
		for _, soundRate := range []float64{1, 10, 50} {
			for how, change := range map[string]func(p *simulation, bad *stream){
				"known at once":                     func(*simulation, *stream) {},
				"behind relays":                     func(p *simulation, _ *stream) { p.relays = true },
				"behind relays, probed":             func(p *simulation, _ *stream) { p.probed = true },
				"upstreams back after 0.5 s":        func(p *simulation, _ *stream) { p.downFor = 500 * time.Millisecond },
				"upstreams back after 8 s":          func(p *simulation, _ *stream) { p.downFor = 8 * time.Second },
				"after a second of writing":         func(_ *simulation, bad *stream) { bad.crashAfter = time.Second },
				"while one upstream ends each 2 s":  func(p *simulation, _ *stream) { p.crashPattern = crashOne(2 * time.Second) },
				"while a rack is lost each 5 s":     func(p *simulation, _ *stream) { p.crashPattern = crashMany(5, 5*time.Second) },
				"while a service is lost each 10 s": func(p *simulation, _ *stream) { p.crashPattern = crashMany(poolSize, 10*time.Second) },
			} {
				t.Run(fmt.Sprintf("%.0f a second beside %.0f, %s", rate, soundRate, how), func(t *testing.T) {
					bad := &stream{rate: rate, subject: withParts(100_000, soundPart, badPart), maxAttempts: 2, harmful: true}
					sound := &stream{rate: soundRate, subject: withParts(200_000, soundPart), maxAttempts: 2}
					p := newSimulation(t, uint64(rate), noCrashes, sound, &stream{rate: 40, subject: withParts(300_000, 9), maxAttempts: 2})
					p.reroutes, p.retryPauses = true, true
					change(p, bad)
					requireKnownPart(t, p, bad, sound)
				})
			}
		}
	}
}

// A part that many requests share runs at many crashes and could be blocked for crashes that it didn't
// cause.
func TestPopularPartsAreNotHeld(t *testing.T) {
	for name, c := range map[string]func() crashPattern{
		"one upstream each 0.4 s":       func() crashPattern { return crashOne(400 * time.Millisecond) },
		"a rack each 5 s":               func() crashPattern { return crashMany(5, 5*time.Second) },
		"a data hall each 10 s":         func() crashPattern { return crashMany(6, 10*time.Second) },
		"all of a service each 10 s":    func() crashPattern { return crashMany(poolSize, 10*time.Second) },
		"all of a service each 2.5 s":   func() crashPattern { return crashMany(poolSize, 2500*time.Millisecond) },
		"a third of a service each 2 s": func() crashPattern { return crashMany(poolSize/3, 2*time.Second) },
	} {
		for _, share := range []float64{0.01, 0.1, 0.5, 1} {
			t.Run(fmt.Sprintf("%s, in %.0f of 100", name, 100*share), func(t *testing.T) {
				const rate = 50
				popular := &stream{rate: share * rate, subject: withParts(100_000, soundPart), maxAttempts: 2}
				p := newSimulation(t, uint64(100*share), c(), popular, &stream{rate: (1 - share) * rate, subject: distinctRequests(), maxAttempts: 2})
				p.run(120 * time.Second)
				t.Logf("sent %d, lost %d, served %d, refused %d, %d of these by a block", popular.sent, popular.lost, popular.served, popular.refused, popular.blocked)
				require.Zero(t, popular.blocked)
				require.LessOrEqual(t, float64(popular.refused), 0.05*float64(popular.sent)+5)
			})
		}
	}
}
