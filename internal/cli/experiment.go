package cli

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/hollowgrade/hollowgrade/experiment"
	"github.com/hollowgrade/hollowgrade/fault"
)

// experimentCommand runs experiments.
type experimentCommand struct {
	File     string `arg:"" help:"Experiment, in TOML, or a folder of them; see examples/experiments."`
	JSON     bool   `help:"Print one JSON document."`
	SVG      string `name:"svg" help:"Write plots to a file." placeholder:"FILE"`
	BySecond bool   `help:"Print the engines' time by second as well; of one file and seed."`
	Seed     uint64 `help:"Seed in place of the file's."`
	Seeds    int    `help:"Seeds to play, counted from the first; several, or a folder, give a table of means." default:"1"`
	Workers  int    `help:"Runs at a time." default:"4"`
}

// Run runs the command.
func (c *experimentCommand) Run(s *streams) (err error) {
	ns, err := experiment.ReadSet(c.File)
	if err != nil {
		return fault.New(fault.BadSetting, "%v", err)
	}
	for i := range ns {
		if c.Seed != 0 {
			ns[i].File.Seed = c.Seed
		}
	}
	if len(ns) > 1 || c.Seeds > 1 {
		if c.BySecond {
			return fault.New(fault.BadSetting, "--by-second needs one file and one seed")
		}
		return c.simulateSet(s, ns)
	}
	r := experiment.Compare(ns[0].File)
	if c.SVG != "" {
		if err = writePlot(r, c.SVG); err != nil {
			return err
		}
	}
	if c.JSON {
		return r.WriteJSON(s.out)
	}
	if err = r.WriteText(s.out); err != nil || !c.BySecond {
		return err
	}
	return r.WriteEngineTime(s.out)
}

// simulateSet simulates several files or seeds.
func (c *experimentCommand) simulateSet(s *streams, ns []experiment.NamedFile) error {
	r := experiment.SimulateSet(ns, max(c.Seeds, 1), c.Workers, func(ended, all int) {
		fmt.Fprintf(s.err, "\r%d of %d runs", ended, all)
	})
	fmt.Fprintln(s.err)
	if c.JSON {
		return json.NewEncoder(s.out).Encode(r)
	}
	return r.WriteText(s.out)
}

func writePlot(r experiment.Report, path string) (err error) {
	w, err := os.Create(path)
	if err != nil {
		return err
	}
	if err = r.WriteSVG(w); err != nil {
		_ = w.Close() // the write error matters more
		return err
	}
	return w.Close()
}
