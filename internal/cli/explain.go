package cli

import (
	"fmt"
	"io"
	"strings"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/fault"
	"github.com/hollowgrade/hollowgrade/setting"
)

// explainCommand explains codes and settings.
type explainCommand struct {
	Code string `arg:"" optional:"" help:"A code as HG2002, a role, or a setting as agent.piece; all codes are listed if not given."`
}

// Run runs the command.
func (c *explainCommand) Run(s *streams) error {
	role, key, _ := strings.Cut(c.Code, ".")
	_, isRole := setting.Roles()[hollowgrade.Role(role)]
	switch {
	case c.Code == "":
		for _, d := range fault.Registry {
			fmt.Fprintf(s.out, "%s  %s\n", d.Code, d.Title)
		}
		return nil
	case isRole:
		return explainSettings(s.out, hollowgrade.Role(role), key)
	case fault.Known(fault.Code(strings.ToUpper(c.Code))):
		explainCode(s.out, fault.Lookup(fault.Code(strings.ToUpper(c.Code))))
		return nil
	default:
		return fmt.Errorf("%q is no code, role or setting; 'hollowgrade explain' lists the codes", c.Code)
	}
}

func explainCode(w io.Writer, d fault.Doc) {
	fmt.Fprintf(w, "%s: %s\n\n%s\n\nwho acts:  %s\noutcome:   %s\nstatus:    %d\nsince:     %s\n",
		d.Code, d.Title, d.Text, d.Severity, d.Outcome, d.Status, d.Since)
}

func explainSettings(w io.Writer, r hollowgrade.Role, key string) error {
	found := false
	for _, d := range setting.Docs(r) {
		if key != "" && d.Key != key {
			continue
		}
		found = true
		fmt.Fprintf(w, "%s.%s (%s)\n  %s\n", d.Role, d.Key, d.Type, d.Text)
		if d.Default != "" {
			fmt.Fprintf(w, "  default: %s\n", d.Default)
		}
		if d.Allowed != "" {
			fmt.Fprintf(w, "  allowed: %s\n", d.Allowed)
		}
		fmt.Fprintf(w, "  flag: %s, environment: %s, since %s\n", d.Flag, d.Env, d.Since)
	}
	if !found {
		return fmt.Errorf("the role %s has no setting %q", r, key)
	}
	return nil
}
