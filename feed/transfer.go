package feed

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/internal/errs"
	"github.com/hollowgrade/hollowgrade/internal/wire"
	"github.com/hollowgrade/hollowgrade/peer"
)

const (
	// busyPause is how long a process waits at the least before it asks on after a
	// peer that was busy, twice as long each time up to mostBusyPause.
	busyPause     = 20 * time.Millisecond
	mostBusyPause = 320 * time.Millisecond
	// nearPause is how long a process waits for a peer of its own hall to have a
	// value that one of another hall has, if its hall has a reader: so the value
	// crosses a link between halls about once. It is short of the second that is left
	// of the two in which a change has to be in force.
	nearPause = 150 * time.Millisecond
)

// errNotThere means that a peer does not have a value any more.
var errNotThere = errors.New("peer does not have the value")

// transfer is the bringing of one large value from the peers that have it, one at a
// time. What came of it before a peer was lost is kept, and another goes on from
// there.
type transfer struct {
	feed    *Feed
	key     string
	running bool
	offset  int64    // of the latest record that is missing
	holders []string // that are to be asked, the next one first
	form    uint64   // of which bytes came
	bytes   []byte
}

// bring lets a large value be brought, unless it is; then the peer is one more that
// has it.
func (r *Relay) bring(ctx context.Context, f *Feed, l *wire.LargeRecord, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.transfers[f]
	if t == nil || t.key != l.Key && !t.running {
		t = &transfer{feed: f, key: l.Key}
		r.transfers[f] = t
	}
	if t.key != l.Key {
		return // one after the other
	}
	t.offset = max(t.offset, l.Offset)
	t.add(address)
	if !t.running {
		t.running = true
		r.exchanges.Go(func() { r.carry(ctx, t) })
	}
}

// transferring reports whether a value is being brought.
func (r *Relay) transferring() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.transfers {
		if t.running {
			return true
		}
	}
	return false
}

// ended reports whether there is nothing left to bring, or nobody to ask; the
// transfer has stopped then.
func (r *Relay) ended(t *transfer) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	missing := t.feed.Next() <= t.offset
	if !missing {
		t.holders = nil // they are told anew of what comes next
	}
	t.running = missing && len(t.holders) > 0
	return !t.running
}

// add adds peers that have the value. The relay's lock is held.
func (t *transfer) add(as ...string) {
	for _, a := range as {
		if !slices.Contains(t.holders, a) {
			t.holders = append(t.holders, a)
		}
	}
}

// next takes the peer to ask now, one of the own hall if there is one.
func (r *Relay) next(t *transfer) (address string, near bool, offset int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := slices.IndexFunc(t.holders, r.near)
	near = i >= 0
	i = max(i, 0)
	address = t.holders[i]
	t.holders = slices.Delete(t.holders, i, i+1)
	return address, near, t.offset
}

// near reports whether a peer is in this process's hall.
func (r *Relay) near(address string) bool {
	return r.hall != "" && r.places(address).Hall == r.hall
}

// carry brings a value until it is here or nobody is left to ask. The next ask goes
// on then.
func (r *Relay) carry(ctx context.Context, t *transfer) {
	r.waitForNear(ctx, t)
	for pause := busyPause; !r.ended(t); {
		a, near, offset := r.next(t)
		sent := r.clock.Now()
		v, err := r.request(ctx, t, a, offset)
		switch {
		case err != nil:
			r.log.Warn("value of a peer not taken", "feed", t.feed.name, "key", t.key, "offset", offset, "peer", a, "bytes", len(t.bytes),
				"took_ms", r.clock.Since(sent).Milliseconds(), "why", err)
		case v.busy:
			r.addHolders(t, append(slices.DeleteFunc(v.holders, func(h string) bool { return h == r.self }), a)...)
			hollowgrade.Sleep(ctx, r.clock, pause/2+rand.N(pause))
			pause = min(2*pause, mostBusyPause)
		default:
			r.log.Info("value received", "feed", t.feed.name, "key", t.key, "offset", v.record.Offset, "bytes", len(v.record.Value), "sent_bytes", v.formBytes,
				"difference", v.part, "peer", a, "same_hall", near, "took_ms", r.clock.Since(sent).Milliseconds())
			t.feed.takeValue(v.record, offset, a)
			r.addHolders(t, a) // for a later value that has come meanwhile
			r.exchanges.Go(func() { r.ask(ctx, a) })
		}
	}
}

func (r *Relay) addHolders(t *transfer, as ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.add(as...)
}

