package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/hollowgrade/hollowgrade/internal/demo"
	"github.com/hollowgrade/hollowgrade/internal/load"
	"github.com/hollowgrade/hollowgrade/internal/node"
)

// demoCommand runs the demo.
type demoCommand struct {
	Seed      uint64        `help:"Seed of the load." default:"1"`
	Requests  int           `help:"Requests to send." default:"800"`
	Duration  time.Duration `help:"Time over which they are sent." default:"16s"`
	JSON      bool          `name:"json" help:"Print one JSON document."`
	Keep      bool          `help:"Go on listening afterwards, until interrupted."`
	Verbosity string        `help:"Least level of the processes' logs." default:"error" enum:"debug,info,warn,error"`
}

// Run runs the command.
func (c *demoCommand) Run(ctx context.Context, s *streams) error {
	g, err := node.Logger(s.err, c.Verbosity)
	if err != nil {
		return err
	}
	messages := s.out
	if c.JSON {
		messages = s.err
	}
	return demo.Run(ctx, demo.Options{
		Seed:     c.Seed,
		Requests: c.Requests,
		Duration: c.Duration,
		JSON:     c.JSON,
		Keep:     c.Keep,
		Size:     demo.DefaultSize(),
	}, s.out, messages, g)
}

// loadCommand sends a load.
type loadCommand struct {
	Mix      string        `arg:"" help:"File with the mix." type:"existingfile"`
	Entry    []string      `help:"Base URLs of entries, taken in turn." required:""`
	Seed     uint64        `help:"Seed of the load." default:"1"`
	Requests int           `help:"Requests to send." default:"1000"`
	Duration time.Duration `help:"Time over which they are sent." default:"30s"`
	Surge    float64       `help:"Factor of the rate in the middle half of the time." default:"1"`
	Verify   bool          `help:"Compare each answer with that of the stand-in engine."`
	JSON     bool          `name:"json" help:"Print one JSON document."`
}

// Run runs the command.
func (c *loadCommand) Run(ctx context.Context, s *streams) error {
	m, err := load.ReadMix(c.Mix)
	if err != nil {
		return err
	}
	r := load.NewRunner(c.Entry, c.Verify)
	r.Progress = func(sent, ended int) { fmt.Fprintf(s.err, "sent %d, ended %d\n", sent, ended) }
	p := m.Draw(c.Requests, c.Duration, load.Surge{From: c.Duration / 4, To: 3 * c.Duration / 4, Factor: c.Surge}, c.Seed)
	v, err := load.Summarise(r.Run(ctx, p))
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(s.out, v)
	}
	fmt.Fprintf(s.out, "%d sent, %d accounted for, %d wrong answers\n", v.Sent, v.Ended, v.Wrong)
	return v.Report.WriteText(s.out)
}
