package standin

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/standalone"
)

// Boxes is a stand-in for the platform's list of boxes. List shows changes only after a fixed lag.
type Boxes struct {
	clock hollowgrade.Clock

	mu      sync.Mutex
	frozen  []hollowgrade.Box // returned instead of the history if not nil
	lag     time.Duration
	history []boxesAt
}

type boxesAt struct {
	at    time.Time
	boxes []hollowgrade.Box
}

// NewBoxes returns an empty list.
func NewBoxes(lag time.Duration, k hollowgrade.Clock) *Boxes {
	return &Boxes{clock: k, lag: lag, history: []boxesAt{{at: k.Now().Add(-lag)}}}
}

// Freeze stops or resumes updates of the list that List returns. It stands in for a lag that is
// longer than a test.
func (b *Boxes) Freeze(on bool) {
	bs, _ := b.List(context.Background())
	b.mu.Lock()
	defer b.mu.Unlock()
	b.frozen = nil
	if on {
		b.frozen = append([]hollowgrade.Box{}, bs...)
	}
}

// Set adds or changes a box.
func (b *Boxes) Set(x hollowgrade.Box) {
	b.change(func(bs []hollowgrade.Box) []hollowgrade.Box {
		return append(without(bs, x.Name), x)
	})
}

// Remove removes a box.
func (b *Boxes) Remove(name string) {
	b.change(func(bs []hollowgrade.Box) []hollowgrade.Box { return without(bs, name) })
}

func without(bs []hollowgrade.Box, name string) []hollowgrade.Box {
	return slices.DeleteFunc(slices.Clone(bs), func(x hollowgrade.Box) bool { return x.Name == name })
}

func (b *Boxes) change(f func([]hollowgrade.Box) []hollowgrade.Box) {
	b.mu.Lock()
	defer b.mu.Unlock()
	last := b.history[len(b.history)-1].boxes
	b.history = append(b.history, boxesAt{at: b.clock.Now(), boxes: f(last)})
}

// List implements [hollowgrade.Boxes].
func (b *Boxes) List(context.Context) ([]hollowgrade.Box, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.frozen != nil {
		return slices.Clone(b.frozen), nil
	}
	old := b.clock.Now().Add(-b.lag)
	for len(b.history) > 1 && !b.history[1].at.After(old) {
		b.history = b.history[1:]
	}
	return slices.Clone(b.history[0].boxes), nil
}

// ServeHTTP serves the list, and adds or changes a box on PUT.
func (b *Boxes) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != standalone.PathBoxes {
		http.NotFound(w, r)
		return
	}
	if r.Method == http.MethodPut {
		var x hollowgrade.Box
		if decodeBody(w, r, &x) {
			b.Set(x)
			platformReply(w, struct{}{}, nil)
		}
		return
	}
	bs, err := b.List(r.Context())
	platformReply(w, bs, err)
}
