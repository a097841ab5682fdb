package cli

import (
	"context"
	"fmt"

	"github.com/hollowgrade/hollowgrade/internal/node"
	"github.com/hollowgrade/hollowgrade/measure"
)

// reportCommand reports on service levels.
type reportCommand struct {
	boxes
	JSON bool `name:"json" help:"Print JSON." xor:"form"`
	HTML bool `name:"html" help:"Print one self-contained page." xor:"form"`
}

// Run runs the command.
func (c *reportCommand) Run(ctx context.Context, s *streams) error {
	as, err := c.addresses(ctx)
	if err != nil {
		return err
	}
	var ss []measure.Snapshot
	for _, a := range as {
		var v measure.Snapshot
		if err := fetch(ctx, a, node.ReportPath, &v); err != nil {
			fmt.Fprintln(s.err, "left out:", err)
			continue
		}
		ss = append(ss, v)
	}
	r, err := measure.Merge(ss)
	if err != nil {
		return err
	}
	switch {
	case c.JSON:
		return writeJSON(s.out, r)
	case c.HTML:
		return r.WriteHTML(s.out)
	}
	return r.WriteText(s.out)
}
