// Package quarantine blocks requests that crash the upstreams which run them. What crashes them may
// be a whole request, identified by its fingerprint whatever its id and whichever gateway it arrives
// at, or a part of the prompt that requests share which are otherwise distinct.
//
// A run that is lost because its upstream crashed is a loss of its request and of each shared part.
// Any answer of the upstream, even an error, clears the request, and a successful one its parts.
// Losses are consecutive only if each run was sent after the loss before it, so that many upstreams
// that crash at the same time count once. After three consecutive losses a suspect is blocked for a
// time that depends on how probable they are for a harmless one at the current crash rate. After two,
// or after crashes at three separate times, all gateways together admit one run with it at a time.
//
// A part is suspected only of crashes that no single request and no rarer part accounts for, and of
// crashes that a block explains nothing else is suspected.
//
// A blocked request is called held in settings, help, keys of records and log messages.
//
// The package decides and keeps the state; package loadview exchanges it between gateways, and
// package node writes it to the platform's store.
package quarantine

import (
	"time"

	"github.com/hollowgrade/hollowgrade"
)

// Loss is a run that was lost because its upstream crashed.
type Loss struct {
	Request
	Upstream hollowgrade.Instance
	Engines  int // that took part in the run: the upstream and those that prefilled parts of the prompt for it
	Sent     time.Time
	Lost     time.Time
}

// of returns the loss as one of a part of the prompt.
func (l Loss) of(p hollowgrade.PartID) Loss {
	l.Request = Request{Subject: l.part(p)}
	return l
}

// Harmless clears a suspect of its losses up to a time: a run with it was answered, or an operator
// lifted its block.
type Harmless struct {
	Suspect
	At time.Time
}

// Trial is the start or the end of a run that is admitted alone.
type Trial struct {
	Suspect
	At   time.Time
	Over bool
}

// Block is a block on a request, or on all requests with a part of prompts: they are sent to no
// upstream until the block expires.
type Block struct {
	Subject
	With      []hollowgrade.PartID // that a prompt must have beside the blocked one; not told apart from it yet
	Since     time.Time
	Until     time.Time
	Losses    int                    // consecutive
	Odds      float64                // probability that a harmless request has as many consecutive losses
	Upstreams []hollowgrade.Instance // that crashed, the latest last
	By        string                 // the gateway that decided on the block
}

// Update is an update that gateways send to each other.
type Update struct {
	Losses   []Loss
	Harmless []Harmless
	Trials   []Trial
	Blocks   []Block
}

// Empty reports whether the update has no entries.
func (w Update) Empty() bool {
	return len(w.Losses)+len(w.Harmless)+len(w.Trials)+len(w.Blocks) == 0
}

// Plus returns the entries of both updates.
func (w Update) Plus(o Update) Update {
	w.Losses = append(w.Losses[:len(w.Losses):len(w.Losses)], o.Losses...)
	w.Harmless = append(w.Harmless[:len(w.Harmless):len(w.Harmless)], o.Harmless...)
	w.Trials = append(w.Trials[:len(w.Trials):len(w.Trials)], o.Trials...)
	w.Blocks = append(w.Blocks[:len(w.Blocks):len(w.Blocks)], o.Blocks...)
	return w
}
