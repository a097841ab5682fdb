package node

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/core"
	"github.com/hollowgrade/hollowgrade/platform/platformtest"
)

func TestMetricsOfTurns(t *testing.T) {
	s := newFixture(t, platformtest.Echo)
	s.gateway.sample(callSample(core.Observation{Service: "s", Turn: core.TurnRefused, TurnWait: 2 * time.Second}))
	w := httptest.NewRecorder()
	s.gateway.metrics.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	require.Regexp(t, `(?m)^hollowgrade_prompts_waiting\{.*\} 0$`, w.Body.String())
	require.Regexp(t, `(?m)^hollowgrade_turn_wait_seconds_sum\{.*result="refused",service="s"\} 2$`, w.Body.String())
}
