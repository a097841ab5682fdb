package experiment

import (
	"cmp"
	"slices"
	"time"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/core"
	"github.com/hollowgrade/hollowgrade/engine"
)

// What the baseline with helpers does: the best of the trials before there was
// a shared view.
const (
	naiveSplit   = 9_000
	naiveHelpers = 16
)

// naive decides as the baselines do, by what its own gateway has open.
type naive struct {
	way     string
	ids     []string
	next    int
	open    map[string]int
	reading map[string]time.Duration
	figures *engine.Figures
}

func (n *naive) decide(j *job, _ time.Duration) (core.Plan, bool) {
	d := core.Plan{}
	switch n.way {
	case RoundRobin:
		d.Upstream = n.ids[n.next%len(n.ids)]
		n.next++
	case LeastRequests:
		d.Upstream = slices.MinFunc(n.ids, func(a, b string) int { return cmp.Compare(n.open[a], n.open[b]) })
	default:
		ids := slices.Clone(n.ids)
		slices.SortStableFunc(ids, func(a, b string) int {
			return cmp.Or(cmp.Compare(n.reading[a], n.reading[b]), cmp.Compare(n.open[a], n.open[b]))
		})
		d.Upstream = ids[0]
		if j.prompt >= naiveSplit {
			d.Helpers = ids[1:min(1+naiveHelpers, len(ids))]
		}
	}
	d.PredictedFirst = n.figures.Reading(j.prompt, 1+len(d.Helpers))
	n.open[d.Upstream]++
	n.account(d, d.PredictedFirst)
	return d, true
}

// account changes the reading that the gateway has given to a plan's engines.
func (n *naive) account(d core.Plan, work time.Duration) {
	n.reading[d.Upstream] += work
	for _, h := range d.Helpers {
		n.reading[h] += work
	}
}

func (n *naive) began(d core.Plan) {
	n.account(d, -d.PredictedFirst)
}

func (n *naive) done(d core.Plan) {
	n.open[d.Upstream]--
}

func (n *naive) changes(bool) map[hollowgrade.Instance]core.Share {
	return nil
}

func (n *naive) hear(string, map[hollowgrade.Instance]core.Share, bool) {}

func (n *naive) suspects(core.Plan) []string {
	return nil
}

func (n *naive) takePace(string, float64, time.Duration, string) (tell bool) {
	return false
}

func (n *naive) stillSlow(string) bool {
	return false
}
