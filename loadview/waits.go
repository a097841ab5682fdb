package loadview

import (
	"time"

	"github.com/hollowgrade/hollowgrade/calendar"
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
	for _, p := range w.Prompts {
		if p.Id == "" || p.PrefillMicros <= 0 {
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
