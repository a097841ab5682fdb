package standin

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Job is what a worker does for one request.
type Job struct {
	Stream bool
	Events int           // of a stream
	First  time.Duration // until the first event, or the work of a plain request
	Pause  time.Duration // between events
	Size   int           // bytes of a plain answer, or of an event's data
	// Spoiled is what a faulty worker sends in place of its answer once it has done the work; empty for
	// none. The connection ends with it.
	Spoiled string
}

// Run is one request that a worker has begun to work on.
type Run struct {
	ID      string
	Worker  string
	Service string
	Path    string
	Tenant  string
	After   string // Last-Event-Id
	At      time.Time
	Ended   time.Time // when its answer was complete, zero if it was not
}

// Worker is a stand-in worker. It works on some requests at a time, queues a few more and refuses the
// rest, drops a request when its connection closes, and resumes streams.
type Worker struct {
	ID      string
	Service string
	Zone    string
	Slots   int
	Queue   int
	Job     func(r *http.Request) Job
	log     *Record

	listener net.Listener
	mu       sync.Mutex
	taken    int // requests that run or wait
	running  int
	free     chan struct{}
	silent   chan struct{} // closed when a silence ends, nil outside of one
	conns    map[net.Conn]bool
	runs     []*Run
	refused  int
	ended    bool
}

// NewWorker starts a worker on a loopback address.
func NewWorker(id, service, zone string, slots, queue int, job func(r *http.Request) Job, log *Record) (*Worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &Worker{ID: id, Service: service, Zone: zone, Slots: slots, Queue: queue, Job: job, log: log, listener: l,
		free: make(chan struct{}, slots), conns: map[net.Conn]bool{}}
	for range slots {
		w.free <- struct{}{}
	}
	go w.accept()
	return w, nil
}

// Address returns host and port.
func (w *Worker) Address() string { return w.listener.Addr().String() }

// Entry returns the worker's entry in the platform's store.
func (w *Worker) Entry(state string) map[string]any {
	return map[string]any{"service": w.Service, "address": w.Address(), "zone": w.Zone, "version": "v1", "slots": w.Slots, "state": state, "coldLeftMs": 0, "callSeq": 0}
}

// Register writes the worker's entry.
func (w *Worker) Register(s *Store, state string) time.Time {
	return s.PutJSON("keyed.servers", w.ID, w.Entry(state))
}

// Silence makes the worker send nothing for d, and go on after it.
func (w *Worker) Silence(d time.Duration) {
	c := make(chan struct{})
	w.mu.Lock()
	w.silent = c
	w.mu.Unlock()
	w.log.Add("worker %s falls silent for %s", w.ID, d)
	time.AfterFunc(d, func() {
		w.mu.Lock()
		w.silent = nil
		w.mu.Unlock()
		close(c)
		w.log.Add("worker %s goes on", w.ID)
	})
}

// End ends the worker: its listener and connections are closed.
func (w *Worker) End() {
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	for c := range w.conns {
		_ = c.Close()
	}
}

// Runs returns the requests that the worker has begun to work on.
func (w *Worker) Runs() (rs []Run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		rs = append(rs, *r)
	}
	return rs
}

// Refused returns how many requests the worker refused since it was full.
func (w *Worker) Refused() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.refused
}

// Taken returns how many requests run or wait.
func (w *Worker) Taken() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.taken
}

func (w *Worker) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		ended := w.ended
		w.conns[c] = true
		w.mu.Unlock()
		if ended {
			_ = c.Close()
			return
		}
		go w.serve(c)
	}
}

func (w *Worker) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err = io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		ctx, cancel := context.WithCancel(context.Background())
		next := make(chan error, 1)
		go func() {
			_, err := in.Peek(1)
			if err != nil {
				cancel()
			}
			next <- err
		}()
		ok := w.answer(ctx, c, r)
		if !ok {
			cancel()
			return
		}
		err = <-next
		cancel()
		if err != nil {
			return
		}
	}
}

// write sends bytes once the worker is not silent.
func (w *Worker) write(ctx context.Context, c net.Conn, s string) bool {
	w.mu.Lock()
	silent := w.silent
	w.mu.Unlock()
	if silent != nil {
		select {
		case <-silent:
		case <-ctx.Done():
			return false
		}
	}
	if ctx.Err() != nil {
		return false
	}
	_, err := io.WriteString(c, s)
	return err == nil
}

func (w *Worker) head(r *http.Request, status int, more string) string {
	w.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d", w.running, w.taken-w.running, w.Slots)
	w.mu.Unlock()
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\nInstance-Id: %s\r\nInstance-Load: %s\r\nVersions: 1\r\n%s\r\n",
		status, http.StatusText(status), r.Header.Get("Attempt-Id"), w.ID, load, more)
}

