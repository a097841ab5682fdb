package agent

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/config"
	"github.com/hollowgrade/hollowgrade/fault"
	"github.com/hollowgrade/hollowgrade/fold"
	"github.com/hollowgrade/hollowgrade/internal/wire"
	"github.com/hollowgrade/hollowgrade/kernel"
	"github.com/hollowgrade/hollowgrade/ledger"
	"github.com/hollowgrade/hollowgrade/peer"
	"github.com/hollowgrade/hollowgrade/sched"
)

// KeyTimes are the durations that bound how idempotency keys are kept.
type KeyTimes struct {
	// Window is how long a key is remembered after its run has ended.
	Window time.Duration
	// Lease is how long a keeper goes on granting without having read the end of the log. After a
	// crash its keys wait that long for the next keeper; in an outage of the log, callers' own keys
	// are served that long.
	Lease time.Duration
	// Grace is how long a keeper must be missing from the list before another takes its ranges.
	Grace time.Duration
	// CheckInterval is the interval between two checks of the list.
	CheckInterval time.Duration
}

// DefaultKeyTimes returns times that suit boxes which are replaced a few
// hundred times a day.
func DefaultKeyTimes() KeyTimes {
	return KeyTimes{Window: 15 * time.Minute, Lease: 2 * time.Minute, Grace: 10 * time.Second, CheckInterval: time.Second}
}

// maxKeys bounds the records of one ledger; each takes about 300 bytes without its answer.
const maxKeys = 100_000

// maxStoredAnswerBytes bounds the answers that are stored for repeated calls with a key. Of a
// larger answer only the outcome is kept.
const maxStoredAnswerBytes = 16 << 10

// Keeper keeps the ledger of the key ranges that the log assigns to this agent. A keeper acquires a
// range by a record in the log that names the revision it replaces, so each epoch of a range has
// one keeper. A keeper that has not read the end of the log for the duration of its lease stops
// granting, and its successor waits that long before it starts, so no two keepers grant at once.
type Keeper struct {
	box         string
	incarnation string
	times       KeyTimes
	clock       hollowgrade.Clock
	logger      *log.Logger
	log         hollowgrade.Log
	follower    *fold.Follower
	agents      func(context.Context) []hollowgrade.Box
	dial        peer.Dialer
	secret      []byte

	cancel context.CancelFunc
	done   chan struct{}

	mu      sync.Mutex
	config  *config.Config
	ranges  map[int]*ownedRange
	pending map[int]*pendingRange // handed over to this keeper, but not yet assigned to it by the log
	minted  *ledger.Keys
	missing map[string]time.Time // since when a keeper is missing from the list
	leaving bool
}

type ownedRange struct {
	epoch      int64
	grantsFrom time.Time // no claim is granted before this
	keys       *ledger.Keys
}

// pendingRange is a range that is being handed over from one keeper to the next.
type pendingRange struct {
	epoch    int64 // of the keeper that hands the range over
	records  []ledger.KeyRecord
	complete bool
}

// NewKeeper returns a keeper. The function agents returns the agents' boxes as the platform lists
// them.
func NewKeeper(box, incarnation string, t KeyTimes, k hollowgrade.Clock, g *log.Logger, l hollowgrade.Log,
	f *fold.Follower, agents func(context.Context) []hollowgrade.Box, d peer.Dialer,
) *Keeper {
	s := make([]byte, sha256.Size)
	_, _ = rand.Read(s)
	return &Keeper{
		box: box, incarnation: incarnation, times: t, clock: k, logger: g, log: l, follower: f,
		agents: agents, dial: d, secret: s,
		done:    make(chan struct{}),
		config:  &config.Config{},
		ranges:  map[int]*ownedRange{},
		pending: map[int]*pendingRange{},
		minted:  ledger.NewKeys(t.Window, maxKeys),
		missing: map[string]time.Time{},
	}
}

// Start implements [kernel.Service].
func (k *Keeper) Start(context.Context, *kernel.Kernel) error {
	ctx, cancel := context.WithCancel(context.Background())
	k.cancel = cancel
	go k.loop(ctx)
	return nil
}

