package node

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/platform/platformtest"
)

// logCauses returns the message and the code of each of the log lines.
func logCauses(ls []map[string]any) (cs []string) {
	for _, l := range ls {
		cs = append(cs, strings.TrimSpace(fmt.Sprint(l["msg"], " ", valueOr(l["code"], ""))))
	}
	return cs
}

// probeMessage is the message of the line on the probe of an upstream whose connection broke. The call
// doesn't wait for the probe, so that line may come at any place after the loss.
const probeMessage = "upstream probed after its connection broke"

// splitProbes separates the lines on probes of upstreams from those of the request itself.
func splitProbes(ls []map[string]any) (own, probes []map[string]any) {
	for _, l := range ls {
		if l["msg"] == probeMessage {
			probes = append(probes, l)
		} else {
			own = append(own, l)
		}
	}
	return own, probes
}

func valueOr(v, w any) any {
	if v == nil {
		return w
	}
	return v
}

// requireLinesOfACutStream checks the lines of a stream that its upstream cut after four events.
func requireLinesOfACutStream(t *testing.T, ls []map[string]any) {
	t.Helper()
	require.Equal(t, []string{"sent", "upstream avoided", "attempt failed HG3003", "request ended HG2003", "connection closed without a whole answer"}, logCauses(ls))
	ended, last := ls[3], ls[4]
	require.InDelta(t, 4, ended["events"], 0)
	require.Equal(t, "failed", ended["outcome"])
	require.Equal(t, true, last["head_sent"])
}

// requireOneProbe checks that a request leads to one probe of its upstream.
func requireOneProbe(t *testing.T, l *logBuffer, id string) {
	t.Helper()
	probes := func() []map[string]any {
		_, ps := splitProbes(l.linesOf(id))
		return ps
	}
	require.Eventually(t, func() bool { return len(probes()) > 0 }, 10*time.Second, time.Millisecond)
	require.Len(t, probes(), 1)
}

func TestFollowARequestThroughTheLog(t *testing.T) {
	t.Run("a refusal", func(t *testing.T) {
		s := newFixture(t, platformtest.Shed)
		st, _, err := s.gateway.call(t, "/once/x", "a1", "k1")
		require.NoError(t, err)
		require.Equal(t, 503, st)
		ls := s.gateway.log.linesOf("a1")
		require.Equal(t, []string{"sent", "attempt failed HG2001", "request ended HG2001"}, logCauses(ls))
		require.Equal(t, "not_run", ls[2]["outcome"])
		require.Equal(t, "i-0", ls[0]["upstream"])
		require.InDelta(t, 1, ls[0]["version"], 0)
		require.Contains(t, ls[0], "age_ms")
	})
	// Guards against a check that takes the line of the probe for the last one of the request.
	t.Run("a stream cut midway", func(t *testing.T) {
		s := newFixture(t, platformtest.Stream(9, 4))
		_, body, err := s.gateway.call(t, "/stream/x", "a1", "k1")
		require.Error(t, err)
		require.Equal(t, stream(4), body)
		own, _ := splitProbes(s.gateway.log.linesOf("a1"))
		requireLinesOfACutStream(t, own)
		requireOneProbe(t, s.gateway.log, "a1")
		own, _ = splitProbes(s.gateway.log.linesOf("a1"))
		requireLinesOfACutStream(t, own)
	})
	t.Run("an answer that does not come in time", func(t *testing.T) {
		s := newFixture(t, platformtest.Hang)
		s.configure(2, 100, "k1")
		require.Eventually(t, func() bool { return s.gateway.Revision() == 2 }, 10*time.Second, time.Millisecond)
		st, _, err := s.gateway.call(t, "/once/x", "a1", "k1")
		require.NoError(t, err)
		require.Equal(t, 504, st)
		ls := s.gateway.log.linesOf("a1")
		require.Equal(t, []string{"sent", "attempt failed HG3001", "request ended HG3001"}, logCauses(ls))
		require.Equal(t, "unknown", ls[2]["outcome"])
		require.Contains(t, ls[2], "took_ms")
	})
	t.Run("a call that cannot be read", func(t *testing.T) {
		s := newFixture(t, platformtest.Echo)
		r, err := http.NewRequest(http.MethodPost, "http://"+s.gateway.callersAddress+"/once/x", strings.NewReader(strings.Repeat("x", 1001)))
		require.NoError(t, err)
		r.Header.Set("Attempt-Id", "a9")
		res, err := http.DefaultTransport.RoundTrip(r)
		require.NoError(t, err)
		require.NoError(t, res.Body.Close())
		require.Equal(t, 413, res.StatusCode)
		require.Equal(t, []string{"request refused"}, logCauses(s.gateway.log.linesOf("a9")))
	})
}
