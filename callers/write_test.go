package callers

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pipeListener accepts connections without buffers: a write waits until the caller reads.
type pipeListener struct {
	conns  chan net.Conn
	ctx    context.Context
	cancel context.CancelFunc
}

func newPipeListener() *pipeListener {
	l := &pipeListener{conns: make(chan net.Conn)}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.ctx.Done():
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.cancel()
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// dial returns the caller's end of a new connection.
func (l *pipeListener) dial(t *testing.T) net.Conn {
	t.Helper()
	c, served := net.Pipe()
	t.Cleanup(func() { _ = c.Close() })
	l.conns <- served
	return c
}

// An answer's last bytes are written after its handler has returned.
func TestCallerThatDoesNotReadTheLastBytesIsCutOff(t *testing.T) {
	const deadline = 50 * time.Millisecond
	for name, h := range map[string]http.HandlerFunc{
		"after the handler has returned": func(w http.ResponseWriter, _ *http.Request) {
			defer BoundWrites(w, time.Now().Add(deadline))()
			fmt.Fprint(w, "answer")
		},
		"after the answer was aborted": func(w http.ResponseWriter, _ *http.Request) {
			defer BoundWrites(w, time.Now().Add(deadline))()
			w.Header().Set("Content-Length", "5000")
			fmt.Fprintf(w, "%3000s", "answer")
			panic(http.ErrAbortHandler)
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := newPipeListener()
			s, _ := startOn(t, l, h)
			fmt.Fprint(l.dial(t), request)
			require.Eventually(t, func() bool { return s.Connections() == 1 }, 10*time.Second, time.Millisecond)
			require.Eventually(t, func() bool { return s.Connections() == 0 }, deadline+writeSlack+closeTime, time.Millisecond)
		})
	}
}

func TestBoundOnWritesEndsWithItsAnswer(t *testing.T) {
	const deadline = time.Millisecond
	bounded := true
	_, a := start(t, func(w http.ResponseWriter, _ *http.Request) {
		if bounded {
			defer BoundWrites(w, time.Now().Add(deadline))()
		}
		bounded = false
		fmt.Fprint(w, "answer")
	})
	c, in := dial(t, a)
	exchange(t, c, in)
	time.Sleep(deadline + writeSlack + closeTime/2)
	exchange(t, c, in)
}

// The last bytes have time of their own: the bounds that held while the answer was made have passed.
func TestLastBytesOfALateAnswerAreSent(t *testing.T) {
	t.Run("after a pause longer than the bound on stalls", func(t *testing.T) {
		const stall = 20 * time.Millisecond
		h := func(w http.ResponseWriter, _ *http.Request) {
			deadline := time.Now().Add(time.Minute)
			defer BoundWrites(w, deadline)()
			_, err := NewWriter(w, deadline, stall).Write([]byte("answer"))
			require.NoError(t, err)
			time.Sleep(5 * stall)
		}
		requireAnswer(t, h, "answer")
	})
	t.Run("after the deadline", func(t *testing.T) {
		requireAnswer(t, func(w http.ResponseWriter, _ *http.Request) {
			defer BoundWrites(w, time.Now())()
			time.Sleep(writeSlack + 100*time.Millisecond)
			fmt.Fprint(w, "answer")
		}, "answer")
	})
}

func requireAnswer(t *testing.T, h http.HandlerFunc, want string) {
	t.Helper()
	_, a := start(t, h)
	r, err := http.Get("http://" + a)
	require.NoError(t, err)
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	require.Equal(t, want, string(b))
}
