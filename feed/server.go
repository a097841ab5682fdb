package feed

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/internal/errs"
	"github.com/hollowgrade/hollowgrade/internal/wire"
	"github.com/hollowgrade/hollowgrade/peer"
)

const (
	// mbitPerSlot is the share of a link in Mbit/s for one transfer of a value, and minSlots and
	// maxSlots bound how many transfers a process makes at a time. On a narrow link two at a time
	// distribute a value to n processes in log3(n) rounds; with all at once, each would wait for
	// the last.
	mbitPerSlot = 25
	minSlots    = 2
	maxSlots    = 8
	// maxHolders is how many processes that have received a value are remembered, and
	// maxHoldersInReply how many of them a busy reply lists.
	maxHolders        = 32
	maxHoldersInReply = 4
	// maxChunkBytes is how much of a value goes into one frame: 6.5 ms of a link of 20 Mbit/s, the
	// longest that other exchanges on the connection wait for it.
	maxChunkBytes = 16 << 10
	// stallTimeout is how long a transfer may make no progress, for example while a process is
	// paused.
	stallTimeout = time.Second
	// unknownAge is sent as the age if an excerpt does not reach the end of a view.
	unknownAge = 24 * time.Hour
)

// Server answers peers with excerpts of feeds and with large values.
type Server struct {
	feeds    []*Feed
	slots    int
	forwards func() bool // whether this process passes on what a served process replies

	mu      sync.Mutex
	busy    int
	holders []holder // that received a value from this process, latest first
}

// holder is a process that has a value.
type holder struct {
	address, hall string
	feed, key     string
	at            hollowgrade.Position
}

// NewServer returns a server for feeds at a box with a link of so many Mbit/s, 0 if unknown.
func NewServer(link float64, fs ...*Feed) *Server {
	return &Server{feeds: fs, slots: min(max(int(link/mbitPerSlot), minSlots), maxSlots), forwards: func() bool { return false }}
}

// Serve answers one exchange that a peer has opened. It is meant to be called by a [peer.Handler].
func (s *Server) Serve(t *peer.Stream, first *wire.Frame) error {
	switch b := first.Body.(type) {
	case *wire.Frame_FeedRequest:
		return s.sendFeeds(t, b.FeedRequest)
	case *wire.Frame_ValueRequest:
		return s.sendValue(t, b.ValueRequest)
	default:
		return fmt.Errorf("%w: a request for feeds or for a value was due", peer.ErrBroken)
	}
}

// sendFeeds answers with an excerpt of each feed that is known here.
func (s *Server) sendFeeds(t *peer.Stream, q *wire.FeedRequest) (err error) {
	defer errs.Annotate(&err, "answer with feeds")
	unserved := !allServed(s.feeds)
	forwarded := unserved && s.forwards()
	for _, o := range q.Positions {
		f := feedByName(s.feeds, o.Feed)
		if f == nil {
			continue
		}
		p, ok := f.excerptFor(askedBy(o))
		if !ok || f.unconfirmedSinceFailure() && o.Next > 0 {
			continue // the view may be outdated, and the peer has one of its own
		}
		if err = t.Send(reply(f.Name(), p, unserved, forwarded)); err != nil {
			return err
		}
	}
	return t.Finish()
}

// askedBy returns the position that a peer asks for.
func askedBy(o *wire.FeedPosition) askedPosition {
	return askedPosition{era: o.Era, next: o.Next, lostSum: o.Displaced, dropsKnown: o.GetDropsKnown(), tellsDrops: o.DropsKnown != nil, keySum: o.Keys, listedTo: o.ListedTo}
}

