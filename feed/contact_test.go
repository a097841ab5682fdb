package feed

import (
	"errors"
	"fmt"
	"io"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
)

func TestContact(t *testing.T) {
	errTimeout := errors.New("timeout")
	run := func(name string, test func(t *testing.T, c *contact)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &contact{clock: hollowgrade.SystemClock()}
				c.heard()
				time.Sleep(time.Second)
				test(t, c)
			})
		})
	}
	run("a process that polls nobody is not cut off", func(t *testing.T, c *contact) {
		begun := time.Now()
		time.Sleep(time.Minute)
		require.False(t, c.cutOffSince(begun))
		require.False(t, c.isolatedSince(begun))
		c.heard()
		require.False(t, c.isolatedSince(begun))
	})
	run("one whose polls get no answer is, until somebody answers", func(t *testing.T, c *contact) {
		begun := time.Now()
		c.lost(begun, errTimeout)
		require.True(t, c.cutOffSince(begun))
		time.Sleep(relistTime)
		require.False(t, c.isolatedSince(begun))
		time.Sleep(time.Millisecond)
		require.True(t, c.isolatedSince(begun))
		c.heard()
		require.True(t, c.isolatedSince(begun), "of a view that is not complete since")
		time.Sleep(time.Millisecond)
		require.False(t, c.isolatedSince(time.Now()), "of a view that is")
		require.False(t, c.cutOffSince(time.Now()))
		time.Sleep(uncertainPeriod)
		require.False(t, c.isolatedSince(begun), "long after it")
	})
	run("nor is one of whose peers another answers, or refuses", func(t *testing.T, c *contact) {
		sent := time.Now()
		time.Sleep(time.Millisecond)
		c.heard()
		c.lost(sent, errTimeout)
		require.False(t, c.cutOffSince(sent))
		time.Sleep(time.Millisecond)
		c.lost(time.Now(), fmt.Errorf("poll: %w", syscall.ECONNREFUSED))
		require.False(t, c.cutOffSince(time.Now()))
	})
	run("the store returns once it answers what was asked while it was away", func(t *testing.T, c *contact) {
		waiting := time.Now()
		require.Zero(t, c.relistedBy(), "it was never away")
		time.Sleep(time.Second)
		c.noteStoreAway(time.Now())
		time.Sleep(time.Second)
		c.noteStoreAway(time.Now())
		c.noteStoreServes(waiting)
		time.Sleep(time.Second)
		require.Equal(t, time.Now().Add(relistTime), c.relistedBy())
		c.noteStoreServes(time.Now())
		returned := time.Now()
		time.Sleep(time.Second)
		c.noteStoreServes(time.Now())
		require.Equal(t, returned.Add(relistTime), c.relistedBy())
	})
	run("nobody knows that it is away who was cut off since the poll", func(t *testing.T, c *contact) {
		sent := time.Now()
		c.lost(sent, errTimeout)
		c.noteStoreAway(sent)
		require.Zero(t, c.relistedBy())
		time.Sleep(time.Millisecond)
		c.heard()
		c.noteStoreAway(sent)
		require.Zero(t, c.relistedBy())
		c.noteStoreAway(time.Now())
		require.NotZero(t, c.relistedBy())
	})
}

// Guards against doubt that ends too soon: it counted from the last failed read, maybe long before the return.
func TestDoubtCountsFromTheReturnOfTheStore(t *testing.T) {
	quiet := WithLogger(log.New(io.Discard))
	run := func(name string, test func(t *testing.T, f *Feed, r *Relay)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := New("f", newTopic(), quiet)
				f.Merge(page(1), time.Now())
				r := NewRelay("self:1", func() []string { return []string{"a:1", "b:1"} }, WithRelayLogger(log.New(io.Discard)))
				r.Add(f)
				time.Sleep(time.Second)
				test(t, f, r)
			})
		})
	}
	poll := func(r *Relay, a, b standing) {
		r.startRound([]string{"a:1", "b:1"})
		defer r.endPoll("a:1")
		defer r.endPoll("b:1")
		r.noteReply("a:1", a, time.Now())
		r.noteReply("b:1", b, time.Now())
	}
	run("where it fails this process and all peers", func(t *testing.T, f *Feed, r *Relay) {
		f.noteReadFailed(errDown)
		poll(r, unservedPeer, unservedPeer)
		time.Sleep(uncertainPeriod)
		require.Equal(t, time.Now().Add(relistTime), f.uncertainUntil())
		poll(r, unservedPeer, servedPeer)
		f.Merge(page(1), time.Now())
		returned := time.Now()
		time.Sleep(relistTime / 2)
		require.Equal(t, returned.Add(relistTime), f.uncertainUntil())
		time.Sleep(relistTime / 2)
		require.Zero(t, f.uncertainUntil())
	})
	run("but not where it serves a peer", func(t *testing.T, f *Feed, r *Relay) {
		f.noteReadFailed(errDown)
		poll(r, unservedPeer, servedPeer)
		require.Equal(t, time.Now().Add(uncertainPeriod), f.uncertainUntil(), "from the failed read only")
		time.Sleep(uncertainPeriod)
		require.Zero(t, f.uncertainUntil())
		require.Zero(t, r.contact.relistedBy())
	})
	run("nor where it has not failed this process", func(t *testing.T, f *Feed, r *Relay) {
		poll(r, unservedPeer, unservedPeer)
		require.Zero(t, f.uncertainUntil())
	})
}
