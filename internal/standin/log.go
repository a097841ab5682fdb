package standin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/standalone"
)

// The errors of the platform's stand-ins.
var (
	ErrOutage  = errors.New("the service is out")
	ErrTooFast = errors.New("the rate limit is reached")
)

// appendsPerSecond is the platform's documented rate limit of its log.
const appendsPerSecond = 100

// Log is a stand-in for the platform's append-only log. Tests inject its faults.
type Log struct {
	clock     hollowgrade.Clock
	retention time.Duration
	limit     *rate.Limiter

	mu            sync.Mutex
	records       []hollowgrade.Record
	earliest      int64
	outage        bool
	answersToLose int // number of appends whose answers are still to be dropped
}

// NewLog returns an empty log that keeps records for the retention, or forever if it is 0.
func NewLog(retention time.Duration, k hollowgrade.Clock) *Log {
	return &Log{clock: k, retention: retention, limit: rate.NewLimiter(appendsPerSecond, appendsPerSecond)}
}

// SetOutage begins or ends an outage.
func (l *Log) SetOutage(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outage = on
}

// LoseAnswers makes the next n appends take effect but answer with an error.
func (l *Log) LoseAnswers(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answersToLose = n
}

// Append implements [hollowgrade.Log].
func (l *Log) Append(_ context.Context, body []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outage {
		return 0, ErrOutage
	}
	now := l.clock.Now()
	if !l.limit.AllowN(now, 1) {
		return 0, ErrTooFast
	}
	o := l.next()
	l.records = append(l.records, hollowgrade.Record{Offset: o, Time: now, Body: slices.Clone(body)})
	if l.answersToLose > 0 {
		l.answersToLose--
		return 0, ErrOutage
	}
	return o, nil
}

func (l *Log) next() int64 {
	return l.earliest + int64(len(l.records))
}

// Trim drops the records before the offset, as if their retention had expired.
func (l *Log) Trim(before int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trim(before)
}

func (l *Log) trim(before int64) {
	n := min(max(before-l.earliest, 0), int64(len(l.records)))
	l.records = l.records[n:]
	l.earliest += n
}

// Read implements [hollowgrade.Log].
func (l *Log) Read(_ context.Context, from int64, limit int) (p hollowgrade.Page, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outage {
		return p, ErrOutage
	}
	l.trimExpired()
	p.Earliest, p.Next = l.earliest, l.next()
	if from < l.earliest {
		return p, hollowgrade.ErrTrimmed
	}
	i := min(from-l.earliest, int64(len(l.records)))
	j := min(i+int64(limit), int64(len(l.records)))
	p.Records = slices.Clone(l.records[i:j])
	return p, nil
}

func (l *Log) trimExpired() {
	if l.retention == 0 {
		return
	}
	old := l.clock.Now().Add(-l.retention)
	i := slices.IndexFunc(l.records, func(r hollowgrade.Record) bool { return r.Time.After(old) })
	if i < 0 {
		i = len(l.records)
	}
	l.trim(l.earliest + int64(i))
}

// maxRecordBytes bounds the body of one record.
const maxRecordBytes = 8 << 20

// ServeHTTP serves the log's protocol.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case standalone.PathAppend:
		b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		o, err := l.Append(r.Context(), b)
		platformReply(w, standalone.AppendReply{Offset: o}, err)
	case standalone.PathRead:
		from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
		limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
		p, err := l.Read(r.Context(), from, limit)
		platformReply(w, p, err)
	default:
		http.NotFound(w, r)
	}
}

func platformReply(w http.ResponseWriter, v any, err error) {
	switch {
	case errors.Is(err, hollowgrade.ErrTrimmed):
		w.WriteHeader(http.StatusGone)
	case errors.Is(err, ErrTooFast):
		http.Error(w, err.Error(), http.StatusTooManyRequests)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_ = json.NewEncoder(w).Encode(v)
}
