package fold

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/hollowgrade/hollowgrade"
)

// Item is one named part of the configuration.
type Item struct {
	Kind     string          `json:"kind"`
	Name     string          `json:"name"`
	Revision int64           `json:"revision"` // offset of the record that set it, plus one
	Body     json.RawMessage `json:"body,omitempty"`
	Author   string          `json:"author"`
}

type itemKey struct {
	kind, name string
}

// State is the configuration up to an offset. It is immutable: applying a
// record returns a new state.
type State struct {
	next     int64
	revision int64
	items    map[itemKey]Item
}

// New returns the state before the first record.
func New() State {
	return State{}
}

// Next returns the offset of the first record that the state does not hold.
func (s State) Next() int64 {
	return s.next
}

// Revision returns the revision of the last applied change, which never decreases. Zero means that
// there is no configuration.
func (s State) Revision() int64 {
	return s.revision
}

// Item returns an item, and false if there is none. The revision of a removed item is still
// returned, since a change must replace it.
func (s State) Item(kind, name string) (i Item, ok bool) {
	i = s.items[itemKey{kind, name}]
	return i, len(i.Body) > 0
}

// Items returns the items of a kind, by name; all kinds if kind is empty.
func (s State) Items(kind string) (is []Item) {
	for _, i := range s.all() {
		if len(i.Body) > 0 && (kind == "" || i.Kind == kind) {
			is = append(is, i)
		}
	}
	return is
}

func (s State) all() (is []Item) {
	for _, i := range s.items {
		is = append(is, i)
	}
	slices.SortFunc(is, func(a, b Item) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return is
}

// Apply returns the state after the record. A record that is skipped advances the state past it and
// is reported by an error; all boxes skip the same ones. Only [ErrOutOfOrder] leaves the state
// unchanged.
func (s State) Apply(r hollowgrade.Record) (n State, err error) {
	if r.Offset != s.next {
		return s, fmt.Errorf("%w: offset %d where %d was due", ErrOutOfOrder, r.Offset, s.next)
	}
	n = s
	n.next = r.Offset + 1
	e, err := decode(r.Body)
	if err != nil {
		return n, err
	}
	if e.Type == SnapshotRecord {
		return n, nil
	}
	return n.withChange(e.Change, r.Offset+1)
}

func (s State) withChange(c *Change, revision int64) (State, error) {
	k := itemKey{c.Kind, c.Name}
	if cur := s.items[k]; cur.Revision != c.Replaces {
		return s, fmt.Errorf("%w: %s %s is at %d, not %d", ErrConflict, c.Kind, c.Name, cur.Revision, c.Replaces)
	}
	items := maps.Clone(s.items)
	if items == nil {
		items = map[itemKey]Item{}
	}
	// The revision of a removed item is kept. Without it, a late duplicate of the record that
	// created the item would create it again.
	items[k] = Item{Kind: c.Kind, Name: c.Name, Revision: revision, Body: withoutNull(c.Body), Author: c.Author}
	s.items = items
	s.revision = revision
	return s, nil
}

func withoutNull(b json.RawMessage) json.RawMessage {
	if string(b) == "null" {
		return nil
	}
	return b
}

// Snapshot returns the state as a record for the log or for a peer.
func (s State) Snapshot() (n Snapshot, err error) {
	return Snapshot{Next: s.next, Items: s.all()}.WithDigest()
}

// Restore returns the newer of s and the state in an encoded snapshot.
func (s State) Restore(b []byte) (State, error) {
	e, err := decode(b)
	if err != nil {
		return s, err
	}
	if e.Type != SnapshotRecord {
		return s, ErrMalformed
	}
	if e.Snapshot.Next <= s.next {
		return s, nil
	}
	return fromSnapshot(e.Snapshot), nil
}

func fromSnapshot(n *Snapshot) State {
	s := State{next: n.Next, items: make(map[itemKey]Item, len(n.Items))}
	for _, i := range n.Items {
		s.items[itemKey{i.Kind, i.Name}] = i
		s.revision = max(s.revision, i.Revision)
	}
	return s
}

// ErrNoSnapshot means that the log has no usable snapshot to begin from.
var ErrNoSnapshot = errors.New("the log keeps neither its first record nor a usable snapshot")

// Bootstrap folds the records of a log whose earliest offset is given. If the log has dropped its
// first records, it begins from the newest snapshot after which no record is missing; a snapshot
// whose following records have been dropped cannot be used.
func Bootstrap(earliest int64, rs []hollowgrade.Record) (s State, err error) {
	if earliest > 0 {
		if s, err = newestBase(earliest, rs); err != nil {
			return s, err
		}
	}
	for _, r := range rs {
		if r.Offset < s.next {
			continue
		}
		next, err := s.Apply(r)
		if errors.Is(err, ErrOutOfOrder) {
			return s, err
		}
		s = next
	}
	return s, nil
}

func newestBase(earliest int64, rs []hollowgrade.Record) (s State, err error) {
	found := false
	for _, r := range rs {
		e, err := decode(r.Body)
		if err != nil || e.Type != SnapshotRecord || e.Snapshot.Next < earliest || e.Snapshot.Next > r.Offset {
			continue
		}
		if !found || e.Snapshot.Next > s.next {
			s, found = fromSnapshot(e.Snapshot), true
		}
	}
	if !found {
		return s, ErrNoSnapshot
	}
	return s, nil
}