func (w *Worker) answer(ctx context.Context, c net.Conn, r *http.Request) bool {
	switch {
	case r.Header.Get("Expect-Instance") != "" && r.Header.Get("Expect-Instance") != w.ID:
		return w.write(ctx, c, w.head(r, http.StatusMisdirectedRequest, "Not-Executed: 1\r\nAt-Server: "+w.ID+"\r\nContent-Length: 0\r\n"))
	case r.URL.Path == "/healthz":
		return w.write(ctx, c, w.head(r, http.StatusOK, "Content-Length: 0\r\n"))
	case r.URL.Path == "/v1/report":
		b := fmt.Sprintf(`{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"callSeq":0,"waiting":0,"running":%d,"kvUsed":0,"kvTotal":450000,"handles":0,"pace":1}`, w.Taken())
		return w.write(ctx, c, w.head(r, http.StatusOK, fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n", len(b)))+b)
	case r.URL.Path == "/v1/order":
		b := `{"free":450000}`
		return w.write(ctx, c, w.head(r, http.StatusOK, fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n", len(b)))+b)
	case r.Header.Get("Attempt-Id") == "":
		return w.write(ctx, c, w.head(r, http.StatusBadRequest, "Not-Executed: 1\r\nContent-Length: 0\r\n"))
	}
	if !w.enter() {
		w.log.Add("worker %s refuses %s: full", w.ID, r.Header.Get("Attempt-Id"))
		return w.write(ctx, c, w.head(r, http.StatusServiceUnavailable, "Not-Executed: 1\r\nAt-Server: "+w.ID+"\r\nContent-Length: 0\r\n"))
	}
	defer w.leave()
	select {
	case <-w.free:
	case <-ctx.Done():
		return false
	}
	defer func() { w.free <- struct{}{} }()
	run := w.begin(r)
	j := w.Job(r)
	ok := false
	if j.Stream {
		ok = w.stream(ctx, c, r, j, run)
	} else {
		ok = w.plain(ctx, c, r, j, run)
	}
	w.mu.Lock()
	w.running--
	if ok {
		run.Ended = time.Now()
	}
	w.mu.Unlock()
	if !ok {
		w.log.Add("worker %s drops %s: its connection was closed", w.ID, run.ID)
	}
	return ok
}

func (w *Worker) enter() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.taken >= w.Slots+w.Queue {
		w.refused++
		return false
	}
	w.taken++
	return true
}

func (w *Worker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.taken--
}

func (w *Worker) begin(r *http.Request) *Run {
	run := &Run{ID: r.Header.Get("Attempt-Id"), Worker: w.ID, Service: w.Service, Path: r.URL.Path, Tenant: r.Header.Get("Tenant"), After: r.Header.Get("Last-Event-Id"), At: time.Now()}
	w.mu.Lock()
	w.running++
	w.runs = append(w.runs, run)
	w.mu.Unlock()
	w.log.Add("worker %s of %s runs %s after=%q deadline_ms=%s", w.ID, w.Service, run.ID, run.After, r.Header.Get("Deadline-Ms"))
	return run
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (w *Worker) seal(run *Run) string { return "seal." + w.ID + "." + run.ID }

func (w *Worker) plain(ctx context.Context, c net.Conn, r *http.Request, j Job, run *Run) bool {
	if !sleep(ctx, j.First) {
		return false
	}
	if j.Spoiled != "" {
		w.log.Add("worker %s has run %s and spoils its answer", w.ID, run.ID)
		return w.write(ctx, c, j.Spoiled)
	}
	b := strings.Repeat("x", j.Size)
	return w.write(ctx, c, w.head(r, http.StatusOK, fmt.Sprintf("Response-Seal: %s\r\nContent-Type: application/octet-stream\r\nContent-Length: %d\r\n", w.seal(run), len(b)))+b)
}

func (w *Worker) stream(ctx context.Context, c net.Conn, r *http.Request, j Job, run *Run) bool {
	if !sleep(ctx, j.First) {
		return false
	}
	if !w.write(ctx, c, w.head(r, http.StatusOK, fmt.Sprintf("Response-Seal: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n", w.seal(run)))) {
		return false
	}
	last, _ := strconv.Atoi(run.After) // 0 if it begins anew
	data := strings.Repeat("t", max(j.Size, 1))
	for i := last + 1; i <= j.Events; i++ {
		if i > last+1 && !sleep(ctx, j.Pause) {
			return false
		}
		e := fmt.Sprintf("id: %d\ndata: %s\n\n", i, data)
		if !w.write(ctx, c, fmt.Sprintf("%x\r\n%s\r\n", len(e), e)) {
			return false
		}
	}
	return w.write(ctx, c, "0\r\n\r\n")
}
