package node

import (
	"context"
	"errors"
	"fmt"
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
// configuration, until one has a newer one. Agents returns the agents' boxes as the platform lists
// them.
func Snapshots(agents func(context.Context) []hollowgrade.Box, dial peer.Dialer, g *log.Logger) func(context.Context, int64) [][]byte {
	first := 0
	return func(ctx context.Context, newer int64) (bs [][]byte) {
		as := agents(ctx)
		first += peersPerRound
		for i := range min(peersPerRound, len(as)) {
			a := as[(first+i)%len(as)].Peer
			b, err := fetchSnapshot(ctx, dial, a, newer, peerTimeout)
			switch {
			case err != nil:
				g.Warn("snapshot of a peer not received", "peer", a, "newer_than", newer, "bytes", len(b), "err", err)
			case len(b) > 0:
				return [][]byte{b} // the next poll asks other agents for an even newer one
			}
		}
		return nil
	}
}

// fetchSnapshot requests a snapshot from a peer, which may send nothing for up to timeout. It also
// returns the bytes received before an error.
func fetchSnapshot(ctx context.Context, dial peer.Dialer, address string, newer int64, timeout time.Duration) (b []byte, err error) {
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
	for {
		if err = s.Extend(timeout); err != nil {
			return b, err
		}
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
