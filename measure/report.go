package measure

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/config"
)

// Report merges the snapshots of several boxes. Boxes store nothing: it covers the time since the
// start of each box, and lacks what a lost box had recorded.
type Report struct {
	Boxes         int                 `json:"boxes"`
	Since         time.Time           `json:"since"` // start of the box that has been up longest
	AllSince      time.Time           `json:"all_since"`
	Until         time.Time           `json:"until"`
	Requests      int64               `json:"requests"`
	Attempts      float64             `json:"attempts_per_request"`
	Outcomes      []OutcomeCount      `json:"outcomes"`
	FirstToken    []LengthRow         `json:"first_token"`
	Slowdown      Quantiles           `json:"short_slowdown"`
	Objectives    []BurnRow           `json:"objectives"`
	Organisations []OrganisationRow   `json:"worst_organisations"`
	lengths       map[string]*lengths // by bucket
}

type lengths struct {
	first *hdrhistogram.Histogram
}

// Quantiles are quantiles of a distribution, in milliseconds for times and as a ratio for
// slowdowns.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
}

// LengthRow is the time to first token of one prompt length.
type LengthRow struct {
	Length string `json:"length"`
	Quantiles
}

// OrganisationRow is the time to first token of one organisation.
type OrganisationRow struct {
	Name string `json:"name"`
	Quantiles
}

// BurnRow is the state of an objective. A burn rate of 1 uses up the budget of allowed failures
// exactly in the period of the objective.
type BurnRow struct {
	Objective config.Objective `json:"objective"`
	Good      int64            `json:"good"`
	Bad       int64            `json:"bad"`
	Budget    float64          `json:"budget_left"` // part of the allowed failures that is left, below 0 if there were more
	Burn      []Burn           `json:"burn"`
}

// Burn is the burn rate over one window.
type Burn struct {
	Window string  `json:"window"`
	Rate   float64 `json:"rate"`
}

// burnWindows are the windows of burn rates: a short one shows the start of a problem, long ones
// that it lasts.
var burnWindows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}

// maxWorstOrganisations is the number of organisations that a report names.
const maxWorstOrganisations = 5

// Merge makes a report from snapshots.
func Merge(ss []Snapshot) (r Report, err error) {
	r.lengths = map[string]*lengths{}
	slow := histogram()
	outcomes := map[outcomeKey]int64{}
	orgs := map[string]*hdrhistogram.Histogram{}
	burn := map[string]*ObjectiveSnapshot{}
	var attempts int64
	for _, s := range ss {
		r.addSpan(s)
		r.Requests += s.Requests
		attempts += s.Attempts
		for _, o := range s.Outcomes {
			outcomes[outcomeKey{o.Kind, o.Outcome, o.Code}] += o.Count
		}
		if err = r.addSeries(s.Series); err != nil {
			return r, fmt.Errorf("box %s: %w", s.Box, err)
		}
		if err = merge(slow, s.Slowdown); err != nil {
			return r, fmt.Errorf("box %s: %w", s.Box, err)
		}
		if err = addOrganisations(orgs, s.Organisations); err != nil {
			return r, fmt.Errorf("box %s: %w", s.Box, err)
		}
		addMinutes(burn, s.Objectives)
	}
	if r.Requests > 0 {
		r.Attempts = float64(attempts) / float64(r.Requests)
	}
	r.Slowdown = quantiles(slow, 100)
	r.addRows(outcomes, orgs, burn)
	return r, nil
}

func (r *Report) addSpan(s Snapshot) {
	r.Boxes++
	if r.Since.IsZero() || s.Began.Before(r.Since) {
		r.Since = s.Began
	}
	if s.Began.After(r.AllSince) {
		r.AllSince = s.Began
	}
	if s.Taken.After(r.Until) {
		r.Until = s.Taken
	}
}

func (r *Report) addSeries(ss []SeriesSnapshot) error {
	for _, s := range ss {
		l, ok := r.lengths[s.Bucket]
		if !ok {
			l = &lengths{first: histogram()}
			r.lengths[s.Bucket] = l
		}
		if err := merge(l.first, s.First); err != nil {
			return err
		}
	}
	return nil
}

func merge(into *hdrhistogram.Histogram, s string) error {
	h, err := decode(s)
	if err != nil {
		return fmt.Errorf("decode histogram: %w", err)
	}
	into.Merge(h)
	return nil
}

func addOrganisations(m map[string]*hdrhistogram.Histogram, ds []OrganisationDelay) error {
	for _, d := range ds {
		if m[d.Name] == nil {
			m[d.Name] = hdrhistogram.New(lowest, highest, 1)
		}
		if err := merge(m[d.Name], d.First); err != nil {
			return err
		}
	}
	return nil
}

func addMinutes(m map[string]*ObjectiveSnapshot, os []ObjectiveSnapshot) {
	for _, o := range os {
		p, ok := m[o.Objective.Name]
		if !ok {
			p = &ObjectiveSnapshot{Objective: o.Objective}
			m[o.Objective.Name] = p
		}
		p.Minutes = append(p.Minutes, o.Minutes...)
	}
}

const microsPerMilli = 1000

func quantiles(h *hdrhistogram.Histogram, unit float64) Quantiles {
	return Quantiles{
		Count: h.TotalCount(),
		P50:   float64(h.ValueAtQuantile(50)) / unit,
		P95:   float64(h.ValueAtQuantile(95)) / unit,
		P99:   float64(h.ValueAtQuantile(99)) / unit,
	}
}

