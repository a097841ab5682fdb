// Package fairness keeps account of the prefill time that organisations, data halls and sizes of
// prompt asked for and got in the last seconds, and derives from it a factor on the worth of a
// prompt. Where engines have time for all, the factor is 1.
//
// An account is a pure function of what it is told and of the times passed in. It does no locking.
package fairness

import (
	"math/bits"
	"time"
)

const (
	// defaultWindow is the time constant of what was asked and got: long enough to hold several
	// prompts of each large organisation, short enough that a shortage is over soon after its end.
	defaultWindow = 8 * time.Second
	// defaultUsualWindow is the time constant of what an organisation usually asks for.
	defaultUsualWindow = 5 * time.Minute
	// defaultOrganisations bounds the organisations with an entry of their own.
	defaultOrganisations = 256
	// maxHalls bounds the data halls with an entry of their own.
	maxHalls = 32
	// maxPrefill bounds the prefill time of one prompt, as a guard against figures that are wrong.
	maxPrefill = 10 * time.Minute
	// maxNameBytes bounds a name, so that an account has a fixed size. Parties with longer names share
	// one entry.
	maxNameBytes = 64
)

// Bounds of factors.
const (
	// partyBound bounds the factor of an organisation and that of a data hall.
	partyBound = 2
	// sizeBound bounds the factor of a size. Worth a second falls with the length of a prompt, because
	// prefill time rises with its square; the bound exceeds the ratio between the shortest and the
	// longest prompts that are split.
	sizeBound = 16
)

// The sizes of prompts, in doublings from firstSizeTokens.
const (
	firstSizeTokens = 1024
	sizeClasses     = 16 // up to 32 million tokens
)

// SizeOf returns the size class of a prompt. Each class is twice as large as the one before.
func SizeOf(tokens int) int {
	return min(bits.Len(uint(max(tokens, 0)/firstSizeTokens)), sizeClasses-1)
}

// Party says whose prompt it is. Prompts without an organisation or a data hall are counted together.
type Party struct {
	Organisation string
	Hall         string // data hall that the caller came to
	Size         int    // size class, as [SizeOf] returns
}

// keys returns the entries that a prompt is counted under.
func (p Party) keys() [kinds]key {
	return [kinds]key{
		Organisation: {kind: Organisation, name: checkedName(p.Organisation)},
		Hall:         {kind: Hall, name: checkedName(p.Hall)},
		Size:         {kind: Size, size: min(max(p.Size, 0), sizeClasses-1)},
	}
}

// checkedName returns a name, or that of the common entry if it is too long.
func checkedName(s string) string {
	if len(s) > maxNameBytes {
		return restName
	}
	return s
}

// Account is what parties asked and got of all gateways that report to this one. It isn't safe for
// concurrent use.
type Account struct {
	window        time.Duration
	usualWindow   time.Duration
	organisations int

	started time.Time // of the account
	own     *tally
	peers   *peers
	prompts sums // of the prompts that arrived here: time as asked, and number as got
	factors factors
	shortAt time.Time // when something was short last
}

// Option configures an [Account].
type Option func(*Account)

// WithWindow sets the time constant of what was asked and got.
func WithWindow(d time.Duration) Option {
	return func(a *Account) { a.window = d }
}

// WithUsualWindow sets the time constant of what an organisation usually asks for.
func WithUsualWindow(d time.Duration) Option {
	return func(a *Account) { a.usualWindow = d }
}

// WithOrganisations sets how many organisations have an entry of their own: those that ask for the
// most time. The others share one.
func WithOrganisations(n int) Option {
	return func(a *Account) { a.organisations = n }
}

// New returns an empty account.
func New(os ...Option) *Account {
	a := &Account{
		window:        defaultWindow,
		usualWindow:   defaultUsualWindow,
		organisations: defaultOrganisations,
	}
	for _, o := range os {
		o(a)
	}
	a.own, a.peers = newTally(a.decay(), max(a.organisations, 1)), newPeers(a.decay())
	return a
}

func (a *Account) decay() decay {
	return decay{window: a.window.Seconds(), usualWindow: a.usualWindow.Seconds()}
}

// RecordAsked counts a prompt that arrived and takes one engine this long to prefill. What an
// organisation asks beyond its share during a shortage counts neither for its data hall and size,
// which would get more for it, nor as usual.
func (a *Account) RecordAsked(now time.Time, p Party, prefill time.Duration) {
	if prefill <= 0 {
		return
	}
	if a.started.IsZero() {
		a.started = now
	}
	a.refresh(now)
	x := min(prefill, maxPrefill).Seconds()
	ks := p.keys()
	counted := x * a.factors.entitledShare(ks[Organisation])
	a.own.add(now, ks[Organisation], sums{asked: x, usual: counted})
	a.own.add(now, ks[Hall], sums{asked: counted})
	a.own.add(now, ks[Size], sums{asked: counted})
	a.prompts = a.decay().at(a.prompts, now).plus(sums{asked: x, got: 1})
}

// RecordGot counts a prompt that was placed.
func (a *Account) RecordGot(now time.Time, p Party, prefill time.Duration) {
	if prefill <= 0 {
		return
	}
	x := min(prefill, maxPrefill).Seconds()
	for _, k := range p.keys() {
		a.own.add(now, k, sums{got: x})
	}
}

// Factor returns the factor on the worth of a prompt: 1 where nothing is short and for parties that
// got as much of what they asked as others, more for those that got less. It is below 1 for an
// organisation that asks for far more than usual while others are refused, and gets it.
func (a *Account) Factor(now time.Time, p Party) float64 {
	a.refresh(now)
	return a.factors.of(p)
}

// Short reports whether prompts of all gateways got notably less time than they asked for.
func (a *Account) Short(now time.Time) bool {
	a.refresh(now)
	return a.factors.weight > 0
}
