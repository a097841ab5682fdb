package feed

import (
	"context"
	"errors"
	"io"
	"slices"
	"time"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/internal/errs"
	"github.com/hollowgrade/hollowgrade/internal/wire"
	"github.com/hollowgrade/hollowgrade/peer"
)

const (
	// pollTimeout bounds one poll: a connection and an answer within a region. An answer has at
	// most maxPageBytes for each topic, which fits into this time on any link. Larger values are
	// transferred separately, without a bound on the total time.
	pollTimeout = 700 * time.Millisecond
	// pollFanout is how many readers a process polls at a time, and how many peers besides while
	// its view is stale, since some may be dead or cut off. Polling all readers would make the
	// number of polls grow with the square of the number of processes.
	pollFanout = 3
	// minLoggedCutBytes is the size from which an answer that was cut is logged as a warning. Polls
	// of an unreachable peer are logged for debugging only: there are many, and "store lost" and
	// the view's age are logged anyway.
	minLoggedCutBytes = 16 << 10
)

// startRound returns those of the peers that are not being polled yet, and marks them as such.
func (r *Relay) startRound(as []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	as = slices.DeleteFunc(as, func(a string) bool { return r.polling[a] })
	for _, a := range as {
		r.polling[a] = true
	}
	r.outstanding = len(as)
	return as
}

func (r *Relay) endPoll(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.polling, address)
}

// pollTargets returns the peers to poll now. A process that does not read all topics, or that the
// store does not answer, polls a sample of the processes that the store may serve. While no served
// process replies, or a view is stale, it polls all readers that may be served, some of the backups
// that are due, and some others. That holds for a reader too, which may have started during an outage. One that
// does not know from where on the log of a store that came back differs polls other readers, which may know.
func (r *Relay) pollTargets() (as []string) {
	readers, sources := r.readers(), r.sources()
	served := r.isServed()
	switch {
	case !slices.Contains(sources, r.self):
		as = r.addSample(nil, r.withServedPeers(sources))
	case !slices.Contains(readers, r.self), r.unservedOnSome(), r.uncertainOnSome():
		as = r.addSample(nil, r.withServedPeers(readers))
	}
	if served && !slices.Contains(readers, r.self) {
		as = r.addSample(as, r.higherRanked()) // those that it replaces as a backup may be served by now
	}
	r.mu.Lock()
	lacksReply := r.lacksServedReply()
	r.mu.Unlock()
	if len(r.staleFeeds()) == 0 && (served || !lacksReply) {
		return as
	}
	as = append(as, slices.DeleteFunc(r.withoutUnserved(readers), func(a string) bool { return slices.Contains(as, a) })...)
	as = r.addSample(as, r.dueBackups())
	return r.addSample(as, r.peers())
}

// addSample adds a sample of more peers to those that are polled.
func (r *Relay) addSample(as, more []string) []string {
	return append(as, r.sample(slices.DeleteFunc(slices.Clone(more), func(a string) bool { return a == r.self || slices.Contains(as, a) }))...)
}

// unservedOnSome reports whether the store does not answer this process on some topic.
func (r *Relay) unservedOnSome() bool {
	return slices.ContainsFunc(r.feeds, func(f *Feed) bool {
		served, known := f.served()
		return known && !served
	})
}

// uncertainOnSome reports whether the view of some topic is uncertain since the store came back.
func (r *Relay) uncertainOnSome() bool {
	return slices.ContainsFunc(r.feeds, (*Feed).uncertain)
}

// isServed reports whether the store answers this process on all topics that it reads.
func (r *Relay) isServed() bool {
	return allServed(r.feeds)
}

// sample returns a random sample of pollFanout peers, with one of the own hall if there is one, so
// that large values come from there.
func (r *Relay) sample(as []string) []string {
	as = r.preferServed(as)
	shuffle(as)
	if i := slices.IndexFunc(as, r.sameHall); i > 0 {
		as[0], as[i] = as[i], as[0]
	}
	return as[:min(pollFanout, len(as))]
}

// staleFeeds returns the feeds that are stale.
func (r *Relay) staleFeeds() (fs []*Feed) {
	for _, f := range r.feeds {
		if age, ok := f.Age(); !ok || age > r.timing.staleAge(f.wait) {
			fs = append(fs, f)
		}
	}
	return fs
}

// pollResult is the result of one poll of a peer.
type pollResult struct {
	feeds    int      // number of feeds in the answer
	standing standing // as the peer reported it
	bytes    int64
	more     *Feed            // a feed of which the peer can send the next page at once, or nil
	large    []announcedValue // records whose values have to be requested
}

