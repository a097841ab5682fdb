package peer

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hollowgrade/hollowgrade/internal/errs"
	"github.com/hollowgrade/hollowgrade/internal/wire"
)

// MaxPacket is the largest packet in bytes: what an Ethernet frame carries without fragmentation.
const MaxPacket = 1400

// readErrorDelay is the delay after a packet that could not be read.
const readErrorDelay = 10 * time.Millisecond

// Packets sends and receives single frames as datagrams, which may be lost, duplicated or
// reordered. To send and receive a frame costs a tenth of what it costs on a stream.
type Packets struct {
	conn *net.UDPConn
}

// ListenPackets opens a socket for packets on an address.
func ListenPackets(address string) (p *Packets, err error) {
	defer errs.Annotate(&err, "listen for packets on %s", address)
	a, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	c, err := net.ListenUDP("udp", a)
	if err != nil {
		return nil, err
	}
	return &Packets{conn: c}, nil
}

// Address returns the address that the socket listens on.
func (p *Packets) Address() string {
	return p.conn.LocalAddr().String()
}

// Send sends a frame to all addresses. The error joins those of the addresses for which the send
// failed.
func (p *Packets) Send(f *wire.Frame, to []netip.AddrPort) (err error) {
	defer errs.Annotate(&err, "send packet")
	b, err := proto.Marshal(f)
	if err != nil {
		return err
	}
	if len(b) > MaxPacket {
		return fmt.Errorf("%w: %d bytes are too many for a packet", ErrBroken, len(b))
	}
	var es []error
	for _, a := range to {
		if _, err = p.conn.WriteToUDPAddrPort(b, a); err != nil {
			es = append(es, err)
		}
	}
	return errors.Join(es...)
}

// Serve passes each received frame to a function until the socket is closed. Frames that cannot be
// decoded and read errors are reported to broken.
func (p *Packets) Serve(handle func(*wire.Frame), broken func(peer net.Addr, err error)) {
	b := make([]byte, MaxPacket+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			broken(net.UDPAddrFromAddrPort(from), err) // such as an ICMP error for an earlier packet
			time.Sleep(readErrorDelay)
			continue
		}
		f := &wire.Frame{}
		if err = proto.Unmarshal(b[:n], f); err != nil || f.Body == nil {
			broken(net.UDPAddrFromAddrPort(from), fmt.Errorf("%w: packet of %d bytes", ErrBroken, n))
			continue
		}
		handle(f)
	}
}

// Close closes the socket.
func (p *Packets) Close() error {
	return p.conn.Close()
}
