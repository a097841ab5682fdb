package core

import (
	"math"
	"time"

	"github.com/hollowgrade/hollowgrade/placement"
)

const (
	// demandMemory is the mean age of what the rates of prompts are taken from.
	demandMemory = 2 * time.Second
	// Prompts whose reading takes about as long count together: each kind takes a half power of
	// two longer than the one before.
	shortestDemand = 10 * time.Millisecond
	kindsToDouble  = 2
	demandKinds    = 28 // up to 160 s
	// wordParts is within how much time the packets come that tell of the parts of one prompt.
	wordParts = 20 * time.Millisecond
)

// demand is what has been asked of the engines of a service, by how long it takes to read.
type demand struct {
	since time.Time // when it was begun to listen
	at    time.Time
	kinds [demandKinds]rateOf
}

// rateOf is how many prompts of a kind come, and for how long they are read.
type rateOf struct {
	prompts float64 // a second
	reading float64 // seconds a second
}

// note notes a prompt that one engine would read for so long.
func (d *demand) note(now time.Time, reading time.Duration) {
	if reading < shortestDemand {
		return
	}
	d.age(now)
	x := decay(d.at.Sub(now)) / demandMemory.Seconds()
	k := &d.kinds[demandKind(reading)]
	k.prompts += x
	k.reading += x * reading.Seconds()
}

// decay returns what is left after a time of the weight of what was noted.
func decay(age time.Duration) float64 {
	return math.Exp(-age.Seconds() / demandMemory.Seconds())
}

// demandKind returns the index of the kind of a prompt.
func demandKind(reading time.Duration) int {
	i := int(kindsToDouble * math.Log2(float64(reading)/float64(shortestDemand)))
	return min(max(i, 0), demandKinds-1)
}

// age lets what was noted before count for less.
func (d *demand) age(now time.Time) {
	if !now.After(d.at) {
		return
	}
	x := decay(now.Sub(d.at))
	for i := range d.kinds {
		d.kinds[i].prompts *= x
		d.kinds[i].reading *= x
	}
	d.at = now
}

// forgotten is the rate, a second, below which a kind is not expected any more.
const forgotten = 1e-3

// expected returns what is expected to be asked.
func (d *demand) expected(now time.Time) placement.Demand {
	d.age(now)
	e := placement.Demand{MeanAge: demandMemory, KnownShare: 1 - decay(now.Sub(d.since))}
	for _, k := range d.kinds {
		if k.prompts > forgotten {
			e.Prompts = append(e.Prompts, placement.ExpectedPrompts{
				Rate:        k.prompts,
				PrefillTime: time.Duration(k.reading / k.prompts * float64(time.Second)),
			})
		}
	}
	return e
}

// demandOf returns the demand for a service. The lock is held.
func (f *Fleet) demandOf(service string) *demand {
	d := f.demands[service]
	if d == nil {
		d = &demand{since: f.clock.Now()}
		f.demands[service] = d
	}
	return d
}

// heardReading is reading that another process has given to engines of a service, and that may be
// parts of one prompt.
type heardReading struct {
	service string
	since   time.Time
	reading time.Duration
}

// hearReading notes reading that another process has given to an engine. Packets that come
// shortly after another tell of the same prompt. The lock is held.
func (f *Fleet) hearReading(v *view, service string, d time.Duration) {
	now := f.clock.Now()
	if v.heardReading.service != service || now.Sub(v.heardReading.since) > wordParts {
		f.settleReading(v)
		v.heardReading = heardReading{service: service, since: now}
	}
	v.heardReading.reading += d
}

// settleReading counts what was heard of another process as one prompt. The lock is held.
func (f *Fleet) settleReading(v *view) {
	h := v.heardReading
	if h.reading > 0 {
		f.demandOf(h.service).note(h.since.Add(wordParts), time.Duration(float64(h.reading)/passOverhead))
	}
	v.heardReading = heardReading{}
}

// expected returns what is expected to be asked of the engines of a service. The lock is held.
func (f *Fleet) expected(service string, now time.Time) placement.Demand {
	for _, v := range f.views {
		if h := v.heardReading; h.reading > 0 && now.Sub(h.since) > wordParts {
			f.settleReading(v)
		}
	}
	return f.demandOf(service).expected(now)
}
