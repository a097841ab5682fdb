package cli

import (
	"bytes"
	"io"
	"os"
	"time"

	"github.com/hollowgrade/hollowgrade/internal/errs"
	"github.com/hollowgrade/hollowgrade/losses"
)

// lossesCommand reports lost and late calls from logs.
type lossesCommand struct {
	Logs     []string       `arg:"" optional:"" help:"Files with the log lines of gateways; standard input if there is none."`
	JSON     bool           `name:"json" help:"Print JSON."`
	BySecond bool           `help:"Print the engines' time by second in place of the losses."`
	Engines  map[string]int `help:"Number of engines of a service, in place of those that the logs list." placeholder:"SERVICE=N"`
	Long     time.Duration  `help:"Published prefill time on one engine from which a prompt counts as long." default:"1s"`
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
	r, err := losses.Read(in, losses.WithLong(c.Long), losses.WithEngines(c.Engines))
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(s.out, r)
	}
	if c.BySecond {
		return r.WriteEngineTime(s.out)
	}
	return r.WriteText(s.out)
}
