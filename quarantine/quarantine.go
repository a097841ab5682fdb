// Package quarantine knows requests that seem to end the upstreams which run them. A request
// is known by its fingerprint, over all its arrivals, ids and gateways.
//
// A run that ends with the connection to its upstream is a loss, and speaks against its request; a
// run that brings an answer of the upstream, whatever it says, speaks for it and clears it. Losses
// count one after another: a run counts that was sent after the loss before it, so that the end of
// many upstreams at one moment counts once. After three of them the request is held for
// a time that depends on how likely three such losses are for a harmless request while upstreams
// end as often as they do. After two of them, or once upstreams have ended under it at three moments, one run
// of it is let through at a time, by all gateways together.
//
// The package decides and keeps; package loadview tells other gateways, package node the
// platform's store.
package quarantine

import (
	"time"

	"github.com/hollowgrade/hollowgrade"
)

// Subject is what is known of a request beside its fingerprint, for operators.
type Subject struct {
	Fingerprint  hollowgrade.Fingerprint
	Organisation string
	Route        string
	Service      string
}

// Loss is a run that ended with the connection to its upstream.
type Loss struct {
	Subject
	Upstream hollowgrade.Life
	Engines  int // that had a part in the run: the upstream and those that read parts for it
	Sent     time.Time
	Lost     time.Time
}

// Harmless is a run after which the upstream still answered.
type Harmless struct {
	Fingerprint hollowgrade.Fingerprint
	At          time.Time
}

// Trial is a run that is let through alone.
type Trial struct {
	Fingerprint hollowgrade.Fingerprint
	At          time.Time
	Over        bool
}

// Hold is the verdict on a request: it is not sent to any upstream for a while.
type Hold struct {
	Subject
	Since     time.Time
	Until     time.Time
	Losses    int                // one after another, without a harmless run between
	Odds      float64            // of as many losses in a row for a harmless request
	Upstreams []hollowgrade.Life // that ended, the latest last
	By        string             // the gateway that reached the verdict
}

// Word is what gateways tell each other.
type Word struct {
	Losses   []Loss
	Harmless []Harmless
	Trials   []Trial
	Holds    []Hold
}

// Empty reports whether there is nothing in the word.
func (w Word) Empty() bool {
	return len(w.Losses)+len(w.Harmless)+len(w.Trials)+len(w.Holds) == 0
}

// Plus returns what both words say.
func (w Word) Plus(o Word) Word {
	w.Losses = append(w.Losses[:len(w.Losses):len(w.Losses)], o.Losses...)
	w.Harmless = append(w.Harmless[:len(w.Harmless):len(w.Harmless)], o.Harmless...)
	w.Trials = append(w.Trials[:len(w.Trials):len(w.Trials)], o.Trials...)
	w.Holds = append(w.Holds[:len(w.Holds):len(w.Holds)], o.Holds...)
	return w
}
