// Package sched makes the scheduling decisions: which request an agent sends to its upstream next,
// and which upstream an entry sends a request to. Nothing in it does I/O, starts goroutines or reads
// a clock, and nothing is safe for concurrent use.
package sched

import (
	"container/heap"
	"time"

	"github.com/hollowgrade/hollowgrade"
)

// Item is a request in a queue.
type Item struct {
	ID           string
	Organisation string
	Class        hollowgrade.Class
	Priority     int       // higher goes first within an organisation
	Cost         int       // tokens of work in the next step
	Charge       int       // tokens charged to the organisation's share; at least Cost
	Resumes      bool      // continues a request that has started: its memory is reserved, and it was charged then
	LatestStart  time.Time // the deadline minus the predicted run time
	Due          time.Time // when the item becomes overdue

	flow    *flow
	order   uint64
	removed bool
}

// Queue decides in which order an agent sends requests to its upstream.
type Queue interface {
	// Push adds an item.
	Push(i *Item)
	// Pop removes and returns the item to start next among those for which fits returns true, or nil.
	Pop(now time.Time, fits func(*Item) bool) *Item
	// Remove removes an item, and reports whether it was still in the queue.
	Remove(i *Item) bool
	// Len returns the number of items.
	Len() int
}

// FIFO is the naive queue: first in, first out, but requests that have started precede others. It is
// the baseline for [Fair].
type FIFO struct {
	items []*Item
}

// NewFIFO returns an empty queue.
func NewFIFO() *FIFO {
	return &FIFO{}
}

// Push implements [Queue].
func (f *FIFO) Push(i *Item) {
	f.items = append(f.items, i)
}

// Pop implements [Queue].
func (f *FIFO) Pop(_ time.Time, fits func(*Item) bool) *Item {
	for _, i := range f.items {
		if i.Resumes && fits(i) {
			f.Remove(i)
			return i
		}
	}
	if len(f.items) == 0 || !fits(f.items[0]) {
		return nil
	}
	i := f.items[0]
	f.items = f.items[1:]
	return i
}

// Remove implements [Queue].
func (f *FIFO) Remove(i *Item) bool {
	for n, j := range f.items {
		if i == j {
			f.items = append(f.items[:n:n], f.items[n+1:]...)
			return true
		}
	}
	return false
}

// Len implements [Queue].
func (f *FIFO) Len() int {
	return len(f.items)
}

// maxSkippedOrganisations bounds how many organisations Pop skips because their first request
// doesn't fit.
const maxSkippedOrganisations = 8

// Fair orders by class, then by equal shares of work for organisations (start-time fair queueing,
// counted in tokens), then by priority and least slack.
//
// An item past its Due time is overdue. Every second Pop serves the oldest overdue item, so an item
// with n overdue items before it starts within 2(n+1) starts. While the oldest one doesn't fit, only
// the Instant class and requests that hold memory are served: other small requests would take each
// piece of memory that is released, and without the requests that hold it none would be released.
type Fair struct {
	classes      [hollowgrade.Classes]class
	due          itemHeap
	length       int
	count        uint64
	serveOverdue bool // whether this Pop serves an overdue item first; alternates
}

type class struct {
	// resumed holds the further pieces of prompts that have started. They precede items that have not:
	// alternating between two long prompts would only make the first as late as the second.
	resumed     itemHeap
	flows       flowHeap
	byName      map[string]*flow
	virtualTime float64 // start tag of the last item served
}

// flow has the items of one organisation in a class.
type flow struct {
	name     string
	items    itemHeap
	startTag float64 // virtual time at which the flow's next item starts
	order    uint64
	index    int // in class.flows, or -1
}

// NewFair returns an empty queue.
func NewFair() *Fair {
	f := &Fair{due: itemHeap{less: earlierDue}}
	for c := range f.classes {
		f.classes[c].byName = map[string]*flow{}
		f.classes[c].resumed.less = arrivedFirst
	}
	return f
}

// Push implements [Queue].
func (f *Fair) Push(i *Item) {
	c := &f.classes[i.Class]
	f.count++
	i.order, i.removed = f.count, false
	heap.Push(&f.due, i)
	f.length++
	if i.Resumes {
		heap.Push(&c.resumed, i)
		return
	}
	l, ok := c.byName[i.Organisation]
	if !ok {
		l = &flow{name: i.Organisation, items: itemHeap{less: lessSlack}, index: -1}
		c.byName[i.Organisation] = l
	}
	i.flow = l
	heap.Push(&l.items, i)
	if l.index < 0 {
		l.startTag = max(l.startTag, c.virtualTime)
		l.order = f.count
		heap.Push(&c.flows, l)
	}
}

