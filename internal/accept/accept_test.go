package accept

import (
	"bytes"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// failingListener is a listener whose Accept returns errors first.
type failingListener struct {
	net.Listener
	errors []error // all but those that were returned
	calls  int
}

func (l *failingListener) Accept() (net.Conn, error) {
	l.calls++
	if len(l.errors) == 0 {
		return l.Listener.Accept()
	}
	err := l.errors[0]
	l.errors = l.errors[1:]
	return nil, &net.OpError{Op: "accept", Err: err}
}

func (l *failingListener) Addr() net.Addr { return &net.TCPAddr{} }
func (l *failingListener) Close() error   { return nil }

// onePipe is a listener with a single connection.
type onePipe struct{ net.Listener }

func (onePipe) Accept() (net.Conn, error) {
	c, _ := net.Pipe()
	return c, nil
}

func errorsOf(n int, es ...error) (all []error) {
	for i := range n {
		all = append(all, es[i%len(es)])
	}
	return all
}

// Guards against a listener that is given up after an error that passes, one that is retried without
// a delay, and a log that is filled with the errors.
func TestAcceptGoesOnAfterErrors(t *testing.T) {
	const count = 200
	k := clockwork.NewFakeClock()
	out := &bytes.Buffer{}
	es := errorsOf(count, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM)
	l := NewListener(&failingListener{Listener: onePipe{}, errors: es}, k, log.New(out))
	accepted := make(chan error, 1)
	go func() {
		_, err := l.Accept()
		accepted <- err
	}()
	begin := k.Now()
	for range count {
		require.NoError(t, k.BlockUntilContext(t.Context(), 1))
		k.Advance(maxDelay)
	}
	require.NoError(t, <-accepted)
	require.Equal(t, count*maxDelay, k.Since(begin))
	lines := strings.Count(out.String(), "\n")
	require.Positive(t, lines)
	require.LessOrEqual(t, lines, 1+int(count*maxDelay/logInterval))
}

func TestDelaysOfAcceptGrow(t *testing.T) {
	k := clockwork.NewFakeClock()
	f := &failingListener{Listener: onePipe{}, errors: errorsOf(6, syscall.EMFILE)}
	l := NewListener(f, k, log.New(&bytes.Buffer{}))
	accepted := make(chan error, 1)
	go func() {
		_, err := l.Accept()
		accepted <- err
	}()
	for _, d := range []time.Duration{5, 10, 20, 40, 80, 100} {
		require.NoError(t, k.BlockUntilContext(t.Context(), 1))
		k.Advance(d*time.Millisecond - 1)
		require.NoError(t, k.BlockUntilContext(t.Context(), 1), "no attempt before the delay is over")
		k.Advance(1)
	}
	require.NoError(t, <-accepted)
	require.Equal(t, 7, f.calls)
}

// Guards against a stop that waits for the delay after an error.
func TestCloseEndsTheDelayOfAccept(t *testing.T) {
	k := clockwork.NewFakeClock()
	l := NewListener(&failingListener{errors: errorsOf(1, syscall.EMFILE)}, k, log.New(&bytes.Buffer{}))
	accepted := make(chan error, 1)
	go func() {
		_, err := l.Accept()
		accepted <- err
	}()
	require.NoError(t, k.BlockUntilContext(t.Context(), 1))
	require.NoError(t, l.Close())
	require.ErrorIs(t, <-accepted, net.ErrClosed)
}
