package core

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/calendar"
	"github.com/hollowgrade/hollowgrade/placement"
)

const (
	// minCalendarGoal is the shortest goal of a route whose long prompts wait for their turn. A turn
	// passes from one gateway to another in some ten milliseconds, so shorter goals leave no time.
	minCalendarGoal = time.Second
	// minPrefillShare is the part of its goal that one engine takes at least for the prefill of a prompt
	// that waits. Shorter prompts hardly delay others, and are placed at once.
	minPrefillShare = 0.5
	// dueShare is the part of a goal by which the first event is scheduled. The rest allows for
	// predictions that are too short.
	dueShare = 0.9
	// startBacklogShare is the part of its goal that a prompt may wait at the engines. It bounds what
	// one pass prefills, and covers the time in which gateways hear of each other.
	startBacklogShare = 0.1
	// giveUpShare is the part of a caller's time after which a prompt that can't be in time any more
	// waits no longer.
	giveUpShare = 0.5
	// giveUpGoals bounds the same wait. Callers leave after four goals without an event.
	giveUpGoals = 2
	// turnInterval is how often a waiting prompt looks whether its turn has come. The time from one
	// turn to the next is a multiple of it.
	turnInterval = 10 * time.Millisecond
	maxTurnPause = 100 * time.Millisecond
	// waitsGrace is added to the interval of peers' reports for the time that their waits are valid.
	waitsGrace = 300 * time.Millisecond
)

// MaxWaits bounds the prompts that wait at one gateway. Peers are told of all of them in a packet.
const MaxWaits = 24

// Wait is a long prompt of this process that waits for its turn.
type Wait struct {
	entry   calendar.Entry
	version uint64 // of the calendar when it was last checked for overflow
}

// WaitState is what has become of a wait.
type WaitState int

// The values of [WaitState].
const (
	Waiting WaitState = iota
	Started           // it has been placed
	Dropped           // there is no time for it
)

// SetCalendar sets whether long prompts wait for their turn.
func (f *Fleet) SetCalendar(on bool) {
	f.calendar.Store(on)
}

// schedules reports whether calls like this wait for their turn.
func (f *Fleet) schedules(r placement.Request) bool {
	if !f.calendar.Load() || !r.Long() || r.Goal < minCalendarGoal || r.StreamStarted {
		return false
	}
	return r.Engine.PrefillTime(r.PromptTokens, 1) >= time.Duration(minPrefillShare*float64(r.Goal))
}

// wait adds a call to the calendar. It returns nil and when to come back if there is no time for it.
func (f *Fleet) wait(service string, r placement.Request) (w *Wait, retryAfter time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	f.expireViews(now)
	w = &Wait{entry: calendar.Entry{
		ID:       newWaitID(),
		Service:  service,
		Prefill:  r.Engine.PrefillTime(r.PromptTokens, 1),
		Due:      now.Add(time.Duration(dueShare*float64(r.Goal)) - r.Waited),
		Deadline: now.Add(min(time.Duration(giveUpShare*float64(r.TimeLeft)), giveUpGoals*r.Goal)),
		Worth:    r.Worth(),
	}}
	es, g := f.entries(service), f.engines(service, r, now)
	if len(f.waits) >= MaxWaits || overflows(append(es, w.entry), g, w.entry.ID, now) {
		return nil, retryAfterDrain(calendar.Drained(es, g, w.entry.Prefill))
	}
	f.waits[w.entry.ID] = w
	f.waitsChanged()
	w.version = f.calendarVersion
	return w, 0
}

// newWaitID returns an id for a waiting prompt. The ids of calls are their callers' and may be used
// twice.
func newWaitID() string {
	return strconv.FormatUint(rand.Uint64(), waitIDBase)
}

// waitIDBase makes ids of 13 digits.
const waitIDBase = 36

// overflows reports whether there is no time for an entry.
func overflows(es []calendar.Entry, g calendar.Engines, id string, now time.Time) bool {
	return slices.Contains(calendar.Overflow(es, g, now), id)
}

// retryAfterDrain returns when a caller should come back for whose prompt the engines have time after
// d.
func retryAfterDrain(d time.Duration) time.Duration {
	return min(max(d, placement.MinRetryAfter), placement.MaxRetryAfter)
}

// start places a waiting call if its turn has come. Otherwise it returns when to look again, or, if
// there is no time for the call any more, when its caller should come back.
func (f *Fleet) start(w *Wait, r placement.Request, tried map[hollowgrade.Instance]bool) (p *pick, st WaitState, again time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	f.expireViews(now)
	es, g := f.entries(w.entry.Service), f.engines(w.entry.Service, r, now)
	if g.Count == 0 {
		f.endWait(w)
		return nil, Started, 0
	}
	t := calendar.TurnOf(es, w.entry.ID, g, now)
	if f.outOfTime(w, t, es, g, now) {
		return nil, Dropped, retryAfterDrain(calendar.Drained(es, g, 0))
	}
	bound := time.Duration(startBacklogShare * float64(r.Goal))
	if t.Late {
		bound = g.Pass
	}
	if t.Ahead > bound {
		return nil, Waiting, turnPause(t.Ahead - bound)
	}
	return f.startNow(w, r, tried, bound-t.Ahead)
}

