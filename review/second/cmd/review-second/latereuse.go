package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/hollowgrade/hollowgrade/review/second/standin"
)

// lateReuse stops a gateway as planned while clients send one long stream after another on kept
// connections.
func lateReuse(p *play) (broken int, err error) {
	const (
		gateways = 5 // of which one is stopped
		clients  = 40
		deadline = 15 * time.Second
		maxThink = 40 * time.Millisecond // between an answer and the next request
	)
	job := func(*http.Request) standin.Job {
		return standin.Job{Stream: true, Events: 17, First: 400 * time.Millisecond, Pause: 280 * time.Millisecond, Size: 60}
	}
	w := p.world
	for _, id := range []string{"i-one", "i-two", "i-three", "i-four"} {
		if err = w.AddWorker(standin.NewWorker(id, standin.EngineName, "hcm-tanthuan", 16, 32, job, p.log)); err != nil {
			return 0, err
		}
	}
	if err = w.StartGateways(p.ctx, gateways, standin.SmallBounds); err != nil {
		return 0, err
	}
	g := w.Gateways[0]
	var mu sync.Mutex
	var results []standin.Result
	var all sync.WaitGroup
	stop := make(chan struct{})
	for range clients {
		c, err := standin.Dial(g.Name, g.Callers, p.log)
		if err != nil {
			return 0, err
		}
		c.Gap = standin.ArchiveGap
		all.Go(func() {
			defer c.Close()
			for {
				r := c.Do(standin.StreamRequest(standin.ArchivePath, 20_000, deadline))
				mu.Lock()
				results = append(results, r)
				mu.Unlock()
				select {
				case <-stop:
					return
				default:
				}
				if !r.Complete || r.Close {
					return // the client goes to another node
				}
				standin.Sleep(p.ctx, rand.N(maxThink))
			}
		})
		standin.Sleep(p.ctx, 120*time.Millisecond)
	}
	standin.Sleep(p.ctx, 4*time.Second)
	terminated := time.Now()
	if p.trouble {
		p.log.Say("SIGTERM to %s", g.Name)
		if err = g.Signal(syscall.SIGTERM); err != nil {
			return 0, err
		}
	}
	standin.Sleep(p.ctx, 10*time.Second)
	close(stop)
	all.Wait()
	late := 0
	for _, r := range results {
		if r.Sent.Sub(terminated) > 3*time.Second && r.Status != 0 {
			late++
		}
		if p.trouble && lostAtStop(r, terminated, standin.SmallBounds.Grace, deadline) {
			broken++
			p.log.Say("LOST: %s, sent %.2f s after SIGTERM, cut %.2f s after it", r, r.Sent.Sub(terminated).Seconds(), r.Ended.Sub(terminated).Seconds())
		}
	}
	p.log.Say("streams %d, complete %d, taken later than 3 s after SIGTERM %d, cut against the rule %d", len(results), count(results, func(r standin.Result) bool { return r.Complete }), late, broken)
	return broken, nil
}
