package node

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/internal/standin"
	"github.com/hollowgrade/hollowgrade/platform/platformtest"
	"github.com/hollowgrade/hollowgrade/setting"
)

// requireNoAnswerAtGateway checks what callers get of an upstream whose answer is none: 502 where the call may
// not run twice, and another upstream's answer where it may. The request is not suspected.
func requireNoAnswerAtGateway(t *testing.T, answer string) {
	t.Helper()
	const calls = 4
	s := newFixture(t)
	s.addWorkers(t, platformtest.Raw(answer), platformtest.Raw(answer))
	s.gateway = startGateway(t, s.store.Address(), func(c *setting.Gateway) { c.RetrySlack = 1000 })
	s.gateway.waitReady(t)
	st, b, err := s.gateway.call(t, "/once/x", "once", "k1")
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, st, b)
	s.workers[0].SetBehaviour(platformtest.Stream(eventCount, 0))
	for i := range calls {
		id := fmt.Sprint("s", i)
		st, b, err = s.gateway.call(t, "/stream/x", id, "k1")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, st)
		require.Equal(t, stream(eventCount), b)
		for _, l := range s.gateway.log.linesOf(id) {
			require.NotEqual(t, "request suspected", l["msg"])
		}
	}
}

// Guards against callers that get, in place of an answer whose status is none, what its body holds.
func TestAnswerWithAnInvalidStatusReachesNoCaller(t *testing.T) {
	const inner = unframedHead + "Content-Length: 6\r\n\r\nforged"
	for _, s := range standin.InvalidStatuses() {
		t.Run(s, func(t *testing.T) {
			head := standin.WithStatus(unframedHead, s)
			requireNoAnswerAtGateway(t, head+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(inner), inner))
		})
	}
}

// Guards against callers that get a field whose name is none, or a body that its upstream did not mean.
func TestAnswerWithAnInvalidFieldReachesNoCaller(t *testing.T) {
	for _, l := range standin.InvalidFields() {
		t.Run(l, func(t *testing.T) {
			requireNoAnswerAtGateway(t, standin.WithField(unframedHead+"\r\n5\r\nhello\r\n0\r\n\r\n", l))
		})
	}
}
