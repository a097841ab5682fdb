package spread

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/feed"
	"github.com/hollowgrade/hollowgrade/peer"
)

const (
	segmentBytes         = 16 << 10             // that a link transmits at once
	windowBytes          = 256 << 10            // that may be in flight per direction of a connection
	dialTime             = 2 * time.Millisecond // time to establish a connection
	storeBytesPerSecond  = 80 << 20             // shared by all reads of the store
	storeBox             = "store"              // the store's name in the network
	narrowBytesPerSecond = 20e6 / 8             // 20 Mbit/s
	wideBytesPerSecond   = 200e6 / 8            // 200 Mbit/s
)

// network is a network of boxes in virtual time. Each box has a link whose rate, in each direction,
// is shared by all its connections.
type network struct {
	mu          sync.Mutex
	links       map[string]*boxLink
	listeners   map[string]*listener
	conns       []*conn
	closed      bool
	partitioned func(a, b string) bool // whether two boxes cannot reach each other
}

type boxLink struct {
	hall                      string
	rate                      float64   // bytes a second
	outBusyUntil, inBusyUntil time.Time // when all data scheduled so far will have passed
	receivedBytes             int64
	crossHallBytes            int64 // received from other halls
}

func newNetwork() *network {
	return &network{
		links:       map[string]*boxLink{storeBox: {rate: storeBytesPerSecond}},
		listeners:   map[string]*listener{},
		partitioned: func(string, string) bool { return false },
	}
}

// partition sets which boxes cannot reach each other, and closes the connections between them.
func (n *network) partition(parted func(a, b string) bool) {
	n.mu.Lock()
	n.partitioned = parted
	var cs []*conn
	for _, c := range n.conns {
		if parted(c.out.from, c.out.to) {
			cs = append(cs, c)
		}
	}
	n.mu.Unlock()
	for _, c := range cs {
		_ = c.Close()
	}
}

func (n *network) add(box, hall string, rate float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[box] = &boxLink{hall: hall, rate: rate}
}

func (n *network) place(box string) feed.Place {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.links[box]
	return feed.Place{Hall: l.hall, Link: l.rate * 8 / 1e6}
}

// send schedules bytes for transmission from one box to another and returns when they arrive.
func (n *network) send(from, to string, bytes int) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	f, t := n.links[from], n.links[to]
	f.outBusyUntil = hollowgrade.Later(f.outBusyUntil, now).Add(seconds(float64(bytes) / f.rate))
	t.inBusyUntil = hollowgrade.Later(t.inBusyUntil, f.outBusyUntil).Add(seconds(float64(bytes) / t.rate))
	t.receivedBytes += int64(bytes)
	if from != storeBox && f.hall != t.hall {
		t.crossHallBytes += int64(bytes)
	}
	return t.inBusyUntil
}

// byteCounts returns the most bytes that a box with a narrow link received, and all bytes that
// crossed halls.
func (n *network) byteCounts() (narrowest, crossed int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for b, l := range n.links {
		if b == storeBox {
			continue
		}
		if l.rate == narrowBytesPerSecond {
			narrowest = max(narrowest, l.receivedBytes)
		}
		crossed += l.crossHallBytes
	}
	return narrowest, crossed
}

// busiest returns the most bytes that one box has received, and the most connections that one box
// has open.
func (n *network) busiest() (bytes int64, open int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for b, l := range n.links {
		if b != storeBox {
			bytes = max(bytes, l.receivedBytes)
		}
	}
	at := map[string]int{}
	for _, c := range n.conns {
		if c.out.isOpen() {
			at[c.out.from]++
			at[c.out.to]++
		}
	}
	for _, k := range at {
		open = max(open, k)
	}
	return bytes, open
}

func (h *half) isOpen() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.closed
}

func (n *network) resetCounts() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		l.receivedBytes, l.crossHallBytes = 0, 0
	}
}

func (n *network) close() {
	n.mu.Lock()
	n.closed = true
	cs := append([]*conn(nil), n.conns...)
	n.mu.Unlock()
	for _, c := range cs {
		_ = c.Close()
	}
}

