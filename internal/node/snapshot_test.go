package node

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/internal/wire"
	"github.com/hollowgrade/hollowgrade/peer"
)

// listenSnapshotPeer listens as a peer that sends a snapshot in pieces, with a pause before each,
// and stops after some of them.
func listenSnapshotPeer(t *testing.T, pieces, sent int, pause time.Duration) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := peer.NewServer(func(ctx context.Context, s *peer.Stream, _ *wire.Frame) error {
		for i := range sent {
			time.Sleep(pause)
			if err := s.Send(peer.Chunk([]byte("piece"), i == pieces-1)); err != nil {
				return err
			}
		}
		<-ctx.Done()
		return nil
	}, func(net.Addr, error) {})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = s.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		_ = l.Close()
		s.Close()
	})
	return l.Addr().String()
}

// Guards against a bound on the total time of an answer: a large configuration was cut and
// requested again without end. The same held for the snapshot that a box requests while the log is
// unavailable.
func TestSnapshotsOfPeers(t *testing.T) {
	const pieces, pause, patience = 10, 30 * time.Millisecond, 150 * time.Millisecond
	ask := func(address string) ([]byte, error) {
		return fetchSnapshot(context.Background(), peer.TCP(), address, 0, patience, func(silent bool) bool { return !silent })
	}
	t.Run("one that takes longer in all than a peer may be silent", func(t *testing.T) {
		b, err := ask(listenSnapshotPeer(t, pieces, pieces, pause))
		require.NoError(t, err)
		require.Equal(t, strings.Repeat("piece", pieces), string(b))
	})
	t.Run("a peer that goes silent is left", func(t *testing.T) {
		b, err := ask(listenSnapshotPeer(t, pieces, 3, pause))
		require.Error(t, err)
		require.Equal(t, strings.Repeat("piece", 3), string(b))
	})
	boxes := func(as ...string) func(context.Context) []hollowgrade.Box {
		return func(context.Context) (bs []hollowgrade.Box) {
			for _, a := range as {
				bs = append(bs, hollowgrade.Box{Peer: a})
			}
			return bs
		}
	}
	t.Run("one that is silent for a while is kept beside others that have none", func(t *testing.T) {
		slow := listenSnapshotPeer(t, 1, 1, peerTimeout*5/4)
		l := &logBuffer{}
		bs := Snapshots(boxes(slow, "127.0.0.1:1", "127.0.0.1:1"), peer.TCP(), log.New(l))(context.Background(), 0)
		require.Len(t, bs, 1, l.String())
	})
	t.Run("another one counts that comes while one is silent", func(t *testing.T) {
		hung := listenSnapshotPeer(t, 2, 1, 0)
		begin := time.Now()
		bs := Snapshots(boxes(hung, listenSnapshotPeer(t, 1, 1, 0), hung), peer.TCP(), log.New(io.Discard))(context.Background(), 0)
		require.Len(t, bs, 1)
		require.Less(t, time.Since(begin), 2*peerTimeout)
	})
	t.Run("if all are silent they are left", func(t *testing.T) {
		hung := listenSnapshotPeer(t, 2, 1, 0)
		begin := time.Now()
		require.Empty(t, Snapshots(boxes(hung, hung, hung), peer.TCP(), log.New(io.Discard))(context.Background(), 0))
		require.Less(t, time.Since(begin), 4*peerTimeout)
	})
	t.Run("one copy is enough", func(t *testing.T) {
		a := listenSnapshotPeer(t, 1, 1, 0)
		bs := Snapshots(boxes(a, a, a), peer.TCP(), log.New(io.Discard))(context.Background(), 0)
		require.Len(t, bs, 1)
	})
	t.Run("the log names a peer that does not send one", func(t *testing.T) {
		l := &logBuffer{}
		bs := Snapshots(boxes(listenSnapshotPeer(t, 1, 1, 0), "127.0.0.1:1"), peer.TCP(), log.New(l))(context.Background(), 0)
		require.Len(t, bs, 1)
		require.Contains(t, l.String(), "snapshot of a peer not received")
		require.Contains(t, l.String(), "127.0.0.1:1")
	})
}
