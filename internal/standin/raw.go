package standin

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
)

// Raw is a stand-in for an HTTP server that answers each request with given bytes, whole or not, and ends the
// connection.
type Raw struct {
	listener net.Listener

	mu     sync.Mutex
	answer string
	reset  bool
}

// NewRaw starts a server on a port of its own.
func NewRaw() *Raw {
	var k net.ListenConfig
	l, err := k.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		panic(err) // tests need the loopback interface
	}
	r := &Raw{listener: l}
	go r.accept()
	return r
}

// URL returns the base URL.
func (r *Raw) URL() string {
	return "http://" + r.listener.Addr().String()
}

// Set sets the bytes of all further answers, and whether a reset ends the connection instead of a close.
func (r *Raw) Set(answer string, reset bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answer, r.reset = answer, reset
}

// Close stops the server.
func (r *Raw) Close() {
	_ = r.listener.Close()
}

func (r *Raw) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

func (r *Raw) serve(c net.Conn) {
	defer c.Close()
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, q.Body) // bytes that are not read would turn the close into a reset
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = io.WriteString(c, r.answer) // the client may have gone
	if t, ok := c.(*net.TCPConn); ok && r.reset {
		_ = t.SetLinger(0)
	}
}
