package fairness

import "time"

const (
	// maxEntries bounds the entries that are kept of one peer. It exceeds those that a gateway has of
	// its own.
	maxEntries = 512
	// maxBoxes bounds the peers whose summaries are kept. A cell has fewer.
	maxBoxes = 128
)

// peers is what other gateways told.
type peers struct {
	decay decay
	boxes map[string]map[key]sums
	total map[key]sums // of all boxes, so that a decision visits each party once
}

func newPeers(d decay) *peers {
	return &peers{decay: d, boxes: map[string]map[key]sums{}, total: map[key]sums{}}
}

// set replaces what a peer told of a party.
func (p *peers) set(b map[key]sums, k key, s sums) {
	p.remove(b, k)
	b[k] = s
	p.total[k] = p.decay.at(p.total[k], s.at).plus(s)
}

// remove removes what a peer told of a party.
func (p *peers) remove(b map[key]sums, k key) {
	s, ok := b[k]
	if !ok {
		return
	}
	delete(b, k)
	t := p.total[k]
	t = t.minus(p.decay.at(s, t.at))
	if t.asked+t.got+t.usual < negligible {
		delete(p.total, k)
		return
	}
	p.total[k] = t
}

// negligible is a sum, in seconds, that is due to rounding.
const negligible = 1e-6

// Receive applies a peer's summary. Box identifies one instance of the peer. Entries that can't be of
// an account are ignored, and so are those beyond what is kept of one peer.
func (a *Account) Receive(box string, s Summary, now time.Time) {
	if box == "" || s.Empty() {
		return
	}
	b := a.peers.boxes[box]
	if b == nil {
		if len(a.peers.boxes) >= maxBoxes {
			return
		}
		b = map[key]sums{}
		a.peers.boxes[box] = b
	}
	a.peers.forgetOld(b, now)
	for _, e := range s.entries {
		k := e.key()
		if _, ok := b[k]; !e.valid() || !ok && len(b) >= maxEntries {
			continue
		}
		a.peers.set(b, k, sums{at: now, asked: e.Asked.Seconds(), got: e.Got.Seconds(), usual: e.Usual.Seconds()})
	}
}

// forgetOld removes entries of a peer that have decayed.
func (p *peers) forgetOld(b map[key]sums, now time.Time) {
	for k, s := range b {
		if s = p.decay.at(s, now); s.asked+s.got < leastTold.Seconds() {
			p.remove(b, k)
		}
	}
}

// Drop removes the entries of a peer that is gone.
func (a *Account) Drop(box string) {
	b, ok := a.peers.boxes[box]
	if !ok {
		return
	}
	for k := range b {
		a.peers.remove(b, k)
	}
	delete(a.peers.boxes, box)
	a.factors = factors{}
}
