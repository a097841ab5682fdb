package hollowgrade

import (
	"net"
	"strconv"
)

// Instance names one run of an upstream's process. A restarted upstream keeps its id but none of its
// memory or calls, so state is tracked per instance. It is a string, so that gateways exchange it in
// place of an id.
type Instance string

// An instance is an upstream's id, instanceSeparator, and the start time in Unix milliseconds in base
// startBase, which takes eight digits.
const (
	instanceSeparator = "#"
	startBase         = 36
)

// Instance returns the upstream's current instance: the id alone if its start time is not known.
func (u Upstream) Instance() Instance {
	if u.StartMillis == 0 {
		return Instance(u.ID)
	}
	return Instance(u.ID + instanceSeparator + strconv.FormatInt(u.StartMillis, startBase))
}

// IsAddress reports whether a string is a host and a port that can be connected to.
func IsAddress(s string) bool {
	h, p, err := net.SplitHostPort(s)
	if err != nil || h == "" {
		return false
	}
	n, err := strconv.ParseUint(p, 10, 16)
	return err == nil && n > 0
}
