package ledger

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hollowgrade/hollowgrade"
)

// Ranges is the number of ranges into which idempotency keys are divided. Each range has one keeper.
const Ranges = 64

// KeyID is an idempotency key of one organisation.
type KeyID struct {
	Organisation string `json:"organisation"`
	Key          string `json:"key"`
}

// Range returns the range that the key belongs to.
func (k KeyID) Range() int {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(k.Organisation)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(k.Key)
	return int(d.Sum64() % Ranges)
}

// RangeName returns the name of a range in the published configuration.
func RangeName(n int) string {
	return strconv.Itoa(n)
}

// MintedPrefix starts the keys that a keeper mints. Such a key names its keeper's box and
// incarnation, and no other process ever decides about it.
const MintedPrefix = "hgk"

const mintedSeparator = "~"

// MintedKey returns the minted key with the given parts.
func MintedKey(box, incarnation, secret string) string {
	return strings.Join([]string{MintedPrefix, box, incarnation, secret}, mintedSeparator)
}

// ParseMinted returns the parts of a minted key, and false for other keys.
func ParseMinted(key string) (box, incarnation, secret string, ok bool) {
	p := strings.Split(key, mintedSeparator)
	if len(p) != 4 || p[0] != MintedPrefix {
		return "", "", "", false
	}
	return p[1], p[2], p[3], true
}

// Verdict is the decision about a claim.
type Verdict string

// The verdicts.
const (
	Granted   Verdict = "granted"    // the claimer may run the request, once
	Running   Verdict = "running"    // a request with the key is running
	Settled   Verdict = "settled"    // the run has ended, see the outcome
	Reused    Verdict = "reused"     // the key was used with another body
	NotKnown  Verdict = "not_known"  // the key has no record, but may have run before this ledger began
	Full      Verdict = "full"       // the ledger has no room
	NotMine   Verdict = "not_mine"   // another keeper decides about the key, or none does yet
	NotMinted Verdict = "not_minted" // not a key that this keeper made
)

// Claim is a request for the right to run a key once.
type Claim struct {
	ID      KeyID
	Digest  uint64        // of the request's body
	Request string        // id of the claiming request
	Hold    time.Duration // longest time that the run can take
}

// KeyRecord is the record of a key.
type KeyRecord struct {
	ID        KeyID               `json:"id"`
	Digest    uint64              `json:"digest"`
	Request   string              `json:"request"`
	Outcome   hollowgrade.Outcome `json:"outcome,omitempty"` // empty while it runs
	Answer    []byte              `json:"answer,omitempty"`  // encoded, empty if it is not stored
	Remaining time.Duration       `json:"left"`              // until the hold ends or the record expires

	until time.Time
}

// Keys is the ledger of the runs under idempotency keys. A granted key is granted to no other
// request before the window after the end of its run has passed, unless it was settled as not run.
type Keys struct {
	window       time.Duration
	limit        int
	unknownUntil time.Time // until then a key without a record may have run
	records      map[KeyID]*KeyRecord
	expiry       []*KeyRecord // settled records in the order in which they expire
}

// NewKeys returns an empty ledger of at most limit records.
func NewKeys(window time.Duration, limit int) *Keys {
	return &Keys{window: window, limit: limit, records: map[KeyID]*KeyRecord{}}
}

// SetUnknownUntil sets the time until which a key without a record may have run, since its record
// may have been lost with a former keeper.
func (k *Keys) SetUnknownUntil(t time.Time) {
	k.unknownUntil = t
}

// Len returns the number of records.
func (k *Keys) Len() int {
	return len(k.records)
}

// Claim decides about a claim. The record is that of the earlier run to which the verdict refers,
// if any.
func (k *Keys) Claim(c Claim, now time.Time) (v Verdict, r KeyRecord) {
	k.expire(now)
	p, ok := k.records[c.ID]
	if !ok {
		return k.grantNew(c, now), KeyRecord{}
	}
	k.expireHold(p, now)
	switch {
	case p.Digest != c.Digest:
		return Reused, KeyRecord{}
	case p.Outcome != "":
		return Settled, *p
	case p.Request == c.Request:
		// The request repeats its claim because the reply was lost.
		return Granted, *p
	default:
		return Running, p.withRemaining(now)
	}
}

func (p *KeyRecord) withRemaining(now time.Time) KeyRecord {
	r := *p
	r.Remaining = p.until.Sub(now)
	return r
}

func (k *Keys) grantNew(c Claim, now time.Time) Verdict {
	if now.Before(k.unknownUntil) {
		return NotKnown
	}
	if len(k.records) >= k.limit {
		return Full
	}
	k.records[c.ID] = &KeyRecord{ID: c.ID, Digest: c.Digest, Request: c.Request, until: now.Add(c.Hold)}
	return Granted
}

// expireHold turns a run whose hold has ended without a reported outcome into one that may have
// run.
func (k *Keys) expireHold(p *KeyRecord, now time.Time) {
	if p.Outcome == "" && now.After(p.until) {
		k.finish(p, hollowgrade.Unknown, nil, now)
	}
}

func (k *Keys) finish(p *KeyRecord, o hollowgrade.Outcome, answer []byte, now time.Time) {
	p.Outcome, p.Answer = o, answer
	p.until = now.Add(k.window)
	k.expiry = append(k.expiry, p)
}

// Settle records how the run that the request claimed has ended. A run that did not happen frees
// the key. It reports whether the record has changed: it must be the request's, and must not have a
// definite outcome yet.
func (k *Keys) Settle(id KeyID, request string, o hollowgrade.Outcome, answer []byte, now time.Time) bool {
	p, ok := k.records[id]
	if !ok || p.Request != request {
		return false
	}
	k.expireHold(p, now)
	switch {
	case p.Outcome != "" && p.Outcome != hollowgrade.Unknown:
		return false
	case o == hollowgrade.NotRun:
		delete(k.records, id)
	case p.Outcome == hollowgrade.Unknown:
		// The window starts again at the definite outcome. The record keeps its place in the order
		// of expiry, so the records behind it expire no earlier than it does.
		p.Outcome, p.Answer, p.until = o, answer, now.Add(k.window)
	default:
		k.finish(p, o, answer, now)
	}
	return true
}

// expire deletes records whose window has passed.
func (k *Keys) expire(now time.Time) {
	for len(k.expiry) > 0 && now.After(k.expiry[0].until) {
		p := k.expiry[0]
		k.expiry = k.expiry[1:]
		if k.records[p.ID] == p {
			delete(k.records, p.ID)
		}
	}
	if len(k.records) >= k.limit {
		for _, p := range k.records {
			k.expireHold(p, now)
		}
	}
}

// Export returns all records, for a handover.
func (k *Keys) Export(now time.Time) (rs []KeyRecord) {
	for _, p := range k.records {
		rs = append(rs, p.withRemaining(now))
	}
	return rs
}

// Import adds the records of a former keeper.
func (k *Keys) Import(rs []KeyRecord, now time.Time) {
	for _, r := range rs {
		p := r
		p.until = now.Add(r.Remaining)
		k.records[p.ID] = &p
		if p.Outcome != "" {
			k.expiry = append(k.expiry, &p)
		}
	}
}
