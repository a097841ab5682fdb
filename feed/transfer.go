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
	// minBusyDelay is the least delay before the next request after a busy reply. It doubles each
	// time up to maxBusyDelay.
	minBusyDelay = 20 * time.Millisecond
	maxBusyDelay = 320 * time.Millisecond
	// sameHallDelay is how long a process waits for a peer of its own hall to get a value that a
	// peer of another hall has, if its hall has a reader. The value then crosses each link between
	// halls about once. A change has to be in force within two seconds, of which about one is left
	// at this point.
	sameHallDelay = 150 * time.Millisecond
)

// errNoValue means that a peer no longer has a value.
var errNoValue = errors.New("peer does not have the value")

// transfer fetches one large value from the peers that have it, one at a time. If one peer is lost,
// the bytes received so far are kept and the next one continues from there.
type transfer struct {
	feed    *Feed
	key     string
	running bool
	latest  announcement // of the latest missing record
	holders []string     // peers to request from, the next one first
	formSum uint64       // identifies the encoding of the received bytes
	bytes   []byte
}

// fetchValue starts the transfer of a large value, or adds the peer to the holders of a running
// one.
func (r *Relay) fetchValue(ctx context.Context, f *Feed, l announcement, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.transfers[f]
	if t == nil || t.key != l.key && !t.running {
		t = &transfer{feed: f, key: l.key, latest: l}
		r.transfers[f] = t
	}
	if t.key != l.key {
		return // one value of a feed at a time
	}
	if !l.at.Before(t.latest.at) {
		t.latest = l
	}
	t.addHolders(address)
	if !t.running {
		t.running = true
		r.exchanges.Go(func() { r.runTransfer(ctx, t) })
	}
}

// transferring reports whether a transfer is running.
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

// stopIfDone stops a transfer if nothing is missing or no holder is left, and reports whether it
// did.
func (r *Relay) stopIfDone(t *transfer) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	missing := t.feed.isMissing(t.latest)
	if !missing {
		t.holders = nil // later records are announced again
	}
	t.running = missing && len(t.holders) > 0
	return !t.running
}

// addHolders adds peers that have the value. The caller holds the relay's lock.
func (t *transfer) addHolders(as ...string) {
	for _, a := range as {
		if !slices.Contains(t.holders, a) {
			t.holders = append(t.holders, a)
		}
	}
}

// nextHolder removes and returns the holder to request from, preferably one of the own hall.
func (r *Relay) nextHolder(t *transfer) (address string, near bool, l announcement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := slices.IndexFunc(t.holders, r.sameHall)
	near = i >= 0
	i = max(i, 0)
	address = t.holders[i]
	t.holders = slices.Delete(t.holders, i, i+1)
	return address, near, t.latest
}

// sameHall reports whether a peer is in this process's hall.
func (r *Relay) sameHall(address string) bool {
	return r.hall != "" && r.placeOf(address).Hall == r.hall
}

// runTransfer fetches a value until it is here or no holder is left. The next poll starts it again.
func (r *Relay) runTransfer(ctx context.Context, t *transfer) {
	r.waitForSameHall(ctx, t)
	for delay := minBusyDelay; !r.stopIfDone(t); {
		a, near, l := r.nextHolder(t)
		sent := r.clock.Now()
		v, err := r.request(ctx, t, a, l.at)
		switch {
		case err != nil:
			r.log.Warn("value of a peer not taken", "feed", t.feed.name, "key", t.key, "offset", l.at.Offset, "era", l.at.Era, "peer", a, "bytes", len(t.bytes),
				"took_ms", r.clock.Since(sent).Milliseconds(), "why", err)
		case v.busy:
			r.addHolders(t, append(slices.DeleteFunc(v.holders, func(h string) bool { return h == r.self }), a)...)
			hollowgrade.Sleep(ctx, r.clock, delay/2+rand.N(delay))
			delay = min(2*delay, maxBusyDelay)
		default:
			r.log.Info("value received", "feed", t.feed.name, "key", t.key, "offset", v.record.Offset, "era", v.record.Era, "bytes", len(v.record.Value), "sent_bytes", v.formBytes,
				"difference", v.difference, "peer", a, "same_hall", near, "took_ms", r.clock.Since(sent).Milliseconds())
			t.feed.mergeValue(v.record, l, a)
			r.addHolders(t, a) // for a later value that was announced meanwhile
			r.exchanges.Go(func() { r.poll(ctx, a) })
		}
	}
}

func (r *Relay) addHolders(t *transfer, as ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.addHolders(as...)
}

