package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"time"
)

const (
	maxSignals                 = 5 // of a series, after the first
	minSignalGap, maxSignalGap = 5 * time.Millisecond, 600 * time.Millisecond
	earlyReloadTime            = 50 * time.Millisecond   // after the start of a process
	maxOwnEnds                 = 3                       // of one gateway before they have begun to work
	maxGraceDelay              = 1500 * time.Millisecond // from a SIGTERM to a change of the settings
)

// gracesDrawn are the graces that take the place of stopGrace.
var gracesDrawn = []time.Duration{2 * time.Second, 6 * time.Second, 8 * time.Second}

// reload is a SIGHUP to a gateway.
type reload struct {
	gateway int
	at      time.Time
}

// plannedStop is a SIGTERM to a gateway and the end of its process.
type plannedStop struct {
	kind        kind
	gateway     int
	from, ended time.Time
	least       time.Duration // the shortest grace that may be in force
	end         string        // how the process ended, empty while it runs
	clean       bool          // by itself, with status 0
	silent      bool          // it had not begun to work when it got the signal

	cmd  *exec.Cmd
	done chan struct{}
}

// ownEnd is the end of a process that nobody asked to end.
type ownEnd struct {
	gateway int
	at      time.Time
	end     string
	silent  bool // it had not begun to work
}

// logSize returns the size of a log, or 0 if it can't be read.
func logSize(f *os.File) int64 {
	i, err := f.Stat()
	if err != nil {
		return 0
	}
	return i.Size()
}

// recordOwnEnd records the end of a gateway's process if it got no signal to end.
func (w *world) recordOwnEnd(g *gateway, end string, log int64) {
	g.mu.Lock()
	asked, silent := g.asked, log == g.logStart
	g.mu.Unlock()
	if asked {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history.ownEnds = append(w.history.ownEnds, ownEnd{g.index, time.Now(), end, silent})
}

func (w *world) reload(g *gateway) {
	w.mu.Lock()
	w.history.reloads = append(w.history.reloads, reload{g.index, time.Now()})
	w.mu.Unlock()
	g.signal(syscall.SIGHUP)
}

// beginStop sends SIGTERM to a gateway's process, if it runs.
func (w *world) beginStop(g *gateway, k kind, least time.Duration) *plannedStop {
	g.mu.Lock()
	p := &plannedStop{kind: k, gateway: g.index, from: time.Now(), least: least, cmd: g.cmd, done: g.exited}
	if i, err := os.Stat(filepath.Join(w.logs, g.name+".log")); err == nil {
		p.silent = i.Size() == g.logStart
	}
	runs := g.running()
	g.mu.Unlock()
	if runs {
		w.mu.Lock()
		w.history.stops = append(w.history.stops, p)
		w.mu.Unlock()
		g.signal(syscall.SIGTERM)
	}
	return p
}

// awaitEnd waits until a stopped process has ended, and kills it at the end of the time.
func (w *world) awaitEnd(p *plannedStop, most time.Duration) {
	killed := false
	select {
	case <-p.done:
	case <-time.After(time.Until(p.from.Add(most))):
		killed = true
		_ = p.cmd.Process.Kill() // it may have ended just now
		<-p.done
	}
	ended := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	p.ended, p.end, p.clean = ended, p.cmd.ProcessState.String(), !killed && p.cmd.ProcessState.Success()
	if killed {
		p.end = fmt.Sprintf("killed after %s", most)
	}
}

// stopInSeries stops a gateway by signals in series, and restarts it. Of two restarts one is followed by an
// early SIGHUP.
func (w *world) stopInSeries(g *gateway, s step) {
	g.work.Lock()
	defer g.work.Unlock()
	r := rand.New(rand.NewPCG(uint64(s.target), 5))
	gap := func() time.Duration { return minSignalGap + time.Duration(r.Int64N(int64(maxSignalGap-minSignalGap))) }
	drawn := []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}
	if s.kind == pausedSeries {
		drawn = append(drawn, syscall.SIGSTOP, syscall.SIGCONT)
		if r.IntN(2) == 0 {
			g.signal(syscall.SIGSTOP)
		}
	}
	if r.IntN(2) == 0 {
		w.reload(g)
		time.Sleep(gap())
	}
	p := w.beginStop(g, s.kind, stopGrace)
	for range 1 + r.IntN(maxSignals) {
		select {
		case <-p.done: // the signals that are left find no process
		case <-time.After(gap()):
		}
		if y := drawn[r.IntN(len(drawn))]; y == syscall.SIGHUP {
			w.reload(g)
		} else {
			g.signal(y)
		}
	}
	g.signal(syscall.SIGCONT)
	stoodStill := time.Duration(0)
	if s.kind == pausedSeries {
		stoodStill = time.Since(p.from)
	}
	w.awaitEnd(p, stopGrace+stoodStill)
	w.start(g)
	if r.IntN(2) == 0 {
		time.Sleep(time.Duration(r.Int64N(int64(earlyReloadTime))))
		w.reload(g)
		time.Sleep(earlyReloadTime)
		w.start(g) // if it has ended
	}
}