func reply(name string, p excerpt, unserved, forwarded bool) *wire.Frame {
	m := &wire.FeedReply{Feed: name, Next: p.Next, End: p.End, AgeMicros: p.age.Microseconds(), Unserved: unserved, Forwarded: forwarded, Era: p.Era, DropsFrom: &p.dropsFrom, SameKeys: p.sameKeys}
	if p.startKnown {
		m.EraStart, m.EraBefore = &p.start, p.eraBefore
	}
	if p.Next < p.End {
		m.AgeMicros = unknownAge.Microseconds()
	}
	for _, k := range p.Records {
		m.Records = append(m.Records, &wire.FeedRecord{Key: k.Key, Value: k.Value, Offset: k.Offset, Era: k.Era})
	}
	if l := p.listing; l != nil {
		m.Listing = &wire.KeyListing{After: l.after, Keys: l.keys, Last: l.last}
	}
	if l := p.large; l != nil {
		m.Large = &wire.LargeRecord{Key: l.Key, Offset: l.Offset, Size: int64(len(l.Value)), Era: l.Era}
	}
	for _, k := range p.lost {
		d := &wire.FeedRecord{Key: k.Key, Value: k.Value, Offset: k.Offset, Era: k.Era}
		if isLarge(k) {
			d.Value, d.Size = nil, int64(len(k.Value))
		}
		m.Displaced = append(m.Displaced, d)
	}
	return &wire.Frame{Body: &wire.Frame_FeedReply{FeedReply: m}}
}

// sendValue sends the newest value of a key, or a list of other processes that have it.
func (s *Server) sendValue(t *peer.Stream, q *wire.ValueRequest) (err error) {
	defer errs.Annotate(&err, "send a value")
	f := feedByName(s.feeds, q.Feed)
	if f == nil {
		return t.Finish()
	}
	r, ok := f.value(q.Key)
	if !ok || r.Dropped() {
		return t.Finish()
	}
	h := holder{address: q.Address, hall: q.Hall, feed: q.Feed, key: q.Key, at: r.Position}
	if !s.acquireSlot() {
		return s.sendBusy(t, h)
	}
	defer s.releaseSlot()
	base, sum := s.base(f, q)
	o, err := f.encodings.get(r, base, sum)
	if err != nil {
		return err
	}
	m := &wire.ValueHead{Offset: r.Offset, Era: r.Era, Size: int64(len(r.Value)), Sum: xxhash.Sum64(r.Value), Difference: o.difference, Form: o.sum, FormSize: int64(len(o.bytes))}
	if q.Form == o.sum && q.From > 0 && q.From <= m.FormSize {
		m.From = q.From
	}
	if err = t.Send(&wire.Frame{Body: &wire.Frame_ValueHead{ValueHead: m}}); err != nil {
		return err
	}
	if err = sendEncoded(t, o.bytes[m.From:]); err != nil {
		return err
	}
	s.addHolder(h)
	return t.Finish()
}

// base returns the value that a peer has as a base and its checksum, if it is known here.
func (s *Server) base(f *Feed, q *wire.ValueRequest) (value []byte, sum uint64) {
	if q.BaseSum == 0 {
		return nil, 0
	}
	v, ok := f.base(q.Key, q.BaseOffset, q.BaseSum)
	if !ok {
		return nil, 0
	}
	return v, q.BaseSum
}

// sendEncoded sends an encoded value in chunks, each with its own deadline.
func sendEncoded(t *peer.Stream, b []byte) error {
	for len(b) > 0 {
		n := min(len(b), maxChunkBytes)
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

func (s *Server) acquireSlot() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy >= s.slots {
		return false
	}
	s.busy++
	return true
}

func (s *Server) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
}

// addHolder records a process that has a value.
func (s *Server) addHolder(h holder) {
	if h.address == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holders = append([]holder{h}, s.holders...)
	s.holders = s.holders[:min(len(s.holders), maxHolders)]
}

// sendBusy replies that no transfer can begin now and lists processes that have the value, those in
// the peer's hall first.
func (s *Server) sendBusy(t *peer.Stream, h holder) error {
	s.mu.Lock()
	var near, far []string
	for _, o := range s.holders {
		switch {
		case o.feed != h.feed || o.key != h.key || o.at != h.at || o.address == h.address:
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
	m.Holders = m.Holders[:min(len(m.Holders), maxHoldersInReply)]
	if err := t.Send(&wire.Frame{Body: &wire.Frame_ValueHead{ValueHead: m}}); err != nil {
		return err
	}
	return t.Finish()
}

func shuffle(as []string) {
	rand.Shuffle(len(as), func(i, j int) { as[i], as[j] = as[j], as[i] })
}
