package standin

import (
	"io"
	"net"
	"sync"
)

// Proxy forwards connections to an address. Those that are open can be made silent for good, while new
// ones work.
type Proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	conns    map[*proxied]bool
}

type proxied struct {
	mu     sync.Mutex
	silent bool
	hold   chan struct{}
	a, b   net.Conn
}

// NewProxy starts a proxy on a loopback address.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, conns: map[*proxied]bool{}}
	go p.accept()
	return p, nil
}

// Address returns host and port.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SilenceOpen makes all connections silent that are open now, without closing them, and returns how many.
func (p *Proxy) SilenceOpen() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for c := range p.conns {
		c.mu.Lock()
		if !c.silent {
			c.silent = true
			n++
		}
		c.mu.Unlock()
	}
	return n
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.a.Close()
		_ = c.b.Close()
	}
}

func (p *Proxy) accept() {
	for {
		a, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(a)
	}
}

func (p *Proxy) serve(a net.Conn) {
	b, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = a.Close()
		return
	}
	c := &proxied{a: a, b: b}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	var g sync.WaitGroup
	g.Go(func() { c.copy(b, a) })
	g.Go(func() { c.copy(a, b) })
	g.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// copy forwards bytes until one side ends. Those of a silent connection are read and dropped, and its end
// is not told.
func (c *proxied) copy(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		c.mu.Lock()
		silent := c.silent
		c.mu.Unlock()
		if silent {
			if err != nil {
				_ = from.Close()
				return
			}
			continue
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				if t, ok := to.(*net.TCPConn); ok {
					_ = t.CloseWrite()
				}
			} else {
				_ = to.Close()
			}
			return
		}
	}
}
