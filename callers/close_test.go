package callers

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/kernel"
)

// watchedListener records what a server reads from its connections. Reads that returned bytes, and
// closing, can be delayed.
type watchedListener struct {
	net.Listener
	reads   gate
	closes  gate
	closing chan struct{} // closed by the first Close
	once    sync.Once
	conns   sync.Map // *watchedConn by the caller's address
}

func watch(t *testing.T) *watchedListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return &watchedListener{Listener: l, closing: make(chan struct{})}
}

func (l *watchedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	w := &watchedConn{Conn: c, listener: l}
	l.conns.Store(c.RemoteAddr().String(), w)
	return w, nil
}

// bytesRead returns how many bytes the server has read from a caller's connection.
func (l *watchedListener) bytesRead(c net.Conn) int64 {
	w, ok := l.conns.Load(c.LocalAddr().String())
	if !ok {
		return 0
	}
	return w.(*watchedConn).read.Load()
}

type watchedConn struct {
	net.Conn
	listener *watchedListener
	read     atomic.Int64
}

func (c *watchedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.read.Add(int64(n))
		c.listener.reads.pass()
	}
	return n, err
}

func (c *watchedConn) Close() error {
	c.listener.once.Do(func() { close(c.listener.closing) })
	c.listener.closes.pass()
	return c.Conn.Close()
}

// gate delays those that pass while it is shut. The zero value is open.
type gate struct {
	mu   sync.Mutex
	shut chan struct{}
}

func (g *gate) pass() {
	g.mu.Lock()
	c := g.shut
	g.mu.Unlock()
	if c != nil {
		<-c
	}
}

// close shuts the gate until the returned function is called.
func (g *gate) close() (open func()) {
	c := make(chan struct{})
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut = c
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.shut = nil
		close(c)
	}
}

// keptConn is a caller's connection that has had an answer.
type keptConn struct {
	net.Conn
	in   *bufio.Reader
	read int64 // by the server, when the last answer had arrived
}

func keep(t *testing.T, l *watchedListener, n int) (cs []*keptConn) {
	t.Helper()
	for range n {
		c, in := dial(t, l.Addr().String())
		exchange(t, c, in)
		cs = append(cs, &keptConn{Conn: c, in: in, read: l.bytesRead(c)})
	}
	return cs
}

// sendAll sends a request on each connection and waits until the server has read from all of them.
func sendAll(t *testing.T, l *watchedListener, cs []*keptConn) {
	t.Helper()
	for _, c := range cs {
		fmt.Fprint(c, request)
	}
	for _, c := range cs {
		require.Eventually(t, func() bool { return l.bytesRead(c) > c.read }, 10*time.Second, time.Millisecond)
	}
}

// readAnswer waits for a whole answer.
func readAnswer(c net.Conn, in *bufio.Reader) error {
	if err := c.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return err
	}
	r, err := http.ReadResponse(in, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, r.Body)
	return errors.Join(err, r.Body.Close())
}

func requireAnswers(t *testing.T, cs []*keptConn) {
	t.Helper()
	lost := 0
	for _, c := range cs {
		if readAnswer(c, c.in) != nil {
			lost++
		}
	}
	require.Zero(t, lost, "of %d requests that were read", len(cs))
}

// A request is read, but not yet known to the server, when the closing of its connection is decided.
func TestRequestReadBeforeItsConnectionIsClosedIsAnswered(t *testing.T) {
	const connections = 50
	const longEnough = time.Second // for all that is due to be closed
	t.Run("at the idle limit", func(t *testing.T) {
		l := watch(t)
		startOn(t, l, ok, WithLimits(func() Limits { return Limits{IdleTimeout: 2 * time.Second} }))
		cs := keep(t, l, connections)
		open := l.reads.close()
		sendAll(t, l, cs)
		time.Sleep(2*time.Second + longEnough)
		open()
		requireAnswers(t, cs)
	})
	t.Run("the idle limit gets shorter", func(t *testing.T) {
		var limit atomic.Int64
		limit.Store(int64(time.Hour))
		l := watch(t)
		startOn(t, l, ok, WithLimits(func() Limits { return Limits{IdleTimeout: time.Duration(limit.Load())} }))
		cs := keep(t, l, connections)
		open := l.reads.close()
		sendAll(t, l, cs)
		limit.Store(int64(time.Millisecond))
		time.Sleep(longEnough)
		open()
		requireAnswers(t, cs)
	})
	t.Run("closing the others takes long", func(t *testing.T) {
		var limit atomic.Int64
		limit.Store(int64(time.Hour))
		l := watch(t)
		startOn(t, l, ok, WithLimits(func() Limits { return Limits{IdleTimeout: time.Duration(limit.Load())} }))
		cs := keep(t, l, connections)
		open := l.closes.close()
		limit.Store(int64(time.Millisecond))
		select {
		case <-l.closing:
		case <-time.After(longEnough):
		}
		sendAll(t, l, cs)
		open()
		requireAnswers(t, cs)
	})
	t.Run("a planned stop", func(t *testing.T) {
		l := watch(t)
		s, a := startOn(t, l, ok, WithLinger(func() time.Duration { return 0 }))
		cs := keep(t, l, connections)
		open := l.reads.close()
		sendAll(t, l, cs)
		stopped := make(chan error, 1)
		go func() { stopped <- s.Stop(context.Background()) }()
		require.Eventually(t, func() bool { _, err := net.Dial("tcp", a); return err != nil }, 10*time.Second, time.Millisecond)
		time.Sleep(100 * time.Millisecond)
		open()
		requireAnswers(t, cs)
		require.NoError(t, <-stopped)
	})
}