// waitForNear gives a peer of the own hall the time to have the value first.
func (r *Relay) waitForNear(ctx context.Context, t *transfer) {
	r.mu.Lock()
	near := slices.ContainsFunc(t.holders, r.near)
	r.mu.Unlock()
	if !near && slices.ContainsFunc(r.readers(), r.near) {
		hollowgrade.Sleep(ctx, r.clock, nearPause)
	}
}

// brought is what a peer answered.
type brought struct {
	record    hollowgrade.KeyedRecord
	formBytes int64
	part      bool // whether it is what differs from the value before
	busy      bool
	holders   []string
}

// request asks a peer for the value of the record at the offset or a later one.
func (r *Relay) request(ctx context.Context, t *transfer, address string, offset int64) (v brought, err error) {
	defer errs.Annotate(&err, "ask peer %s for a value", address)
	d, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	c, err := r.conn(d, address)
	if err != nil {
		return v, err
	}
	base, known := t.feed.value(t.key)
	q := &wire.ValueRequest{Feed: t.feed.name, Key: t.key, BaseOffset: noBase, Form: t.form, From: int64(len(t.bytes)), Address: r.self, Hall: r.hall}
	if known && !base.Dropped() {
		q.BaseOffset, q.BaseSum = base.Offset, xxhash.Sum64(base.Value)
	}
	s, err := c.Open(&wire.Frame{Body: &wire.Frame_ValueRequest{ValueRequest: q}})
	if err != nil {
		r.drop(address, c)
		return v, err
	}
	defer s.Abort()
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	v, err = t.receive(s, base, offset)
	r.received.Add(s.Received())
	if err != nil {
		r.wasted.Add(s.Received())
		r.drop(address, c)
	}
	return v, err
}

// receive takes a peer's answer.
func (t *transfer) receive(s *peer.Stream, base hollowgrade.KeyedRecord, offset int64) (v brought, err error) {
	if err = s.Extend(stallTimeout); err != nil {
		return v, err
	}
	first, err := s.Receive()
	if err != nil {
		return v, errors.Join(errNotThere, err)
	}
	h := first.GetValueHead()
	switch {
	case h == nil:
		return v, errors.New("peer sent a frame that is not due")
	case h.Busy:
		return brought{busy: true, holders: h.Holders}, nil
	case h.Offset < offset:
		return v, fmt.Errorf("%w: it has offset %d", errNotThere, h.Offset)
	case h.Size <= 0 || h.FormSize <= 0:
		return v, fmt.Errorf("%w: %d bytes, sent as %d", errDamaged, h.Size, h.FormSize)
	case h.Size > int64(t.feed.most) || h.FormSize > int64(t.feed.most):
		return v, fmt.Errorf("%d bytes, sent as %d, where %d are allowed", h.Size, h.FormSize, t.feed.most)
	}
	if err = t.begin(h); err != nil {
		return v, err
	}
	for int64(len(t.bytes)) < h.FormSize {
		if err = t.more(s, h.FormSize); err != nil {
			return v, err
		}
	}
	b := t.bytes
	t.form, t.bytes = 0, nil
	if !h.Difference {
		base.Value = nil
	}
	value, err := decode(b, base.Value, int(h.Size), h.Sum)
	if err != nil {
		return v, err
	}
	return brought{record: hollowgrade.KeyedRecord{Key: t.key, Value: value, Offset: h.Offset}, formBytes: h.FormSize, part: h.Difference}, nil
}

// begin prepares for the bytes of a form, of which some may be here.
func (t *transfer) begin(h *wire.ValueHead) error {
	if h.Form != t.form || h.From == 0 {
		t.form, t.bytes = h.Form, nil
	}
	if h.From != int64(len(t.bytes)) {
		t.form, t.bytes = 0, nil
		return fmt.Errorf("%w: it goes on from byte %d", errDamaged, h.From)
	}
	return nil
}

// more takes the next piece of a form of so many bytes.
func (t *transfer) more(s *peer.Stream, size int64) error {
	if err := s.Extend(stallTimeout); err != nil {
		return err
	}
	m, err := s.Receive()
	if err != nil {
		return fmt.Errorf("cut after %d of %d bytes: %w", len(t.bytes), size, err)
	}
	c := m.GetChunk()
	if c == nil || len(c.Data) == 0 || int64(len(t.bytes)+len(c.Data)) > size {
		t.form, t.bytes = 0, nil
		return fmt.Errorf("%w: a frame that is not due after %d of %d bytes", errDamaged, len(t.bytes), size)
	}
	t.bytes = append(t.bytes, c.Data...)
	return nil
}
