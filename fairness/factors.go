package fairness

import (
	"math"
	"time"
)

const (
	// refreshInterval is the least time between two computations of all factors, each of which visits
	// all entries of all gateways.
	refreshInterval = 200 * time.Millisecond
	// shortageTolerance is the part of the asked time that may be missing before factors differ from 1:
	// prompts that wait for an engine are asked and not got yet.
	shortageTolerance = 0.05
	// shortageRamp is the further part over which factors reach their full value, so that they don't
	// jump at the beginning of a shortage.
	shortageRamp = 0.05
	// usualSlack is the multiple of its usual time that an organisation may ask for before it counts
	// as pressing.
	usualSlack = 1.25
	// priorPrompts is the number of prompts of mean size by which an entry counts as served like all
	// others, so that one refused prompt isn't taken for a pattern.
	priorPrompts = 1
	// partyPower and sizePower are the exponents of factors over the ratio of what all got to what a
	// party got. A size at half of the others' share has its full factor.
	partyPower = 2
	sizePower  = 4
)

// factors are the factors of all entries, as of a moment.
type factors struct {
	at       time.Time
	weight   float64 // how far factors apply, from 0 where nothing is short to 1
	byKey    map[key]float64
	entitled map[key]float64 // part of what an organisation asks that is its share; 1 if missing
}

// of returns the factor of a party. Neither its data hall nor its size speaks for a prompt of an
// organisation that presses: these may be short because it does.
func (f *factors) of(p Party) float64 {
	if f.weight == 0 {
		return 1
	}
	ks := p.keys()
	x := f.ofKey(ks[Organisation])
	if x < 1 {
		return x
	}
	return min(x*f.ofKey(ks[Hall])*f.ofKey(ks[Size]), sizeBound)
}

func (f *factors) ofKey(k key) float64 {
	if x, ok := f.byKey[k]; ok {
		return x
	}
	if x, ok := f.byKey[k.kind.rest()]; ok && k.kind != Size {
		return x
	}
	return 1
}

func (f *factors) entitledShare(k key) float64 {
	if x, ok := f.entitled[k]; ok && f.weight > 0 {
		return x
	}
	return 1
}

// refresh computes the factors anew if they are too old.
func (a *Account) refresh(now time.Time) {
	if age := now.Sub(a.factors.at); age >= 0 && age < refreshInterval {
		return
	}
	a.factors = a.compute(now)
}

// compute returns the factors as of now.
func (a *Account) compute(now time.Time) factors {
	t := a.totals(now)
	f := factors{at: now}
	f.weight = t.shortage()
	if f.weight == 0 {
		return f
	}
	f.byKey = make(map[key]float64, len(t))
	f.entitled = map[key]float64{}
	prior := priorPrompts * a.meanPrefill(now)
	f.addEntitled(t)
	f.addKind(t, Organisation, prior)
	f.addKind(t, Hall, prior)
	f.addKind(t, Size, prior)
	return f
}

// totals is what all gateways asked and got, in whole nanoseconds: their sums don't depend on the order
// of entries, as those of other floating-point numbers do. Usual sums are given as the time that is
// usually asked for within the window.
type totals map[key]sums

func (a *Account) totals(now time.Time) totals {
	d := a.decay()
	t := make(totals, len(a.factors.byKey))
	for k := range a.own.entries {
		t[k] = a.ownSums(k, now).nanoseconds()
	}
	for k, s := range a.peers.total {
		t[k] = t[k].plus(d.at(s, now).nanoseconds())
	}
	return t
}

// ownSums returns what this gateway counted for a key.
func (a *Account) ownSums(k key, now time.Time) sums {
	s := a.decay().at(a.own.entries[k].sums, now)
	s.usual *= a.usualScale(now)
	return s
}

// usualScale is the factor from usual sums to the time that is usually asked for within the window.
// It allows for the time before the start of the account.
func (a *Account) usualScale(now time.Time) float64 {
	age := max(now.Sub(a.started), a.window).Seconds()
	d := a.decay()
	return d.window / d.usualWindow / (1 - math.Exp(-age/d.usualWindow))
}

// meanPrefill returns the mean prefill time of the prompts that arrived here, in nanoseconds.
func (a *Account) meanPrefill(now time.Time) float64 {
	s := a.decay().at(a.prompts, now)
	if s.got <= 0 {
		return 0
	}
	return s.asked / s.got * float64(time.Second)
}

// shortage returns how far factors apply.
func (t totals) shortage() float64 {
	s := t.of(Organisation)
	if s.asked <= 0 {
		return 0
	}
	missing := 1 - s.got/s.asked
	return min(max((missing-shortageTolerance)/shortageRamp, 0), 1)
}

// of returns the sums of all entries of a kind.
func (t totals) of(k Kind) (all sums) {
	for l, s := range t {
		if l.kind == k {
			all = all.plus(s)
		}
	}
	return all
}

// addEntitled replaces what organisations asked by what they are entitled to ask: their usual time,
// or an even share if that is more.
func (f *factors) addEntitled(t totals) {
	level := t.evenShare()
	for k, s := range t {
		if k.kind != Organisation || k == Organisation.rest() || s.asked <= 0 {
			continue
		}
		x := min(s.asked, max(math.Round(usualSlack*s.usual), level))
		f.entitled[k] = x / s.asked
		s.asked = x
		t[k] = s
	}
}

// evenShare returns what each organisation gets if what all got is divided evenly.
func (t totals) evenShare() float64 {
	all := t.of(Organisation)
	n := 0
	for k, s := range t {
		if k.kind == Organisation && k != Organisation.rest() && s.asked >= float64(leastTold) {
			n++
		}
	}
	return math.Round(all.got * (1 - t[Organisation.rest()].asked/all.asked) / float64(max(n, 1)))
}

// addKind adds the factors of a kind's entries.
func (f *factors) addKind(t totals, k Kind, prior float64) {
	all := t.of(k)
	if all.asked <= 0 || all.got <= 0 {
		return
	}
	common := all.got / all.asked
	for l, s := range t {
		if l.kind != k || s.asked+prior <= 0 {
			continue
		}
		served := (s.got + prior*common) / (s.asked + prior)
		f.byKey[l] = 1 + f.weight*(f.bounded(l, common/served)-1)
	}
}

// bounded returns the factor of an entry that got 1/ratio of what all got of what they asked.
func (f *factors) bounded(k key, ratio float64) float64 {
	if k.kind == Size {
		return min(max(math.Pow(ratio, sizePower), 1), sizeBound)
	}
	least := 1.0
	if f.entitledShare(k) < 1 {
		least = 1.0 / partyBound
	}
	return min(max(math.Pow(ratio, partyPower), least), partyBound)
}
