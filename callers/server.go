// Package callers runs the HTTP server that callers connect to. It bounds how long connections may
// be idle or slow by limits that can change while it runs, and stops without cutting off a request.
package callers

import (
	"context"
	"errors"
	"maps"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/kernel"
	"github.com/hollowgrade/hollowgrade/memory"
)

const (
	// crowdedShare is the share of the connections that are allowed from which on they are scarce.
	crowdedShare = 0.75
	// stopInterval is how often a planned stop looks at its times and at the open connections.
	stopInterval = 20 * time.Millisecond
	// limitsInterval is how often the limits are looked at for changes.
	limitsInterval = 250 * time.Millisecond
	// noHeadLimit leaves the limit on heads to conn, which applies the one in force.
	noHeadLimit = math.MaxInt32
	// maxFinalAnswerTime and finalAnswerShare bound how long before the end of a planned stop the
	// requests that are still open are cancelled. It leaves time to cancel a local call and to write
	// the answer; otherwise the connections would be closed without an answer.
	maxFinalAnswerTime = 200 * time.Millisecond
	finalAnswerShare   = 15
)

// Server serves callers. It implements [kernel.Service].
type Server struct {
	listener   net.Listener
	server     *http.Server
	handler    http.Handler
	limits     func() Limits
	budget     *memory.Budget
	clock      hollowgrade.Clock
	log        *log.Logger
	linger     func() time.Duration
	acceptGate func(context.Context)
	onDrain    func()
	allClosed  chan struct{} // receives when no connection is open

	maxConns int                        // 0 for no bound
	drain    atomic.Pointer[drainTimes] // nil until a planned stop closes connections
	cancelAt atomic.Pointer[time.Time]  // when a planned stop cancels requests, nil if there is none or it never does

	mu             sync.Mutex
	conns          map[*conn]struct{}
	unused         unusedConns
	idleLimits     []idleLimit // those of the recent past, the newest last
	closed         closeCounts // since the last log line
	closedInAll    closeCounts
	active         int // requests in the handler
	stopping       bool
	group          sync.WaitGroup
	cancel         context.CancelFunc
	baseContext    context.Context // parent of the contexts of all requests
	cancelRequests context.CancelCauseFunc
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

// WithBudget sets the budget for the heads and bodies of all requests.
func WithBudget(b *memory.Budget) Option {
	return func(s *Server) { s.budget = b }
}

// WithLinger sets the function that returns for how long a planned stop that begins goes on accepting
// connections, until the balancer sends callers elsewhere.
func WithLinger(f func() time.Duration) Option {
	return func(s *Server) { s.linger = f }
}

// WithDrainHook sets a function that a planned stop calls when its linger is over, before it closes connections.
func WithDrainHook(f func()) Option {
	return func(s *Server) { s.onDrain = f }
}

// WithAcceptGate sets a function that must return before the first connection is accepted. Earlier
// connections wait in the listener's queue.
func WithAcceptGate(f func(context.Context)) Option {
	return func(s *Server) { s.acceptGate = f }
}

// WithMaxConnections sets how many connections are open at once. For one more, the oldest one is closed that has
// been open for [minUnusedTime] without a request; if there is none, the new one waits.
func WithMaxConnections(n int) Option {
	return func(s *Server) { s.maxConns = n }
}

type connKey struct{}

// New returns a server for the listener.
func New(l net.Listener, h http.Handler, os ...Option) *Server {
	s := &Server{
		listener:   l,
		handler:    h,
		limits:     func() Limits { return Limits{} },
		budget:     memory.NewBudget(0),
		linger:     func() time.Duration { return 0 },
		clock:      hollowgrade.SystemClock(),
		log:        log.Default(),
		acceptGate: func(context.Context) {},
		onDrain:    func() {},
		allClosed:  make(chan struct{}, 1),
		conns:      map[*conn]struct{}{},
		cancel:     func() {},
	}
	for _, o := range os {
		o(s)
	}
	if s.maxConns > 0 {
		s.listener = newLimitListener(s.listener, s.maxConns, s)
	}
	s.baseContext, s.cancelRequests = context.WithCancelCause(context.Background())
	s.server = &http.Server{
		BaseContext:       func(net.Listener) context.Context { return s.baseContext },
		Handler:           http.HandlerFunc(s.handle),
		ConnState:         s.trackConn,
		ConnContext:       func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		MaxHeaderBytes:    noHeadLimit,
		ReadHeaderTimeout: 0, // conn applies the limit in force
		ErrorLog:          s.log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
	return s
}

// Start implements [kernel.Service].
func (s *Server) Start(context.Context, *kernel.Kernel) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.group.Go(func() { s.watchLimits(ctx) })
	s.group.Go(func() {
		s.acceptGate(ctx)
		if err := s.server.Serve(listener{Listener: s.listener, server: s}); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
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

// PlannedStop returns the planned stop that is under way. It reports false if there is none, or if it
// cancels no request.
func (s *Server) PlannedStop() (p hollowgrade.PlannedStop, ok bool) {
	at := s.cancelAt.Load()
	if at == nil {
		return p, false
	}
	return hollowgrade.PlannedStop{Left: s.clock.Until(*at), Accepting: s.draining() == nil}, true
}

// Stop implements [kernel.Service]. It goes on serving until the balancer sends callers elsewhere,
// and its answers ask callers to close their connections. Then it accepts nothing new, closes
// connections as they become idle and waits for the others, for as long as ctx lasts.
func (s *Server) Stop(ctx context.Context) error {
	cancelAt := s.finalAnswersAt(ctx)
	if !cancelAt.IsZero() {
		s.cancelAt.Store(&cancelAt)
	}
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	s.lingerBefore(ctx, cancelAt)
	s.onDrain()
	_ = s.listener.Close()
	s.cancel()
	s.group.Wait()
	err := s.closeAll(ctx, cancelAt)
	_ = s.server.Close()
	s.logClosed()
	return err
}

// lingerBefore goes on accepting connections until the linger is over. A stop that cancels requests at cancelAt
// leaves as much time to close them as there is for final answers. A machine that was suspended meanwhile
// lingers no longer for it.
func (s *Server) lingerBefore(ctx context.Context, cancelAt time.Time) {
	d := s.linger()
	if !cancelAt.IsZero() {
		d = min(d, FinalAnswersAfter(s.clock.Until(cancelAt)))
	}
	for end := s.clock.Now().Add(d); d > 0 && hollowgrade.Sleep(ctx, s.clock, min(d, stopInterval)); d = s.clock.Until(end) {
	}
}

// FinalAnswersAfter returns how long after the begin of a planned stop that may take d the requests
// that are still open are cancelled.
func FinalAnswersAfter(d time.Duration) time.Duration {
	return d - min(maxFinalAnswerTime, d/finalAnswerShare)
}

// finalAnswersAt returns when, on the server's clock, the requests that are still open are cancelled in a stop
// that begins now, the zero time if ctx has no end.
func (s *Server) finalAnswersAt(ctx context.Context) time.Time {
	end, bounded := ctx.Deadline()
	if !bounded {
		return time.Time{}
	}
	return s.clock.Now().Add(FinalAnswersAfter(time.Until(end)))
}

// drainTimes are the times of a planned stop that closes connections, on the server's clock.
type drainTimes struct {
	headsUntil time.Time // until when heads that are incomplete may arrive
	cancelAt   time.Time // when open requests are cancelled, zero if never
}

// late reports whether only the time for final answers is left.
func (t *drainTimes) late(now time.Time) bool {
	return t != nil && !t.cancelAt.IsZero() && now.After(t.cancelAt)
}

// beginDrain begins to close connections in a planned stop that cancels requests at cancelAt.
func (s *Server) beginDrain(cancelAt time.Time) {
	now := s.clock.Now()
	t := &drainTimes{headsUntil: now.Add(drainHeadTimeout)}
	if !cancelAt.IsZero() {
		t.headsUntil = earlier(t.headsUntil, now.Add(cancelAt.Sub(now)/drainHeadShare))
		t.cancelAt = cancelAt
	}
	s.drain.Store(t)
	s.recheck()
}

// draining returns the times of a planned stop that closes connections, nil before that.
func (s *Server) draining() *drainTimes {
	return s.drain.Load()
}

// closeAll closes connections as they become idle and waits until none is open. At cancelAt, the
// requests that are still open are cancelled with [hollowgrade.ErrStopping] as the cause. From then
// on, no body is waited for.
func (s *Server) closeAll(ctx context.Context, cancelAt time.Time) error {
	s.beginDrain(cancelAt)
	for s.Connections() > 0 {
		if !cancelAt.IsZero() && s.clock.Now().After(cancelAt) && s.baseContext.Err() == nil {
			s.log.Warn("cancelled the requests that were still open", "requests", s.Active(), "why", "the time of the stop is over")
			s.cancelRequests(hollowgrade.ErrStopping)
		}
		if s.baseContext.Err() != nil {
			s.endBodies()
		}
		if !s.awaitClosed(ctx, stopInterval) {
			return s.giveUp(ctx)
		}
	}
	return nil
}

// awaitClosed returns when the last connection is closed, at the latest after d. It reports false if
// ctx ends first.
func (s *Server) awaitClosed(ctx context.Context, d time.Duration) bool {
	t := s.clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-s.allClosed:
		return true
	case <-t.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}

// giveUp returns the error of a planned stop whose time is over. Closing connections without an open
// request cuts nobody.
func (s *Server) giveUp(ctx context.Context) error {
	requests, others := 0, 0
	for _, c := range s.openConns() {
		if c.holdsRequest() {
			requests++
		} else {
			others++
		}
	}
	if requests == 0 {
		s.log.Info("connections without an open request closed", "connections", others, "why", "the time of the stop is over")
		return nil
	}
	s.log.Warn("stopped with requests open", "requests", requests, "other_connections", others)
	return ctx.Err()
}

// endBodies ends the reads of bodies that have not come. It is called again and again, since a
// handler may set a later deadline meanwhile.
func (s *Server) endBodies() {
	for _, c := range s.openConns() {
		c.endBody()
	}
}

// recheck checks all connections against what is in force now.
func (s *Server) recheck() {
	for _, c := range s.openConns() {
		c.recheck()
	}
}

// openConns returns the open connections.
func (s *Server) openConns() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}

// crowded reports whether connections are scarce.
func (s *Server) crowded() bool {
	return s.maxConns > 0 && float64(s.Connections()) >= crowdedShare*float64(s.maxConns)
}

// watchLimits records the idle limit, and closes connections that have been idle for longer while
// connections are scarce.
func (s *Server) watchLimits(ctx context.Context) {
	for ; ctx.Err() == nil; hollowgrade.Sleep(ctx, s.clock, limitsInterval) {
		s.recordIdleLimit(s.effectiveLimits().IdleTimeout)
		if s.crowded() {
			s.recheck()
		}
	}
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
	s.beginRequest()
	defer s.endRequest()
	c := connOf(r)
	s.announce(c, w.Header())
	if c != nil {
		s.used(c)
		defer c.release()
		if !c.claimParsed(r) {
			refuseParsed(w)
			return
		}
	}
	s.handler.ServeHTTP(w, r)
}

// connOf returns the connection of a request, nil if another server than [Server] serves it.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// claimParsed takes what a head takes once it is parsed. A pipelined one was not counted as it arrived. A
// request without a body has arrived as a whole.
func (c *conn) claimParsed(r *http.Request) bool {
	st := memory.Waiting
	if r.Body == http.NoBody {
		st = memory.Working
	}
	return c.claim.Set(max(c.claim.Bytes(), parsedCost(r)), st)
}

// refuseParsed refuses a request that the handler has not seen, since there is no memory for it.
func refuseParsed(w http.ResponseWriter) {
	closeAfter(w.Header())
	w.Header().Set("Retry-After", unavailableRetryAfter)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// announce tells the caller how long its connection is kept.
func (s *Server) announce(c *conn, h http.Header) {
	if s.Stopping() {
		h.Set("Connection", "close")
		return
	}
	d := s.limits().IdleTimeout
	if c == nil || d <= 0 {
		return
	}
	s.recordIdleLimit(d)
	c.setTold(d)
	if d >= time.Second {
		h.Set("Keep-Alive", "timeout="+strconv.Itoa(int(d.Seconds())))
	}
}

// AnnounceStop makes an answer the last one on its connection if the server is being stopped, also if the
// request began before that. It is called before the head of the answer is written.
func AnnounceStop(w http.ResponseWriter, r *http.Request) {
	if c := connOf(r); c != nil && c.server.Stopping() {
		closeAfter(w.Header())
	}
}

func (s *Server) beginRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active++
}

func (s *Server) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}

// trackConn records the state of a connection.
func (s *Server) trackConn(nc net.Conn, st http.ConnState) {
	c := nc.(*conn)
	switch st {
	case http.StateNew:
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.unused.add(c)
		s.mu.Unlock()
	case http.StateActive:
		c.setPhase(phaseOpen)
	case http.StateIdle:
		c.release() // also where net/http has answered without the handler
		c.setPhase(phaseIdle)
	case http.StateClosed, http.StateHijacked:
		c.release()
		s.removeConn(c)
	}
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.unused.remove(c)
	if len(s.conns) > 0 {
		return
	}
	select {
	case s.allClosed <- struct{}{}:
	default:
	}
}