// outOfTime reports whether there is no time for a waiting call any more. The lock is held.
func (f *Fleet) outOfTime(w *Wait, t calendar.Turn, es []calendar.Entry, g calendar.Engines, now time.Time) bool {
	if t.Late && now.After(w.entry.Deadline) {
		return true
	}
	if w.version == f.calendarVersion {
		return false
	}
	w.version = f.calendarVersion
	return overflows(es, g, w.entry.ID, now)
}

// startNow places a call whose turn has come, unless the engines have more than the given backlog. A
// call for which no engine has memory is dropped, so that it keeps no others waiting. The lock is held.
func (f *Fleet) startNow(w *Wait, r placement.Request, tried map[hollowgrade.Instance]bool, backlog time.Duration) (*pick, WaitState, time.Duration) {
	now := f.clock.Now()
	r.Scheduled = true
	l, ms, ok := f.place(w.entry.Service, r, tried, now)
	switch {
	case !ok:
		return nil, Waiting, maxTurnPause // limits leave no engine for it now
	case l.OutOfMemory && l.Refused:
		return nil, Dropped, defaultMemoryRetry
	case l.Refused:
		return nil, Waiting, maxTurnPause
	case l.Wait > backlog:
		return nil, Waiting, turnPause(l.Wait - backlog)
	default:
		f.endWait(w)
		return f.assign(w.entry.Service, r, l, ms, now), Started, 0
	}
}

// defaultMemoryRetry is when the caller of a prompt should come back for which no engine has memory:
// answers end and free theirs within a second or two.
const defaultMemoryRetry = placement.MinRetryAfter

// turnPause returns how long to wait before looking again for a turn that is expected after d.
func turnPause(d time.Duration) time.Duration {
	return min(max(d, turnInterval), maxTurnPause)
}

// leave ends the wait of a call that was not placed.
func (f *Fleet) leave(w *Wait) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endWait(w)
}

// endWait removes a wait. The lock is held.
func (f *Fleet) endWait(w *Wait) {
	if f.waits[w.entry.ID] == w {
		delete(f.waits, w.entry.ID)
		f.waitsChanged()
	}
}

// waitsChanged notifies the sender of loads. The lock is held.
func (f *Fleet) waitsChanged() {
	f.calendarVersion++
	f.waitsUnsent = true
	select {
	case f.notify <- struct{}{}:
	default:
	}
}

// entries returns all prompts that wait for a service. The lock is held.
func (f *Fleet) entries(service string) (es []calendar.Entry) {
	for _, w := range f.waits {
		if w.entry.Service == service {
			es = append(es, w.entry)
		}
	}
	now, oldest := f.clock.Now(), Heartbeat(f.peers())+waitsGrace
	for _, v := range f.views {
		if now.Sub(v.receivedAt) > oldest {
			continue // a silent peer must not keep others waiting
		}
		for _, e := range v.waits {
			if e.Service == service {
				es = append(es, e)
			}
		}
	}
	return es
}

// engines returns the state of a service's engines for the calendar. The lock is held.
func (f *Fleet) engines(service string, r placement.Request, now time.Time) calendar.Engines {
	g := calendar.Engines{MaxParts: placement.MaxParts, Pass: r.Engine.UsualPass()}
	for _, m := range f.usableMembers(service, now) {
		g.Count++
		g.Backlog += m.prefillBacklog(now)
	}
	g.Backlog /= time.Duration(max(g.Count, 1))
	return g
}

// Waits returns the prompts that wait at this process, by id. It returns false if none ever do.
func (f *Fleet) Waits() (es []calendar.Entry, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.waits {
		es = append(es, w.entry)
	}
	slices.SortFunc(es, func(a, b calendar.Entry) int { return cmp.Compare(a.ID, b.ID) })
	return es, f.calendar.Load()
}

// TakeWaitsChanged reports whether the prompts that wait at this process have changed since the last
// call.
func (f *Fleet) TakeWaitsChanged() (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed, f.waitsUnsent = f.waitsUnsent, false
	return changed
}

// Now returns the time on the clock that entries of the calendar are kept by.
func (f *Fleet) Now() time.Time {
	return f.clock.Now()
}

// ReceiveWaits replaces the prompts that wait at a peer. They are dropped with its view.
func (f *Fleet) ReceiveWaits(box string, es []calendar.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.views[box]
	if v == nil || len(es) == 0 && len(v.waits) == 0 {
		return
	}
	if !slices.EqualFunc(v.waits, es, func(a, b calendar.Entry) bool { return a.ID == b.ID }) {
		f.calendarVersion++
	}
	v.waits = es
}
