package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/hollowgrade/hollowgrade/internal/wire"
	"github.com/hollowgrade/hollowgrade/memory"
)

// Handler serves one exchange. The stream is ended when it returns.
type Handler func(ctx context.Context, s *Stream, first *wire.Frame) error

// Server accepts connections of peers.
type Server struct {
	handle Handler
	broken func(peer net.Addr, err error)
	budget *memory.Budget

	mu       sync.Mutex
	sessions map[*yamux.Session]struct{}
	group    sync.WaitGroup
}

// ServerOption configures a server.
type ServerOption func(*Server)

// WithBudget sets the budget for the frames that are arriving on all connections. When it is used up, the
// connection that takes the most of it is closed.
func WithBudget(b *memory.Budget) ServerOption {
	return func(s *Server) { s.budget = b }
}

// NewServer returns a server. Broken is called for each peer that was disconnected for a broken
// frame, or for frames for which there was no memory.
func NewServer(h Handler, broken func(peer net.Addr, err error), os ...ServerOption) *Server {
	s := &Server{handle: h, broken: broken, budget: memory.NewBudget(0), sessions: map[*yamux.Session]struct{}{}}
	for _, o := range os {
		o(s)
	}
	return s
}

// Serve accepts connections until the listener is closed. It returns the first other error of Accept:
// whether one passes is for the listener to tell. Ending ctx aborts the exchanges that are being served.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		s.group.Go(func() { s.serveConn(ctx, c) })
	}
}

// Close ends all connections and waits for their exchanges.
func (s *Server) Close() {
	s.mu.Lock()
	for y := range s.sessions {
		_ = y.Close()
	}
	s.mu.Unlock()
	s.group.Wait()
}

func (s *Server) serveConn(ctx context.Context, c net.Conn) {
	y, err := yamux.Server(c, config())
	if err != nil {
		_ = c.Close()
		return
	}
	defer y.Close()
	s.mu.Lock()
	s.sessions[y] = struct{}{}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.sessions, y)
		s.mu.Unlock()
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	claim := s.budget.NewClaim(func() { s.disconnect(y, ErrNoMemory) })
	var streams sync.WaitGroup
	defer s.group.Go(func() { // once none of them claims more
		streams.Wait()
		claim.Release()
	})
	for {
		r, err := y.AcceptStream()
		if err != nil {
			return
		}
		if y.NumStreams() > maxStreams {
			_ = r.Close()
			continue
		}
		t := newStream(r, r)
		t.claim = claim
		streams.Add(1)
		s.group.Go(func() {
			defer streams.Done()
			s.serveStream(ctx, y, t)
		})
	}
}

// firstFrameTimeout bounds how long a peer may keep a stream open before its first frame.
const firstFrameTimeout = 10 * time.Second

func (s *Server) serveStream(ctx context.Context, y *yamux.Session, t *Stream) {
	defer t.Abort()
	stop := context.AfterFunc(ctx, t.Abort)
	defer stop()
	_ = t.raw.SetReadDeadline(time.Now().Add(firstFrameTimeout))
	f, err := t.Receive()
	if err == nil {
		_ = t.raw.SetReadDeadline(time.Time{})
		err = s.handle(ctx, t, f)
	}
	if errors.Is(err, ErrBroken) || errors.Is(err, ErrNoMemory) {
		s.disconnect(y, err)
	}
}

// disconnect closes the connection of a peer and reports why, once for each connection.
func (s *Server) disconnect(y *yamux.Session, why error) {
	if !y.IsClosed() {
		s.broken(y.RemoteAddr(), why)
	}
	_ = y.Close()
}
