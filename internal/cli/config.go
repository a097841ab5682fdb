package cli

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/hollowgrade/hollowgrade/config"
	"github.com/hollowgrade/hollowgrade/fault"
	"github.com/hollowgrade/hollowgrade/internal/errs"
	"github.com/hollowgrade/hollowgrade/internal/node"
	"github.com/hollowgrade/hollowgrade/setting"
	"github.com/hollowgrade/hollowgrade/standalone"
)

// configCommand groups the commands about settings and configuration.
type configCommand struct {
	Check   configCheck   `cmd:"" help:"Check a settings file."`
	Publish configPublish `cmd:"" help:"Publish organisations, models, services and objectives from a TOML file."`
	Remove  configRemove  `cmd:"" help:"Remove an item."`
	Status  configStatus  `cmd:"" help:"Show which boxes have which revision in force."`
	Digest  configDigest  `cmd:"" help:"Print the digest of a bearer key, for an organisation's keys."`
}

type configCheck struct {
	File string `arg:"" help:"Settings file."`
}

// Run runs the command.
func (c *configCheck) Run(s *streams) error {
	f, err := setting.Read(c.File)
	if err != nil {
		return err
	}
	if err = f.Check(); err != nil {
		return err
	}
	fmt.Fprintf(s.out, "%s: settings of the role %s are right\n", f.Path, f.Role)
	return nil
}

type configDigest struct {
	Key string `arg:"" help:"Bearer key."`
}

// Run runs the command.
func (c *configDigest) Run(s *streams) error {
	fmt.Fprintln(s.out, config.KeyDigest(c.Key))
	return nil
}

// fleetFile is the content of the file that 'config publish' reads.
type fleetFile struct {
	Organisation map[string]config.Organisation `toml:"organisation"`
	Model        map[string]config.Model        `toml:"model"`
	Service      map[string]config.Service      `toml:"service"`
	Objective    map[string]config.Objective    `toml:"objective"`
}

type configPublish struct {
	target
	File string `arg:"" help:"TOML file with tables such as [organisation.NAME]."`
}

// Run runs the command.
func (c *configPublish) Run(ctx context.Context, s *streams) error {
	b, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	var f fleetFile
	if err = toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields().Decode(&f); err != nil {
		return fault.New(fault.BadSetting, "%s: %s", c.File, tomlErrorDetail(err))
	}
	for n, v := range f.Model {
		v.Name = n
		if err = c.publish(ctx, s.out, config.ModelKind, n, v, config.CurrentRevision); err != nil {
			return err
		}
	}
	for n, v := range f.Service {
		v.Name = n
		if err = c.publish(ctx, s.out, config.ServiceKind, n, v, config.CurrentRevision); err != nil {
			return err
		}
	}
	for n, v := range f.Objective {
		v.Name = n
		if err = c.publish(ctx, s.out, config.ObjectiveKind, n, v, config.CurrentRevision); err != nil {
			return err
		}
	}
	for n, v := range f.Organisation {
		v.Name = n
		if err = c.publish(ctx, s.out, config.OrganisationKind, n, v, config.CurrentRevision); err != nil {
			return err
		}
	}
	return nil
}

// tomlErrorDetail describes a TOML error, with its line if the library reports one.
func tomlErrorDetail(err error) string {
	var d *toml.DecodeError
	var m *toml.StrictMissingError
	switch {
	case errors.As(err, &d):
		row, column := d.Position()
		return fmt.Sprintf("line %d, column %d: %v", row, column, d)
	case errors.As(err, &m):
		row, _ := m.Errors[0].Position()
		return fmt.Sprintf("line %d: %s is unknown", row, strings.Join(m.Errors[0].Key(), "."))
	default:
		return err.Error()
	}
}

type configRemove struct {
	target
	Kind string `arg:"" help:"Kind of the item." enum:"organisation,model,service,objective,event,policy"`
	Name string `arg:"" help:"Name of the item."`
}

// Run runs the command.
func (c *configRemove) Run(ctx context.Context, s *streams) error {
	return c.publish(ctx, s.out, c.Kind, c.Name, nil, config.CurrentRevision)
}

// boxes selects the boxes that an operators' command queries.
type boxes struct {
	PlatformList string   `help:"Base URL of the platform's list of boxes."`
	Box          []string `help:"Operators' addresses of boxes, beside those on the list."`
}

const boxTimeout = 3 * time.Second

// addresses returns the operators' addresses of the boxes.
func (b boxes) addresses(ctx context.Context) (as []string, err error) {
	as = b.Box
	if b.PlatformList == "" {
		return as, nil
	}
	bs, err := standalone.NewBoxes(b.PlatformList, nil).List(ctx)
	if err != nil {
		return as, err
	}
	for _, x := range bs {
		as = append(as, x.Operators)
	}
	return as, nil
}

// fetch reads a JSON document from one box.
func fetch(ctx context.Context, address, path string, v any) (err error) {
	defer errs.Annotate(&err, "box at %s", address)
	_, b, err := doRequest(ctx, http.MethodGet, "http://"+address+path)
	if err != nil {
		return err
	}
	return json.Unmarshal(b, v)
}

// doRequest sends a request without a body and reads the response.
func doRequest(ctx context.Context, method, address string) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, boxTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, address, nil)
	if err != nil {
		return 0, nil, err
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	body, err = io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	return res.StatusCode, body, err
}

const maxResponseBytes = 64 << 20

type configStatus struct {
	boxes
	JSON bool `name:"json" help:"Print JSON."`
}

// Run runs the command.
func (c *configStatus) Run(ctx context.Context, s *streams) error {
	as, err := c.addresses(ctx)
	if err != nil {
		return err
	}
	var ss []node.Status
	for _, a := range as {
		var v node.Status
		if err := fetch(ctx, a, node.StatusPath, &v); err != nil {
			fmt.Fprintln(s.err, err)
			continue
		}
		ss = append(ss, v)
	}
	if c.JSON {
		return writeJSON(s.out, ss)
	}
	return writeStatus(s.out, ss, len(as))
}

// formatEra returns the era of the store as a box knows it, and since when if it has risen.
func formatEra(s node.Status) string {
	switch {
	case s.StoreEra == 0:
		return "unknown"
	case s.EraAge < 0:
		return fmt.Sprint(s.StoreEra)
	default:
		return fmt.Sprintf("%d, since %.1f s", s.StoreEra, s.EraAge)
	}
}

func writeStatus(w io.Writer, ss []node.Status, total int) error {
	var newest int64
	for _, v := range ss {
		newest = max(newest, v.Revision)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "box\trole\tdata hall\trevision\tlog seen\tready\tevacuated halls\tstore era")
	behind := 0
	for _, v := range ss {
		if v.Revision < newest {
			behind++
		}
		ready := "yes"
		if !v.Ready {
			ready = "no: " + v.Reason
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%.1f s ago\t%s\t%s\t%s\n", v.Box, v.Role, v.Hall, v.Revision, v.LogAge, ready, cmp.Or(strings.Join(v.Evacuated, ", "), "none"), formatEra(v))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "revision %d is in force on %d of %d boxes; %d are behind, %d did not answer\n",
		newest, len(ss)-behind, total, behind, total-len(ss))
	return nil
}
