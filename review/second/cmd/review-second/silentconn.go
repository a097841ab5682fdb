package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/hollowgrade/hollowgrade/review/second/standin"
)

// silentConnections makes the open connections of all gateways to the store silent for good, while new
// ones work. Then a worker leaves: its entry goes, and it serves on for a while.
func silentConnections(p *play) (broken int, err error) {
	const (
		gateways  = 5
		workers   = 8                      // of which one leaves
		callers   = 4                      // of each gateway
		contact   = 3 * time.Second        // contactMs
		untilSign = 200 * time.Millisecond // from the silence to the worker's entry
		served    = 6 * time.Second        // how long the worker serves on after it
	)
	b := standin.SmallBounds
	job := func(*http.Request) standin.Job { return standin.Job{First: 60 * time.Millisecond, Size: 800} }
	w := p.world
	for i := range workers {
		if err = w.AddWorker(standin.NewWorker(fmt.Sprintf("i-%d", i+1), standin.PlainName, "hcm-tanthuan", 6, 24, job, p.log)); err != nil {
			return 0, err
		}
	}
	leaving := w.Workers[0]
	if err = w.StartGateways(p.ctx, gateways, b); err != nil {
		return 0, err
	}
	standin.Sleep(p.ctx, 4*time.Second)
	var mu sync.Mutex
	sent := map[string]standin.Result{}
	var all sync.WaitGroup
	stop := make(chan struct{})
	for i, g := range w.Gateways {
		for range callers {
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
	standin.Sleep(p.ctx, 2400*time.Millisecond)
	silenced := time.Now()
	if p.trouble {
		n := 0
		for _, x := range w.Proxies {
			n += x.SilenceOpen()
		}
		p.log.Say("%d open connections to the store fall silent", n)
	}
	standin.Sleep(p.ctx, untilSign)
	gone := w.Store.Put("keyed.servers", leaving.ID, nil)
	p.log.Say("the entry of worker %s goes", leaving.ID)
	standin.Sleep(p.ctx, served)
	close(stop)
	all.Wait()
	by := gone.Add(b.Drain)
	if touch := silenced.Add(contact); touch.After(by) {
		by = touch
	}
	last := gone
	for _, r := range leaving.Runs() {
		if r.At.After(last) {
			last = r.At
		}
		if r.At.After(by) {
			broken++
			p.log.Say("DRAIN: %s from %s reaches %s %.2f s after its entry and %.2f s after the silence began", r.ID, sent[r.ID].Gateway, leaving.ID, r.At.Sub(gone).Seconds(), r.At.Sub(silenced).Seconds())
		}
	}
	p.log.Say("requests %d; the last one at the worker that leaves %.2f s after its entry and %.2f s after the silence began; against the rule %d", len(sent), last.Sub(gone).Seconds(), last.Sub(silenced).Seconds(), broken)
	return broken, nil
}
