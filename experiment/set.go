package experiment

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/hollowgrade/hollowgrade/internal/errs"
)

// NamedFile is a file of a set.
type NamedFile struct {
	Name string // file name without its extension
	File File
}

// fileExtension is the extension of experiment files.
const fileExtension = ".toml"

// ReadSet reads and checks one file, or all experiments in a folder.
func ReadSet(path string) (ns []NamedFile, err error) {
	defer errs.Annotate(&err, "read experiments")
	paths := []string{path}
	if i, err := os.Stat(path); err != nil {
		return nil, err
	} else if i.IsDir() {
		if paths, err = filepath.Glob(filepath.Join(path, "*"+fileExtension)); err != nil {
			return nil, err
		}
	}
	if len(paths) == 0 {
		return nil, fmt.Errorf("%s has no file that ends in %s", path, fileExtension)
	}
	for _, p := range paths {
		f, err := Read(p)
		if err != nil {
			return nil, err
		}
		ns = append(ns, NamedFile{strings.TrimSuffix(filepath.Base(p), fileExtension), f})
	}
	return ns, nil
}

// Run is the simulation of one variant of one file with one seed.
type Run struct {
	File    string  `json:"file"`
	Variant string  `json:"variant"`
	Seed    uint64  `json:"seed"`
	Worth   float64 `json:"worth"` // earned divided by owed
}

// SetReport holds the runs of a set.
type SetReport struct {
	Runs []Run `json:"runs"` // ordered by file, variant and seed
}

// SimulateSet simulates all variants of all files with consecutive seeds, which start at each
// file's own. As many runs as there are workers are simulated at a time. After each run, progress
// is called with the numbers of completed and of all runs.
func SimulateSet(ns []NamedFile, seeds, workers int, progress func(completed, all int)) SetReport {
	var r SetReport
	var tasks []func() float64
	for _, n := range ns {
		for _, v := range n.File.Variants {
			for i := range seeds {
				f := n.File
				f.Seed += uint64(i)
				r.Runs = append(r.Runs, Run{File: n.Name, Variant: v.Name, Seed: f.Seed})
				tasks = append(tasks, func() float64 { return worthShare(Simulate(f, v)) })
			}
		}
	}
	var g sync.WaitGroup
	var mu sync.Mutex
	next := make(chan int)
	completed := 0
	for range max(workers, 1) {
		g.Go(func() {
			for i := range next {
				w := tasks[i]()
				mu.Lock()
				r.Runs[i].Worth = w
				completed++
				progress(completed, len(tasks))
				mu.Unlock()
			}
		})
	}
	for i := range tasks {
		next <- i
	}
	close(next)
	g.Wait()
	return r
}

// Mean is the mean worth of a variant over some runs.
type Mean struct {
	File    string
	Variant string
	Worth   float64
	Spread  float64 // standard deviation between seeds
}

// Means returns the mean worth of each variant of each file, in the order of the runs.
func (r SetReport) Means() (ms []Mean) {
	for len(r.Runs) > 0 {
		a := r.Runs[0]
		n := slices.IndexFunc(r.Runs, func(b Run) bool { return b.File != a.File || b.Variant != a.Variant })
		if n < 0 {
			n = len(r.Runs)
		}
		ms = append(ms, mean(r.Runs[:n]))
		r.Runs = r.Runs[n:]
	}
	return ms
}

func mean(rs []Run) Mean {
	m := Mean{File: rs[0].File, Variant: rs[0].Variant}
	for _, r := range rs {
		m.Worth += r.Worth / float64(len(rs))
	}
	for _, r := range rs {
		m.Spread += (r.Worth - m.Worth) * (r.Worth - m.Worth) / float64(len(rs))
	}
	m.Spread = math.Sqrt(m.Spread)
	return m
}

// WriteText writes a table with a line for each file and a column for each variant.
func (r SetReport) WriteText(w io.Writer) error {
	ms := r.Means()
	var files, variants []string
	cells := map[[2]string]string{}
	for _, m := range ms {
		files, variants = appendUnique(files, m.File), appendUnique(variants, m.Variant)
		cells[[2]string{m.File, m.Variant}] = fmt.Sprintf("%.3f ±%.3f", m.Worth, m.Spread)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "worth\t%s\t\n", strings.Join(variants, "\t"))
	for _, f := range files {
		fmt.Fprint(t, f)
		for _, v := range variants {
			fmt.Fprintf(t, "\t%s", cmp.Or(cells[[2]string{f, v}], "-"))
		}
		fmt.Fprint(t, "\t\n")
	}
	return t.Flush()
}

// appendUnique appends a string to a list unless it is already there.
func appendUnique(l []string, s string) []string {
	if slices.Contains(l, s) {
		return l
	}
	return append(l, s)
}
