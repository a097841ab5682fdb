package standalone

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hollowgrade/hollowgrade"
)

const listTimeout = 2 * time.Second

// Directory lists the boxes from the platform's list and from addresses in the settings. While the
// platform's list cannot be read, the last one that was read is used: a stale list is better than
// none.
type Directory struct {
	options
	boxes  hollowgrade.Boxes
	static []hollowgrade.Box

	mu         sync.Mutex
	lastListed []hollowgrade.Box
	failure    changes
}

// NewDirectory returns a directory. Boxes may be nil; static has the agents that the settings name.
func NewDirectory(boxes hollowgrade.Boxes, static []hollowgrade.Box, os ...Option) *Directory {
	return &Directory{options: newOptions(os), boxes: boxes, static: static}
}

// Agents returns the boxes of all agents.
func (d *Directory) Agents(ctx context.Context) (bs []hollowgrade.Box) {
	return slices.DeleteFunc(d.All(ctx), func(b hollowgrade.Box) bool { return b.Role != hollowgrade.AgentRole })
}

// All returns all boxes.
func (d *Directory) All(ctx context.Context) (bs []hollowgrade.Box) {
	bs = slices.Clone(d.static)
	for _, b := range d.list(ctx) {
		if !slices.ContainsFunc(bs, func(o hollowgrade.Box) bool { return o.Peer == b.Peer && b.Peer != "" }) {
			bs = append(bs, b)
		}
	}
	return bs
}

func (d *Directory) list(ctx context.Context) []hollowgrade.Box {
	if d.boxes == nil {
		return nil
	}
	c, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	bs, err := d.boxes.List(c)
	if ctx.Err() == nil {
		d.logResult(err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		d.lastListed = bs
	}
	return d.lastListed
}

// logResult logs a read of the list whose result differs from that of the one before.
func (d *Directory) logResult(err error) {
	switch {
	case !d.failure.note(err):
	case err != nil:
		d.log.Warn("list of boxes not read, the last one stays in use", "err", err)
	default:
		d.log.Info("list of boxes read again")
	}
}
