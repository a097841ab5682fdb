package feed

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hollowgrade/hollowgrade/internal/errs"
	"github.com/hollowgrade/hollowgrade/internal/wire"
	"github.com/hollowgrade/hollowgrade/peer"
)

const (
	// slotMbit is how much of a link one transfer of a value is given, in Mbit/s, and
	// fewestSlots and mostSlots how many transfers a process makes at a time. A
	// narrow link that serves two at a time lets a fleet of n have a value after
	// log3(n) rounds; all at a time would keep each of them waiting for the last.
	slotMbit    = 25
	fewestSlots = 2
	mostSlots   = 8
	// keptHolders is how many processes that have taken a value are remembered, and
	// namedHolders how many of them a busy process names.
	keptHolders  = 32
	namedHolders = 4
	// chunkBytes is how much of a value goes into one frame: 6.5 ms of a link of
	// 20 Mbit/s, for which other exchanges on the connection wait at the most.
	chunkBytes = 16 << 10
	// stallTimeout is how long a transfer may stand still, a process that was paused
	// for a moment among the reasons.
	stallTimeout = time.Second
	// unknownAge is told where an excerpt does not reach the end of a view.
	unknownAge = 24 * time.Hour
)

// Server answers peers: with excerpts of feeds, and with large values.
type Server struct {
	feeds []*Feed
	slots int

	mu      sync.Mutex
	busy    int
	holders []holder // that have taken a value from here, latest first
}

// holder is a process that has a value.
type holder struct {
	address, hall string
	feed, key     string
	offset        int64
}

// NewServer returns a server for feeds at a box with a link of so many Mbit/s, 0 if
// that is not known.
func NewServer(link float64, fs ...*Feed) *Server {
	return &Server{feeds: fs, slots: min(max(int(link/slotMbit), fewestSlots), mostSlots)}
}

// Serve answers one exchange that a peer has opened. It is a part of a
// [peer.Handler].
func (s *Server) Serve(t *peer.Stream, first *wire.Frame) error {
	switch b := first.Body.(type) {
	case *wire.Frame_FeedRequest:
		return s.tell(t, b.FeedRequest)
	case *wire.Frame_ValueRequest:
		return s.give(t, b.ValueRequest)
	default:
		return fmt.Errorf("%w: a request for feeds or for a value was due", peer.ErrBroken)
	}
}

// tell answers with an excerpt of each feed that is known here.
func (s *Server) tell(t *peer.Stream, q *wire.FeedRequest) (err error) {
	defer errs.Annotate(&err, "answer with feeds")
	unserved := !allServed(s.feeds)
	for _, o := range q.Positions {
		f := named(s.feeds, o.Feed)
		if f == nil {
			continue
		}
		p, ok := f.excerptFrom(o.Next)
		if !ok || f.lostNow() && o.Next > 0 {
			continue // the store's newest is not known here, and the peer knows something
		}
		if err = t.Send(reply(f.Name(), p, unserved)); err != nil {
			return err
		}
	}
	return t.Finish()
}

func reply(name string, p excerpt, unserved bool) *wire.Frame {
	m := &wire.FeedReply{Feed: name, Next: p.Next, End: p.End, AgeMicros: p.age.Microseconds(), Unserved: unserved}
	if p.Next < p.End {
		m.AgeMicros = unknownAge.Microseconds()
	}
	for _, k := range p.Records {
		m.Records = append(m.Records, &wire.FeedRecord{Key: k.Key, Value: k.Value, Offset: k.Offset})
	}
	if l := p.large; l != nil {
		m.Large = &wire.LargeRecord{Key: l.Key, Offset: l.Offset, Size: int64(len(l.Value))}
	}
	return &wire.Frame{Body: &wire.Frame_FeedReply{FeedReply: m}}
}

// give sends the newest value of a key, or says who else has it.
func (s *Server) give(t *peer.Stream, q *wire.ValueRequest) (err error) {
	defer errs.Annotate(&err, "send a value")
	f := named(s.feeds, q.Feed)
	if f == nil {
		return t.Finish()
	}
	r, ok := f.value(q.Key)
	if !ok || r.Dropped() {
		return t.Finish()
	}
	h := holder{address: q.Address, hall: q.Hall, feed: q.Feed, key: q.Key, offset: r.Offset}
	if !s.enter() {
		return s.refuse(t, h)
	}
	defer s.leave()
	base, offset := s.base(f, q)
	o, err := f.forms.get(r, offset, base)
	if err != nil {
		return err
	}
	m := &wire.ValueHead{Offset: r.Offset, Size: int64(len(r.Value)), Sum: xxhash.Sum64(r.Value), Difference: o.difference, Form: o.sum, FormSize: int64(len(o.bytes))}
	if q.Form == o.sum && q.From > 0 && q.From <= m.FormSize {
		m.From = q.From
	}
	if err = t.Send(&wire.Frame{Body: &wire.Frame_ValueHead{ValueHead: m}}); err != nil {
		return err
	}
	if err = sendForm(t, o.bytes[m.From:]); err != nil {
		return err
	}
	s.note(h)
	return t.Finish()
}

// base returns the value that a peer has, if it is known here and the same.
func (s *Server) base(f *Feed, q *wire.ValueRequest) (value []byte, offset int64) {
	if q.BaseSum == 0 {
		return nil, noBase
	}
	v, ok := f.base(q.Key, q.BaseOffset)
	if !ok || xxhash.Sum64(v) != q.BaseSum {
		return nil, noBase
	}
	return v, q.BaseOffset
}

// sendForm sends a form in pieces, each of which has to make way in time.
func sendForm(t *peer.Stream, b []byte) error {
	for len(b) > 0 {
		n := min(len(b), chunkBytes)
		if err := t.Extend(stallTimeout); err != nil {
			return err
		}
		if err := t.Send(peer.Chunk(b[:n], n == len(b))); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

func (s *Server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy >= s.slots {
		return false
	}
	s.busy++
	return true
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
}

// note remembers who has a value now.
func (s *Server) note(h holder) {
	if h.address == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holders = append([]holder{h}, s.holders...)
	s.holders = s.holders[:min(len(s.holders), keptHolders)]
}

// refuse tells a peer that no transfer can begin now, and who has the value, those
// in its own hall first.
func (s *Server) refuse(t *peer.Stream, h holder) error {
	s.mu.Lock()
	var near, far []string
	for _, o := range s.holders {
		switch {
		case o.feed != h.feed || o.key != h.key || o.offset != h.offset || o.address == h.address:
		case o.hall == h.hall:
			near = append(near, o.address)
		default:
			far = append(far, o.address)
		}
	}
	s.mu.Unlock()
	shuffle(near)
	shuffle(far)
	m := &wire.ValueHead{Busy: true, Holders: slices.Concat(near, far)}
	m.Holders = m.Holders[:min(len(m.Holders), namedHolders)]
	if err := t.Send(&wire.Frame{Body: &wire.Frame_ValueHead{ValueHead: m}}); err != nil {
		return err
	}
	return t.Finish()
}

func shuffle(as []string) {
	rand.Shuffle(len(as), func(i, j int) { as[i], as[j] = as[j], as[i] })
}
