package standin

import (
	"context"
	"sync"
	"time"

	"github.com/hollowgrade/hollowgrade"
)

// Freezer blocks a process wherever it interacts with the outside: in its timers, its connections
// and its calls to its upstream. It simulates SIGSTOP in tests with virtual time.
type Freezer struct {
	mu     sync.Mutex
	thawed chan struct{} // nil while nothing is frozen
}

// Set freezes or resumes the process.
func (f *Freezer) Set(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case on && f.thawed == nil:
		f.thawed = make(chan struct{})
	case !on && f.thawed != nil:
		close(f.thawed)
		f.thawed = nil
	}
}

// Wait blocks while the process is frozen.
func (f *Freezer) Wait() {
	for {
		f.mu.Lock()
		c := f.thawed
		f.mu.Unlock()
		if c == nil {
			return
		}
		<-c
	}
}

// Clock returns a clock whose timers do not fire while the process is frozen.
func (f *Freezer) Clock() hollowgrade.Clock {
	return frozenClock{Clock: hollowgrade.SystemClock(), freezer: f}
}

type frozenClock struct {
	hollowgrade.Clock
	freezer *Freezer
}

// AfterFunc implements [hollowgrade.Clock].
func (c frozenClock) AfterFunc(d time.Duration, g func()) hollowgrade.Timer {
	return c.Clock.AfterFunc(d, func() {
		c.freezer.Wait()
		g()
	})
}

// NewTimer implements [hollowgrade.Clock].
func (c frozenClock) NewTimer(d time.Duration) hollowgrade.Timer {
	t := &frozenTimer{ch: make(chan time.Time, 1)}
	t.Timer = c.AfterFunc(d, func() {
		select {
		case t.ch <- time.Now():
		default:
		}
	})
	return t
}

type frozenTimer struct {
	hollowgrade.Timer
	ch chan time.Time
}

// Chan implements [hollowgrade.Timer].
func (t *frozenTimer) Chan() <-chan time.Time {
	return t.ch
}

// Engine returns the engine as the process sees it: calls block while the process is frozen, and
// fail while the link is cut.
func (f *Freezer) Engine(e *Engine) *LinkedEngine {
	return &LinkedEngine{Engine: e, freezer: f}
}

// LinkedEngine is an engine behind a link that can be cut.
type LinkedEngine struct {
	*Engine
	freezer *Freezer

	mu      sync.Mutex
	cut     bool
	cancels map[string]context.CancelFunc
}

// SetCut cuts or restores the link to the engine. Open streams break, and the engine cancels their
// sequences, as it does when a reader disconnects.
func (l *LinkedEngine) SetCut(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = on
	for id, c := range l.cancels {
		c()
		delete(l.cancels, id)
	}
}

func (l *LinkedEngine) checkLink() error {
	l.freezer.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		return ErrEngineDown
	}
	return nil
}

// Generate implements [hollowgrade.Engine].
func (l *LinkedEngine) Generate(ctx context.Context, g hollowgrade.Generation) (hollowgrade.TokenStream, error) {
	if err := l.checkLink(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	s, err := l.Engine.Generate(ctx, g)
	if err != nil {
		cancel()
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cancels == nil {
		l.cancels = map[string]context.CancelFunc{}
	}
	l.cancels[g.ID] = cancel
	return &linkedStream{TokenStream: s, link: l, cancel: cancel}, nil
}

type linkedStream struct {
	hollowgrade.TokenStream
	link   *LinkedEngine
	cancel context.CancelFunc
}

// Next implements [hollowgrade.TokenStream].
func (s *linkedStream) Next() (hollowgrade.Token, error) {
	t, err := s.TokenStream.Next()
	s.link.freezer.Wait()
	return t, err
}

// Close implements [hollowgrade.TokenStream].
func (s *linkedStream) Close() error {
	s.cancel()
	return s.TokenStream.Close()
}

// Load implements [hollowgrade.Engine].
func (l *LinkedEngine) Load(ctx context.Context) (hollowgrade.EngineLoad, error) {
	if err := l.checkLink(); err != nil {
		return hollowgrade.EngineLoad{}, err
	}
	return l.Engine.Load(ctx)
}

// Holdings implements [hollowgrade.Engine].
func (l *LinkedEngine) Holdings(ctx context.Context) ([]hollowgrade.Allocation, error) {
	if err := l.checkLink(); err != nil {
		return nil, err
	}
	return l.Engine.Holdings(ctx)
}

// Cancel implements [hollowgrade.Engine].
func (l *LinkedEngine) Cancel(ctx context.Context, id string) error {
	if err := l.checkLink(); err != nil {
		return err
	}
	return l.Engine.Cancel(ctx, id)
}

// Reserve implements [hollowgrade.Engine].
func (l *LinkedEngine) Reserve(ctx context.Context, id string, tokens int, ttl time.Duration) error {
	if err := l.checkLink(); err != nil {
		return err
	}
	return l.Engine.Reserve(ctx, id, tokens, ttl)
}

// Export implements [hollowgrade.Engine].
func (l *LinkedEngine) Export(ctx context.Context, id string) (string, error) {
	if err := l.checkLink(); err != nil {
		return "", err
	}
	return l.Engine.Export(ctx, id)
}

// Release implements [hollowgrade.Engine].
func (l *LinkedEngine) Release(ctx context.Context, id string) error {
	if err := l.checkLink(); err != nil {
		return err
	}
	return l.Engine.Release(ctx, id)
}
