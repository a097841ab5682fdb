package experiment

import (
	"cmp"
	"slices"
	"time"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/calendar"
	"github.com/hollowgrade/hollowgrade/core"
	"github.com/hollowgrade/hollowgrade/engine"
)

// Parameters of [LeastPrefill], the best known for gateways that exchange no load updates.
const (
	baselineSplitTokens = 9_000
	baselineHelpers     = 16
)

// baseline makes the decisions other than [Worth], by the requests that its own gateway has open.
type baseline struct {
	decisions    string
	ids          []string
	next         int
	openRequests map[string]int
	prefill      map[string]time.Duration
	figures      *engine.Figures
}

func (n *baseline) decide(j *job, _ time.Duration) (core.Plan, bool) {
	d := core.Plan{}
	switch n.decisions {
	case refuseAll:
		return d, false
	case RoundRobin:
		d.Upstream = n.ids[n.next%len(n.ids)]
		n.next++
	case LeastRequests:
		d.Upstream = slices.MinFunc(n.ids, func(a, b string) int { return cmp.Compare(n.openRequests[a], n.openRequests[b]) })
	default:
		ids := slices.Clone(n.ids)
		slices.SortStableFunc(ids, func(a, b string) int {
			return cmp.Or(cmp.Compare(n.prefill[a], n.prefill[b]), cmp.Compare(n.openRequests[a], n.openRequests[b]))
		})
		d.Upstream = ids[0]
		if j.promptTokens >= baselineSplitTokens {
			d.Helpers = ids[1:min(1+baselineHelpers, len(ids))]
		}
	}
	d.PredictedFirst = n.figures.PrefillTime(j.promptTokens, 1+len(d.Helpers))
	n.openRequests[d.Upstream]++
	n.addPrefill(d, d.PredictedFirst)
	return d, true
}

// addPrefill adds to the prefill that the gateway has assigned to a plan's engines.
func (n *baseline) addPrefill(d core.Plan, work time.Duration) {
	n.prefill[d.Upstream] += work
	for _, h := range d.Helpers {
		n.prefill[h] += work
	}
}

func (n *baseline) wait(*job, time.Duration) (*core.Wait, core.Plan) {
	return nil, core.Plan{}
}

func (n *baseline) start(*job, *core.Wait, time.Duration, time.Duration) (core.Plan, core.WaitState, time.Duration) {
	return core.Plan{}, core.Dropped, 0
}

func (n *baseline) leave(*core.Wait) {}

func (n *baseline) waits() ([]calendar.Entry, bool) {
	return nil, false
}

func (n *baseline) receiveWaits(string, []calendar.Entry) {}

func (n *baseline) began(d core.Plan) {
	n.addPrefill(d, -d.PredictedFirst)
}

func (n *baseline) done(d core.Plan) {
	n.openRequests[d.Upstream]--
}

func (n *baseline) changes(bool) map[hollowgrade.Instance]core.Share {
	return nil
}

func (n *baseline) receiveView(string, map[hollowgrade.Instance]core.Share, bool) {}

func (n *baseline) suspects(core.Plan) []string {
	return nil
}

func (n *baseline) receivePace(string, float64, time.Duration, string) (report bool) {
	return false
}

func (n *baseline) stillSlow(string) bool {
	return false
}
