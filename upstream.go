package hollowgrade

import (
	"net"
	"strconv"
)

// Instance names one life of an upstream. An upstream that starts again under its id holds and knows
// nothing of before, so what is known of one life says nothing of the next. It is a text, so that gateways
// tell it to each other as they would an id.
type Instance string

// instanceSeparator stands between the id and the start of a life, and startBase is the base that the start,
// in Unix milliseconds, is written in: eight digits.
const (
	instanceSeparator = "#"
	startBase         = 36
)

// Instance returns the name of the upstream's present life: the id alone if it does not tell its start.
func (u Upstream) Instance() Instance {
	if u.StartMillis == 0 {
		return Instance(u.ID)
	}
	return Instance(u.ID + instanceSeparator + strconv.FormatInt(u.StartMillis, startBase))
}

// IsAddress reports whether a text is a host and a port that can be connected to.
func IsAddress(s string) bool {
	h, p, err := net.SplitHostPort(s)
	if err != nil || h == "" {
		return false
	}
	n, err := strconv.ParseUint(p, 10, 16)
	return err == nil && n > 0
}
