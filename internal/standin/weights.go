package standin

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/standalone"
)

// Weights is a stand-in for the rate-limited weight store.
type Weights struct {
	clock hollowgrade.Clock
	limit *rate.Limiter

	mu      sync.Mutex
	outage  bool
	fetches []standalone.FetchCall
}

// NewWeights returns a store that allows one fetch for each interval, and bursts of the given size.
func NewWeights(interval time.Duration, burst int, k hollowgrade.Clock) *Weights {
	return &Weights{clock: k, limit: rate.NewLimiter(rate.Every(interval), burst)}
}

// SetOutage begins or ends an outage.
func (s *Weights) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
}

// Fetches returns the fetches that were allowed.
func (s *Weights) Fetches() []standalone.FetchCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.fetches)
}

// Fetch implements [hollowgrade.WeightStore].
func (s *Weights) Fetch(_ context.Context, box, model string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return ErrOutage
	}
	if !s.limit.AllowN(s.clock.Now(), 1) {
		return ErrTooFast
	}
	s.fetches = append(s.fetches, standalone.FetchCall{Box: box, Model: model})
	return nil
}

// ServeHTTP serves the store's protocol.
func (s *Weights) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var c standalone.FetchCall
	if decodeBody(w, r, &c) {
		platformReply(w, struct{}{}, s.Fetch(r.Context(), c.Box, c.Model))
	}
}
