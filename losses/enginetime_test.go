package losses

import (
	"bytes"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestEngineTime(t *testing.T) {
	log, err := os.ReadFile("testdata/placements.log")
	require.NoError(t, err)
	read := func(os ...Option) Report {
		r, err := Read(bytes.NewReader(log), os...)
		require.NoError(t, err)
		require.Zero(t, r.Skipped)
		return r
	}
	at := time.Date(2026, 4, 23, 17, 0, 10, 0, time.UTC)
	want := []EngineSecond{
		{Service: "engines", At: at, Engines: 2, Used: 0.5, Refused: 1.6},
		{Service: "engines", At: at.Add(4 * time.Second), Engines: 1, Used: 1.6, Sent: 1.6, Again: 1.6},
	}
	t.Run("engines are those listed", func(t *testing.T) {
		require.Equal(t, want, read().EngineTime)
	})
	t.Run("engines and the length of long prompts are given", func(t *testing.T) {
		ss := read(WithEngines(map[string]int{"engines": 5}), WithLong(500*time.Millisecond)).EngineTime
		require.Equal(t, 5, ss[0].Engines)
		require.Equal(t, 0.5, ss[0].Sent)
	})
	t.Run("text has shares, or seconds where the number of engines isn't known", func(t *testing.T) {
		r := read()
		r.EngineTime[1].Engines = 0
		var b bytes.Buffer
		require.NoError(t, r.WriteEngineTime(&b))
		require.Regexp(t, `(?m)^17:00:10 +engines +2 +0.25 +0.00 +0.80 +0.00$`, b.String())
		require.Regexp(t, `(?m)^17:00:14 +engines +0 +1.60 s +1.60 s +0.00 s +1.60 s$`, b.String())
	})
}
