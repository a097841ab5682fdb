package feed

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/internal/errs"
	"github.com/hollowgrade/hollowgrade/internal/wire"
	"github.com/hollowgrade/hollowgrade/peer"
)

const (
	// relayEvery is how often a stale process asks its peers. Several asks fit
	// into the time for which a stale configuration still admits keys.
	relayEvery = 400 * time.Millisecond
	// relayTimeout bounds one ask: a connection and an answer within a region.
	relayTimeout = 700 * time.Millisecond
	// askedPeers is how many peers are asked at a time, so that one that is
	// dead or cut off itself does not hold the answer up.
	askedPeers = 3
	// staleMargin is by how much a view may be older than a read waits before
	// peers are asked: a read that gets no answer is given up after as much.
	staleMargin = answerMargin + 100*time.Millisecond
)

// Relay brings feeds up to date from peers while the store turns this process
// away.
type Relay struct {
	feeds []*Feed
	peers func() []string
	dial  peer.Dialer
	clock hollowgrade.Clock
	log   *log.Logger
}

// RelayOption changes a relay as it is made.
type RelayOption func(*Relay)

// WithRelayClock sets the clock.
func WithRelayClock(c hollowgrade.Clock) RelayOption {
	return func(r *Relay) { r.clock = c }
}

// WithRelayLogger sets the logger.
func WithRelayLogger(l *log.Logger) RelayOption {
	return func(r *Relay) { r.log = l }
}

// WithDialer sets how peers are reached.
func WithDialer(d peer.Dialer) RelayOption {
	return func(r *Relay) { r.dial = d }
}

// NewRelay returns a relay for feeds. Peers returns the addresses of processes
// that may know more; it is asked anew each time.
func NewRelay(peers func() []string, fs []*Feed, os ...RelayOption) *Relay {
	r := &Relay{
		feeds: fs,
		peers: peers,
		dial:  peer.TCP(),
		clock: hollowgrade.SystemClock(),
		log:   log.Default(),
	}
	for _, o := range os {
		o(r)
	}
	return r
}

// Run asks peers whenever a feed is stale, until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	for hollowgrade.Sleep(ctx, r.clock, relayEvery) {
		fs := r.behind()
		if len(fs) == 0 {
			continue
		}
		as := r.peers()
		rand.Shuffle(len(as), func(i, j int) { as[i], as[j] = as[j], as[i] })
		for _, a := range as[:min(askedPeers, len(as))] {
			go r.ask(ctx, a, fs)
		}
	}
}

// behind returns the feeds that are stale.
func (r *Relay) behind() (fs []*Feed) {
	for _, f := range r.feeds {
		if age, ok := f.Age(); !ok || age > f.wait+staleMargin {
			fs = append(fs, f)
		}
	}
	return fs
}

func (r *Relay) ask(ctx context.Context, address string, fs []*Feed) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	if err := r.exchange(ctx, address, fs); err != nil {
		r.log.Debug("peer did not tell what it knows of the store", "peer", address, "err", err)
	}
}

func (r *Relay) exchange(ctx context.Context, address string, fs []*Feed) (err error) {
	defer errs.Annotate(&err, "ask peer %s for feeds", address)
	sent := r.clock.Now()
	c, err := peer.Dial(ctx, r.dial, address)
	if err != nil {
		return err
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	q := &wire.FeedRequest{}
	for _, f := range fs {
		q.Positions = append(q.Positions, &wire.FeedPosition{Feed: f.Name(), Next: f.Next()})
	}
	s, err := c.Open(&wire.Frame{Body: &wire.Frame_FeedRequest{FeedRequest: q}})
	if err != nil {
		return err
	}
	for {
		m, err := s.Receive()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		p := m.GetFeedReply()
		if p == nil {
			return errors.New("peer sent a frame that is not due")
		}
		r.merge(address, p, fs, sent)
	}
}

// merge takes a peer's reply. What the peer knew as of some time before it
// answered it knew at the latest that long after the request was sent.
func (r *Relay) merge(address string, m *wire.FeedReply, fs []*Feed, sent time.Time) {
	for _, f := range fs {
		if f.Name() != m.Feed {
			continue
		}
		before, _ := f.Age()
		p := hollowgrade.KeyedPage{Next: m.Next, End: m.Next}
		for _, k := range m.Records {
			p.Records = append(p.Records, hollowgrade.KeyedRecord{Key: k.Key, Value: k.Value, Offset: k.Offset})
		}
		f.Merge(p, sent.Add(-time.Duration(m.AgeMicros)*time.Microsecond))
		if after, ok := f.Age(); ok && after < before {
			r.log.Info("learned from a peer", "feed", f.name, "peer", address, "next", m.Next, "records", len(p.Records),
				"age_ms", after.Milliseconds(), "age_before_ms", before.Milliseconds())
		}
	}
}

// Serve answers a peer's request. It is a part of a [peer.Handler].
func Serve(s *peer.Stream, q *wire.FeedRequest, fs []*Feed) (err error) {
	defer errs.Annotate(&err, "answer with feeds")
	for _, o := range q.Positions {
		for _, f := range fs {
			if f.Name() != o.Feed {
				continue
			}
			p, age, ok := f.Since(o.Next)
			if !ok {
				continue
			}
			if err = s.Send(reply(f.Name(), p, age)); err != nil {
				return err
			}
		}
	}
	return s.Finish()
}

func reply(name string, p hollowgrade.KeyedPage, age time.Duration) *wire.Frame {
	m := &wire.FeedReply{Feed: name, Next: p.Next, AgeMicros: age.Microseconds()}
	for _, k := range p.Records {
		m.Records = append(m.Records, &wire.FeedRecord{Key: k.Key, Value: k.Value, Offset: k.Offset})
	}
	return &wire.Frame{Body: &wire.Frame_FeedReply{FeedReply: m}}
}
