package node

import (
	"fmt"
	"net/http"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/platform/platformtest"
)

func TestRequestThatMayHaveRunIsNotReportedAsNotRun(t *testing.T) {
	const id, seal, notRun = "Attempt-Id: ID\r\n", "Response-Seal: s\r\n", "Not-Executed: 1\r\n"
	none := []string{"", seal, notRun, seal + notRun}
	ran := slices.Concat(none, []string{id + seal})
	s := newFixture(t, platformtest.Echo)
	for status, proofs := range map[int][]string{
		http.StatusRequestTimeout:     ran,
		http.StatusMisdirectedRequest: none, // with the id of the request, the status alone says that it has not run
		http.StatusTooEarly:           ran,
		http.StatusTooManyRequests:    ran,
		http.StatusServiceUnavailable: ran,
	} {
		for i, proof := range proofs {
			t.Run(fmt.Sprintf("status %d, proof %q", status, proof), func(t *testing.T) {
				s.workers[0].SetBehaviour(platformtest.Raw(fmt.Sprintf("HTTP/1.1 %d x\r\n%sContent-Length: 0\r\n\r\n", status, proof)))
				st, _, err := s.gateway.call(t, "/once/x", fmt.Sprintf("a-%d-%d", status, i), "k1")
				require.NoError(t, err)
				require.Equal(t, http.StatusBadGateway, st)
			})
		}
	}
}

func TestFailureOfAWorkerReachesTheCaller(t *testing.T) {
	s := newFixture(t, platformtest.Echo)
	for _, status := range []int{http.StatusBadRequest, http.StatusNotFound, http.StatusInternalServerError, http.StatusGatewayTimeout} {
		t.Run(fmt.Sprint("status ", status), func(t *testing.T) {
			s.workers[0].SetBehaviour(platformtest.Answer(status, "its own"))
			st, body, err := s.gateway.call(t, "/once/x", fmt.Sprint("a-", status), "k1")
			require.NoError(t, err)
			require.Equal(t, status, st)
			require.Equal(t, "its own", body)
		})
	}
	t.Run("not if its status says that the request has not run, and it does not", func(t *testing.T) {
		s.workers[0].SetBehaviour(platformtest.Answer(http.StatusServiceUnavailable, "its own"))
		st, body, err := s.gateway.call(t, "/once/x", "a-503", "k1")
		require.NoError(t, err)
		require.Equal(t, http.StatusBadGateway, st)
		require.NotContains(t, body, "its own")
	})
}
