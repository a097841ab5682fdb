package loadview

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/calendar"
	"github.com/hollowgrade/hollowgrade/core"
	"github.com/hollowgrade/hollowgrade/internal/wire"
	"github.com/hollowgrade/hollowgrade/peer"
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

func TestRefusalsOnTheWire(t *testing.T) {
	now := time.Now()
	r := core.Refusal{Fingerprint: hollowgrade.Fingerprint{1, 2}, FirstArrival: now.Add(-3 * time.Second), Refused: now.Add(-time.Second)}
	ps := encodeRefusals([]core.Refusal{r}, now)
	require.Equal(t, []core.Refusal{r}, decodeRefusals(ps, now))
	for name, p := range map[string]*wire.RefusedPrompt{
		"a short fingerprint":            {Fingerprint: []byte{1}},
		"a refusal in the future":        {Fingerprint: r.Fingerprint[:], AgeMicros: -1, FirstAgeMicros: 1},
		"an attempt after the refusal":   {Fingerprint: r.Fingerprint[:], AgeMicros: 2, FirstAgeMicros: 1},
		"a refusal without anything set": {},
	} {
		t.Run(name, func(t *testing.T) { require.Empty(t, decodeRefusals([]*wire.RefusedPrompt{p}, now)) })
	}
}

// waitsFrame returns the frame of a full list of prompts that wait, due and given up after some time.
func waitsFrame(s *Sender, due, deadline time.Duration) *wire.Frame {
	now := time.Now()
	var es []calendar.Entry
	for i := range core.MaxWaits {
		es = append(es, calendar.Entry{
			ID:       fmt.Sprintf("%016x", uint64(i)),
			Service:  "service-12",
			Prefill:  20 * time.Second,
			Due:      now.Add(due),
			Deadline: now.Add(deadline),
			Worth:    101, // a million tokens
			Rank:     9,
		})
	}
	m := s.view(nil, false)
	m.Waits = encodeWaits(es, now)
	return &wire.Frame{Body: &wire.Frame_LoadView{LoadView: m}}
}

func TestWaitsFitIntoAPacket(t *testing.T) {
	s := New("box-of-a-long-name-in-a-data-hall/incarnation", newFleet(), func() []string { return nil })
	run := func(name string, due, deadline time.Duration) {
		t.Run(name, func(t *testing.T) {
			f := waitsFrame(s, due, deadline)
			require.Len(t, f.GetLoadView().Waits.Prompts, core.MaxWaits)
			require.LessOrEqual(t, proto.Size(f), peer.MaxPacket)
		})
	}
	run("of prompts that can be in time", 10*time.Second, 30*time.Second)
	run("of prompts that are overdue", -10*time.Second, 30*time.Second)
	run("of prompts whose wait is over", -10*time.Second, -time.Millisecond)
}