// Stop implements [kernel.Service]. It hands the ranges over to other agents.
func (k *Keeper) Stop(ctx context.Context) error {
	k.cancel()
	<-k.done
	return k.handOver(ctx)
}

func (k *Keeper) loop(ctx context.Context) {
	defer close(k.done)
	for hollowgrade.Sleep(ctx, k.clock, k.times.CheckInterval) {
		k.acquireRanges(ctx)
	}
}

// SetConfig sets the configuration, which assigns the ranges to keepers.
func (k *Keeper) SetConfig(c *config.Config) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if c.Revision < k.config.Revision {
		return
	}
	k.config = c
	for n := range ledger.Ranges {
		r, ok := c.KeyRanges[ledger.RangeName(n)]
		mine := ok && r.Owner == k.box && r.Incarnation == k.incarnation
		if !mine {
			delete(k.ranges, n)
			continue
		}
		if p := k.ranges[n]; p == nil || p.epoch != r.Epoch {
			k.ranges[n] = k.openRange(n, r)
		}
	}
}

// openRange opens the ledger of a range that has been assigned to this keeper. The previous keeper
// may grant until its lease ends, and unless it handed its records over they are not in the new
// ledger: claims wait for the lease, and keys without a record are unknown for a window more.
func (k *Keeper) openRange(n int, r config.Range) *ownedRange {
	now := k.clock.Now()
	p := &ownedRange{epoch: r.Epoch, grantsFrom: now, keys: ledger.NewKeys(k.times.Window, maxKeys)}
	h := k.pending[n]
	delete(k.pending, n)
	switch {
	case r.First:
	case r.Former != 0 && h != nil && h.complete && h.epoch == r.Former:
		p.keys.Import(h.records, now)
	default:
		p.grantsFrom = now.Add(k.times.Lease)
		p.keys.SetUnknownUntil(p.grantsFrom.Add(k.times.Window))
	}
	return p
}

// Claim implements [KeyKeeper].
func (k *Keeper) Claim(m *wire.Claim) *wire.ClaimReply {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	id := ledger.KeyID{Organisation: m.Organisation, Key: m.Key}
	keys, epoch, lease := k.ledgerFor(id, now)
	if keys == nil {
		return &wire.ClaimReply{Verdict: string(ledger.NotMine)}
	}
	v, r := keys.Claim(ledger.Claim{
		ID:      id,
		Digest:  m.Digest,
		Request: m.Id,
		Hold:    time.Duration(m.HoldMicros) * time.Microsecond,
	}, now)
	a := &wire.ClaimReply{Verdict: string(v), Epoch: epoch, LeaseMicros: lease.Microseconds(), Outcome: string(r.Outcome)}
	if len(r.Answer) > 0 {
		a.Answer = &wire.StoredAnswer{}
		if err := proto.Unmarshal(r.Answer, a.Answer); err != nil {
			a.Answer = nil
		}
	}
	return a
}

// mintedLease is the lease on a minted key: its keeper never changes, so only the hold of the claim
// bounds it.
const mintedLease = time.Hour

// ledgerFor returns the ledger that decides about the key, its epoch, and how long this keeper may
// certainly grant; nil if another keeper decides, or none does yet.
func (k *Keeper) ledgerFor(id ledger.KeyID, now time.Time) (l *ledger.Keys, epoch int64, lease time.Duration) {
	if b, i, s, ok := ledger.ParseMinted(id.Key); ok {
		if b != k.box || i != k.incarnation || !k.verifyMinted(s, now) {
			return nil, 0, 0
		}
		return k.minted, 0, mintedLease
	}
	p := k.ranges[id.Range()]
	lease = k.times.Lease - now.Sub(k.follower.Fresh())
	if p == nil || k.leaving || now.Before(p.grantsFrom) || lease <= 0 {
		return nil, 0, 0
	}
	return p.keys, p.epoch, lease
}

