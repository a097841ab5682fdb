package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/hollowgrade/hollowgrade/review/second/standin"
)

// silence stops a gateway as planned while all places of the workers are taken, and one of the sound
// workers falls silent for a moment and goes on.
func silence(p *play) (broken int, err error) {
	const (
		slots, queue = 16, 2
		workers      = 2
		gateways     = 5 // of which one is stopped
		quiet        = 1000 * time.Millisecond
		shortWait    = 10 * time.Second
		longWait     = 15 * time.Second
	)
	job := func(r *http.Request) standin.Job {
		if r.URL.Path == standin.ArchivePath+"x" {
			return standin.Job{Stream: true, Events: 17, First: 100 * time.Millisecond, Pause: 50 * time.Millisecond, Size: 40}
		}
		return standin.Job{Stream: true, Events: 35, First: 100 * time.Millisecond, Pause: 170 * time.Millisecond, Size: 40}
	}
	w := p.world
	for _, id := range []string{"i-one", "i-two"} {
		if err = w.AddWorker(standin.NewWorker(id, standin.EngineName, "hcm-tanthuan", slots, queue, job, p.log)); err != nil {
			return 0, err
		}
	}
	if err = w.StartGateways(p.ctx, gateways, standin.SmallBounds); err != nil {
		return 0, err
	}
	g := w.Gateways[0]
	standin.Sleep(p.ctx, 12*time.Second) // longer than budgetWindowS, in the first of which a process sends little again
	var mu sync.Mutex
	var results []standin.Result
	var all sync.WaitGroup
	send := func(path string, tokens int, wait, gap time.Duration) error {
		c, err := standin.Dial(g.Name, g.Callers, p.log)
		if err != nil {
			return err
		}
		c.Gap = gap
		all.Go(func() {
			defer c.Close()
			r := c.Do(standin.StreamRequest(path, tokens, wait))
			mu.Lock()
			defer mu.Unlock()
			results = append(results, r)
		})
		standin.Sleep(p.ctx, 40*time.Millisecond)
		return nil
	}
	for range workers * slots { // these run
		if err = send(standin.CopyPath, 2000, shortWait, standin.CopyGap); err != nil {
			return 0, err
		}
	}
	for range 3 * workers * queue { // some of these wait at the workers, the others are refused
		if err = send(standin.ArchivePath, 4000, longWait, standin.ArchiveGap); err != nil {
			return 0, err
		}
	}
	standin.Sleep(p.ctx, 300*time.Millisecond)
	p.log.Say("taken at the workers: %d and %d of %d places each", w.Workers[0].Taken(), w.Workers[1].Taken(), slots+queue)
	terminated := time.Now()
	p.log.Say("SIGTERM to %s", g.Name)
	if err = g.Signal(syscall.SIGTERM); err != nil {
		return 0, err
	}
	standin.Sleep(p.ctx, 300*time.Millisecond)
	if p.trouble {
		w.Workers[0].Silence(quiet)
	}
	all.Wait()
	for _, r := range results {
		timeout := shortWait
		if r.Path == standin.ArchivePath+"x" {
			timeout = longWait
		}
		if lostAtStop(r, terminated, standin.SmallBounds.Grace, timeout) {
			broken++
			p.log.Say("LOST: %s, begun by its worker, cut %.1f s after SIGTERM", r, r.Ended.Sub(terminated).Seconds())
		}
	}
	p.log.Say("streams %d, complete %d, answered with a refusal or failure %d, cut %d, left by their client %d; workers refused %d and %d", len(results),
		count(results, func(r standin.Result) bool { return r.Complete && r.Status == http.StatusOK }), count(results, func(r standin.Result) bool { return r.Complete && r.Status != http.StatusOK }),
		broken, count(results, func(r standin.Result) bool { return r.Left }), w.Workers[0].Refused(), w.Workers[1].Refused())
	return broken, nil
}

// lostAtStop reports whether the rule LOST counts a request next to a planned stop: its connection ended
// without a whole answer after an event had come from its worker, and neither its client left, nor its time
// was over, nor was it sent within 3 s of the signal and ended in the last sixth of the grace.
func lostAtStop(r standin.Result, terminated time.Time, grace, timeout time.Duration) bool {
	const (
		sentBefore = 3 * time.Second
		timeSlack  = 100 * time.Millisecond
	)
	after := r.Ended.Sub(terminated)
	switch {
	case r.Complete, r.Left, r.Events == 0, after < 0, after > grace+time.Second:
		return false
	case r.Ended.Sub(r.Sent) >= timeout-timeSlack:
		return false
	case after >= grace*5/6 && r.Sent.Sub(terminated) <= sentBefore:
		return false
	default:
		return true
	}
}

func count(rs []standin.Result, f func(r standin.Result) bool) (n int) {
	for _, r := range rs {
		if f(r) {
			n++
		}
	}
	return n
}
