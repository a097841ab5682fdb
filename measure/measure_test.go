package measure

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/config"
)

var objective = config.Objective{Name: "fast", FirstToken: config.Duration(100 * time.Millisecond), Share: 0.9}

func recorder(box string, firsts ...time.Duration) *Recorder {
	r := NewRecorder(box, clockwork.NewFakeClockAt(time.Date(2026, 12, 5, 19, 0, 0, 0, time.UTC)))
	r.SetObjectives(map[string]config.Objective{"fast": objective})
	for _, f := range firsts {
		r.Add(Sample{Organisation: "o", Kind: "draft", Outcome: hollowgrade.Finished, PromptTokens: 1000, FirstToken: f, Ideal: f / 2, Took: 2 * f, Attempts: 1})
	}
	return r
}

func merged(t *testing.T, rs ...*Recorder) Report {
	t.Helper()
	var ss []Snapshot
	for _, r := range rs {
		ss = append(ss, r.Snapshot())
	}
	p, err := Merge(ss)
	require.NoError(t, err)
	return p
}

func TestMerge(t *testing.T) {
	slow := make([]time.Duration, 10)
	fast := make([]time.Duration, 90)
	for i := range slow {
		slow[i] = time.Second
	}
	for i := range fast {
		fast[i] = 10 * time.Millisecond
	}
	p := merged(t, recorder("a", slow...), recorder("b", fast...))

	t.Run("quantiles are those of all boxes together, not a mean of boxes", func(t *testing.T) {
		require.Len(t, p.FirstToken, 1)
		require.InEpsilon(t, 10, p.FirstToken[0].P50, 0.02)
		require.InEpsilon(t, 1000, p.FirstToken[0].P95, 0.02)
	})
	t.Run("burn of 1 uses up the budget exactly", func(t *testing.T) {
		require.Len(t, p.Objectives, 1)
		require.InEpsilon(t, 1, p.Objectives[0].Burn[0].Rate, 0.001)
		require.InDelta(t, 0, p.Objectives[0].Budget, 0.001)
	})
	t.Run("slowdown is against the idle time", func(t *testing.T) {
		require.InEpsilon(t, 2, p.Slowdown.P50, 0.02)
	})
	t.Run("the page and the text hold the same", func(t *testing.T) {
		var h, x strings.Builder
		require.NoError(t, p.WriteHTML(&h))
		require.NoError(t, p.WriteText(&x))
		for _, s := range []string{"fast", "draft", "1k"} {
			require.Contains(t, h.String(), s)
			require.Contains(t, x.String(), s)
		}
	})
}

func TestRefusalsForTheCallersFaultBurnNothing(t *testing.T) {
	r := recorder("a")
	r.Add(Sample{Outcome: hollowgrade.NotRun, Code: "HG1001", PromptTokens: 5})
	require.Empty(t, merged(t, r).Objectives[0].Bad)
}

func TestKindsAreBounded(t *testing.T) {
	r := recorder("a")
	for i := range maxKinds {
		require.NotEqual(t, otherName, r.BoundedKind(string(rune('a'+i))))
	}
	require.Equal(t, otherName, r.BoundedKind("one too many"))
}

func TestTurnsAreMetrics(t *testing.T) {
	m, err := NewMetrics()
	require.NoError(t, err)
	m.Add(Sample{Service: "e"})
	m.Add(Sample{Service: "e", Turn: "came", TurnWait: 300 * time.Millisecond})
	m.Add(Sample{Service: "e", Turn: "refused"})
	m.Add(Sample{Service: "f", Turn: "refused"})
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	body := w.Body.String()
	requireSeries := func(series, result, service, value string) {
		t.Helper()
		labels := `{otel_scope_name="hollowgrade",otel_scope_schema_url="",otel_scope_version="",result="` + result + `",service="` + service + `"} `
		require.Contains(t, body, "hollowgrade_turn_wait_seconds_"+series+labels+value+"\n")
	}
	requireSeries("count", "came", "e", "1")
	requireSeries("sum", "came", "e", "0.3")
	requireSeries("count", "refused", "e", "1")
	requireSeries("count", "refused", "f", "1")
	require.NotContains(t, body, `result=""`)
}