// Settle implements [KeyKeeper].
func (k *Keeper) Settle(m *wire.Settle) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	id := ledger.KeyID{Organisation: m.Organisation, Key: m.Key}
	keys := k.minted
	if p := k.ranges[id.Range()]; p != nil {
		keys = p.keys
	}
	if _, _, _, ok := ledger.ParseMinted(id.Key); ok {
		keys = k.minted
	}
	var b []byte
	if m.Answer != nil && proto.Size(m.Answer) <= maxStoredAnswerBytes {
		b, _ = proto.Marshal(m.Answer)
	}
	keys.Settle(id, m.Id, hollowgrade.Outcome(m.Outcome), b, now)
}

// Fenced implements [KeyKeeper].
func (k *Keeper) Fenced(organisation, key string, epoch int64) bool {
	if _, _, _, ok := ledger.ParseMinted(key); ok {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	id := ledger.KeyID{Organisation: organisation, Key: key}
	return k.config.KeyRanges[ledger.RangeName(id.Range())].Epoch > epoch
}

// Mint implements [KeyKeeper]. A minted key ends with its expiry and a signature that only this
// process can make, so it needs no record before it is claimed.
func (k *Keeper) Mint() string {
	n := strconv.FormatInt(hollowgrade.WallTime(k.clock).Add(k.times.Window/2).UnixNano(), 36) + "-" + uuid.NewString()
	return ledger.MintedKey(k.box, k.incarnation, n+"-"+k.sign(n))
}

const signatureBytes = 12

func (k *Keeper) sign(s string) string {
	h := hmac.New(sha256.New, k.secret)
	_, _ = h.Write([]byte(s))
	return hex.EncodeToString(h.Sum(nil)[:signatureBytes])
}

// verifyMinted reports whether the last part of a minted key was signed by this keeper and has not
// expired. A minted key expires before its record would be forgotten, so it cannot run twice.
func (k *Keeper) verifyMinted(s string, now time.Time) bool {
	if len(s) < 2*signatureBytes+1 {
		return false
	}
	n, m := s[:len(s)-2*signatureBytes-1], s[len(s)-2*signatureBytes:]
	if !hmac.Equal([]byte(m), []byte(k.sign(n))) {
		return false
	}
	e, _, _ := cutDash(n)
	at, err := strconv.ParseInt(e, 36, 64)
	return err == nil && now.UnixNano() < at
}

func cutDash(s string) (before, after string, ok bool) {
	i := slices.Index([]byte(s), '-')
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+1:], true
}

// acquireRanges acquires the ranges that have no live keeper and for which this agent ranks first.
func (k *Keeper) acquireRanges(ctx context.Context) {
	live := liveNames(k.agents(ctx))
	if !slices.Contains(live, k.box) || k.follower.Fresh().IsZero() {
		return
	}
	for n := range ledger.Ranges {
		c, ok := k.planAcquisition(n, live)
		if !ok {
			continue
		}
		if err := k.publish(ctx, n, c); err != nil && ctx.Err() == nil {
			k.logger.Warn("key range not acquired", "range", n, "err", err)
			return
		}
	}
}

func liveNames(bs []hollowgrade.Box) (ns []string) {
	for _, b := range bs {
		if b.Role == hollowgrade.AgentRole && b.State == hollowgrade.BoxLive {
			ns = append(ns, b.Name)
		}
	}
	return ns
}

// planAcquisition decides whether to acquire a range now.
func (k *Keeper) planAcquisition(n int, live []string) (r config.KeyRange, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	cur, assigned := k.config.KeyRanges[ledger.RangeName(n)]
	r = config.KeyRange{Owner: k.box, Incarnation: k.incarnation, First: !assigned}
	switch {
	case k.leaving:
		return r, false
	case assigned && cur.Owner == k.box:
		// A former process of this box may own it.
		return r, cur.Incarnation != k.incarnation
	case assigned && slices.Contains(live, cur.Owner):
		delete(k.missing, cur.Owner)
		return r, false
	case assigned && !k.absentForGrace(cur.Owner):
		return r, false
	default:
		return r, sched.HighestRanked("key range "+ledger.RangeName(n), live) == k.box
	}
}

