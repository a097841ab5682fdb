package feed

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
)

var errDown = errors.New("down")

// fakeTopic implements [hollowgrade.Topic] in memory.
type fakeTopic struct {
	mu      sync.Mutex
	records []hollowgrade.KeyedRecord
	first   int64 // offset of the first retained record
	era     int64 // of the store; 0 if its answers don't tell
	down    bool
	reads   int
	scans   int           // reads of all newest records
	slow    time.Duration // how long reading the newest records takes
	changed chan struct{}
}

func newTopic() *fakeTopic {
	return &fakeTopic{changed: make(chan struct{})}
}

func (t *fakeTopic) Put(_ context.Context, key string, value []byte) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records = append(t.records, hollowgrade.KeyedRecord{Key: key, Value: value, Position: hollowgrade.Position{Offset: int64(len(t.records))}})
	close(t.changed)
	t.changed = make(chan struct{})
	return nil
}

func (t *fakeTopic) set(change func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change()
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *fakeTopic) Newest(ctx context.Context, _ time.Duration) (p hollowgrade.KeyedPage, err error) {
	select {
	case <-time.After(t.slow):
	case <-ctx.Done():
		return p, ctx.Err()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.scans++
	if t.down {
		return p, errDown
	}
	newest := map[string]hollowgrade.KeyedRecord{}
	for _, r := range t.records {
		newest[r.Key] = r
	}
	for _, r := range newest {
		if !r.Dropped() {
			p.Records = append(p.Records, r)
		}
	}
	p.Next = int64(len(t.records))
	p.End = p.Next
	p.Era = t.era
	return p, nil
}

// scanCount returns how often all newest records were read.
func (t *fakeTopic) scanCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.scans
}

func (t *fakeTopic) Wait(ctx context.Context, from int64, d, _ time.Duration) (p hollowgrade.KeyedPage, err error) {
	until := time.After(d)
	t.mu.Lock()
	t.reads++
	t.mu.Unlock()
	for {
		t.mu.Lock()
		down, first, end, changed := t.down, t.first, int64(len(t.records)), t.changed
		p.Era = t.era
		if !down && from >= first && from < end {
			p.Records = append(p.Records, t.records[from:]...)
		}
		t.mu.Unlock()
		p.Next, p.End = max(end, from), end
		switch {
		case down:
			return p, errDown
		case from < first, from > end:
			return p, &hollowgrade.TrimmedError{Era: p.Era, First: first}
		case len(p.Records) > 0:
			return p, nil
		}
		select {
		case <-changed:
		case <-until:
			return p, nil
		case <-ctx.Done():
			return p, ctx.Err()
		}
	}
}

// view records the changes that a watcher receives.
type view struct {
	mu        sync.Mutex
	values    map[string]string
	uncertain int
}

func watch(f *Feed) *view {
	v := &view{values: map[string]string{}}
	f.Watch(func(cs []Change) {
		v.mu.Lock()
		defer v.mu.Unlock()
		for _, c := range cs {
			if c.Dropped() {
				delete(v.values, c.Key)
			} else {
				v.values[c.Key] = string(c.Value)
			}
			if !c.UncertainUntil.IsZero() {
				v.uncertain++
			}
		}
	})
	return v
}

func (v *view) all() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return fmt.Sprint(v.values)
}

// runFeed runs a feed of a topic in virtual time.
func runFeed(t *testing.T, test func(t *testing.T, k *fakeTopic, f *Feed, v *view)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		k := newTopic()
		f := New("f", k, WithLogger(log.New(io.Discard)), WithWait(time.Second))
		v := watch(f)
		var g sync.WaitGroup
		g.Go(func() { f.Run(ctx) })
		synctest.Wait()
		test(t, k, f, v)
		cancel()
		g.Wait()
	})
}

func put(t *testing.T, k *fakeTopic, key, value string) {
	t.Helper()
	require.NoError(t, k.Put(context.Background(), key, []byte(value)))
	synctest.Wait()
}

// pause waits until a feed may read again after it has read records.
func pause() {
	time.Sleep(defaultMinReadInterval)
	synctest.Wait()
}

