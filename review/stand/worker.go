package stand

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Run is one request that a worker has run.
type Run struct {
	ID, Worker, Tenant string
	Arrived            time.Time
	Ended              time.Time // zero while it runs
	Whole              bool      // whether the worker has written its whole answer
}

// Worker serves plain requests and streams. How long it takes is a function of the path.
type Worker struct {
	ID, Service string
	listener    net.Listener
	record      *Record
	events      func(path string) (n int, pause time.Duration) // n is 0 for a plain answer after the pause

	mu    sync.Mutex
	runs  []*Run
	conns map[net.Conn]bool
}

// NewWorker starts a worker on a free port.
func NewWorker(id, service string, r *Record, events func(path string) (int, time.Duration)) (w *Worker, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w = &Worker{ID: id, Service: service, listener: l, record: r, events: events, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go w.serve(c)
		}
	}()
	return w, nil
}

// Close stops accepting connections.
func (w *Worker) Close() {
	_ = w.listener.Close()
}

// Stop ends the worker with what it runs.
func (w *Worker) Stop() {
	w.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Entry returns the worker's entry in the registry.
func (w *Worker) Entry() map[string]any {
	return map[string]any{
		"service": w.Service, "address": w.listener.Addr().String(), "zone": "z1", "version": "v1",
		"slots": 16, "state": "ready", "coldLeftMs": 0, "callSeq": 0,
	}
}

// Runs returns copies of what has run.
func (w *Worker) Runs() (rs []Run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		rs = append(rs, *r)
	}
	return rs
}

func (w *Worker) serve(c net.Conn) {
	w.mu.Lock()
	w.conns[c] = true
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.conns, c)
		_ = c.Close()
	}()
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err = io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	id := q.Header.Get("Attempt-Id")
	if e := q.Header.Get("Expect-Instance"); e != "" && e != w.ID {
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.ID)
		return
	}
	r := &Run{ID: id, Worker: w.ID, Tenant: q.Header.Get("Tenant"), Arrived: time.Now()}
	w.mu.Lock()
	w.runs = append(w.runs, r)
	w.mu.Unlock()
	w.record.Add("run       %s at %s for %q, after event %q, deadline %s ms", id, w.ID, r.Tenant, q.Header.Get("Last-Event-Id"), q.Header.Get("Deadline-Ms"))
	err = w.answer(c, q)
	w.mu.Lock()
	r.Ended, r.Whole = time.Now(), err == nil
	w.mu.Unlock()
	w.record.Add("run ended %s at %s, answer written: %v", id, w.ID, err == nil)
}

func (w *Worker) answer(c net.Conn, q *http.Request) (err error) {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal.%s\r\nInstance-Load: 1,0,16\r\n", q.Header.Get("Attempt-Id"), w.ID)
	n, pause := w.events(q.URL.Path)
	if n == 0 {
		time.Sleep(pause)
		b := "answer to " + q.Header.Get("Attempt-Id")
		_, err = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(b), b)
		return err
	}
	if _, err = fmt.Fprintf(c, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", head); err != nil {
		return err
	}
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for i := last + 1; i <= n; i++ {
		time.Sleep(pause)
		e := fmt.Sprintf("id: %d\ndata: %s\n\n", i, strings.Repeat("x", 60))
		if _, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e); err != nil {
			return err
		}
	}
	_, err = fmt.Fprint(c, "0\r\n\r\n")
	return err
}
