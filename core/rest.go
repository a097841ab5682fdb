package core

import (
	"time"

	"github.com/hollowgrade/hollowgrade"
)

const (
	// restSpread is by which part of a rest, at the most, a process stays away longer, so that not all are back at once.
	restSpread = 0.25
	// proveFor is for how long a process that is back from a rest waits for the answer to its first call there before it
	// makes another.
	proveFor = time.Second
)

// rest is an upstream's wish that a process sends it nothing for a while.
type rest struct {
	until   time.Time
	proving bool      // since the rest nothing was answered that was not turned away
	proved  time.Time // when the last call was sent there to see whether it takes some again
}

// over reports whether the rest has ended.
func (r *rest) over(now time.Time) bool {
	return !now.Before(r.until)
}

// awaited reports whether the answer to the first call after a rest is still waited for.
func (r *rest) awaited(now time.Time) bool {
	return r.proving && now.Sub(r.proved) < proveFor
}

// ends returns when the upstream may be given a call next.
func (r *rest) ends() time.Time {
	if r.proving {
		return hollowgrade.Later(r.until, r.proved.Add(proveFor))
	}
	return r.until
}

// setRest takes the word of an upstream that it wants nothing from this process for a while. A shorter rest does not
// end a longer one. The lock is held.
func (f *Fleet) setRest(m *member, request string, d time.Duration) {
	now := f.clock.Now()
	spread := time.Duration(f.chance() * restSpread * float64(d))
	f.log.Info("upstream asks for rest", "upstream", m.life, "service", m.Service, "request", request, "for_ms", d.Milliseconds(),
		"spread_ms", spread.Milliseconds(), "before_ms", max(m.rest.until.Sub(now), 0).Milliseconds())
	m.rest.until = hollowgrade.Later(m.rest.until, now.Add(d+spread))
	m.rest.proving = true
}

// noteProof notes that an upstream was given a call. The lock is held.
func (f *Fleet) noteProof(m *member, now time.Time) {
	m.rest.proved = now
}

// noteAnswer notes that an upstream has answered a call that it did not turn away. The lock is held.
func (f *Fleet) noteAnswer(m *member, sent time.Time) {
	if m.rest.proving && sent.After(m.rest.until) {
		m.rest.proving = false
		f.log.Info("upstream takes calls again after a rest", "upstream", m.life, "service", m.Service)
	}
}
