// Package accept has listeners that go on after errors of Accept.
package accept

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hollowgrade/hollowgrade"
)

const (
	minDelay = 5 * time.Millisecond
	maxDelay = 100 * time.Millisecond
	// logInterval is the least time between two lines about errors.
	logInterval = 10 * time.Second
)

// Listener is a [net.Listener] whose Accept fails only once it is closed. Until then an error, such as
// one at the limit of descriptors, is logged and followed by a delay and another attempt.
type Listener struct {
	net.Listener
	clock  hollowgrade.Clock
	log    *log.Logger
	ctx    context.Context // ends when the listener is closed
	cancel context.CancelFunc

	mu     sync.Mutex
	logged time.Time
	errors int // since then
}

// NewListener returns a listener that accepts the connections of l.
func NewListener(l net.Listener, c hollowgrade.Clock, g *log.Logger) *Listener {
	a := &Listener{Listener: l, clock: c, log: g}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	return a
}

// Accept implements [net.Listener]. The only error is [net.ErrClosed].
func (l *Listener) Accept() (net.Conn, error) {
	for d := minDelay; ; d = min(2*d, maxDelay) {
		c, err := l.Listener.Accept()
		if err == nil {
			return c, nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		l.logError(err)
		if !hollowgrade.Sleep(l.ctx, l.clock, d) {
			return nil, net.ErrClosed
		}
	}
}

// Close implements [net.Listener].
func (l *Listener) Close() error {
	l.cancel()
	return l.Listener.Close()
}

// logError logs an error, or counts it for the next line.
func (l *Listener) logError(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.errors++
	now := l.clock.Now()
	if !l.logged.IsZero() && now.Sub(l.logged) < logInterval {
		return
	}
	l.log.Warn("connection could not be accepted", "address", l.Addr().String(), "errors", l.errors, "err", err)
	l.logged, l.errors = now, 0
}
