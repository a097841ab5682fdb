package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	lateStreams      = 24                       // callers of a stop that send one stream after another
	maxLateChain     = 4                        // streams of one of them
	lateStreamTime   = streamEvents * slowPause // of each stream
	lateSendTime     = 3 * time.Second          // from a SIGTERM; what is sent later must not be cut at all
	lateCutTime      = time.Second              // beyond the grace, for which it must not be
	lateStartSpread  = lateStreamTime - lateSendTime
	lateSettingsTime = maxApplyDelay + applyMargin
)

// lateGraces are long enough for streams to end between lateSendTime and the end of the stop.
var lateGraces = []time.Duration{6 * time.Second, 8 * time.Second}

// stopUnderStreams stops a gateway while streams end later than lateSendTime after its SIGTERM, whose callers
// send the next ones on the same connections.
func (w *world) stopUnderStreams(g *gateway, s step) {
	g.work.Lock()
	defer g.work.Unlock()
	r := rand.New(rand.NewPCG(uint64(s.target), 8))
	grace := lateGraces[r.IntN(len(lateGraces))]
	w.writeSettings(g, grace)
	w.reload(g)
	time.Sleep(lateSettingsTime)
	var cs sync.WaitGroup
	for i := range lateStreams {
		d := time.Duration(r.Int64N(int64(lateStartSpread)))
		cs.Go(func() {
			time.Sleep(d)
			w.sendBackToBack(g, fmt.Sprint("late", s.target, "-", i))
		})
	}
	time.Sleep(lateStartSpread)
	w.awaitEnd(w.beginStop(g, stopUnderStreams, grace), grace)
	cs.Wait()
	w.writeSettings(g, stopGrace)
	w.start(g)
}

// sendBackToBack sends a slow stream after another on one connection for as long as it is open.
func (w *world) sendBackToBack(g *gateway, name string) {
	ctx := context.Background()
	c := &keptCaller{world: w, gateway: g.index, slow: true, random: rand.New(rand.NewPCG(hash(name), 0))}
	if !c.connect(ctx) {
		return
	}
	for n := 0; n < maxLateChain && c.conn != nil; n++ {
		c.exchange(ctx, c.newKept(fmt.Sprint(name, "-", n)))
	}
	if c.conn != nil {
		c.close()
	}
}
