// Package callers runs the HTTP server that callers connect to. It bounds how long connections may
// be idle or slow by limits that can change while it runs, and stops without cutting off a request.
package callers

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/kernel"
)

const (
	// sweepInterval is how often connections are checked against the limits.
	sweepInterval = 250 * time.Millisecond
	// maxHeaderBytes bounds the headers that are read before the handler applies the published
	// limit.
	maxHeaderBytes = 1 << 20
	// defaultHeaderTimeout and defaultIdleTimeout apply until limits are set.
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = time.Minute
	// finalAnswerTime is how long before the end of a planned stop the requests that are still open
	// are cancelled. It leaves time to cancel a local call and to write the answer; otherwise the
	// connections would be closed without an answer.
	finalAnswerTime = 200 * time.Millisecond
)

// Limits bound callers' connections. A zero value stands for the default.
type Limits struct {
	HeaderTimeout time.Duration // for the headers of a request
	IdleTimeout   time.Duration // between two requests
}

// Server serves callers. It implements [kernel.Service].
type Server struct {
	listener   net.Listener
	server     *http.Server
	handler    http.Handler
	limits     func() Limits
	clock      hollowgrade.Clock
	log        *log.Logger
	linger     func() time.Duration
	acceptGate func(context.Context)

	mu             sync.Mutex
	conns          map[net.Conn]*connState
	active         int // requests in the handler
	stopping       bool
	group          sync.WaitGroup
	cancel         context.CancelFunc
	baseContext    context.Context // parent of the contexts of all requests
	cancelRequests context.CancelCauseFunc
}

// connState is the state of a connection.
type connState struct {
	state   http.ConnState
	since   time.Time
	handled bool // whether the handler has started on the request
}

// Option configures a server.
type Option func(*Server)

// WithClock sets the clock.
func WithClock(c hollowgrade.Clock) Option {
	return func(s *Server) { s.clock = c }
}

// WithLogger sets the logger.
func WithLogger(l *log.Logger) Option {
	return func(s *Server) { s.log = l }
}

// WithLimits sets the function that returns the limits in force.
func WithLimits(f func() Limits) Option {
	return func(s *Server) { s.limits = f }
}

// WithLinger sets the function that returns for how long a planned stop that begins goes on accepting
// connections, until the balancer sends callers elsewhere.
func WithLinger(f func() time.Duration) Option {
	return func(s *Server) { s.linger = f }
}

// WithAcceptGate sets a function that must return before the first connection is accepted. Earlier
// connections wait in the listener's queue.
func WithAcceptGate(f func(context.Context)) Option {
	return func(s *Server) { s.acceptGate = f }
}

type connKey struct{}

// New returns a server for the listener.
func New(l net.Listener, h http.Handler, os ...Option) *Server {
	s := &Server{
		listener:   l,
		handler:    h,
		limits:     func() Limits { return Limits{} },
		linger:     func() time.Duration { return 0 },
		clock:      hollowgrade.SystemClock(),
		log:        log.Default(),
		acceptGate: func(context.Context) {},
		conns:      map[net.Conn]*connState{},
	}
	for _, o := range os {
		o(s)
	}
	s.baseContext, s.cancelRequests = context.WithCancelCause(context.Background())
	s.server = &http.Server{
		BaseContext:       func(net.Listener) context.Context { return s.baseContext },
		Handler:           http.HandlerFunc(s.handle),
		ConnState:         s.trackConn,
		ConnContext:       func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: 0, // the sweep applies the limit in force
		ErrorLog:          s.log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
	return s
}

// Start implements [kernel.Service].
func (s *Server) Start(context.Context, *kernel.Kernel) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.group.Go(func() { s.sweepLoop(ctx) })
	s.group.Go(func() {
		s.acceptGate(ctx)
		if err := s.server.Serve(listener{Listener: s.listener, clock: s.clock}); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			s.log.Error("callers' listener failed", "err", err)
		}
	})
	return nil
}

