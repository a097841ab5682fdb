package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/calendar"
	"github.com/hollowgrade/hollowgrade/placement"
)

// BenchmarkPick measures one placement in fleets of different sizes; docs/CAPACITY.md has results.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{18, 60, 180, 600} {
		for name, d := range map[string]placement.Request{"short": short(), "long": long(210_000)} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				f := newFleet("e", n)
				for range 4 * n {
					f.pick("e", short(), nil)
				}
				b.ReportAllocs()
				for b.Loop() {
					p := f.pick("e", d, nil)
					if !p.Refused {
						f.release(p, false)
					}
				}
			})
		}
	}
}

// BenchmarkList measures adding upstreams to an empty fleet, as after the start of a process.
func BenchmarkList(b *testing.B) {
	for _, n := range []int{60, 600, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				newFleet("e", n)
			}
		})
	}
}

// newBenchCalendar returns a fleet of n engines with short calls, and a prompt that waits beside peers'
// prompts. The clock stands still, so that views don't expire.
func newBenchCalendar(n, prompts int) (*Fleet, *Wait) {
	f := NewFleet(clockwork.NewFakeClock(), discardLogger())
	for i := range n {
		f.Put(hollowgrade.Upstream{ID: fmt.Sprintf("u%03d", i), Service: "e", Address: fmt.Sprintf("10.0.0.%d:1", i), Slots: 4})
	}
	f.SetCalendar(true)
	var es []calendar.Entry
	for i := range prompts {
		es = append(es, peerPrompt(f, fmt.Sprintf("%016x", i), 8*time.Second, 2600*time.Millisecond))
	}
	for i := 0; len(es) > 0; i++ {
		k := min(MaxWaits, len(es))
		box := fmt.Sprintf("peer%02d", i)
		f.ReceiveView(box, nil, true)
		f.ReceiveWaits(box, es[:k])
		es = es[k:]
	}
	for range 4 * n {
		f.pick("e", short(), nil)
	}
	return f, &Wait{entry: peerPrompt(f, "own", 8*time.Second, 2600*time.Millisecond)}
}

// BenchmarkStart measures one look of a waiting prompt at whether its turn has come; docs/CAPACITY.md has
// results.
func BenchmarkStart(b *testing.B) {
	for _, n := range []int{45, 150, 600} {
		for _, prompts := range []int{24, 200} {
			run := func(name string, do func(b *testing.B, f *Fleet, w *Wait)) {
				b.Run(fmt.Sprintf("%s/%d/%d", name, n, prompts), func(b *testing.B) {
					f, w := newBenchCalendar(n, prompts)
					b.ReportAllocs()
					do(b, f, w)
				})
			}
			run("not its turn", benchmarkNotItsTurn)
			run("calendar changed", benchmarkCalendarChanged)
			run("its turn", benchmarkItsTurn)
		}
	}
}

// benchmarkNotItsTurn looks for the turn of a prompt that is due after all others.
func benchmarkNotItsTurn(b *testing.B, f *Fleet, w *Wait) {
	w.entry.Due = w.entry.Due.Add(time.Second)
	w.version = f.calendarVersion
	f.waits[w.entry.ID] = w
	for b.Loop() {
		_, state, _ := f.start(w, long(300_000), nil)
		if state != Waiting {
			b.Fatalf("state %d", state)
		}
	}
}

// benchmarkCalendarChanged does the same when other prompts have come or gone since the last look.
func benchmarkCalendarChanged(b *testing.B, f *Fleet, w *Wait) {
	w.entry.Due = w.entry.Due.Add(time.Second)
	w.entry.Worth = 1e6
	f.waits[w.entry.ID] = w
	for b.Loop() {
		w.version = f.calendarVersion - 1
		_, state, _ := f.start(w, long(300_000), nil)
		if state != Waiting {
			b.Fatalf("state %d", state)
		}
	}
}

// forgetWork drops what would add up while the clock stands still.
func forgetWork(f *Fleet) {
	clear(f.demands)
	for _, m := range f.usableMembers("e", f.Now()) {
		m.partsUntil = m.partsUntil[:0]
	}
}

// benchmarkItsTurn places a prompt that is due before all others.
func benchmarkItsTurn(b *testing.B, f *Fleet, w *Wait) {
	w.entry.Due = w.entry.Due.Add(-time.Millisecond)
	for b.Loop() {
		b.StopTimer()
		forgetWork(f)
		b.StartTimer()
		f.waits[w.entry.ID], w.version = w, f.calendarVersion
		p, state, _ := f.start(w, long(300_000), nil)
		if state != Started {
			b.Fatalf("state %d", state)
		}
		f.release(p, false)
	}
}
