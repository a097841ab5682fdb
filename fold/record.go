// Package fold turns the platform's append-only log into a configuration on which all boxes agree.
// The state is a pure fold over the records: a record names the revision of the item that it
// replaces, and is applied only if that is the current one. So of two concurrent changes one wins
// everywhere and the other is reported as lost, and a record appended twice is applied once.
//
// A log keeps records for a limited time only. Snapshots preserve the state: each gives the offset
// up to which it holds, and a state is replaced only by one with a higher offset.
package fold

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
)

// RecordType is the type of a record of the log.
type RecordType string

// The types of records.
const (
	ChangeRecord   RecordType = "change"
	SnapshotRecord RecordType = "snapshot"
)

// Change is a record that replaces one item.
type Change struct {
	Kind     string          `json:"kind"`
	Name     string          `json:"name"`
	Replaces int64           `json:"replaces"` // revision of the item that this replaces, 0 for a new one
	Body     json.RawMessage `json:"body"`     // null removes the item
	Digest   string          `json:"digest"`   // hex SHA-256 of Body
	Nonce    string          `json:"nonce"`    // identifies the publisher's own record when it reads back
	Author   string          `json:"author"`
}

// Snapshot is a record that carries the whole state up to an offset.
type Snapshot struct {
	Next   int64  `json:"next"` // the first offset that the state does not hold
	Items  []Item `json:"items"`
	Digest string `json:"digest"` // hex SHA-256 over the items
}

type envelope struct {
	Type     RecordType `json:"type"`
	Change   *Change    `json:"change,omitempty"`
	Snapshot *Snapshot  `json:"snapshot,omitempty"`
}

// NewChange returns a change with its digest. The body is stored compacted, as it will be in the
// log.
func NewChange(kind, name string, replaces int64, body any, nonce, author string) (c Change, err error) {
	b, err := json.Marshal(body)
	if err != nil {
		return c, fmt.Errorf("encode %s %s: %w", kind, name, err)
	}
	return Change{
		Kind:     kind,
		Name:     name,
		Replaces: replaces,
		Body:     b,
		Digest:   digest(b),
		Nonce:    nonce,
		Author:   author,
	}, nil
}

// Encode returns the bytes of the record for the log.
func (c Change) Encode() ([]byte, error) {
	return json.Marshal(envelope{Type: ChangeRecord, Change: &c})
}

// Encode returns the bytes of the record for the log.
func (s Snapshot) Encode() ([]byte, error) {
	return json.Marshal(envelope{Type: SnapshotRecord, Snapshot: &s})
}

// The reasons for which a record is skipped.
var (
	ErrMalformed  = errors.New("record is malformed")
	ErrDigest     = errors.New("record does not match its digest")
	ErrConflict   = errors.New("record replaces a revision that is not current")
	ErrOutOfOrder = errors.New("record is not the next one")
)

// WithDigest returns a copy of s whose digest is that of its items.
func (s Snapshot) WithDigest() (n Snapshot, err error) {
	s.Digest, err = digestItems(s.Items)
	return s, err
}

func decode(b []byte) (e envelope, err error) {
	if err = json.Unmarshal(b, &e); err != nil {
		return e, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	switch {
	case e.Type == ChangeRecord && e.Change != nil:
		return e, e.Change.check()
	case e.Type == SnapshotRecord && e.Snapshot != nil:
		return e, e.Snapshot.check()
	default:
		return e, ErrMalformed
	}
}

func (c *Change) check() error {
	if c.Kind == "" || c.Name == "" {
		return ErrMalformed
	}
	if digest(c.Body) != c.Digest {
		return ErrDigest
	}
	return nil
}

func (s *Snapshot) check() error {
	d, err := digestItems(s.Items)
	if err != nil {
		return err
	}
	if d != s.Digest {
		return ErrDigest
	}
	return nil
}

func digest(b []byte) string {
	h := sha256.Sum256(b)
	return hex.EncodeToString(h[:])
}

func digestItems(is []Item) (string, error) {
	b, err := json.Marshal(is)
	if err != nil {
		return "", fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return digest(b), nil
}
