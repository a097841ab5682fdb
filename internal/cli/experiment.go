package cli

import (
	"os"

	"github.com/hollowgrade/hollowgrade/experiment"
	"github.com/hollowgrade/hollowgrade/fault"
)

// experimentCommand plays an experiment.
type experimentCommand struct {
	File string `arg:"" help:"Experiment, in TOML; see examples/experiments."`
	JSON bool   `help:"Print one JSON document."`
	SVG  string `name:"svg" help:"Write plots to a file." placeholder:"FILE"`
	Seed uint64 `help:"Seed in place of the file's."`
}

// Run runs the command.
func (c *experimentCommand) Run(s *streams) (err error) {
	f, err := experiment.Read(c.File)
	if err != nil {
		return fault.New(fault.BadSetting, "%v", err)
	}
	if c.Seed != 0 {
		f.Seed = c.Seed
	}
	r := experiment.Compare(f)
	if c.SVG != "" {
		if err = writePlot(r, c.SVG); err != nil {
			return err
		}
	}
	if c.JSON {
		return r.WriteJSON(s.out)
	}
	return r.WriteText(s.out)
}

func writePlot(r experiment.Report, path string) (err error) {
	w, err := os.Create(path)
	if err != nil {
		return err
	}
	if err = r.WriteSVG(w); err != nil {
		_ = w.Close() // the first error tells more
		return err
	}
	return w.Close()
}
