package agent

import (
	"fmt"

	"github.com/hollowgrade/hollowgrade/internal/wire"
	"github.com/hollowgrade/hollowgrade/peer"
)

// serveKeys serves the exchanges about idempotency keys.
func (a *Agent) serveKeys(s *peer.Stream, f *wire.Frame) error {
	if a.keys == nil {
		return peer.ErrBroken
	}
	switch b := f.Body.(type) {
	case *wire.Frame_Claim:
		return sendClaimReply(s, a.keys.Claim(b.Claim))
	case *wire.Frame_Settle:
		a.keys.Settle(b.Settle)
		return s.Send(&wire.Frame{Body: &wire.Frame_Final{Final: &wire.Final{}}})
	case *wire.Frame_Mint:
		return sendClaimReply(s, &wire.ClaimReply{Key: a.keys.Mint()})
	case *wire.Frame_Handover:
		return a.serveHandover(s, b.Handover)
	default:
		return peer.ErrBroken
	}
}

func sendClaimReply(s *peer.Stream, r *wire.ClaimReply) error {
	return s.Send(&wire.Frame{Body: &wire.Frame_ClaimReply{ClaimReply: r}})
}

// serveHandover receives the records of a range of keys and replies with the incarnation that will
// keep it.
func (a *Agent) serveHandover(s *peer.Stream, h *wire.Handover) error {
	for {
		if err := a.keys.ReceiveHandover(h); err != nil {
			return fmt.Errorf("%w: %w", peer.ErrBroken, err)
		}
		if h.Last {
			return s.Send(&wire.Frame{Body: &wire.Frame_Hello{Hello: &wire.Hello{Box: a.box.Name, Incarnation: a.incarnation}}})
		}
		f, err := s.Receive()
		if err != nil {
			return err
		}
		if h = f.GetHandover(); h == nil {
			return peer.ErrBroken
		}
	}
}

// serveFold sends the newest configuration to a peer that has an older one, such as a new box
// during an outage of the log.
func (a *Agent) serveFold(s *peer.Stream, m *wire.FoldRequest) error {
	var b []byte
	if a.snapshot != nil {
		b = a.snapshot(m.NewerThan)
	}
	for len(b) > peer.MaxChunk {
		if err := s.Send(peer.Chunk(b[:peer.MaxChunk], false)); err != nil {
			return err
		}
		b = b[peer.MaxChunk:]
	}
	return s.Send(peer.Chunk(b, true))
}
