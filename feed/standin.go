package feed

import (
	"maps"
	"slices"
	"time"
)

const (
	// standInGroup is how many processes stand in first where the store serves no
	// reader: of another data hall each, by their rank. Each turn has standInGrowth times as
	// many as all before it, and three more, so that the last of 420 have theirs after half a second.
	standInGroup  = 3
	standInGrowth = 4
	// enoughServed is how many processes of a better rank have to be served for one that stands in
	// to stop. With one of them the next that is turned away would be missed by all at once.
	enoughServed = 2
	// keptWords is from how many words on those that are too old to count are forgotten:
	// more than the readers that a process asks, of 420.
	keptWords = 64
)

// turnOf returns which turn a process has that comes at a place after the readers.
func turnOf(place int) (turn int) {
	for end := standInGroup; place >= end; end = standInGroup + end*standInGrowth {
		turn++
	}
	return turn
}

// placesUntil returns how many of so many processes have had their turn.
func placesUntil(turn, all int) (n int) {
	for ; turn >= 0 && n < all; turn-- {
		n = standInGroup + n*standInGrowth
	}
	return min(n, all)
}

// word is what a peer last said of itself: whether the store serves it, which is to say that
// it reads all topics and the store answers these reads in time.
type word struct {
	served bool
	at     time.Time
}

// heard notes that a peer has answered, and whether it is served by the store and has told all feeds.
func (r *Relay) heard(address string, served bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reached = r.clock.Now()
	r.noteWord(address, served)
	if !served {
		r.inVain()
		return
	}
	r.open, r.vain, r.told = 0, false, r.reached
}

// unheard notes that a peer did not answer.
func (r *Relay) unheard(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteWord(address, false)
	r.inVain()
}

// inVain notes that a peer of the last round is not one that the store serves. Others are asked at
// once if that was the last of them, and later if it was so before. The lock is held.
func (r *Relay) inVain() {
	r.open--
	if r.open != 0 || r.vain {
		return
	}
	r.vain = true
	select {
	case r.notify <- struct{}{}:
	default: // it is to ask already
	}
}

// noteWord notes what a peer says of itself, and forgets what others said too long ago. The lock
// is held.
func (r *Relay) noteWord(address string, served bool) {
	if len(r.words) > keptWords {
		maps.DeleteFunc(r.words, func(a string, _ word) bool {
			_, ok := r.lastWord(a)
			return !ok
		})
	}
	r.words[address] = word{served, r.clock.Now()}
}

// lastWord returns what a peer said of itself lately, and false if it said nothing. The lock is held.
func (r *Relay) lastWord(address string) (served, ok bool) {
	w, ok := r.words[address]
	return w.served, ok && r.clock.Since(w.at) <= r.timing.wordFor()
}

// likelyServed leaves out the peers that the store does not serve by their last word, unless
// none are left.
func (r *Relay) likelyServed(as []string) []string {
	if hs := r.mayBeServed(as); len(hs) > 0 {
		return hs
	}
	return as
}

// mayBeServed returns the peers that have not said lately that the store does not serve them.
func (r *Relay) mayBeServed(as []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(as), func(a string) bool {
		served, ok := r.lastWord(a)
		return a == r.self || ok && !served
	})
}

// untold reports whether no process that the store serves has told this one anything
// for longer than it takes to be told, or none of those that it asked last is one. The lock is held.
func (r *Relay) untold() bool {
	return r.vain || r.clock.Since(r.told) > r.timing.untold()
}

// doubts reports whether the readers seem to be turned away by the store, all of them. The
// lock is held.
func (r *Relay) doubts(readers []string, stale bool) bool {
	if !r.untold() {
		return false
	}
	return stale || r.clock.Since(r.told) > lostAfter || !slices.ContainsFunc(readers, func(a string) bool {
		served, ok := r.lastWord(a)
		return a != r.self && (!ok || served)
	})
}

// noteDoubt notes since when the store seems to serve no reader, if it does. Of a process that it
// serves nothing is in doubt. The lock is held.
func (r *Relay) noteDoubt(readers []string, served, stale bool) {
	if served {
		r.told, r.vain = r.clock.Now(), false
	}
	switch {
	case !r.doubts(readers, stale):
		r.doubted = time.Time{}
	case r.doubted.IsZero():
		r.doubted = r.clock.Now()
	}
}

// standsIn reports whether this process, which has its turn after the readers, reads the store in
// their stead: from its turn on while they are in doubt, and then until enough of those before it are
// served. The lock is held.
func (r *Relay) standsIn(turn int, better []string, served bool) bool {
	if r.standing && served {
		return r.servedOf(better) < min(enoughServed, len(better))
	}
	if r.doubted.IsZero() {
		return false
	}
	now := r.clock.Now()
	alone := now.Sub(r.told) > lostAfter && now.Sub(r.reached) > lostAfter
	return alone || now.Sub(r.doubted) >= time.Duration(turn)*r.timing.Turn
}

// servedOf returns how many of the processes are served by the store, by their own words.
// The lock is held.
func (r *Relay) servedOf(as []string) (n int) {
	for _, a := range as {
		if served, ok := r.lastWord(a); ok && served && a != r.self {
			n++
		}
	}
	return n
}

// withTellers returns the peers, and the others that the store serves by their own words.
func (r *Relay) withTellers(as []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for a := range r.words {
		if served, ok := r.lastWord(a); ok && served && !slices.Contains(as, a) {
			as = append(as, a)
		}
	}
	return as
}

// standIns returns the processes that have had their turn to stand in by now. They must not
// be changed.
func (r *Relay) standIns() []string {
	order, readers := r.order()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.doubted.IsZero() {
		return nil
	}
	others := order[readers:]
	return others[:placesUntil(int(r.clock.Since(r.doubted)/r.timing.Turn), len(others))]
}