func TestFeed(t *testing.T) {
	t.Run("the newest of each key is known", func(t *testing.T) {
		runFeed(t, func(t *testing.T, k *fakeTopic, _ *Feed, v *view) {
			put(t, k, "a", "1")
			put(t, k, "b", "1")
			put(t, k, "a", "2")
			pause()
			require.Equal(t, "map[a:2 b:1]", v.all())
			put(t, k, "b", "")
			pause()
			require.Equal(t, "map[a:2]", v.all())
			require.Zero(t, v.uncertain)
		})
	})
	t.Run("one change arrives at once, a burst of them with few reads", func(t *testing.T) {
		runFeed(t, func(t *testing.T, k *fakeTopic, _ *Feed, v *view) {
			pause()
			put(t, k, "a", "1")
			require.Equal(t, "map[a:1]", v.all())
			before := k.reads
			for i := range 200 {
				put(t, k, "a", fmt.Sprint(i))
				time.Sleep(5 * time.Millisecond)
			}
			pause()
			require.Equal(t, "map[a:199]", v.all())
			require.LessOrEqual(t, k.reads-before, 6)
		})
	})
	// Guards against retrying a slow read of the newest records for ever: 300 gateways that restart
	// together read 3,000 upstreams, which takes the store longer than a timeout of 3 s.
	t.Run("newest records that take long are read all the same", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			k := newTopic()
			k.slow = 8 * time.Second
			put(t, k, "a", "1")
			f := New("f", k, WithLogger(log.New(io.Discard)))
			v := watch(f)
			var g sync.WaitGroup
			g.Go(func() { f.Run(ctx) })
			time.Sleep(9 * time.Second)
			require.Equal(t, "map[a:1]", v.all())
			cancel()
			g.Wait()
		})
	})
	// A waiting read is answered as soon as there is a record, so an empty answer is valid for the
	// end of its wait. TestViewsAreNeverYoungerThanTold checks that views are never reported as
	// younger than they are.
	t.Run("freshness is counted from the end of a wait in vain, less what clocks may differ", func(t *testing.T) {
		runFeed(t, func(t *testing.T, _ *fakeTopic, f *Feed, _ *view) {
			time.Sleep(time.Second + 400*time.Millisecond) // the current read was sent 400 ms ago
			age, ok := f.Age()
			require.True(t, ok)
			require.Equal(t, 400*time.Millisecond+time.Second/clockDriftDivisor, age)
		})
	})
	t.Run("freshness is counted from when a read was sent that gave records", func(t *testing.T) {
		runFeed(t, func(t *testing.T, k *fakeTopic, f *Feed, _ *view) {
			time.Sleep(time.Second + 400*time.Millisecond)
			put(t, k, "a", "1")
			age, ok := f.Age()
			require.True(t, ok)
			require.Equal(t, 400*time.Millisecond, age)
		})
	})
	t.Run("freshness is counted from when a read was sent that was answered before its wait was over", func(t *testing.T) {
		f := New("f", newTopic())
		sent := time.Now()
		require.Equal(t, sent, f.completeAsOf(sent, time.Second, 0))
	})
	t.Run("it ages while the store is down and comes back", func(t *testing.T) {
		runFeed(t, func(t *testing.T, k *fakeTopic, f *Feed, v *view) {
			put(t, k, "a", "1")
			k.set(func() { k.down = true })
			time.Sleep(10 * time.Second)
			age, _ := f.Age()
			require.GreaterOrEqual(t, age, 10*time.Second)
			require.Equal(t, "map[a:1]", v.all())
			put(t, k, "a", "")
			k.set(func() { k.down = false })
			time.Sleep(2 * maxRetryDelay)
			age, _ = f.Age()
			require.LessOrEqual(t, age, 2*time.Second)
			require.Equal(t, "map[]", v.all())
			require.Equal(t, 1, v.uncertain, "a drop during an outage is marked as uncertain")
		})
	})
	t.Run("once the store is back it is fresh without waiting for a change", func(t *testing.T) {
		runFeed(t, func(t *testing.T, k *fakeTopic, f *Feed, _ *view) {
			k.set(func() { k.down = true })
			time.Sleep(10 * time.Second)
			k.set(func() { k.down = false })
			time.Sleep(maxRetryDelay * 3 / 2)
			age, _ := f.Age()
			require.LessOrEqual(t, age, maxRetryDelay*3/2)
		})
	})
	t.Run("what was dropped in forgotten history is found", func(t *testing.T) {
		runFeed(t, func(t *testing.T, k *fakeTopic, _ *Feed, v *view) {
			put(t, k, "a", "1")
			put(t, k, "b", "1")
			k.set(func() { k.down = true })
			time.Sleep(time.Second)
			put(t, k, "a", "")
			put(t, k, "c", "1")
			k.set(func() { k.down, k.first = false, int64(len(k.records)) })
			time.Sleep(2 * maxRetryDelay)
			require.Equal(t, "map[b:1 c:1]", v.all())
			put(t, k, "d", "1")
			require.Equal(t, "map[b:1 c:1 d:1]", v.all())
		})
	})
	t.Run("a late watcher is told what stands", func(t *testing.T) {
		runFeed(t, func(t *testing.T, k *fakeTopic, f *Feed, _ *view) {
			put(t, k, "a", "1")
			require.Equal(t, "map[a:1]", watch(f).all())
		})
	})
}

