package entry

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/internal/wire"
	"github.com/hollowgrade/hollowgrade/peer"
	"github.com/hollowgrade/hollowgrade/retry"
	"github.com/hollowgrade/hollowgrade/sched"
)

const (
	listInterval     = time.Second     // between two reads of the list of boxes
	dialTimeout      = 2 * time.Second // for a connection to an agent
	maxDialBackoff   = 5 * time.Second // between two attempts to connect
	statusTimeout    = 3 * time.Second // after this time without a heartbeat no new request is sent
	breakerThreshold = 3
	breakerCooldown  = 2 * time.Second
	hallLatency      = 1500 * time.Microsecond // assumed one-way latency between two data halls
)

// link is the connection to one agent, with its last status report. The entry's lock guards all
// fields but box, which never changes.
type link struct {
	box     hollowgrade.Box
	cancel  context.CancelFunc
	conn    *peer.Conn // nil while disconnected
	status  *wire.Status
	load    sched.Load
	sent    map[string]sentWork // work sent by this entry that no report covers yet, by request
	breaker *retry.Breaker
	budget  *retry.Budget
}

type sentWork struct {
	tokens int
	at     time.Time
}

// linkLoop keeps one link for each agent on the list. An agent that is missing from the list keeps
// its link while its connection lasts: the list lags in both directions, and the agent itself
// reports when it is draining.
func (e *Entry) linkLoop() {
	for e.ctx.Err() == nil {
		e.syncLinks(e.agents(e.ctx))
		hollowgrade.Sleep(e.ctx, e.clock, listInterval)
	}
	e.syncLinks(nil)
}

func (e *Entry) syncLinks(bs []hollowgrade.Box) {
	e.mu.Lock()
	defer e.mu.Unlock()
	listed := map[string]bool{}
	for _, b := range bs {
		listed[b.Peer] = true
		if _, ok := e.links[b.Peer]; !ok && b.State != hollowgrade.BoxLeaving {
			e.addLink(b)
		}
	}
	for a, l := range e.links {
		if !listed[a] && (l.conn == nil || e.ctx.Err() != nil) {
			l.cancel()
			delete(e.links, a)
			e.targets = nil
			e.order = slices.DeleteFunc(e.order, func(o *link) bool { return o == l })
		}
	}
}

func (e *Entry) addLink(b hollowgrade.Box) {
	ctx, cancel := context.WithCancel(e.ctx)
	l := &link{
		box:     b,
		cancel:  cancel,
		sent:    map[string]sentWork{},
		breaker: newBreaker(),
		budget:  newBudget(e.limits),
	}
	if b.Hall != e.box.Hall {
		l.load.OneWayLatency = hallLatency
	}
	e.links[b.Peer] = l
	e.targets = nil
	e.order = append(e.order, l)
	slices.SortFunc(e.order, func(a, b *link) int { return strings.Compare(a.box.Peer, b.box.Peer) })
	e.group.Go(func() { e.maintainLink(ctx, l) })
}

func newBreaker() *retry.Breaker {
	return retry.NewBreaker(breakerThreshold, breakerCooldown)
}

func newBudget(l Limits) *retry.Budget {
	return retry.NewBudget(l.RetryRatio, l.RetrySaved)
}

// maintainLink reconnects until ctx ends.
func (e *Entry) maintainLink(ctx context.Context, l *link) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 50 * time.Millisecond
	b.MaxInterval = maxDialBackoff
	for ctx.Err() == nil {
		if e.runConnection(ctx, l) {
			b.Reset()
		}
		hollowgrade.Sleep(ctx, e.clock, b.NextBackOff())
	}
}

// runConnection opens one connection and uses it until it ends. It reports whether any status
// arrived on it.
func (e *Entry) runConnection(ctx context.Context, l *link) (connected bool) {
	d, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := peer.Dial(d, e.dial, l.box.Peer)
	if err != nil {
		return false
	}
	defer c.Close()
	hello := &wire.Hello{Box: e.box.Name, Incarnation: e.incarnation, Hall: e.box.Hall}
	s, err := c.Open(&wire.Frame{Body: &wire.Frame_Hello{Hello: hello}})
	if err != nil {
		return false
	}
	defer s.Abort()
	defer e.disconnected(l)
	return e.readStatus(ctx, l, c, s)
}

