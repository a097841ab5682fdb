package feed

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hollowgrade/hollowgrade"
)

// maxSilenceGrace bounds how late an answer may be until its connection is checked. A silent one has to be
// known before the read itself is given up.
const maxSilenceGrace = answerMargin / 2

// read is one read of a topic from an offset on.
type read struct {
	next int64
	sent time.Time
	wait time.Duration // how long it waits at the store
	// checked is whether it is asked again on a new connection if its answer is overdue.
	checked bool
	overdue time.Time // from when its connection may be silent
}

// answer is the outcome of a read.
type answer struct {
	read
	page hollowgrade.KeyedPage
	err  error
}

// planRead returns the read to send at sent. It waits so long that the view gets no older than
// [Timing.answerDue] until the answer arrives.
func (f *Feed) planRead(sent time.Time, probe bool) (r read, synced bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	wait := min(max(f.timing.answerDue(f.wait)-f.lag-sent.Sub(f.fresh), 0), f.wait)
	if left, due := f.lossesDue(); due {
		wait = min(wait, left)
	}
	if probe || f.readFailing || f.returning {
		wait = 0 // the freshness of the view has to be known at once
	}
	f.nextAnswerDue = sent.Add(wait + min(f.timing.AnswerGrace+2*f.lag, answerMargin))
	f.readSent, f.readWait = sent, wait
	if !f.synced {
		f.readWait = 0
	}
	r = read{next: f.next, sent: sent, wait: wait, checked: f.redial != nil && !probe && !f.readFailing}
	r.overdue = sent.Add(wait + min(f.timing.silenceGrace()+2*f.lag, maxSilenceGrace))
	return r, f.synced
}

// completeAsOf returns the time as of which a read shows that there were no records beyond those
// that it returned. The store answers a waiting read as soon as there is a record, so an empty
// answer after the whole wait holds for the end of the wait; any other holds only for when the read
// was sent. Always using the send time would make idle views up to two waits old instead of one.
func (f *Feed) completeAsOf(sent time.Time, wait time.Duration, records int) time.Time {
	took := f.clock.Since(sent)
	waited := wait - wait/clockDriftDivisor // in case the store's clock runs faster than this one
	if records > 0 || took < waited {
		return sent
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lag = min(max(took-wait, f.lag*lagDecay/(lagDecay+1), 0), answerMargin)
	return sent.Add(waited)
}

// pending is a read that is under way.
type pending struct {
	answer <-chan answer
	begun  <-chan struct{} // closed when the first bytes of its answer have come
}

// ask makes a read.
func (f *Feed) ask(ctx context.Context, r read) pending {
	c, begun := make(chan answer, 1), make(chan struct{})
	ctx = hollowgrade.WithAnswerBegun(ctx, sync.OnceFunc(func() { close(begun) }))
	go func() {
		p, err := f.topic.Wait(ctx, r.next, r.wait, answerMargin)
		c <- answer{r, p, err}
	}()
	return pending{c, begun}
}

// await returns the answer to a read. Connections may fall silent while new ones work: if the answer is
// overdue, or another connection of this process was found silent, the store is asked again at once on a
// new connection. The first answer counts, and the read has failed only if neither is answered.
func (f *Feed) await(ctx context.Context, r read) answer {
	if !r.checked {
		return <-f.ask(ctx, r).answer
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	suspected := f.contact.suspected()
	kept := f.ask(ctx, r)
	t := f.clock.NewTimer(r.overdue.Sub(f.clock.Now()))
	defer t.Stop()
	select {
	case a := <-kept.answer:
		return a
	case <-kept.begun:
		return <-kept.answer // a connection that brings a long answer is not silent
	case <-suspected:
		return f.askAgain(ctx, r, kept, false)
	case <-t.Chan():
		return f.askAgain(ctx, r, kept, true)
	}
}

// askAgain asks the store on a new connection while the answer to a read is outstanding.
func (f *Feed) askAgain(ctx context.Context, r read, kept pending, overdue bool) answer {
	f.redial()
	again := read{next: r.next, sent: f.clock.Now()}
	fresh := f.ask(ctx, again)
	t := f.clock.NewTimer(f.timing.AnswerGrace)
	defer t.Stop()
	var failed *answer // the first of the two that failed
	for {
		var a answer
		select {
		case <-t.Chan():
			f.contact.noteStoreFails()
			continue
		case <-fresh.begun:
			t.Stop()
			fresh.begun = nil
			continue
		case a = <-kept.answer:
			kept.answer = nil
		case a = <-fresh.answer:
			fresh.answer = nil
			if a.err == nil {
				f.noteSilentConnection(r, again, overdue)
			} else {
				f.contact.noteStoreFails()
			}
		}
		if a.err == nil || answered(a.err) || failed != nil {
			return a
		}
		failed = &a
	}
}

// noteSilentConnection records that a new connection was answered before the one of a read. The other
// connections of this process are checked if that one is overdue.
func (f *Feed) noteSilentConnection(r, again read, overdue bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.contact.storeFailedAt().After(r.sent) {
		f.troubleAt = f.troubleTime() // the answer may have been lost with the store
	}
	f.readSent, f.readWait = again.sent, 0
	if !overdue {
		return
	}
	late := f.clock.Since(r.sent) - r.wait
	f.lag = min(max(f.lag, late), answerMargin)
	f.contact.suspectConnections()
	f.log.Warn("connection to the store is silent", "feed", f.name, "next", f.next, "age_ms", f.ageMillis(), "late_ms", late.Milliseconds())
}

// answered reports whether the store answered a read that ended with the error.
func answered(err error) bool {
	return err == nil || errors.Is(err, hollowgrade.ErrTrimmed)
}
