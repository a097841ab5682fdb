package standin

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"
)

// Network is a stand-in for the network between boxes. It runs in a test's virtual time, delays
// packets for each pair of addresses, and can cut links and freeze boxes.
type Network struct {
	delay func(from, to string) time.Duration

	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*link]struct{}
	cut       map[pair]bool
	frozen    map[string]*Freezer
}

type pair struct{ a, b string }

// NewNetwork returns a network with the given one-way delay between two addresses.
func NewNetwork(delay func(from, to string) time.Duration) *Network {
	return &Network{
		delay:     delay,
		listeners: map[string]*listener{},
		conns:     map[*link]struct{}{},
		cut:       map[pair]bool{},
		frozen:    map[string]*Freezer{},
	}
}

// errRefused is the error of dialling an address without a listener.
var errRefused = errors.New("connection refused")

// Listen opens a listener at an address, which is any name.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{network: n, address: address, conns: make(chan net.Conn, 64), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// Dial returns a function that opens connections from an address.
func (n *Network) Dial(from string) func(ctx context.Context, to string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		n.waitUnfrozen(from)
		t := time.NewTimer(2 * n.delay(from, to))
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		return n.connect(ctx, from, to)
	}
}

func (n *Network) connect(ctx context.Context, from, to string) (net.Conn, error) {
	n.mu.Lock()
	l, ok := n.listeners[to]
	cut := n.isCut(from, to)
	n.mu.Unlock()
	if cut {
		// Packets are dropped, so that the dial ends only with the caller's timeout.
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if !ok {
		return nil, errRefused
	}
	near, far, k := n.link(from, to)
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		k.close()
		return nil, errRefused
	case <-ctx.Done():
		k.close()
		return nil, ctx.Err()
	}
}

// Freezer returns the freezer of the box at an address.
func (n *Network) Freezer(address string) *Freezer {
	n.mu.Lock()
	defer n.mu.Unlock()
	f, ok := n.frozen[address]
	if !ok {
		f = &Freezer{}
		n.frozen[address] = f
	}
	return f
}

// ResetFreezer gives the next process at an address a new freezer, so that it starts unfrozen. The
// former process keeps its state.
func (n *Network) ResetFreezer(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.frozen, address)
}

func (n *Network) waitUnfrozen(address string) {
	n.Freezer(address).Wait()
}

// Cut breaks all connections between two addresses and prevents new ones until Heal.
func (n *Network) Cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[pair{a, b}] = true
	for k := range n.conns {
		if k.from == a && k.to == b || k.from == b && k.to == a {
			go k.close()
		}
	}
}

// Heal restores the link between two addresses after Cut.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, pair{a, b})
	delete(n.cut, pair{b, a})
}

func (n *Network) isCut(a, b string) bool {
	return n.cut[pair{a, b}] || n.cut[pair{b, a}]
}

// Kill breaks all connections of an address and closes its listener, as a crash of its process does.
func (n *Network) Kill(address string) {
	n.mu.Lock()
	l := n.listeners[address]
	delete(n.listeners, address)
	for k := range n.conns {
		if k.from == address || k.to == address {
			go k.close()
		}
	}
	n.mu.Unlock()
	if l != nil {
		_ = l.Close()
	}
}

type listener struct {
	network *Network
	address string
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements [net.Listener].
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements [net.Listener].
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	if l.network.listeners[l.address] == l {
		delete(l.network.listeners, l.address)
	}
	return nil
}

// Addr implements [net.Listener].
func (l *listener) Addr() net.Addr {
	return Address(l.address)
}

// Address is an address of a [Network].
type Address string

// Network implements [net.Addr].
func (Address) Network() string { return "standin" }

// String implements [net.Addr].
func (a Address) String() string { return string(a) }

// link is one connection: two pipes, and two goroutines for each direction that forward the data
// with a delay.
type link struct {
	network  *Network
	from, to string
	delay    time.Duration
	ends     [4]net.Conn
	done     chan struct{}
	once     sync.Once
}

func (n *Network) link(from, to string) (near, far net.Conn, k *link) {
	k = &link{network: n, from: from, to: to, delay: n.delay(from, to), done: make(chan struct{})}
	a1, a2 := net.Pipe()
	b1, b2 := net.Pipe()
	k.ends = [4]net.Conn{a1, a2, b1, b2}
	n.mu.Lock()
	n.conns[k] = struct{}{}
	n.mu.Unlock()
	go k.forward(a2, b1, from, to)
	go k.forward(b1, a2, to, from)
	return a1, b2, k
}

func (k *link) close() {
	k.once.Do(func() {
		close(k.done)
		for _, c := range k.ends {
			_ = c.Close()
		}
		k.network.mu.Lock()
		delete(k.network.conns, k)
		k.network.mu.Unlock()
	})
}

type packet struct {
	data []byte
	at   time.Time
}

const (
	packetBytes        = 32 << 10
	maxPacketsInFlight = 256
)

// forward reads from one end, and queues the data for deliver, which writes it to the other end.
func (k *link) forward(in, out net.Conn, from, to string) {
	ps := make(chan packet, maxPacketsInFlight)
	go k.deliver(ps, out, to)
	defer close(ps)
	b := make([]byte, packetBytes)
	for {
		c, err := in.Read(b)
		if c > 0 {
			k.network.waitUnfrozen(from)
			p := packet{data: slices.Clone(b[:c]), at: time.Now().Add(k.delay)}
			select {
			case ps <- p:
			case <-k.done:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// deliver writes each packet once its delay has passed, and closes the connection after the last.
func (k *link) deliver(ps <-chan packet, out net.Conn, to string) {
	defer k.close()
	for p := range ps {
		if d := time.Until(p.at); d > 0 {
			t := time.NewTimer(d)
			select {
			case <-t.C:
			case <-k.done:
				t.Stop()
				return
			}
		}
		k.network.waitUnfrozen(to)
		if _, err := out.Write(p.data); err != nil {
			return
		}
	}
}
