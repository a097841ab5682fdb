package loadview

import (
	"fmt"
	"sync"
	"time"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/core"
	"github.com/hollowgrade/hollowgrade/internal/wire"
	"github.com/hollowgrade/hollowgrade/peer"
	"github.com/hollowgrade/hollowgrade/quarantine"
)

// Taker takes the words of peers into a fleet. It is safe for concurrent use.
type Taker struct {
	fleet *core.Fleet
	words *quarantine.Table // nil if nothing is taken of requests that were lost
	begun func()            // called when a peer begins to tell

	mu    sync.Mutex
	boxes map[string]*order // those that have a stream
}

// order is what is known of the messages of one life of a peer: those that come
// late must not undo later ones.
type order struct {
	last  uint64                      // the latest that has come
	share map[hollowgrade.Life]uint64 // the same for each upstream
}

// NewTaker returns a taker for a fleet.
func NewTaker(f *core.Fleet) *Taker {
	return &Taker{fleet: f, begun: func() {}, boxes: map[string]*order{}}
}

// OnBegin sets what is called when a peer begins to tell. It is called before any
// peer does.
func (t *Taker) OnBegin(f func()) {
	t.begun = f
}

// TakeWords sets what takes peers' words on requests that were lost. It is called before any peer tells.
func (t *Taker) TakeWords(q *quarantine.Table) {
	t.words = q
}

// suspicions takes the word of a peer on requests that were lost. It needs no stream and no order:
// each part says when it was so.
func (t *Taker) suspicions(m *wire.LoadView) {
	if m.Suspicions != nil && t.words != nil {
		t.words.Take(m.Box, decodeWord(m.Suspicions, t.words.Now()))
	}
}

// Stream takes a peer's word until its stream ends, and forgets it then. It is a
// part of a [peer.Handler].
func (t *Taker) Stream(s *peer.Stream, first *wire.LoadView) error {
	o := t.begin(first)
	defer t.end(first.Box, o)
	t.suspicions(first)
	t.begun()
	for {
		n, err := s.Receive()
		if err != nil {
			return err
		}
		m := n.GetLoadView()
		if m == nil || m.Box != first.Box {
			return fmt.Errorf("%w: a load of %s was due", peer.ErrBroken, first.Box)
		}
		t.take(m)
	}
}

// Packet takes a peer's word that came in a packet. Without a stream of the peer
// it is not taken: nothing would tell when it ends.
func (t *Taker) Packet(m *wire.LoadView) {
	t.take(m)
}

// begin takes the first word of a stream. No packet comes between: one that overtook it would
// leave it unknown for long whether all has been heard.
func (t *Taker) begin(first *wire.LoadView) *order {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := &order{share: map[hollowgrade.Life]uint64{}}
	t.boxes[first.Box] = o
	t.takeLocked(first)
	return o
}

// end forgets a peer, unless it has a newer stream.
func (t *Taker) end(box string, o *order) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.boxes[box] != o {
		return
	}
	delete(t.boxes, box)
	t.fleet.DropView(box)
}

func (t *Taker) take(m *wire.LoadView) {
	t.suspicions(m)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.takeLocked(m)
}

// takeLocked takes a word with the lock held.
func (t *Taker) takeLocked(m *wire.LoadView) {
	o := t.boxes[m.Box]
	if o == nil {
		return
	}
	ss := shares(m)
	for id := range ss {
		if m.Sequence < o.share[id] {
			delete(ss, id)
			continue
		}
		o.share[id] = m.Sequence
	}
	// One that was overtaken cannot tell what has come since.
	whole := m.Whole && m.Sequence >= o.last
	o.last = max(o.last, m.Sequence)
	t.fleet.ReceiveView(m.Box, ss, whole)
	if rs := readings(m); len(rs) > 0 {
		t.fleet.ReceivePrefillBacklogs(m.Box, rs)
	}
	for _, c := range m.Shares {
		if _, ok := ss[hollowgrade.Life(c.Upstream)]; ok {
			t.takeWord(m.Box, c)
		}
	}
}

// takeWord takes what a peer says of an upstream itself.
func (t *Taker) takeWord(box string, c *wire.LoadShare) {
	if c.AvoidMillis > 0 {
		t.fleet.ReceiveAtFault(box, hollowgrade.Life(c.Upstream), time.Duration(c.AvoidMillis)*time.Millisecond)
	}
	if c.PaceMilli > 0 {
		t.fleet.ReceivePace(hollowgrade.Life(c.Upstream), float64(c.PaceMilli)/paceUnit, time.Duration(c.PaceAgeMillis)*time.Millisecond, box, "")
	}
	if c.Leaving {
		t.fleet.ReceiveLeaving(box, hollowgrade.Life(c.Upstream))
	}
	if l := c.Limit; l != nil {
		t.fleet.ReceiveLimit(box, hollowgrade.Life(c.Upstream), core.RateLimit{
			Named: l.Named, PerSecond: l.PerSecond, Age: time.Duration(l.AgeMillis) * time.Millisecond, Relayed: l.Relayed,
		})
	}
}
