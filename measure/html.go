package measure

import (
	_ "embed"
	"html/template"
	"io"
	"math"
	"time"
)

//go:embed report.html
var page string

var pageTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"dash":    orDash,
	"must":    formatTarget,
	"percent": func(v float64) float64 { return 100 * v },
	"clock":   func(t time.Time) string { return t.Format("2006-01-02 15:04:05 MST") },
}).Parse(page))

// chart is a plot of time quantiles by prompt length, with a logarithmic time axis.
type chart struct {
	Width, Height int
	Groups        []group
	Lines         []line
}

type group struct {
	Label  string
	Middle float64
	Bars   []bar
}

type bar struct {
	X, Y, Width, Height float64
	Class, Title        string
}

type line struct {
	Y     float64
	Label string
}

// Sizes of the chart, in the units of its view box.
const (
	chartWidth  = 720
	chartHeight = 300
	chartLeft   = 60
	chartBottom = 30
	barWidth    = 22
	lowestMs    = 1.0
	decades     = 6
)

// yOf returns the y coordinate of a time in milliseconds.
func yOf(ms float64) float64 {
	share := math.Log10(max(ms, lowestMs)/lowestMs) / decades
	return (chartHeight - chartBottom) * (1 - min(share, 1))
}

func (r *Report) chart() chart {
	c := chart{Width: chartWidth, Height: chartHeight}
	for d, l := range []string{"1 ms", "10 ms", "0.1 s", "1 s", "10 s", "100 s"} {
		c.Lines = append(c.Lines, line{Y: yOf(lowestMs * math.Pow10(d)), Label: l})
	}
	wide := float64(chartWidth-chartLeft) / float64(max(len(r.FirstToken), 1))
	for i, l := range r.FirstToken {
		g := group{Label: l.Length, Middle: chartLeft + wide*(float64(i)+0.5)}
		for j, q := range []struct {
			name string
			ms   float64
		}{{"p50", l.P50}, {"p95", l.P95}, {"p99", l.P99}} {
			y := yOf(q.ms)
			g.Bars = append(g.Bars, bar{
				X: g.Middle + barWidth*(float64(j)-1.5), Y: y, Width: barWidth - 2, Height: chartHeight - chartBottom - y,
				Class: q.name, Title: q.name,
			})
		}
		c.Groups = append(c.Groups, g)
	}
	return c
}

// WriteHTML writes the report as a self-contained page.
func (r *Report) WriteHTML(w io.Writer) error {
	return pageTemplate.Execute(w, struct {
		*Report
		Chart chart
		Base  int
		Left  int
	}{r, r.chart(), chartHeight - chartBottom, chartLeft})
}
