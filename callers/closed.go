package callers

import "time"

// closeLogInterval is the least time between two log lines on closed connections.
const closeLogInterval = time.Second

// closeCause is why the server closed a connection without an answer of the handler.
type closeCause int

const (
	causeIdle      closeCause = iota // no request came in time
	causeSlow                        // a head did not arrive in time
	causeLargeHead                   // a head was larger than the limit
	causeNoMemory                    // a head found no room in the budget, or gave way to others
	causeCrowded                     // it gave way to a new connection, as all were taken
	closeCauses                      // how many there are
)

// closeCounts counts closed connections by their cause.
type closeCounts [closeCauses]int

// recordClose counts a connection that is closed.
func (s *Server) recordClose(why closeCause) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed == (closeCounts{}) {
		s.clock.AfterFunc(closeLogInterval, s.logClosed)
	}
	s.closed[why]++
	s.closedInAll[why]++
}

// LargeHeads returns how many requests the server has refused since their heads were larger than the limit.
func (s *Server) LargeHeads() int {
	return s.closedFor(causeLargeHead)
}

// HeadsWithoutMemory returns how many requests the server has refused since the budget had no room for their
// heads.
func (s *Server) HeadsWithoutMemory() int {
	return s.closedFor(causeNoMemory)
}

func (s *Server) closedFor(why closeCause) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closedInAll[why]
}

// logClosed writes a line on the connections that were closed since the last one.
func (s *Server) logClosed() {
	s.mu.Lock()
	n, open := s.closed, len(s.conns)
	s.closed = closeCounts{}
	s.mu.Unlock()
	if n == (closeCounts{}) {
		return
	}
	l := s.effectiveLimits()
	s.log.Info("connections closed", "idle", n[causeIdle], "slow", n[causeSlow], "large_heads", n[causeLargeHead], "no_memory", n[causeNoMemory], "crowded", n[causeCrowded],
		"idle_limit_ms", l.IdleTimeout.Milliseconds(), "header_limit_ms", l.HeaderTimeout.Milliseconds(), "head_limit_bytes", l.HeadBytes,
		"held_bytes", s.budget.Held(), "open", open, "stopping", s.Stopping())
}
