package quarantine

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
)

// poolSize is the number of upstreams of the service.
const poolSize = 18

// cluster is a set of gateways that share a fake clock.
type cluster struct {
	t        *testing.T
	clock    *clockwork.FakeClock
	gateways []*Table
}

func newCluster(t *testing.T, n int) *cluster {
	w := &cluster{t: t, clock: clockwork.NewFakeClock()}
	for i := range n {
		w.gateways = append(w.gateways, w.newGateway(fmt.Sprint("box-", i)))
	}
	return w
}

// newGateway returns a gateway with an empty table.
func (w *cluster) newGateway(box string) *Table {
	b := New(WithBox(box), WithClock(w.clock), WithLogger(log.New(io.Discard)), WithUpstreams(func(string) int { return poolSize }))
	b.random = rand.New(rand.NewPCG(1, 2)).Float64
	return b
}

// exchange sends the pending updates of all gateways to the others.
func (w *cluster) exchange() {
	for i, b := range w.gateways {
		update := b.NextUpdate()
		for j, o := range w.gateways {
			if i != j {
				o.Receive(b.box, update)
			}
		}
	}
}

func request(n int) Request {
	c := hollowgrade.Call{Target: fmt.Sprint("/", n)}
	return Request{Subject: Subject{Fingerprint: hollowgrade.NewFingerprint("o", c), Organisation: "o", Route: "r", Service: "s"}}
}

// loseRun runs a request for some time and crashes its upstream.
func (w *cluster) loseRun(b *Table, s Request, upstream hollowgrade.Instance, took time.Duration) {
	w.t.Helper()
	l := b.Begin(s)
	require.True(w.t, l.Granted)
	sent := w.clock.Now()
	w.clock.Advance(took)
	b.RecordLoss(Loss{Request: s, Upstream: upstream, Engines: 1, Sent: sent, Lost: w.clock.Now()})
	b.End(l)
	w.clock.Advance(time.Millisecond)
}

// instance returns the instance of an upstream.
func instance(parts ...any) hollowgrade.Instance {
	return hollowgrade.Instance(fmt.Sprint(parts...))
}

const runTime = 200 * time.Millisecond

func requireBlocked(t *testing.T, b *Table, s Request, blocked bool) {
	t.Helper()
	b.clock.(*clockwork.FakeClock).Advance(settleTime)
	l := b.Begin(s)
	require.Equal(t, blocked, !l.Block.Since.IsZero(), "at %s", b.box)
	b.End(l)
}

// Guards against calls that are held for crashes which a blocked request explains.
func TestNeighboursOfABlockedRequestAreNotHeld(t *testing.T) {
	w, s, neighbour := newCluster(t, 1), request(1), request(2)
	b := w.gateways[0]
	for i := range 4 {
		sent := w.clock.Now()
		w.clock.Advance(runTime)
		for _, r := range []Request{s, neighbour} {
			if r.Fingerprint == s.Fingerprint || i > 0 {
				b.RecordLoss(Loss{Request: r, Upstream: instance("u", i), Engines: 1, Sent: sent, Lost: w.clock.Now()})
			}
		}
		w.clock.Advance(settleTime)
		b.StoreChanges()
	}
	requireBlocked(t, b, s, true)
	requireBlocked(t, b, neighbour, false)
}

