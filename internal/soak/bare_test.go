package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"

	"github.com/hollowgrade/hollowgrade/platform/platformtest"
)

// bareStream is of the random numbers of a seed, so that the steps stay the same.
const bareStream = 4

// statusesNotRun are the statuses that tell a caller that its request has not run.
var statusesNotRun = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooEarly, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// failuresAreBare reports whether the failures of a seed's workers have no id, no signature and a status of
// statusesNotRun, though the request has run.
func failuresAreBare(seed uint64) bool {
	return rand.New(rand.NewPCG(seed, bareStream)).IntN(2) == 0
}

// fail answers a request that has run with a failure.
func (w *world) fail(id string) platformtest.Behaviour {
	if !w.bare {
		return w.recordSignal(platformtest.Answer(http.StatusInternalServerError, "no"))
	}
	s := statusesNotRun[hash(id)%uint64(len(statusesNotRun))]
	return platformtest.Raw(fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", s, http.StatusText(s)))
}