func page(next int64, rs ...hollowgrade.KeyedRecord) hollowgrade.KeyedPage {
	return hollowgrade.KeyedPage{Records: rs, Next: next, End: next}
}

// Guards against an old failed read making changes uncertain: a gateway whose own last read had
// failed long ago, and which had followed peers since, treated each upstream that was removed as
// expired.
func TestAnOldFailureCastsNoDoubtOnChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New("f", newTopic(), WithLogger(log.New(io.Discard)), WithWait(time.Second))
		v := watch(f)
		f.Merge(page(1, hollowgrade.KeyedRecord{Key: "a", Value: []byte("1")}), time.Now())
		f.noteReadFailed(errDown)
		drop := func(offset int64) int {
			v.uncertain = 0
			f.Merge(page(offset+1, hollowgrade.KeyedRecord{Key: "a", Value: []byte(fmt.Sprint("v", offset)), Position: hollowgrade.Position{Offset: offset}}), time.Now())
			return v.uncertain
		}
		require.Equal(t, 1, drop(1), "right after a failure")
		require.Equal(t, time.Now().Add(uncertainPeriod), f.uncertainUntil(), "until a box has to follow the registry again")
		for range 10 {
			time.Sleep(time.Second)
			f.Merge(page(2), time.Now())
		}
		require.Zero(t, drop(2), "long after it, with a view that stayed fresh")
	})
}

func TestMerge(t *testing.T) {
	now := time.Now()
	f := New("f", newTopic(), WithLogger(log.New(io.Discard)))
	v := watch(f)
	f.Merge(page(5, hollowgrade.KeyedRecord{Key: "a", Value: []byte("1"), Position: hollowgrade.Position{Offset: 4}}), now.Add(-3*time.Second))
	require.Equal(t, "map[a:1]", v.all())
	require.Equal(t, now.Add(-3*time.Second), f.Fresh())
	t.Run("an older record changes nothing", func(t *testing.T) {
		f.Merge(page(6, hollowgrade.KeyedRecord{Key: "a", Value: []byte("0"), Position: hollowgrade.Position{Offset: 3}}), now.Add(-2*time.Second))
		require.Equal(t, "map[a:1]", v.all())
	})
	t.Run("an older view does not make it older", func(t *testing.T) {
		f.Merge(page(6), now.Add(-time.Minute))
		require.Equal(t, now.Add(-2*time.Second), f.Fresh())
	})
	t.Run("a peer that knows less makes it no fresher", func(t *testing.T) {
		f.Merge(page(4), now)
		require.Equal(t, now.Add(-2*time.Second), f.Fresh())
	})
	t.Run("a page that does not reach the end makes it no fresher", func(t *testing.T) {
		f.mergePage(hollowgrade.KeyedPage{Next: 7, End: 9}, now)
		require.Equal(t, now.Add(-2*time.Second), f.Fresh())
	})
}

// Guards against a read that was lost in a cut and timed out after it: an upstream that left after the cut was
// used for 2.4 s.
func TestAReadThatWasLostInACutCastsDoubtFromItsSending(t *testing.T) {
	failed := func(t *testing.T, cutOff bool, age, wait, took time.Duration) (doubted time.Duration) {
		t.Helper()
		synctest.Test(t, func(*testing.T) {
			f := New("f", newTopic(), WithLogger(log.New(io.Discard)), WithWait(wait))
			f.Merge(page(1), time.Now().Add(-age))
			f.synced = true
			sent := time.Now()
			f.planRead(sent, wait == 0)
			time.Sleep(took)
			if cutOff {
				f.contact.lost(sent.Add(time.Millisecond), errDown)
			}
			f.noteReadFailed(errDown)
			doubted = f.uncertainUntil().Sub(sent)
		})
		return doubted
	}
	const timeout, long = 700 * time.Millisecond, time.Minute
	require.Equal(t, uncertainPeriod, failed(t, true, long, 0, timeout))
	require.Equal(t, uncertainPeriod, failed(t, false, 0, 0, timeout), "peers are served, so it was the way to the store")
	require.Equal(t, timeout+uncertainPeriod, failed(t, false, long, 0, timeout), "peers answered and none is served, so it was the store")
	require.Equal(t, timeout+uncertainPeriod, failed(t, true, 0, time.Second, timeout), "broken while it waited")
}