func TestThreeLossesInARow(t *testing.T) {
	t.Run("hold a request for long, at all gateways", func(t *testing.T) {
		w, s := newCluster(t, 3), request(1)
		for i := range 3 {
			requireBlocked(t, w.gateways[i], s, false)
			w.loseRun(w.gateways[i], s, instance("u", i), runTime)
			w.exchange()
		}
		for _, b := range w.gateways {
			requireBlocked(t, b, s, true)
			require.Greater(t, b.Begin(s).RetryAfter, 9*time.Minute)
		}
	})
	t.Run("say nothing of its neighbours", func(t *testing.T) {
		w, s := newCluster(t, 1), request(1)
		for i := range 3 {
			u := instance("u", i)
			for n := range 9 {
				w.gateways[0].RecordLoss(Loss{Request: request(100*i + n + 2), Upstream: u, Engines: 1, Sent: w.clock.Now(), Lost: w.clock.Now().Add(time.Millisecond)})
			}
			w.loseRun(w.gateways[0], s, u, runTime)
		}
		w.clock.Advance(settleTime)
		w.gateways[0].StoreChanges()
		require.Len(t, w.gateways[0].Blocks(), 1)
		require.Equal(t, s.Subject, w.gateways[0].Blocks()[0].Subject)
	})
	t.Run("count one after another only", func(t *testing.T) {
		w, s := newCluster(t, 1), request(1)
		sent := w.clock.Now()
		w.clock.Advance(runTime)
		for i := range 10 { // ten copies at once, and a rack that is lost
			w.gateways[0].RecordLoss(Loss{Request: s, Upstream: instance("u", i), Engines: 1, Sent: sent, Lost: w.clock.Now()})
		}
		requireBlocked(t, w.gateways[0], s, false)
	})
	t.Run("are none if one was answered between", func(t *testing.T) {
		w, s := newCluster(t, 2), request(1)
		for i := range 20 {
			w.loseRun(w.gateways[0], s, instance("u", i), runTime)
			if i%2 == 1 {
				w.exchange()
				w.gateways[1].RecordAnswer(s, true)
				w.exchange()
				w.clock.Advance(time.Millisecond)
			}
			requireBlocked(t, w.gateways[0], s, false)
		}
	})
	t.Run("hold for seconds only while as many upstreams end without it", func(t *testing.T) {
		w, s := newCluster(t, 1), request(1)
		for i := range 3 {
			for n := range 2 {
				w.gateways[0].RecordLoss(Loss{Request: request(100*i + n + 2), Upstream: instance("other", i, n), Engines: 1, Sent: w.clock.Now(), Lost: w.clock.Now().Add(time.Millisecond)})
				w.clock.Advance(time.Second)
			}
			w.loseRun(w.gateways[0], s, instance("u", i), runTime)
		}
		w.clock.Advance(settleTime)
		l := w.gateways[0].Begin(s)
		require.False(t, l.Granted)
		require.Equal(t, shortBlockTime, l.RetryAfter.Round(time.Second))
	})
	t.Run("hold nobody where a rack is lost again and again", func(t *testing.T) {
		w, s := newCluster(t, 1), request(1)
		for i := range 3 {
			for n := range 5 {
				w.gateways[0].RecordLoss(Loss{Request: request(100*i + n + 2), Upstream: instance("other", i, n), Engines: 1, Sent: w.clock.Now(), Lost: w.clock.Now().Add(runTime)})
			}
			w.loseRun(w.gateways[0], s, instance("u", i), runTime)
			w.clock.Advance(11 * time.Second)
		}
		requireBlocked(t, w.gateways[0], s, false)
	})
}