// stopWithOtherGrace stops a gateway whose settings file gets another grace: long before, just before or
// during the stop, with or without SIGHUP. The new process has the usual grace again.
func (w *world) stopWithOtherGrace(g *gateway, s step) {
	g.work.Lock()
	defer g.work.Unlock()
	r := rand.New(rand.NewPCG(uint64(s.target), 6))
	grace := gracesDrawn[r.IntN(len(gracesDrawn))]
	change := func() {
		w.writeSettings(g, grace)
		if r.IntN(2) == 0 {
			w.reload(g)
		}
	}
	least, most := min(grace, stopGrace), max(grace, stopGrace)
	var p *plannedStop
	switch r.IntN(4) {
	case 0, 1:
		change()
		time.Sleep(maxApplyDelay + applyMargin)
		most = grace
		p = w.beginStop(g, changeGrace, grace)
	case 2:
		change()
		p = w.beginStop(g, changeGrace, least)
	case 3:
		p = w.beginStop(g, changeGrace, least)
		time.Sleep(time.Duration(r.Int64N(int64(maxGraceDelay))))
		change()
	}
	w.awaitEnd(p, most)
	w.writeSettings(g, stopGrace)
	w.start(g)
}

// gatewayFaults are the unplanned faults of a gateway's process or of its own links.
var gatewayFaults = []kind{killGateway, pauseGateway, suspendGateway, pausedSeries, silenceStore, resetStore, silencePeers, resetPeers, delayPeers, isolateGateway}

// gatewayUndisturbed reports whether no fault of gatewayFaults but one kind was in effect at a gateway between
// the two times or less than settleTime before.
func (h *history) gatewayUndisturbed(gateway int, from, to time.Time, except kind) bool {
	return !slices.ContainsFunc(h.spans, func(s span) bool {
		own := s.gateway == gateway && s.kind != except && slices.Contains(gatewayFaults, s.kind) || s.kind == turnAway
		return own && s.from.Before(to) && s.to.Add(settleTime).After(from)
	})
}

// badEnds finds planned stops in which the process did not end by itself within its grace with status 0.
func (h *history) badEnds() (bs []string) {
	for _, p := range h.stops {
		if p.end != "" && !p.clean && !p.silent && h.gatewayUndisturbed(p.gateway, p.from, p.ended, p.kind) {
			bs = append(bs, fmt.Sprintf("STOP, gateway %d, %s, stopped at %s, ended %s after that: %s", p.gateway, p.kind, p.from.Format("05.000"), p.ended.Sub(p.from), p.end))
		}
	}
	return bs
}

// endedUnasked finds processes that end though nobody asked them to. A signal may end one that has not begun
// to work, since no program can handle signals from its first instruction on, but not the same gateway's
// again and again.
func (h *history) endedUnasked() (bs []string) {
	silent := map[int]int{}
	for _, e := range h.ownEnds {
		if e.silent {
			silent[e.gateway]++
		}
		if !e.silent || silent[e.gateway] == maxOwnEnds {
			bs = append(bs, fmt.Sprintf("ENDED, gateway %d at %s: %s", e.gateway, e.at.Format("05.000"), e.end))
		}
	}
	return bs
}

// mayCut reports whether a stop may cut off a request: in the last sixth of its grace, if that was not sent
// late in the stop.
func (p *plannedStop) mayCut(q *request) bool {
	if q.sent.After(p.from.Add(lateSendTime)) {
		return q.ended.After(p.from.Add(p.least + lateCutTime))
	}
	return !q.ended.Before(p.from.Add(p.least * 5 / 6))
}

// cutInStops finds requests that had reached a worker and whose connection a planned stop broke though it must
// not.
func (h *history) cutInStops() []string {
	return h.eachEnded(func(q *request) string {
		if q.complete || q.status != 0 && !q.raw || isConnectionRefused(q.err) || h.runCounts()[q.id] == 0 {
			return ""
		}
		for _, p := range h.stops {
			in := p.gateway == q.gateway && q.sent.Before(p.from.Add(p.least)) && q.ended.After(p.from) && !p.mayCut(q)
			if in && p.kind.planned() && !p.silent && h.mayNotBeCut(q) {
				return fmt.Sprintf("LOST, %s cut it off %s after its SIGTERM, %s after it was sent, of a grace of %s or more", p.kind, q.ended.Sub(p.from), q.ended.Sub(q.sent), p.least)
			}
		}
		return ""
	})
}
