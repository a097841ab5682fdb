package fold

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/internal/errs"
	"github.com/hollowgrade/hollowgrade/kernel"
)

const (
	defaultPollInterval = time.Second
	maxRecordsPerRead   = 1000
	// readTimeout bounds one read. A read is limited in records but not in bytes, so that after a
	// timeout the next one requests half as many.
	readTimeout = 5 * time.Second
	// renewDivisor gives the time after which the state is written again: the retention divided by
	// it. The other half of the retention is left for outages of the log.
	renewDivisor = 2
)

// Follower keeps a state up to date with the log. It is a service of the kernel.
type Follower struct {
	log       hollowgrade.Log
	clock     hollowgrade.Clock
	logger    *log.Logger
	poll      time.Duration
	retention time.Duration
	peers     func(ctx context.Context, newerThan int64) [][]byte
	mayRenew  func() bool

	limit int // record limit of the next read

	state atomic.Pointer[State]
	// fresh is atomic because watchers read it while set holds the lock.
	fresh atomic.Pointer[time.Time]

	mu       sync.Mutex
	baseTime time.Time // log time of the newest base: a snapshot, or the first record
	watchers []func(State)
	cancel   context.CancelFunc
	done     chan struct{}
}

// FollowerOption configures a follower.
type FollowerOption func(*Follower)

// WithClock sets the clock.
func WithClock(c hollowgrade.Clock) FollowerOption {
	return func(f *Follower) { f.clock = c }
}

// WithLogger sets the logger.
func WithLogger(l *log.Logger) FollowerOption {
	return func(f *Follower) { f.logger = l }
}

// WithPoll sets the time between two reads of the log.
func WithPoll(d time.Duration) FollowerOption {
	return func(f *Follower) { f.poll = d }
}

// WithPeers sets the source of snapshots while the log is unavailable: each is the newest state of
// one peer, if newer than the offset given.
func WithPeers(p func(ctx context.Context, newerThan int64) [][]byte) FollowerOption {
	return func(f *Follower) { f.peers = p }
}

// WithRenewal makes the follower append a snapshot before the log drops the records of its state.
// Turn reports whether it is this box's turn, so that not all write at once; duplicates are
// harmless.
func WithRenewal(retention time.Duration, turn func() bool) FollowerOption {
	return func(f *Follower) { f.retention, f.mayRenew = retention, turn }
}

// NewFollower returns a follower of the log.
func NewFollower(l hollowgrade.Log, os ...FollowerOption) *Follower {
	f := &Follower{
		log:      l,
		clock:    hollowgrade.SystemClock(),
		logger:   log.Default(),
		poll:     defaultPollInterval,
		mayRenew: func() bool { return false },
		limit:    maxRecordsPerRead,
		done:     make(chan struct{}),
	}
	for _, o := range os {
		o(f)
	}
	s := New()
	f.state.Store(&s)
	f.fresh.Store(&time.Time{})
	return f
}

// State returns the newest state.
func (f *Follower) State() State {
	return *f.state.Load()
}

// Fresh returns when the end of the log was last seen.
func (f *Follower) Fresh() time.Time {
	return *f.fresh.Load()
}

// Watch calls w with the current state and with each new one. Calls do not overlap.
func (f *Follower) Watch(w func(State)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watchers = append(f.watchers, w)
	w(f.State())
}

// Start implements [kernel.Service]. It does not wait for the log: a box must start during an
// outage.
func (f *Follower) Start(context.Context, *kernel.Kernel) error {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	go f.loop(ctx)
	return nil
}

// Stop implements [kernel.Service].
func (f *Follower) Stop(context.Context) error {
	f.cancel()
	<-f.done
	return nil
}

func (f *Follower) loop(ctx context.Context) {
	defer close(f.done)
	for ctx.Err() == nil {
		if err := f.Update(ctx); err != nil && ctx.Err() == nil {
			f.logger.Warn("reading the log failed", "err", err)
			f.restoreFromPeers(ctx)
		}
		f.renew(ctx)
		// The jitter keeps a thousand boxes from reading at the same time.
		d := f.poll*3/4 + rand.N(f.poll/2+1)
		hollowgrade.Sleep(ctx, f.clock, d)
	}
}

