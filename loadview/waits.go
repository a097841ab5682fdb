package loadview

import (
	"time"

	"github.com/hollowgrade/hollowgrade/calendar"
	"github.com/hollowgrade/hollowgrade/core"
	"github.com/hollowgrade/hollowgrade/internal/wire"
)

// worthUnit is the factor of a prompt's worth in messages, which state it in thousandths.
const worthUnit = 1000

// encodeWaits returns the prompts that wait here as a message. Times are sent as differences, since
// clocks of boxes differ.
func encodeWaits(es []calendar.Entry, now time.Time) *wire.Waits {
	w := &wire.Waits{}
	for _, e := range es {
		w.Prompts = append(w.Prompts, &wire.WaitingPrompt{
			Id:             e.ID,
			Service:        e.Service,
			PrefillMicros:  e.Prefill.Microseconds(),
			DueMicros:      e.Due.Sub(now).Microseconds(),
			DeadlineMicros: max(e.Deadline.Sub(now), 0).Microseconds(), // a negative one takes 10 bytes, and is no different
			WorthMilli:     int64(e.Worth * worthUnit),
			Rank:           int32(e.Rank),
		})
	}
	return w
}

// decodeWaits returns the prompts that wait at a peer. Those without an id or a prefill time are left
// out.
func decodeWaits(w *wire.Waits, now time.Time) (es []calendar.Entry) {
	for _, p := range w.Prompts[:min(len(w.Prompts), core.MaxWaits)] {
		if p.Id == "" || p.PrefillMicros <= 0 || !plausible(p.PrefillMicros, p.DueMicros, p.DeadlineMicros) {
			continue
		}
		es = append(es, calendar.Entry{
			ID:       p.Id,
			Service:  p.Service,
			Prefill:  time.Duration(p.PrefillMicros) * time.Microsecond,
			Due:      now.Add(time.Duration(p.DueMicros) * time.Microsecond),
			Deadline: now.Add(time.Duration(p.DeadlineMicros) * time.Microsecond),
			Worth:    float64(p.WorthMilli) / worthUnit,
			Rank:     int(p.Rank),
		})
	}
	return es
}

// maxPlausible bounds the times in a message, of prompts that wait for some seconds.
const maxPlausible = time.Hour

// plausible reports whether times in microseconds are within maxPlausible.
func plausible(micros ...int64) bool {
	for _, x := range micros {
		if x > maxPlausible.Microseconds() || x < -maxPlausible.Microseconds() {
			return false
		}
	}
	return true
}

// encodeRefusals returns the prompts that were refused here as messages.
func encodeRefusals(rs []core.Refusal, now time.Time) (ps []*wire.RefusedPrompt) {
	for _, r := range rs {
		ps = append(ps, &wire.RefusedPrompt{
			Fingerprint:    r.Fingerprint[:],
			FirstAgeMicros: now.Sub(r.FirstArrival).Microseconds(),
			AgeMicros:      now.Sub(r.Refused).Microseconds(),
		})
	}
	return ps
}

// decodeRefusals returns the prompts that a peer refused. Invalid ones are left out.
func decodeRefusals(ps []*wire.RefusedPrompt, now time.Time) (rs []core.Refusal) {
	for _, p := range ps[:min(len(ps), core.MaxRefusals)] {
		r := core.Refusal{
			FirstArrival: now.Add(-time.Duration(p.FirstAgeMicros) * time.Microsecond),
			Refused:      now.Add(-time.Duration(p.AgeMicros) * time.Microsecond),
		}
		if len(p.Fingerprint) != len(r.Fingerprint) || p.AgeMicros < 0 || p.FirstAgeMicros < p.AgeMicros {
			continue
		}
		copy(r.Fingerprint[:], p.Fingerprint)
		rs = append(rs, r)
	}
	return rs
}
