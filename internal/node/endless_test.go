package node

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/platform/platformtest"
	"github.com/hollowgrade/hollowgrade/setting"
)

const (
	endlessCalls = 12
	// promptTime is well below the time after which a silent upstream is given up.
	promptTime = 700 * time.Millisecond
	// dripTime is that time, and as much again for the attempt at the sound upstream.
	dripTime = 2200 * time.Millisecond
)

// Guards against callers that wait, or get nothing, since their upstream sends bytes without end that
// are no answer.
func TestAnswersWithoutEndAreReplaced(t *testing.T) {
	for name, b := range platformtest.EndlessAnswers() {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t)
			s.addWorkers(t, platformtest.Stream(eventCount, 0), b)
			s.gateway = startGateway(t, s.store.Address(), func(c *setting.Gateway) { c.RetrySlack = 1000 })
			s.gateway.waitReady(t)
			allowed := promptTime
			if strings.Contains(name, "byte by byte") || strings.Contains(name, "one after the other") {
				allowed = dripTime
			}
			var group sync.WaitGroup
			for i := range endlessCalls {
				group.Go(func() {
					begin := time.Now()
					st, got, err := s.gateway.call(t, "/stream/x", fmt.Sprint("e", i), "k1")
					if err != nil || st != http.StatusOK || got != stream(eventCount) || time.Since(begin) > allowed {
						t.Errorf("call %d: status %d, error %v after %s", i, st, err, time.Since(begin))
					}
				})
			}
			group.Wait()
			for i := range endlessCalls {
				for _, l := range s.gateway.log.linesOf(fmt.Sprint("e", i)) {
					require.NotEqual(t, "request suspected", l["msg"])
				}
			}
		})
	}
}

const streamHead = "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\n"

// Guards against comments that are taken for a whole answer since the upstream ended.
func TestCommentsThatEndWithTheirConnectionAreNoAnswer(t *testing.T) {
	s := newFixture(t, platformtest.Raw(streamHead+"\r\n: a\n\n"))
	st, _, err := s.gateway.call(t, "/stream/x", "a1", "k1")
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, st)
}

// Guards against a sound stream that loses its comments.
func TestCommentsOfAStreamReachTheCaller(t *testing.T) {
	for name, text := range map[string]string{
		"around events":  ": a\n\n" + platformtest.Event(1) + "\n: b\n\n" + platformtest.Event(2) + ": c\n\n",
		"without events": ": a\n\n: b\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t, platformtest.Raw(streamHead+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(text))+text))
			st, got, err := s.gateway.call(t, "/stream/x", "a1", "k1")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, st)
			require.Equal(t, text, got)
		})
	}
}
