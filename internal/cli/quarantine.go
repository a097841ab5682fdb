package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/hollowgrade/hollowgrade/internal/errs"
	"github.com/hollowgrade/hollowgrade/internal/node"
)

// quarantineCommand lists and lifts the blocks of requests that are suspected of crashing
// upstreams.
type quarantineCommand struct {
	List quarantineList `cmd:"" help:"List the requests and parts of prompts that are held, why and since when."`
	Lift quarantineLift `cmd:"" help:"End the hold of a request or of a part of prompts, at all gateways."`
}

type quarantineList struct {
	boxes
	JSON bool `name:"json" help:"Print JSON."`
}

// Run runs the command. Gateways share their blocked requests, but one may know some before the
// others do.
func (c *quarantineList) Run(ctx context.Context, s *streams) error {
	as, err := c.addresses(ctx)
	if err != nil {
		return err
	}
	if len(as) == 0 {
		return errors.New("no box is named; give --box or --platform-list")
	}
	all := []node.HeldRequest{}
	known := map[string]bool{}
	for _, a := range as {
		var hs []node.HeldRequest
		if err = fetch(ctx, a, node.QuarantinePath, &hs); err != nil {
			fmt.Fprintln(s.err, "left out:", err)
			continue
		}
		for _, h := range hs {
			if !known[h.Fingerprint] {
				known[h.Fingerprint] = true
				all = append(all, h)
			}
		}
	}
	if c.JSON {
		return writeJSON(s.out, all)
	}
	return writeHeld(s.out, all)
}

func writeHeld(w io.Writer, hs []node.HeldRequest) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "suspect\twith\torganisation\troute\tsince\tuntil\tlosses\todds\tby\tupstreams")
	for _, h := range hs {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%.0e\t%s\t%s\n", h.Fingerprint, strings.Join(h.With, " "), h.Organisation, h.Route,
			h.Since.Format(time.TimeOnly), h.Until.Format(time.TimeOnly), h.Losses, h.Odds, h.By, strings.Trim(fmt.Sprint(h.Upstreams), "[]"))
	}
	return t.Flush()
}

type quarantineLift struct {
	boxes
	Fingerprint string `arg:"" help:"The request or the part of prompts, as 'quarantine list' and the logs have it."`
}

// Run runs the command. One gateway is enough: it informs the others and the store.
func (c *quarantineLift) Run(ctx context.Context, s *streams) error {
	as, err := c.addresses(ctx)
	if err != nil {
		return err
	}
	err = errors.New("no box is named; give --box or --platform-list")
	for _, a := range as {
		if err = lift(ctx, a, c.Fingerprint); err == nil {
			fmt.Fprintln(s.out, "lifted by the box at", a)
			return nil
		}
	}
	return err
}

// lift asks one box to lift a block.
func lift(ctx context.Context, address, fingerprint string) (err error) {
	defer errs.Annotate(&err, "box at %s", address)
	status, b, err := doRequest(ctx, http.MethodDelete, "http://"+address+node.QuarantinePath+"/"+url.PathEscape(fingerprint))
	switch {
	case err != nil:
		return err
	case status == http.StatusNoContent:
		return nil
	default:
		return errors.New(strings.TrimSpace(string(b)))
	}
}
