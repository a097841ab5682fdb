package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/core"
	"github.com/hollowgrade/hollowgrade/feed"
	"github.com/hollowgrade/hollowgrade/internal/errs"
	"github.com/hollowgrade/hollowgrade/kernel"
	"github.com/hollowgrade/hollowgrade/setting"
)

const (
	// joinRetryDelay is the pause before the record of this process is written again. The store may
	// apply a write without an answer some seconds later.
	joinRetryDelay = 2 * time.Second
	joinTimeout    = 2 * time.Second
	// rejoinsPerSecond bounds how many gateways together write their records again after a return of
	// the store.
	rejoinsPerSecond = 200
)

// members lists the gateways from the store and the settings, and keeps this one in the store's list.
// It is a service.
type members struct {
	box    string
	own    member
	seeds  []string
	topic  hollowgrade.Topic
	clock  hollowgrade.Clock
	log    *log.Logger
	unused *atomic.Int64 // records that could not be used
	runner *runner
	rejoin chan time.Duration // receives a delay when the list lacks this process

	mu     sync.Mutex
	known  map[string]member     // by box
	places map[string]feed.Place // by peer address; looked up for each gateway many times a second
	others []string              // peer addresses of the other gateways
	cell   core.Cell             // of this process
	// cellPeers are the peer addresses of the others of the cell.
	cellPeers []string
	onCell    func(core.Cell) // called when the cell may have changed
	leaving   bool            // whether this process is being taken off the list
}

// member is a gateway's record in the store's list.
type member struct {
	Peers string  `json:"peers"` // address for other gateways
	Hall  string  `json:"hall"`
	Link  float64 `json:"link_mbps"` // of its box, 0 if not known
}

// decodeMember decodes a record. One without braces is just the address.
func decodeMember(v []byte) (m member, err error) {
	defer errs.Annotate(&err, "decode the record of a gateway")
	if bytes.HasPrefix(v, []byte("{")) {
		err = json.Unmarshal(v, &m)
	} else {
		m.Peers = string(v)
	}
	if err != nil {
		return member{}, err
	}
	if !hollowgrade.IsAddress(m.Peers) {
		return member{}, fmt.Errorf("%.64q is no address", m.Peers)
	}
	return m, nil
}

func newMembers(c setting.Gateway, t hollowgrade.Topic, k hollowgrade.Clock, g *log.Logger, unused *atomic.Int64) *members {
	m := &members{
		box:    c.Box,
		own:    member{Peers: c.PeerAddress(), Hall: c.Hall, Link: c.LinkMbps},
		seeds:  c.Seeds,
		topic:  t,
		clock:  k,
		log:    g,
		unused: unused,
		rejoin: make(chan time.Duration, 1),
		known:  map[string]member{},
		onCell: func(core.Cell) {},
	}
	m.index()
	m.runner = newRunner(m.join)
	m.requestJoin(0)
	return m
}

// requestJoin asks for this process's record to be written after a delay.
func (m *members) requestJoin(d time.Duration) {
	select {
	case m.rejoin <- d:
	default:
	}
}

// storeReturned writes this process's record again if the store lost it.
func (m *members) storeReturned(kept func(key string) bool) {
	if !m.joins() || kept(m.box) {
		return
	}
	spread := time.Duration(m.count()) * time.Second / rejoinsPerSecond
	m.log.Info("the store lost the record of this box, it is written again", "box", m.box, "within_ms", spread.Milliseconds())
	m.requestJoin(rand.N(spread + 1))
}

// apply applies changes of the members' topic. The store may apply a write of an earlier instance on
// this box late, over the record of this one: then the record is written again.
func (m *members) apply(cs []feed.Change) {
	m.onCell(m.update(cs)) // without the lock, since the fleet calls back with its own held
}

// update is apply without the call of onCell. It returns the cell of this process.
func (m *members) update(cs []feed.Change) core.Cell {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range cs {
		var k member
		if !c.Dropped() {
			k = m.decode(c)
		}
		if k.Peers == "" {
			delete(m.known, c.Key)
		} else {
			m.known[c.Key] = k
		}
		if c.Key == m.box && k != m.own && m.own.Peers != "" && !m.leaving {
			m.log.Warn("the list of gateways has another record for this box", "box", m.box, "address", k.Peers, "own", m.own.Peers)
			m.requestJoin(0)
		}
	}
	m.index()
	return m.cell
}

