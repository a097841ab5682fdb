package callers

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/hollowgrade/hollowgrade/memory"
)

const (
	// uncountedHeadBytes is how much of an incomplete head is not taken from the budget, so that short
	// requests are read while others use it up. All connections together hold that much at most.
	uncountedHeadBytes = 4 << 10
	// uncountedCost is the same of the cost of a whole head, so that the handler sees usual requests and
	// refuses them with the reason.
	uncountedCost = 8 << 10
	// headSlack is how many bytes a head may have beyond the limit here. The handler applies the limit to
	// the head as it was parsed, and answers with more detail.
	headSlack = 4 << 10
	// fieldBytes is what a header field takes once it is parsed, beside its bytes.
	fieldBytes = 192
	// unreadTime and maxUnreadBytes bound what is read of a refused caller, so that the kernel does not drop
	// the refusal for bytes that nobody has read.
	unreadTime     = 5 * time.Millisecond
	maxUnreadBytes = 64 << 10
)

// The answers to requests whose heads were not passed on to the handler: none of them has run.
const (
	largeHeadAnswer       = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	unavailableRetryAfter = "1" // seconds
	unavailableAnswer     = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: " + unavailableRetryAfter + "\r\nContent-Length: 0\r\n\r\n"
)

// headCost returns the memory that a whole head takes until its request has ended: its bytes as they have
// arrived and as they are parsed, and its fields.
func headCost(size, lines int) int64 {
	return int64(2*size + fieldBytes*lines)
}

// countedCost returns what of it is taken from the budget.
func countedCost(size, lines int) int64 {
	return max(headCost(size, lines)-uncountedCost, 0)
}

// parsedCost returns what a parsed head takes of the budget.
func parsedCost(r *http.Request) int64 {
	size, fields := len(r.RequestURI), 0
	for k, vs := range r.Header {
		fields += len(vs)
		for _, v := range vs {
			size += len(k) + len(v)
		}
	}
	return countedCost(size, fields)
}

// position is where the last byte that arrived stands in a head.
type position int

const (
	atStart   position = iota // before the first line
	atStartCR                 // after a carriage return there
	inLine                    // within a line
	atLine                    // at the start of a line that may be the empty one at the end
	atLineCR                  // after a carriage return there
)

// next returns the position after a further byte. It reports true if the byte ends the head, or an empty line
// before it.
func (p position) next(b byte) (position, bool) {
	atBegin := p == atStart || p == atLine
	switch {
	case b == '\n' && p == inLine:
		return atLine, false
	case b == '\n':
		return atStart, true
	case b == '\r' && atBegin:
		return p + 1, false
	default:
		return inLine, false
	}
}

// head holds what has arrived of a request's head until it is complete: what a parser makes of it takes many
// times the memory.
type head struct {
	position position
	size     int // bytes that have arrived
	lines    int
	held     []byte // what has arrived and was not passed on
	complete bool   // whether held is to be passed on
}

// follow notes bytes that were passed on while no head was waited for. A pipelined request may begin in them.
func (h *head) follow(b []byte) {
	const decisive = 3 // bytes that determine the position
	if len(b) >= decisive {
		h.position = inLine
		b = b[len(b)-decisive:]
	}
	for _, c := range b {
		h.position, _ = h.position.next(c)
	}
}

// scan notes bytes of a head. It returns how many of them belong to it, and whether it is complete.
func (h *head) scan(b []byte) (n int, complete bool) {
	for n < len(b) && !complete {
		if h.position == inLine {
			i := bytes.IndexByte(b[n:], '\n')
			if i < 0 {
				n = len(b)
				break
			}
			n += i
		}
		if b[n] == '\n' {
			h.lines++
		}
		h.position, complete = h.position.next(b[n])
		n++
	}
	h.size += n
	return n, complete
}

// pass passes on a part of a complete head and of what arrived after it.
func (h *head) pass(b []byte) (n int) {
	if !h.complete {
		return 0
	}
	n = copy(b, h.held)
	if h.held = h.held[n:]; len(h.held) == 0 {
		h.held, h.complete = nil, false
	}
	return n
}

// restart begins the next head.
func (h *head) restart() {
	h.size, h.lines = 0, 0
}

// addHead adds bytes that have arrived while a head is waited for. It returns how many bytes at the start of b
// are to be passed on at once, 0 if more have to arrive. The error is [io.EOF] if the connection was closed
// with a refusal.
func (c *conn) addHead(b []byte) (n int, err error) {
	h := &c.head
	end, complete := h.scan(b)
	if !complete {
		return 0, c.holdHead(b)
	}
	h.follow(b[end:])
	cost := countedCost(h.size, h.lines)
	h.restart()
	if !c.claim.Set(cost, memory.Waiting) {
		return 0, c.refuse(causeNoMemory)
	}
	if len(h.held) == 0 {
		return len(b), nil
	}
	h.held = append(h.held, b...)
	h.complete = true
	return h.pass(b), nil
}

// holdHead keeps bytes of a head that is not complete.
func (c *conn) holdHead(b []byte) error {
	h := &c.head
	if h.size > c.server.effectiveLimits().HeadBytes+headSlack {
		return c.refuse(causeLargeHead)
	}
	need := len(h.held) + len(b)
	if need > cap(h.held) {
		size := max(need, 2*cap(h.held))
		if size > uncountedHeadBytes && !c.claim.Set(int64(size), memory.Partial) {
			return c.refuse(causeNoMemory)
		}
		h.held = append(make([]byte, 0, size), h.held...)
	}
	h.held = append(h.held, b...)
	return nil
}

// refuse answers a request whose head was not passed on, and closes the connection.
func (c *conn) refuse(why closeCause) error {
	answer := unavailableAnswer
	if why == causeLargeHead {
		answer = largeHeadAnswer
	}
	c.end()
	c.head.held = nil
	c.server.recordClose(why)
	c.answerAndClose(answer)
	return io.EOF // net/http answers no request for it
}

// answerAndClose writes an answer and closes the connection. A caller that is gone needs no answer, so errors
// are ignored.
func (c *conn) answerAndClose(answer string) {
	_ = c.SetWriteDeadline(time.Now().Add(timeoutWriteTime))
	_, _ = io.WriteString(c, answer)
	_ = c.Conn.SetReadDeadline(time.Now().Add(unreadTime))
	_, _ = io.CopyN(io.Discard, c.Conn, maxUnreadBytes)
	_ = c.Close()
}

// revoke ends the request of a connection whose claim has given way to others, unless it has ended meanwhile.
func (c *conn) revoke() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.claim.Revoked() {
		return
	}
	c.revoked = true
	_ = c.Conn.SetReadDeadline(time.Now()) // a closed connection has nothing to end
}

// release returns what the request took of the budget.
func (c *conn) release() {
	c.claim.Release()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revoked = false
}

// isRevoked reports whether the memory of the request was given to others.
func (c *conn) isRevoked() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revoked
}
