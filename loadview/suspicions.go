package loadview

import (
	"bytes"
	"net/netip"
	"slices"
	"time"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/internal/wire"
	"github.com/hollowgrade/hollowgrade/quarantine"
)

// Bounds of the entries of each kind in one packet. With names of the usual length a loss takes
// some 90 bytes and a block 220, and what is sent at a time is mostly of one kind. A part takes up to
// 18 bytes more, and one of the usual length 6.
const (
	maxEntriesPerPacket = 14
	maxBlocksPerPacket  = 5
	partsPerEntry       = 5 // that take as much as a loss
)

// maxPendingEntries bounds the entries of each kind that wait for the next heartbeat to a peer; the
// newest are kept.
const maxPendingEntries = 1024

// splitUpdate splits an update into parts that fit into packets.
func splitUpdate(w quarantine.Update) (ps []quarantine.Update) {
	for !w.Empty() {
		var p quarantine.Update
		p.Losses, w.Losses = cut(w.Losses, lossesPerPacket(w.Losses))
		p.Harmless, w.Harmless = cut(w.Harmless, maxEntriesPerPacket)
		p.Trials, w.Trials = cut(w.Trials, maxEntriesPerPacket)
		p.Blocks, w.Blocks = cut(w.Blocks, blocksPerPacket(w.Blocks))
		ps = append(ps, p)
	}
	return ps
}

// lossesPerPacket returns how many of some losses fit into a packet, by the parts that they name.
func lossesPerPacket(ls []quarantine.Loss) (n int) {
	left := maxEntriesPerPacket * partsPerEntry
	for _, l := range ls {
		if left -= partsPerEntry + len(l.Parts); left < 0 && n > 0 {
			break
		}
		n++
	}
	return n
}

// blocksPerPacket returns how many of some blocks fit into a packet: one alone if it names parts.
func blocksPerPacket(hs []quarantine.Block) int {
	i := slices.IndexFunc(hs, func(h quarantine.Block) bool { return len(h.With) > 0 })
	if i < 0 {
		return maxBlocksPerPacket
	}
	return min(max(i, 1), maxBlocksPerPacket)
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
			SentAgeMicros: age(l.Sent), LostAgeMicros: age(l.Lost), Parts: encodeParts(l.Parts)})
	}
	for _, h := range w.Harmless {
		f, p := encodeSuspect(h.Suspect)
		m.Answered = append(m.Answered, &wire.RunAnswered{Fingerprint: f, Part: p, Service: h.Service, AgeMicros: age(h.At)})
	}
	for _, x := range w.Trials {
		f, p := encodeSuspect(x.Suspect)
		m.Trials = append(m.Trials, &wire.RunAlone{Fingerprint: f, Part: p, Service: x.Service, AgeMicros: age(x.At), Over: x.Over})
	}
	for _, h := range w.Blocks {
		m.Holds = append(m.Holds, &wire.RequestHeld{Subject: encodeSubject(h.Subject), AgeMicros: age(h.Since), LeftMicros: -age(h.Until),
			Losses: int32(h.Losses), Odds: h.Odds, Upstreams: convert[string](h.Upstreams), By: h.By, With: encodeParts(h.With)})
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
	f, p := encodeSuspect(s.Suspect())
	return &wire.Subject{Fingerprint: f, Part: p, Organisation: s.Organisation, Route: s.Route, Service: s.Service}
}

// encodeSuspect returns the fingerprint of a request or the id of a part. A gateway that knows no parts
// ignores what has no fingerprint.
func encodeSuspect(s quarantine.Suspect) (fingerprint, part []byte) {
	if s.Kind == quarantine.KindPart {
		return nil, encodePart(hollowgrade.PartID(s.Fingerprint))
	}
	return s.Fingerprint[:], nil
}

func encodePart(p hollowgrade.PartID) []byte {
	b := bytes.TrimLeft(p[:], "\x00")
	return p[min(len(p)-len(b), len(p)-1):]
}

func encodeParts(ps []hollowgrade.PartID) (bs [][]byte) {
	for _, p := range ps {
		bs = append(bs, encodePart(p))
	}
	return bs
}

// decodeUpdate decodes an update that was received now. Entries without a complete fingerprint are
// ignored.
func decodeUpdate(m *wire.Suspicions, now time.Time) (w quarantine.Update) {
	at := func(age int64) time.Time { return now.Add(-time.Duration(age) * time.Microsecond) }
	for _, l := range m.GetLosses() {
		if s, ok := decodeSubject(l.Subject); ok && s.Kind == quarantine.KindRequest {
			q := quarantine.Request{Subject: s, Parts: decodeParts(l.Parts)}
			w.Losses = append(w.Losses, quarantine.Loss{Request: q, Upstream: hollowgrade.Instance(l.Upstream), Engines: int(l.Engines),
				Sent: at(l.SentAgeMicros), Lost: at(max(l.LostAgeMicros, 0))})
		}
	}
	for _, h := range m.GetAnswered() {
		if s, ok := decodeSuspect(h.Fingerprint, h.Part, h.Service); ok {
			w.Harmless = append(w.Harmless, quarantine.Harmless{Suspect: s, At: at(max(h.AgeMicros, 0))})
		}
	}
	for _, x := range m.GetTrials() {
		if s, ok := decodeSuspect(x.Fingerprint, x.Part, x.Service); ok {
			w.Trials = append(w.Trials, quarantine.Trial{Suspect: s, At: at(max(x.AgeMicros, 0)), Over: x.Over})
		}
	}
	for _, h := range m.GetHolds() {
		if s, ok := decodeSubject(h.Subject); ok {
			w.Blocks = append(w.Blocks, quarantine.Block{Subject: s, Since: at(max(h.AgeMicros, 0)), Until: at(-h.LeftMicros),
				Losses: int(h.Losses), Odds: h.Odds, Upstreams: convert[hollowgrade.Instance](h.Upstreams), By: h.By, With: decodeParts(h.With)})
		}
	}
	return w
}

func decodeSubject(m *wire.Subject) (s quarantine.Subject, ok bool) {
	x, ok := decodeSuspect(m.GetFingerprint(), m.GetPart(), m.GetService())
	return quarantine.Subject{Kind: x.Kind, Fingerprint: x.Fingerprint, Organisation: m.GetOrganisation(), Route: m.GetRoute(), Service: m.GetService()}, ok
}

// decodeSuspect decodes a request, or a part if there is no fingerprint.
func decodeSuspect(fingerprint, part []byte, service string) (s quarantine.Suspect, ok bool) {
	if len(fingerprint) > 0 {
		s.Fingerprint, ok = decodeFingerprint(fingerprint)
		return s, ok
	}
	p, ok := decodePart(part)
	return quarantine.Suspect{Kind: quarantine.KindPart, Fingerprint: hollowgrade.Fingerprint(p), Service: service}, ok && service != ""
}

func decodePart(b []byte) (p hollowgrade.PartID, ok bool) {
	if len(b) == 0 || len(b) > len(p) {
		return p, false
	}
	copy(p[len(p)-len(b):], b)
	return p, true
}

// decodeParts decodes the parts of a prompt. Those that aren't valid are ignored.
func decodeParts(bs [][]byte) (ps []hollowgrade.PartID) {
	for _, b := range bs[:min(len(bs), hollowgrade.MaxParts)] {
		if p, ok := decodePart(b); ok {
			ps = append(ps, p)
		}
	}
	return ps
}

func decodeFingerprint(b []byte) (f hollowgrade.Fingerprint, ok bool) {
	copy(f[:], b)
	return f, len(b) == len(f)
}
