package fairness

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/engine"
)

var figures = engine.Figures{PrefillRate: 256_000, PerMillionPairs: 91_700 * time.Nanosecond}

// prompt waits for an engine.
type prompt struct {
	Party
	tokens  int
	prefill time.Duration
	arrived time.Time
}

// worthASecond is the published worth of a prompt for a second of prefill.
func (p prompt) worthASecond() float64 {
	return (1 + float64(p.tokens)/10_000) / p.prefill.Seconds()
}

// source sends prompts of one kind, so that they ask for a part of the engines' time.
type source struct {
	Party
	tokens int
	share  float64
}

// use is the engine time that a party asked and got.
type use struct{ asked, got time.Duration }

func (u use) plus(v use) use { return use{u.asked + v.asked, u.got + v.got} }

func (u use) served() float64 { return float64(u.got) / float64(u.asked) }

// loop plays prompts to engines that take the waiting prompt of the highest worth a second, times the
// factor of an account.
type loop struct {
	account *Account // nil to decide by worth only
	random  *rand.Rand
	now     time.Time
	free    time.Duration // engine time that is not used yet
	waiting []prompt
	uses    map[Party]use
}

const (
	tick      = 25 * time.Millisecond
	engines   = 8
	patience  = 3 * time.Second
	calmTime  = 10 * time.Minute
	shortTime = 20 * time.Second
)

func newLoop(seed uint64, a *Account) *loop {
	return &loop{account: a, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1, 0)}
}

// run plays sources for a time, and returns what the parties asked and got in it.
func (l *loop) run(d time.Duration, ss []source) map[Party]use {
	l.uses = map[Party]use{}
	for end := l.now.Add(d); l.now.Before(end); l.now = l.now.Add(tick) {
		for _, s := range ss {
			l.arrive(s)
		}
		l.waiting = slices.DeleteFunc(l.waiting, func(p prompt) bool { return l.now.Sub(p.arrived) > patience })
		l.free = min(l.free+engines*tick, engines*tick)
		for l.free > 0 && len(l.waiting) > 0 {
			l.place()
		}
	}
	return l.uses
}

func (l *loop) arrive(s source) {
	d := figures.PrefillTime(s.tokens, 1)
	expected := s.share * engines * tick.Seconds() / d.Seconds()
	for range l.count(expected) {
		l.waiting = append(l.waiting, prompt{Party: s.Party, tokens: s.tokens, prefill: d, arrived: l.now})
		l.uses[s.Party] = l.uses[s.Party].plus(use{asked: d})
		if l.account != nil {
			l.account.RecordAsked(l.now, s.Party, d)
		}
	}
}

// count returns a random number of arrivals of a Poisson process.
func (l *loop) count(expected float64) (n int) {
	for x := l.random.ExpFloat64(); x < expected; x += l.random.ExpFloat64() {
		n++
	}
	return n
}

func (l *loop) place() {
	best, at := -1.0, 0
	for i, p := range l.waiting {
		x := p.worthASecond()
		if l.account != nil {
			x *= l.account.Factor(l.now, p.Party)
		}
		if x > best {
			best, at = x, i
		}
	}
	p := l.waiting[at]
	l.waiting = slices.Delete(l.waiting, at, at+1)
	l.free -= p.prefill
	l.uses[p.Party] = l.uses[p.Party].plus(use{got: p.prefill})
	if l.account != nil {
		l.account.RecordGot(l.now, p.Party, p.prefill)
	}
}

// by adds up uses by a property of the party.
func by[K comparable](us map[Party]use, property func(Party) K) map[K]use {
	sum := map[K]use{}
	for p, u := range us {
		sum[property(p)] = sum[property(p)].plus(u)
	}
	return sum
}

func all(Party) string { return "" }

// split returns the uses of an organisation and those of the others.
func split(us map[Party]use, organisation string) (own, others use) {
	parts := by(us, func(p Party) bool { return p.Organisation == organisation })
	return parts[true], parts[false]
}

// playShortage returns what parties asked and got in 15 s of a shortage that began 5 s before.
func playShortage(seed uint64, ss []source) map[Party]use {
	l := newLoop(seed, New())
	l.run(5*time.Second, ss)
	return l.run(15*time.Second, ss)
}

// zipf returns n parts of load that fall with the power of their rank.
func zipf(n int, power, load float64) (shares []float64) {
	sum := 0.0
	for i := range n {
		shares = append(shares, math.Pow(float64(i+1), -power))
		sum += shares[i]
	}
	for i := range shares {
		shares[i] *= load / sum
	}
	return shares
}

