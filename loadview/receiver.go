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

// Receiver applies the updates of peers to a fleet. It is safe for concurrent use.
type Receiver struct {
	fleet      *core.Fleet
	quarantine *quarantine.Table // nil if updates on lost requests are ignored
	onStream   func()            // called when a peer opens its stream

	mu    sync.Mutex
	peers map[string]*sequences // peers that have a stream
}

// sequences tracks the messages of one instance of a peer: one that arrives late must not undo later
// ones.
type sequences struct {
	last       uint64                          // the highest sequence number received
	byUpstream map[hollowgrade.Instance]uint64 // the same for each upstream
	waits      uint64                          // the same for the prompts that wait at the peer
}

// NewReceiver returns a receiver for a fleet.
func NewReceiver(f *core.Fleet) *Receiver {
	return &Receiver{fleet: f, onStream: func() {}, peers: map[string]*sequences{}}
}

// OnStream sets the function that is called when a peer opens its stream. It must be called before
// any peer does.
func (t *Receiver) OnStream(f func()) {
	t.onStream = f
}

// SetQuarantine sets the table for updates on lost requests. It must be called before any peer
// connects.
func (t *Receiver) SetQuarantine(q *quarantine.Table) {
	t.quarantine = q
}

// receiveSuspicions applies a peer's update on lost requests. It needs no stream and no order,
// since each entry has its time.
func (t *Receiver) receiveSuspicions(m *wire.LoadView) {
	if m.Suspicions != nil && t.quarantine != nil {
		t.quarantine.Receive(m.Box, decodeUpdate(m.Suspicions, t.quarantine.Now()))
	}
}

// Stream applies a peer's messages until its stream ends, and drops its view then. It is part of a
// [peer.Handler].
func (t *Receiver) Stream(s *peer.Stream, first *wire.LoadView) error {
	o := t.openStream(first)
	defer t.closeStream(first.Box, o)
	t.receiveSuspicions(first)
	t.onStream()
	for {
		n, err := s.Receive()
		if err != nil {
			return err
		}
		m := n.GetLoadView()
		if m == nil || m.Box != first.Box {
			return fmt.Errorf("%w: a load of %s was due", peer.ErrBroken, first.Box)
		}
		t.receive(m)
	}
}

// Packet applies a peer's message from a packet. The load in it is ignored while the peer has no
// stream, since only the end of a stream shows that a peer is gone.
func (t *Receiver) Packet(m *wire.LoadView) {
	t.receive(m)
}

// openStream applies the first message of a stream. The lock is held throughout: if a packet
// overtook this message, the peer's whole view would count as known only with its next one.
func (t *Receiver) openStream(first *wire.LoadView) *sequences {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := &sequences{byUpstream: map[hollowgrade.Instance]uint64{}}
	t.peers[first.Box] = o
	t.receiveLocked(first)
	return o
}

// closeStream drops a peer's view, unless it has a newer stream.
func (t *Receiver) closeStream(box string, o *sequences) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.peers[box] != o {
		return
	}
	delete(t.peers, box)
	t.fleet.DropView(box)
}

func (t *Receiver) receive(m *wire.LoadView) {
	t.receiveSuspicions(m)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.receiveLocked(m)
}

// receiveLocked applies a message with the lock held.
func (t *Receiver) receiveLocked(m *wire.LoadView) {
	o := t.peers[m.Box]
	if o == nil {
		return
	}
	ss := decodeShares(m)
	for id := range ss {
		if m.Sequence < o.byUpstream[id] {
			delete(ss, id)
			continue
		}
		o.byUpstream[id] = m.Sequence
	}
	// A whole view that was overtaken lacks later changes.
	whole := m.Whole && m.Sequence >= o.last
	o.last = max(o.last, m.Sequence)
	t.fleet.ReceiveView(m.Box, ss, whole)
	if m.Waits != nil && m.Sequence >= o.waits {
		o.waits = m.Sequence
		t.fleet.ReceiveWaits(m.Box, decodeWaits(m.Waits, t.fleet.Now()))
	}
	if rs := decodePrefillBacklogs(m); len(rs) > 0 {
		t.fleet.ReceivePrefillBacklogs(m.Box, rs)
	}
	if len(m.Refused) > 0 {
		t.fleet.ReceiveRefusals(decodeRefusals(m.Refused, t.fleet.Now()))
	}
	for _, c := range m.Shares {
		if _, ok := ss[hollowgrade.Instance(c.Upstream)]; ok {
			t.receiveUpstream(m.Box, c)
		}
	}
}

// receiveUpstream applies what a peer reports of an upstream itself.
func (t *Receiver) receiveUpstream(box string, c *wire.LoadShare) {
	if c.AvoidMillis > 0 {
		t.fleet.ReceiveAtFault(box, hollowgrade.Instance(c.Upstream), time.Duration(c.AvoidMillis)*time.Millisecond)
	}
	if c.PaceMilli > 0 {
		t.fleet.ReceivePace(hollowgrade.Instance(c.Upstream), float64(c.PaceMilli)/paceUnit, time.Duration(c.PaceAgeMillis)*time.Millisecond, box, "")
	}
	if c.Leaving {
		t.fleet.ReceiveLeaving(box, hollowgrade.Instance(c.Upstream))
	}
	if l := c.Limit; l != nil {
		t.fleet.ReceiveLimit(box, hollowgrade.Instance(c.Upstream), core.RateLimit{
			Named: l.Named, PerSecond: l.PerSecond, Age: time.Duration(l.AgeMillis) * time.Millisecond, Relayed: l.Relayed,
		})
	}
}
