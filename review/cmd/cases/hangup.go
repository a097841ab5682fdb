package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/hollowgrade/hollowgrade/review/stand"
)

// The times of the case. Bounds are those of the site: grace is graceS, lost is lostMs.
const (
	grace         = 8 * time.Second
	hangupDelay   = 300 * time.Millisecond // from SIGTERM to SIGHUP
	restartDelay  = time.Second            // from the end of a process to its next start
	callersEach   = 3                      // of each kind of request at each gateway
	streamTime    = 15 * time.Second
	plainDeadline = 4 * time.Second
)

// hangup stops and starts the gateways in turn while the settings files change: each gets SIGTERM, and
// SIGHUP while it finishes its requests. TROUBLE=0 sends no signal; TROUBLE=term leaves out SIGHUP,
// for comparison.
func hangup(w *world) (o outcome, err error) {
	w.writeConfig("key-a")
	if err = w.startWorkers(3); err != nil {
		return o, err
	}
	if err = w.prepareGateways(3); err != nil {
		return o, err
	}
	if err = w.startGateways(w.plainSettings); err != nil {
		return o, err
	}
	quit := make(chan struct{})
	var callers sync.WaitGroup
	for _, g := range w.gateways {
		for _, path := range []string{receiptPath, pingPath, streamPath} {
			for range callersEach {
				callers.Go(func() { w.keepSending(g, path, quit) })
			}
		}
	}
	time.Sleep(3 * time.Second)
	var stops []stop
	for _, g := range w.gateways {
		s, err := w.roll(g)
		if err != nil {
			return o, err
		}
		stops = append(stops, s)
		time.Sleep(3 * time.Second)
	}
	close(quit)
	callers.Wait()
	time.Sleep(500 * time.Millisecond) // for runs whose client has ended
	return w.judgeLost(stops, grace), nil
}

// keepSending sends one request after another on a kept connection to a gateway, and opens a new
// connection after a failure, until quit.
func (w *world) keepSending(g *stand.Gateway, path string, quit chan struct{}) {
	c := stand.NewCaller(g, w.record)
	defer c.Close()
	for {
		select {
		case <-quit:
			return
		default:
		}
		s := w.send(c, path)
		w.addSent(s)
		if s.Err != nil {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

func (w *world) send(c *stand.Caller, path string) stand.Sent {
	switch path {
	case streamPath, longPath:
		return c.Do("POST", path+"x", w.nextID(), "key-a", []byte("prompt"), streamTime)
	case receiptPath:
		return c.Do("POST", path+"x", w.nextID(), "key-a", []byte("receipt"), plainDeadline)
	default:
		return c.Do("GET", path+"x", w.nextID(), "key-a", nil, plainDeadline)
	}
}

// stop is a planned stop of a gateway.
type stop struct {
	gateway    string
	term       time.Time // zero if not sent
	endedAt    time.Time
	endedState string
}

// roll stops a gateway with SIGTERM, sends it SIGHUP meanwhile, and starts it again.
func (w *world) roll(g *stand.Gateway) (s stop, err error) {
	s.gateway = g.Name
	if w.trouble == "0" {
		return s, nil
	}
	s.term = time.Now()
	g.Signal(syscall.SIGTERM)
	if w.trouble != "term" {
		time.Sleep(hangupDelay)
		if err = g.RewriteSettings(); err != nil {
			return s, err
		}
		g.Signal(syscall.SIGHUP)
	}
	state, ended := g.AwaitExit(time.Until(s.term.Add(grace)))
	if !ended {
		g.Signal(syscall.SIGKILL)
		state, _ = g.AwaitExit(time.Second)
	}
	s.endedAt, s.endedState = time.Now(), state
	time.Sleep(restartDelay)
	if err = g.Start(); err != nil {
		return s, err
	}
	if !g.Ready(readyTimeout) {
		return s, fmt.Errorf("%s did not become ready again", g.Name)
	}
	return s, nil
}

// judgeLost applies the rule LOST around planned work: a request that was passed on to a worker ends
// with its connection, without a complete answer. Not counted are requests that their worker broke
// off, which the workers of these cases never do, those at their deadline, and what was cut in the last
// sixth of the grace or after it.
func (w *world) judgeLost(stops []stop, grace time.Duration) (o outcome) {
	for _, s := range stops {
		if s.term.IsZero() {
			continue
		}
		o.notes = append(o.notes, fmt.Sprintf("%s ended %.2f s after SIGTERM: %s", s.gateway, s.endedAt.Sub(s.term).Seconds(), s.endedState))
	}
	ended, runs := 0, w.allRuns()
	for _, a := range w.allSent() {
		if a.Err == nil {
			ended++
			continue
		}
		r, passed := runs[a.ID]
		if a.Refused || !passed || a.Ended.Sub(a.At) >= a.Deadline {
			continue
		}
		t := ""
		for _, s := range stops {
			if s.gateway == a.Gateway && !s.term.IsZero() && a.Ended.After(s.term) && a.Ended.Before(s.term.Add(grace*5/6)) {
				t = fmt.Sprintf("%.3f s after SIGTERM to %s", a.Ended.Sub(s.term).Seconds(), s.gateway)
			}
		}
		if t == "" {
			o.notes = append(o.notes, fmt.Sprintf("%s %s not whole outside a planned stop: %v", a.ID, a.Path, a.Err))
			continue
		}
		o.broken = append(o.broken, fmt.Sprintf("LOST: %s %s, sent %.3f s before its connection ended, ran at %s and ended %s: %v", a.ID, a.Path, a.Ended.Sub(a.At).Seconds(), r.Worker, t, a.Err))
	}
	o.notes = append(o.notes, fmt.Sprintf("%d requests were answered whole", ended))
	return o
}