// disconnect closes all connections of a box, and accepts no new ones to it.
func (n *network) disconnect(box string) {
	n.mu.Lock()
	delete(n.listeners, box)
	var cs []*conn
	for _, c := range n.conns {
		if c.out.from == box || c.out.to == box {
			cs = append(cs, c)
		}
	}
	n.mu.Unlock()
	for _, c := range cs {
		_ = c.Close()
	}
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// half is one direction of a connection.
type half struct {
	net           *network
	from, to      string
	mu            sync.Mutex
	changed       *sync.Cond
	partialFrame  []byte   // the header of a frame whose body is not yet written
	queue         [][]byte // frames that are not yet in transmission
	unread        []byte
	inFlightBytes int // bytes sent and not yet read
	closed        bool
}

func newHalf(n *network, from, to string) *half {
	h := &half{net: n, from: from, to: to}
	h.changed = sync.NewCond(&h.mu)
	go h.transmit()
	return h
}

// transmit sends the queued frames over the links, one segment at a time, until the connection is
// closed.
func (h *half) transmit() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for !h.closed {
		if len(h.queue) == 0 {
			h.changed.Wait()
			continue
		}
		s := h.queue[0]
		h.queue = h.queue[1:]
		for left := len(s); left > 0 && !h.closed; left -= segmentBytes {
			at := h.net.send(h.from, h.to, min(left, segmentBytes))
			h.mu.Unlock()
			time.Sleep(time.Until(at))
			h.mu.Lock()
		}
		h.unread = append(h.unread, s...)
		h.changed.Broadcast()
	}
}

// write queues data as one frame. A frame header is kept until its body follows: yamux reads a body
// under a lock, and virtual time doesn't advance while a goroutine waits for a lock.
func (h *half) write(b []byte) (n int, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.partialFrame = append(h.partialFrame, b...)
	if isDataHeader(b) {
		return len(b), nil
	}
	for !h.closed && h.inFlightBytes >= windowBytes {
		h.changed.Wait()
	}
	if h.closed {
		return 0, io.ErrClosedPipe
	}
	h.queue = append(h.queue, h.partialFrame)
	h.inFlightBytes += len(h.partialFrame)
	h.partialFrame = nil
	h.changed.Broadcast()
	return len(b), nil
}

// isDataHeader reports whether b is the header of a yamux data frame with a body.
func isDataHeader(b []byte) bool {
	const headBytes, typeAt, lengthAt, data = 12, 1, 8, 0
	return len(b) == headBytes && b[typeAt] == data && binary.BigEndian.Uint32(b[lengthAt:]) > 0
}

func (h *half) read(b []byte) (n int, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for !h.closed && len(h.unread) == 0 {
		h.changed.Wait()
	}
	if len(h.unread) == 0 {
		return 0, io.EOF
	}
	n = copy(b, h.unread)
	h.unread = h.unread[n:]
	h.inFlightBytes -= n
	h.changed.Broadcast()
	return n, nil
}

func (h *half) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	h.changed.Broadcast()
}

// conn is one end of a connection.
type conn struct {
	out, in *half
}

func (c *conn) Read(b []byte) (int, error)       { return c.in.read(b) }
func (c *conn) Write(b []byte) (int, error)      { return c.out.write(b) }
func (c *conn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *conn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *conn) SetDeadline(time.Time) error      { return nil }
func (c *conn) SetReadDeadline(time.Time) error  { return nil }
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

func (c *conn) Close() error {
	c.out.close()
	c.in.close()
	return nil
}

// listener accepts connections to one box.
type listener struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

func (n *network) listen(box string) *listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[box] = l
	return l
}

// dialer returns a dialer that connects a box to others.
func (n *network) dialer(from string) peer.Dialer {
	return func(ctx context.Context, to string) (net.Conn, error) {
		n.mu.Lock()
		l, closed := n.listeners[to], n.closed || n.partitioned(from, to)
		n.mu.Unlock()
		if l == nil || closed {
			return nil, fmt.Errorf("nobody listens on %s", to)
		}
		out, in := newHalf(n, from, to), newHalf(n, to, from)
		c := &conn{out: out, in: in}
		n.mu.Lock()
		n.conns = append(n.conns, c)
		n.mu.Unlock()
		time.Sleep(dialTime)
		select {
		case l.accepted <- &conn{out: in, in: out}:
			return c, nil
		case <-ctx.Done():
			return nil, errors.Join(ctx.Err(), c.Close())
		case <-l.closed:
			return nil, errors.Join(net.ErrClosed, c.Close())
		}
	}
}