// waitForSameHall gives a peer of the own hall time to get the value first.
func (r *Relay) waitForSameHall(ctx context.Context, t *transfer) {
	r.mu.Lock()
	near := slices.ContainsFunc(t.holders, r.sameHall)
	r.mu.Unlock()
	if !near && slices.ContainsFunc(r.readers(), r.sameHall) {
		hollowgrade.Sleep(ctx, r.clock, sameHallDelay)
	}
}

// valueReply is a peer's reply to a request for a value.
type valueReply struct {
	record     hollowgrade.KeyedRecord
	formBytes  int64
	difference bool // whether it was sent as the difference from an earlier value
	busy       bool
	holders    []string
}

// request requests the value of the record at the position, or of a later one, from a peer.
func (r *Relay) request(ctx context.Context, t *transfer, address string, at hollowgrade.Position) (v valueReply, err error) {
	defer errs.Annotate(&err, "ask peer %s for a value", address)
	d, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	c, err := r.conn(d, address)
	if err != nil {
		return v, err
	}
	base, known := t.feed.value(t.key)
	q := &wire.ValueRequest{Feed: t.feed.name, Key: t.key, Form: t.formSum, From: int64(len(t.bytes)), Address: r.self, Hall: r.hall}
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
	v, err = t.receive(s, base, at)
	r.received.Add(s.Received())
	if err != nil {
		r.wasted.Add(s.Received())
		r.drop(address, c)
	}
	return v, err
}

// receive receives a peer's reply.
func (t *transfer) receive(s *peer.Stream, base hollowgrade.KeyedRecord, at hollowgrade.Position) (v valueReply, err error) {
	if err = s.Extend(stallTimeout); err != nil {
		return v, err
	}
	first, err := s.Receive()
	if err != nil {
		return v, errors.Join(errNoValue, err)
	}
	h := first.GetValueHead()
	got := hollowgrade.Position{Era: h.GetEra(), Offset: h.GetOffset()}
	switch {
	case h == nil:
		return v, errors.New("peer sent a frame that is not due")
	case h.Busy:
		return valueReply{busy: true, holders: h.Holders}, nil
	case got.Before(at):
		return v, fmt.Errorf("%w: it has offset %d of era %d", errNoValue, h.Offset, h.Era)
	case h.Size <= 0 || h.FormSize <= 0:
		return v, fmt.Errorf("%w: %d bytes, sent as %d", errDamaged, h.Size, h.FormSize)
	case h.Size > int64(t.feed.maxValueBytes) || h.FormSize > int64(t.feed.maxValueBytes):
		return v, fmt.Errorf("%d bytes, sent as %d, where %d are allowed", h.Size, h.FormSize, t.feed.maxValueBytes)
	}
	if err = t.resume(h); err != nil {
		return v, err
	}
	for int64(len(t.bytes)) < h.FormSize {
		if err = t.receiveChunk(s, h.FormSize); err != nil {
			return v, err
		}
	}
	b := t.bytes
	t.formSum, t.bytes = 0, nil
	if !h.Difference {
		base.Value = nil
	}
	value, err := decode(b, base.Value, int(h.Size), h.Sum)
	if err != nil {
		return v, err
	}
	return valueReply{record: hollowgrade.KeyedRecord{Key: t.key, Value: value, Position: got}, formBytes: h.FormSize, difference: h.Difference}, nil
}

// resume prepares for the bytes of an encoding, some of which may be here already.
func (t *transfer) resume(h *wire.ValueHead) error {
	if h.Form != t.formSum || h.From == 0 {
		t.formSum, t.bytes = h.Form, nil
	}
	if h.From != int64(len(t.bytes)) {
		t.formSum, t.bytes = 0, nil
		return fmt.Errorf("%w: it goes on from byte %d", errDamaged, h.From)
	}
	return nil
}

// receiveChunk receives the next chunk of an encoding of so many bytes.
func (t *transfer) receiveChunk(s *peer.Stream, size int64) error {
	if err := s.Extend(stallTimeout); err != nil {
		return err
	}
	m, err := s.Receive()
	if err != nil {
		return fmt.Errorf("cut after %d of %d bytes: %w", len(t.bytes), size, err)
	}
	c := m.GetChunk()
	if c == nil || len(c.Data) == 0 || int64(len(t.bytes)+len(c.Data)) > size {
		t.formSum, t.bytes = 0, nil
		return fmt.Errorf("%w: a frame that is not due after %d of %d bytes", errDamaged, len(t.bytes), size)
	}
	t.bytes = append(t.bytes, c.Data...)
	return nil
}
