package loadview

import (
	"net/netip"
	"time"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/internal/wire"
	"github.com/hollowgrade/hollowgrade/quarantine"
)

// Bounds of the entries of each kind in one packet. With names of the usual length a loss takes
// some 90 bytes and a block 220, and what is sent at a time is mostly of one kind.
const (
	maxEntriesPerPacket = 14
	maxBlocksPerPacket  = 5
)

// maxPendingEntries bounds the entries of each kind that wait for the next heartbeat to a peer; the
// newest are kept.
const maxPendingEntries = 1024

// splitUpdate splits an update into parts that fit into packets.
func splitUpdate(w quarantine.Update) (ps []quarantine.Update) {
	for !w.Empty() {
		var p quarantine.Update
		p.Losses, w.Losses = cut(w.Losses, maxEntriesPerPacket)
		p.Harmless, w.Harmless = cut(w.Harmless, maxEntriesPerPacket)
		p.Trials, w.Trials = cut(w.Trials, maxEntriesPerPacket)
		p.Blocks, w.Blocks = cut(w.Blocks, maxBlocksPerPacket)
		ps = append(ps, p)
	}
	return ps
}

// cut splits off at most the first n.
func cut[T any](l []T, n int) (first, rest []T) {
	n = min(len(l), n)
	return l[:n], l[n:]
}

// lastN returns at most the last n.
func lastN[T any](l []T, n int) []T {
	return l[max(len(l)-n, 0):]
}

// sendUpdate sends an update to all peers, in packets at once and with the next heartbeat.
func (s *Sender) sendUpdate(w quarantine.Update) {
	to := s.addUpdate(w)
	if s.packets == nil || len(to) == 0 {
		return
	}
	for _, p := range splitUpdate(w) {
		m := &wire.LoadView{Box: s.box, Suspicions: encodeUpdate(p, s.clock.Now())}
		if err := s.packets.Send(&wire.Frame{Body: &wire.Frame_LoadView{LoadView: m}}, to); err != nil {
			s.log.Debug("packet not sent; the next heartbeat has the same update", "err", err)
		}
	}
}

// addUpdate adds an update to what each started link has to send, and returns the packet addresses
// of these. A link that starts later sends the blocks in force then.
func (s *Sender) addUpdate(w quarantine.Update) (to []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		if !l.started {
			continue
		}
		l.update = l.update.Plus(w)
		l.update.Losses = lastN(l.update.Losses, maxPendingEntries)
		l.update.Harmless = lastN(l.update.Harmless, maxPendingEntries)
		l.update.Trials = lastN(l.update.Trials, maxPendingEntries)
		l.update.Blocks = lastN(l.update.Blocks, maxPendingEntries)
		if l.packets.IsValid() {
			to = append(to, l.packets)
		}
	}
	return to
}

// encodeUpdate encodes an update. Times are sent as ages, since the clocks of gateways differ.
func encodeUpdate(w quarantine.Update, now time.Time) *wire.Suspicions {
	if w.Empty() {
		return nil
	}
	age := func(t time.Time) int64 { return now.Sub(t).Microseconds() }
	m := &wire.Suspicions{}
	for _, l := range w.Losses {
		m.Losses = append(m.Losses, &wire.RunLost{Subject: encodeSubject(l.Subject), Upstream: string(l.Upstream), Engines: int32(l.Engines),
			SentAgeMicros: age(l.Sent), LostAgeMicros: age(l.Lost)})
	}
	for _, h := range w.Harmless {
		m.Answered = append(m.Answered, &wire.RunAnswered{Fingerprint: h.Fingerprint[:], AgeMicros: age(h.At)})
	}
	for _, x := range w.Trials {
		m.Trials = append(m.Trials, &wire.RunAlone{Fingerprint: x.Fingerprint[:], AgeMicros: age(x.At), Over: x.Over})
	}
	for _, h := range w.Blocks {
		m.Holds = append(m.Holds, &wire.RequestHeld{Subject: encodeSubject(h.Subject), AgeMicros: age(h.Since), LeftMicros: -age(h.Until),
			Losses: int32(h.Losses), Odds: h.Odds, Upstreams: convert[string](h.Upstreams), By: h.By})
	}
	return m
}

// convert converts strings to another string type.
func convert[T, F ~string](l []F) (c []T) {
	for _, x := range l {
		c = append(c, T(x))
	}
	return c
}

func encodeSubject(s quarantine.Subject) *wire.Subject {
	return &wire.Subject{Fingerprint: s.Fingerprint[:], Organisation: s.Organisation, Route: s.Route, Service: s.Service}
}

// decodeUpdate decodes an update that was received now. Entries without a complete fingerprint are
// ignored.
func decodeUpdate(m *wire.Suspicions, now time.Time) (w quarantine.Update) {
	at := func(age int64) time.Time { return now.Add(-time.Duration(age) * time.Microsecond) }
	for _, l := range m.GetLosses() {
		if s, ok := decodeSubject(l.Subject); ok {
			w.Losses = append(w.Losses, quarantine.Loss{Subject: s, Upstream: hollowgrade.Instance(l.Upstream), Engines: int(l.Engines),
				Sent: at(l.SentAgeMicros), Lost: at(max(l.LostAgeMicros, 0))})
		}
	}
	for _, h := range m.GetAnswered() {
		if f, ok := decodeFingerprint(h.Fingerprint); ok {
			w.Harmless = append(w.Harmless, quarantine.Harmless{Fingerprint: f, At: at(max(h.AgeMicros, 0))})
		}
	}
	for _, x := range m.GetTrials() {
		if f, ok := decodeFingerprint(x.Fingerprint); ok {
			w.Trials = append(w.Trials, quarantine.Trial{Fingerprint: f, At: at(max(x.AgeMicros, 0)), Over: x.Over})
		}
	}
	for _, h := range m.GetHolds() {
		if s, ok := decodeSubject(h.Subject); ok {
			w.Blocks = append(w.Blocks, quarantine.Block{Subject: s, Since: at(max(h.AgeMicros, 0)), Until: at(-h.LeftMicros),
				Losses: int(h.Losses), Odds: h.Odds, Upstreams: convert[hollowgrade.Instance](h.Upstreams), By: h.By})
		}
	}
	return w
}

func decodeSubject(m *wire.Subject) (s quarantine.Subject, ok bool) {
	f, ok := decodeFingerprint(m.GetFingerprint())
	return quarantine.Subject{Fingerprint: f, Organisation: m.GetOrganisation(), Route: m.GetRoute(), Service: m.GetService()}, ok
}

func decodeFingerprint(b []byte) (f hollowgrade.Fingerprint, ok bool) {
	copy(f[:], b)
	return f, len(b) == len(f)
}