func (k *Keeper) absentForGrace(owner string) bool {
	now := k.clock.Now()
	since, ok := k.missing[owner]
	if !ok {
		k.missing[owner] = now
		return false
	}
	return now.Sub(since) >= k.times.Grace
}

func (k *Keeper) publish(ctx context.Context, n int, r config.KeyRange) error {
	s := k.follower.State()
	i, _ := s.Item(config.KeyRangeKind, ledger.RangeName(n))
	c, err := fold.NewChange(config.KeyRangeKind, ledger.RangeName(n), i.Revision, r, uuid.NewString(), k.box)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = fold.Publish(ctx, k.log, s, c)
	var f *fault.Error
	if errors.As(err, &f) && f.Code == fault.LostRace {
		return nil // another keeper has acquired the range
	}
	return err
}

// handOver sends each range with its records to the agent that ranks next. This keeper grants
// nothing from here on.
func (k *Keeper) handOver(ctx context.Context) (err error) {
	boxes := slices.DeleteFunc(k.agents(ctx), func(b hollowgrade.Box) bool {
		return b.Role != hollowgrade.AgentRole || b.State != hollowgrade.BoxLive || b.Name == k.box
	})
	names := liveNames(boxes)
	for n, h := range k.stopGranting() {
		next := sched.HighestRanked("key range "+ledger.RangeName(n), names)
		i := slices.IndexFunc(boxes, func(b hollowgrade.Box) bool { return b.Name == next })
		if i < 0 {
			return nil
		}
		inc, e := k.sendRange(ctx, boxes[i].Peer, n, h)
		if e == nil {
			e = k.publish(ctx, n, config.KeyRange{Owner: next, Incarnation: inc, Former: h.epoch})
		}
		if e != nil {
			err = errors.Join(err, fmt.Errorf("hand over key range %d: %w", n, e))
		}
	}
	return err
}

// stopGranting stops granting and returns the records of each range.
func (k *Keeper) stopGranting() map[int]pendingRange {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaving = true
	now := k.clock.Now()
	m := map[int]pendingRange{}
	for n, p := range k.ranges {
		if !now.Before(p.grantsFrom) {
			m[n] = pendingRange{epoch: p.epoch, records: p.keys.Export(now)}
		}
	}
	return m
}

// handoverBatch is the number of records in one frame, small enough that each may have an answer of
// the largest size.
const handoverBatch = 16

func (k *Keeper) sendRange(ctx context.Context, address string, n int, h pendingRange) (incarnation string, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c, err := peer.Dial(ctx, k.dial, address)
	if err != nil {
		return "", err
	}
	defer c.Close()
	var s *peer.Stream
	for b := range slices.Chunk(append(h.records, ledger.KeyRecord{}), handoverBatch) {
		// The empty record at the end ensures that there is a last batch.
		last := b[len(b)-1].ID.Key == ""
		if last {
			b = b[:len(b)-1]
		}
		j, err := json.Marshal(b)
		if err != nil {
			return "", err
		}
		f := &wire.Frame{Body: &wire.Frame_Handover{Handover: &wire.Handover{Range: int64(n), Epoch: h.epoch, Records: j, Last: last}}}
		if s == nil {
			s, err = c.Open(f)
		} else {
			err = s.Send(f)
		}
		if err != nil {
			return "", err
		}
	}
	defer s.Abort()
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	f, err := s.Receive()
	if err != nil {
		return "", err
	}
	return f.GetHello().GetIncarnation(), nil
}

// ReceiveHandover implements [KeyKeeper].
func (k *Keeper) ReceiveHandover(h *wire.Handover) error {
	var rs []ledger.KeyRecord
	if err := json.Unmarshal(h.Records, &rs); err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	n := int(h.Range)
	p := k.pending[n]
	if p == nil || p.complete || p.epoch != h.Epoch {
		p = &pendingRange{epoch: h.Epoch}
		k.pending[n] = p
	}
	p.records = append(p.records, rs...)
	p.complete = h.Last
	return nil
}
