package calendar

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var now = time.Unix(1000, 0)

// engines returns idle engines that prefill one second of a prompt in 25 ms together.
func engines() Engines {
	return Engines{Count: 50, MaxParts: 17, Pass: 100 * time.Millisecond}
}

// prompt returns an entry that one engine takes some seconds to prefill, due after d.
func prompt(id string, prefill float64, d time.Duration) Entry {
	return Entry{ID: id, Prefill: time.Duration(prefill * float64(time.Second)), Due: now.Add(d), Deadline: now.Add(2 * d), Worth: prefill}
}

// ids returns the ids of entries in their order.
func ids(es []Entry, g Engines) (l []string) {
	for _, q := range order(es, g, now) {
		l = append(l, q.ID)
	}
	return l
}

func TestOrder(t *testing.T) {
	t.Run("by when they are due", func(t *testing.T) {
		es := []Entry{prompt("c", 10, 3*time.Second), prompt("a", 10, time.Second), prompt("b", 10, 2*time.Second)}
		require.Equal(t, []string{"a", "b", "c"}, ids(es, engines()))
	})
	t.Run("more urgent ones first, whenever they are due", func(t *testing.T) {
		es := []Entry{prompt("a", 10, time.Second), prompt("b", 10, 2*time.Second)}
		es[0].Rank = 1
		require.Equal(t, []string{"b", "a"}, ids(es, engines()))
	})
	t.Run("late ones last, the shortest first", func(t *testing.T) {
		es := []Entry{prompt("late", 20, -time.Second), prompt("short", 5, -time.Second), prompt("long", 40, time.Second), prompt("a", 10, 4*time.Second)}
		require.Equal(t, []string{"a", "short", "late", "long"}, ids(es, engines()))
	})
	t.Run("alike at all gateways", func(t *testing.T) {
		es := []Entry{prompt("b", 10, time.Second), prompt("a", 10, time.Second)}
		require.Equal(t, []string{"a", "b"}, ids(es, engines()))
	})
}

func TestTurnOf(t *testing.T) {
	es := []Entry{prompt("a", 10, time.Second), prompt("b", 20, 2*time.Second), prompt("c", 10, 4*time.Second)}
	x := TurnOf(es, "c", engines(), now)
	require.Equal(t, 2, x.Waiting)
	require.Equal(t, 750*time.Millisecond, x.Ahead)
	require.False(t, x.Late)
	require.True(t, TurnOf(append(es, prompt("d", 10, 0)), "d", engines(), now).Late)
}

func TestOverflow(t *testing.T) {
	t.Run("nothing while there is time for all", func(t *testing.T) {
		es := []Entry{prompt("a", 10, 2*time.Second), prompt("b", 10, 2*time.Second), prompt("c", 10, 2*time.Second)}
		require.Empty(t, Overflow(es, engines(), now))
	})
	t.Run("nothing where engines are idle and a prompt takes most of its time itself", func(t *testing.T) {
		require.Empty(t, Overflow([]Entry{prompt("a", 30, 2*time.Second)}, engines(), now))
	})
	t.Run("the least worth a second, whoever came first", func(t *testing.T) {
		var es []Entry
		for i := range 6 {
			es = append(es, prompt(fmt.Sprint(i), 10, 2*time.Second))
		}
		es[2].Worth /= 2
		require.Equal(t, []string{"2"}, Overflow(es, engines(), now))
	})
	t.Run("the less urgent, however much it is worth", func(t *testing.T) {
		var es []Entry
		for i := range 6 {
			es = append(es, prompt(fmt.Sprint(i), 10, 2*time.Second))
		}
		es[2].Worth /= 2
		es[5].Rank, es[5].Worth = 1, 100
		require.Equal(t, []string{"5"}, Overflow(es, engines(), now))
	})
	t.Run("by the backlog of the engines", func(t *testing.T) {
		g := engines()
		es := []Entry{prompt("a", 10, 2*time.Second), prompt("b", 10, 2*time.Second)}
		g.Backlog = time.Second
		require.Len(t, Overflow(es, g, now), 1)
	})
	t.Run("late ones that would wait beyond their deadline", func(t *testing.T) {
		es := []Entry{prompt("a", 10, 100*time.Millisecond), prompt("b", 12, 100*time.Millisecond)}
		es[0].Deadline, es[1].Deadline = now.Add(1500*time.Millisecond), now.Add(1500*time.Millisecond)
		require.Equal(t, []string{"b"}, Overflow(es, engines(), now))
	})
}

// Guards against refusals while engines are idle, and against promises beyond their time: prompts
// come at 0.7 and at 1.5 times the time that the engines have for them.
func TestOverflowUnderLoad(t *testing.T) {
	const goal, each = 4 * time.Second, 8.0 // seconds of prefill by one engine
	for _, c := range []struct {
		load        float64
		least, most float64 // share that is served
	}{{0.7, 0.99, 1}, {1.5, 0.6, 0.75}} {
		t.Run(fmt.Sprintf("load=%g", c.load), func(t *testing.T) {
			served, all := 0, 0
			g := engines()
			gap := time.Duration(float64(g.turnTime(time.Duration(each*float64(time.Second)))) / c.load)
			var es []Entry
			for at := now; at.Before(now.Add(time.Minute)); at = at.Add(gap) {
				e := prompt(fmt.Sprint(all), each, 0)
				e.Due, e.Deadline = at.Add(goal), at.Add(goal)
				all++
				es = append(es, e)
				dropped := Overflow(es, g, at)
				require.LessOrEqual(t, len(dropped), 1)
				if len(dropped) > 0 {
					es = es[:len(es)-1]
				}
				g.Backlog = max(g.Backlog-gap, 0)
				for len(es) > 0 && g.Backlog < 400*time.Millisecond {
					first := at.Add(g.Backlog + g.ownTime(es[0].Prefill))
					require.False(t, first.After(es[0].Due), "a prompt that waited is late")
					g.Backlog += g.turnTime(es[0].Prefill)
					es = es[1:]
					served++
				}
			}
			share := float64(served) / float64(all)
			require.GreaterOrEqual(t, share, c.least)
			require.LessOrEqual(t, share, c.most)
		})
	}
}
