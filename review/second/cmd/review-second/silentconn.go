package main

import (
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/hollowgrade/hollowgrade/review/second/standin"
)

// silentConnections makes the open connections of all gateways to the store silent for good, while new
// ones work, soon after those that read the registry have begun their reads. Then a worker drains.
func silentConnections(p *play) (broken int, err error) {
	const (
		gateways  = 5
		readers   = 4                      // of these read the store for the others
		together  = 450 * time.Millisecond // within which their reads began
		starts    = 3                      // at most
		contact   = 3 * time.Second        // contactMs
		untilSign = 200 * time.Millisecond // from the silence to the worker's entry
		served    = 6 * time.Second        // how long the worker serves on after it
	)
	b := standin.SmallBounds
	job := func(*http.Request) standin.Job { return standin.Job{First: 60 * time.Millisecond, Size: 800} }
	w := p.world
	for _, id := range []string{"i-one", "i-two", "i-three"} {
		if err = w.AddWorker(standin.NewWorker(id, standin.PlainName, "hcm-tanthuan", 6, 24, job, p.log)); err != nil {
			return 0, err
		}
	}
	leaving := w.Workers[0]
	readTogether := func(within time.Duration) bool {
		begun := time.Now()
		for w.Store.ReadsSince("keyed.servers", time.Now().Add(-together)) < readers {
			if time.Since(begun) > within || !standin.Sleep(p.ctx, 5*time.Millisecond) {
				return false
			}
		}
		return true
	}
	for n := 1; ; n++ {
		if err = w.StartGateways(p.ctx, gateways, b); err != nil {
			return 0, err
		}
		standin.Sleep(p.ctx, 4*time.Second)
		if readTogether(16 * time.Second) {
			break
		}
		if n == starts {
			return 0, errors.New("the readers do not read together")
		}
		p.log.Say("the readers do not read together, all are started anew")
		w.StopGateways()
	}
	var mu sync.Mutex
	sent := map[string]standin.Result{}
	var all sync.WaitGroup
	stop := make(chan struct{})
	for i, g := range w.Gateways {
		for range 2 {
			all.Go(func() {
				var c *standin.Conn
				for {
					select {
					case <-stop:
						return
					case <-time.After(time.Duration(60+7*i) * time.Millisecond):
					}
					if c == nil {
						var err error
						if c, err = standin.Dial(g.Name, g.Callers, p.log); err != nil {
							continue
						}
					}
					r := c.Do(standin.UnsafeRequest())
					mu.Lock()
					sent[r.ID] = r
					mu.Unlock()
					if !r.Complete || r.Close {
						c.Close()
						c = nil
					}
				}
			})
		}
	}
	standin.Sleep(p.ctx, time.Second)
	if !readTogether(16 * time.Second) {
		return 0, errors.New("the readers do not read together any more")
	}
	silenced := time.Now()
	if p.trouble {
		n := 0
		for _, x := range w.Proxies {
			n += x.SilenceOpen()
		}
		p.log.Say("%d open connections to the store fall silent", n)
	}
	standin.Sleep(p.ctx, untilSign)
	drained := leaving.Register(w.Store, "draining")
	p.log.Say("worker %s drains", leaving.ID)
	standin.Sleep(p.ctx, served)
	close(stop)
	all.Wait()
	by := drained.Add(b.Drain)
	if touch := silenced.Add(contact); touch.After(by) {
		by = touch
	}
	last := drained
	for _, r := range leaving.Runs() {
		if r.At.After(last) {
			last = r.At
		}
		if r.At.After(by) {
			broken++
			p.log.Say("DRAIN: %s from %s reaches %s %.2f s after its entry and %.2f s after the silence began", r.ID, sent[r.ID].Gateway, leaving.ID, r.At.Sub(drained).Seconds(), r.At.Sub(silenced).Seconds())
		}
	}
	p.log.Say("requests %d; the last one at the draining worker %.2f s after its entry and %.2f s after the silence began; against the rule %d", len(sent), last.Sub(drained).Seconds(), last.Sub(silenced).Seconds(), broken)
	return broken, nil
}