// announcedValue is an announcement for a feed.
type announcedValue struct {
	feed *Feed
	announcement
}

// poll polls a peer once, and then for the missing pages one after another.
func (r *Relay) poll(ctx context.Context, address string) {
	for f := r.pollOnce(ctx, address); f != nil; {
		before := f.askedPosition()
		if !r.startPaging(f) {
			return // another poll does it
		}
		more := r.pollOnce(ctx, address)
		r.endPaging(f)
		if f.askedPosition() == before {
			return
		}
		f = more
	}
}

// startPaging marks a feed as being read page by page. It returns false if it is already.
func (r *Relay) startPaging(f *Feed) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.paging[f] {
		return false
	}
	r.paging[f] = true
	return true
}

func (r *Relay) endPaging(f *Feed) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.paging, f)
}

// pollOnce polls a peer and starts the transfers of large values that it has. It returns a feed of
// which the peer can send more, or nil.
func (r *Relay) pollOnce(ctx context.Context, address string) (more *Feed) {
	sent := r.clock.Now()
	d, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	t, err := r.exchange(d, address)
	r.received.Add(t.bytes)
	if err != nil {
		r.noteNoReply(address)
		r.contact.lost(sent, err)
		r.noteCut(address, t.bytes, r.clock.Since(sent), errors.Join(d.Err(), err))
		return nil
	}
	for _, l := range t.large {
		r.fetchValue(ctx, l.feed, l.announcement, address)
	}
	return t.more
}

// noteCut records that the answer of a peer was cut after so many bytes.
func (r *Relay) noteCut(address string, bytes int64, took time.Duration, err error) {
	r.wasted.Add(bytes)
	if bytes >= minLoggedCutBytes {
		r.log.Warn("answer of a peer was cut", "peer", address, "bytes", bytes, "took_ms", took.Milliseconds(), "err", err)
		return
	}
	r.log.Debug("poll of a peer failed", "peer", address, "err", err)
}

// Received returns how many bytes peers have sent, and how many of these belonged to answers and
// values that were cut.
func (r *Relay) Received() (all, wasted int64) {
	return r.received.Load(), r.wasted.Load()
}

// conn returns the existing connection to a peer, or opens one.
func (r *Relay) conn(ctx context.Context, address string) (*peer.Conn, error) {
	r.mu.Lock()
	c := r.conns[address]
	r.mu.Unlock()
	if c != nil {
		return c, nil
	}
	c, err := peer.Dial(ctx, r.dial, address)
	if err != nil {
		return nil, err
	}
	if o := r.addConn(address, c); o != c {
		return o, c.Close()
	}
	return c, nil
}

// addConn adds a connection to a peer unless there is one, and returns the one that there is then.
func (r *Relay) addConn(address string, c *peer.Conn) *peer.Conn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o := r.conns[address]; o != nil {
		return o
	}
	r.conns[address] = c
	return c
}

// drop closes and removes a connection on which an exchange failed.
func (r *Relay) drop(address string, c *peer.Conn) {
	r.mu.Lock()
	if r.conns[address] == c {
		delete(r.conns, address)
	}
	r.mu.Unlock()
	_ = c.Close() // waits for the goroutines of the connection
}

// exchange polls a peer and merges what it sends.
func (r *Relay) exchange(ctx context.Context, address string) (t pollResult, err error) {
	defer errs.Annotate(&err, "ask peer %s for feeds", address)
	c, err := r.conn(ctx, address)
	if err != nil {
		return t, err
	}
	defer func() {
		if err != nil {
			r.drop(address, c)
		}
	}()
	sent := r.clock.Now()
	q := &wire.FeedRequest{}
	asked := map[string]askedPosition{}
	for _, f := range r.feeds {
		a := f.askedPosition()
		asked[f.Name()] = a
		q.Positions = append(q.Positions, &wire.FeedPosition{Feed: f.Name(), Next: a.next, Era: a.era, Displaced: a.lostSum,
			DropsKnown: &a.dropsKnown, Keys: a.keySum, ListedTo: a.listedTo})
	}
	s, err := c.Open(&wire.Frame{Body: &wire.Frame_FeedRequest{FeedRequest: q}})
	if err != nil {
		return t, err
	}
	defer s.Abort()
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	defer func() { t.bytes = s.Received() }()
	for t.standing = servedPeer; ; t.feeds++ {
		m, err := s.Receive()
		if errors.Is(err, io.EOF) {
			if t.feeds < len(r.feeds) {
				t.standing = unservedPeer
			}
			r.noteReply(address, t.standing, sent)
			return t, nil
		}
		if err != nil {
			return t, err
		}
		p := m.GetFeedReply()
		if p == nil {
			return t, errors.New("peer sent a frame that is not due")
		}
		r.merge(address, p, asked[p.Feed], sent, &t)
	}
}

