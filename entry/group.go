package entry

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/fault"
	"github.com/hollowgrade/hollowgrade/internal/wire"
	"github.com/hollowgrade/hollowgrade/peer"
)

// group is the part of a query that one member of its group runs.
//
// A prompt that is too large for any single engine is split over a group. The entry reserves memory
// at each member, all or nothing and always in the order of their addresses, so that two groups
// cannot deadlock. The members prefill one part after another, each attached to the parts before
// it, and the last one generates the answer. Reservations expire if the entry crashes.
type group struct {
	reservation string
	handles     []string
	holdOnly    bool // the member prefills its part and generates nothing
	from, to    int  // bytes of the prompt; to is 0 if there is no group
}

// part returns the bytes that are sent to the current member.
func (g *group) part(body []byte) []byte {
	if g.to == 0 {
		return body
	}
	return body[g.from:g.to]
}

func (g *group) fill(m *wire.Submit) {
	if g.to == 0 {
		return
	}
	m.Reservation = g.reservation
	m.Handles = g.handles
	m.HoldOnly = g.holdOnly
	m.PromptTokens = int64((g.to - g.from) / bytesPerToken)
	if g.holdOnly {
		m.MaxTokens = 0
		m.Prefix = nil
	}
}

func (g *group) addHandle(handle string) {
	if g.holdOnly && handle != "" {
		g.handles = append(g.handles, handle)
	}
}

// member is one engine of a group.
type member struct {
	link   *link
	conn   *peer.Conn
	tokens int // reserved there
	from   int
	to     int
}

// defaultGroupSize is how many engines a prompt may span if the published model has no limit.
const defaultGroupSize = 4

// needsGroup reports whether the request is too large for every single engine.
func (e *Entry) needsGroup(r hollowgrade.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	most := 0
	for _, l := range e.serving(target(r)) {
		most = max(most, l.load.TotalTokens)
	}
	return most > 0 && r.Tokens() > most
}

// serveGroup makes one attempt on a group. The link is that of the member that failed, or nil if
// the group was not reserved.
func (e *Entry) serveGroup(ctx context.Context, q *query) (l *link, err error) {
	ms, err := e.planGroup(q)
	if err != nil {
		return nil, err
	}
	id := q.request.ID + ".group"
	ss, err := e.reserveGroup(ctx, q, ms, id)
	defer func() {
		for _, s := range ss {
			s.Abort()
		}
	}()
	if err != nil {
		return nil, err
	}
	defer func() { q.group = group{} }()
	var handles []string
	for i, m := range ms {
		q.group = group{reservation: id, handles: handles, holdOnly: i < len(ms)-1, from: m.from, to: m.to}
		if err = e.attempt(ctx, m.link, m.conn, q); err != nil {
			e.recordResult(m.link, err)
			return m.link, groupFault(err, i)
		}
		handles = q.group.handles
	}
	return nil, nil
}

// groupFault changes the outcome "not run" to "failed" if earlier members have run their parts.
func groupFault(err error, before int) error {
	f := fault.As(err, hollowgrade.Unknown)
	if before > 0 && f.Outcome == hollowgrade.NotRun {
		return f.WithOutcome(hollowgrade.Failed)
	}
	return f
}

// planGroup chooses the members with the most free memory, and splits the prompt.
func (e *Entry) planGroup(q *query) (ms []member, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ls, _ := e.candidates(q, nil)
	ls = slices.DeleteFunc(ls, func(l *link) bool { return l.load.Draining })
	slices.SortStableFunc(ls, func(a, b *link) int {
		if a.load.Suspect != b.load.Suspect {
			return cmp.Compare(suspectRank(a), suspectRank(b))
		}
		return cmp.Compare(b.load.TotalTokens-b.load.HeldTokens, a.load.TotalTokens-a.load.HeldTokens)
	})
	most := defaultGroupSize
	if m := e.config.Load().Models[q.request.Model]; m.MaxGroup > 0 {
		most = m.MaxGroup
	}
	room := 0
	for _, l := range ls[:min(most, len(ls))] {
		if room >= q.request.Tokens() {
			break
		}
		ms = append(ms, member{link: l, conn: l.conn})
		room += wholeBlocks(l.load.TotalTokens)
	}
	if room < q.request.Tokens() {
		return nil, fault.New(fault.PromptTooLong, "%d tokens do not fit into the %d that %d engines hold", q.request.Tokens(), room, len(ms))
	}
	slices.SortFunc(ms, func(a, b member) int { return strings.Compare(a.link.box.Peer, b.link.box.Peer) })
	splitPrompt(ms, len(q.body), q.request.MaxTokens)
	return ms, nil
}

func suspectRank(l *link) int {
	if l.load.Suspect {
		return 1
	}
	return 0
}

// splitPrompt splits the prompt into parts of whole blocks in proportion to the members' memory.
// The last member also needs memory for the answer.
func splitPrompt(ms []member, bytes, answer int) {
	total := 0
	for _, m := range ms {
		total += wholeBlocks(m.link.load.TotalTokens)
	}
	tokens := bytes/bytesPerToken + 1 + answer
	from := 0
	for i := range ms {
		m := &ms[i]
		// Rounded up, so that the rest for the last member is never more than its share.
		share := wholeBlocks(tokens*wholeBlocks(m.link.load.TotalTokens)/total + splitBlockTokens - 1)
		m.from, m.to = from, min(from+share*bytesPerToken, bytes)
		m.tokens = (m.to - m.from) / bytesPerToken
		if i == len(ms)-1 {
			m.to = bytes
			m.tokens = (bytes-m.from)/bytesPerToken + 1 + answer
		}
		from = m.to
	}
}

// splitBlockTokens is the unit, in tokens, in which a prompt is split.
const splitBlockTokens = 1024

func wholeBlocks(tokens int) int {
	return tokens / splitBlockTokens * splitBlockTokens
}

// reserveGroup reserves memory at each member in turn. Each reservation lasts until its exchange
// ends.
func (e *Entry) reserveGroup(ctx context.Context, q *query, ms []member, id string) (ss []*peer.Stream, err error) {
	ttl := q.request.Remaining(e.clock.Now()) + time.Second
	for _, m := range ms {
		s, err := m.conn.Open(&wire.Frame{Body: &wire.Frame_Reserve{Reserve: &wire.Reserve{
			Id:           id,
			Tokens:       int64(m.tokens),
			TtlMicros:    ttl.Microseconds(),
			Organisation: q.request.Organisation,
			Class:        int32(q.request.Decision.Class),
		}}})
		if err != nil {
			return ss, fault.New(fault.GroupBusy, "agent %s went away", m.link.box.Name).WithRetryAfter(shortRetryAfter)
		}
		ss = append(ss, s)
		stop := context.AfterFunc(ctx, s.Abort)
		f, err := s.Receive()
		stop()
		if ctx.Err() != nil {
			return ss, fault.New(fault.GroupBusy, "the group of %d engines did not come free in time", len(ms)).WithRetryAfter(shortRetryAfter)
		}
		if err != nil || f.GetFinal().GetOutcome() != string(hollowgrade.Finished) {
			return ss, fault.New(fault.GroupBusy, "agent %s reserved nothing: %s", m.link.box.Name, f.GetFinal().GetMessage()).WithRetryAfter(shortRetryAfter)
		}
	}
	return ss, nil
}

// roundTrip sends one frame and returns the reply.
func (e *Entry) roundTrip(ctx context.Context, c *peer.Conn, f *wire.Frame) (*wire.Frame, error) {
	s, err := c.Open(f)
	if err != nil {
		return nil, err
	}
	defer s.Abort()
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	return s.Receive()
}
