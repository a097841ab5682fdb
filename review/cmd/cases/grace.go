package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/hollowgrade/hollowgrade/review/stand"
)

// earlierGrace is graceS before the settings change to that of the site.
const earlierGrace = 4 * time.Second

// longerGrace changes graceS in the settings files of all gateways from 4 s to the 8 s of the site, with
// SIGHUP, and stops one of them three seconds later. The platform kills it only after the 8 s. TROUBLE=0
// sends no signal and changes nothing; with TROUBLE=start the gateways have the new settings from their
// start and one is stopped, for comparison.
func longerGrace(w *world) (o outcome, err error) {
	w.writeConfig("key-a")
	if err = w.startWorkers(3); err != nil {
		return o, err
	}
	if err = w.prepareGateways(3); err != nil {
		return o, err
	}
	earlier := func(i int) stand.Settings {
		s := w.plainSettings(i)
		s.Grace = earlierGrace
		return s
	}
	first := earlier
	if w.trouble == "start" {
		first = w.plainSettings
	}
	if err = w.startGateways(first); err != nil {
		return o, err
	}
	quit := make(chan struct{})
	var callers sync.WaitGroup
	send := func(paths ...string) {
		for _, g := range w.gateways {
			for _, path := range paths {
				for range callersEach {
					callers.Go(func() { w.keepSending(g, path, quit) })
				}
			}
		}
	}
	send(receiptPath, pingPath)
	time.Sleep(2 * time.Second)
	if w.trouble != "0" && w.trouble != "start" {
		for i, g := range w.gateways {
			if err = g.WriteSettings(w.plainSettings(i)); err != nil {
				break
			}
			g.Signal(syscall.SIGHUP)
		}
	}
	time.Sleep(2 * time.Second)
	send(longPath)
	time.Sleep(time.Second)
	s := stop{gateway: w.gateways[0].Name}
	if err == nil && w.trouble != "0" {
		s = w.stopWithin(w.gateways[0], grace)
	}
	close(quit)
	callers.Wait()
	if err != nil {
		return o, fmt.Errorf("settings not changed: %w", err)
	}
	return w.judgeLost([]stop{s}, grace), nil
}

// stopWithin stops a gateway with SIGTERM, and with SIGKILL after the grace.
func (w *world) stopWithin(g *stand.Gateway, grace time.Duration) (s stop) {
	s.gateway, s.term = g.Name, time.Now()
	g.Signal(syscall.SIGTERM)
	state, ended := g.AwaitExit(grace)
	if !ended {
		g.Signal(syscall.SIGKILL)
		state, _ = g.AwaitExit(time.Second)
	}
	s.endedAt, s.endedState = time.Now(), state
	return s
}
