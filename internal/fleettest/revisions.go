package fleettest

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/hollowgrade/hollowgrade/fold"
)

const revisionPollInterval = 100 * time.Millisecond

// watchRevisions records the revisions in force on each box until the returned function is called.
func (f *Fleet) watchRevisions() func() map[string][]int64 {
	seen := map[string][]int64{}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			for n, r := range f.revisions() {
				if l := seen[n]; len(l) == 0 || l[len(l)-1] != r {
					seen[n] = append(seen[n], r)
				}
			}
			t := time.NewTimer(revisionPollInterval)
			select {
			case <-t.C:
			case <-stop:
				t.Stop()
				return
			}
		}
	}()
	return func() map[string][]int64 {
		close(stop)
		<-done
		return seen
	}
}

func (f *Fleet) setFlag(b *bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	*b = true
}

// revisions returns the revision in force in each live process.
func (f *Fleet) revisions() map[string]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := map[string]int64{}
	for _, e := range f.Entries {
		if !e.killed {
			m[e.Name] = e.Revision()
		}
	}
	for _, a := range f.Agents {
		if !a.killed && !a.replaced {
			m[a.incarnation] = a.Revision()
		}
	}
	return m
}

// maxRevisionDelay bounds the time until an accepted revision is in force everywhere.
const maxRevisionDelay = 4 * time.Second

// lateRevisions reports the live processes in which a revision that was accepted at least
// maxRevisionDelay ago is not in force.
func (f *Fleet) lateRevisions() (ls []string) {
	p, err := f.Log.Read(context.Background(), 0, math.MaxInt)
	if err != nil {
		return []string{err.Error()}
	}
	s := fold.New()
	for _, r := range p.Records {
		if time.Since(r.Time) >= maxRevisionDelay {
			s, _ = s.Apply(r)
		}
	}
	for n, r := range f.revisions() {
		if r < s.Revision() {
			ls = append(ls, fmt.Sprintf("%s has revision %d in force, %d was accepted in time", n, r, s.Revision()))
		}
	}
	return ls
}
