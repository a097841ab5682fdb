package quarantine

import (
	"fmt"
	"slices"
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

// losePart loses distinct requests with some parts, each with another upstream.
func (w *cluster) losePart(b *Table, from, n int, parts ...byte) {
	source := withParts(1000*from, parts...)
	for i := range n {
		q, sent := source(), w.clock.Now()
		w.clock.Advance(runTime)
		b.RecordLoss(Loss{Request: q, Upstream: instance("p", from, ".", i), Engines: 1, Sent: sent, Lost: w.clock.Now()})
		w.clock.Advance(time.Millisecond)
	}
	w.exchange()
	w.clock.Advance(time.Second)
	for _, g := range w.gateways {
		g.StoreChanges()
	}
	w.exchange()
}

// Guards against the block of a part that sound requests share too, where a call comes between the time
// at which the last loss settles and the next evaluation of all.
func TestOrderOfVerdictsWhereACallComesFirst(t *testing.T) {
	w := newCluster(t, 1)
	b := w.gateways[0]
	w.losePart(b, 1, 2, soundPart, badPart)
	b.RecordAnswer(withParts(9000, 9)(), true)
	sent := w.clock.Now()
	w.clock.Advance(runTime)
	b.RecordLoss(Loss{Request: withParts(4000, soundPart, badPart)(), Upstream: "u", Engines: 1, Sent: sent, Lost: w.clock.Now()})
	w.clock.Advance(settleTime - evaluationInterval/2)
	b.Begin(request(1))
	w.clock.Advance(evaluationInterval / 2)
	requireGranted(t, b, false, soundPart, badPart)
	hs := b.Blocks()
	require.Len(t, hs, 1)
	require.Equal(t, hollowgrade.Fingerprint{badPart}, hs[0].Fingerprint, "the later one in the prompt")
}

// Guards against the block of a part that sound requests share too, where losses come to speak against
// both parts by the block of another one, without a new loss.
func TestOrderOfVerdictsAfterAnotherBlock(t *testing.T) {
	const otherPart = 77
	w := newCluster(t, 1)
	b, other, begun := w.gateways[0], withParts(70_000, otherPart), w.clock.Now()
	for i := range lossesToBlock {
		sent := w.clock.Now()
		w.clock.Advance(runTime)
		b.RecordLoss(Loss{Request: withParts(1000*(i+1), soundPart, badPart)(), Upstream: instance("p", i), Engines: 1, Sent: sent, Lost: w.clock.Now()})
		for j := range poolSize / 3 {
			b.RecordLoss(Loss{Request: other(), Upstream: instance("o", i, ".", j), Engines: 1, Sent: sent, Lost: w.clock.Now()})
		}
		w.clock.Advance(settleTime)
		b.RecordAnswer(withParts(9000+i, 9)(), true)
		b.StoreChanges()
		w.clock.Advance(time.Millisecond)
	}
	require.Empty(t, b.Blocks(), "many crash at the same moments")
	h := Block{Subject: other().part(hollowgrade.PartID{otherPart}), Since: begun, Until: w.clock.Now().Add(time.Minute), Losses: lossesToBlock, Odds: 1e-9}
	b.Receive("peer", Update{Blocks: []Block{h}})
	w.clock.Advance(evaluationInterval)
	requireGranted(t, b, false, soundPart, badPart)
	hs := slices.DeleteFunc(b.Blocks(), func(o Block) bool { return o.Suspect() == h.Suspect() })
	require.Len(t, hs, 1)
	require.Equal(t, hollowgrade.Fingerprint{badPart}, hs[0].Fingerprint, "the later one in the prompt")
}

func requireGranted(t *testing.T, b *Table, granted bool, parts ...byte) {
	t.Helper()
	q := withParts(900_000, parts...)()
	a := b.Begin(q)
	require.Equal(t, granted, a.Granted, "at %s", b.box)
	b.End(a)
}

func TestPartsThatAreNotToldApart(t *testing.T) {
	start := func(t *testing.T) *cluster {
		t.Helper()
		w := newCluster(t, 2)
		w.losePart(w.gateways[0], 1, 2, soundPart, badPart)
		w.gateways[0].RecordAnswer(withParts(9000, 9)(), true)
		w.losePart(w.gateways[0], 4, 1, soundPart, badPart)
		hs := w.gateways[0].Blocks()
		require.Len(t, hs, 1)
		require.Equal(t, KindPart, hs[0].Kind)
		require.Equal(t, hollowgrade.Fingerprint{badPart}, hs[0].Fingerprint, "the later one in the prompt")
		require.Equal(t, []hollowgrade.PartID{{soundPart}}, hs[0].With)
		return w
	}
	t.Run("are blocked in prompts that have all of them", func(t *testing.T) {
		for _, b := range start(t).gateways {
			requireGranted(t, b, false, soundPart, badPart)
			requireGranted(t, b, true, soundPart)
		}
	})
	t.Run("also once their crashes are no longer kept", func(t *testing.T) {
		w := start(t)
		w.clock.Advance(time.Minute)
		w.losePart(w.gateways[0], 3, 1, 9)
		for _, b := range w.gateways {
			requireGranted(t, b, true, soundPart)
			requireGranted(t, b, true, badPart)
			requireGranted(t, b, false, soundPart, badPart)
		}
	})
	t.Run("until a run with one of them is answered, at any gateway", func(t *testing.T) {
		w := start(t)
		w.gateways[1].RecordAnswer(withParts(5000, soundPart)(), true)
		w.exchange()
		for _, b := range w.gateways {
			require.Empty(t, b.Blocks()[0].With)
			requireGranted(t, b, false, badPart)
			requireGranted(t, b, true, soundPart)
		}
	})
	t.Run("but not by an upstream's error, which may come before its answer begins", func(t *testing.T) {
		w := start(t)
		w.gateways[1].RecordAnswer(withParts(5000, soundPart)(), false)
		w.exchange()
		require.NotEmpty(t, w.gateways[0].Blocks()[0].With)
	})
	t.Run("until a run without one of them crashes its upstream", func(t *testing.T) {
		w := start(t)
		w.losePart(w.gateways[1], 2, 1, badPart)
		for _, b := range w.gateways {
			require.Empty(t, b.Blocks()[0].With)
			requireGranted(t, b, false, badPart)
		}
	})
	t.Run("and the store learns of it", func(t *testing.T) {
		w, d := start(t), fakeStore{}
		d.write(w.gateways[0])
		older := w.gateways[0].Blocks()[0]
		w.gateways[0].RecordAnswer(withParts(5000, soundPart)(), true)
		w.gateways[0].RecordStored(older) // is read from the store late
		require.Equal(t, 1, d.write(w.gateways[0]))
		b := w.newGateway("after")
		d.read(b)
		requireGranted(t, b, false, badPart)
	})
}

func TestSinglePartsAreNotBlamed(t *testing.T) {
	t.Run("for what one request with them does", func(t *testing.T) {
		w, q := newCluster(t, 1), withParts(1, soundPart)()
		w.block(w.gateways[0], q)
		requireGranted(t, w.gateways[0], true, soundPart)
	})
	t.Run("for what a rarer part does that some of their requests have", func(t *testing.T) {
		w := newCluster(t, 1)
		b := w.gateways[0]
		bad, sound := withParts(1000, soundPart, badPart), withParts(2000, soundPart)
		for i := range 6 {
			sent := w.clock.Now()
			w.clock.Advance(runTime)
			for _, q := range []Request{bad(), sound(), sound()} {
				b.RecordLoss(Loss{Request: q, Upstream: instance("u", i), Engines: 1, Sent: sent, Lost: w.clock.Now()})
			}
			w.clock.Advance(settleTime)
			b.StoreChanges()
		}
		require.Len(t, b.Blocks(), 1)
		require.Equal(t, hollowgrade.Fingerprint{badPart}, b.Blocks()[0].Fingerprint)
		requireGranted(t, b, false, soundPart, badPart)
		requireGranted(t, b, true, soundPart)
	})
}

// Guards against a service that is refused for minutes because all of its requests share a part and its
// upstreams crash for reasons of their own.
func TestPartOfAServiceThatAnswersNothing(t *testing.T) {
	longest := func(t *testing.T, answers bool) (d time.Duration) {
		t.Helper()
		w := newCluster(t, 1)
		b := w.gateways[0]
		source := withParts(1000, soundPart)
		for i := range 40 {
			q := source()
			a := b.Begin(q)
			if !a.Granted {
				d = max(d, a.RetryAfter)
				w.clock.Advance(a.RetryAfter)
				continue
			}
			if answers {
				b.RecordAnswer(withParts(2000+i, 9)(), true)
			}
			sent := w.clock.Now()
			w.clock.Advance(runTime)
			b.RecordLoss(Loss{Request: q, Upstream: instance("u", i), Engines: 1, Sent: sent, Lost: w.clock.Now()})
			b.End(a)
			w.clock.Advance(settleTime)
		}
		return d
	}
	t.Run("is blocked for a minute at a time", func(t *testing.T) {
		require.LessOrEqual(t, longest(t, false), time.Minute)
	})
	t.Run("and for long if requests without it are answered", func(t *testing.T) {
		require.Equal(t, longBlockTime, longest(t, true).Round(time.Minute))
	})
}

func TestParseSuspect(t *testing.T) {
	for _, s := range []Suspect{request(1).Suspect(), withParts(1, soundPart)().part(hollowgrade.PartID{15: 7}).Suspect(), {KindPart, hollowgrade.Fingerprint{}, "a@b"}} {
		p, err := ParseSuspect(s.String())
		require.NoError(t, err)
		require.Equal(t, s, p)
	}
}
