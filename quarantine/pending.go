package quarantine

import (
	"sync"

	"github.com/charmbracelet/log"
)

// maxPendingEntries bounds the pending entries of each kind. After the loss of a hall, each of a
// hundred gateways reports 14 calls. An update that would exceed it is dropped with a warning.
const maxPendingEntries = 256

// pendingUpdate is the update that has not been sent to other gateways yet.
type pendingUpdate struct {
	notify chan struct{}
	log    *log.Logger

	mu          sync.Mutex
	update      Update
	droppedAdds int
}

// add adds entries, and signals that an update is pending.
func (o *pendingUpdate) add(w Update) {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := o.update.Plus(w)
	if max(len(n.Losses), len(n.Harmless), len(n.Trials), len(n.Blocks)) > maxPendingEntries {
		if o.droppedAdds++; o.droppedAdds == 1 {
			o.log.Warn("update not sent to other gateways", "why", "too many at a time", "most", maxPendingEntries)
		}
		return
	}
	o.update = n
	select {
	case o.notify <- struct{}{}:
	default:
	}
}

// Changed returns a channel that receives a value when an update is pending.
func (t *Table) Changed() <-chan struct{} {
	return t.pending.notify
}

// NextUpdate returns the update pending for other gateways and clears it.
func (t *Table) NextUpdate() Update {
	o := &t.pending
	o.mu.Lock()
	defer o.mu.Unlock()
	w := o.update
	o.update, o.droppedAdds = Update{}, 0
	return w
}

// Snapshot returns the update for a gateway that has no state yet.
func (t *Table) Snapshot() Update {
	return Update{Blocks: t.Blocks()}
}
