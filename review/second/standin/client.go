package standin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Request is what a client sends.
type Request struct {
	Method, Host, Path, Key string
	Deadline                time.Duration
	Header                  []string // further lines
	Body                    string
}

// Result is what a client has seen of its request.
type Result struct {
	ID       string
	Path     string
	Gateway  string
	Sent     time.Time // when its last byte was sent
	Ended    time.Time
	Status   int // 0 if no head came
	Seal     string
	Events   int
	LastID   int
	Gaps     bool // an event was missing or came twice
	Complete bool // the whole answer came
	Bytes    int
	Close    bool // the answer said that the connection closes
	Left     bool // the client has left: nothing had come for too long, or its time was over
	Err      error
}

// String describes the result for the record.
func (r Result) String() string {
	return fmt.Sprintf("%s at %s: status=%d complete=%v events=%d took_ms=%d err=%v", r.ID, r.Gateway, r.Status, r.Complete, r.Events, r.Ended.Sub(r.Sent).Milliseconds(), r.Err)
}

// Conn is a client's connection.
type Conn struct {
	Gateway string
	Gap     time.Duration // after which the client leaves a stream that sends nothing; 0 for no bound
	c       net.Conn
	in      *bufio.Reader
	until   time.Time // of the present request
	log     *Record
}

// The gaps after which clients leave the streams of the two routes: the longest of two seconds, four goals
// and eight pauses.
const (
	CopyGap    = 2 * time.Second
	ArchiveGap = 12 * time.Second
)

// ids numbers the attempts of all clients.
var ids atomic.Int64

// Dial opens a connection to a gateway.
func Dial(gateway, address string, log *Record) (*Conn, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{Gateway: gateway, c: c, in: bufio.NewReader(c), log: log}, nil
}

// renew sets the deadline of the next read.
func (c *Conn) renew() {
	d := c.until
	if g := time.Now().Add(c.Gap); c.Gap > 0 && g.Before(d) {
		d = g
	}
	_ = c.c.SetDeadline(d)
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.c.Close() }

// Do sends a request and reads its answer, as long as the client waits.
func (c *Conn) Do(q Request) (r Result) {
	r = Result{ID: fmt.Sprintf("a%06d", ids.Add(1)), Path: q.Path, Gateway: c.Gateway}
	defer func() {
		r.Ended = time.Now()
		r.Left = errors.Is(r.Err, os.ErrDeadlineExceeded)
		c.log.Add("answered %s", r)
	}()
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", q.Method, q.Path, q.Host, r.ID, q.Deadline.Milliseconds())
	if q.Key != "" {
		head += "Authorization: Bearer " + q.Key + "\r\n"
	}
	for _, l := range q.Header {
		head += l + "\r\n"
	}
	if q.Body != "" || q.Method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(q.Body))
	}
	r.Sent = time.Now()
	c.until = r.Sent.Add(q.Deadline)
	c.renew()
	c.log.Add("sent %s %s %s to %s", r.ID, q.Method, q.Path, c.Gateway)
	if _, r.Err = io.WriteString(c.c, head+"\r\n"+q.Body); r.Err != nil {
		return r
	}
	a, err := http.ReadResponse(c.in, &http.Request{Method: q.Method})
	if err != nil {
		r.Err = err
		return r
	}
	r.Status, r.Seal, r.Close = a.StatusCode, a.Header.Get("Response-Seal"), a.Close
	if strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream") {
		r.Err = r.readEvents(a.Body, c.renew)
	} else {
		var n int64
		n, r.Err = io.Copy(io.Discard, a.Body)
		r.Bytes = int(n)
	}
	r.Complete = r.Err == nil
	return r
}

func (r *Result) readEvents(b io.Reader, renew func()) error {
	in := bufio.NewReader(b)
	for {
		renew()
		l, err := in.ReadString('\n')
		r.Bytes += len(l)
		if id, ok := strings.CutPrefix(strings.TrimSpace(l), "id:"); ok {
			n, err := strconv.Atoi(strings.TrimSpace(id))
			if err != nil || n != r.LastID+1 {
				r.Gaps = true
			}
			r.LastID = n
			r.Events++
		}
		if errors.Is(err, io.EOF) && l == "" {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
