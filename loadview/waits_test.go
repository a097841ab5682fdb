package loadview

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/calendar"
	"github.com/hollowgrade/hollowgrade/internal/wire"
)

func TestWaitsOnTheWire(t *testing.T) {
	now := time.Now()
	e := calendar.Entry{ID: "a", Service: "s", Prefill: 7 * time.Second, Due: now.Add(3 * time.Second), Deadline: now.Add(5 * time.Second), Worth: 27.5, Rank: 2}
	t.Run("times are kept whatever the clocks of boxes say", func(t *testing.T) {
		there := now.Add(time.Hour)
		want := e
		want.Due, want.Deadline = there.Add(3*time.Second), there.Add(5*time.Second)
		require.Equal(t, []calendar.Entry{want}, decodeWaits(encodeWaits([]calendar.Entry{e}, now), there))
	})
	t.Run("a prompt that is overdue stays so", func(t *testing.T) {
		require.Equal(t, []calendar.Entry{e}, decodeWaits(encodeWaits([]calendar.Entry{e}, now), now))
		late := e
		late.Due = now.Add(-time.Second)
		require.Equal(t, []calendar.Entry{late}, decodeWaits(encodeWaits([]calendar.Entry{late}, now), now))
	})
	t.Run("invalid prompts are left out", func(t *testing.T) {
		m := &wire.Waits{Prompts: []*wire.WaitingPrompt{{Id: "", PrefillMicros: 1}, {Id: "a", PrefillMicros: -1}, {Id: "b", PrefillMicros: 1}}}
		require.Len(t, decodeWaits(m, now), 1)
	})
}
