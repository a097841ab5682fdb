package stand

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Sent is one attempt of a client.
type Sent struct {
	ID, Path, Key string
	Gateway       string
	At            time.Time // when its last byte was sent
	Deadline      time.Duration
	Ended         time.Time
	Status        int   // 0 without a head
	Events        int   // bytes of the body that came, for streams: complete events
	Err           error // nil after a complete answer
	Refused       bool  // the connection was refused, or closed before the request was written
}

// Caller is a client on one kept connection.
type Caller struct {
	addr, gateway string
	record        *Record
	conn          net.Conn
	in            *bufio.Reader
}

// NewCaller returns a client of the gateway.
func NewCaller(g *Gateway, r *Record) *Caller {
	return &Caller{addr: g.Callers, gateway: g.Name, record: r}
}

// Close closes the connection.
func (c *Caller) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Do sends one request and waits for the end of its answer or its deadline.
func (c *Caller) Do(method, path, id, key string, body []byte, deadline time.Duration) (s Sent) {
	s = Sent{ID: id, Path: path, Key: key, Gateway: c.gateway, Deadline: deadline}
	defer func() {
		s.Ended = time.Now()
		c.record.Add("answered  %s by %s: status %d, %d bytes, %v", id, c.gateway, s.Status, s.Events, s.Err)
	}()
	if c.conn == nil {
		k, err := net.DialTimeout("tcp", c.addr, time.Second)
		if err != nil {
			s.At, s.Err, s.Refused = time.Now(), err, true
			return s
		}
		c.conn, c.in = k, bufio.NewReader(k)
	}
	auth := ""
	if key != "" {
		auth = "Authorization: Bearer " + key + "\r\n"
	}
	_ = c.conn.SetDeadline(time.Now().Add(deadline + 500*time.Millisecond))
	_, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		method, path, id, deadline.Milliseconds(), auth, len(body), body)
	s.At = time.Now()
	c.record.Add("sent      %s %s %s to %s", id, method, path, c.gateway)
	if err != nil {
		c.Close()
		s.Err, s.Refused = err, true
		return s
	}
	a, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		c.Close()
		s.Err = fmt.Errorf("no answer: %w", err)
		return s
	}
	s.Status = a.StatusCode
	n, err := io.Copy(io.Discard, a.Body)
	s.Events = int(n)
	_ = a.Body.Close()
	switch {
	case err != nil:
		s.Err = fmt.Errorf("answer cut: %w", err)
	case a.StatusCode == http.StatusOK && a.Header.Get("Attempt-Id") != id:
		s.Err = errors.New("answer of another request")
	}
	if err != nil || a.Close {
		c.Close()
	}
	return s
}
