package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"github.com/hollowgrade/hollowgrade/internal/wire"
	"github.com/hollowgrade/hollowgrade/memory"
)

// ErrNoMemory is in the chain of the error for a frame for which the budget of a server has no room.
var ErrNoMemory = errors.New("the frames that are arriving take all the memory that they may")

// errFrameTooLarge is in the chain of the error for a frame of more than [MaxFrame] bytes.
var errFrameTooLarge = errors.New("frame too large")

// readFrame reads a frame. What is beyond the stream's buffer is allocated and claimed as it arrives, so that
// a peer that only announces a large frame takes little.
func (s *Stream) readFrame() (f *wire.Frame, err error) {
	size, err := binary.ReadUvarint(s.in)
	if err != nil {
		return nil, err
	}
	if size > MaxFrame {
		return nil, fmt.Errorf("%w: %d bytes", errFrameTooLarge, size)
	}
	f = &wire.Frame{}
	if n := int(size); n <= s.in.Size() {
		return f, s.readSmall(n, f)
	}
	p := partialFrame{stream: s}
	defer p.release()
	if err = p.read(int(size)); err != nil {
		return nil, err
	}
	return f, proto.Unmarshal(p.bytes, f)
}

// readSmall reads a frame of n bytes that fits into the stream's buffer.
func (s *Stream) readSmall(n int, f *wire.Frame) error {
	b, err := s.in.Peek(n)
	if err != nil {
		return unexpectedEOF(err)
	}
	if err = proto.Unmarshal(b, f); err != nil {
		return err
	}
	_, err = s.in.Discard(n)
	return err
}

// partialFrame holds what has arrived of a frame.
type partialFrame struct {
	stream  *Stream
	bytes   []byte
	claimed int64
}

// read reads the frame of n bytes. It allocates as much again as has arrived.
func (p *partialFrame) read(n int) error {
	for len(p.bytes) < n {
		if err := p.grow(min(max(2*len(p.bytes), streamBufferBytes), n)); err != nil {
			return err
		}
		k, err := io.ReadFull(p.stream.in, p.bytes[len(p.bytes):cap(p.bytes)])
		p.bytes = p.bytes[:len(p.bytes)+k]
		if err != nil {
			return unexpectedEOF(err)
		}
		p.stream.raw.Shrink() // yamux keeps the buffer of what it has received
	}
	return nil
}

// grow makes room for n bytes in all.
func (p *partialFrame) grow(n int) error {
	more := int64(n - cap(p.bytes))
	if c := p.stream.claim; c != nil && !c.Add(more, memory.Partial) {
		return ErrNoMemory
	}
	p.claimed += more
	p.bytes = append(make([]byte, 0, n), p.bytes...)
	return nil
}

// release returns what was claimed.
func (p *partialFrame) release() {
	if c := p.stream.claim; c != nil {
		c.Add(-p.claimed, memory.Partial) // a claim that was revoked holds nothing
	}
}

// unexpectedEOF returns the error for a frame that has ended within.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
