package standin

import (
	"cmp"
	"context"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/hollowgrade/hollowgrade"
)

// Reserve implements [hollowgrade.Engine].
func (e *Engine) Reserve(_ context.Context, id string, tokens int, ttl time.Duration) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return ErrEngineDown
	}
	e.expire()
	if _, ok := e.holdings[id]; ok {
		return ErrDuplicateID
	}
	if e.used+tokens > e.config.MemoryTokens {
		return ErrNoMemory
	}
	e.used += tokens
	e.cache.shrink(e.config.MemoryTokens - e.used)
	e.holdings[id] = &holding{
		Allocation: hollowgrade.Allocation{ID: id, Kind: hollowgrade.ReservationAllocation, Tokens: tokens},
		expires:    e.clock.Now().Add(ttl),
	}
	return nil
}

func (e *Engine) expire() {
	now := e.clock.Now()
	for _, h := range e.holdings {
		if !h.expires.IsZero() && now.After(h.expires) {
			e.drop(h)
		}
	}
}

func (e *Engine) drop(h *holding) {
	e.used -= h.Tokens
	delete(e.holdings, h.ID)
}

// Export implements [hollowgrade.Engine].
func (e *Engine) Export(_ context.Context, id string) (string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return "", ErrEngineDown
	}
	h, ok := e.holdings[id]
	if !ok || h.Kind != hollowgrade.ExportAllocation {
		return "", ErrNoHolding
	}
	return formatHandle(h)
}

// formatHandle encodes the state of the prompt's hash into a handle, so that another engine can
// continue from it without a call to the first one.
func formatHandle(h *holding) (string, error) {
	b, err := h.digest.MarshalBinary()
	if err != nil {
		return "", err
	}
	b = binary.BigEndian.AppendUint64(b, h.hash)
	return base64.RawURLEncoding.EncodeToString(b), nil
}

func parseHandle(s string) (h holding, err error) {
	b, err := base64.RawURLEncoding.DecodeString(s)
	if err != nil || len(b) < 8 {
		return h, fmt.Errorf("malformed handle: %w", ErrNoHolding)
	}
	if err = h.digest.UnmarshalBinary(b[:len(b)-8]); err != nil {
		return h, fmt.Errorf("malformed handle: %w", ErrNoHolding)
	}
	h.hash = binary.BigEndian.Uint64(b[len(b)-8:])
	return h, nil
}

// Release implements [hollowgrade.Engine].
func (e *Engine) Release(_ context.Context, id string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return ErrEngineDown
	}
	if h, ok := e.holdings[id]; ok {
		e.drop(h)
	}
	e.notify()
	return nil
}

// Holdings implements [hollowgrade.Engine].
func (e *Engine) Holdings(context.Context) ([]hollowgrade.Allocation, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return nil, ErrEngineDown
	}
	e.expire()
	var hs []hollowgrade.Allocation
	for _, h := range slices.SortedFunc(maps.Values(e.holdings), byID) {
		hs = append(hs, h.Allocation)
	}
	for _, s := range e.running {
		hs = append(hs, hollowgrade.Allocation{ID: s.ID, Kind: hollowgrade.SequenceAllocation, Tokens: s.need})
	}
	for _, s := range e.waiting {
		hs = append(hs, hollowgrade.Allocation{ID: s.ID, Kind: hollowgrade.SequenceAllocation})
	}
	return hs, nil
}

func byID(a, b *holding) int {
	return cmp.Compare(a.ID, b.ID)
}

// Used returns the used memory in tokens.
func (e *Engine) Used() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	return e.used
}

// Load implements [hollowgrade.Engine].
func (e *Engine) Load(context.Context) (hollowgrade.EngineLoad, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return hollowgrade.EngineLoad{}, ErrEngineDown
	}
	e.recordLoad()
	return e.loads[0], nil
}

// recordLoad records the current load, and drops entries older than the lag except the newest of
// them.
func (e *Engine) recordLoad() {
	now := e.clock.Now()
	e.loads = append(e.loads, hollowgrade.EngineLoad{
		Running:     len(e.running),
		Waiting:     len(e.waiting),
		UsedTokens:  e.used,
		TotalTokens: e.config.MemoryTokens,
		AsOf:        now,
		Models:      slices.Clone(e.models),
	})
	for len(e.loads) > 1 && now.Sub(e.loads[1].AsOf) >= e.config.LoadLag {
		e.loads = e.loads[1:]
	}
}

// Order implements [hollowgrade.Engine].
func (e *Engine) Order(_ context.Context, o hollowgrade.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return ErrEngineDown
	}
	if o.Fence < e.fence {
		return ErrStaleFence
	}
	e.fence = o.Fence
	e.models = slices.DeleteFunc(e.models, func(m string) bool { return m == o.Model })
	if o.Action == hollowgrade.LoadModel {
		e.models = append(e.models, o.Model)
	}
	return nil
}
