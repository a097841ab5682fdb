// Package callers runs the HTTP server that callers connect to: it bounds how
// long their connections may be idle or slow by limits that change while it
// runs, and ends it without cutting off a request.
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
	// sweepInterval is how often connections are looked at.
	sweepInterval = 250 * time.Millisecond
	// maxHeaderBytes bounds what is read of headers before the handler sees
	// them and applies the published limit.
	maxHeaderBytes = 1 << 20
	// defaultHeaderTimeout and defaultIdleTimeout hold until limits are known.
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = time.Minute
	// finalAnswerTime is how long before the end of a planned stop the calls that are still open are given up, so that
	// their answers are written: the way of a local hang-up through a call, and a packet to callers. Without it a call
	// that outlasted the stop had its connection closed without an answer.
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
	linger     time.Duration
	acceptGate func(context.Context)

	mu             sync.Mutex
	conns          map[net.Conn]*conn
	active         int // requests in the handler
	stopping       bool
	group          sync.WaitGroup
	cancel         context.CancelFunc
	baseContext    context.Context // of which those of all requests are made
	cancelRequests context.CancelCauseFunc
}

// conn is what is known of a connection.
type conn struct {
	state   http.ConnState
	since   time.Time
	handled bool // whether the handler has the request
}

// Option changes a server as it is made.
type Option func(*Server)

// WithClock sets the clock.
func WithClock(c hollowgrade.Clock) Option {
	return func(s *Server) { s.clock = c }
}

// WithLogger sets the logger.
func WithLogger(l *log.Logger) Option {
	return func(s *Server) { s.log = l }
}

// WithLimits sets how the limits in force are known.
func WithLimits(f func() Limits) Option {
	return func(s *Server) { s.limits = f }
}

// WithLinger sets for how long a planned stop goes on accepting connections,
// until the balancer leads elsewhere.
func WithLinger(d time.Duration) Option {
	return func(s *Server) { s.linger = d }
}

// WithAcceptGate sets what is waited for before the first connection is accepted.
// Connections that come earlier wait in the listener's queue.
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
		clock:      hollowgrade.SystemClock(),
		log:        log.Default(),
		acceptGate: func(context.Context) {},
		conns:      map[net.Conn]*conn{},
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
		ReadHeaderTimeout: 0, // the sweep bounds it by the limits in force
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
		if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
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

// Stop implements [kernel.Service]. It goes on serving for the time that the
// balancer needs to lead elsewhere, and its answers tell callers to close their
// connections; then it takes nothing new and waits for what is open, for as
// long as ctx lasts.
func (s *Server) Stop(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	hollowgrade.Sleep(ctx, s.clock, s.linger)
	_ = s.listener.Close()
	s.server.SetKeepAlivesEnabled(false) // an answer that began before the stop did not tell its caller to close
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

// busy reports whether a request is open, or the end of its answer is still being written: that goes
// on once the handler has returned, and its connection is no longer active when it is done.
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

// drain waits until no request is open, and lets no new one in. Those that are open shortly before ctx ends are given up, with
// [hollowgrade.ErrStopping] as the cause.
func (s *Server) drain(ctx context.Context) error {
	const pollInterval = 20 * time.Millisecond
	end, bounded := ctx.Deadline()
	for s.closeUnused(); s.busy(); s.closeUnused() {
		if bounded && time.Until(end) < finalAnswerTime && s.baseContext.Err() == nil {
			s.log.Warn("calls given up", "requests", s.Active(), "why", "the time of the stop is over")
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

// trackConn follows the state of a connection.
func (s *Server) trackConn(c net.Conn, st http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st == http.StateClosed || st == http.StateHijacked {
		delete(s.conns, c)
		return
	}
	s.conns[c] = &conn{state: st, since: s.clock.Now()}
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
	for c, k := range s.conns {
		age := now.Sub(k.since)
		slow := k.state == http.StateActive && !k.handled && age > l.HeaderTimeout
		idle := k.state != http.StateActive && age > l.IdleTimeout
		if slow || idle {
			_ = c.Close()
		}
	}
}
