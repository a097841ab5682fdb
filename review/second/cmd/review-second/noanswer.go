package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hollowgrade/hollowgrade/review/second/standin"
)

// bareRefusal are bytes that are no worker's answer: they echo no id, have no signature, and do not say
// that the request was not run.
const bareRefusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// receiptHeader names a client's piece of work, which is the same in all its attempts.
const receiptHeader = "Receipt"

// noAnswer sends requests that may run once to workers of which one spoils some of its answers. Clients
// repeat after a refusal only, which promises that the request has not run.
func noAnswer(p *play) (broken int, err error) {
	const (
		workers    = 3
		spoilEvery = 50 // of the answers of the faulty one
		clients    = 12
		perClient  = 100
		spoilTime  = 5500 * time.Millisecond // for which it spoils them, from its first request on
	)
	var answered atomic.Int64
	begun := sync.OnceValue(time.Now)
	sound := func(*http.Request) standin.Job { return standin.Job{First: 20 * time.Millisecond, Size: 800} }
	faulty := func(*http.Request) standin.Job {
		j := standin.Job{First: 20 * time.Millisecond, Size: 800}
		if first := begun(); answered.Add(1)%spoilEvery == 0 && p.trouble && time.Since(first) < spoilTime {
			j.Spoiled = bareRefusal
		}
		return j
	}
	var mu sync.Mutex
	receipts := map[string]int{} // runs by receipt
	count := func(job func(*http.Request) standin.Job) func(*http.Request) standin.Job {
		return func(r *http.Request) standin.Job {
			mu.Lock()
			receipts[r.Header.Get(receiptHeader)]++
			mu.Unlock()
			return job(r)
		}
	}
	w := p.world
	for i := range workers {
		job := sound
		if i == 0 {
			job = faulty
		}
		if err = w.AddWorker(standin.NewWorker(fmt.Sprintf("i-%d", i+1), standin.PlainName, "hcm-tanthuan", 6, 24, count(job), p.log)); err != nil {
			return 0, err
		}
	}
	if err = w.StartGateways(p.ctx, 2, standin.SmallBounds); err != nil {
		return 0, err
	}
	var results []standin.Result
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() {
			for n := range perClient {
				q := standin.UnsafeRequest()
				q.Header = append(q.Header, fmt.Sprintf("%s: r%02d-%03d", receiptHeader, i, n))
				for try := range 2 {
					g := w.Gateways[(i+try)%len(w.Gateways)]
					c, err := standin.Dial(g.Name, g.Callers, p.log)
					if err != nil {
						break
					}
					r := c.Do(q)
					c.Close()
					mu.Lock()
					results = append(results, r)
					mu.Unlock()
					if !promises(r.Status) {
						break
					}
				}
				standin.Sleep(p.ctx, 10*time.Millisecond)
			}
		})
	}
	all.Wait()
	ran := map[string]string{}
	for _, k := range w.Workers {
		for _, r := range k.Runs() {
			ran[r.ID] = k.ID
		}
	}
	for _, r := range results {
		if promises(r.Status) && ran[r.ID] != "" {
			broken++
			p.log.Say("REFUSED: %s got %d, yet %s has run it", r.ID, r.Status, ran[r.ID])
		}
	}
	var twice []string
	for n, k := range receipts {
		if k > 1 {
			twice = append(twice, n)
		}
	}
	p.log.Say("attempts %d; refused though run %d; receipts %d, run more than once since their client believed the refusal: %d (%s)", len(results), broken, len(receipts), len(twice), strings.Join(twice, " "))
	return broken, nil
}

// promises reports whether a status promises that the request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}