func TestSuspectsRunAlone(t *testing.T) {
	t.Run("after two losses in a row, at all gateways together", func(t *testing.T) {
		w, s := newCluster(t, 3), request(1)
		w.loseRun(w.gateways[0], s, "u0", runTime)
		w.loseRun(w.gateways[0], s, "u1", runTime)
		w.exchange()
		l := w.gateways[1].Begin(s)
		require.True(t, l.Granted)
		w.exchange()
		for _, b := range w.gateways {
			o := b.Begin(s)
			require.False(t, o.Granted)
			require.Equal(t, trialRetryAfter, o.RetryAfter)
		}
		w.gateways[1].RecordAnswer(s, true)
		w.gateways[1].End(l)
		w.exchange()
		for _, b := range w.gateways {
			require.True(t, b.Begin(s).Granted)
			require.False(t, b.Begin(s).Trial, "it is harmless")
		}
	})
	t.Run("once upstreams ended at three moments under copies of it", func(t *testing.T) {
		w, s := newCluster(t, 1), request(1)
		sent := w.clock.Now()
		w.clock.Advance(runTime)
		for i := range 3 {
			require.False(t, w.gateways[0].Begin(s).Trial)
			w.clock.Advance(2 * sameEventWindow)
			w.gateways[0].RecordLoss(Loss{Request: s, Upstream: instance("u", i), Engines: 1, Sent: sent, Lost: w.clock.Now()})
		}
		require.True(t, w.gateways[0].Begin(s).Trial)
		require.False(t, w.gateways[0].Begin(s).Granted)
	})
	t.Run("one after another also while it isn't known yet whether the last one crashed its upstream", func(t *testing.T) {
		w, s := newCluster(t, 2), request(1)
		w.loseRun(w.gateways[0], s, "u0", runTime)
		w.loseRun(w.gateways[0], s, "u1", runTime)
		w.exchange()
		l := w.gateways[0].Begin(s)
		require.True(t, l.Trial)
		sent := w.clock.Now()
		w.clock.Advance(runTime)
		lost := Loss{Request: s, Upstream: "u2", Engines: 1, Sent: sent, Lost: w.clock.Now()}
		w.gateways[0].RecordUnconfirmed(lost)
		w.gateways[0].End(l)
		w.exchange()
		for _, b := range w.gateways {
			require.False(t, b.Begin(s).Granted, "at %s", b.box)
		}
		w.clock.Advance(time.Second)
		w.gateways[0].RecordLoss(lost)
		w.exchange()
		w.clock.Advance(time.Second)
		for _, b := range w.gateways {
			requireBlocked(t, b, s, true)
		}
	})
	// Guards against trials that count as running for 10 s though they were decided.
	t.Run("until the loss of the last one was confirmed, before or after its end", func(t *testing.T) {
		for _, endsFirst := range []bool{true, false} {
			w, s := newCluster(t, 2), request(1)
			b := w.gateways[0]
			for i := range 2 {
				w.loseRun(b, s, instance("u", i), 200*time.Second) // long runs are lost by chance, so that the block is short
				w.exchange()
			}
			l := b.Begin(s)
			require.True(t, l.Trial)
			w.exchange()
			lost := Loss{Request: s, Upstream: "u2", Engines: 1, Sent: w.clock.Now(), Lost: w.clock.Now().Add(time.Second)}
			w.clock.Advance(time.Second)
			b.RecordUnconfirmed(lost)
			if endsFirst {
				b.End(l)
			}
			b.RecordLoss(lost)
			if !endsFirst {
				b.End(l)
			}
			w.exchange()
			for _, b := range w.gateways {
				requireBlocked(t, b, s, true)
			}
			w.clock.Advance(shortBlockTime)
			for _, b := range w.gateways {
				o := b.Begin(s)
				require.True(t, o.Granted, "at %s, ends first: %t", b.box, endsFirst)
				b.End(o)
			}
		}
	})
	t.Run("and end even if the end of an earlier run isn't known yet", func(t *testing.T) {
		w, s := newCluster(t, 2), request(1)
		earlier := Loss{Request: s, Upstream: "u2", Engines: 1, Sent: w.clock.Now()}
		w.loseRun(w.gateways[0], s, "u0", runTime)
		w.loseRun(w.gateways[0], s, "u1", runTime)
		l := w.gateways[0].Begin(s)
		require.True(t, l.Trial)
		earlier.Lost = w.clock.Now()
		w.gateways[0].RecordUnconfirmed(earlier)
		w.gateways[0].End(l)
		require.True(t, w.gateways[0].Begin(s).Granted)
	})
	t.Run("and don't end by the loss of an earlier run", func(t *testing.T) {
		w, s := newCluster(t, 2), request(1)
		earlier := Loss{Request: s, Upstream: "u3", Engines: 1, Sent: w.clock.Now()}
		w.loseRun(w.gateways[0], s, "u0", runTime)
		w.loseRun(w.gateways[0], s, "u1", runTime)
		l := w.gateways[0].Begin(s)
		require.True(t, l.Trial)
		sent := w.clock.Now()
		w.clock.Advance(runTime)
		earlier.Lost = w.clock.Now()
		w.gateways[0].RecordUnconfirmed(Loss{Request: s, Upstream: "u2", Engines: 1, Sent: sent, Lost: w.clock.Now()})
		w.gateways[0].RecordLoss(earlier)
		w.gateways[0].End(l)
		w.exchange()
		w.clock.Advance(time.Second)
		for _, b := range w.gateways {
			require.False(t, b.Begin(s).Granted, "at %s", b.box)
		}
	})
	t.Run("not for ever if the gateway that has the run is lost", func(t *testing.T) {
		w, s := newCluster(t, 2), request(1)
		w.loseRun(w.gateways[0], s, "u0", runTime)
		w.loseRun(w.gateways[0], s, "u1", runTime)
		w.gateways[0].Begin(s)
		w.exchange()
		require.False(t, w.gateways[1].Begin(s).Granted)
		w.clock.Advance(trialTimeout)
		require.True(t, w.gateways[1].Begin(s).Granted)
	})
}

// block gets a request blocked at a gateway.
func (w *cluster) block(b *Table, s Request) {
	for i := range lossesToBlock {
		w.loseRun(b, s, instance("u", i), runTime)
	}
	requireBlocked(w.t, b, s, true)
}

