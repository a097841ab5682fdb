package core

import (
	"maps"
	"slices"
)

// Evacuation is the set of data halls whose upstreams must get no calls, because operators are
// emptying these halls. Calls that run there continue. It is immutable.
type Evacuation struct {
	halls map[string]bool
}

// With returns the set with a data hall added.
func (e Evacuation) With(hall string) Evacuation {
	hs := maps.Clone(e.halls)
	if hs == nil {
		hs = map[string]bool{}
	}
	hs[hall] = true
	return Evacuation{hs}
}

// Without returns the set with a data hall removed.
func (e Evacuation) Without(hall string) Evacuation {
	hs := maps.Clone(e.halls)
	delete(hs, hall)
	return Evacuation{hs}
}

// Covers reports whether a data hall is being evacuated.
func (e Evacuation) Covers(hall string) bool {
	return e.halls[hall]
}

// Halls returns the data halls in alphabetical order.
func (e Evacuation) Halls() []string {
	return slices.Sorted(maps.Keys(e.halls))
}

// Evacuate starts the evacuation of a data hall. From now on none of its upstreams is picked, also
// not for calls that were picked earlier and are not sent yet.
func (f *Fleet) Evacuate(hall string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.evacuation.Covers(hall) {
		return
	}
	f.evacuation = f.evacuation.With(hall)
	f.log.Info("evacuation of data hall began", "hall", hall, "upstreams", f.countIn(hall), "evacuated", f.evacuation.Halls())
}

// EndEvacuation ends the evacuation of a data hall.
func (f *Fleet) EndEvacuation(hall string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.evacuation.Covers(hall) {
		return
	}
	f.evacuation = f.evacuation.Without(hall)
	f.log.Info("evacuation of data hall ended", "hall", hall, "upstreams", f.countIn(hall), "evacuated", f.evacuation.Halls())
}

// Evacuation returns the data halls that are being evacuated.
func (f *Fleet) Evacuation() Evacuation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evacuation
}

// CountIn returns the number of upstreams in a data hall.
func (f *Fleet) CountIn(hall string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.countIn(hall)
}

// countIn is CountIn with the lock held.
func (f *Fleet) countIn(hall string) (n int) {
	for _, m := range f.members {
		if m.Hall == hall {
			n++
		}
	}
	return n
}