// Pop implements [Queue].
func (f *Fair) Pop(now time.Time, fits func(*Item) bool) *Item {
	o := f.overdue(now)
	f.serveOverdue = !f.serveOverdue
	if o != nil && f.serveOverdue && fits(o) {
		return f.serve(o)
	}
	last := hollowgrade.Classes - 1
	if o != nil && !fits(o) {
		last = hollowgrade.Instant
	}
	for c := hollowgrade.Instant; c < hollowgrade.Classes; c++ {
		if i := f.classes[c].next(fits, c <= last); i != nil {
			return f.serve(i)
		}
	}
	if o != nil && fits(o) {
		return f.serve(o)
	}
	return nil
}

func (f *Fair) overdue(now time.Time) *Item {
	i := f.due.first()
	if i == nil || now.Before(i.Due) {
		return nil
	}
	return i
}

// next returns the item that the class would serve, without removing it. Unless allowNew, it returns
// only items that resume a request.
func (c *class) next(fits func(*Item) bool, allowNew bool) (i *Item) {
	if r := c.resumed.first(); r != nil && fits(r) {
		return r
	}
	if !allowNew {
		return nil
	}
	var skipped []*flow
	for len(c.flows) > 0 && len(skipped) < maxSkippedOrganisations && i == nil {
		l := c.flows[0]
		h := l.items.first()
		switch {
		case h == nil:
			heap.Pop(&c.flows)
			c.forget(l)
		case fits(h):
			i = h
		default:
			heap.Pop(&c.flows)
			skipped = append(skipped, l)
		}
	}
	for _, l := range skipped {
		heap.Push(&c.flows, l)
	}
	return i
}

// forget drops an empty flow once its tag no longer matters. A flow ahead of its share is kept, so
// that an organisation can't gain by emptying its queue and returning.
func (c *class) forget(l *flow) {
	if l.startTag <= c.virtualTime {
		delete(c.byName, l.name)
	}
}

func (f *Fair) serve(i *Item) *Item {
	c := &f.classes[i.Class]
	l := i.flow
	f.markRemoved(i)
	if l == nil {
		return i
	}
	c.virtualTime = max(c.virtualTime, l.startTag)
	l.startTag += float64(max(i.Charge, i.Cost, 1))
	if l.index >= 0 {
		heap.Fix(&c.flows, l.index)
	}
	if l.items.first() == nil && l.index >= 0 {
		heap.Remove(&c.flows, l.index)
		c.prune()
	}
	return i
}

// prune drops idle flows whose tags virtual time has reached, so that the state is bounded by the
// number of active organisations.
func (c *class) prune() {
	const keep = 64
	if len(c.byName) <= keep+len(c.flows) {
		return
	}
	for _, l := range c.byName {
		if l.index < 0 {
			c.forget(l)
		}
	}
}

func (f *Fair) markRemoved(i *Item) {
	i.removed = true
	f.length--
}

// Remove implements [Queue].
func (f *Fair) Remove(i *Item) bool {
	if i.removed || i.order == 0 {
		return false
	}
	f.markRemoved(i)
	return true
}

// Len implements [Queue].
func (f *Fair) Len() int {
	return f.length
}

// itemHeap is a heap in which removed items stay until they reach the top.
type itemHeap struct {
	items []*Item
	less  func(a, b *Item) bool
}

func lessSlack(a, b *Item) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	if !a.LatestStart.Equal(b.LatestStart) {
		return a.LatestStart.Before(b.LatestStart)
	}
	return a.order < b.order
}

func arrivedFirst(a, b *Item) bool {
	return a.order < b.order
}

func earlierDue(a, b *Item) bool {
	if !a.Due.Equal(b.Due) {
		return a.Due.Before(b.Due)
	}
	return a.order < b.order
}

func (h *itemHeap) first() *Item {
	for len(h.items) > 0 && h.items[0].removed {
		heap.Pop(h)
	}
	if len(h.items) == 0 {
		return nil
	}
	return h.items[0]
}

// Len, Less, Swap, Push and Pop implement heap.Interface.

func (h *itemHeap) Len() int           { return len(h.items) }
func (h *itemHeap) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }
func (h *itemHeap) Swap(i, j int)      { h.items[i], h.items[j] = h.items[j], h.items[i] }
func (h *itemHeap) Push(x any)         { h.items = append(h.items, x.(*Item)) }

func (h *itemHeap) Pop() any {
	n := len(h.items) - 1
	i := h.items[n]
	h.items[n] = nil
	h.items = h.items[:n]
	return i
}

type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].order < h[j].order
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *flowHeap) Push(x any) {
	l := x.(*flow)
	l.index = len(*h)
	*h = append(*h, l)
}

func (h *flowHeap) Pop() any {
	n := len(*h) - 1
	l := (*h)[n]
	(*h)[n] = nil
	*h = (*h)[:n]
	l.index = -1
	return l
}
