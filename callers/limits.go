package callers

import (
	"slices"
	"time"
)

const (
	// maxIdleLimits is how many idle limits are remembered; older ones count as the oldest of them.
	maxIdleLimits = 32
	// defaultHeaderTimeout, defaultIdleTimeout and defaultHeadBytes apply until limits are set.
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = time.Minute
	defaultHeadBytes     = 64 << 10
)

// Limits bound callers' connections. A zero value stands for the default.
type Limits struct {
	HeaderTimeout time.Duration // for the headers of a request
	IdleTimeout   time.Duration // between two requests
	HeadBytes     int           // of the head of a request, from the request line to the empty line
}

// effectiveLimits returns the limits in force, with defaults for those that are not set.
func (s *Server) effectiveLimits() Limits {
	l := s.limits()
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	if l.HeadBytes <= 0 {
		l.HeadBytes = defaultHeadBytes
	}
	return l
}

// idleLimit is an idle limit and since when it has been in force.
type idleLimit struct {
	since time.Time
	limit time.Duration
}

// recordIdleLimit records the idle limit in force.
func (s *Server) recordIdleLimit(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now() // with the lock held, so that the list is in order
	if n := len(s.idleLimits); n > 0 && s.idleLimits[n-1].limit == d {
		return
	}
	s.idleLimits = append(s.idleLimits, idleLimit{since: now, limit: d})
	if len(s.idleLimits) > maxIdleLimits {
		s.idleLimits[1].limit = max(s.idleLimits[0].limit, s.idleLimits[1].limit)
		s.idleLimits = slices.Delete(s.idleLimits, 0, 1)
	}
}

// longestIdleLimit returns the longest idle limit that was in force at any time since t.
func (s *Server) longestIdleLimit(t time.Time) (d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range slices.Backward(s.idleLimits) {
		d = max(d, l.limit)
		if l.since.Before(t) {
			break
		}
	}
	return d
}
