package quarantine

import (
	"slices"
	"time"
)

const (
	// peerStoreDelay is how long a gateway that learned of a change waits for the gateway that made
	// it to write it to the store, plus a random time of up to as long, so that not all write at
	// once.
	peerStoreDelay = 3 * time.Second
	// clockSkewTolerance is the difference in the expiry of a block that is put down to clock skew
	// between gateways, and not written to the store.
	clockSkewTolerance = 3 * time.Second
	// expiredBlockRetention is how long after its expiry a block stays in the store, so that a
	// request which comes again is recognised. deletionSpread is the period over which gateways
	// spread the deletion.
	expiredBlockRetention = recordRetention / 2
	deletionSpread        = 30 * time.Second
	// maxStoredBlocks bounds the blocks in the store, some 400 bytes each.
	maxStoredBlocks = 1000
)

// storeDelay returns how long this process leaves a change to the peer that made it; the peer is
// empty for its own changes.
func storeDelay(peer string) time.Duration {
	if peer == "" {
		return 0
	}
	return peerStoreDelay
}

// scheduleStore sets from when on this process updates what the store has of a request. The lock is
// held.
func (t *Table) scheduleStore(r *record, now time.Time, delay time.Duration) {
	r.storeDue = now.Add(delay + time.Duration(t.random()*float64(delay)))
}

// StoreChanges is the changes to write to the store.
type StoreChanges struct {
	Save []Block
	Drop []Suspect
}

// StoreChanges evaluates losses that have settled and returns what this process has to write to the
// store: blocks that are missing there, and deletions of those whose request is harmless or that
// expired long ago.
func (t *Table) StoreChanges() (k StoreChanges) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.evaluateSettled(now)
	stored := 0
	for _, r := range t.records {
		if !r.storedUntil.IsZero() {
			stored++
		}
	}
	for s, r := range t.records {
		switch {
		case now.Before(r.storeDue):
		case r.blocked(now) && r.block.Until.Sub(r.storedUntil) > clockSkewTolerance:
			if stored++; stored <= maxStoredBlocks || !r.storedUntil.IsZero() {
				k.Save = append(k.Save, r.block)
			}
		case r.storedUntil.IsZero():
		case r.block.Since.IsZero():
			k.Drop = append(k.Drop, s)
		case now.Sub(r.block.Until) > expiredBlockRetention && r.storeDue.Before(r.block.Until):
			t.scheduleStore(r, now, deletionSpread)
		case now.Sub(r.block.Until) > expiredBlockRetention:
			k.Drop = append(k.Drop, s)
		}
	}
	return k
}

// RecordStored records that the store has a block, which may be new to this process.
func (t *Table) RecordStored(h Block) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.receiveBlock(h, "store")
	r := t.record(h.Subject)
	if !r.blocked(t.clock.Now()) || slices.Equal(h.With, r.block.With) {
		r.storedUntil = h.Until // else the record is older than the block here
	}
	if r.block.Since.IsZero() {
		t.scheduleStore(r, t.clock.Now(), peerStoreDelay) // the request is harmless, or forgotten everywhere
	}
}

// StoreReturned records that the store came back from an older copy, and which blocks it still has. The
// gateway that blocked a suspect writes its block again, and another one if that is gone.
func (t *Table) StoreReturned(kept func(s Suspect) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for s, r := range t.records {
		if r.storedUntil.IsZero() || kept(s) {
			continue
		}
		r.storedUntil = time.Time{}
		delay := peerStoreDelay
		if r.block.By == t.box {
			delay = 0
		}
		t.scheduleStore(r, now, delay)
	}
}

// RecordDropped records that the store no longer has a block of a request. If the block hasn't
// expired, another process has found the request harmless.
func (t *Table) RecordDropped(s Suspect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[s]
	if r == nil {
		return
	}
	storedUntil := r.storedUntil
	r.storedUntil = time.Time{}
	now := t.clock.Now()
	if r.blocked(now) && !storedUntil.IsZero() {
		t.clear(r, now, "the store no longer has it", "store")
	}
}