func (r *Report) addRows(outcomes map[outcomeKey]int64, orgs map[string]*hdrhistogram.Histogram, burn map[string]*ObjectiveSnapshot) {
	for k, n := range outcomes {
		r.Outcomes = append(r.Outcomes, OutcomeCount{Kind: k.kind, Outcome: k.outcome, Code: k.code, Count: n})
	}
	slices.SortFunc(r.Outcomes, func(a, b OutcomeCount) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Code, b.Code))
	})
	for _, n := range BucketNames() {
		if l := r.lengths[n]; l != nil {
			r.FirstToken = append(r.FirstToken, LengthRow{Length: n, Quantiles: quantiles(l.first, microsPerMilli)})
		}
	}
	for n, h := range orgs {
		r.Organisations = append(r.Organisations, OrganisationRow{Name: n, Quantiles: quantiles(h, microsPerMilli)})
	}
	slices.SortFunc(r.Organisations, func(a, b OrganisationRow) int {
		return cmp.Or(cmp.Compare(b.P95, a.P95), cmp.Compare(a.Name, b.Name))
	})
	r.Organisations = r.Organisations[:min(maxWorstOrganisations, len(r.Organisations))]
	for _, o := range burn {
		r.Objectives = append(r.Objectives, burnRow(*o, r.Until))
	}
	slices.SortFunc(r.Objectives, func(a, b BurnRow) int { return cmp.Compare(a.Objective.Name, b.Objective.Name) })
}

func burnRow(o ObjectiveSnapshot, now time.Time) BurnRow {
	b := BurnRow{Objective: o.Objective}
	b.Good, b.Bad = countWithin(o.Minutes, now, burnHistoryMinutes*time.Minute)
	allowed := (1 - o.Objective.Share) * float64(b.Good+b.Bad)
	if allowed > 0 {
		b.Budget = 1 - float64(b.Bad)/allowed
	}
	for _, w := range burnWindows {
		good, bad := countWithin(o.Minutes, now, w)
		b.Burn = append(b.Burn, Burn{Window: formatWindow(w), Rate: rate(good, bad, o.Objective.Share)})
	}
	return b
}

func countWithin(ms []Minute, now time.Time, w time.Duration) (good, bad int64) {
	from := now.Add(-w).Unix() / 60
	for _, m := range ms {
		if m.At >= from {
			good += m.Good
			bad += m.Bad
		}
	}
	return good, bad
}

func rate(good, bad int64, share float64) float64 {
	if good+bad == 0 || share >= 1 {
		return 0
	}
	return float64(bad) / float64(good+bad) / (1 - share)
}

// WriteText writes the report for a terminal.
func (r *Report) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "%d boxes, %s to %s (all boxes since %s)\n", r.Boxes,
		r.Since.Format(time.TimeOnly), r.Until.Format(time.TimeOnly), r.AllSince.Format(time.TimeOnly))
	fmt.Fprintf(w, "%d requests, %.3f attempts a request\n", r.Requests, r.Attempts)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	r.writeOutcomes(t)
	r.writeTimes(t)
	r.writeBurn(t)
	return t.Flush()
}

func (r *Report) writeOutcomes(w io.Writer) {
	fmt.Fprint(w, "\noutcomes\nkind\toutcome\tcode\trequests\t\n")
	for _, o := range r.Outcomes {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t\n", orDash(o.Kind), o.Outcome, orDash(o.Code), o.Count)
	}
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func (r *Report) writeTimes(w io.Writer) {
	fmt.Fprint(w, "\ntime to first token, ms\nprompt\trequests\tp50\tp95\tp99\t\n")
	for _, l := range r.FirstToken {
		writeQuantiles(w, l.Length, l.Quantiles, "%.0f")
	}
	fmt.Fprint(w, "\nslowdown of short requests, times the idle time to first token\n\trequests\tp50\tp95\tp99\t\n")
	writeQuantiles(w, "short", r.Slowdown, "%.2f")
	fmt.Fprint(w, "\nslowest organisations, time to first token, ms\norganisation\trequests\tp50\tp95\tp99\t\n")
	for _, o := range r.Organisations {
		writeQuantiles(w, o.Name, o.Quantiles, "%.0f")
	}
}

func writeQuantiles(w io.Writer, name string, q Quantiles, format string) {
	f := "%s\t%d\t" + format + "\t" + format + "\t" + format + "\t\n"
	fmt.Fprintf(w, f, name, q.Count, q.P50, q.P95, q.P99)
}

func (r *Report) writeBurn(w io.Writer) {
	if len(r.Objectives) == 0 {
		return
	}
	fmt.Fprint(w, "\nservice levels\nobjective\tmust\tgood\tbad\tbudget left\t")
	for _, d := range burnWindows {
		fmt.Fprintf(w, "burn %s\t", formatWindow(d))
	}
	fmt.Fprintln(w)
	for _, o := range r.Objectives {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.0f%%\t", o.Objective.Name, formatTarget(o.Objective), o.Good, o.Bad, 100*o.Budget)
		for _, b := range o.Burn {
			fmt.Fprintf(w, "%.2f\t", b.Rate)
		}
		fmt.Fprintln(w)
	}
}

func formatWindow(d time.Duration) string {
	if d < time.Hour {
		return fmt.Sprintf("%dm", int(d.Minutes()))
	}
	return fmt.Sprintf("%dh", int(d.Hours()))
}

func formatTarget(o config.Objective) string {
	s := fmt.Sprintf("%.4g%%", 100*o.Share)
	if o.FirstToken > 0 {
		s += " in " + time.Duration(o.FirstToken).String()
	}
	return s
}

// Finished returns how many requests finished.
func (r *Report) Finished() (n int64) {
	for _, o := range r.Outcomes {
		if o.Outcome == hollowgrade.Finished {
			n += o.Count
		}
	}
	return n
}
