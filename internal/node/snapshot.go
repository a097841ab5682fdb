package node

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/internal/errs"
	"github.com/hollowgrade/hollowgrade/internal/wire"
	"github.com/hollowgrade/hollowgrade/peer"
)

const (
	// peerTimeout bounds the dial to a peer, and how long it may send nothing. A whole snapshot has
	// no time limit: one of 3 MB, for 13,000 organisations, takes 1.2 s on a link of 20 Mbit/s, and
	// one that timed out would be requested again from the beginning with each poll.
	peerTimeout   = 2 * time.Second
	peersPerRound = 3 // asked for their configuration while the log is unavailable
	// maxSnapshotBytes bounds a snapshot: five times the size for 13,000 organisations.
	maxSnapshotBytes = 16 << 20
)

// Snapshots returns a function that asks a few agents one after another for their newest
// configuration, until one has a newer one. While one is silent, the next is asked beside it, and the first whole
// answer counts. Agents returns the agents' boxes as the platform lists them.
func Snapshots(agents func(context.Context) []hollowgrade.Box, dial peer.Dialer, g *log.Logger) func(context.Context, int64) [][]byte {
	first := 0
	return func(ctx context.Context, newer int64) (bs [][]byte) {
		as := agents(ctx)
		first += peersPerRound
		r := &snapshotRound{dial: dial, log: g, newer: newer, timeout: peerTimeout, results: make(chan []byte, peersPerRound)}
		for i := range min(peersPerRound, len(as)) {
			r.unasked = append(r.unasked, as[(first+i)%len(as)].Peer)
		}
		if b := r.run(ctx); len(b) > 0 {
			return [][]byte{b} // the next poll asks other agents for an even newer one
		}
		return nil
	}
}

// errPeersSilent is why a round ends before its peers have answered.
var errPeersSilent = errors.New("all peers that were asked are silent")

// snapshotRound asks a few peers for a snapshot.
type snapshotRound struct {
	dial    peer.Dialer
	log     *log.Logger
	newer   int64
	timeout time.Duration // without a byte, after which the next peer is asked
	giveUp  func()
	results chan []byte // receives what each peer sent, nothing if it failed or has nothing newer

	mu      sync.Mutex
	unasked []string     // addresses
	silent  map[int]bool // the peers that are being asked, by how many are left after each, and whether they are silent
}

// run returns the first snapshot, or nothing if no peer sends one.
func (r *snapshotRound) run(ctx context.Context) []byte {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.giveUp = func() { cancel(errPeersSilent) }
	r.silent = map[int]bool{}
	for running := r.askNext(ctx); running > 0; {
		b := <-r.results
		if len(b) > 0 {
			return b
		}
		running = r.askNext(ctx)
	}
	return nil
}

// askNext asks the next peer, if there is one, and returns how many are being asked.
func (r *snapshotRound) askNext(ctx context.Context) (running int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.unasked) > 0 {
		a := r.unasked[0]
		r.unasked = r.unasked[1:]
		n := len(r.unasked)
		r.silent[n] = false
		go r.ask(ctx, n, a)
	}
	return len(r.silent)
}

func (r *snapshotRound) ask(ctx context.Context, n int, address string) {
	b, err := fetchSnapshot(ctx, r.dial, address, r.newer, r.timeout, func(silent bool) (goOn bool) { return r.note(ctx, n, silent) })
	if c := context.Cause(ctx); err != nil && (c == nil || errors.Is(c, errPeersSilent)) {
		r.log.Warn("snapshot of a peer not received", "peer", address, "newer_than", r.newer, "bytes", len(b), "err", err)
	}
	if err != nil {
		b = nil
	}
	r.mu.Lock()
	delete(r.silent, n)
	r.mu.Unlock()
	r.results <- b
}

// note notes whether a peer is silent. It reports whether that peer is waited for: until all peers have been
// asked and are silent.
func (r *snapshotRound) note(ctx context.Context, n int, silent bool) (goOn bool) {
	r.mu.Lock()
	r.silent[n] = silent
	more := len(r.unasked) > 0
	all := !slices.Contains(slices.Collect(maps.Values(r.silent)), false)
	r.mu.Unlock()
	switch {
	case silent && more:
		r.askNext(ctx)
	case all && !more:
		r.giveUp()
	}
	return more || !all
}

// fetchSnapshot requests a snapshot from a peer. Each time that the peer has sent nothing for timeout, it calls
// note, and gives up if that returns false; it calls note as well when the peer goes on. It also returns the
// bytes received before an error.
func fetchSnapshot(ctx context.Context, dial peer.Dialer, address string, newer int64, timeout time.Duration, note func(silent bool) (goOn bool)) (b []byte, err error) {
	defer errs.Annotate(&err, "ask peer %s for a snapshot", address)
	d, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c, err := peer.Dial(d, dial, address)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	s, err := c.Open(&wire.Frame{Body: &wire.Frame_FoldRequest{FoldRequest: &wire.FoldRequest{NewerThan: newer}}})
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	defer endOnSilence(s, timeout, note)()
	for {
		f, err := s.Receive()
		if err != nil {
			return b, err
		}
		k := f.GetChunk()
		if k == nil {
			return b, errors.New("peer sent something else")
		}
		if b = append(b, k.Data...); len(b) > maxSnapshotBytes {
			return b, fmt.Errorf("over %d bytes", maxSnapshotBytes)
		}
		if k.Last {
			return b, nil
		}
	}
}

// endOnSilence watches an exchange until the returned function is called. Each time that nothing has arrived
// for timeout, and when something arrives again, it calls note; it ends the exchange if that returns false.
func endOnSilence(s *peer.Stream, timeout time.Duration, note func(silent bool) (goOn bool)) (stop func()) {
	const checks = 10 // in each timeout
	w := &silenceWatch{stream: s, timeout: timeout, note: note, since: time.Now()}
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		t := time.NewTicker(timeout / checks)
		defer t.Stop()
		for w.check() {
			select {
			case <-done:
				return
			case <-t.C:
			}
		}
		s.Abort()
	}()
	return func() {
		close(done)
		<-ended
	}
}

// silenceWatch is what endOnSilence knows of an exchange.
type silenceWatch struct {
	stream  *peer.Stream
	timeout time.Duration
	note    func(silent bool) (goOn bool)

	received int64     // bytes at the last check
	since    time.Time // when something arrived, or silence was noted
	silent   bool
}

// check reports whether the exchange goes on.
func (w *silenceWatch) check() bool {
	now, n := time.Now(), w.stream.Received()
	if n != w.received {
		wasSilent := w.silent
		w.received, w.since, w.silent = n, now, false
		return !wasSilent || w.note(false)
	}
	if now.Sub(w.since) < w.timeout {
		return true
	}
	w.since, w.silent = now, true
	return w.note(true)
}
