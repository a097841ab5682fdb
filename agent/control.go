package agent

import (
	"context"
	"time"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/internal/wire"
	"github.com/hollowgrade/hollowgrade/peer"
)

// minReportGap bounds how often one entry receives a report of a changed load.
const minReportGap = 50 * time.Millisecond

// serveControl reports the agent's status to one entry until the connection ends: at each
// heartbeat, and sooner when the status changes.
func (a *Agent) serveControl(ctx context.Context, s *peer.Stream) error {
	for {
		m, changed := a.status()
		if err := s.Send(&wire.Frame{Body: &wire.Frame_Status{Status: m}}); err != nil {
			return err
		}
		if !a.awaitReport(ctx, changed) {
			return nil
		}
	}
}

// awaitReport waits until the next report is due. It returns false when ctx ends.
func (a *Agent) awaitReport(ctx context.Context, changed <-chan struct{}) bool {
	t := a.clock.NewTimer(a.limits.Heartbeat)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.Chan():
		return true
	case <-changed:
	}
	return hollowgrade.Sleep(ctx, a.clock, minReportGap)
}

func (a *Agent) status() (*wire.Status, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return &wire.Status{
		Box:                    a.box.Name,
		Incarnation:            a.incarnation,
		Hall:                   a.box.Hall,
		Draining:               a.draining || !a.reachable,
		Revision:               a.revision(),
		Models:                 a.models,
		Service:                a.serviceName,
		Queued:                 int64(a.queue.Len()),
		InstantQueuedTokens:    int64(a.queued[hollowgrade.Instant] + a.pendingPrefill),
		NormalQueuedTokens:     int64(a.queued[hollowgrade.Normal]),
		BackgroundQueuedTokens: int64(a.queued[hollowgrade.Background]),
		Running:                int64(a.running),
		HeldTokens:             int64(a.memory.Used()),
		TotalTokens:            int64(a.memory.Total()),
		PrefillRate:            a.speed.prefillRate,
		StepMicros:             a.speed.step.Microseconds(),
	}, a.changed
}

// speed holds the measured speed of the engine, as moving averages.
type speed struct {
	prefillRate float64
	step        time.Duration
}

// sampleWeight is the weight of a new sample in the moving averages.
const sampleWeight = 0.1

// minPrefillSampleTokens is the smallest prefill that counts as a sample of the rate; below it the
// time of a single step dominates.
const minPrefillSampleTokens = 512

func (s *speed) addPrefill(tokens int, d time.Duration) {
	if tokens < minPrefillSampleTokens || d <= 0 {
		return
	}
	r := float64(tokens) / d.Seconds()
	if s.prefillRate == 0 {
		s.prefillRate = r
	}
	s.prefillRate += sampleWeight * (r - s.prefillRate)
}

func (s *speed) addStep(d time.Duration) {
	if s.step == 0 {
		s.step = d
	}
	s.step += time.Duration(sampleWeight * float64(d-s.step))
}
