package core

import (
	"slices"
	"time"
)

// partRest is for how long an engine counts a part of a prompt that another engine answers
// at the least: until all parts of the prompt are read, whenever its own is. Engines that
// refused one had been given twelve in the 0.6 s before, of 3 to 30 ms each (75 refusals on two quiet
// days of 103 gateways; 23 on one with this).
const partRest = 400 * time.Millisecond

// helping notes that an engine has been given a part of a prompt that another engine
// answers, which has its first event after that long as far as is known. The lock is held.
func (m *member) helping(now time.Time, first time.Duration) {
	end := now.Add(max(partRest, first))
	if m.busy.After(end) {
		end = m.busy
	}
	m.parts = append(slices.DeleteFunc(m.parts, func(t time.Time) bool { return !now.Before(t) }), end)
}

// helps returns how many such parts the engine is thought to hold. The lock is held.
func (m *member) helps(now time.Time) (n int) {
	for _, t := range m.parts {
		if now.Before(t) {
			n++
		}
	}
	return n
}

// wordShare is the part of a service's upstreams that the word of others keeps this process
// from: the fewer are left, the more of those are full and named as at fault. On a
// day with bursts 20 to 46 of 150 engines were avoided at a time, most of which were full for a
// moment.
const wordShare = 0.3

// takesWord reports whether one more upstream of a service may be avoided by the word of
// others. The lock is held.
func (f *Fleet) takesWord(service string, now time.Time) bool {
	ms := f.of(service)
	avoided := 0
	for _, m := range ms {
		if now.Before(m.avoid) {
			avoided++
		}
	}
	return float64(avoided) < wordShare*float64(len(ms))
}
