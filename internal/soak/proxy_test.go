package soak

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// linkMode is how a proxy treats the bytes of its connections.
type linkMode int32

const (
	pass linkMode = iota
	delay
	silence // stalls both directions until the mode ends
	deafen  // stalls the direction towards the dialling side
)

const (
	linkDelay        = 150 * time.Millisecond
	modePollInterval = 10 * time.Millisecond // interval at which a stalled copy checks the mode
)

// proxy forwards connections to a target and injects faults into them.
type proxy struct {
	listener net.Listener
	mode     atomic.Int32
	rate     float64 // bytes a second towards the dialling side, 0 for no limit

	mu        sync.Mutex
	to        string // target of new connections
	conns     map[net.Conn]bool
	silent    chan struct{} // closed when the connections that are open now fall silent for good
	closed    chan struct{}
	closeOnce sync.Once
	busyUntil time.Time // when the link has sent all bytes passed to throttle
}

func newProxy(t testing.TB, target string) *proxy {
	t.Helper()
	var k net.ListenConfig
	l, err := k.Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &proxy{listener: l, to: target, conns: map[net.Conn]bool{}, silent: make(chan struct{}), closed: make(chan struct{})}
	go p.accept()
	t.Cleanup(p.close)
	return p
}

func (p *proxy) address() string {
	return p.listener.Addr().String()
}

// setTarget changes the target of new connections.
func (p *proxy) setTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.to = target
}

func (p *proxy) target() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.to
}

func (p *proxy) set(w linkMode) {
	p.mode.Store(int32(w))
}

// silenceOpen silences all open connections for good. New ones are forwarded.
func (p *proxy) silenceOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.silent)
	p.silent = make(chan struct{})
}

// reset closes all connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // before any is closed, as copy closes the other side then
		}
	}
	for c := range p.conns {
		_ = c.Close()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.closeOnce.Do(func() { close(p.closed) })
	p.set(pass)
	p.reset()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(c net.Conn) {
	d := net.Dialer{Timeout: time.Second}
	u, err := d.DialContext(context.Background(), "tcp", p.target())
	if err != nil {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // resets the connection, as a box without a listener does
		}
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[u] = true, true
	silent := p.silent
	p.mu.Unlock()
	go p.copy(u, c, false, silent)
	p.copy(c, u, true, silent)
}

// throttle waits until the link, which all connections share, has sent n bytes.
func (p *proxy) throttle(n int) {
	if p.rate <= 0 {
		return
	}
	p.mu.Lock()
	if now := time.Now(); p.busyUntil.Before(now) {
		p.busyUntil = now
	}
	p.busyUntil = p.busyUntil.Add(time.Duration(float64(n) / p.rate * float64(time.Second)))
	d := time.Until(p.busyUntil)
	p.mu.Unlock()
	time.Sleep(d)
}

// copy forwards bytes in one direction until either side closes. back is true towards the dialling
// side. Once silent is closed, neither bytes nor ends are forwarded until the proxy closes.
func (p *proxy) copy(to, from net.Conn, back bool, silent chan struct{}) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
		p.mu.Lock()
		delete(p.conns, to)
		delete(p.conns, from)
		p.mu.Unlock()
	}()
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		for w := linkMode(p.mode.Load()); w == silence || w == deafen && back; w = linkMode(p.mode.Load()) {
			time.Sleep(modePollInterval)
		}
		select {
		case <-silent:
			<-p.closed
			return
		default:
		}
		if linkMode(p.mode.Load()) == delay {
			time.Sleep(linkDelay)
		}
		if back {
			p.throttle(n)
		}
		if _, werr := to.Write(b[:n]); err != nil || werr != nil {
			return
		}
	}
}