// organisations returns sources of 24 organisations, of which one presses.
func organisations(pressing int, times float64) (ss []source) {
	for i, x := range zipf(24, 1.2, 0.85) {
		if i == pressing {
			x *= times
		}
		for _, tokens := range []int{20_000, 60_000} {
			p := Party{Organisation: fmt.Sprintf("o%d", i), Hall: "h", Size: SizeOf(tokens)}
			ss = append(ss, source{Party: p, tokens: tokens, share: x / 2})
		}
	}
	return ss
}

// Load: one organisation of 24 whose demand falls with the power 1.2 of their rank asks for six times
// its usual time, at 0.85 of the engines' time before. It may have what the others leave.
func TestOrganisationThatPresses(t *testing.T) {
	for _, pressing := range []int{0, 1, 5} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("rank %d, seed %d", pressing+1, seed), func(t *testing.T) {
				l := newLoop(seed, New())
				l.run(calmTime, organisations(pressing, 1))
				presser, others := split(l.run(shortTime, organisations(pressing, 6)), fmt.Sprintf("o%d", pressing))
				left := engines*shortTime - others.asked
				t.Logf("presser asked %s got %s, %s left; others %.3f", presser.asked, presser.got, left, others.served())
				require.GreaterOrEqual(t, others.served(), 0.9)
				require.LessOrEqual(t, presser.got.Seconds(), 1.1*left.Seconds())
			})
		}
	}
}

// Load: the same, where an organisation presses with the largest prompts: what it refuses itself by
// pressing must not speak for the size of its prompts.
func TestOrganisationThatPressesWithOneSize(t *testing.T) {
	for seed := range uint64(3) {
		p := Party{Organisation: "o23", Hall: "h", Size: SizeOf(250_000)}
		calm := append(organisations(0, 1), source{Party: p, tokens: 250_000, share: 0.1})
		pressed := append(organisations(0, 1), source{Party: p, tokens: 250_000, share: 0.6})
		l := newLoop(seed, New())
		l.run(calmTime, calm)
		presser, others := split(l.run(shortTime, pressed), "o23")
		t.Logf("presser asked %s got %s; others %.3f", presser.asked, presser.got, others.served())
		require.GreaterOrEqual(t, others.served(), 0.9)
	}
}

// Load: 1.3 times the engines' time for 15 s, in prompts from 16,000 to 490,000 tokens whose worth a
// second differs by nine times. Each size with a tenth of the asked time gets half of all's share.
func TestLargestPromptsAreNotLeftOut(t *testing.T) {
	sizes := []int{16_000, 40_000, 120_000, 250_000, 490_000}
	for seed := range uint64(3) {
		for i, shares := range [][]float64{{0.2, 0.2, 0.2, 0.2, 0.2}, {0.5, 0.2, 0.1, 0.1, 0.1}, {0.1, 0.1, 0.1, 0.1, 0.6}} {
			var ss []source
			for j, tokens := range sizes {
				for o := range 6 {
					p := Party{Organisation: fmt.Sprintf("o%d", o), Hall: "h", Size: SizeOf(tokens)}
					ss = append(ss, source{Party: p, tokens: tokens, share: 1.3 * shares[j] / 6})
				}
			}
			us := playShortage(seed, ss)
			total := by(us, all)[""].served()
			for size, u := range by(us, func(p Party) int { return p.Size }) {
				t.Logf("seed %d, mix %d, size %d: %.3f of %s, all %.3f", seed, i, size, u.served(), u.asked, total)
				if u.asked >= engines*15*time.Second/10 {
					require.GreaterOrEqual(t, u.served(), total/2)
				}
			}
		}
	}
}

// Load: three data halls that ask for 0.9, 0.3 and 0.1 of the engines' time, in prompts that are worth
// the less a second the less their hall asks.
func TestDataHallsOfUnevenDemand(t *testing.T) {
	for seed := range uint64(3) {
		var ss []source
		for i, share := range []float64{0.9, 0.3, 0.1} {
			for o := range 6 {
				p := Party{Organisation: fmt.Sprintf("o%d", o), Hall: fmt.Sprintf("h%d", i), Size: SizeOf(40_000)}
				ss = append(ss, source{Party: p, tokens: 40_000 + 4000*i, share: share / 6})
			}
		}
		us := playShortage(seed, ss)
		for hall, u := range by(us, func(p Party) string { return p.Hall }) {
			t.Logf("seed %d, hall %s: %.3f, all %.3f", seed, hall, u.served(), by(us, all)[""].served())
			require.GreaterOrEqual(t, u.served(), 0.8*by(us, all)[""].served())
		}
	}
}

// Load: none is short.
func TestNothingChangesWhereNothingIsShort(t *testing.T) {
	l := newLoop(1, New())
	l.run(30*time.Second, organisations(0, 0.5))
	for _, s := range organisations(0, 1) {
		require.InDelta(t, 1, l.account.Factor(l.now, s.Party), 0)
	}
	require.True(t, l.account.Summary(l.now).Empty())
}
