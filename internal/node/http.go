package node

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hollowgrade/hollowgrade/kernel"
)

const (
	// sideConnections is how many connections a listener for the balancer or for operators' tools has open.
	sideConnections = 32
	// sideHeadBytes bounds the heads of their requests; net/http reads 4 kB more.
	sideHeadBytes   = 8 << 10
	sideHeadTimeout = 5 * time.Second
	// sideRequestTimeout bounds a request with its body and its answer each.
	sideRequestTimeout = 10 * time.Second
	sideIdleTimeout    = time.Minute
)

// newSideServer returns a server for the balancer or for operators' tools, whose clients are few and trusted to
// send little. Others that reach its listener can't fill the memory, or keep those out.
func newSideServer(h http.Handler) *http.Server {
	w := newestConns{limit: sideConnections, waiting: list.New(), conns: map[net.Conn]*list.Element{}}
	return &http.Server{
		Handler:           h,
		ConnState:         w.track,
		MaxHeaderBytes:    sideHeadBytes,
		ReadHeaderTimeout: sideHeadTimeout,
		ReadTimeout:       sideRequestTimeout,
		WriteTimeout:      sideRequestTimeout,
		IdleTimeout:       sideIdleTimeout,
	}
}

// newestConns bounds the connections of a server. One more closes the one that has waited for the longest time
// without a request, or is closed itself if there is none.
type newestConns struct {
	limit int

	mu      sync.Mutex
	conns   map[net.Conn]*list.Element // in waiting; nil while a request is open
	waiting *list.List                 // of connections without a request, the oldest first
}

// track records the state of a connection. It is a [http.Server.ConnState] hook.
func (w *newestConns) track(c net.Conn, s http.ConnState) {
	if x := w.record(c, s); x != nil {
		_ = x.Close() // one that is closed already needs no closing
	}
}

// record returns the connection that is to be closed, nil if there is none.
func (w *newestConns) record(c net.Conn, s http.ConnState) (excess net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if e := w.conns[c]; e != nil {
		w.waiting.Remove(e)
	}
	switch s {
	case http.StateNew, http.StateIdle:
		w.conns[c] = w.waiting.PushBack(c)
	case http.StateActive:
		w.conns[c] = nil
	case http.StateHijacked, http.StateClosed:
		delete(w.conns, c)
	}
	if len(w.conns) <= w.limit || w.waiting.Len() == 0 {
		return nil
	}
	excess = w.waiting.Remove(w.waiting.Front()).(net.Conn)
	delete(w.conns, excess)
	return excess
}

// newHTTP returns a service that serves a handler for the balancer.
func newHTTP(l net.Listener, h http.Handler, g *log.Logger) kernel.Service {
	s := newSideServer(h)
	return newRunner(func(ctx context.Context) {
		stop := context.AfterFunc(ctx, func() { _ = s.Close() })
		defer stop()
		if err := s.Serve(l); ctx.Err() == nil {
			g.Error("listener failed", "address", l.Addr().String(), "err", err)
		}
	})
}