func TestHoldsEnd(t *testing.T) {
	t.Run("by themselves, and one run decides", func(t *testing.T) {
		w, s := newCluster(t, 1), request(1)
		w.block(w.gateways[0], s)
		w.clock.Advance(longBlockTime)
		l := w.gateways[0].Begin(s)
		require.True(t, l.Trial)
		require.False(t, w.gateways[0].Begin(s).Granted)
		w.gateways[0].RecordAnswer(s, true)
		w.gateways[0].End(l)
		require.Equal(t, Admission{Granted: true}, w.gateways[0].Begin(s))
	})
	t.Run("and begin again if that run is lost", func(t *testing.T) {
		w, s := newCluster(t, 1), request(1)
		w.block(w.gateways[0], s)
		w.clock.Advance(longBlockTime)
		w.loseRun(w.gateways[0], s, "u9", runTime)
		requireBlocked(t, w.gateways[0], s, true)
		require.Equal(t, lossesToBlock+1, w.gateways[0].Blocks()[0].Losses)
	})
	t.Run("and the next run decides, also if most losses had not settled before", func(t *testing.T) {
		w, s := newCluster(t, 2), request(1)
		w.block(w.gateways[0], s)
		sent := w.clock.Now()
		w.clock.Advance(runTime)
		w.gateways[1].RecordLoss(Loss{Request: s, Upstream: "u8", Engines: 1, Sent: sent, Lost: w.clock.Now()})
		w.exchange()
		w.clock.Advance(10 * settleTime)
		for _, b := range w.gateways {
			b.StoreChanges()
		}
		w.clock.Advance(longBlockTime)
		for _, b := range w.gateways {
			require.True(t, b.Begin(s).Trial, "at %s", b.box)
		}
	})
	t.Run("when an operator lifts them, everywhere", func(t *testing.T) {
		w, s := newCluster(t, 3), request(1)
		w.block(w.gateways[0], s)
		w.exchange()
		require.True(t, w.gateways[2].Lift(s.Suspect()))
		w.exchange()
		for _, b := range w.gateways {
			require.Equal(t, Admission{Granted: true}, b.Begin(s))
		}
		require.False(t, w.gateways[2].Lift(s.Suspect()))
	})
	t.Run("an older word does not bring them back", func(t *testing.T) {
		w, s := newCluster(t, 2), request(1)
		w.block(w.gateways[0], s)
		h := w.gateways[0].Blocks()[0]
		w.exchange()
		w.clock.Advance(time.Second)
		require.True(t, w.gateways[1].Lift(s.Suspect()))
		w.gateways[1].Receive("box-0", Update{Blocks: []Block{h}})
		w.gateways[1].RecordStored(h)
		requireBlocked(t, w.gateways[1], s, false)
	})
}

// fakeStore keeps the blocks that gateways write to the store, for others to read.
type fakeStore map[Suspect]Block

func (s fakeStore) write(b *Table) (writes int) {
	k := b.StoreChanges()
	for _, h := range k.Save {
		s[h.Suspect()] = h
		b.RecordStored(h)
	}
	for _, f := range k.Drop {
		delete(s, f)
		b.RecordDropped(f)
	}
	return len(k.Save) + len(k.Drop)
}

func (s fakeStore) read(b *Table) {
	for _, h := range s {
		b.RecordStored(h)
	}
}