// readStatus applies status reports until the connection ends.
func (e *Entry) readStatus(ctx context.Context, l *link, c *peer.Conn, s *peer.Stream) (connected bool) {
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	w := e.watchStatus(l, c)
	defer w.stop()
	for {
		f, err := s.Receive()
		if err != nil || f.GetStatus() == nil {
			return connected
		}
		w.reset()
		e.updateStatus(l, c, f.GetStatus())
		connected = true
	}
}

// statusWatch waits for the status reports on a connection. Without one for statusTimeout, the link gets no
// new requests until one comes. The requests that run on the connection go on while anything arrives on it;
// otherwise it is closed.
type statusWatch struct {
	entry *Entry
	link  *link
	conn  *peer.Conn

	mu       sync.Mutex
	timer    hollowgrade.Timer
	received int64 // bytes that had arrived when the current wait began
	ended    bool
}

func (e *Entry) watchStatus(l *link, c *peer.Conn) *statusWatch {
	w := &statusWatch{entry: e, link: l, conn: c, received: c.Received()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = e.clock.AfterFunc(statusTimeout, w.expire)
	return w
}

// reset begins the wait for the next report.
func (w *statusWatch) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.received = w.conn.Received()
	w.timer.Reset(statusTimeout)
}

func (w *statusWatch) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.conn.Received()
	switch {
	case w.ended:
	case n == w.received:
		_ = w.conn.Close()
	default:
		w.received = n
		w.entry.disconnected(w.link)
		w.timer.Reset(statusTimeout)
	}
}

func (w *statusWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timer.Stop()
}

func (e *Entry) updateStatus(l *link, c *peer.Conn, m *wire.Status) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if l.status != nil && l.status.Incarnation != m.Incarnation {
		e.prefixes.Forget(l.box.Peer)
	}
	if l.status == nil || l.status.Service != m.Service || !slices.Equal(l.status.Models, m.Models) {
		e.targets = nil
	}
	l.conn, l.status = c, m
	if m.Hall == e.box.Hall {
		l.load.OneWayLatency = 0
	}
	now := e.clock.Now()
	for id, w := range l.sent {
		// The report includes work that was sent more than a round trip before it.
		if now.Sub(w.at) > 2*l.load.OneWayLatency+minRoundTrip {
			delete(l.sent, id)
		}
	}
	l.load.QueuedTokens = [hollowgrade.Classes]int{int(m.InstantQueuedTokens), int(m.NormalQueuedTokens), int(m.BackgroundQueuedTokens)}
	l.load.QueuedItems = int(m.Queued)
	l.load.Running = int(m.Running)
	l.load.HeldTokens = int(m.HeldTokens)
	l.load.TotalTokens = int(m.TotalTokens)
	l.load.PrefillRate = m.PrefillRate
	l.load.Step = time.Duration(m.StepMicros) * time.Microsecond
	l.load.Draining = m.Draining
	l.sumSent()
}

const minRoundTrip = 5 * time.Millisecond

func (e *Entry) disconnected(l *link) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.targets = nil
	l.conn, l.status = nil, nil
	clear(l.sent)
	l.sumSent()
}

// sumSent sums up the work that no report covers.
func (l *link) sumSent() {
	l.load.SentTokens, l.load.SentItems = 0, len(l.sent)
	for _, w := range l.sent {
		l.load.SentTokens += w.tokens
	}
}

// addSent adds sent work to the link's load, until a report covers it.
func (l *link) addSent(id string, tokens int, now time.Time) {
	l.sent[id] = sentWork{tokens: tokens, at: now}
	l.sumSent()
}

// removeSent removes the work of a request from the link's load.
func (e *Entry) removeSent(l *link, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := l.sent[id]; ok {
		delete(l.sent, id)
		l.sumSent()
	}
}

// targets lists what the agent serves, in the form of [target].
func (l *link) targets() (ts []string) {
	if l.conn == nil || l.status == nil {
		return nil
	}
	if l.status.Service != "" {
		ts = append(ts, target(hollowgrade.Request{Service: l.status.Service}))
	}
	for _, m := range l.status.Models {
		ts = append(ts, target(hollowgrade.Request{Model: m}))
	}
	return ts
}

func (l *link) serves(r hollowgrade.Request) bool {
	if l.conn == nil || l.status == nil {
		return false
	}
	if r.Service != "" {
		return l.status.Service == r.Service
	}
	return slices.Contains(l.status.Models, r.Model)
}
