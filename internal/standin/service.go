package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hollowgrade/hollowgrade"
)

// Service is a stand-in for a plain service. It echoes each call after a delay, and records the
// calls.
type Service struct {
	clock hollowgrade.Clock
	delay time.Duration

	mu   sync.Mutex
	runs []ServiceRun
	down bool
}

// ServiceRun is one call that a service ran.
type ServiceRun struct {
	RequestID string
	Body      string
	At        time.Time
}

// Echo is the answer of the stand-in service.
type Echo struct {
	Method       string `json:"method"`
	Path         string `json:"path"`
	Organisation string `json:"organisation"`
	Body         string `json:"body"`
}

// NewService returns a service that answers each call after the delay.
func NewService(delay time.Duration, k hollowgrade.Clock) *Service {
	return &Service{clock: k, delay: delay}
}

// SetDown makes the service close connections without an answer, or ends that.
func (s *Service) SetDown(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = on
}

// Runs returns the recorded calls.
func (s *Service) Runs() []ServiceRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.runs)
}

// ServeHTTP implements [http.Handler].
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !s.record(ServiceRun{RequestID: r.Header.Get("X-Request-Id"), Body: string(b), At: s.clock.Now()}) {
		panic(http.ErrAbortHandler)
	}
	t := s.clock.NewTimer(s.delay)
	defer t.Stop()
	select {
	case <-t.Chan():
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Echo{
		Method:       r.Method,
		Path:         r.URL.Path,
		Organisation: r.Header.Get("Hollowgrade-Organisation"),
		Body:         string(b),
	})
}

func (s *Service) record(r ServiceRun) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.runs = append(s.runs, r)
	return true
}
