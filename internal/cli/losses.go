package cli

import (
	"bytes"
	"io"
	"os"

	"github.com/hollowgrade/hollowgrade/internal/errs"
	"github.com/hollowgrade/hollowgrade/losses"
)

// lossesCommand reports lost and late calls from logs.
type lossesCommand struct {
	Logs []string `arg:"" optional:"" help:"Files with the log lines of gateways; standard input if there is none."`
	JSON bool     `name:"json" help:"Print JSON."`
}

// Run runs the command.
func (c *lossesCommand) Run(s *streams) (err error) {
	defer errs.Annotate(&err, "read logs")
	in := io.Reader(os.Stdin)
	if len(c.Logs) > 0 {
		var rs []io.Reader
		for _, p := range c.Logs {
			b, err := os.ReadFile(p)
			if err != nil {
				return err
			}
			rs = append(rs, bytes.NewReader(b))
		}
		in = io.MultiReader(rs...)
	}
	r, err := losses.Read(in)
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(s.out, r)
	}
	return r.WriteText(s.out)
}
