package experiment

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/hollowgrade/hollowgrade/measure"
)

// Report compares variants.
type Report struct {
	Seed     uint64    `json:"seed"`
	Variants []Summary `json:"variants"`
}

// Summary is the outcome of a variant.
type Summary struct {
	Name          string          `json:"name"`
	Worth         float64         `json:"worth"` // earned divided by owed
	Kinds         []KindSummary   `json:"kinds"`
	Lengths       []LengthSummary `json:"lengths"`
	WorthOverTime []float64       `json:"worth_by_second"` // by time of arrival, per [worthStep]; -1 where none arrived
	EngineTime    []EngineSecond  `json:"engine_time_by_second"`
}

// KindSummary is the part of a [Summary] for one kind of request.
type KindSummary struct {
	Kind     string  `json:"kind"`
	Requests int     `json:"requests"`
	Worth    float64 `json:"worth"`
	Refused  int     `json:"refused"`
	FirstP50 float64 `json:"first_p50_ms"`
	FirstP95 float64 `json:"first_p95_ms"`
	PauseP95 float64 `json:"pause_p95_ms"`
}

// LengthSummary is the part of a [Summary] for one range of prompt lengths.
type LengthSummary struct {
	Length   string  `json:"length"`
	FirstP95 float64 `json:"first_p95_ms"`
}

// worthStep is the interval between the points of worth over time.
const worthStep = 2 * time.Second

// Compare simulates all variants.
func Compare(f File) Report {
	r := Report{Seed: f.Seed}
	for _, v := range f.Variants {
		rs, ss := simulate(f, v)
		s := summarise(f, v, rs)
		s.EngineTime = ss
		r.Variants = append(r.Variants, s)
	}
	return r
}

func summarise(f File, v Variant, rs []Result) Summary {
	s := Summary{Name: v.Name, Worth: worthShare(rs)}
	for _, k := range f.Kinds {
		s.Kinds = append(s.Kinds, summariseKind(k.Name, filter(rs, func(r Result) bool { return r.Kind == k.Name })))
	}
	for _, b := range measure.BucketNames() {
		x := filter(rs, func(r Result) bool { return measure.Bucket(r.Prompt) == b && r.First > 0 })
		if len(x) > 0 {
			s.Lengths = append(s.Lengths, LengthSummary{b, quantileMillis(x, 0.95, func(r Result) time.Duration { return r.First })})
		}
	}
	for at := time.Duration(0); at < f.Duration.Std(); at += worthStep {
		x := filter(rs, func(r Result) bool { return r.Arrived >= at && r.Arrived < at+worthStep })
		s.WorthOverTime = append(s.WorthOverTime, worthShare(x))
	}
	return s
}

func summariseKind(name string, rs []Result) KindSummary {
	began := filter(rs, func(r Result) bool { return r.First > 0 })
	first := func(r Result) time.Duration { return r.First }
	return KindSummary{
		Kind:     name,
		Requests: len(rs),
		Worth:    worthShare(rs),
		Refused:  len(filter(rs, func(r Result) bool { return r.Refused })),
		FirstP50: quantileMillis(began, 0.5, first),
		FirstP95: quantileMillis(began, 0.95, first),
		PauseP95: quantileMillis(began, 0.95, func(r Result) time.Duration { return r.Pause }),
	}
}

func filter(rs []Result, keep func(Result) bool) (x []Result) {
	for _, r := range rs {
		if keep(r) {
			x = append(x, r)
		}
	}
	return x
}

// worthShare returns earned divided by owed, or -1 if nothing was owed.
func worthShare(rs []Result) float64 {
	owed, earned := 0.0, 0.0
	for _, r := range rs {
		owed += r.Owed
		earned += r.Earned
	}
	if owed == 0 {
		return -1
	}
	return earned / owed
}

// quantileMillis returns a quantile of a duration.
func quantileMillis(rs []Result, q float64, of func(Result) time.Duration) float64 {
	if len(rs) == 0 {
		return 0
	}
	ds := make([]time.Duration, 0, len(rs))
	for _, r := range rs {
		ds = append(ds, of(r))
	}
	slices.Sort(ds)
	d := ds[min(int(math.Ceil(q*float64(len(ds))))-1, len(ds)-1)]
	return float64(d) / float64(time.Millisecond)
}

// WriteJSON writes the report as one document.
func (r Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// WriteText writes the report as tables.
func (r Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "variant\tworth\tkind\trequests\tworth\trefused\tfirst p50\tfirst p95\tpause p95\t\n")
	for _, v := range r.Variants {
		for i, k := range v.Kinds {
			name, worth := "", ""
			if i == 0 {
				name, worth = v.Name, fmt.Sprintf("%.3f", v.Worth)
			}
			fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%.3f\t%d\t%.0f\t%.0f\t%.0f\t\n", name, worth, k.Kind, k.Requests, k.Worth, k.Refused, k.FirstP50, k.FirstP95, k.PauseP95)
		}
	}
	return t.Flush()
}

//go:embed plot.svg.tmpl
var plotText string

var plot = template.Must(template.New("plot").Parse(plotText))

// Dimensions of a plot in pixels.
const (
	plotWidth  = 640.0
	plotHeight = 220.0
	plotLeft   = 60.0
)

// curve is one line of a plot.
type curve struct {
	Name   string
	Colour string
	Points string
	LabelY float64
}

var colours = []string{"#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9"}

// WriteSVG writes two plots: worth over time, and the time to the first event by prompt length.
func (r Report) WriteSVG(w io.Writer) error {
	d := struct {
		Worth, First []curve
		Lengths      []label
	}{}
	for _, b := range measure.BucketNames() {
		d.Lengths = append(d.Lengths, label{b, lengthX(b)})
	}
	for i, v := range r.Variants {
		c := colours[i%len(colours)]
		y := 20 + 16*float64(i)
		d.Worth = append(d.Worth, curve{v.Name, c, worthPoints(v.WorthOverTime), y})
		d.First = append(d.First, curve{v.Name, c, firstPoints(v.Lengths), y})
	}
	return plot.Execute(w, d)
}

// label is a label on an axis.
type label struct {
	Text string
	X    float64
}

func worthPoints(ts []float64) string {
	var b strings.Builder
	for i, t := range ts {
		if t >= 0 {
			fmt.Fprintf(&b, "%.1f,%.1f ", plotLeft+plotWidth*float64(i)/float64(max(len(ts)-1, 1)), plotHeight*(1-t))
		}
	}
	return b.String()
}

func lengthX(length string) float64 {
	bs := measure.BucketNames()
	return plotLeft + plotWidth*float64(slices.Index(bs, length))/float64(len(bs)-1)
}

// The axis of the time to the first event is logarithmic, from 10 ms to 100 s.
const (
	axisLow          = 1.0
	axisTens         = 4.0
	minPlottedMillis = 10.0 // ms
)

func firstPoints(ls []LengthSummary) string {
	var b strings.Builder
	for _, l := range ls {
		y := (math.Log10(max(l.FirstP95, minPlottedMillis)) - axisLow) / axisTens
		fmt.Fprintf(&b, "%.1f,%.1f ", lengthX(l.Length), plotHeight*(1-y))
	}
	return b.String()
}
