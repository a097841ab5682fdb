package stand

import (
	"io"
	"net"
	"sync"
)

// Link is a proxy between a gateway and the store. While it is cut, connections are reset.
type Link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   bool
	conns map[*net.TCPConn]bool
}

// NewLink starts a proxy on a free port.
func NewLink(target string) (l *Link, err error) {
	n, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l = &Link{listener: n, target: target, conns: map[*net.TCPConn]bool{}}
	go func() {
		for {
			c, err := n.Accept()
			if err != nil {
				return
			}
			go l.serve(c.(*net.TCPConn))
		}
	}()
	return l, nil
}

// Addr returns host and port.
func (l *Link) Addr() string {
	return l.listener.Addr().String()
}

// Cut cuts the link, or heals it.
func (l *Link) Cut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if !cut {
		return
	}
	for c := range l.conns {
		reset(c)
	}
}

// Close ends the proxy.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.Cut(true)
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// track adds the connections of a link, unless it is cut.
func (l *Link) track(cs ...*net.TCPConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range cs {
		if l.cut {
			reset(c)
		} else {
			l.conns[c] = true
		}
	}
	return !l.cut
}

func (l *Link) serve(c *net.TCPConn) {
	if !l.track(c) {
		return
	}
	n, err := net.Dial("tcp", l.target)
	if err != nil {
		reset(c)
		return
	}
	u := n.(*net.TCPConn)
	if !l.track(u) {
		return
	}
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.conns, c)
		delete(l.conns, u)
	}()
	var both sync.WaitGroup
	for _, p := range [][2]*net.TCPConn{{c, u}, {u, c}} {
		both.Go(func() {
			_, _ = io.Copy(p[0], p[1]) // an error ends the connection as well
			_ = p[0].CloseWrite()
		})
	}
	both.Wait()
	_ = c.Close()
	_ = u.Close()
}
