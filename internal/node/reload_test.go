package node

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/platform/platformtest"
	"github.com/hollowgrade/hollowgrade/setting"
)

// inForce reads the settings that a reload puts in force where the gateway uses them.
var inForce = map[string]func(*gateway) any{
	"caller_stall":  func(g *gateway) any { return g.callerStall() },
	"freshness":     func(g *gateway) any { return g.Core.Bounds().Freshness },
	"grace":         func(g *gateway) any { return g.Grace() + exitMargin(g.Grace()*exitShare/(exitShare-1)) },
	"key_freshness": func(g *gateway) any { return g.Core.Bounds().KeyFreshness },
	"key_outage":    func(g *gateway) any { return g.Core.Bounds().KeyOutage },
	"linger":        func(g *gateway) any { return g.linger() },
	"retry_ratio":   func(g *gateway) any { return g.Core.Bounds().RetryRatio },
	"retry_slack":   func(g *gateway) any { return g.Core.Bounds().RetrySlack },
	"verbosity":     func(g *gateway) any { return g.Node.log.GetLevel() },
}

// notUsed are the settings of all roles that a gateway has no use for.
var notUsed = []string{"drain_timeout", "region"}

// otherValue returns a value of a setting, in TOML, that is neither its default nor that of the
// gateways under test, and how it prints.
func otherValue(d setting.Doc) (toml, printed string) {
	switch {
	case d.Key == "verbosity":
		return `"error"`, "error"
	case d.Key == "grace":
		return `"9s"`, "9s"
	case d.Type == "duration":
		return `"1100ms"`, "1.1s"
	case d.Type == "whole number":
		return "70000", "70000"
	case d.Type == "number":
		return "0.5", "0.5"
	case d.Type == "true or false":
		return "true", "true"
	case d.Type == "list of strings":
		return `["127.0.0.1:9"]`, "[127.0.0.1:9]"
	default:
		return `"127.0.0.1:9"`, "127.0.0.1:9"
	}
}

// needsRestart returns what the newest line of a reload says.
func (g *gateway) needsRestart(t *testing.T) []string {
	t.Helper()
	var line struct {
		Msg          string
		NeedsRestart []string `json:"needs_restart"`
	}
	ls := slices.Collect(strings.Lines(g.log.String()))
	for _, l := range slices.Backward(ls) {
		if strings.Contains(l, "settings reloaded") {
			require.NoError(t, json.Unmarshal([]byte(l), &line), l)
			return line.NeedsRestart
		}
	}
	require.Fail(t, "no line of a reload")
	return nil
}

// Guards against a setting that is read once and never named when it changes.
func TestReloadPutsEachSettingInForceOrNamesIt(t *testing.T) {
	s := newFixture(t, platformtest.Echo)
	g := s.gateway
	c := g.settings.Load()
	base := map[string]string{"role": `"gateway"`, "config_wait": `"200ms"`, "fleet_wait": `"200ms"`}
	for k, v := range map[string]string{"box": c.Box, "hall": c.Hall, "callers": c.Callers, "readiness": c.Readiness, "peers": c.Peers, "store": c.Store} {
		base[k] = fmt.Sprintf("%q", v)
	}
	path := filepath.Join(t.TempDir(), "gateway.toml")
	// reload reloads the settings of base, except for one.
	reload := func(t *testing.T, key, value string) {
		t.Helper()
		text := ""
		for k, v := range base {
			if k != key {
				text += k + " = " + v + "\n"
			}
		}
		if key != "" {
			text += key + " = " + value + "\n"
		}
		require.NoError(t, writeFile(path, text))
		require.NoError(t, g.Reload([]string{"gateway", "--config", path}))
	}
	for _, d := range setting.Docs(hollowgrade.GatewayRole) {
		t.Run(d.Key, func(t *testing.T) {
			reload(t, "", "")
			require.Empty(t, g.needsRestart(t))
			earlier := *g.settings.Load()
			value, printed := otherValue(d)
			read, live := inForce[d.Key]
			if !live {
				reload(t, d.Key, value)
				if !slices.Contains(notUsed, d.Key) {
					require.Equal(t, []string{d.Key}, g.needsRestart(t))
				}
				require.Equal(t, earlier, *g.settings.Load(), "in force in part")
				return
			}
			before := read(g)
			require.NotEqual(t, printed, fmt.Sprint(before))
			reload(t, d.Key, value)
			require.Equal(t, printed, fmt.Sprint(read(g)))
			if d.Key == "key_freshness" { // for keys at once, for the reading of the store later
				require.Equal(t, []string{d.Key}, g.needsRestart(t))
			} else {
				require.Empty(t, g.needsRestart(t))
			}
			reload(t, "", "")
			require.Equal(t, before, read(g))
		})
	}
}