// Callers use a connection again that has rested for up to four fifths of the limit.
func TestChangesOfTheIdleLimitCutNoRequest(t *testing.T) {
	const (
		callers  = 500
		requests = 20 // of each caller
		changes  = 10
	)
	var limit atomic.Int64
	limit.Store(int64(time.Second))
	l := watch(t)
	_, a := startOn(t, l, ok, WithLimits(func() Limits { return Limits{IdleTimeout: time.Duration(limit.Load())} }))
	var lost, reused atomic.Int64
	var g sync.WaitGroup
	for i := range callers {
		r := rand.New(rand.NewPCG(1, uint64(i)))
		g.Go(func() {
			c, in := dial(t, a)
			var answered time.Time
			var usable time.Duration
			for n := range requests {
				read := l.bytesRead(c)
				begun := time.Now()
				fmt.Fprint(c, request)
				sent := time.Now()
				if err := readAnswer(c, in); err != nil {
					lost.Add(1)
					t.Logf("request %d: %v; %d bytes read, rested %s of %s, written in %s, ended %s later", n, err, l.bytesRead(c)-read, begun.Sub(answered), usable, sent.Sub(begun), time.Since(sent))
					return
				}
				answered, usable = time.Now(), time.Duration(limit.Load())*4/5
				time.Sleep(time.Duration(r.Int64N(int64(usable))))
				if time.Since(answered) > usable {
					c, in = dial(t, a) // the sleep took longer
				} else {
					reused.Add(1)
				}
			}
		})
	}
	for i := range changes {
		time.Sleep(300 * time.Millisecond)
		limit.Store(int64(time.Second) >> (i % 3))
	}
	g.Wait()
	require.Zero(t, lost.Load(), "of %d requests", callers*requests)
	require.Greater(t, reused.Load(), int64(callers*requests/2))
}

// A request that is sent as its connection reaches the limit is answered, or not read and told so at
// once.
func TestRequestsAtTheIdleLimit(t *testing.T) {
	const (
		callers   = 300
		idleLimit = 500 * time.Millisecond
		spread    = 200 * time.Millisecond
		lostTime  = 200 * time.Millisecond // after which callers count a silent request as lost
	)
	l := watch(t)
	startOn(t, l, ok, WithLimits(func() Limits { return Limits{IdleTimeout: idleLimit} }))
	cs := keep(t, l, callers)
	var cut, late, answered atomic.Int64
	var g sync.WaitGroup
	for i, c := range cs {
		g.Go(func() {
			fmt.Fprint(c, request)
			if readAnswer(c, c.in) != nil {
				return
			}
			read := l.bytesRead(c)
			time.Sleep(idleLimit + idleGrace + spread*time.Duration(i-callers/2)/callers)
			sent := time.Now()
			fmt.Fprint(c, request)
			switch err := readAnswer(c, c.in); {
			case err == nil:
				answered.Add(1)
			case l.bytesRead(c) > read:
				cut.Add(1)
			case time.Since(sent) > lostTime:
				late.Add(1)
			}
		})
	}
	g.Wait()
	require.Zero(t, cut.Load(), "requests were read and not answered, %d were answered", answered.Load())
	require.Zero(t, late.Load(), "requests were neither read nor ended, %d were answered", answered.Load())
}

func BenchmarkRecheck(b *testing.B) {
	for _, n := range []int{300, 3000} {
		b.Run(fmt.Sprint("connections=", n), func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(b, err)
			s := New(l, http.HandlerFunc(ok), WithLogger(log.New(io.Discard)))
			require.NoError(b, s.Start(context.Background(), kernel.New()))
			for range n {
				c, err := net.Dial("tcp", l.Addr().String())
				require.NoError(b, err)
				defer func() { _ = c.Close() }()
			}
			require.Eventually(b, func() bool { return s.Connections() == n }, 10*time.Second, time.Millisecond)
			for b.Loop() {
				s.recheck()
			}
			b.StopTimer()
			_ = s.Stop(context.Background())
		})
	}
}

// clockBesideOthers is a clock at which others run once while it is read.
type clockBesideOthers struct {
	hollowgrade.Clock
	others atomic.Pointer[func()]
}

func (c *clockBesideOthers) Now() time.Time {
	now := c.Clock.Now()
	if f := c.others.Swap(nil); f != nil {
		(*f)()
	}
	return now
}

// Guards against an idle limit that hides longer ones since it was recorded later than it says.
func TestIdleLimitsRecordedAtOnceAreAllRemembered(t *testing.T) {
	clock := &clockBesideOthers{Clock: hollowgrade.SystemClock()}
	s := New(watch(t), http.HandlerFunc(ok), WithClock(clock)) // not started: it records no limits by itself
	var answered time.Time
	recorded := make(chan struct{})
	others := func() {
		answered = time.Now()
		go func() {
			defer close(recorded)
			s.recordIdleLimit(time.Hour)
		}()
		select {
		case <-recorded:
		case <-time.After(200 * time.Millisecond):
		}
	}
	clock.others.Store(&others)
	s.recordIdleLimit(time.Second)
	<-recorded
	require.Equal(t, time.Hour, s.longestIdleLimit(answered))
}
