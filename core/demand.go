package core

import (
	"math"
	"time"

	"github.com/hollowgrade/hollowgrade/placement"
)

const (
	// demandWindow is the time constant of the rates of prompts.
	demandWindow = 2 * time.Second
	// Prompts with about the same prefill time are counted together. Each kind takes longer than the
	// one before by a factor of the square root of two.
	minDemandPrefill = 10 * time.Millisecond
	kindsPerDoubling = 2
	demandKinds      = 28 // up to 160 s
	// promptPartsWindow is the time within which a peer's messages about the parts of one prompt
	// arrive.
	promptPartsWindow = 20 * time.Millisecond
)

// demand is the rate of prompts for the engines of a service, by prefill time.
type demand struct {
	since time.Time // when the measurement began
	at    time.Time
	kinds [demandKinds]kindRate
}

// kindRate is the rate of the prompts of one kind.
type kindRate struct {
	prompts float64 // per second
	prefill float64 // seconds of prefill per second
}

// add counts a prompt that takes one engine this long to prefill.
func (d *demand) add(now time.Time, reading time.Duration) {
	if reading < minDemandPrefill {
		return
	}
	d.age(now)
	x := decay(d.at.Sub(now)) / demandWindow.Seconds()
	k := &d.kinds[demandKind(reading)]
	k.prompts += x
	k.prefill += x * reading.Seconds()
}

// decay returns the remaining weight of a prompt that was counted this long ago.
func decay(age time.Duration) float64 {
	return math.Exp(-age.Seconds() / demandWindow.Seconds())
}

// demandKind returns the index of the kind of a prompt.
func demandKind(reading time.Duration) int {
	i := int(kindsPerDoubling * math.Log2(float64(reading)/float64(minDemandPrefill)))
	return min(max(i, 0), demandKinds-1)
}

// age reduces the weight of earlier prompts.
func (d *demand) age(now time.Time) {
	if !now.After(d.at) {
		return
	}
	x := decay(now.Sub(d.at))
	for i := range d.kinds {
		d.kinds[i].prompts *= x
		d.kinds[i].prefill *= x
	}
	d.at = now
}

// minExpectedRate is the rate per second below which a kind is ignored.
const minExpectedRate = 1e-3

// expected returns the expected demand.
func (d *demand) expected(now time.Time) placement.Demand {
	d.age(now)
	e := placement.Demand{MeanAge: demandWindow, KnownShare: 1 - decay(now.Sub(d.since))}
	for _, k := range d.kinds {
		if k.prompts > minExpectedRate {
			e.Prompts = append(e.Prompts, placement.ExpectedPrompts{
				Rate:        k.prompts,
				PrefillTime: time.Duration(k.prefill / k.prompts * float64(time.Second)),
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

// peerPrefill is prefill that a peer has assigned to engines of a service, possibly as parts of one
// prompt.
type peerPrefill struct {
	service string
	since   time.Time
	prefill time.Duration
}

// recordPeerPrefill adds prefill that a peer has assigned to an engine. Messages that follow one
// another shortly concern the same prompt. The lock is held.
func (f *Fleet) recordPeerPrefill(v *view, service string, d time.Duration) {
	now := f.clock.Now()
	if v.recentPrefill.service != service || now.Sub(v.recentPrefill.since) > promptPartsWindow {
		f.countPeerPrefill(v)
		v.recentPrefill = peerPrefill{service: service, since: now}
	}
	v.recentPrefill.prefill += d
}

// countPeerPrefill counts the collected prefill of a peer as one prompt. The lock is held.
func (f *Fleet) countPeerPrefill(v *view) {
	h := v.recentPrefill
	if h.prefill > 0 {
		f.demandOf(h.service).add(h.since.Add(promptPartsWindow), time.Duration(float64(h.prefill)/prefillOverhead))
	}
	v.recentPrefill = peerPrefill{}
}

// expected returns the expected demand for the engines of a service. The lock is held.
func (f *Fleet) expected(service string, now time.Time) placement.Demand {
	for _, v := range f.views {
		if h := v.recentPrefill; h.prefill > 0 && now.Sub(h.since) > promptPartsWindow {
			f.countPeerPrefill(v)
		}
	}
	return f.demandOf(service).expected(now)
}
