package setting

import (
	"reflect"
	"slices"

	"github.com/hollowgrade/hollowgrade"
)

// Each setting of a gateway is in one of these lists. The table in docs/operators/gateway.md has
// the same.
var (
	// reloadable are the keys of the settings that a reload puts in force.
	reloadable = []string{
		"caller_stall", "freshness", "grace", freshnessKey, "key_outage", "linger", "retry_ratio", "retry_slack", "verbosity",
	}
	// startOnly are the keys of the settings whose changes need a restart.
	startOnly = []string{
		"announce", "answer_head_max_bytes", "box", "callers", "config_max_bytes", "config_wait", "failure_max_bytes", "fleet_wait", "hall", "leave_within", "link_mbps", "long_wait",
		"max_connections", "max_descriptors", "members_wait", "memory_mb", "operators", "peers", "readiness", "retry_window", "seeds", "store",
	}
	// unused are the keys of the settings of all roles that a gateway doesn't use.
	unused = []string{"drain_timeout", "region"}
)

// WithReloaded returns the settings with those values of n that a reload puts in force.
func (g Gateway) WithReloaded(n Gateway) Gateway {
	to, from := reflect.ValueOf(&g).Elem(), reflect.ValueOf(n)
	for _, d := range Docs(hollowgrade.GatewayRole) {
		if slices.Contains(reloadable, d.Key) {
			to.FieldByIndex(d.field).Set(from.FieldByIndex(d.field))
		}
	}
	return g
}

// NeedsRestart returns the keys of the settings whose values in n are in force only after a restart
// of a gateway that was started with g.
func (g Gateway) NeedsRestart(n Gateway) []string {
	ks := []string{}
	started, now := reflect.ValueOf(g), reflect.ValueOf(n)
	for _, d := range Docs(hollowgrade.GatewayRole) {
		if slices.Contains(startOnly, d.Key) && !equalValues(started.FieldByIndex(d.field), now.FieldByIndex(d.field)) {
			ks = append(ks, d.Key)
		}
	}
	if g.Timing() != n.Timing() { // keys expire by the new value, but the store is read as before
		ks = append(ks, freshnessKey)
	}
	return ks
}

// equalValues reports whether two values of a setting are the same. Whether an empty list is nil
// depends on where it was read.
func equalValues(a, b reflect.Value) bool {
	if a.Kind() == reflect.Slice && a.Len() == 0 && b.Len() == 0 {
		return true
	}
	return reflect.DeepEqual(a.Interface(), b.Interface())
}
