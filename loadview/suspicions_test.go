package loadview

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/internal/wire"
	"github.com/hollowgrade/hollowgrade/peer"
	"github.com/hollowgrade/hollowgrade/quarantine"
)

// sampleUpdate returns an update with n entries of each kind, with names of the usual length.
func sampleUpdate(n int, now time.Time) (w quarantine.Update) {
	for i := range n {
		f := hollowgrade.NewFingerprint("o", hollowgrade.Call{Target: fmt.Sprint(i)})
		s := quarantine.Subject{Fingerprint: f, Organisation: "organisation-12", Route: "r-umqqzgd", Service: "draft-llm"}
		u := hollowgrade.Instance("i-f54a3dfbfc#mf0abcde")
		w.Losses = append(w.Losses, quarantine.Loss{Request: quarantine.Request{Subject: s}, Upstream: u, Engines: 17, Sent: now.Add(-3 * time.Second), Lost: now.Add(-time.Second)})
		w.Harmless = append(w.Harmless, quarantine.Harmless{Suspect: s.Suspect(), At: now})
		w.Trials = append(w.Trials, quarantine.Trial{Suspect: s.Suspect(), At: now, Over: i%2 == 0})
		w.Blocks = append(w.Blocks, quarantine.Block{Subject: s, Since: now.Add(-time.Minute), Until: now.Add(9 * time.Minute), Losses: 3, Odds: 1e-9,
			Upstreams: []hollowgrade.Instance{u, u, u}, By: "edge-hcm-quang-trung-17"})
	}
	return w
}

// sampleUpdateWithParts returns an update on parts, whose losses name some parts with long ids.
func sampleUpdateWithParts(n, parts int, now time.Time) (w quarantine.Update) {
	w = sampleUpdate(n, now)
	for i := range n {
		id := hollowgrade.PartID{0: byte(i), 8: 1}
		var ps []hollowgrade.PartID
		for j := range parts {
			ps = append(ps, hollowgrade.PartID{0: 1, 15: byte(j)})
		}
		s := w.Losses[i].Subject
		s.Kind, s.Fingerprint = quarantine.KindPart, hollowgrade.Fingerprint(id)
		w.Losses[i].Parts = ps
		w.Harmless[i].Suspect, w.Trials[i].Suspect = s.Suspect(), s.Suspect()
		w.Blocks[i].Subject, w.Blocks[i].With = s, ps
	}
	return w
}

func TestWordsOnLostRequests(t *testing.T) {
	now := time.Now().Truncate(time.Microsecond)
	w := sampleUpdate(100, now)
	t.Run("are read as they are told", func(t *testing.T) {
		require.Equal(t, w, decodeUpdate(encodeUpdate(w, now), now))
	})
	t.Run("fit into packets", func(t *testing.T) {
		var all quarantine.Update
		for _, p := range splitUpdate(w) {
			one := 0
			for _, part := range []quarantine.Update{{Losses: p.Losses}, {Harmless: p.Harmless}, {Trials: p.Trials}, {Blocks: p.Blocks}} {
				f := &wire.Frame{Body: &wire.Frame_LoadView{LoadView: &wire.LoadView{Box: "edge-hcm-quang-trung-17/0a1b2c3d", Suspicions: encodeUpdate(part, now)}}}
				require.LessOrEqual(t, proto.Size(f), peer.MaxPacket)
				one += proto.Size(f)
			}
			all = all.Plus(p)
		}
		require.Equal(t, w, all)
	})
	t.Run("name parts, and fit into packets with many of them", func(t *testing.T) {
		w := sampleUpdateWithParts(100, hollowgrade.MaxParts, now)
		require.Equal(t, w, decodeUpdate(encodeUpdate(w, now), now))
		var all quarantine.Update
		for _, p := range splitUpdate(w) {
			for _, part := range []quarantine.Update{{Losses: p.Losses}, {Harmless: p.Harmless}, {Trials: p.Trials}, {Blocks: p.Blocks}} {
				f := &wire.Frame{Body: &wire.Frame_LoadView{LoadView: &wire.LoadView{Box: "edge-hcm-quang-trung-17/0a1b2c3d", Suspicions: encodeUpdate(part, now)}}}
				require.LessOrEqual(t, proto.Size(f), peer.MaxPacket)
			}
			all = all.Plus(p)
		}
		require.Equal(t, w, all)
	})
	t.Run("on parts have no fingerprint, so that earlier versions pass them over", func(t *testing.T) {
		m := encodeUpdate(sampleUpdateWithParts(1, 1, now), now)
		require.Empty(t, m.Answered[0].Fingerprint)
		require.Empty(t, m.Trials[0].Fingerprint)
		require.Empty(t, m.Holds[0].Subject.Fingerprint)
	})
	t.Run("on parts without a service or an id are passed over", func(t *testing.T) {
		m := encodeUpdate(sampleUpdateWithParts(3, 2, now), now)
		m.Answered[0].Service, m.Answered[1].Part = "", nil
		m.Trials[0].Part = make([]byte, 17)
		m.Holds[0].Subject.Part = nil
		m.Losses[0].Parts[0] = nil
		d := decodeUpdate(m, now)
		require.Len(t, d.Harmless, 1)
		require.Len(t, d.Trials, 2)
		require.Len(t, d.Blocks, 2)
		require.Len(t, d.Losses[0].Parts, 1)
	})
	t.Run("that are broken are passed over", func(t *testing.T) {
		m := encodeUpdate(w, now)
		m.Losses[0].Subject.Fingerprint = []byte("short")
		m.Answered[0].Fingerprint = nil
		m.Trials[0].Fingerprint = make([]byte, 17)
		m.Holds[0].Subject = nil
		d := decodeUpdate(m, now)
		require.Len(t, d.Losses, 99)
		require.Len(t, d.Harmless, 99)
		require.Len(t, d.Trials, 99)
		require.Len(t, d.Blocks, 99)
	})
}

// Any update that decodes must be applied without a panic or a block that lasts too long.
func FuzzSuspicions(f *testing.F) {
	b, err := proto.Marshal(encodeUpdate(sampleUpdate(3, time.Now()), time.Now()))
	require.NoError(f, err)
	f.Add(b)
	b, err = proto.Marshal(encodeUpdate(sampleUpdateWithParts(3, 2, time.Now()), time.Now()))
	require.NoError(f, err)
	f.Add(b)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		var m wire.Suspicions
		if proto.Unmarshal(b, &m) != nil {
			return
		}
		q := quarantine.New()
		q.Receive("b", decodeUpdate(&m, time.Now()))
		q.StoreChanges()
		for _, h := range q.Blocks() {
			require.LessOrEqual(t, time.Until(h.Until), 11*time.Minute)
		}
	})
}

// BenchmarkWords measures the bytes of one entry for one peer: 95 for a loss, 20 for an answered
// run, 22 for a trial, 178 for a block that names three upstreams. Each part adds up to 18 bytes.
func BenchmarkWords(b *testing.B) {
	now := time.Now()
	w := sampleUpdate(1, now)
	for b.Loop() {
		encodeUpdate(w, now)
	}
	for name, p := range map[string]quarantine.Update{"loss": {Losses: w.Losses}, "answered": {Harmless: w.Harmless}, "trial": {Trials: w.Trials}, "hold": {Blocks: w.Blocks}} {
		b.ReportMetric(float64(proto.Size(encodeUpdate(p, now))), "B/"+name)
	}
}