// feedByName returns the feed with a name, nil if there is none.
func feedByName(fs []*Feed, name string) *Feed {
	i := slices.IndexFunc(fs, func(f *Feed) bool { return f.Name() == name })
	if i < 0 {
		return nil
	}
	return fs[i]
}

// merge merges a peer's reply and adds what has to be requested separately to t. The reply's age
// counts from when the request was sent, the earliest time at which the peer can have answered.
func (r *Relay) merge(address string, m *wire.FeedReply, asked askedPosition, sent time.Time, t *pollResult) {
	f := feedByName(r.feeds, m.Feed)
	if f == nil {
		return
	}
	switch {
	case m.Unserved && m.Forwarded:
		t.standing = min(t.standing, forwardingPeer)
	case m.Unserved:
		t.standing = unservedPeer
	}
	before, _ := f.Age()
	p, announced := decodeReply(m, asked)
	p.From = address
	if len(p.Records) > 0 {
		r.noteProgress()
	}
	f.mergePeerPage(p, sent.Add(-time.Duration(m.AgeMicros)*time.Microsecond))
	if after, ok := f.Age(); ok && after < before && (before > r.timing.staleAge(f.wait) || len(p.Records) > 0) {
		r.log.Info("view updated from a peer", "feed", f.name, "peer", address, "next", m.Next, "records", len(p.Records),
			"age_ms", after.Milliseconds(), "age_before_ms", before.Milliseconds())
	}
	if p.listing != nil {
		if f.askedPosition() != asked {
			t.more = f
		}
		return
	}
	if f.Next() < p.First { // the peer told that the log differs from an earlier offset on
		t.more = f
		return
	}
	if f.isOfEra(p.Era) && f.Next() == p.Next {
		t.request(f, m, announced, address)
	}
}

// request adds to the result what has to be requested after a reply that was merged.
func (t *pollResult) request(f *Feed, m *wire.FeedReply, announced []announcement, address string) {
	for _, l := range announced {
		if f.noteAnnounced(l, address) {
			t.large = append(t.large, announcedValue{f, l})
		}
	}
	if m.Next >= m.End {
		return
	}
	if l := m.Large; l != nil {
		a := announcement{key: l.Key, at: hollowgrade.Position{Era: l.Era, Offset: l.Offset}, size: int(l.Size), era: m.Era}
		if f.noteAnnounced(a, address) {
			t.large = append(t.large, announcedValue{f, a})
			return
		}
	}
	t.more = f
}

// decodeReply decodes a peer's reply to the position that it was asked for. Announced are the records
// that the store lost and whose values have to be requested.
func decodeReply(m *wire.FeedReply, asked askedPosition) (p peerPage, announced []announcement) {
	p.whole = asked.era == 0 && m.DropsFrom == nil
	p.dropsFrom, p.sameKeys, p.keySum = m.GetDropsFrom(), m.SameKeys, asked.keySum
	if l := m.Listing; l != nil {
		p.listing = &keyListing{after: l.After, keys: l.Keys, last: l.Last}
	}
	p.Era, p.First, p.Next, p.End = m.Era, asked.next, m.Next, max(m.End, m.Next)
	if m.EraStart != nil {
		p.start, p.startKnown, p.eraBefore = *m.EraStart, true, m.EraBefore
	}
	if p.startKnown && asked.era > 0 && m.Era > asked.era {
		p.First = min(p.First, p.start)
	}
	p.Records = decodeRecords(m.Records)
	for _, k := range m.Displaced {
		if k.Size > 0 {
			announced = append(announced, announcement{key: k.Key, at: hollowgrade.Position{Era: k.Era, Offset: k.Offset}, size: int(k.Size), era: m.Era, lost: true})
		}
	}
	p.lost = decodeRecords(slices.DeleteFunc(m.Displaced, func(k *wire.FeedRecord) bool { return k.Size > 0 }))
	return p, announced
}

func decodeRecords(ks []*wire.FeedRecord) (rs []hollowgrade.KeyedRecord) {
	for _, k := range ks {
		rs = append(rs, hollowgrade.KeyedRecord{Key: k.Key, Value: k.Value, Position: hollowgrade.Position{Era: k.Era, Offset: k.Offset}})
	}
	return rs
}