// Stopping reports whether the server is being stopped.
func (s *Server) Stopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// Stop implements [kernel.Service]. It goes on serving until the balancer sends callers elsewhere,
// and its answers ask callers to close their connections. Then it accepts nothing new and waits for
// open requests, for as long as ctx lasts.
func (s *Server) Stop(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	hollowgrade.Sleep(ctx, s.clock, s.linger())
	_ = s.listener.Close()
	s.server.SetKeepAlivesEnabled(false) // earlier answers did not ask the caller to close
	err := s.drain(ctx)
	s.cancel()
	_ = s.server.Close()
	s.group.Wait()
	return err
}

// closeUnused closes the connections on which no request is open.
func (s *Server) closeUnused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, k := range s.conns {
		if k.state != http.StateActive {
			_ = c.Close()
		}
	}
}

// busy reports whether a request is open or the end of its answer is still being written. The
// writing goes on after the handler has returned, and the connection stays active until it is done.
func (s *Server) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.conns {
		if k.state == http.StateActive && k.handled {
			return true
		}
	}
	return s.active > 0
}

// drain waits until no request is open, and accepts no new one. Shortly before ctx ends, the
// requests that are still open are cancelled with [hollowgrade.ErrStopping] as the cause.
func (s *Server) drain(ctx context.Context) error {
	const pollInterval = 20 * time.Millisecond
	end, bounded := ctx.Deadline()
	for s.closeUnused(); s.busy(); s.closeUnused() {
		if bounded && time.Until(end) < finalAnswerTime && s.baseContext.Err() == nil {
			s.log.Warn("cancelled the requests that were still open", "requests", s.Active(), "why", "the time of the stop is over")
			s.cancelRequests(hollowgrade.ErrStopping)
		}
		if !hollowgrade.Sleep(ctx, s.clock, pollInterval) {
			s.log.Warn("stopped with requests open", "requests", s.Active())
			return ctx.Err()
		}
	}
	return nil
}

// Active returns the number of requests that are being served.
func (s *Server) Active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	c, _ := r.Context().Value(connKey{}).(net.Conn)
	s.beginRequest(c)
	defer s.endRequest()
	if s.Stopping() {
		w.Header().Set("Connection", "close")
	}
	s.handler.ServeHTTP(w, r)
}

func (s *Server) beginRequest(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active++
	if k := s.conns[c]; k != nil {
		k.handled = true
	}
}

func (s *Server) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}

// trackConn records the state of a connection.
func (s *Server) trackConn(c net.Conn, st http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st == http.StateClosed || st == http.StateHijacked {
		delete(s.conns, c)
		return
	}
	s.conns[c] = &connState{state: st, since: s.clock.Now()}
}

func (s *Server) sweepLoop(ctx context.Context) {
	for hollowgrade.Sleep(ctx, s.clock, sweepInterval) {
		s.sweep()
	}
}

// sweep closes connections that have been idle or slow for too long.
func (s *Server) sweep() {
	l := s.limits()
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	var closed closeCount
	for c, k := range s.conns {
		age := now.Sub(k.since)
		slow := k.state == http.StateActive && !k.handled && age > l.HeaderTimeout
		idle := k.state != http.StateActive && age > l.IdleTimeout
		if slow || idle {
			closed.add(c, k, idle)
			_ = c.Close()
		}
	}
	if closed.idle+closed.slow > 0 {
		s.log.Info("connections closed", "idle", closed.idle, "slow", closed.slow, "after_read", closed.afterRead, "idle_limit_ms", l.IdleTimeout.Milliseconds(),
			"header_limit_ms", l.HeaderTimeout.Milliseconds(), "open", len(s.conns), "took_ms", s.clock.Since(now).Milliseconds())
	}
}

// closeCount counts connections that were closed by why they were.
type closeCount struct {
	idle, slow int
	afterRead  int // of them, those from which bytes had been read since their last answer
}

func (n *closeCount) add(c net.Conn, k *connState, idle bool) {
	if idle {
		n.idle++
	} else {
		n.slow++
	}
	if t, ok := c.(*conn); ok && t.lastRead().After(k.since) {
		n.afterRead++
	}
}