// decode decodes a record. It returns no address for an invalid one, which another writer may have
// written.
func (m *members) decode(c feed.Change) member {
	k, err := decodeMember(c.Value)
	if err != nil {
		m.unused.Add(1)
		m.log.Error("gateway not used", "box", fmt.Sprintf("%.64q", c.Key), "offset", c.Offset, "bytes", len(c.Value), "err", err)
	}
	return k
}

// addresses returns the peer addresses of the other gateways.
func (m *members) addresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.others)
}

// listOthers returns the peer addresses of the other gateways, from the list and the settings. The
// caller holds m.mu, or m is not shared yet.
func (m *members) listOthers() (as []string) {
	for _, k := range m.known {
		as = append(as, k.Peers)
	}
	as = append(as, m.seeds...)
	slices.Sort(as)
	return slices.DeleteFunc(slices.Compact(as), func(a string) bool { return a == m.own.Peers || a == "" })
}

// place returns the place of the gateway with a peer address.
func (m *members) place(address string) feed.Place {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.places[address]
}

// index rebuilds what is derived from the list. The caller holds m.mu, or m is not shared yet.
func (m *members) index() {
	m.places = map[string]feed.Place{}
	for _, k := range m.known {
		m.places[k.Peers] = k.place()
	}
	m.places[m.own.Peers] = m.own.place()
	m.others = m.listOthers()
	m.divide()
}

// divide determines the cell of this process and who else is in it. Processes with the same list get
// the same cells. The caller holds m.mu, or m is not shared yet.
func (m *members) divide() {
	m.cell.Count = core.CellCount(len(m.places), m.cell.Count)
	if m.cell.Count == 1 {
		m.cell.Index, m.cellPeers = 0, m.others
		return
	}
	m.cellPeers = nil
	ms := make([]core.CellMember, 0, len(m.places))
	for a, p := range m.places {
		ms = append(ms, core.CellMember{Name: a, Hall: p.Hall})
	}
	cells := core.Divide(ms, m.cell.Count)
	m.cell.Index = cells[m.own.Peers]
	for a, c := range cells {
		if c == m.cell.Index && a != m.own.Peers {
			m.cellPeers = append(m.cellPeers, a)
		}
	}
}

// listed reports whether the store's list has been read.
func (m *members) listed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.known) > 0
}

// cellAddresses returns the peer addresses of the other gateways of the cell.
func (m *members) cellAddresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.cellPeers)
}

// peers returns how many other gateways the cell has.
func (m *members) peers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.cellPeers)
}

func (m member) place() feed.Place {
	return feed.Place{Hall: m.Hall, Link: m.Link}
}

// count returns how many gateways there are.
func (m *members) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.others) + 1
}

// join writes this process into the list, and again whenever it is missing.
func (m *members) join(ctx context.Context) {
	if m.own.Peers == "" {
		return
	}
	v, err := json.Marshal(m.own)
	if err != nil {
		m.log.Error("could not join the list of gateways", "err", err)
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-m.rejoin:
			hollowgrade.Sleep(ctx, m.clock, d)
		}
		if err = m.put(ctx, v); err != nil && ctx.Err() == nil {
			m.log.Warn("could not join the list of gateways", "err", err)
			m.requestJoin(0)
			hollowgrade.Sleep(ctx, m.clock, joinRetryDelay)
		}
	}
}

func (m *members) put(ctx context.Context, v []byte) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	return m.topic.Put(ctx, m.box, v)
}

// Start implements [kernel.Service].
func (m *members) Start(ctx context.Context, k *kernel.Kernel) error {
	return m.runner.Start(ctx, k)
}

// joins reports whether this process belongs in the list.
func (m *members) joins() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.own.Peers != "" && !m.leaving
}

// Stop implements [kernel.Service]. It may have left the list before.
func (m *members) Stop(ctx context.Context) error {
	m.leave(ctx)
	return nil
}

// leave takes this process off the list, once. The record of a process that ends without it stays,
// and costs its peers failed connections.
func (m *members) leave(ctx context.Context) {
	if !m.beginLeaving() {
		return
	}
	_ = m.runner.Stop(ctx) // never fails
	if m.own.Peers == "" {
		return
	}
	if err := m.put(ctx, nil); err != nil {
		m.log.Warn("could not leave the list of gateways", "err", err)
	}
}

// beginLeaving reports whether this process is not being taken off the list yet.
func (m *members) beginLeaving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaving {
		return false
	}
	m.leaving = true
	return true
}
