package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/hollowgrade/hollowgrade/review/stand"
)

// The times of the case. Bounds are those of the site: drain is drainMs, contact is contactMs.
const (
	drain       = 2 * time.Second
	contact     = 3 * time.Second
	cutTime     = 5500 * time.Millisecond // how long the first gateway is cut off
	killAfter   = time.Second             // from the cut until the other gateway is killed
	leaveAfter  = 300 * time.Millisecond  // from the kill until the worker's entry goes
	downTime    = time.Second             // until the killed gateway is started again
	servesOnFor = 14 * time.Second        // how long the worker serves after its entry has gone
	rounds      = 4
)

// links are the proxies through which the gateways reach the store and each other.
type links struct {
	store, peers [2]*stand.Link
}

func (w *world) newLinks() (l links, err error) {
	for i, g := range w.gateways {
		if l.store[i], err = stand.NewLink(w.store.Addr()); err != nil {
			return l, err
		}
		if l.peers[i], err = stand.NewLink(g.Peers); err != nil {
			return l, err
		}
	}
	return l, nil
}

// cutFirst cuts the first gateway off from the store and from the other gateway, or heals that.
func (l links) cutFirst(cut bool) {
	l.store[0].Cut(cut)
	l.peers[0].Cut(cut)
	l.peers[1].Cut(cut)
}

func (l links) close() {
	for i := range l.store {
		l.store[i].Close()
		l.peers[i].Close()
	}
}

// leaving takes workers away that never say that they drain: their entry goes, and they serve on for
// some seconds. Each time one of two gateways is cut off meanwhile, and the other is killed and started
// again. With TROUBLE=0 only the workers leave; TROUBLE=cut leaves out the kills and TROUBLE=kill the
// cuts, for comparison.
func leaving(w *world) (o outcome, err error) {
	w.writeConfig("key-a")
	if err = w.startWorkers(3 + rounds); err != nil {
		return o, err
	}
	if err = w.prepareGateways(2); err != nil {
		return o, err
	}
	l, err := w.newLinks()
	if err != nil {
		return o, err
	}
	defer l.close()
	settings := func(i int) stand.Settings {
		return stand.Settings{Store: l.store[i].Addr(), Seeds: []string{l.peers[0].Addr(), l.peers[1].Addr()}, StrictRevoke: true, Announce: l.peers[i].Addr()}
	}
	if err = w.startGateways(settings); err != nil {
		return o, err
	}
	quit := make(chan struct{})
	var callers sync.WaitGroup
	for _, g := range w.gateways {
		for _, path := range []string{receiptPath, pingPath} {
			for range callersEach {
				callers.Go(func() { w.keepSending(g, path, quit) })
			}
		}
	}
	var ds []departure
	for i := range rounds {
		d, err := w.takeAway(w.workers[i], l)
		if err != nil {
			close(quit)
			callers.Wait()
			return o, err
		}
		ds = append(ds, d)
	}
	time.Sleep(time.Second)
	close(quit)
	callers.Wait()
	for _, d := range ds {
		w.judgeLeaving(&o, d)
	}
	return o, nil
}

// departure is how a worker left.
type departure struct {
	worker *stand.Worker
	gone   time.Time // when the store took that its entry has gone
	healed time.Time // when the first gateway was reachable again
}

// takeAway takes a worker away, amid the trouble of a round.
func (w *world) takeAway(k *stand.Worker, l links) (d departure, err error) {
	d.worker = k
	time.Sleep(contact + time.Second) // the store and all gateways are calm for longer than contactMs
	first, other := w.gateways[0], w.gateways[1]
	begun := time.Now()
	if w.trouble != "0" && w.trouble != "kill" {
		w.record.Add("fault     %s is cut off from the store and from %s", first.Name, other.Name)
		l.cutFirst(true)
	}
	time.Sleep(killAfter)
	kill := w.trouble != "0" && w.trouble != "cut"
	if kill {
		other.Signal(syscall.SIGKILL)
		if _, ended := other.AwaitExit(time.Second); !ended {
			return d, fmt.Errorf("%s did not end", other.Name)
		}
	}
	time.Sleep(leaveAfter)
	w.store.Put("keyed.servers", k.ID, nil)
	d.gone = time.Now()
	w.record.Add("worker    the entry of %s has gone; it serves on", k.ID)
	time.Sleep(downTime - leaveAfter)
	if kill {
		if err = other.Start(); err != nil {
			return d, err
		}
	}
	time.Sleep(time.Until(begun.Add(cutTime)))
	l.cutFirst(false)
	d.healed = time.Now()
	w.record.Add("fault     over")
	time.Sleep(time.Until(d.gone.Add(servesOnFor)))
	k.Stop()
	w.record.Add("worker    %s ends", k.ID)
	return d, nil
}

// judgeLeaving applies the rule DRAIN to a worker whose entry went: a request that a gateway in touch
// passes on reaches it later than drainMs after that. The gateway that was cut off is in touch from
// contactMs after the cut has healed; the other one is not judged.
func (w *world) judgeLeaving(o *outcome, d departure) {
	sent := map[string]stand.Sent{}
	for _, a := range w.allSent() {
		sent[a.ID] = a
	}
	inTime, notInTouch, unanswered := 0, 0, 0
	for _, r := range d.worker.Runs() {
		late := r.Arrived.Sub(d.gone)
		a := sent[r.ID]
		switch {
		case late <= drain:
			inTime++
		case a.Gateway != w.gateways[0].Name || r.Arrived.Before(d.healed.Add(contact)):
			notInTouch++
		default:
			if a.Status != 200 {
				unanswered++
			}
			o.broken = append(o.broken, fmt.Sprintf("DRAIN: %s %s reached %s by %s %.3f s after its entry had gone; its client got status %d", r.ID, a.Path, r.Worker, a.Gateway, late.Seconds(), a.Status))
		}
	}
	o.notes = append(o.notes, fmt.Sprintf("%s: %d requests reached it until %s after its entry had gone, %d later ones by gateways that were not in touch; of those by gateways in touch %d were not answered with 200",
		d.worker.ID, inTime, drain, notInTouch, unanswered))
}
