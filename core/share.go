package core

import (
	"maps"
	"time"

	"github.com/hollowgrade/hollowgrade"
)

// The more processes there are, the less often each of them tells all others of its load
// beside what changes: with a heartbeat each half second 103 gateways heard 200 a second each,
// a third of what they told from hall to hall.
const (
	shortestHeartbeat = 500 * time.Millisecond
	longestHeartbeat  = time.Second
	heartbeatPerPeer  = 10 * time.Millisecond
	// viewSlack is how much longer than two heartbeats the word of another process holds.
	viewSlack = 500 * time.Millisecond
)

// Heartbeat returns how often a process says something to each of so many others, so that
// what it said does not expire.
func Heartbeat(others int) time.Duration {
	return min(max(time.Duration(others)*heartbeatPerPeer, shortestHeartbeat), longestHeartbeat)
}

// viewAge returns for how long the word of another process holds without being
// repeated, where there are so many. What it gave to upstreams ends with it, if it died.
func viewAge(others int) time.Duration {
	return 2*Heartbeat(others) + viewSlack
}

// view is what one other process has given to upstreams, by its own word.
type view struct {
	shares       map[hollowgrade.Life]Share
	heard        time.Time
	heardReading heardReading
	whole        bool // whether all that stood at some moment has been heard: what it names anew is new
}

// Changed returns a channel that gets a value when this process's own shares
// have changed.
func (f *Fleet) Changed() <-chan struct{} {
	return f.notify
}

// Changes returns the own shares that changed since the last call, or all that
// are not zero.
func (f *Fleet) Changes(all bool) map[hollowgrade.Life]Share {
	f.mu.Lock()
	defer f.mu.Unlock()
	cs := map[hollowgrade.Life]Share{}
	if all {
		cs = f.shares()
	}
	for id := range f.changed {
		if m := f.members[id]; m != nil {
			cs[id] = m.own
		}
	}
	clear(f.changed)
	return cs
}

// Shares returns all own shares that are not zero, and those of upstreams of which there is
// something else to tell: that an engine named them as at fault, that they are slow, that they
// name a limit, or that they leave.
func (f *Fleet) Shares() map[hollowgrade.Life]Share {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.shares()
}

func (f *Fleet) shares() map[hollowgrade.Life]Share {
	now := f.clock.Now()
	cs := map[hollowgrade.Life]Share{}
	for id, m := range f.members {
		if m.own != (Share{}) || now.Before(m.blamed) || m.paceWord.own && m.slow(now) || m.limit.tellable(now) || m.leaving {
			cs[id] = m.own
		}
	}
	return cs
}

// add changes the own share of an upstream. The lock is held.
func (f *Fleet) add(m *member, s Share) {
	m.own = m.own.Plus(s)
	f.change(m)
}

// change lets others be told of an upstream. The lock is held.
func (f *Fleet) change(m *member) {
	if f.members[m.life] != m {
		return // of an earlier life
	}
	f.changed[m.life] = true
	select {
	case f.notify <- struct{}{}:
	default:
	}
}

// TakeView takes another process's word on what it has given to upstreams. A
// whole one replaces all that it said before. The name is that of one life of
// the process: what it counts begins anew with each.
func (f *Fleet) TakeView(box string, shares map[hollowgrade.Life]Share, whole bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.views[box]
	if v == nil {
		v = &view{shares: map[hollowgrade.Life]Share{}}
		f.views[box] = v
	}
	v.heard = f.clock.Now()
	if whole {
		for id := range v.shares {
			if _, ok := shares[id]; !ok {
				f.forget(v, id)
			}
		}
	}
	for id, s := range shares {
		f.setView(v, id, s)
	}
	v.whole = v.whole || whole
}

// setView replaces one share of a view. Reading that was given since counts from
// now on; less than before means that some was taken back. Of what was given
// before the first whole word of the process it is not known how much is still unread.
// The lock is held.
func (f *Fleet) setView(v *view, id hollowgrade.Life, s Share) {
	old, known := v.shares[id]
	if m := f.members[id]; m != nil {
		m.others = m.others.Plus(s).Minus(old)
		if n := s.Open - old.Open; (known || v.whole) && n > 0 {
			f.noteOthers(m.Service, n)
		}
		if m.limit.named && (known || v.whole) {
			f.hearSends(m, s.Sent-old.Sent, s.Wanted-old.Wanted)
		}
		if more := s.Given - old.Given; (known || v.whole) && more != 0 {
			m.give(f.clock.Now(), more)
			f.hearReading(v, m.Service, max(more, 0))
			if more > 0 && s.Open <= old.Open {
				m.helping(f.clock.Now(), 0)
			}
		}
	}
	v.shares[id] = s
}

// forget drops one share of a view. What was given is still being read. The lock
// is held.
func (f *Fleet) forget(v *view, id hollowgrade.Life) {
	if m := f.members[id]; m != nil {
		m.others = m.others.Minus(v.shares[id])
	}
	delete(v.shares, id)
}

// sumOthers sets what others have given to an upstream that is new here. The
// lock is held.
func (f *Fleet) sumOthers(m *member, id hollowgrade.Life) {
	for _, v := range f.views {
		m.others = m.others.Plus(v.shares[id])
	}
}

// Readings returns how much upstreams have still to read of what all processes are
// known to have given to them, without those that have nothing to read.
func (f *Fleet) Readings() map[hollowgrade.Life]time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	rs := map[hollowgrade.Life]time.Duration{}
	for id, m := range f.members {
		if d := m.reading(now); d > 0 {
			rs[id] = d
		}
	}
	return rs
}

// TakeReadings takes the word of another process, by its box, on what upstreams
// have still to read. What was given to them before this process started it cannot
// know from the shares that it hears: a gateway that came back gave 0.9 s of reading
// to each of six engines that had 0.6 s left to read, and short answers at all of
// them paused for a second.
func (f *Fleet) TakeReadings(box string, rs map[hollowgrade.Life]time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	maps.DeleteFunc(f.unlisted, func(_ hollowgrade.Life, until time.Time) bool { return !now.Before(until) })
	learned := 0
	for id, d := range rs {
		until := now.Add(d)
		if m := f.members[id]; m == nil {
			f.unlisted[id] = until
		} else if m.busy.Before(until) {
			m.busy = until
			learned++
		}
	}
	f.log.Info("reading of upstreams learned", "peer", box, "told", len(rs), "new", learned)
}

// Heard returns how many other processes have told all that they have given to
// upstreams.
func (f *Fleet) Heard() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range f.views {
		if v.whole {
			n++
		}
	}
	return n
}

// Others returns what other processes have given to an upstream, by their word.
func (f *Fleet) Others(id hollowgrade.Life) Share {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[id]; m != nil {
		return m.others
	}
	return Share{}
}

// DropView forgets the word of a process that is gone.
func (f *Fleet) DropView(box string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropView(box)
}

func (f *Fleet) dropView(box string) {
	v := f.views[box]
	if v == nil {
		return
	}
	for id := range v.shares {
		f.forget(v, id)
	}
	delete(f.views, box)
}

// expireViews forgets the words that were not repeated. The lock is held.
func (f *Fleet) expireViews(now time.Time) {
	longest := viewAge(f.peers())
	for box, v := range f.views {
		if now.Sub(v.heard) > longest {
			f.log.Info("load of a peer forgotten", "peer", box, "age_ms", now.Sub(v.heard).Milliseconds())
			f.dropView(box)
		}
	}
}
