package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// limits are what a configuration says of callers' requests and connections.
type limits struct {
	headerBytes, bodyBytes     int
	headerTimeout, idleTimeout time.Duration
}

var initialLimits = limits{16_384, 100_000, 3 * time.Second, 15 * time.Second}

// String returns the limits as they stand in a configuration.
func (l limits) String() string {
	return fmt.Sprintf(`{"maxHeaderBytes":%d,"maxBodyBytes":%d,"headerTimeoutMs":%d,"idleTimeoutMs":%d}`,
		l.headerBytes, l.bodyBytes, l.headerTimeout.Milliseconds(), l.idleTimeout.Milliseconds())
}

// The limits of a series are drawn from these. All callers stay below the smallest sizes and times but that
// of idle connections, for which see world.idleLimit.
var (
	headerBytesDrawn = []int{4_096, 8_192, 16_384, 65_536}
	bodyBytesDrawn   = []int{10_000, 30_000, 100_000, 1_000_000}
	headerTimesDrawn = []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 10 * time.Second}
	shortIdleDrawn   = []time.Duration{time.Second, 1500 * time.Millisecond, 2500 * time.Millisecond}
	longIdleDrawn    = []time.Duration{4 * time.Second, 8 * time.Second, 15 * time.Second}
)

const (
	minLimitWrites, maxLimitWrites      = 2, 7
	minLimitInterval, maxLimitInterval  = 40 * time.Millisecond, 600 * time.Millisecond
	minSqueezePeriod, squeezePeriodStep = 80 * time.Millisecond, 40 * time.Millisecond // of a squeezed process
	squeezePeriods, squeezeShare        = 3, 0.15                                      // it runs for this share of each period
	applyMargin                         = time.Second                                  // beyond maxApplyDelay, for which an older limit may be in force
	maxSqueezeRest                      = time.Second                                  // beyond the time after which connections may rest for long again
)

// idleLimit is a limit of idle connections and when it was written.
type idleLimit struct {
	at    time.Time
	limit time.Duration
}

func drawLimits(r *rand.Rand, longIdle bool) limits {
	idle := shortIdleDrawn
	if longIdle {
		idle = longIdleDrawn
	}
	return limits{
		headerBytes:   headerBytesDrawn[r.IntN(len(headerBytesDrawn))],
		bodyBytes:     bodyBytesDrawn[r.IntN(len(bodyBytesDrawn))],
		headerTimeout: headerTimesDrawn[r.IntN(len(headerTimesDrawn))],
		idleTimeout:   idle[r.IntN(len(idle))],
	}
}

// recordConfig records the write of a configuration and wakes those that rest. w.mu must be held, unless the
// world isn't shared yet.
func (w *world) recordConfig() {
	now := time.Now()
	w.history.configs = append(w.history.configs, now)
	w.idleLimits = append(w.idleLimits, idleLimit{now, w.limits.idleTimeout})
	close(w.limitsChanged)
	w.limitsChanged = make(chan struct{})
}

// idleLimit returns the shortest limit of idle connections that may be in force, and a channel that is closed
// by the next configuration.
func (w *world) idleLimit() (d time.Duration, changed chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	d = w.limits.idleTimeout
	for i, l := range w.idleLimits[1:] {
		if time.Since(l.at) < maxApplyDelay+applyMargin {
			d = min(d, w.idleLimits[i].limit) // which was in force before l
		}
	}
	return d, w.limitsChanged
}

// writeLimits writes a configuration with other limits.
func (w *world) writeLimits(l limits, grow bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limits = l
	if grow {
		w.filler = min(w.filler+fillerRoutesPerStep, maxFillerRoutes)
	}
	w.writeConfig()
}

// changeLimits writes configurations in quick series, with short and long limits in turn. The last ones are
// long, so that connections that rest for long meet the first ones of the next series.
func (w *world) changeLimits(s step) {
	w.writeSeries(rand.New(rand.NewPCG(uint64(s.target), 3)), 0)
}

// writeSeries writes a series of configurations. Those up to grown have more routes than the one before.
func (w *world) writeSeries(r *rand.Rand, grown int) {
	n := minLimitWrites + r.IntN(maxLimitWrites-minLimitWrites)
	for i := range n {
		w.writeLimits(drawLimits(r, i%2 == 1 || i == n-1), i < grown)
		time.Sleep(minLimitInterval + time.Duration(r.Int64N(int64(maxLimitInterval-minLimitInterval))))
	}
}

// squeeze leaves a gateway a small share of a processor, and meanwhile writes series of configurations with
// more routes.
func (w *world) squeeze(g *gateway, s step) {
	r := rand.New(rand.NewPCG(uint64(s.target), 4))
	period := minSqueezePeriod + time.Duration(r.IntN(squeezePeriods))*squeezePeriodStep
	run := time.Duration(squeezeShare * float64(period))
	end := time.Now().Add(s.duration)
	over := make(chan struct{})
	go func() {
		defer close(over)
		for time.Now().Before(end) {
			w.writeSeries(r, 1)
			time.Sleep(min(time.Until(end), maxApplyDelay+applyMargin+time.Duration(r.Int64N(int64(maxSqueezeRest)))))
		}
	}()
	for time.Now().Before(end) {
		g.signal(syscall.SIGSTOP)
		time.Sleep(period - run)
		g.signal(syscall.SIGCONT)
		time.Sleep(run)
	}
	<-over
}