// Update reads the log to its end.
func (f *Follower) Update(ctx context.Context) (err error) {
	defer errs.Annotate(&err, "follow log")
	for {
		at := f.clock.Now()
		s := f.State()
		p, err := f.read(ctx, s.Next())
		if errors.Is(err, hollowgrade.ErrTrimmed) {
			s, err = f.bootstrap(ctx, p.Earliest)
			if err != nil {
				return err
			}
			f.set(s)
			continue
		}
		if err != nil {
			return err
		}
		f.set(f.apply(s, p.Records))
		if len(p.Records) == 0 || p.Records[len(p.Records)-1].Offset+1 >= p.Next {
			f.fresh.Store(&at)
			return nil
		}
	}
}

// read reads a page of the log with the current limit, and adapts the limit.
func (f *Follower) read(ctx context.Context, from int64) (hollowgrade.Page, error) {
	c, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	p, err := f.log.Read(c, from, f.limit)
	switch {
	case err == nil:
		f.limit = min(2*f.limit, maxRecordsPerRead)
	case c.Err() != nil && ctx.Err() == nil:
		f.limit = max(f.limit/2, 1)
	}
	return p, err
}

func (f *Follower) apply(s State, rs []hollowgrade.Record) State {
	for _, r := range rs {
		f.noteBase(r)
		n, err := s.Apply(r)
		if err != nil {
			f.logger.Warn("record skipped", "code", "HG5005", "offset", r.Offset, "err", err)
		}
		s = n
	}
	return s
}

// noteBase records the time of the newest record from which a new box can begin.
func (f *Follower) noteBase(r hollowgrade.Record) {
	e, err := decode(r.Body)
	isBase := r.Offset == 0 || err == nil && e.Type == SnapshotRecord
	if isBase {
		f.mu.Lock()
		f.baseTime = r.Time
		f.mu.Unlock()
	}
}

func (f *Follower) bootstrap(ctx context.Context, earliest int64) (s State, err error) {
	var rs []hollowgrade.Record
	for from := earliest; ; {
		p, err := f.read(ctx, from)
		if err != nil {
			return s, err
		}
		rs = append(rs, p.Records...)
		from += int64(len(p.Records))
		if len(p.Records) == 0 || from >= p.Next {
			break
		}
	}
	for _, r := range rs {
		f.noteBase(r)
	}
	return Bootstrap(earliest, rs)
}

// set makes s the state if it is newer, and notifies the watchers if its revision changed.
func (f *Follower) set(s State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.Next() <= f.State().Next() {
		return
	}
	changed := s.Revision() != f.State().Revision()
	f.state.Store(&s)
	if !changed {
		return
	}
	for _, w := range f.watchers {
		w(s)
	}
}

// Restore replaces the state by an encoded snapshot if that is newer.
func (f *Follower) Restore(b []byte) error {
	s, err := f.State().Restore(b)
	if err != nil {
		return err
	}
	f.set(s)
	return nil
}

func (f *Follower) restoreFromPeers(ctx context.Context) {
	if f.peers == nil {
		return
	}
	for _, b := range f.peers(ctx, f.State().Next()) {
		if err := f.Restore(b); err != nil {
			f.logger.Warn("snapshot from a peer rejected", "err", err)
		}
	}
}

// Encoded returns the state as an encoded snapshot for peers if it is newer than the offset given,
// else nil.
func (f *Follower) Encoded(newerThan int64) []byte {
	s := f.State()
	if s.Next() <= newerThan {
		return nil
	}
	n, err := s.Snapshot()
	if err != nil {
		return nil
	}
	b, err := n.Encode()
	if err != nil {
		return nil
	}
	return b
}

// renew appends a snapshot if the base of the state is close to the log's retention.
func (f *Follower) renew(ctx context.Context) {
	f.mu.Lock()
	isDue := f.retention > 0 && !f.baseTime.IsZero() && f.clock.Since(f.baseTime) > f.retention/renewDivisor
	f.mu.Unlock()
	if !isDue || !f.mayRenew() {
		return
	}
	b := f.Encoded(0)
	if b == nil {
		return
	}
	if _, err := f.log.Append(ctx, b); err != nil {
		f.logger.Warn("snapshot not written", "err", err)
	}
}