func TestTheStoreKeepsHolds(t *testing.T) {
	t.Run("written again by the gateway that made them when the store lost them", func(t *testing.T) {
		w, s, d := newCluster(t, 2), request(1), fakeStore{}
		w.block(w.gateways[0], s)
		w.exchange()
		require.Equal(t, 1, d.write(w.gateways[0]))
		d.read(w.gateways[1])
		clear(d)
		for _, b := range w.gateways {
			b.StoreReturned(func(s Suspect) bool { _, ok := d[s]; return ok })
		}
		require.Zero(t, d.write(w.gateways[1]))
		require.Equal(t, 1, d.write(w.gateways[0]))
		d.read(w.gateways[1])
		w.clock.Advance(2 * peerStoreDelay)
		require.Zero(t, d.write(w.gateways[1]), "once is enough")
	})
	t.Run("written again by another gateway when the one that made them is gone", func(t *testing.T) {
		w, s, d := newCluster(t, 2), request(1), fakeStore{}
		w.block(w.gateways[0], s)
		w.exchange()
		d.write(w.gateways[0])
		d.read(w.gateways[1])
		clear(d)
		w.gateways[1].StoreReturned(func(Suspect) bool { return false })
		w.clock.Advance(2 * peerStoreDelay)
		require.Equal(t, 1, d.write(w.gateways[1]))
	})
	t.Run("over the loss of all gateways", func(t *testing.T) {
		w, s, d := newCluster(t, 2), request(1), fakeStore{}
		w.block(w.gateways[0], s)
		require.Equal(t, 1, d.write(w.gateways[0]))
		require.Zero(t, d.write(w.gateways[0]), "the block is written once")
		b := w.newGateway("after")
		d.read(b)
		requireBlocked(t, b, s, true)
		w.clock.Advance(longBlockTime)
		w.loseRun(b, s, "u9", runTime)
		requireBlocked(t, b, s, true)
	})
	t.Run("written by others if the one that reached the verdict is lost, and by few of them", func(t *testing.T) {
		w, s, d := newCluster(t, 3), request(1), fakeStore{}
		w.block(w.gateways[0], s)
		w.exchange()
		require.Zero(t, d.write(w.gateways[1]))
		w.clock.Advance(2 * peerStoreDelay)
		require.Equal(t, 1, d.write(w.gateways[1]))
		d.read(w.gateways[2])
		require.Zero(t, d.write(w.gateways[2]))
	})
	t.Run("no longer once the request is harmless", func(t *testing.T) {
		w, s, d := newCluster(t, 2), request(1), fakeStore{}
		w.block(w.gateways[0], s)
		d.write(w.gateways[0])
		w.exchange()
		d.read(w.gateways[1])
		require.True(t, w.gateways[1].Lift(s.Suspect()))
		require.Equal(t, 1, d.write(w.gateways[1]))
		require.Empty(t, d)
		w.gateways[0].RecordDropped(s.Suspect()) // its peer's update was lost
		requireBlocked(t, w.gateways[0], s, false)
	})
	t.Run("nor long after the end of the hold", func(t *testing.T) {
		w, s, d := newCluster(t, 1), request(1), fakeStore{}
		w.block(w.gateways[0], s)
		d.write(w.gateways[0])
		w.clock.Advance(longBlockTime + expiredBlockRetention + time.Second)
		d.write(w.gateways[0])
		w.clock.Advance(2 * deletionSpread)
		d.write(w.gateways[0])
		require.Empty(t, d)
	})
	t.Run("also if nobody remembers it", func(t *testing.T) {
		w, s, d := newCluster(t, 1), request(1), fakeStore{}
		w.block(w.gateways[0], s)
		d.write(w.gateways[0])
		w.clock.Advance(longBlockTime + 2*recordRetention)
		b := w.newGateway("after")
		d.read(b)
		requireBlocked(t, b, s, false)
		w.clock.Advance(2 * peerStoreDelay)
		d.write(b)
		require.Empty(t, d)
	})
	t.Run("by a clock that is far off it is held no longer than usual", func(t *testing.T) {
		w, s := newCluster(t, 1), request(1)
		now := w.clock.Now()
		w.gateways[0].RecordStored(Block{Subject: s.Subject, Since: now, Until: now.Add(24 * time.Hour), Losses: 3})
		require.LessOrEqual(t, w.gateways[0].Begin(s).RetryAfter, longBlockTime)
	})
}

func TestMemoryIsBounded(t *testing.T) {
	w := newCluster(t, 1)
	b := w.gateways[0]
	held := request(0)
	w.block(b, held)
	for i := range 3 * maxRecords {
		q, now := request(i+1), w.clock.Now()
		for n := range hollowgrade.MaxParts {
			q.Parts = append(q.Parts, hollowgrade.PartID{byte(n), byte(i), byte(i >> 8)})
		}
		b.RecordLoss(Loss{Request: q, Upstream: "u", Engines: 1, Sent: now.Add(-runTime), Lost: now})
		w.clock.Advance(time.Millisecond)
	}
	require.LessOrEqual(t, b.Size(), maxRecords)
	requireBlocked(t, b, held, true)
	require.LessOrEqual(t, len(b.NextUpdate().Losses), maxPendingEntries)
	w.clock.Advance(longBlockTime + recordRetention + sweepInterval)
	b.RecordLoss(Loss{Request: request(1), Upstream: "u", Engines: 1, Sent: w.clock.Now(), Lost: w.clock.Now()})
	require.Equal(t, 1, b.Size())
}
